"""The link from a node to one peer: a bounded queue, and when to dial, wait and give up.

A connection is dialled when there is something to send. Messages may be lost: what was written but not acknowledged
when a connection ends is not written again, because whoever needs an answer repeats its request.

Prevents unbounded memory when a peer never reads or a link loses everything: the queue is bounded and drops its oldest
messages, and a connection without acknowledgements is dialled again. Prevents a peer that restarts from being dialled
by a thousand nodes at the same moment: the waits before dialling are random.
"""

import asyncio
from collections import deque

from oatlink.fleet.shell.outbound_connection import BATCH_BYTES, OutboundConnection, OutboundContext

MAX_QUEUED_COUNT = 256  # messages
MAX_QUEUED_BYTES = 1 << 20
STALE_TICKS = 20  # after which a queued message is dropped: 5 s
DIAL_S = 2.0  # for a connection and its challenge
MIN_RETRY_S, MAX_RETRY_S = 0.05, 2.0  # the wait before dialling again
MAX_RETRY_DOUBLINGS = 10


class OutboundLink:
    """The link to one peer."""

    def __init__(self, context: OutboundContext, peer: str, address: str) -> None:
        self.context, self.peer, self.address = context, peer, address
        self.connection: OutboundConnection | None = None
        self._queue: deque[tuple[int, bytes]] = deque()  # tick, body
        self._queued_bytes = 0
        self._failure_count = 0
        self._task: asyncio.Task[None] | None = None
        self._flush_scheduled = False
        self._closed = False

    @property
    def is_up(self) -> bool:
        """Whether a message sent now is written at once."""
        return self.connection is not None and self.connection.ready

    @property
    def empty(self) -> bool:
        """Whether nothing waits to be written."""
        return not self._queue

    @property
    def settled(self) -> bool:
        """Whether every message was acknowledged, or cannot arrive any more."""
        return not self._queue and self._task is None and (self.connection is None or self.connection.settled)

    def send(self, body: bytes) -> None:
        """Send a message as soon as possible, or drop it. Never blocks."""
        if self._closed:
            self.context.counters["dropped_closed"] += 1
            return
        self._queue.append((self.context.ticks, body))
        self._queued_bytes += len(body)
        while len(self._queue) > MAX_QUEUED_COUNT or self._queued_bytes > MAX_QUEUED_BYTES:
            self._pop()
            self.context.counters["dropped_queue"] += 1
        if self.is_up and not self._flush_scheduled:
            # One flush for everything that is sent in this turn of the event loop.
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._scheduled_flush)
        else:
            self._dial_if_needed()

    def _dial_if_needed(self) -> None:
        if self._queue and self.connection is None and self._task is None and not self._closed:
            self._task = asyncio.get_running_loop().create_task(self._dial())

    def _pop(self) -> bytes:
        _, body = self._queue.popleft()
        self._queued_bytes -= len(body)
        return body

    def _scheduled_flush(self) -> None:
        self._flush_scheduled = False
        self.flush()

    def flush(self) -> None:
        """Hand the queue to the connection, as far as it accepts it."""
        self._drop_stale()
        while self._queue and self.connection is not None and self.connection.ready:
            batch, size_bytes = [], 0
            while self._queue and size_bytes < BATCH_BYTES:
                body = self._pop()
                batch.append(body)
                size_bytes += len(body)
            self.context.counters["sent"] += len(batch)
            self.connection.write(batch)

    def _drop_stale(self) -> None:
        while self._queue and self.context.ticks - self._queue[0][0] > STALE_TICKS:
            self._pop()
            self.context.counters["dropped_stale"] += 1

    async def _dial(self) -> None:
        """Dial until there is a connection, or nothing left to send."""
        try:
            while self._queue and not self._closed:
                if self._failure_count:
                    max_wait_s = min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(self._failure_count, MAX_RETRY_DOUBLINGS))
                    await asyncio.sleep(self.context.random.uniform(MIN_RETRY_S, max_wait_s))
                    self._drop_stale()
                    if not self._queue:
                        return
                self._failure_count += 1  # reset once something is acknowledged
                self.context.counters["dialled"] += 1
                self.connection = await self._connect()
                if self.connection is not None:
                    self.flush()
                    return
                self.context.counters["dials_failed"] += 1
                self.context.on_failure(self.peer)
        finally:
            self._task = None
            self._dial_if_needed()

    async def _connect(self) -> OutboundConnection | None:
        """One attempt: a connection on which the Hello is written, or None."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        connection = OutboundConnection(self)
        try:
            async with asyncio.timeout(DIAL_S):
                await loop.create_connection(lambda: connection, host.strip("[]"), int(port))
                if await connection.greeted and not connection.closed:  # it may have ended in the same turn
                    return connection
        except (OSError, TimeoutError, UnicodeError):
            pass
        except asyncio.CancelledError:
            connection.close()
            raise
        connection.close()
        return None

    def acknowledged(self) -> None:
        """The peer has accepted a frame."""
        self._failure_count = 0

    def lost(self, connection: OutboundConnection) -> None:
        """A connection has ended."""
        if self.connection is connection:
            self.connection = None
            if not connection.idled and not self._closed:
                self.context.on_failure(self.peer)
            self._dial_if_needed()

    def tick(self) -> None:
        """A quarter of a second has passed."""
        self._drop_stale()
        if self.connection is not None:
            self.connection.tick()

    def finish(self) -> None:
        """Signal the end of the stream to the peer, once everything is written."""
        if self.connection is not None:
            self.connection.finish()

    def close(self) -> None:
        """Drop the queue, and close the connection."""
        self._closed = True
        self._queue.clear()
        self._queued_bytes = 0
        if self._task is not None:
            self._task.cancel()
        if self.connection is not None:
            self.connection.close()
