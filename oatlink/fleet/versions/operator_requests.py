"""Where operators say what they want, at any node: they write one register, and the sequencer reads it. No I/O.

So it does not matter which node is asked, whether it can reach the sequencer, or whether there is one just then. An
answer says what was written, not what came of it: `look` says that.
"""

from dataclasses import dataclass, field

from oatlink.fleet.messages import NEVER_US, Answer, Change, Effect, Read, Replied
from oatlink.fleet.versions import state as states
from oatlink.fleet.versions.plan import Plan, Wanted, check, encoded, name_of, wanted
from oatlink.fleet.versions.plan import read as read_plan
from oatlink.fleet.versions.state import State

STATE, PLAN = "versions/state", "versions/plan"
FIRST_ASK = 1 << 40  # far from the sequencer's own
MOST_JOBS = 8
MOST_LINES = 20
PATIENCE_US = 6_000_000


@dataclass(slots=True)
class OperatorRequest:
    """One operator's word on its way."""

    ticket: int
    word: str  # propose, resume, back or look
    began_us: int
    plan: Plan | None = None
    asks: dict[int, str] = field(default_factory=dict)  # which register each of its asks is for
    found: dict[str, Answer] = field(default_factory=dict)
    says: str = ""  # once it is written


class OperatorRequests:
    """The operators' words on their way at one node."""

    def __init__(self, banks: tuple[str, ...], first_version: int) -> None:
        self._banks, self._first = banks, first_version
        self._ask = FIRST_ASK
        self._jobs: list[OperatorRequest] = []

    @property
    def due_us(self) -> int:
        """When `tick` has something to do."""
        return min((job.began_us + PATIENCE_US for job in self._jobs), default=NEVER_US)

    def propose(self, ticket: int, text: bytes, now_us: int) -> list[Effect]:
        """A plan as JSON."""
        plan = read_plan(text)
        if isinstance(plan, str):
            return [Replied(ticket, plan)]
        return self._start(OperatorRequest(ticket, "propose", now_us, plan))

    def resume(self, ticket: int, now_us: int) -> list[Effect]:
        """Go on, or forward again."""
        return self._start(OperatorRequest(ticket, "resume", now_us))

    def back(self, ticket: int, now_us: int) -> list[Effect]:
        """Go back."""
        return self._start(OperatorRequest(ticket, "back", now_us))

    def look(self, ticket: int, now_us: int) -> list[Effect]:
        """Say what the registers hold."""
        return self._start(OperatorRequest(ticket, "look", now_us))

    def tick(self, now_us: int) -> list[Effect]:
        """Let go of what is not answered."""
        late = [job for job in self._jobs if now_us - job.began_us >= PATIENCE_US]
        return [effect for job in late for effect in self._end(job, self._lost(job))]

    def knows(self, ask: int) -> bool:
        """Whether an answer to this ask is the desk's."""
        return ask >= FIRST_ASK

    def answer(self, answer: Answer, now_us: int) -> list[Effect]:
        """An answer to one of the desk's asks."""
        job = next((one for one in self._jobs if answer.ask in one.asks), None)
        if job is None:
            return []
        del job.asks[answer.ask]
        if answer.how == "found":
            job.found[answer.key] = answer
            return self._decide(job) if len(job.found) == 2 else []
        if answer.how == "changed":
            return self._end(job, job.says)
        if answer.how == "differs":
            return self._end(job, "refused: another word was written meanwhile; look and say it again")
        return self._end(job, self._lost(job))

    @staticmethod
    def _lost(job: OperatorRequest) -> str:
        if job.says:
            return "no majority of the keepers answered: it may have been written or not; look before saying it again"
        return "no majority of the keepers answered: nothing was written"

    def _start(self, job: OperatorRequest) -> list[Effect]:
        if len(self._jobs) >= MOST_JOBS:
            return [Replied(job.ticket, f"refused: {MOST_JOBS} are on their way")]
        self._jobs.append(job)
        return [Read(self._next(job, key), key) for key in (STATE, PLAN)]

    def _next(self, job: OperatorRequest, key: str) -> int:
        self._ask += 1
        job.asks[self._ask] = key
        return self._ask

    def _end(self, job: OperatorRequest, text: str) -> list[Effect]:
        self._jobs = [one for one in self._jobs if one is not job]
        return [Replied(job.ticket, text)]

    def _decide(self, job: OperatorRequest) -> list[Effect]:
        value = job.found[STATE].value
        state = states.decode(value) if value else states.first(self._first)
        if state is None:
            return self._end(job, f"register {STATE} holds what this gateway cannot read")
        want = wanted(job.found[PLAN].value)
        if job.word == "look":
            return self._end(job, "\n".join(described(state, want)))
        decided = self._word(job, state, want)
        if isinstance(decided, str):
            return self._end(job, decided)
        word, name, plan, job.says = decided
        return [Change(self._next(job, PLAN), PLAN, job.found[PLAN].fence, encoded(word, name, plan))]

    def _word(self, job: OperatorRequest, state: State, want: Wanted | None) -> str | tuple[str, str, Plan | None, str]:
        """What is to be written and said, or why not."""
        plan = want.plan if want is not None else None
        if job.word == "propose" and job.plan is not None:
            plan = job.plan
            wrong = list(check(plan, self._banks, state))
            says = f"plan {name_of(plan)} to version {plan.version} is written; the sequencer begins it"
            return "\n".join(wrong[:MOST_LINES]) if wrong else ("go", name_of(plan), plan, says)
        if state.phase == "idle":
            if plan is None or plan.version != state.old + 1:
                return f"nothing to {job.word}: version {state.old} is served and no plan waits"
            if job.word == "back":
                return "back", name_of(plan), plan, "written: the plan is not begun, unless it was already"
            return "go", name_of(plan), plan, "written: the plan is begun"
        if want is None or want.name != state.plan:
            plan = None  # a plan that was written over the one that runs
        if job.word == "back":
            if state.phase == "contracting":
                return "refused: a contract was begun, the way is forward only"
            says = f"written: back to version {state.old}, unless a contract was begun meanwhile"
            return "back", state.plan, plan, says
        if state.phase == "undoing" and plan is None:
            return "refused: it goes back; propose the plan again afterwards"
        says = "first it goes back, then begins again" if state.phase == "undoing" else f"on to version {state.new}"
        return "go", state.plan, plan, f"written: {says}"


def described(state: State, want: Wanted | None) -> list[str]:
    """What is known, in lines for people."""
    served = " and ".join(map(str, state.served))
    lines = [f"version {served} served, default {state.default}, phase {state.phase}, plan {state.plan or '-'}"]
    if want is not None:
        lines.append(f"wanted: {want.word}, plan {want.name}")
    for bank, shard in state.shards.items():
        steps = ", ".join(f"{one.kind} {one.version} {'done' if one.done else 'not done'}" for one in shard.steps)
        lines.append(f"bank {bank}: {steps or 'no steps'}")
    return lines
