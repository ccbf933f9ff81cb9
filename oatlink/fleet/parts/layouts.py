"""Layout versions at one node: what it may serve, and the sequencer while it holds the lease. No I/O.

A sequencer whose node stops grants nothing more and releases its lease at once. Its grants remain valid: the next
sequencer counts them from its own beginning, which is later (`versions.ledger`).
"""

from oatlink.fleet import messages as f
from oatlink.fleet.leases.holder import Holder
from oatlink.fleet.limits.shards import rank
from oatlink.fleet.versions.asking import Adopter
from oatlink.fleet.versions.sequencer import Sequencer
from oatlink.settings.fleet import Fleet, Versions

LEASE_TERM_US = 3_000_000
KEY = "versions"
PLACE = 1_000  # the shard number that ranks the candidates; differs from all shard numbers of the limits


class LayoutPart:
    """The part of a node for layout versions: its lease, its sequencer and its own requests to the sequencer."""

    def __init__(
        self,
        fleet: Fleet,
        versions: Versions,
        banks: tuple[str, ...],
        longest_deadline_us: int,
        incarnation: int,
        seed: int,
    ) -> None:
        names = tuple(node.name for node in fleet.nodes)
        self._name = fleet.node
        turn = rank(fleet.node, PLACE, names)
        self._lease = Holder(KEY, fleet.node, incarnation, LEASE_TERM_US, fleet.drift, seed, turn)
        self._sequencer = Sequencer(fleet.node, banks, versions.first, fleet.drift, longest_deadline_us, seed)
        self._adopter = Adopter(fleet.node, incarnation)
        self._lease.looking = True
        self._leaving = False

    @property
    def due_us(self) -> int:
        """When `tick` is next due."""
        if self._leaving:
            return self._lease.due_us
        return min(self._lease.due_us, self._sequencer.due_us, self._adopter.due_us)

    def tick(self, busy: tuple[int, ...], now_us: int) -> list[f.Effect]:
        """Do what is due. `busy`: the versions for which this gateway has unfinished requests."""
        if self._leaving:
            return self._lease.tick(now_us)
        is_holder = self._lease.holds(now_us)
        is_unknown = not self._lease.seen or self._adopter.unanswered
        self._lease.wanting = is_holder or is_unknown
        self._lease.looking = not is_holder and is_unknown
        effects = self._lease.tick(now_us)
        self._follow_lease(now_us)
        effects += self._sequencer.tick(self._lease_until_us(now_us), now_us)
        return effects + self._adopter.poll(self._sequencer_name(now_us), busy, now_us)

    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect] | None:
        """Handle a register's answer; None if it is not for this part."""
        if answer.key == KEY:
            effects = self._lease.answered(answer, now_us)
            self._follow_lease(now_us)
            return effects
        if not answer.key.startswith(f"{KEY}/"):
            return None
        self._follow_lease(now_us)
        return self._sequencer.answer(answer, self._lease_until_us(now_us), now_us)

    def take(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect] | None:
        """Handle a message; None if it is not for this part."""
        if isinstance(message, f.Adopt):
            self._follow_lease(now_us)
            return self._sequencer.adopt(sender, message, self._lease_until_us(now_us), now_us)
        if isinstance(message, f.Adopted | f.NotSequencer):
            return self._adopter.receive(sender, message, now_us)
        return None

    def ran(self, ask: int, how: str, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """Handle the end of a `RunStep`."""
        self._follow_lease(now_us)
        return self._sequencer.ran(ask, how, history, offset, self._lease_until_us(now_us), now_us)

    def marked(self, ask: int, number: int, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """Handle the end of an `AskMarker`."""
        self._follow_lease(now_us)
        return self._sequencer.marked(ask, number, history, offset, self._lease_until_us(now_us), now_us)

    def failed_over(self, bank: str, now_us: int) -> list[f.Effect]:
        """Handle a failover: this gateway observed another primary in the bank."""
        return self._sequencer.failed_over(bank, self._lease_until_us(now_us), now_us)

    def word(self, word: str, ticket: int, text: bytes, now_us: int) -> list[f.Effect]:
        """Handle an operator's command: propose, resume, back or status; `Replied` follows."""
        if word == "propose":
            return self._sequencer.propose(ticket, text, now_us)
        if word == "resume":
            return self._sequencer.resume(ticket, now_us)
        if word == "back":
            return self._sequencer.back(ticket, now_us)
        return self._sequencer.status(ticket, now_us)

    def leave(self, now_us: int) -> list[f.Effect]:
        """Stop sequencing, and release the lease."""
        self._leaving = True
        self._sequencer.ended()
        self._lease.looking = False
        return self._lease.release(now_us)

    def gone(self, now_us: int) -> bool:
        """Whether this node no longer holds the lease."""
        return not self._lease.holds(now_us)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """Status rows: which node is believed to be the sequencer."""
        return [(KEY, self._sequencer_name(now_us) or "unknown")]

    def _sequencer_name(self, now_us: int) -> str:
        if self._lease.holds(now_us):
            return self._name
        return "" if self._lease.seen == self._name else self._lease.seen

    def _lease_until_us(self, now_us: int) -> int:
        return self._lease.until_us if self._lease.holds(now_us) else 0

    def _follow_lease(self, now_us: int) -> None:
        """Start and stop the sequencer with the lease; a newly acquired lease starts it anew."""
        if not self._lease.holds(now_us):
            if self._sequencer.sequencing:
                self._sequencer.ended()
        elif self._sequencer.sequencing != self._lease.fence:
            self._sequencer.began(self._lease.fence, now_us)
