"""Requests of operators, at any node: they write one register, and the sequencer reads it. No I/O.

So it does not matter which node is asked, whether it can reach the sequencer, or whether there is one at the moment. A
reply says what was written, not what came of it: that is what `status` reports.
"""

from dataclasses import dataclass, field

from oatlink.fleet.messages import NEVER_US, Answer, Change, Effect, Read, Replied
from oatlink.fleet.versions import state as states
from oatlink.fleet.versions.plan import Plan, Wanted, check, decode_wanted, encode_wanted, name_of, parse
from oatlink.fleet.versions.state import State

STATE, PLAN = "versions/state", "versions/plan"
FIRST_ASK = 1 << 40  # far from the numbers of the sequencer's own requests
MAX_REQUESTS = 8
MAX_LINES = 20
TIMEOUT_US = 6_000_000


@dataclass(slots=True)
class OperatorRequest:
    """One pending request of an operator."""

    ticket: int
    command: str  # propose, resume, back or status
    began_us: int
    plan: Plan | None = None
    asks: dict[int, str] = field(default_factory=dict)  # the register of each of its pending reads and changes
    answers: dict[str, Answer] = field(default_factory=dict)
    reply: str = ""  # to send once the change is written


class OperatorRequests:
    """The pending requests of operators at one node."""

    def __init__(self, banks: tuple[str, ...], first_version: int) -> None:
        self._banks, self._first = banks, first_version
        self._ask = FIRST_ASK
        self._requests: list[OperatorRequest] = []

    @property
    def due_us(self) -> int:
        """When `tick` is next due."""
        return min((request.began_us + TIMEOUT_US for request in self._requests), default=NEVER_US)

    def propose(self, ticket: int, text: bytes, now_us: int) -> list[Effect]:
        """Propose a plan, as JSON."""
        plan = parse(text)
        if isinstance(plan, str):
            return [Replied(ticket, plan)]
        return self._start(OperatorRequest(ticket, "propose", now_us, plan))

    def resume(self, ticket: int, now_us: int) -> list[Effect]:
        """Continue, or go forward again."""
        return self._start(OperatorRequest(ticket, "resume", now_us))

    def back(self, ticket: int, now_us: int) -> list[Effect]:
        """Go back to the old version."""
        return self._start(OperatorRequest(ticket, "back", now_us))

    def status(self, ticket: int, now_us: int) -> list[Effect]:
        """Report the contents of the registers."""
        return self._start(OperatorRequest(ticket, "status", now_us))

    def tick(self, now_us: int) -> list[Effect]:
        """Reply to requests that timed out."""
        late = [request for request in self._requests if now_us - request.began_us >= TIMEOUT_US]
        return [effect for request in late for effect in self._finish(request, self._no_majority(request))]

    def owns(self, ask: int) -> bool:
        """Whether an answer with this number belongs to a request of an operator."""
        return ask >= FIRST_ASK

    def answer(self, answer: Answer, now_us: int) -> list[Effect]:
        """Handle an answer to a read or change for a request."""
        request = next((pending for pending in self._requests if answer.ask in pending.asks), None)
        if request is None:
            return []
        del request.asks[answer.ask]
        if answer.how == "found":
            request.answers[answer.key] = answer
            return self._decide(request) if len(request.answers) == 2 else []
        if answer.how == "changed":
            return self._finish(request, request.reply)
        if answer.how == "differs":
            return self._finish(request, "refused: another word was written meanwhile; look and say it again")
        return self._finish(request, self._no_majority(request))

    @staticmethod
    def _no_majority(request: OperatorRequest) -> str:
        if request.reply:
            return "no majority of the keepers answered: it may have been written or not; look before saying it again"
        return "no majority of the keepers answered: nothing was written"

    def _start(self, request: OperatorRequest) -> list[Effect]:
        if len(self._requests) >= MAX_REQUESTS:
            return [Replied(request.ticket, f"refused: {MAX_REQUESTS} are on their way")]
        self._requests.append(request)
        return [Read(self._next_ask(request, key), key) for key in (STATE, PLAN)]

    def _next_ask(self, request: OperatorRequest, key: str) -> int:
        self._ask += 1
        request.asks[self._ask] = key
        return self._ask

    def _finish(self, request: OperatorRequest, text: str) -> list[Effect]:
        self._requests = [pending for pending in self._requests if pending is not request]
        return [Replied(request.ticket, text)]

    def _decide(self, request: OperatorRequest) -> list[Effect]:
        value = request.answers[STATE].value
        state = states.decode(value) if value else states.first(self._first)
        if state is None:
            return self._finish(request, f"register {STATE} holds what this gateway cannot read")
        want = decode_wanted(request.answers[PLAN].value)
        if request.command == "status":
            return self._finish(request, "\n".join(describe(state, want)))
        decided = self._decide_write(request, state, want)
        if isinstance(decided, str):
            return self._finish(request, decided)
        word, name, plan, request.reply = decided
        return [
            Change(self._next_ask(request, PLAN), PLAN, request.answers[PLAN].fence, encode_wanted(word, name, plan))
        ]

    def _decide_write(
        self, request: OperatorRequest, state: State, want: Wanted | None
    ) -> str | tuple[str, str, Plan | None, str]:
        """What to write (word, name, plan) with the reply, or why the request is refused."""
        plan = want.plan if want is not None else None
        if request.command == "propose" and request.plan is not None:
            plan = request.plan
            mistakes = list(check(plan, self._banks, state))
            reply = f"plan {name_of(plan)} to version {plan.version} is written; the sequencer begins it"
            return "\n".join(mistakes[:MAX_LINES]) if mistakes else ("go", name_of(plan), plan, reply)
        if state.phase == "idle":
            if plan is None or plan.version != state.old + 1:
                return f"nothing to {request.command}: version {state.old} is served and no plan waits"
            if request.command == "back":
                return "back", name_of(plan), plan, "written: the plan is not begun, unless it was already"
            return "go", name_of(plan), plan, "written: the plan is begun"
        if want is None or want.name != state.plan:
            plan = None  # the register contains another plan than the one that runs
        if request.command == "back":
            if state.phase == "contracting":
                return "refused: a contract was begun, the way is forward only"
            reply = f"written: back to version {state.old}, unless a contract was begun meanwhile"
            return "back", state.plan, plan, reply
        if state.phase == "undoing" and plan is None:
            return "refused: it goes back; propose the plan again afterwards"
        progress = "first it goes back, then begins again" if state.phase == "undoing" else f"on to version {state.new}"
        return "go", state.plan, plan, f"written: {progress}"


def describe(state: State, want: Wanted | None) -> list[str]:
    """The state, in lines for operators."""
    served = " and ".join(map(str, state.served))
    lines = [f"version {served} served, default {state.default}, phase {state.phase}, plan {state.plan or '-'}"]
    if want is not None:
        lines.append(f"wanted: {want.word}, plan {want.name}")
    for bank, shard in state.shards.items():
        steps = ", ".join(f"{step.kind} {step.version} {'done' if step.done else 'not done'}" for step in shard.steps)
        lines.append(f"bank {bank}: {steps or 'no steps'}")
    return lines
