"""Counts the bytes that all connections together hold for clients, against a limit for the whole process. No I/O.

Each connection holds a bounded number of bytes, but hundreds of them together may hold more than the process is allowed
to use. Whatever is received and not yet handled, belongs to an open request, or is not yet taken by its client draws on
one `HeldBytes`. Beyond the limit large requests are refused, and connections that hold much and make no progress end.
"""

LARGE_BYTES = 4_096  # what holds less is never refused or ended: there is room for that much of each connection
REQUEST_COPIES = 2  # of a request: its statement, and the message that a server has not taken yet


class HeldBytes:
    """The bytes held at present; `limit` is None if memory is not limited."""

    def __init__(self, limit: int | None) -> None:
        self.limit = limit
        self.used = 0
        self.requests = 0  # the part of `used` that belongs to open requests

    @property
    def is_tight(self) -> bool:
        """Whether more than half of the limit is used, so that connections should read no further ahead."""
        return self.limit is not None and self.used > self.limit // 2

    @property
    def is_over(self) -> bool:
        """Whether more than the limit is used."""
        return self.limit is not None and self.used > self.limit

    def change(self, difference: int) -> None:
        """Count more or fewer bytes."""
        self.used += difference

    def may_hold_request(self, size: int) -> bool:
        """Whether there is room for a request of `size` bytes, of which one is always allowed.

        Requests may use half of the limit, so that they leave room for the input of others.
        """
        if self.limit is None or size <= LARGE_BYTES or not self.requests:
            return True
        return self.requests + REQUEST_COPIES * size <= self.limit // 2


class HeldPart:
    """The part of one holder, whose size changes."""

    __slots__ = ("_counted_bytes", "_held")

    def __init__(self, held: HeldBytes) -> None:
        self._held = held
        self._counted_bytes = 0

    def set(self, size: int) -> None:
        """Count `size` bytes from now on."""
        self._held.change(size - self._counted_bytes)
        self._counted_bytes = size


class HeldRequest:
    """The bytes of one request; they are counted for as long as this object exists, which belongs to the request."""

    __slots__ = ("_held", "_size")

    def __init__(self, held: HeldBytes, size: int) -> None:
        self._held, self._size = held, REQUEST_COPIES * size
        held.change(self._size)
        held.requests += self._size

    def __del__(self) -> None:
        self._held.change(-self._size)
        self._held.requests -= self._size
