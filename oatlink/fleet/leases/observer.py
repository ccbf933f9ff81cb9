"""How long another's lease has surely been left alone. No I/O.

What may live here: what a lease's register says, and the one reckoning by which it is over.

The proof. Clocks run at rates within 1 - drift and 1 + drift of true time. A holder counts `term` from before it asked
for the change that made this version, so its lease ends at most term / (1 - drift) of true time after the change. This
node counts from when its own first answer with this version came, which is after the change, and waits by its clock for
`wait_us` = term x (1 + drift) / (1 - drift), so at least term / (1 - drift) of true time (that is term x (1 + 2 drift)
and what second order adds). Whether the register was left alone meanwhile is settled by the change itself, which is
made only if the fence is still that one: a renewal, even one not seen here, is another fence.
Counted from when the read was asked, the change may be later than the count's beginning, and nothing is proven.
"""

from math import ceil

import msgspec

from oatlink.fleet.messages import NEVER_US

MAX_TERM_US = 3_600_000_000


class Lease(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a lease's register holds. `turn` tells a holder which of its changes this is."""

    node: str
    incarnation: int
    turn: int
    term_us: int
    released: bool = False
    body: bytes = b""


_decoder = msgspec.msgpack.Decoder(Lease)


def read_lease(value: bytes) -> Lease | None:
    """The lease in a register, None where it cannot be read."""
    try:
        lease = _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return lease if 0 < lease.term_us <= MAX_TERM_US else None


class Observer:
    """What one node has seen of one lease; times are microseconds of its own clock."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self.fence = -1  # of the version last seen, below 0 where none was
        self._value = b""
        self.lease: Lease | None = None
        self.free_us = NEVER_US  # from when on whoever holds this version surely does not any more

    def saw(self, fence: int, value: bytes, now_us: int) -> bool:
        """An answer that came now says so; answers must be told in order. Returns whether it is another version.

        A lower fence than before is news too: only an operator's word to the keepers can bring it about.
        """
        if (fence, value) == (self.fence, self._value):
            return False
        self.fence, self._value = fence, value
        self.lease = read_lease(value) if fence else None
        if fence == 0 or (self.lease is not None and self.lease.released):
            self.free_us = now_us
        elif self.lease is None:
            # Threat: a lease of a newer version of this program, whose term cannot be read. It is never over.
            self.free_us = NEVER_US
        else:
            self.free_us = now_us + self.wait_us(self.lease.term_us)
        return True

    def wait_us(self, term_us: int) -> int:
        """How long a version with this term must have been left alone."""
        return ceil(term_us * (1 + self._drift) / (1 - self._drift)) + 1
