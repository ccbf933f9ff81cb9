"""Input of a client connection that is received and not yet handled, counted against the process's limit. No I/O."""

from oatlink.platform.clients.pipeline import ArrivalTimes
from oatlink.platform.memory import LARGE_BYTES, HeldBytes, HeldPart
from oatlink.platform.statement import MAX_QUERY_BYTES
from oatlink.protocols import pgwire as pg
from oatlink.protocols.buffer import Limits

LIMITS = Limits(message_bytes=MAX_QUERY_BYTES)


class Input:
    """Received bytes, from which messages are taken one by one."""

    def __init__(self, held: HeldBytes) -> None:
        self._held, self._held_part = held, HeldPart(held)
        self.taken_count = 0  # messages
        self._reader = pg.frontend_reader(LIMITS)
        self._arrival_times = ArrivalTimes()

    @property
    def pending(self) -> int:
        """The number of bytes that are not taken yet."""
        return self._reader.pending

    @property
    def is_large(self) -> bool:
        """Whether so many bytes are held that the connection may be ended to free them."""
        return self._reader.pending > LARGE_BYTES

    @property
    def exceeds_read_ahead(self) -> bool:
        """Whether more is held than a connection may receive before its earlier commands are answered."""
        return self._reader.pending > (LARGE_BYTES if self._held.is_tight else MAX_QUERY_BYTES)

    def feed(self, data: bytes, arrived_by_us: int) -> None:
        """Add bytes that had arrived by a time."""
        self._reader.feed(data)
        self._arrival_times.add(len(data), arrived_by_us)
        self._held_part.set(self._reader.pending)

    def take(self) -> pg.Message | None:
        """Return the next complete message, or None if more bytes are needed. Raises `ProtocolError`."""
        message = self._reader.take()
        self.taken_count += message is not None
        self._held_part.set(self._reader.pending)
        return message

    def last_byte_us(self) -> int:
        """When the last byte of the message just taken arrived."""
        return self._arrival_times.last_byte_us(self._reader.pending)

    def end_startup(self) -> None:
        """Expect a type byte in each message from now on."""
        self._reader.end_startup()

    def clear(self) -> None:
        """Discard what is not taken, and free its memory."""
        self._reader.clear()
        self._held_part.set(self._reader.pending)
