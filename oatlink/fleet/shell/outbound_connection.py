"""One connection that was dialled: on it a node only speaks.

What may live here: the greeting, frames in their order, and when the other end is taken for gone.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Protocol, cast

from oatlink.fleet import envelope
from oatlink.fleet.messages import VERSION

BATCH = 65_536  # bytes handed to the kernel at once
SILENT_TICKS = 8  # nothing was acknowledged, and something should have been: 2 s
IDLE_TICKS = 120  # nothing was said: 30 s


class OutboundContext:
    """What all outgoing links of a node share. `say` writes a line: event, peer, text; `failed` is told a peer."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        fleet: str,
        key: bytes,
        say: Callable[[str, str, str], None],
        counters: Counter[str],
        draws: random.Random,
        failed: Callable[[str], None] = lambda _: None,
        address: str = "",
    ) -> None:
        self.node, self.incarnation, self.fleet, self.key = node, incarnation, fleet, key
        self.say, self.counters, self.draws, self.failed = say, counters, draws, failed
        self.address = address  # where this node listens, where it is to be known by its greeting
        self.ticks = 0


class ConnectionOwner(Protocol):
    """Whose connection it is, and what it is told."""

    context: OutboundContext
    peer: str
    address: str

    def acknowledged(self) -> None:
        """The peer has taken something."""
        ...

    def flush(self) -> None:
        """There is room for more."""
        ...

    def lost(self, one: "OutboundConnection") -> None:
        """The connection has ended."""
        ...


class OutboundConnection(asyncio.Protocol):
    """One connection that was dialled. Closing is idempotent."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner, self.context = owner, owner.context
        self.greeted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._reader = envelope.Reader(envelope.MAX_GREETING_BYTES)
        self._seal: envelope.Seal | None = None
        self._sent = -1  # number of the newest frame written
        self._acked = -1
        self._silent = self._quiet = 0  # ticks without an ack that is due, without anything to say
        self._transport: asyncio.Transport | None = None
        self.closed = self._paused = False
        self.idled = False  # closed because nothing was said

    @property
    def ready(self) -> bool:
        """Whether it takes more to write."""
        return self._seal is not None and not self._paused and not self.closed

    @property
    def settled(self) -> bool:
        """Whether the peer has taken all that was written."""
        return self._sent == self._acked

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(BATCH)
        if self.closed:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`: a challenge, then acks."""
        self._reader.feed(data)
        while not self.closed and (frame := self._reader.take()) is not None:
            if self._seal is None:
                self._greet(frame)
                continue
            number = envelope.read_ack(frame)
            if number is None or not self._acked <= number <= self._sent:
                self.context.counters["dropped_ack"] += 1
                self.close()
                return
            if number > self._acked:
                self._acked, self._silent = number, 0
                self.owner.acknowledged()
        if self._reader.broken:
            self.close()

    def _greet(self, frame: bytes) -> None:
        met = envelope.read_challenge(frame)
        peer = self.owner.peer
        if met is None:
            self._refuse("not a node of a fleet")
        elif met.node != peer:
            self._refuse(f"{self.owner.address} is {met.node[:64]!r}")
        elif met.fleet != self.context.fleet:
            self._refuse("its settings' fleet part differs from ours")
        else:
            context = self.context
            self._seal = envelope.Seal(context.key, met.nonce, context.node, context.incarnation)
            hello = envelope.Hello(VERSION, context.node, context.incarnation, context.fleet, peer, context.address)
            self.write([envelope.encode(hello)])
            if not self.greeted.done():
                self.greeted.set_result(True)

    def _refuse(self, text: str) -> None:
        self.context.counters["dropped_challenge"] += 1
        self.context.say("fleet peer not as expected", self.owner.peer, text)
        self.close()

    def write(self, bodies: list[bytes]) -> None:
        """Write frames."""
        assert self._seal is not None and self._transport is not None
        frames = []
        for body in bodies:
            self._sent += 1
            frames.append(self._seal.seal(self._sent, body))
        data = b"".join(frames)
        self._quiet = 0
        self.context.counters["bytes_out"] += len(data)
        self._transport.write(data)

    def tick(self) -> None:
        """A quarter of a second has passed."""
        # Counted in ticks, not by a clock: a process that stood still has not waited for its peer.
        self._quiet += 1
        self._silent = self._silent + 1 if self._sent > self._acked else 0
        if self._silent > SILENT_TICKS:
            self.context.counters["half_open"] += 1
            self.close()
        elif self._quiet > IDLE_TICKS:
            self.context.counters["idle"] += 1
            self.idled = True
            self.close()

    def finish(self) -> None:
        """Nothing more will be written; the peer closes once it has read all."""
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
        """End it at once; what it had to write is lost."""
        if self.closed:
            return
        self.closed = True
        if not self.greeted.done():
            self.greeted.set_result(False)
        if self._transport is not None:
            self._transport.abort()
        self.owner.lost(self)
