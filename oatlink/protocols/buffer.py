"""What all protocols here share: bytes received and not yet taken, what a peer may announce, its mistakes. No I/O."""

from dataclasses import dataclass

BIG = 65_536  # bytes from which a stretch is copied once only


class ProtocolError(Exception):
    """Bytes that the specification does not allow; the text is what a server answers."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What a peer may announce. Bytes, items and levels; inline commands and simple lines share a limit."""

    bulk_bytes: int = 64 * 1024 * 1024
    message_bytes: int = 128 * 1024 * 1024
    items: int = 1_048_576
    depth: int = 32
    inline_bytes: int = 65_536


DEFAULT_LIMITS = Limits()


class Buffer:
    """Bytes received and not yet taken."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.data = bytearray()
        self.at = 0  # start of what is not yet taken

    def feed(self, data: bytes) -> None:
        """Add bytes; what was taken is let go first."""
        if self.at:
            if self.at == len(self.data):
                self.data.clear()
                self.at = 0
            elif self.at > BIG:
                del self.data[: self.at]
                self.at = 0
        self.data += data

    @property
    def pending(self) -> int:
        """Bytes held."""
        return len(self.data) - self.at

    def cut(self, start: int, end: int) -> bytes:
        """A copy of a stretch; a large one is copied once only."""
        if end - start < BIG:
            return bytes(self.data[start:end])
        with memoryview(self.data) as view:
            return bytes(view[start:end])
