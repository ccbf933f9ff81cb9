"""Tracks the other sources: which are heard from, which one leads, when to send a beat. No I/O.

Sources are readers of one another: a version is sent at once (`Committed`), and a beat each second names all heads, so
that a lost version is noticed. Agreement does not depend on a leader; the leader only does work that otherwise all
sources would repeat.
"""

from random import Random

from oatlink.fleet.messages.control import Place

BEAT_INTERVAL_US = 1_000_000
HEARD_US = 3_500_000  # a source that sent nothing for three and a half beats counts as gone
PULL_TIMEOUT_US = 500_000  # without an answer by then, what is missing is requested from another source


class Peers:
    """The other sources. `others` are all of them but this one, in the order of their names."""

    def __init__(self, name: str, sources: tuple[Place, ...], seed: int, now_us: int) -> None:
        self.others = tuple(
            sorted((source for source in sources if source.name != name), key=lambda source: source.name)
        )
        self.all = tuple(sorted((name, *(source.name for source in self.others))))
        self.next_beat_us = now_us + Random(f"{seed}/{name}/beat").randrange(BEAT_INTERVAL_US)
        self._name = name
        self._heard_us: dict[str, int] = {}
        self._asked: dict[str, tuple[int, int]] = {}  # by scope: when it was last requested, and the turn

    def __contains__(self, name: str) -> bool:
        return name != self._name and name in self.all

    def mark_heard(self, name: str, now_us: int) -> None:
        """Note that a message of this source has come."""
        self._heard_us[name] = now_us

    def mark_away(self, name: str) -> None:
        """Note that this source has left, or that its link failed."""
        self._heard_us.pop(name, None)

    def is_heard(self, name: str, now_us: int) -> bool:
        """Return whether this source was heard of lately; true for this process itself."""
        return name == self._name or now_us - self._heard_us.get(name, now_us - HEARD_US - 1) <= HEARD_US

    def hears_majority(self, now_us: int) -> bool:
        """Return whether most sources are heard here, counting this one."""
        return 2 * sum(self.is_heard(source, now_us) for source in self.all) > len(self.all)

    def is_leader(self, now_us: int) -> bool:
        """Return whether this is the first of the sources that are heard.

        The leader does what only one source has to do.
        """
        return next(source for source in self.all if self.is_heard(source, now_us)) == self._name

    def next_to_ask(self, scope: str, now_us: int) -> str:
        """Return which source to ask for what is missing of a scope, in turn; '' while an answer may still come."""
        asked_us, turn = self._asked.get(scope, (now_us - PULL_TIMEOUT_US, 0))
        heard = [source.name for source in self.others if self.is_heard(source.name, now_us)]
        if not heard or now_us - asked_us < PULL_TIMEOUT_US:
            return ""
        self._asked[scope] = now_us, turn + 1
        return heard[turn % len(heard)]

    def answer_received(self, scope: str, now_us: int) -> None:
        """Note an answer: the next part may be requested at once, from the same source."""
        _, turn = self._asked.get(scope, (0, 1))
        self._asked[scope] = now_us - PULL_TIMEOUT_US, max(0, turn - 1)
