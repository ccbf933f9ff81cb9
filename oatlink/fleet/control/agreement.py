"""Tracks what a source has in one scope, and what follows from the contents of the next slot. No I/O, no clock.

This module holds the state, the change at the front of the queue, and the meaning of a slot for both. When to read or
write a slot is decided in `log`, which explains why that is safe.
"""

from collections.abc import Callable

from oatlink.fleet.control.checks import Checker, base_error, state_error
from oatlink.fleet.control.offers import Offer, OfferQueue
from oatlink.fleet.control.slots import Slot, decoded, reading
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import Effect, Note
from oatlink.fleet.messages.control import Delta

REGISTERS_LOST = "the registers hold less than was agreed: an operator must raise the epoch"

Applied = Callable[[Delta, bool], list[Effect]]  # gets a version and whether it is an own change


class Agreement:
    """The state of one scope at one source. `queue` holds its own changes.

    `open_slot`: epoch, version and fence of the next slot, if it was read as open for the version after the current
    one.
    """

    def __init__(self, scope: str, source: str, incarnation: int, checker: Checker, applied: Applied) -> None:
        self.scope, self.table, self.queue = scope, Table(scope), OfferQueue()
        self.open_slot: tuple[int, int, int] | None = None
        self.must_read = True  # the next slot must be read before anything in the queue is tried
        self.newer_epoch = 0  # a known epoch whose first version is not here yet
        self.needs_snapshot = False  # the registers do not contain the next version any more
        self.is_caught_up = False  # its next slot was read as open, and it was not too far behind since
        self.are_registers_lost = False  # the registers contain less than this source has
        self.has_bad_slot = False  # the next slot has a content that cannot be applied
        self._source, self._incarnation = source, incarnation
        self._checker, self._applied = checker, applied

    @property
    def target(self) -> tuple[int, int]:
        """Epoch and version of the slot to read or write next."""
        offer = self.queue.front
        if offer is not None and offer.epoch >= 0:
            return offer.epoch, 1
        return (
            (self.newer_epoch, 1)
            if self.newer_epoch > self.table.head.epoch
            else (self.table.head.epoch, self.table.head.version + 1)
        )

    def slot_read(self, fence: int, value: bytes) -> list[Effect]:
        """Handle the content of the target's register, which was just read."""
        epoch, version = self.target
        slot = decoded(value)
        self.must_read, self.open_slot, self.has_bad_slot = False, None, False
        if slot is None:
            return self._report_bad_slot(f"{version}: {value[:32].hex()}")
        meaning = reading(epoch, version, slot)
        if meaning in ("taken", "begun"):
            return self._apply_slot(slot)
        if meaning == "later":
            self.newer_epoch, self.must_read = slot.epoch, True
            return self._fail_front(f"epoch {slot.epoch} was begun meanwhile", under_way=True)
        if meaning == "behind":
            self.newer_epoch = max(self.newer_epoch, epoch)
            self.needs_snapshot, self.is_caught_up = True, False
            note = Note("control_behind", f"{self.scope} {version}: its slot holds {slot.epoch}.{slot.version}")
            return [note, *self._fail_front("unknown: too far behind to see the outcome", under_way=True)]
        if meaning == "lost":
            was_reported, self.are_registers_lost = self.are_registers_lost, True
            note = Note("control_slots_lost", f"{self.scope} {version}: its slot holds {slot.epoch}.{slot.version}")
            return ([] if was_reported else [note]) + self._fail_front(
                ("unknown: " if self.queue.is_front_tried else "") + REGISTERS_LOST
            )
        if epoch > self.table.head.epoch and not self.queue.is_raising:
            self.newer_epoch, self.must_read = 0, True  # the report was wrong: there is no such epoch
            return []
        self.open_slot = epoch, version, fence
        self.are_registers_lost, self.is_caught_up = False, True
        return []

    def _apply_slot(self, slot: Slot) -> list[Effect]:
        """Apply a slot that contains the target, or the first version of a later epoch."""
        offer = self.queue.front
        is_own = self.is_own(slot)
        if slot.epoch > self.table.head.epoch:
            self.table.begin_epoch(slot.epoch)
        effects = self.apply_agreed(Delta(slot.epoch, slot.version, slot.entries), own=is_own)
        if is_own:
            return effects + self.queue.finish_front(slot.version)
        self.must_read = True  # there may be later versions
        if offer is not None and (offer.epoch >= 0 or (offer.is_tried and slot.version == 1 and slot.epoch > 0)):
            return effects + self.queue.finish_front(0, f"epoch {slot.epoch} was begun meanwhile")
        if offer is not None:
            offer.is_tried = (
                False  # its fence has passed, so it has not happened and cannot; it may become the next version
            )
        return effects

    def is_own(self, slot: Slot) -> bool:
        """Return whether the change at the front wrote this slot."""
        offer = self.queue.front
        writer = slot.source, slot.incarnation, slot.number
        return offer is not None and offer.is_tried and writer == (self._source, self._incarnation, offer.number)

    def apply_agreed(self, delta: Delta, own: bool) -> list[Effect]:
        """Apply the next version, which is known to be agreed."""
        if not self.table.apply(delta):
            return self._report_bad_slot(f"{delta.version}: breaks a bound")
        self.open_slot, self.needs_snapshot, self.are_registers_lost = None, False, False
        return self._applied(delta, own)

    def offer_error(self, offer: Offer) -> str:
        """Return why this change must not follow on the current state, or ''."""
        if offer.is_tried:
            return ""  # it was already checked against this state, and may have happened
        if offer.epoch >= 0:
            return state_error(self.scope, {}, offer.entries, self._checker)
        return base_error(offer.base, self.table.head.version) or state_error(
            self.scope, self.table.entries, offer.entries, self._checker
        )

    def _fail_front(self, reason: str, under_way: bool = False) -> list[Effect]:
        """End the change at the front without a version. `under_way`: only if it was tried or begins an epoch."""
        if not self.queue or (under_way and not self.queue.is_front_tried and not self.queue.is_raising):
            return []
        return self.queue.finish_front(0, reason)

    def _report_bad_slot(self, problem: str) -> list[Effect]:
        """Report a slot that no source can have written."""
        self.must_read = self.has_bad_slot = True
        return [Note("control_slot_bad", f"{self.scope} {problem}")]
