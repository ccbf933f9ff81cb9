"""One accepted connection, on which a node only receives.

It turns bytes into authenticated frames in their order. Whatever the other end sends or does not read, a connection
costs at most the bytes of one frame and one unread acknowledgement.
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
        self.last_heard_tick = context.ticks
        self._seal: envelope.Seal | None = None
        self._reader = envelope.Reader(envelope.MAX_GREETING_BYTES)
        self._accepted = -1  # number of the newest frame
        self._acknowledged = -1
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
            self._seal = self.owner.authenticate(self, frame)
            if self._seal is None:
                self.close()
                return
            self._reader.max_bytes = self.context.max_frame_bytes
            self._accepted, self.last_heard_tick = 0, self.context.ticks
            return
        opened = self._seal.open(frame)
        if opened is None:
            self.context.counters["dropped_tag"] += 1
            self.close()
            return
        number, body = opened
        if number <= self._accepted:
            self.context.counters["dropped_replay"] += 1
        elif number > self._accepted + 1:
            # The missing frame will not arrive any more. A new connection keeps its number from being used later.
            self.context.counters["dropped_gap"] += 1
            self.close()
        else:
            self._accepted, self.last_heard_tick = number, self.context.ticks
            self.context.counters["received"] += 1
            self.context.receive(self.name, body)

    def acknowledge(self) -> None:
        """Acknowledge the accepted frames, unless the sender has not read the last acknowledgement yet."""
        if self._transport is None or self._closed or self._accepted == self._acknowledged:
            return
        if self._transport.get_write_buffer_size() == 0:
            self._acknowledged = self._accepted
            self._transport.write(envelope.ack(self._accepted))

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`: the sender has sent everything and waits for the acknowledgement."""
        self.acknowledge()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._closed = True
        self.owner.gone(self)

    def close(self) -> None:
        """Close the connection at once, without reading more from it."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()
        self.owner.gone(self)
