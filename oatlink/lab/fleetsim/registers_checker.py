"""Whether registers are linearizable, by what keepers voted for and what was answered, while it runs.

- One record for each ballot that is offered.
- What sound majorities accepted, in the order of ballots, is a chain: fences never fall, and one fence is one record.
- A read or change never shows less than what was decided or shown before it was asked for.
- A change that was said not to have happened never has.

The soundness of votes is reckoned here anew: a core that counts too many is caught by what it then decides.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from oatlink.fleet import messages as f
from oatlink.lab.fleetsim.violation import Violation

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process

MOST_OPEN = 256  # ballots of a key that are followed at once


@dataclass
class Try:
    """One ballot: what it offers, and who accepted it in which life."""

    record: f.Record
    votes: dict[str, tuple[int, tuple[tuple[str, int], ...]]] = field(default_factory=dict)
    decided: bool = False


@dataclass
class Key:
    """What is known of one register."""

    tries: dict[f.Ballot, Try] = field(default_factory=dict)
    ballots: list[f.Ballot] = field(default_factory=list)  # decided, in order, with their records
    records: list[f.Record] = field(default_factory=list)
    at: dict[int, bytes] = field(default_factory=lambda: {0: b""})
    highest: int = 0
    refused: dict[bytes, None] = field(default_factory=dict)


@dataclass(slots=True)
class Asked:
    """What a probe asked for."""

    key: str
    fence: int  # below 0: a read
    value: bytes
    known: int


class Registers:
    """See above."""

    def __init__(self, keepers: tuple[str, ...]) -> None:
        self._need = len(keepers) // 2 + 1
        self._keys: dict[str, Key] = {}
        self._open: dict[tuple[int, int], Asked] = {}
        self.decided = self.answers = 0
        self._answered_us = -1

    def offered(self, accept: f.Accept) -> None:
        """A proposer asks a keeper to take a record."""
        key = self._keys.setdefault(accept.key, Key())
        known = key.tries.get(accept.ballot)
        if known is None:
            key.tries[accept.ballot] = Try(accept.record)
            if len(key.tries) > MOST_OPEN:
                del key.tries[next(iter(key.tries))]
        elif known.record != accept.record:
            raise Violation("registers", f"{accept.key}: two records offered at {accept.ballot}")

    def answered(self, process: "Process", sender: str, message: f.Message) -> None:
        """A keeper's vote has come to a proposer."""
        if not isinstance(message, f.Accepted):
            return
        key = self._keys.setdefault(message.key, Key())
        one = key.tries.get(message.ballot)
        if one is None or one.decided:
            return
        one.votes[sender] = message.life, message.met
        if self._sound(one) >= self._need:
            one.decided = True
            self.decided += 1
            self._decide(message.key, key, message.ballot, one.record)

    @staticmethod
    def _sound(one: Try) -> int:
        newest: dict[str, int] = {}
        for _, met in one.votes.values():
            for keeper, life in met:
                newest[keeper] = max(life, newest.get(keeper, 0))
        return sum(life >= newest.get(keeper, 0) for keeper, (life, _) in one.votes.items())

    def _decide(self, name: str, key: Key, ballot: f.Ballot, record: f.Record) -> None:
        place = bisect_left(key.ballots, ballot)
        before = key.records[place - 1] if place else None
        after = key.records[place] if place < len(key.records) else None
        for low, high in ((before, record), (record, after)):
            if (
                low is not None
                and high is not None
                and (high.fence < low.fence or (high.fence == low.fence and high != low))
            ):
                raise Violation("registers", f"{name}: {high} was decided at a higher ballot than {low}")
        key.ballots.insert(place, ballot)
        key.records.insert(place, record)
        if len(key.ballots) > MOST_OPEN:
            del key.ballots[0], key.records[0]
        self._shown(name, key, record.fence, record.value)

    def _shown(self, name: str, key: Key, fence: int, value: bytes) -> None:
        if key.at.setdefault(fence, value) != value:
            raise Violation("registers", f"{name}: fence {fence} is {key.at[fence]!r} and {value!r}")
        if value and value in key.refused:
            raise Violation("registers", f"{name}: {value!r} at {fence} was said not to have happened")
        key.highest = max(key.highest, fence)

    def asks(self, process: "Process", ask: int, name: str, fence: int, value: bytes) -> None:
        """A probe is about to read (`fence` below 0) or change."""
        key = self._keys.setdefault(name, Key())
        self._open[process.incarnation, ask] = Asked(name, fence, value, key.highest)

    def known(self, name: str) -> int:
        """The highest fence shown."""
        key = self._keys.get(name)
        return key.highest if key is not None else 0

    def lately(self, since_us: int) -> bool:
        """Whether anything was answered since then."""
        return self._answered_us >= since_us

    def found(self, process: "Process", answer: f.Answer) -> None:
        """A probe has its answer."""
        asked = self._open.pop((process.incarnation, answer.ask))
        key = self._keys[asked.key]
        if answer.how == "unknown":
            return
        self.answers += 1
        self._answered_us = process.world.time.now
        if answer.fence < asked.known + (answer.how == "changed"):
            raise Violation(
                "registers", f"{asked.key}: {process.name} found {answer.fence} after {asked.known} was shown"
            )
        if answer.how == "changed" and (answer.fence, answer.value) != (asked.fence + 1, asked.value):
            raise Violation("registers", f"{asked.key}: a change of {asked.fence} made {answer.fence}")
        self._shown(asked.key, key, answer.fence, answer.value)
        if answer.how == "differs":
            if asked.value in key.at.values():
                raise Violation("registers", f"{asked.key}: {asked.value!r} is there and was said not to be")
            key.refused[asked.value] = None
