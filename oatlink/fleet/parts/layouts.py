"""Versions at one node: what it may serve, and the sequencer while its lease is here. No I/O.

A sequencer whose node stops grants nothing more and gives its lease back at once. What it granted lives on: the next
one counts with that from its own beginning, which comes after (`versions.ledger`).
"""

from oatlink.fleet import messages as f
from oatlink.fleet.leases.holder import Holder
from oatlink.fleet.limits.shards import rank
from oatlink.fleet.versions.asking import Adopter
from oatlink.fleet.versions.sequencer import Sequencer
from oatlink.settings.fleet import Fleet, Versions

LEASE_TERM_US = 3_000_000
KEY = "versions"
PLACE = 1_000  # which turn of the nodes ranks the candidates: any number that no shard of limits has


class LayoutPart:
    """See above."""

    def __init__(
        self,
        fleet: Fleet,
        versions: Versions,
        banks: tuple[str, ...],
        longest_deadline_us: int,
        incarnation: int,
        seed: int,
    ) -> None:
        names = tuple(one.name for one in fleet.nodes)
        self._name = fleet.node
        turn = rank(fleet.node, PLACE, names)
        self._lease = Holder(KEY, fleet.node, incarnation, LEASE_TERM_US, fleet.drift, seed, turn)
        self._sequencer = Sequencer(fleet.node, banks, versions.first, fleet.drift, longest_deadline_us, seed)
        self._adopter = Adopter(fleet.node, incarnation)
        self._lease.looking = True
        self._leaving = False

    @property
    def due_us(self) -> int:
        """When `tick` has something to do."""
        if self._leaving:
            return self._lease.due_us
        return min(self._lease.due_us, self._sequencer.due_us, self._adopter.due_us)

    def tick(self, busy: tuple[int, ...], now_us: int) -> list[f.Effect]:
        """Time has passed; `busy` are the versions that requests of this gateway are out for."""
        if self._leaving:
            return self._lease.tick(now_us)
        held = self._lease.holds(now_us)
        astray = not self._lease.seen or self._adopter.unanswered
        self._lease.wanting = held or astray
        self._lease.looking = not held and astray
        effects = self._lease.tick(now_us)
        self._settle(now_us)
        effects += self._sequencer.tick(self._until(now_us), now_us)
        return effects + self._adopter.poll(self._at(now_us), busy, now_us)

    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect] | None:
        """A register's answer; None where it is not for this part."""
        if answer.key == KEY:
            effects = self._lease.answered(answer, now_us)
            self._settle(now_us)
            return effects
        if not answer.key.startswith(f"{KEY}/"):
            return None
        self._settle(now_us)
        return self._sequencer.answer(answer, self._until(now_us), now_us)

    def take(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect] | None:
        """A message; None where it is not for this part."""
        if isinstance(message, f.Adopt):
            self._settle(now_us)
            return self._sequencer.adopt(sender, message, self._until(now_us), now_us)
        if isinstance(message, f.Adopted | f.NotSequencer):
            return self._adopter.receive(sender, message, now_us)
        return None

    def ran(self, ask: int, how: str, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """A `RunStep` has ended."""
        self._settle(now_us)
        return self._sequencer.ran(ask, how, history, offset, self._until(now_us), now_us)

    def marked(self, ask: int, number: int, history: str, offset: int, now_us: int) -> list[f.Effect]:
        """An `AskMarker` has ended."""
        self._settle(now_us)
        return self._sequencer.marked(ask, number, history, offset, self._until(now_us), now_us)

    def failed_over(self, bank: str, now_us: int) -> list[f.Effect]:
        """Another primary was seen there, by this gateway."""
        return self._sequencer.failed_over(bank, self._until(now_us), now_us)

    def word(self, word: str, ticket: int, text: bytes, now_us: int) -> list[f.Effect]:
        """An operator's word: propose, resume, back or status; `Replied` follows."""
        if word == "propose":
            return self._sequencer.propose(ticket, text, now_us)
        if word == "resume":
            return self._sequencer.resume(ticket, now_us)
        if word == "back":
            return self._sequencer.back(ticket, now_us)
        return self._sequencer.look(ticket, now_us)

    def leave(self, now_us: int) -> list[f.Effect]:
        """Sequence no more, and give the lease back."""
        self._leaving = True
        self._sequencer.ended()
        self._lease.looking = False
        return self._lease.release(now_us)

    def gone(self, now_us: int) -> bool:
        """Whether the lease is not here any more."""
        return not self._lease.holds(now_us)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """For operators: who is taken for the sequencer."""
        return [(KEY, self._at(now_us) or "unknown")]

    def _at(self, now_us: int) -> str:
        if self._lease.holds(now_us):
            return self._name
        return "" if self._lease.seen == self._name else self._lease.seen

    def _until(self, now_us: int) -> int:
        return self._lease.until_us if self._lease.holds(now_us) else 0

    def _settle(self, now_us: int) -> None:
        """The sequencer works exactly while the lease is here; a new holding begins anew."""
        if not self._lease.holds(now_us):
            if self._sequencer.sequencing:
                self._sequencer.ended()
        elif self._sequencer.sequencing != self._lease.fence:
            self._sequencer.began(self._lease.fence, now_us)
