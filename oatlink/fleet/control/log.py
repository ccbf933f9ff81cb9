"""One scope at a source: which change is the next version, agreed by registers. No I/O.

What may live here: the next slot's register, the line of own offers, and what came of them. What an entry means, and
whom to tell of a version, lives elsewhere.

Version n of an epoch is in the register `control/SCOPE/(n mod SLOTS)`. Who has n - 1 reads that register. If it holds
version n, that is n. If it holds n - SLOTS (or nothing, or an older epoch, while n <= SLOTS), n is open: the own change
is checked against n - 1 and put there on the fence that was read, so of all sources one gets through. If it holds a
later version, this source is too far behind for the registers and needs a snapshot (`behind`). If it holds less, the
keepers have lost what they agreed on: nothing is offered until an operator raises the epoch.

- A change with an unknown end may yet happen, also after a read that did not show it. Until the slot's fence has moved
  on, the same change is offered again for the same version and no other; it is told from another source's by
  source, incarnation and number. So it cannot become two versions.
- Version n by another source's word is not taken while an own change for n may have happened: the slot tells whose.
- A slot is written over only when a majority of the sources have the version in it, so that there is always somebody to
  take a snapshot from.
- The slot of version 1 always tells the newest epoch. It is raised by an operator's word alone, begins without entries
  and drops what sources that have not heard of it still agree on in the old one.
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

RETRY_US = 100_000  # after an unknown answer, and up to twice that
ANSWER_TIMEOUT_US = 10_000_000  # an answer is taken for lost after this time


class Log:
    """See the head of this file."""

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
        """`applied(delta, own)` returns what is to be said of a version; `sources` are all of them, this one too."""
        self.scope = scope
        self.due_us = 0  # a new one looks where it is
        self._agreement = Agreement(scope, source, incarnation, checker, applied)
        self._source, self._incarnation, self._sources = source, incarnation, sources
        self._rng = Random(f"{seed}/{scope}/{source}/{incarnation}")
        self._last_ask = 0
        self._waiting, self._waiting_us = 0, 0  # the ask without an answer yet
        self._asked_target = (0, 0)  # the epoch and version that it is about
        self._open_us = self._again_us = 0
        self._heads: dict[str, tuple[int, int]] = {}

    @property
    def table(self) -> Table:
        """What is in force here."""
        return self._agreement.table

    @property
    def head(self) -> Head:
        """The newest version here."""
        return self._agreement.table.head

    @property
    def needs_snapshot(self) -> bool:
        """Whether only a snapshot helps; see `gather`."""
        return self._agreement.needs_snapshot

    @property
    def is_caught_up(self) -> bool:
        """Whether the next slot was seen open, and we were not too far behind since."""
        return self._agreement.is_caught_up

    @property
    def are_registers_lost(self) -> bool:
        """Whether the keepers have less than this source."""
        return self._agreement.are_registers_lost

    # ---- What others say ----

    def peer_has(self, source: str, head: Head, now_us: int) -> None:
        """How far another source is. More than here: the next slot is read, now."""
        if source in self._sources:
            self._heads[source] = head.epoch, head.version  # its last word, not its highest: it may have begun anew
        if (head.epoch, head.version) > (self.head.epoch, self.head.version):
            self._agreement.newer_epoch = max(self._agreement.newer_epoch, head.epoch)
            self.request_read(now_us)
        elif self._agreement.queue:
            self.due_us = min(self.due_us, now_us)

    def receive_committed(self, source: str, delta: Delta, now_us: int) -> list[Effect]:
        """Another source's word that a version is agreed. Dropped where it is not the next; the slots tell it then."""
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
            self.table.apply(delta)  # kept for the snapshot that is under way
        self.peer_has(source, Head(self.scope, delta.epoch, delta.version), now_us)
        return effects + self.tick(now_us)

    def add_page(self, page: Page, now_us: int) -> bool:
        """A page of another source's snapshot. Whether a whole state is in force with it."""
        if page.scope != self.scope or not self._agreement.needs_snapshot or not self.table.add_page(page):
            return False
        self._agreement.needs_snapshot, self._agreement.open_slot = False, None
        self.request_read(now_us)
        return True

    def restore(self, head: Head, entries: Mapping[str, bytes]) -> None:
        """What was on disk, before anything else."""
        self.table.begin_epoch(head.epoch)
        self.table.entries, self.table.head = dict(entries), head

    def request_read(self, now_us: int) -> None:
        """The next slot is to be read: it may be taken already."""
        if not self._agreement.needs_snapshot:
            self._agreement.must_read, self.due_us = True, min(self.due_us, now_us)

    def distrust(self, now_us: int) -> None:
        """Nothing was heard of the registers for a while: it is not known whether the next slot is open still."""
        self._agreement.is_caught_up = False
        self.request_read(now_us)

    # ---- Own changes ----

    def offer(
        self,
        entries: tuple[Entry, ...],
        base: int,
        done: OnDone,
        now_us: int,
        anew: bool = False,
    ) -> list[Effect]:
        """Make this the next version if it passes the checks on the newest state; `anew`: of the next epoch, the first.

        `base`: the version that it was made for, -1 for any. `done` gets the version, or 0 and why not.
        """
        mistake = change_error(entries) if entries or not anew else ""
        mistake = mistake or (REGISTERS_LOST if self._agreement.are_registers_lost and not anew else "")
        if mistake:
            return done(0, mistake)
        epoch = max(self.head.epoch, self._agreement.newer_epoch) + 1 if anew else -1
        if not self._agreement.queue.add(entries, base, done, epoch, now_us):
            return done(0, f"{len(self._agreement.queue)} changes wait already")
        return self.tick(now_us)

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        if self._waiting and now_us - self._waiting_us > ANSWER_TIMEOUT_US:
            self._waiting, self._agreement.must_read = 0, True
        effects = self._agreement.queue.expire(
            "too far behind" if self._agreement.needs_snapshot else "no answer, or slots still needed", now_us
        )
        while not self._waiting and now_us >= self._again_us:
            one, (epoch, version) = self._agreement.queue.front, self._agreement.target
            if self._agreement.needs_snapshot and not self._agreement.queue.is_raising:
                break
            if self._agreement.must_read or (one is not None and self._agreement.open_slot is None):
                self._agreement.must_read = True
                effects.append(Read(self._new_ask(now_us), key_of_slot(self.scope, version)))
            elif one is None or self._agreement.open_slot is None:
                break
            elif mistake := self._agreement.offer_error(one):
                if self._open_us < one.begun_us:
                    self._agreement.must_read = True  # it may have been made on a version that is not here yet
                else:
                    effects += self._agreement.queue.finish_front(0, mistake)
            elif version > SLOTS and not self._has_majority(epoch, version - SLOTS):
                break
            else:
                one.is_tried = True
                slot = Slot(epoch, version, self._source, self._incarnation, one.number, one.entries)
                key, fence = key_of_slot(self.scope, version), self._agreement.open_slot[2]
                effects.append(Change(self._new_ask(now_us), key, fence, encoded(slot)))
        self.due_us = self._agreement.queue.due_us
        if self._waiting:
            self.due_us = min(self.due_us, self._waiting_us + ANSWER_TIMEOUT_US + 1)
        elif now_us < self._again_us:
            self.due_us = min(self.due_us, self._again_us)
        return effects

    def answered(self, answer: Answer, now_us: int) -> list[Effect]:
        """An `Answer` to an own `Read` or `Change`."""
        if answer.ask != self._waiting or scope_of_slot(answer.key) != self.scope:
            return []
        self._waiting = 0
        effects: list[Effect] = []
        if answer.how == "unknown":
            self._agreement.must_read, self._again_us = True, now_us + RETRY_US + self._rng.randrange(RETRY_US)
        elif self._asked_target != self._agreement.target:
            self._agreement.must_read = True  # we have come further meanwhile
        else:
            effects = self._agreement.slot_read(answer.fence, answer.value)
            self._open_us = self._waiting_us
            self._again_us = now_us + ANSWER_TIMEOUT_US if self._agreement.has_bad_slot else self._again_us
        return effects + self.tick(now_us)

    # ---- Parts ----

    def _has_majority(self, epoch: int, version: int) -> bool:
        """Whether a majority of the sources, this one among them, is there."""
        others = (self._heads.get(one, (0, 0)) for one in self._sources if one != self._source)
        return 2 * (1 + sum(head >= (epoch, version) for head in others)) > len(self._sources)

    def _new_ask(self, now_us: int) -> int:
        self._last_ask += 1
        self._waiting, self._waiting_us, self._asked_target = self._last_ask, now_us, self._agreement.target
        return self._last_ask
