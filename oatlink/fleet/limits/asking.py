"""When a node asks which home, and which answers it takes. No I/O.

A node counts a grant's term from before it asked, so it keeps the time of each question, and an answer to a question
that it does not know is worth nothing. Numbers of questions begin at a drawn one: a process that started again must
not take an answer to its predecessor's question for one to its own, which would count from too late.

A serial lower than the highest one of a name is passed over, whatever order answers come in: the home has counted on
it from the moment that this node named the higher one. It is forgotten only when no answer to a question of before
can still be taken.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from oatlink.fleet.gate import Granted
from oatlink.fleet.limits.home import GRANT_TERM_US
from oatlink.fleet.limits.shards import SHARDS, shard_of
from oatlink.fleet.messages import Demand, Effect, Grants, NotHome, Returned, Tell, Tuned, Want

ASK_US = 250_000  # how often while something is in use: four times a term, so three in a row may be lost
SOON_US = 20_000  # not more often than this, whatever has become active
CUT = 0.9  # of the grant before: less than that is told to the home at once
SILENT_US = 400_000  # without any answer for so long, the shard's lease is worth a look
MOST_DEMANDS = 256  # a question; more are several


@dataclass(slots=True)
class Question:
    """What was asked, of whom, and when by this node's clock."""

    shard: int
    home: str
    asked_us: int


@dataclass(slots=True)
class Held:
    """The newest grant of a name, and when it came."""

    shard: int
    home: str
    serial: int
    rate: float
    burst: float
    until_us: int
    heard_us: int


@dataclass(slots=True)
class Line:
    """How it stands with one shard's home."""

    home: str = ""
    asked_us: int = -ASK_US
    waits_us: int = -1  # since when nothing has been answered; -1: nothing is out
    astray: bool = False  # it said that it is not the home
    cut: bool = False  # a grant was made smaller: what was given up is free once the home knows that it was heard
    fence: int = 0
    names: frozenset[str] = frozenset()


class Asker:
    """One node's questions to the homes of all shards."""

    def __init__(self, node: str, seed: int) -> None:
        """`seed` must be another one each time that the node starts, so its incarnation has to be part of it."""
        draws = Random(f"{node}/{seed}")
        self._ask = draws.getrandbits(60)
        self._spread_us = draws.randrange(ASK_US // 8)
        self._lines = [Line() for _ in range(SHARDS)]
        self._questions: dict[int, Question] = {}  # oldest first
        self._held: dict[str, Held] = {}
        self._looked_us = -ASK_US
        self._left = False

    @property
    def due_us(self) -> int:
        """When `look` is next worth calling; it is at once where the gate says that a request is `GRANT_PENDING`."""
        if any(line.cut for line in self._lines):
            return self._looked_us + SOON_US
        next_us = min((line.asked_us for line in self._lines if line.home and line.names), default=self._looked_us)
        return max(self._looked_us + SOON_US, min(self._looked_us, next_us) + ASK_US - self._spread_us)

    def look(self, demands: Sequence[Demand], homes: Mapping[int, str], now_us: int) -> list[Effect]:
        """Ask the homes (by shard, as the leases say) for what is in use, where it is time. `demands`: the gate's."""
        if self._left:
            return []
        self._looked_us = now_us
        self._forget(now_us)
        parts: dict[int, list[Demand]] = {}
        for demand in demands:
            parts.setdefault(shard_of(demand.name), []).append(demand)
        effects: list[Effect] = []
        for shard, line in enumerate(self._lines):
            part = parts.get(shard)
            if part is None:
                line.waits_us, line.astray, line.cut, line.names = -1, False, False, frozenset()
                continue
            home = homes.get(shard, "")
            if self._is_time(line, home, part, now_us):
                if line.waits_us < 0:
                    line.waits_us = now_us
                if home != line.home:
                    line.home, line.astray = home, False
                if home:
                    effects += self._ask_now(shard, line, part, now_us)
        return effects

    def _is_time(self, line: Line, home: str, part: list[Demand], now_us: int) -> bool:
        passed = now_us - line.asked_us
        if passed >= ASK_US - self._spread_us:
            return True
        return passed >= SOON_US and (line.cut or home != line.home or any(one.name not in line.names for one in part))

    def _ask_now(self, shard: int, line: Line, part: list[Demand], now_us: int) -> list[Effect]:
        line.asked_us, line.cut, line.names = now_us, False, frozenset(one.name for one in part)
        effects: list[Effect] = []
        for start in range(0, len(part), MOST_DEMANDS):
            self._ask += 1
            self._questions[self._ask] = Question(shard, line.home, now_us)
            effects.append(Tell(line.home, Want(self._ask, shard, tuple(part[start : start + MOST_DEMANDS]))))
        return effects

    def receive(self, sender: str, message: Grants | NotHome, now_us: int) -> list[Effect]:
        """An answer: what the gate is to hear of it. What is late, unknown or overtaken is passed over."""
        question = self._questions.get(message.ask)
        if question is None or question.home != sender or question.shard != message.shard or self._left:
            return []
        line = self._lines[question.shard]
        if isinstance(message, NotHome):
            line.astray = line.astray or line.home == sender
            return []
        if message.fence < line.fence:
            return []
        line.fence = message.fence
        if line.home == sender:
            line.waits_us, line.astray = -1, False
        effects: list[Effect] = []
        for grant in message.grants:
            held = self._held.get(grant.name)
            until_us = question.asked_us + min(grant.term_us, GRANT_TERM_US)
            if until_us <= now_us or shard_of(grant.name) != message.shard or (held and held.serial >= grant.serial):
                continue
            line.cut = line.cut or (held is not None and grant.rate < CUT * held.rate)
            self._held[grant.name] = Held(
                message.shard, sender, grant.serial, grant.rate, grant.burst, until_us, now_us
            )
            effects.append(Tuned(Granted(grant.name, grant.serial, grant.rate, grant.burst, until_us)))
        return effects

    def unanswered(self, now_us: int) -> tuple[int, ...]:
        """The shards whose lease is to be looked at: no home is known, it is silent, or it says that it is none."""
        return tuple(
            shard
            for shard, line in enumerate(self._lines)
            if line.waits_us >= 0 and (line.astray or not line.home or now_us - line.waits_us >= SILENT_US)
        )

    def leaving(self, now_us: int) -> list[Effect]:
        """Give back what is live, and ask no more: the gate's grants end first, then the homes hear of it.

        Effects must be carried out in this order. Nothing that the gate admits afterwards is more than its floor.
        """
        self._left = True
        ends: list[Effect] = []
        back: dict[tuple[int, str], list[tuple[str, int]]] = {}
        for name, held in self._held.items():
            if held.until_us > now_us:
                ends.append(Tuned(Granted(name, held.serial, 0.0, 0.0, held.until_us)))
                back.setdefault((held.shard, held.home), []).append((name, held.serial))
        self._held.clear()
        return ends + [Tell(home, Returned(shard, tuple(grants))) for (shard, home), grants in back.items()]

    def _forget(self, now_us: int) -> None:
        while self._questions:
            first = next(iter(self._questions))
            if now_us - self._questions[first].asked_us < GRANT_TERM_US:
                break
            del self._questions[first]
        # Any question whose answer has a lower serial than the newest one was asked before that one came.
        for name in [name for name, held in self._held.items() if now_us - held.heard_us > GRANT_TERM_US]:
            del self._held[name]
