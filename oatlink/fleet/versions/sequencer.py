"""The one node that carries out a change of layout, while it holds the lease `versions`. No I/O.

This module enforces the order intention -> act -> outcome, and the claim of the state that precedes all of them. Which
state follows which is in `moves`; what runs where in `bank_tasks`; which node may serve what in `ledger`.

Why two sequencers do no harm, however long one was paused:

- It acts only at a moment when its lease has not ended (`lease_until_us`, passed with each call), and a lease has one
  holder at a time. What it sent before the end may take effect at any time after.
- A change of the state is conditional on the fence it was computed from, and a new holder changes the state (it writes
  its fence there) before it does anything else: from then on a late change of an earlier holder is refused. So what a
  holder knows of the state is the content of the register, except for its own changes, until its lease ends.
- A step runs only once its intention was read back from the register, and carries its number (`marker`).
- It grants only while it holds the lease (`adopt`). A grant may outlive the lease, so that the fleet continues to serve
  while there is no sequencer: the next one considers no version drained before all such grants have ended (`ledger`).
- At most two adjacent versions are served, old grants included: a third version is served only after the contract or
  the undo of one of the two, which only follows once that one is drained.
- The plan that runs is a copy that only holders write, made anew before each start of a plan: an operator who
  overwrites the plan meanwhile, or a late copy of another, does not affect the one that runs.
"""

import msgspec
from msgspec.structs import replace

from oatlink.fleet.messages import NEVER_US, Adopt, Adopted, Answer, Effect, Note, NotSequencer, Tell
from oatlink.fleet.versions import state as states
from oatlink.fleet.versions.bank_tasks import BankTasks
from oatlink.fleet.versions.ledger import Ledger
from oatlink.fleet.versions.moves import begin, next_state, settled
from oatlink.fleet.versions.operator_requests import OperatorRequests
from oatlink.fleet.versions.plan import check, name_of
from oatlink.fleet.versions.state import State
from oatlink.fleet.versions.version_registers import VersionRegisters

VERSION_TERM_US = 8_000_000
"""For how long a fleet continues to serve without a sequencer: longer than a lease and the acquisition of the next one
take. No node may grant more than the others expect, so it is no setting."""
TICK_US = 100_000


