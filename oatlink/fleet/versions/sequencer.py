"""The one node that takes a change of layout on, while it holds the lease `versions`. No I/O.

What may live here: the order intention -> act -> outcome, and the one claim before all of them. What follows what is
`moves`'; what runs where is `errands`'; who may serve what is `ledger`'s.

The proof that two of these do no harm, however long one stood still:

- It acts only at a moment when its lease has not ended (`lease_until_us`, asked for at each act), and there is one
  holder of a lease at a time. What it sent before the end may take effect at any time after.
- A change of the state is conditional on the fence it was computed from, and a new holder changes the state (it puts
  its fence there) before it does anything else: a late change of an earlier holder is refused from then on. So what a
  holder knows of the state is what the register holds, but for its own changes, until its lease ends.
- A step runs only once its intention was read back from the register, and bears its number (`marker`).
- It grants only while it holds the lease (`adopt`). A grant may outlive the lease, so that the fleet serves on while
  there is no sequencer: the next one takes no version for drained before all such grants have ended (`ledger`).
- At most two neighbours are served, old grants included: a third version is served only after the contract or the undo
  of one of the two, which only follows once that one is drained.
- The plan that runs is a copy that only holders write, made anew before each beginning: an operator who overwrites
  the plan meanwhile, or a late copy of another, leaves the one that runs alone.
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
"""A fleet serves on for this long without a sequencer: longer than its lease and the taking of the next one last. No
node may grant more than the others count on, so it is no setting."""
TICK_US = 100_000


class Sequencer:
    """At every node: operators may ask anywhere. It sequences only between `began` and `ended`.

    Of the lease the composition tells `lease_until_us`, by this node's clock, with each call: the holder's own view,
    0 where it has none. Every method takes any input and raises nothing.
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
        self.desk = OperatorRequests(banks, first_version)
        self.ledger = Ledger(drift, longest_deadline_us, term_us)
        self._banks, self._term_us = banks, term_us
        self._books = VersionRegisters(first_version)
        self._errands = BankTasks(seed)
        self._lease = 0  # its fence; 0 without one
        self._shown: dict[str, tuple[int, str, int]] = {}  # what a bank's primary showed last: number, place
        self._moved_us = NEVER_US  # since when both versions are served with the new one as default
        self._notes: list[Effect] = []
        self._noted: dict[str, str] = {}  # the last of each kind, so that none is said twice in a row
        self._now_us = 0

    @property
    def due_us(self) -> int:
        """When `tick` has something to do."""
        return self._now_us + TICK_US if self._lease else self.desk.due_us

    @property
    def sequencing(self) -> int:
        """The fence of the lease that it works under, 0 without one."""
        return self._lease

    @property
    def state(self) -> State | None:
        """What is known of the change, None where this node does not sequence or has not read it yet."""
        return self._books.state if self._lease else None

    def began(self, fence: int, now_us: int) -> None:
        """The lease is this node's, with this fence; `tick` is due."""
        self.ended()
        self._lease, self._now_us = fence, now_us - TICK_US
        self.ledger.began(now_us)

    def ended(self) -> None:
        """The lease is not this node's any more; what is on its way is not waited for."""
        self._lease, self._moved_us = 0, NEVER_US
        self._books.forget()
        self._errands.forget()
        self._shown.clear()
        self._noted.clear()

    def propose(self, ticket: int, text: bytes, now_us: int) -> list[Effect]:
        """An operator's plan as JSON. `Replied` with the ticket follows, here as with the next three."""
        return self.desk.propose(ticket, text, now_us)

    def resume(self, ticket: int, now_us: int) -> list[Effect]:
        """Go on with the change: at once where it waits to try again, forward where it was going back."""
        return self.desk.resume(ticket, now_us)

    def back(self, ticket: int, now_us: int) -> list[Effect]:
        """Go back to the old version, which can be done until the first contract."""
        return self.desk.back(ticket, now_us)

    def look(self, ticket: int, now_us: int) -> list[Effect]:
        """What the registers say."""
        return self.desk.look(ticket, now_us)

    def tick(self, lease_until_us: int, now_us: int) -> list[Effect]:
        """Time has passed."""
        return self.desk.tick(now_us) + self._go(lease_until_us, now_us)

    def answer(self, answer: Answer, lease_until_us: int, now_us: int) -> list[Effect]:
        """An answer to a `Read` or `Change` of a register whose name begins with `versions/`."""
        if self.desk.knows(answer.ask):
            return self.desk.answer(answer, now_us)
        if self._books.answer(answer, now_us):
            self._errands.hurry()
        return self._go(lease_until_us, now_us)

    def ran(self, ask: int, how: str, history: str, offset: int, lease_until_us: int, now_us: int) -> list[Effect]:
        """A `RunStep` has ended: done, fenced, behind, failed or unknown; see there."""
        done = how == "done" and history != "" and offset >= 0
        found = self._errands.ended(ask, done, how in ("fenced", "behind"), now_us)
        if found is not None and done:
            self._shown[found[0]] = found[1], history, offset
        elif found is not None:
            self._note("step not done", f"bank {found[0]}, step {found[1]}: {how[:40]}")
        return self._go(lease_until_us, now_us)

    def marked(
        self, ask: int, number: int, history: str, offset: int, lease_until_us: int, now_us: int
    ) -> list[Effect]:
        """An `AskMarker` has ended; `number` is -1 where nothing is known."""
        seen = number >= 0 and history != "" and offset >= 0
        found = self._errands.ended(ask, seen, False, now_us)
        if found is not None and seen:
            self._shown[found[0]] = number, history, offset
        return self._go(lease_until_us, now_us)

    def failed_over(self, bank: str, lease_until_us: int, now_us: int) -> list[Effect]:
        """A gateway saw another primary there: a hint to look at its marker now."""
        self._errands.hurry(bank)
        return self._go(lease_until_us, now_us)

    def adopt(self, sender: str, message: Adopt, lease_until_us: int, now_us: int) -> list[Effect]:
        """A node asks what it may serve. It is told so for a whole term, which may end after the lease does."""
        state = self._claimed(lease_until_us, now_us)
        if state is None:
            return [Tell(sender, NotSequencer(message.ask))]
        self.ledger.record_status(sender, message.since, message.heard, message.busy, now_us)
        if not self.ledger.record_grant(sender, message.since, message.ask, state.served, self._term_us, now_us):
            return [Tell(sender, NotSequencer(message.ask)), *self._note_now("too many nodes", "no room in the ledger")]
        offers = tuple(states.offer(state, bank) for bank in state.shards)
        told = Adopted(message.ask, self._lease, self._term_us, state.served, state.default, offers)
        return [Tell(sender, told)]

    def _claimed(self, lease_until_us: int, now_us: int) -> State | None:
        """The state, where it is known to be the register's: its writer was this lease's holder."""
        state = self._books.state
        if not self._lease or now_us >= lease_until_us or state is None:
            return None
        return state if state.fence == self._lease else None

    def _go(self, lease_until_us: int, now_us: int) -> list[Effect]:
        if not self._lease or now_us >= lease_until_us:
            return []
        self._now_us = now_us
        out = self._books.poll(now_us)
        state = self._books.state
        if state is not None and self._books.writable and state.fence < self._lease:
            out += self._books.write(replace(state, fence=self._lease), now_us)
        elif state is not None and state.fence == self._lease:
            if self._books.newborn:
                self.ledger.assume_no_predecessor()
            if self._books.writable:
                out += self._take_on(state, now_us)
            out += self._errands.work(state, self._books.commands, now_us)
        elif self._books.unreadable:
            self._note("state unreadable", "a newer gateway may have written it")
        out += self._notes
        self._notes = []
        return out

    def _take_on(self, state: State, now_us: int) -> list[Effect]:
        """Write what follows, if anything does."""
        follows = state
        for bank, (number, history, offset) in list(self._shown.items()):
            known = states.with_marker(follows, bank, number, history, offset)
            if known == follows:
                del self._shown[bank]  # it is written
            follows = known
            if bank in state.shards and number < state.shards[bank].floor:
                self._note("steps lost", f"bank {bank} shows {number}: a plan that is not known any more is missing")
        if follows.phase == "idle":
            follows, out = self._begin(follows, now_us)
        else:
            follows, out = self._follow(follows, now_us), []
        return out + (self._books.write(follows, now_us) if follows != state else [])

    def _follow(self, state: State, now_us: int) -> State:
        plan, want = self._books.plan(state.new), self._books.wanted
        if plan is None:
            if self._books.missing(state.new):
                self._note("plan unknown", f"version {state.new}, plan {state.plan}")
            return state
        if state.phase != "moved":
            self._moved_us = NEVER_US
        elif self._moved_us == NEVER_US:
            self._moved_us = now_us
        back = want is not None and want.word == "back" and want.name == state.plan
        stayed = now_us - self._moved_us >= 1_000 * plan.stay_ms
        follows = next_state(state, plan, back, stayed, lambda version: self.ledger.drained(version, now_us))
        if follows.phase != state.phase:
            self._note("layout", f"version {state.old} to {state.new}, plan {state.plan}: {follows.phase}")
        return follows

    def _begin(self, state: State, now_us: int) -> tuple[State, list[Effect]]:
        want = self._books.wanted
        plan = want.plan if want is not None and want.word == "go" else None
        if plan is None or plan.version <= state.old or not settled(state):
            return state, []
        wrong = next(check(plan, self._banks, state), "")
        if wrong:
            self._note("plan refused", wrong)
            return state, []
        if self._books.unsure:
            # Threat: a beginning of the plan wanted before, which takes effect once this one's copy lies in its place.
            return state, self._books.write(state, now_us)
        copying = self._books.copy(plan, msgspec.json.encode(plan, order="deterministic"), now_us)
        return (begin(state, plan, name_of(plan)), []) if copying is None else (state, copying)

    def _note(self, event: str, text: str) -> None:
        self._notes += self._note_now(event, text)

    def _note_now(self, event: str, text: str) -> list[Effect]:
        if self._noted.get(event) == text:
            return []
        self._noted[event] = text
        return [Note(event, text)]
