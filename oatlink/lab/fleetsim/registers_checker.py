"""Checks during the run, from the votes of acceptors and the answers to probes, that registers are linearizable.

- Each ballot offers only one record.
- The records that valid majorities accepted form a chain in the order of ballots: fences never decrease, and each
  fence has one record.
- A read or a change never returns an older record than one that was decided or returned before it was requested.
- A change that was reported as not applied is never seen later.

Which votes are valid is computed here independently of the core, so that a core that counts too many votes is found
by what it then decides.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from oatlink.fleet import messages as f
from oatlink.lab.fleetsim.violation import Violation

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process

MAX_BALLOTS = 256  # ballots of one key that are tracked at once


@dataclass
class BallotState:
    """One ballot: its record, and for each acceptor that accepted it its life and the lives of others it had met."""

    record: f.Record
    votes: dict[str, tuple[int, tuple[tuple[str, int], ...]]] = field(default_factory=dict)
    decided: bool = False


@dataclass
class RegisterState:
    """What is known of one register."""

    offered: dict[f.Ballot, BallotState] = field(default_factory=dict)
    ballots: list[f.Ballot] = field(default_factory=list)  # decided ballots in order; `records` has their records
    records: list[f.Record] = field(default_factory=list)
    values: dict[int, bytes] = field(default_factory=lambda: {0: b""})  # by fence
    highest_fence: int = 0
    not_applied: dict[bytes, None] = field(default_factory=dict)  # values that were reported as not applied


@dataclass(slots=True)
class ProbeRequest:
    """A request of a probe."""

    key: str
    fence: int  # below 0 for a read
    value: bytes
    known_fence: int  # the highest fence that was known when it was made


class RegisterChecker:
    """Checks the invariants that this module lists."""

    def __init__(self, acceptors: tuple[str, ...]) -> None:
        self._majority = len(acceptors) // 2 + 1
        self._registers: dict[str, RegisterState] = {}
        self._requests: dict[tuple[int, int], ProbeRequest] = {}  # by incarnation and number
        self.decided = self.answers = 0
        self._answered_us = -1

    def accept_sent(self, accept: f.Accept) -> None:
        """Check a request of a proposer that an acceptor accept a record."""
        register = self._registers.setdefault(accept.key, RegisterState())
        known = register.offered.get(accept.ballot)
        if known is None:
            register.offered[accept.ballot] = BallotState(accept.record)
            if len(register.offered) > MAX_BALLOTS:
                del register.offered[next(iter(register.offered))]
        elif known.record != accept.record:
            raise Violation("registers", f"{accept.key}: two records offered at {accept.ballot}")

    def vote_received(self, process: "Process", sender: str, message: f.Message) -> None:
        """Count the vote of an acceptor that has reached a proposer."""
        if not isinstance(message, f.Accepted):
            return
        register = self._registers.setdefault(message.key, RegisterState())
        state = register.offered.get(message.ballot)
        if state is None or state.decided:
            return
        state.votes[sender] = message.life, message.met
        if self._valid_vote_count(state) >= self._majority:
            state.decided = True
            self.decided += 1
            self._decide(message.key, register, message.ballot, state.record)

    @staticmethod
    def _valid_vote_count(state: BallotState) -> int:
        # A vote is invalid if another voter has met a later life of the same acceptor.
        newest: dict[str, int] = {}
        for _, met in state.votes.values():
            for acceptor, life in met:
                newest[acceptor] = max(life, newest.get(acceptor, 0))
        return sum(life >= newest.get(acceptor, 0) for acceptor, (life, _) in state.votes.items())

    def _decide(self, name: str, register: RegisterState, ballot: f.Ballot, record: f.Record) -> None:
        index = bisect_left(register.ballots, ballot)
        before = register.records[index - 1] if index else None
        after = register.records[index] if index < len(register.records) else None
        for low, high in ((before, record), (record, after)):
            if (
                low is not None
                and high is not None
                and (high.fence < low.fence or (high.fence == low.fence and high != low))
            ):
                raise Violation("registers", f"{name}: {high} was decided at a higher ballot than {low}")
        register.ballots.insert(index, ballot)
        register.records.insert(index, record)
        if len(register.ballots) > MAX_BALLOTS:
            del register.ballots[0], register.records[0]
        self._note_value(name, register, record.fence, record.value)

    def _note_value(self, name: str, register: RegisterState, fence: int, value: bytes) -> None:
        if register.values.setdefault(fence, value) != value:
            raise Violation("registers", f"{name}: fence {fence} has both {register.values[fence]!r} and {value!r}")
        if value and value in register.not_applied:
            raise Violation("registers", f"{name}: {value!r} at fence {fence} was reported as not applied")
        register.highest_fence = max(register.highest_fence, fence)

    def probe_sent(self, process: "Process", ask: int, name: str, fence: int, value: bytes) -> None:
        """Note that a probe is about to read (`fence` below 0) or to change a register."""
        register = self._registers.setdefault(name, RegisterState())
        self._requests[process.incarnation, ask] = ProbeRequest(name, fence, value, register.highest_fence)

    def highest_fence(self, name: str) -> int:
        """The highest fence of a register that was decided or returned."""
        register = self._registers.get(name)
        return register.highest_fence if register is not None else 0

    def has_answered_since(self, since_us: int) -> bool:
        """Whether any probe was answered since then."""
        return self._answered_us >= since_us

    def probe_answered(self, process: "Process", answer: f.Answer) -> None:
        """Check the answer to a probe."""
        request = self._requests.pop((process.incarnation, answer.ask))
        register = self._registers[request.key]
        if answer.how == "unknown":
            return
        self.answers += 1
        self._answered_us = process.world.time.now
        if answer.fence < request.known_fence + (answer.how == "changed"):
            raise Violation(
                "registers",
                f"{request.key}: {process.name} got fence {answer.fence} when {request.known_fence} was known",
            )
        if answer.how == "changed" and (answer.fence, answer.value) != (request.fence + 1, request.value):
            raise Violation(
                "registers", f"{request.key}: a change of fence {request.fence} led to fence {answer.fence}"
            )
        self._note_value(request.key, register, answer.fence, answer.value)
        if answer.how == "differs":
            if request.value in register.values.values():
                raise Violation(
                    "registers", f"{request.key}: {request.value!r} was applied and reported as not applied"
                )
            register.not_applied[request.value] = None
