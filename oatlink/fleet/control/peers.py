"""What a source knows of the other sources: who is heard, who leads, when to beat. No I/O.

Sources are readers of one another: a version is told at once (`Committed`), and a beat each second tells all heads, so
one that was lost is noticed. Nothing here is needed for agreement; who leads only saves work that all could do.
"""

from random import Random

from oatlink.fleet.messages.control import Place

BEAT_INTERVAL_US = 1_000_000
HEARD_US = 3_500_000  # three beats
PULL_TIMEOUT_US = (
    500_000  # an answer to a question for what is missing is waited for this long, then another source is asked
)


class Peers:
    """`others` are all sources but this one, in the order of their names."""

    def __init__(self, name: str, sources: tuple[Place, ...], seed: int, now_us: int) -> None:
        self.others = tuple(sorted((one for one in sources if one.name != name), key=lambda one: one.name))
        self.all = tuple(sorted((name, *(one.name for one in self.others))))
        self.beat_us = now_us + Random(f"{seed}/{name}/beat").randrange(BEAT_INTERVAL_US)
        self._name = name
        self._heard_us: dict[str, int] = {}
        self._asked: dict[str, tuple[int, int]] = {}  # by scope: when it was asked for last, and the turn

    def __contains__(self, name: str) -> bool:
        return name != self._name and name in self.all

    def mark_heard(self, name: str, now_us: int) -> None:
        """A word of it has come."""
        self._heard_us[name] = now_us

    def mark_away(self, name: str) -> None:
        """It has left, or its link failed."""
        self._heard_us.pop(name, None)

    def is_heard(self, name: str, now_us: int) -> bool:
        """Whether it was heard of lately; this one is there."""
        return name == self._name or now_us - self._heard_us.get(name, now_us - HEARD_US - 1) <= HEARD_US

    def hears_majority(self, now_us: int) -> bool:
        """Whether most sources are heard here, this one among them."""
        return 2 * sum(self.is_heard(one, now_us) for one in self.all) > len(self.all)

    def is_leader(self, now_us: int) -> bool:
        """Whether this is the first of those that are there, and so the one that does what one has to do."""
        return next(one for one in self.all if self.is_heard(one, now_us)) == self._name

    def next_to_ask(self, scope: str, now_us: int) -> str:
        """Whom to ask for what is missing of a scope, one after the other; '' while an answer may still come."""
        asked_us, turn = self._asked.get(scope, (now_us - PULL_TIMEOUT_US, 0))
        there = [one.name for one in self.others if self.is_heard(one.name, now_us)]
        if not there or now_us - asked_us < PULL_TIMEOUT_US:
            return ""
        self._asked[scope] = now_us, turn + 1
        return there[turn % len(there)]

    def answer_received(self, scope: str, now_us: int) -> None:
        """An answer has come: what follows may be asked for at once, of the same one."""
        _, turn = self._asked.get(scope, (0, 1))
        self._asked[scope] = now_us - PULL_TIMEOUT_US, max(0, turn - 1)
