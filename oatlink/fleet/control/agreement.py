"""Where a source is in one scope, and what follows from what the next slot holds. No I/O, no clock.

What may live here: the state, the change in front of the line, and the meaning of a slot for both. When to read or
write a slot is `log`'s, which says why it is safe.
"""

from collections.abc import Callable

from oatlink.fleet.control.checks import Checker, base_error, state_error
from oatlink.fleet.control.offers import Offer, OfferQueue
from oatlink.fleet.control.slots import Slot, decoded, reading
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import Effect, Note
from oatlink.fleet.messages.control import Delta

REGISTERS_LOST = "the keepers have less than was agreed: an operator must raise the epoch"

Applied = Callable[[Delta, bool], list[Effect]]  # a version, whether it is an own change; what is to be said of it


class Agreement:
    """`line`: own changes; `open`: epoch, version and fence of the next slot as it was read when we were there."""

    def __init__(self, scope: str, source: str, incarnation: int, checker: Checker, applied: Applied) -> None:
        self.scope, self.table, self.queue = scope, Table(scope), OfferQueue()
        self.open_slot: tuple[int, int, int] | None = None
        self.must_read = True  # the next slot must be read, whatever waits in the line
        self.newer_epoch = 0  # an epoch known of, whose first version is not here yet
        self.needs_snapshot = False  # only a snapshot helps
        self.is_caught_up = False  # has seen its next slot open, and was not too far behind since
        self.are_registers_lost = False  # the keepers have less than this source
        self.has_bad_slot = False  # a slot cannot be taken
        self._source, self._incarnation = source, incarnation
        self._checker, self._applied = checker, applied

    @property
    def target(self) -> tuple[int, int]:
        """Epoch and version whose slot is next to be read or written."""
        one = self.queue.front
        if one is not None and one.epoch >= 0:
            return one.epoch, 1
        return (
            (self.newer_epoch, 1)
            if self.newer_epoch > self.table.head.epoch
            else (self.table.head.epoch, self.table.head.version + 1)
        )

    def slot_read(self, fence: int, value: bytes) -> list[Effect]:
        """What the register of the target holds."""
        epoch, version = self.target
        slot = decoded(value)
        self.must_read, self.open_slot, self.has_bad_slot = False, None, False
        if slot is None:
            return self._report_bad_slot(f"{version}: {value[:32].hex()}")
        how = reading(epoch, version, slot)
        if how in ("taken", "begun"):
            return self._apply_slot(slot)
        if how == "later":
            self.newer_epoch, self.must_read = slot.epoch, True
            return self._fail_front(f"epoch {slot.epoch} was begun meanwhile", under_way=True)
        if how == "behind":
            self.newer_epoch = max(self.newer_epoch, epoch)
            self.needs_snapshot, self.is_caught_up = True, False
            note = Note("control_behind", f"{self.scope} {version}: its slot holds {slot.epoch}.{slot.version}")
            return [note, *self._fail_front("unknown: too far behind to see what came of it", under_way=True)]
        if how == "lost":
            noted, self.are_registers_lost = self.are_registers_lost, True
            note = Note("control_slots_lost", f"{self.scope} {version}: its slot holds {slot.epoch}.{slot.version}")
            return ([] if noted else [note]) + self._fail_front(
                ("unknown: " if self.queue.is_front_tried else "") + REGISTERS_LOST
            )
        if epoch > self.table.head.epoch and not self.queue.is_raising:
            self.newer_epoch, self.must_read = 0, True  # told wrong: there is no such epoch
            return []
        self.open_slot = epoch, version, fence
        self.are_registers_lost, self.is_caught_up = False, True
        return []

    def _apply_slot(self, slot: Slot) -> list[Effect]:
        """The slot holds the target, or the first version of a later epoch."""
        one = self.queue.front
        mine = self.is_own(slot)
        if slot.epoch > self.table.head.epoch:
            self.table.begin_epoch(slot.epoch)
        effects = self.apply_agreed(Delta(slot.epoch, slot.version, slot.entries), own=mine)
        if mine:
            return effects + self.queue.finish_front(slot.version)
        self.must_read = True  # there may be more
        if one is not None and (one.epoch >= 0 or (one.is_tried and slot.version == 1 and slot.epoch > 0)):
            return effects + self.queue.finish_front(0, f"epoch {slot.epoch} was begun meanwhile")
        if one is not None:
            one.is_tried = False  # its fence has passed: it has not happened and will not, and may be the next
        return effects

    def is_own(self, slot: Slot) -> bool:
        """Whether the change in front wrote this."""
        one = self.queue.front
        wrote = slot.source, slot.incarnation, slot.number
        return one is not None and one.is_tried and wrote == (self._source, self._incarnation, one.number)

    def apply_agreed(self, delta: Delta, own: bool) -> list[Effect]:
        """The next version, known to be agreed."""
        if not self.table.apply(delta):
            return self._report_bad_slot(f"{delta.version}: breaks a bound")
        self.open_slot, self.needs_snapshot, self.are_registers_lost = None, False, False
        return self._applied(delta, own)

    def offer_error(self, one: Offer) -> str:
        """Why this change must not follow on the state here, or ''."""
        if one.is_tried:
            return ""  # it was looked at on this very state, and may have happened
        if one.epoch >= 0:
            return state_error(self.scope, {}, one.entries, self._checker)
        return base_error(one.base, self.table.head.version) or state_error(
            self.scope, self.table.entries, one.entries, self._checker
        )

    def _fail_front(self, why: str, under_way: bool = False) -> list[Effect]:
        """The one in front comes to nothing; `under_way`: only if it was tried or begins an epoch."""
        if not self.queue or (under_way and not self.queue.is_front_tried and not self.queue.is_raising):
            return []
        return self.queue.finish_front(0, why)

    def _report_bad_slot(self, what: str) -> list[Effect]:
        """A slot that no source of ours can have written."""
        self.must_read = self.has_bad_slot = True
        return [Note("control_slot_bad", f"{self.scope} {what}")]
