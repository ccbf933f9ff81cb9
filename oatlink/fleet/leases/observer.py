"""Determines when a lease of another node has certainly ended. No I/O.

The proof: clocks run at rates within 1 - drift and 1 + drift of true time. A holder counts the term from before it
asked for the change that made this version of the lease, so the lease ends at most term / (1 - drift) of true time
after the change. This node counts from when its own first answer with this version arrived, which is after the change,
and waits by its clock for `wait_us` = term x (1 + drift) / (1 - drift), so for at least term / (1 - drift) of true
time. (That wait is term x (1 + 2 drift), plus terms of second order.) Whether the register stayed unchanged meanwhile
is settled by the change that takes the lease, which is made only if the fence is still the same: a renewal, even one
that this node has not seen, has another fence.

Counting from when the read was requested would prove nothing, as the change may be later than that.
"""

from math import ceil

import msgspec

from oatlink.fleet.messages import NEVER_US

MAX_TERM_US = 3_600_000_000


class Lease(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Content of a lease's register. By `turn` a holder knows which of its own changes this is."""

    node: str
    incarnation: int
    turn: int
    term_us: int
    released: bool = False
    body: bytes = b""


_decoder = msgspec.msgpack.Decoder(Lease)


def read_lease(value: bytes) -> Lease | None:
    """Return the lease in a register, None if it cannot be read."""
    try:
        lease = _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return lease if 0 < lease.term_us <= MAX_TERM_US else None


class Observer:
    """What one node has seen of one lease; times are microseconds of its own clock."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self.fence = -1  # of the version last seen, below 0 before the first
        self._value = b""
        self.lease: Lease | None = None
        self.free_us = NEVER_US  # from this time on, the holder of this version has certainly lost it

    def observe(self, fence: int, value: bytes, now_us: int) -> bool:
        """Take the register's content from an answer that has just arrived. Answers must be passed on in order.

        Returns whether it is another version than before. That includes a lower fence, which only an operator's command
        to the acceptors can cause.
        """
        if (fence, value) == (self.fence, self._value):
            return False
        self.fence, self._value = fence, value
        self.lease = read_lease(value) if fence else None
        if fence == 0 or (self.lease is not None and self.lease.released):
            self.free_us = now_us
        elif self.lease is None:
            # Prevents taking a lease of a newer version of this program, whose term cannot be read: it never ends.
            self.free_us = NEVER_US
        else:
            self.free_us = now_us + self.wait_us(self.lease.term_us)
        return True

    def wait_us(self, term_us: int) -> int:
        """Return how long a version with this term must have been unchanged before it has certainly ended."""
        return ceil(term_us * (1 + self._drift) / (1 - self._drift)) + 1
