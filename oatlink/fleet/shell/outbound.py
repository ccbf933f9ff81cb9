"""What a node says to one other: a bounded queue, and when to dial, wait and give up.

A connection is dialled when there is something to say. Messages may be lost: what was written and not acknowledged
when a connection ends is not written again, for those who need an answer ask again by themselves.

Threats: a peer that never reads or a link that swallows all (the oldest go from a bounded queue, and a connection on
which nothing is acknowledged is dialled anew); a peer that comes back to a thousand that dial it (waits are drawn).
"""

import asyncio
from collections import deque

from oatlink.fleet.shell.outbound_connection import BATCH, OutboundConnection, OutboundContext

MOST_QUEUED = 256  # messages
MOST_QUEUED_BYTES = 1 << 20
STALE_TICKS = 20  # what has waited so long is not said any more: 5 s
DIAL_S = 2.0  # for a connection and its challenge
SHORTEST_S, LONGEST_S = 0.05, 2.0  # of a wait before dialling again


class OutboundLink:
    """The way to one peer."""

    def __init__(self, context: OutboundContext, peer: str, address: str) -> None:
        self.context, self.peer, self.address = context, peer, address
        self.dialled: OutboundConnection | None = None
        self._queue: deque[tuple[int, bytes]] = deque()  # tick, body
        self._queued = 0  # bytes
        self._fails = 0
        self._task: asyncio.Task[None] | None = None
        self._flushing = False
        self._closed = False

    @property
    def up(self) -> bool:
        """Whether something sent now is written at once."""
        return self.dialled is not None and self.dialled.ready

    @property
    def empty(self) -> bool:
        """Whether nothing waits to be written."""
        return not self._queue

    @property
    def settled(self) -> bool:
        """Whether all that was said has come, or will not come any more."""
        return not self._queue and self._task is None and (self.dialled is None or self.dialled.settled)

    def send(self, body: bytes) -> None:
        """Say this as soon as may be, or never. Never blocks."""
        if self._closed:
            self.context.counters["dropped_closed"] += 1
            return
        self._queue.append((self.context.ticks, body))
        self._queued += len(body)
        while len(self._queue) > MOST_QUEUED or self._queued > MOST_QUEUED_BYTES:
            self._take()
            self.context.counters["dropped_queue"] += 1
        if self.up and not self._flushing:
            # Once for all that is said in this turn.
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush_soon)
        else:
            self._dial_soon()

    def _dial_soon(self) -> None:
        if self._queue and self.dialled is None and self._task is None and not self._closed:
            self._task = asyncio.get_running_loop().create_task(self._dial())

    def _take(self) -> bytes:
        _, body = self._queue.popleft()
        self._queued -= len(body)
        return body

    def _flush_soon(self) -> None:
        self._flushing = False
        self.flush()

    def flush(self) -> None:
        """Hand the queue to the connection, as far as it takes it."""
        self._forget()
        while self._queue and self.dialled is not None and self.dialled.ready:
            batch, size = [], 0
            while self._queue and size < BATCH:
                body = self._take()
                batch.append(body)
                size += len(body)
            self.context.counters["sent"] += len(batch)
            self.dialled.write(batch)

    def _forget(self) -> None:
        while self._queue and self.context.ticks - self._queue[0][0] > STALE_TICKS:
            self._take()
            self.context.counters["dropped_stale"] += 1

    async def _dial(self) -> None:
        """Dial until there is a connection, or nothing to say any more."""
        try:
            while self._queue and not self._closed:
                if self._fails:
                    longest = min(LONGEST_S, SHORTEST_S * 2 ** min(self._fails, 10))
                    await asyncio.sleep(self.context.draws.uniform(SHORTEST_S, longest))
                    self._forget()
                    if not self._queue:
                        return
                self._fails += 1  # until something is acknowledged
                self.context.counters["dialled"] += 1
                self.dialled = await self._connect()
                if self.dialled is not None:
                    self.flush()
                    return
                self.context.counters["dials_failed"] += 1
                self.context.failed(self.peer)
        finally:
            self._task = None
            self._dial_soon()

    async def _connect(self) -> OutboundConnection | None:
        """One try: a connection on which the Hello is written, or None."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        one = OutboundConnection(self)
        try:
            async with asyncio.timeout(DIAL_S):
                await loop.create_connection(lambda: one, host.strip("[]"), int(port))
                if await one.greeted and not one.closed:  # it may have ended in the same turn
                    return one
        except (OSError, TimeoutError, UnicodeError):
            pass
        except asyncio.CancelledError:
            one.close()
            raise
        one.close()
        return None

    def acknowledged(self) -> None:
        """The peer has taken something."""
        self._fails = 0

    def lost(self, one: OutboundConnection) -> None:
        """A connection has ended."""
        if self.dialled is one:
            self.dialled = None
            if not one.idled and not self._closed:
                self.context.failed(self.peer)
            self._dial_soon()

    def tick(self) -> None:
        """A quarter of a second has passed."""
        self._forget()
        if self.dialled is not None:
            self.dialled.tick()

    def finish(self) -> None:
        """Say that nothing more will come, once all is written."""
        if self.dialled is not None:
            self.dialled.finish()

    def close(self) -> None:
        """Say nothing more."""
        self._closed = True
        self._queue.clear()
        self._queued = 0
        if self._task is not None:
            self._task.cancel()
        if self.dialled is not None:
            self.dialled.close()
