"""Where a source is in one scope, and what follows from what the next slot holds. No I/O, no clock.

What may live here: the state, the change in front of the line, and the meaning of a slot for both. When to read or
write a slot is `log`'s, which says why it is safe.
"""

from collections.abc import Callable

from oatlink.fleet.control.checks import Checker, mistake_of_base, mistake_of_state
from oatlink.fleet.control.offers import Line, Offer
from oatlink.fleet.control.slots import Slot, decoded, reading
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import Effect, Note
from oatlink.fleet.messages.control import Delta

LOST = "the keepers have less than was agreed: an operator must raise the epoch"

Applied = Callable[[Delta, bool], list[Effect]]  # a version, whether it is an own change; what is to be said of it


class Agreement:
    """`line`: own changes; `open`: epoch, version and fence of the next slot as it was read when we were there."""

    def __init__(self, scope: str, source: str, incarnation: int, checker: Checker, applied: Applied) -> None:
        self.scope, self.table, self.line = scope, Table(scope), Line()
        self.open: tuple[int, int, int] | None = None
        self.look = True  # the next slot must be read, whatever waits in the line
        self.anew = 0  # an epoch known of, whose first version is not here yet
        self.behind = False  # only a snapshot helps
        self.caught_up = False  # has seen its next slot open, and was not too far behind since
        self.lost = False  # the keepers have less than this source
        self.stuck = False  # a slot cannot be taken
        self._source, self._incarnation = source, incarnation
        self._checker, self._applied = checker, applied

    @property
    def target(self) -> tuple[int, int]:
        """Epoch and version whose slot is next to be read or written."""
        one = self.line.front
        if one is not None and one.epoch >= 0:
            return one.epoch, 1
        return (
            (self.anew, 1)
            if self.anew > self.table.head.epoch
            else (self.table.head.epoch, self.table.head.version + 1)
        )

    def saw(self, fence: int, value: bytes) -> list[Effect]:
        """What the register of the target holds."""
        epoch, version = self.target
        slot = decoded(value)
        self.look, self.open, self.stuck = False, None, False
        if slot is None:
            return self._stuck(f"{version}: {value[:32].hex()}")
        how = reading(epoch, version, slot)
        if how in ("taken", "begun"):
            return self._agreed(slot)
        if how == "later":
            self.anew, self.look = slot.epoch, True
            return self._fail(f"epoch {slot.epoch} was begun meanwhile", under_way=True)
        if how == "behind":
            self.anew = max(self.anew, epoch)
            self.behind, self.caught_up = True, False
            note = Note("control_behind", f"{self.scope} {version}: its slot holds {slot.epoch}.{slot.version}")
            return [note, *self._fail("unknown: too far behind to see what came of it", under_way=True)]
        if how == "lost":
            noted, self.lost = self.lost, True
            note = Note("control_slots_lost", f"{self.scope} {version}: its slot holds {slot.epoch}.{slot.version}")
            return ([] if noted else [note]) + self._fail(("unknown: " if self.line.tried else "") + LOST)
        if epoch > self.table.head.epoch and not self.line.raising:
            self.anew, self.look = 0, True  # told wrong: there is no such epoch
            return []
        self.open = epoch, version, fence
        self.lost, self.caught_up = False, True
        return []

    def _agreed(self, slot: Slot) -> list[Effect]:
        """The slot holds the target, or the first version of a later epoch."""
        one = self.line.front
        mine = self.is_mine(slot)
        if slot.epoch > self.table.head.epoch:
            self.table.begin(slot.epoch)
        effects = self.take(Delta(slot.epoch, slot.version, slot.entries), own=mine)
        if mine:
            return effects + self.line.end(slot.version)
        self.look = True  # there may be more
        if one is not None and (one.epoch >= 0 or (one.tried and slot.version == 1 and slot.epoch > 0)):
            return effects + self.line.end(0, f"epoch {slot.epoch} was begun meanwhile")
        if one is not None:
            one.tried = False  # its fence has passed: it has not happened and will not, and may be the next
        return effects

    def is_mine(self, slot: Slot) -> bool:
        """Whether the change in front wrote this."""
        one = self.line.front
        wrote = slot.source, slot.incarnation, slot.number
        return one is not None and one.tried and wrote == (self._source, self._incarnation, one.number)

    def take(self, delta: Delta, own: bool) -> list[Effect]:
        """The next version, known to be agreed."""
        if not self.table.apply(delta):
            return self._stuck(f"{delta.version}: breaks a bound")
        self.open, self.behind, self.lost = None, False, False
        return self._applied(delta, own)

    def mistake(self, one: Offer) -> str:
        """Why this change must not follow on the state here, or ''."""
        if one.tried:
            return ""  # it was looked at on this very state, and may have happened
        if one.epoch >= 0:
            return mistake_of_state(self.scope, {}, one.entries, self._checker)
        return mistake_of_base(one.base, self.table.head.version) or mistake_of_state(
            self.scope, self.table.entries, one.entries, self._checker
        )

    def _fail(self, why: str, under_way: bool = False) -> list[Effect]:
        """The one in front comes to nothing; `under_way`: only if it was tried or begins an epoch."""
        if not self.line or (under_way and not self.line.tried and not self.line.raising):
            return []
        return self.line.end(0, why)

    def _stuck(self, what: str) -> list[Effect]:
        """A slot that no source of ours can have written."""
        self.look = self.stuck = True
        return [Note("control_slot_bad", f"{self.scope} {what}")]
