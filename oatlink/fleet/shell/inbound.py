"""One connection that was accepted: on it a node only hears.

What may live here: from bytes to proved frames in their order. It costs at most a frame's bytes and one unread ack,
whatever its other end sends, or never reads.
"""

import asyncio
import secrets
from typing import cast

from oatlink.fleet import envelope
from oatlink.fleet.shell.inbound_context import ConnectionOwner, InboundContext


class InboundConnection(asyncio.Protocol):
    """One accepted connection. Closing is idempotent."""

    def __init__(self, owner: ConnectionOwner, context: InboundContext) -> None:
        self.owner, self.context = owner, context
        self.name, self.incarnation, self.address = "", 0, ""
        self.nonce = secrets.token_bytes(envelope.NONCE_BYTES)
        self.heard = context.ticks
        self._seal: envelope.Seal | None = None
        self._reader = envelope.Reader(envelope.MAX_GREETING_BYTES)
        self._taken = -1  # number of the newest frame
        self._acked = -1
        self._transport: asyncio.Transport | None = None
        self._closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            self._transport.abort()
        else:
            self._transport.write(envelope.challenge(self.nonce, self.context.node, self.context.fleet))

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self.context.counters["bytes_in"] += len(data)
        self._reader.feed(data)
        while not self._closed and (frame := self._reader.take()) is not None:
            self._frame(frame)
        if self._reader.broken and not self._closed:
            self.context.counters["dropped_long"] += 1
            self.close()

    def _frame(self, frame: bytes) -> None:
        if self._seal is None:
            self._seal = self.owner.prove(self, frame)
            if self._seal is None:
                self.close()
                return
            self._reader.most = self.context.most_bytes
            self._taken, self.heard = 0, self.context.ticks
            return
        found = self._seal.opened(frame)
        if found is None:
            self.context.counters["dropped_tag"] += 1
            self.close()
        elif found[0] <= self._taken:
            self.context.counters["dropped_replay"] += 1
        elif found[0] > self._taken + 1:
            # What is missing will not come: begin anew, rather than have its place taken later.
            self.context.counters["dropped_gap"] += 1
            self.close()
        else:
            self._taken, self.heard = found[0], self.context.ticks
            self.context.counters["received"] += 1
            self.context.take(self.name, found[1])

    def acknowledge(self) -> None:
        """Tell the sender what has come, unless it has not even read what it was told before."""
        if self._transport is None or self._closed or self._taken == self._acked:
            return
        if self._transport.get_write_buffer_size() == 0:
            self._acked = self._taken
            self._transport.write(envelope.ack(self._taken))

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`: the sender has said all, and wants to know that it came."""
        self.acknowledge()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._closed = True
        self.owner.gone(self)

    def close(self) -> None:
        """Hear nothing more on this connection, at once."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()
        self.owner.gone(self)
