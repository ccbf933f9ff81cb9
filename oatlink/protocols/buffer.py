"""Shared by all protocols: the receive buffer, the limits on what a peer may announce, and protocol errors. No I/O."""

from dataclasses import dataclass

COPY_ONCE_BYTES = 65_536  # from this size on, a range is copied through a memoryview, and so only once


class ProtocolError(Exception):
    """Bytes that the specification does not allow; the text is what a server sends to the client."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What a peer may announce, in bytes, items and nesting levels.

    `inline_bytes` limits inline commands and simple lines alike.
    """

    bulk_bytes: int = 64 * 1024 * 1024
    message_bytes: int = 128 * 1024 * 1024
    items: int = 1_048_576
    depth: int = 32
    inline_bytes: int = 65_536


DEFAULT_LIMITS = Limits()


class Buffer:
    """Bytes received and not yet consumed."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.data = bytearray()
        self.position = 0  # index of the first byte that is not yet consumed

    def feed(self, data: bytes) -> None:
        """Append bytes, after releasing consumed ones if they are many."""
        if self.position > COPY_ONCE_BYTES:
            del self.data[: self.position]
            self.position = 0
        self.data += data

    def consume(self, end: int) -> None:
        """Consume the bytes before index `end`, and free them all if none is left.

        Prevents an idle connection from keeping the longest message that it has ever carried.
        """
        if end == len(self.data):
            self.data.clear()
            self.position = 0
        else:
            self.position = end

    def clear(self) -> None:
        """Discard all bytes and free their memory."""
        self.data = bytearray()
        self.position = 0

    @property
    def pending(self) -> int:
        """The number of bytes not yet consumed."""
        return len(self.data) - self.position

    def copy(self, start: int, end: int) -> bytes:
        """Return a copy of a range of `data`; a large one is copied only once."""
        if end - start < COPY_ONCE_BYTES:
            return bytes(self.data[start:end])
        with memoryview(self.data) as view:
            return bytes(view[start:end])
