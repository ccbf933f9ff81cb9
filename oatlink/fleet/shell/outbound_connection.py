"""One dialled connection, on which a node only sends messages.

It handles the greeting, the order of frames, and when the other end counts as gone.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Protocol, cast

from oatlink.fleet import envelope
from oatlink.fleet.messages import VERSION

BATCH_BYTES = 65_536  # handed to the kernel at once
SILENT_TICKS = 8  # a due acknowledgement that is missing for this long closes the connection: 2 s
IDLE_TICKS = 120  # without anything to send: 30 s


class OutboundContext:
    """Shared state of all outbound links of a node.

    `log` writes a line: event, peer, text. `on_failure` is called with the name of a peer.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        fleet: str,
        key: bytes,
        log: Callable[[str, str, str], None],
        counters: Counter[str],
        random_source: random.Random,
        on_failure: Callable[[str], None] = lambda _: None,
        address: str = "",
    ) -> None:
        self.node, self.incarnation, self.fleet, self.key = node, incarnation, fleet, key
        self.log, self.counters, self.random, self.on_failure = log, counters, random_source, on_failure
        self.address = address  # where this node listens, if its greetings are to contain it
        self.ticks = 0


class ConnectionOwner(Protocol):
    """The link that a connection belongs to."""

    context: OutboundContext
    peer: str
    address: str

    def acknowledged(self) -> None:
        """The peer has accepted a frame."""
        ...

    def flush(self) -> None:
        """The connection can take more."""
        ...

    def lost(self, connection: "OutboundConnection") -> None:
        """The connection has ended."""
        ...


class OutboundConnection(asyncio.Protocol):
    """One dialled connection. Closing is idempotent."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner, self.context = owner, owner.context
        self.greeted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._reader = envelope.Reader(envelope.MAX_GREETING_BYTES)
        self._seal: envelope.Seal | None = None
        self._sent = -1  # number of the newest frame written
        self._acknowledged = -1
        self._silent_ticks = 0  # without an acknowledgement that is due
        self._idle_ticks = 0  # without anything to send
        self._transport: asyncio.Transport | None = None
        self.closed = self._paused = False
        self.idled = False  # closed because there was nothing to send

    @property
    def ready(self) -> bool:
        """Whether the connection takes more to write."""
        return self._seal is not None and not self._paused and not self.closed

    @property
    def settled(self) -> bool:
        """Whether the peer has acknowledged all that was written."""
        return self._sent == self._acknowledged

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(BATCH_BYTES)
        if self.closed:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`: a challenge, then acknowledgements."""
        self._reader.feed(data)
        while not self.closed and (frame := self._reader.take()) is not None:
            if self._seal is None:
                self._greet(frame)
                continue
            number = envelope.read_ack(frame)
            if number is None or not self._acknowledged <= number <= self._sent:
                self.context.counters["dropped_ack"] += 1
                self.close()
                return
            if number > self._acknowledged:
                self._acknowledged, self._silent_ticks = number, 0
                self.owner.acknowledged()
        if self._reader.broken:
            self.close()

    def _greet(self, frame: bytes) -> None:
        challenge = envelope.read_challenge(frame)
        peer = self.owner.peer
        if challenge is None:
            self._refuse("not a node of a fleet")
        elif challenge.node != peer:
            self._refuse(f"{self.owner.address} is {challenge.node[:64]!r}")
        elif challenge.fleet != self.context.fleet:
            self._refuse("its settings' fleet part differs from ours")
        else:
            context = self.context
            self._seal = envelope.Seal(context.key, challenge.nonce, context.node, context.incarnation)
            hello = envelope.Hello(VERSION, context.node, context.incarnation, context.fleet, peer, context.address)
            self.write([envelope.encode(hello)])
            if not self.greeted.done():
                self.greeted.set_result(True)

    def _refuse(self, text: str) -> None:
        self.context.counters["dropped_challenge"] += 1
        self.context.log("fleet peer not as expected", self.owner.peer, text)
        self.close()

    def write(self, bodies: list[bytes]) -> None:
        """Write one frame for each body."""
        assert self._seal is not None and self._transport is not None
        frames = []
        for body in bodies:
            self._sent += 1
            frames.append(self._seal.seal(self._sent, body))
        data = b"".join(frames)
        self._idle_ticks = 0
        self.context.counters["bytes_out"] += len(data)
        self._transport.write(data)

    def tick(self) -> None:
        """A quarter of a second has passed."""
        # Time is counted in ticks, not by a clock: a process that was stopped has not waited for its peer meanwhile.
        self._idle_ticks += 1
        self._silent_ticks = self._silent_ticks + 1 if self._sent > self._acknowledged else 0
        if self._silent_ticks > SILENT_TICKS:
            self.context.counters["half_open"] += 1
            self.close()
        elif self._idle_ticks > IDLE_TICKS:
            self.context.counters["idle"] += 1
            self.idled = True
            self.close()

    def finish(self) -> None:
        """Write nothing more. The peer closes the connection once it has read everything."""
        if self._transport is not None and not self.closed and not self._transport.is_closing():
            self._transport.write_eof()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._paused = True

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._paused = False
        self.owner.flush()

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self.close()

    def close(self) -> None:
        """Close the connection at once. What was not written yet is lost."""
        if self.closed:
            return
        self.closed = True
        if not self.greeted.done():
            self.greeted.set_result(False)
        if self._transport is not None:
            self._transport.abort()
        self.owner.lost(self)