class Sequencer:
    """Runs at every node, since operators may ask any. It sequences only between `began` and `ended`.

    Each call passes `lease_until_us`, the end of the lease by this node's clock as the holder sees it, 0 if it does not
    hold the lease. Every method accepts any input and raises nothing.
    """

    def __init__(
        self,
        node: str,
        banks: tuple[str, ...],
        first_version: int,
        drift: float,
        longest_deadline_us: int,
        seed: int,
        term_us: int = VERSION_TERM_US,
    ) -> None:
        self.node = node
        self.operators = OperatorRequests(banks, first_version)
        self.ledger = Ledger(drift, longest_deadline_us, term_us)
        self._banks, self._term_us = banks, term_us
        self._registers = VersionRegisters(first_version)
        self._tasks = BankTasks(seed)
        self._lease = 0  # the fence of the lease; 0 without one
        self._reported: dict[str, tuple[int, str, int]] = {}  # by bank, the marker last read: number, history, offset
        self._moved_us = NEVER_US  # since when both versions are served with the new one as default
        self._notes: list[Effect] = []
        self._noted: dict[str, str] = {}  # the last text of each event, so that none is logged twice in a row
        self._now_us = 0

    @property
    def due_us(self) -> int:
        """When `tick` is next due."""
        return self._now_us + TICK_US if self._lease else self.operators.due_us

    @property
    def sequencing(self) -> int:
        """The fence of the lease under which it works, 0 without one."""
        return self._lease

    @property
    def state(self) -> State | None:
        """The last known state, None if this node does not sequence or has not read it yet."""
        return self._registers.state if self._lease else None

    def began(self, fence: int, now_us: int) -> None:
        """Start under the lease that this node has acquired, with this fence; `tick` is due."""
        self.ended()
        self._lease, self._now_us = fence, now_us - TICK_US
        self.ledger.began(now_us)

    def ended(self) -> None:
        """Stop, as this node no longer holds the lease; pending requests are no longer waited for."""
        self._lease, self._moved_us = 0, NEVER_US
        self._registers.forget()
        self._tasks.forget()
        self._reported.clear()
        self._noted.clear()

    def propose(self, ticket: int, text: bytes, now_us: int) -> list[Effect]:
        """Propose an operator's plan, as JSON. `Replied` with the ticket follows, as after the next three methods."""
        return self.operators.propose(ticket, text, now_us)

    def resume(self, ticket: int, now_us: int) -> list[Effect]:
        """Continue the change: retry at once what waits for a retry, and go forward if it was going back."""
        return self.operators.resume(ticket, now_us)

    def back(self, ticket: int, now_us: int) -> list[Effect]:
        """Go back to the old version, which is possible until the first contract."""
        return self.operators.back(ticket, now_us)

    def status(self, ticket: int, now_us: int) -> list[Effect]:
        """Report the contents of the registers."""
        return self.operators.status(ticket, now_us)

    def tick(self, lease_until_us: int, now_us: int) -> list[Effect]:
        """Do what is due."""
        return self.operators.tick(now_us) + self._act(lease_until_us, now_us)

    def answer(self, answer: Answer, lease_until_us: int, now_us: int) -> list[Effect]:
        """Handle an answer to a `Read` or `Change` of a register whose key begins with `versions/`."""
        if self.operators.owns(answer.ask):
            return self.operators.answer(answer, now_us)
        if self._registers.answer(answer, now_us):
            self._tasks.retry_now()
        return self._act(lease_until_us, now_us)

    def ran(self, ask: int, how: str, history: str, offset: int, lease_until_us: int, now_us: int) -> list[Effect]:
        """Handle the end of a `RunStep`; `how` is done, fenced, behind, failed or unknown, see there."""
        done = how == "done" and history != "" and offset >= 0
        task = self._tasks.ended(ask, done, how in ("fenced", "behind"), now_us)
        if task is not None and done:
            self._reported[task[0]] = task[1], history, offset
        elif task is not None:
            self._note("step not done", f"bank {task[0]}, step {task[1]}: {how[:40]}")
        return self._act(lease_until_us, now_us)

    def marked(
        self, ask: int, number: int, history: str, offset: int, lease_until_us: int, now_us: int
    ) -> list[Effect]:
        """Handle the end of an `AskMarker`; `number` is -1 if the marker is unknown."""
        is_known = number >= 0 and history != "" and offset >= 0
        task = self._tasks.ended(ask, is_known, False, now_us)
        if task is not None and is_known:
            self._reported[task[0]] = number, history, offset
        return self._act(lease_until_us, now_us)

    def failed_over(self, bank: str, lease_until_us: int, now_us: int) -> list[Effect]:
        """Check the marker of this bank now, since a gateway observed another primary there."""
        self._tasks.retry_now(bank)
        return self._act(lease_until_us, now_us)

    def adopt(self, sender: str, message: Adopt, lease_until_us: int, now_us: int) -> list[Effect]:
        """Answer a node that asks what it may serve. The grant is for a whole term, which may end after the lease."""
        state = self._claimed(lease_until_us, now_us)
        if state is None:
            return [Tell(sender, NotSequencer(message.ask))]
        self.ledger.record_status(sender, message.since, message.heard, message.busy, now_us)
        if not self.ledger.record_grant(sender, message.since, message.ask, state.served, self._term_us, now_us):
            return [Tell(sender, NotSequencer(message.ask)), *self._note_now("too many nodes", "no room in the ledger")]
        offers = tuple(states.offer(state, bank) for bank in state.shards)
        answer = Adopted(message.ask, self._lease, self._term_us, state.served, state.default, offers)
        return [Tell(sender, answer)]

    def _claimed(self, lease_until_us: int, now_us: int) -> State | None:
        """The state if it is known to be that of the register, which requires that it was written under this lease."""
        state = self._registers.state
        if not self._lease or now_us >= lease_until_us or state is None:
            return None
        return state if state.fence == self._lease else None

    def _act(self, lease_until_us: int, now_us: int) -> list[Effect]:
        if not self._lease or now_us >= lease_until_us:
            return []
        self._now_us = now_us
        effects = self._registers.poll(now_us)
        state = self._registers.state
        if state is not None and self._registers.is_writable and state.fence < self._lease:
            effects += self._registers.write(replace(state, fence=self._lease), now_us)
        elif state is not None and state.fence == self._lease:
            if self._registers.is_first_change:
                self.ledger.assume_no_predecessor()
            if self._registers.is_writable:
                effects += self._advance(state, now_us)
            effects += self._tasks.work(state, self._registers.commands, now_us)
        elif self._registers.is_unreadable:
            self._note("state unreadable", "a newer gateway may have written it")
        effects += self._notes
        self._notes = []
        return effects

    def _advance(self, state: State, now_us: int) -> list[Effect]:
        """Write the state that follows, if it differs."""
        following = state
        for bank, (number, history, offset) in list(self._reported.items()):
            known = states.with_marker(following, bank, number, history, offset)
            if known == following:
                del self._reported[bank]  # the state already contains it
            following = known
            if bank in state.shards and number < state.shards[bank].floor:
                self._note("steps lost", f"bank {bank} shows {number}: a plan that is not known any more is missing")
        if following.phase == "idle":
            following, effects = self._start_plan(following, now_us)
        else:
            following, effects = self._next_state(following, now_us), []
        return effects + (self._registers.write(following, now_us) if following != state else [])

    def _next_state(self, state: State, now_us: int) -> State:
        """The state that follows in the change in progress, or the same state."""
        plan, want = self._registers.plan(state.new), self._registers.wanted
        if plan is None:
            if self._registers.is_missing(state.new):
                self._note("plan unknown", f"version {state.new}, plan {state.plan}")
            return state
        if state.phase != "moved":
            self._moved_us = NEVER_US
        elif self._moved_us == NEVER_US:
            self._moved_us = now_us
        back = want is not None and want.word == "back" and want.name == state.plan
        stayed = now_us - self._moved_us >= 1_000 * plan.stay_ms
        following = next_state(state, plan, back, stayed, lambda version: self.ledger.drained(version, now_us))
        if following.phase != state.phase:
            self._note("layout", f"version {state.old} to {state.new}, plan {state.plan}: {following.phase}")
        return following

    def _start_plan(self, state: State, now_us: int) -> tuple[State, list[Effect]]:
        """The state with the wanted plan started, if that can run now; else what has to be done before."""
        want = self._registers.wanted
        plan = want.plan if want is not None and want.word == "go" else None
        if plan is None or plan.version <= state.old or not settled(state):
            return state, []
        mistake = next(check(plan, self._banks, state), "")
        if mistake:
            self._note("plan refused", mistake)
            return state, []
        if self._registers.may_still_change:
            # The start of the plan wanted before may still take effect, and would then run the copy of this plan.
            # Writing the state first prevents that.
            return state, self._registers.write(state, now_us)
        copying = self._registers.copy(plan, msgspec.json.encode(plan, order="deterministic"), now_us)
        return (begin(state, plan, name_of(plan)), []) if copying is None else (state, copying)

    def _note(self, event: str, text: str) -> None:
        self._notes += self._note_now(event, text)

    def _note_now(self, event: str, text: str) -> list[Effect]:
        if self._noted.get(event) == text:
            return []
        self._noted[event] = text
        return [Note(event, text)]
