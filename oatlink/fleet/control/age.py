"""Bounds the age of what a process knows, by its own clock. No I/O.

This module knows when messages were sent to the upstream and what age the upstream reported, and derives the age at a
later moment.

A beat reports the age as of when it was sent. No process knows when that was, but the beat carries the mark of a
message of this process and the time since that message came: so it was sent no earlier than that long after this
process sent the mark. All other time since then counts as delay of the link. So a link that delays messages by a
minute, or a recorded stream that is replayed, never makes the knowledge look younger. Times of the own clock are
divided by (1 - drift), those of the upstream's by (1 + drift): each clock may be wrong by that much.
"""

from math import ceil

from oatlink.fleet.messages.base import NEVER_US

AGE_BOUND_US = 5_000_000  # the stated bound on age: over it a process reports that it is behind
MAX_MARKS = 8  # messages whose time is remembered: more than are on the way at once
MAX_AGE_MS = 1 << 40  # means no age: the sender has never heard of a source


def to_ms(age_us: int) -> int:
    """Return an age as it is sent: whole milliseconds, rounded up, at most `MAX_AGE_MS`."""
    return min(MAX_AGE_MS, -(-age_us // 1_000))


class Age:
    """The age of what one reader knows.

    `drift`: the maximum relative error of each clock's rate; `mark`: the first mark is the one after it.

    The caller draws `mark` from the incarnation. This prevents a beat from before a restart from matching a new mark.
    """

    def __init__(self, drift: float, mark: int) -> None:
        self._drift, self._last_mark = drift, mark
        self._sent: dict[int, int] = {}
        self._age_us, self._heard_us = NEVER_US, 0

    def new_mark(self, now_us: int) -> int:
        """Return a mark for a message that is sent to the upstream now."""
        self._last_mark += 1
        self._sent[self._last_mark] = now_us
        if len(self._sent) > MAX_MARKS:
            del self._sent[next(iter(self._sent))]
        return self._last_mark

    def age_from_beat(self, mark: int, since_ms: int, age_ms: int, now_us: int) -> int | None:
        """Return the age in microseconds that a beat proves now.

        None if the beat answers no message of this process, or is impossible.
        """
        sent_us = self._sent.get(mark)
        if sent_us is None or not 0 <= age_ms <= MAX_AGE_MS or not 0 <= since_ms <= MAX_AGE_MS:
            return None
        if age_ms == MAX_AGE_MS:
            return NEVER_US
        link_us = ceil((now_us - sent_us) / (1 - self._drift)) - int(since_ms * 1_000 / (1 + self._drift))
        return age_ms * 1_000 + max(0, link_us)

    def update(self, age_us: int, now_us: int) -> bool:
        """Note that all that was agreed `age_us` ago is in force here.

        Return whether this lowers the age, which never rises by it.
        """
        if age_us >= self.age_us(now_us):
            return False
        self._age_us, self._heard_us = age_us, now_us
        return True

    def age_us(self, now_us: int) -> int:
        """Return the greatest possible age in microseconds; `NEVER_US` if none was ever reported."""
        if self._age_us >= NEVER_US:
            return NEVER_US
        return self._age_us + ceil((now_us - self._heard_us) / (1 - self._drift))

    def is_behind(self, now_us: int) -> bool:
        """Return whether the age is over the stated bound."""
        return self.age_us(now_us) > AGE_BOUND_US
