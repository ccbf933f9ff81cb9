"""Agrees on the versions of one scope at a source, by registers. No I/O.

This module reads and writes the next slot's register and holds the queue of the source's own changes. What an entry
means, and who is notified of a version, is decided elsewhere.

Version n of an epoch is stored in the register `control/SCOPE/(n mod SLOTS)`. A source that has n - 1 reads that
register. If it contains version n, version n is agreed. If it contains n - SLOTS (or nothing, or an older epoch, while
n <= SLOTS), n is open: the source checks its own change against n - 1 and writes it conditionally on the fence that it
read, so only one of all sources succeeds. If the register contains a later version, this source is too far behind for
the registers and needs a snapshot (`needs_snapshot`). If it contains less than that, the acceptors have lost what they
agreed on: nothing is offered until an operator raises the epoch.

- A change with an unknown outcome may still happen, even after a read that did not show it. Until the fence of the slot
  has moved on, the same change is offered again, for the same version and no other; source, incarnation and number tell
  it from another source's change. So one change cannot become two versions.
- While an own change for version n may have happened, another source's message about n is not applied: the slot shows
  whose change n is.
- A slot is overwritten only when a majority of the sources have the version in it, so that a snapshot can always be
  fetched from one of them.
- The slot of version 1 always shows the newest epoch. Only an operator raises the epoch. A new epoch begins without
  entries, and drops what sources that have not heard of it still agree on in the old one.
"""

from collections.abc import Mapping
from random import Random

from oatlink.fleet.control.agreement import REGISTERS_LOST, Agreement, Applied
from oatlink.fleet.control.checks import Checker, change_error
from oatlink.fleet.control.offers import OnDone
from oatlink.fleet.control.slots import SLOTS, Slot, encoded, key_of_slot, scope_of_slot
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import Answer, Change, Effect, Read
from oatlink.fleet.messages.control import Delta, Entry, Head, Page

RETRY_US = 100_000  # after an unknown answer; up to twice that
ANSWER_TIMEOUT_US = 10_000_000  # without an answer by then, the request counts as lost


