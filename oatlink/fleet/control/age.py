"""How old one's own knowledge is, by one's own clock. No I/O.

What may live here: when the upstream was asked, what it said of its age, and what follows for a later moment.

An age is told as it was when the beat was sent. Nobody can know when that was, but the beat bears the mark of a word of
ours and how long ago that came: it was sent no earlier than that long after *we* sent the mark. All the time since
counts as held by the link. So a link that holds words for a minute, or an old stream that is played again, makes nobody
younger. Own time is divided by (1 - drift), the upstream's by (1 + drift): each clock may be wrong by so much.
"""

from math import ceil

from oatlink.fleet.messages.base import NEVER_US

AGE_BOUND_US = 5_000_000  # the stated bound on age: over it the fallback is said
MAX_MARKS = 8  # words of ours whose time is remembered: more than are on the way at once
MAX_AGE_MS = 1 << 40  # an age that says nothing: the sender has never heard of a source


def to_ms(age_us: int) -> int:
    """An age as it is told: whole milliseconds, rounded up, never more than `MAX_AGE_MS`."""
    return min(MAX_AGE_MS, -(-age_us // 1_000))


class Age:
    """One reader's. `drift`: by how much of its rate each clock may be wrong; `mark`: where its marks begin.

    Threat: a beat of the time before a restart, whose mark is ours again; so `mark` is drawn from the incarnation.
    """

    def __init__(self, drift: float, mark: int) -> None:
        self._drift, self._last_mark = drift, mark
        self._sent: dict[int, int] = {}
        self._age_us, self._heard_us = NEVER_US, 0

    def new_mark(self, now_us: int) -> int:
        """A mark for a word to the upstream that is sent now."""
        self._last_mark += 1
        self._sent[self._last_mark] = now_us
        if len(self._sent) > MAX_MARKS:
            del self._sent[next(iter(self._sent))]
        return self._last_mark

    def age_from_beat(self, mark: int, since_ms: int, age_ms: int, now_us: int) -> int | None:
        """What a beat says, as an age in microseconds now; None where it answers no word of ours, or is impossible."""
        sent_us = self._sent.get(mark)
        if sent_us is None or not 0 <= age_ms <= MAX_AGE_MS or not 0 <= since_ms <= MAX_AGE_MS:
            return None
        if age_ms == MAX_AGE_MS:
            return NEVER_US
        held_us = ceil((now_us - sent_us) / (1 - self._drift)) - int(since_ms * 1_000 / (1 + self._drift))
        return age_ms * 1_000 + max(0, held_us)

    def update(self, age_us: int, now_us: int) -> bool:
        """All that was so `age_us` ago is in force here. What was known to be younger stays known; whether this is."""
        if age_us >= self.age_us(now_us):
            return False
        self._age_us, self._heard_us = age_us, now_us
        return True

    def age_us(self, now_us: int) -> int:
        """How old our knowledge is at most, in microseconds; `NEVER_US` where nothing was ever told."""
        if self._age_us >= NEVER_US:
            return NEVER_US
        return self._age_us + ceil((now_us - self._heard_us) / (1 - self._drift))

    def is_behind(self, now_us: int) -> bool:
        """Whether it is over the stated bound."""
        return self.age_us(now_us) > AGE_BOUND_US