class Log:
    """The log of one scope at one source; the module's docstring describes how versions are agreed."""

    def __init__(
        self,
        scope: str,
        source: str,
        incarnation: int,
        sources: tuple[str, ...],
        checker: Checker,
        seed: int,
        applied: Applied,
    ) -> None:
        """`applied(delta, own)` returns the effects of a version; `sources` are all of them, including this one."""
        self.scope = scope
        self.due_us = 0  # a new log reads its next slot at once
        self._agreement = Agreement(scope, source, incarnation, checker, applied)
        self._source, self._incarnation, self._sources = source, incarnation, sources
        self._rng = Random(f"{seed}/{scope}/{source}/{incarnation}")
        self._last_ask = 0
        self._waiting, self._waiting_us = 0, 0  # the pending request and when it was sent
        self._asked_target = (0, 0)  # the epoch and version of the pending request
        self._open_us = self._again_us = 0
        self._heads: dict[str, tuple[int, int]] = {}

    @property
    def table(self) -> Table:
        """The state in force here."""
        return self._agreement.table

    @property
    def head(self) -> Head:
        """The newest version here."""
        return self._agreement.table.head

    @property
    def needs_snapshot(self) -> bool:
        """Whether the registers do not hold the next version any more; see `add_page`."""
        return self._agreement.needs_snapshot

    @property
    def is_caught_up(self) -> bool:
        """Whether the next slot was read as open, and this source was not too far behind since."""
        return self._agreement.is_caught_up

    @property
    def are_registers_lost(self) -> bool:
        """Whether the registers hold less than this source."""
        return self._agreement.are_registers_lost

    # ---- Messages of other sources ----

    def peer_has(self, source: str, head: Head, now_us: int) -> None:
        """Note which version another source has. If it is ahead, the next slot is read at once."""
        if source in self._sources:
            # The last report counts, not the highest: the history of that source may have begun again.
            self._heads[source] = head.epoch, head.version
        if (head.epoch, head.version) > (self.head.epoch, self.head.version):
            self._agreement.newer_epoch = max(self._agreement.newer_epoch, head.epoch)
            self.request_read(now_us)
        elif self._agreement.queue:
            self.due_us = min(self.due_us, now_us)

    def receive_committed(self, source: str, delta: Delta, now_us: int) -> list[Effect]:
        """Handle another source's message on an agreed version.

        It is dropped unless it is the next one; a dropped version is read from its slot later.
        """
        effects: list[Effect] = []
        if not self._agreement.queue.is_front_tried and (delta.epoch, delta.version) == (
            self.head.epoch,
            self.head.version + 1,
        ):
            was_behind = self._agreement.needs_snapshot
            effects = self._agreement.apply_agreed(delta, own=False)
            if was_behind:
                self.request_read(now_us)
        elif self._agreement.needs_snapshot:
            self.table.apply(delta)  # kept for the snapshot under way
        self.peer_has(source, Head(self.scope, delta.epoch, delta.version), now_us)
        return effects + self.tick(now_us)

    def add_page(self, page: Page, now_us: int) -> bool:
        """Add a page of another source's snapshot. Return whether a whole state is in force with it."""
        if page.scope != self.scope or not self._agreement.needs_snapshot or not self.table.add_page(page):
            return False
        self._agreement.needs_snapshot, self._agreement.open_slot = False, None
        self.request_read(now_us)
        return True

    def restore(self, head: Head, entries: Mapping[str, bytes]) -> None:
        """Restore what was on disk, before anything else."""
        self.table.begin_epoch(head.epoch)
        self.table.entries, self.table.head = dict(entries), head

    def request_read(self, now_us: int) -> None:
        """Read the next slot soon: it may be taken already."""
        if not self._agreement.needs_snapshot:
            self._agreement.must_read, self.due_us = True, min(self.due_us, now_us)

    def distrust(self, now_us: int) -> None:
        """Treat the next slot as not known to be open, because no register answered for a while."""
        self._agreement.is_caught_up = False
        self.request_read(now_us)

    # ---- Own changes ----

    def offer(
        self,
        entries: tuple[Entry, ...],
        base: int,
        done: OnDone,
        now_us: int,
        begins_epoch: bool = False,
    ) -> list[Effect]:
        """Make this the next version if it passes the checks on the newest state.

        `base`: the version that it was made for, -1 for any. `done` gets the version, or 0 and the reason.
        `begins_epoch`: make it the first version of the next epoch.
        """
        error = change_error(entries) if entries or not begins_epoch else ""
        error = error or (REGISTERS_LOST if self._agreement.are_registers_lost and not begins_epoch else "")
        if error:
            return done(0, error)
        epoch = max(self.head.epoch, self._agreement.newer_epoch) + 1 if begins_epoch else -1
        if not self._agreement.queue.add(entries, base, done, epoch, now_us):
            return done(0, f"{len(self._agreement.queue)} changes wait already")
        return self.tick(now_us)

    def tick(self, now_us: int) -> list[Effect]:
        """Do what is due."""
        if self._waiting and now_us - self._waiting_us > ANSWER_TIMEOUT_US:
            self._waiting, self._agreement.must_read = 0, True
        effects = self._agreement.queue.expire(
            "too far behind" if self._agreement.needs_snapshot else "no answer, or slots still needed", now_us
        )
        while not self._waiting and now_us >= self._again_us:
            offer, (epoch, version) = self._agreement.queue.front, self._agreement.target
            if self._agreement.needs_snapshot and not self._agreement.queue.is_raising:
                break
            if self._agreement.must_read or (offer is not None and self._agreement.open_slot is None):
                self._agreement.must_read = True
                effects.append(Read(self._new_ask(now_us), key_of_slot(self.scope, version)))
            elif offer is None or self._agreement.open_slot is None:
                break
            elif error := self._agreement.offer_error(offer):
                if self._open_us < offer.begun_us:
                    self._agreement.must_read = True  # it may have been made for a version that is not here yet
                else:
                    effects += self._agreement.queue.finish_front(0, error)
            elif version > SLOTS and not self._has_majority(epoch, version - SLOTS):
                break
            else:
                offer.is_tried = True
                slot = Slot(epoch, version, self._source, self._incarnation, offer.number, offer.entries)
                key, fence = key_of_slot(self.scope, version), self._agreement.open_slot[2]
                effects.append(Change(self._new_ask(now_us), key, fence, encoded(slot)))
        self.due_us = self._agreement.queue.due_us
        if self._waiting:
            self.due_us = min(self.due_us, self._waiting_us + ANSWER_TIMEOUT_US + 1)
        elif now_us < self._again_us:
            self.due_us = min(self.due_us, self._again_us)
        return effects

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """Handle an `Answer` to a `Read` or `Change` of this log."""
        if answer.ask != self._waiting or scope_of_slot(answer.key) != self.scope:
            return []
        self._waiting = 0
        effects: list[Effect] = []
        if answer.how == "unknown":
            self._agreement.must_read, self._again_us = True, now_us + RETRY_US + self._rng.randrange(RETRY_US)
        elif self._asked_target != self._agreement.target:
            self._agreement.must_read = True  # the target has moved meanwhile
        else:
            effects = self._agreement.slot_read(answer.fence, answer.value)
            self._open_us = self._waiting_us
            self._again_us = now_us + ANSWER_TIMEOUT_US if self._agreement.has_bad_slot else self._again_us
        return effects + self.tick(now_us)

    # ---- Helpers ----

    def _has_majority(self, epoch: int, version: int) -> bool:
        """Return whether a majority of the sources, including this one, has this version."""
        others = (self._heads.get(source, (0, 0)) for source in self._sources if source != self._source)
        return 2 * (1 + sum(head >= (epoch, version) for head in others)) > len(self._sources)

    def _new_ask(self, now_us: int) -> int:
        self._last_ask += 1
        self._waiting, self._waiting_us, self._asked_target = self._last_ask, now_us, self._agreement.target
        return self._last_ask
