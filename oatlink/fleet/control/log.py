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

from collections.abc import Callable, Mapping
from random import Random

from oatlink.fleet.control.checks import Checker, mistake_of_base, mistake_of_change, mistake_of_state
from oatlink.fleet.control.offers import Done, Line, Offer
from oatlink.fleet.control.slots import SLOTS, Slot, decoded, encoded, key_of_slot, reading, scope_of_slot
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import Answer, Change, Effect, Note, Read
from oatlink.fleet.messages.control import Delta, Entry, Head, Page

AGAIN_US = 100_000  # after an unknown answer, and up to twice that
LOST_US = 10_000_000  # an answer is taken for lost after this time
LOST = "the keepers have less than was agreed: an operator must raise the epoch"


class Log:
    """See the head of this file. `table` is what is in force here; `applied` is called with each new version."""

    def __init__(
        self,
        scope: str,
        source: str,
        incarnation: int,
        sources: tuple[str, ...],
        checker: Checker,
        seed: int,
        applied: Callable[[Delta, bool], list[Effect]],
    ) -> None:
        """`applied(delta, own)` returns what is to be said of a version; `sources` are all of them, this one too."""
        self.scope, self.table = scope, Table(scope)
        self.due_us = 0  # a new one looks where it is
        self.behind = False  # only a snapshot helps; see `gather`
        self.caught_up = False  # has seen its next slot open, and no later one since
        self.lost = False  # the keepers have less than this source
        self._source, self._incarnation, self._sources = source, incarnation, sources
        self._checker, self._applied = checker, applied
        self._rng = Random(f"{seed}/{scope}/{source}/{incarnation}")
        self._line = Line()
        self._asks = 0
        self._waiting, self._waiting_us = 0, 0  # the ask without an answer yet
        self._asked = (0, 0)  # the epoch and version that it is about
        self._look = True  # the next slot must be read, whatever waits in the line
        self._anew = 0  # an epoch known of, whose first version is not here yet
        self._open: tuple[int, int, int] | None = None  # epoch, version, fence: read when we were there
        self._open_us = self._again_us = 0
        self._heads: dict[str, tuple[int, int]] = {}

    @property
    def head(self) -> Head:
        """The newest version here."""
        return self.table.head

    @property
    def waiting(self) -> int:
        """Own offers without an end."""
        return len(self._line)

    # ---- What others say ----

    def told(self, source: str, head: Head, now_us: int) -> None:
        """How far another source is. More than here: the next slot is read, now."""
        if source in self._sources:
            self._heads[source] = head.epoch, head.version  # its last word, not its highest: it may have begun anew
        if (head.epoch, head.version) > (self.head.epoch, self.head.version):
            self._anew = max(self._anew, head.epoch)
            self.look(now_us)
        elif self._line:
            self.due_us = min(self.due_us, now_us)

    def committed(self, source: str, delta: Delta, now_us: int) -> list[Effect]:
        """Another source's word that a version is agreed. Dropped where it is not the next; the slots tell it then."""
        effects: list[Effect] = []
        if not self._line.tried and (delta.epoch, delta.version) == (self.head.epoch, self.head.version + 1):
            was_behind = self.behind
            effects = self._take(delta, own=False)
            if was_behind:
                self.look(now_us)
        elif self.behind:
            self.table.apply(delta)  # kept for the snapshot that is under way
        self.told(source, Head(self.scope, delta.epoch, delta.version), now_us)
        return effects + self.tick(now_us)

    def gather(self, page: Page, now_us: int) -> bool:
        """A page of another source's snapshot. Whether a whole state is in force with it."""
        if page.scope != self.scope or not self.behind or not self.table.gather(page):
            return False
        self.behind, self._open = False, None
        self.look(now_us)
        return True

    def restore(self, head: Head, entries: Mapping[str, bytes]) -> None:
        """What was on disk, before anything else."""
        self.table.begin(head.epoch)
        self.table.entries, self.table.head = dict(entries), head

    def look(self, now_us: int) -> None:
        """The next slot is to be read: it may be taken already."""
        if not self.behind:
            self._look, self.due_us = True, min(self.due_us, now_us)

    # ---- Own changes ----

    def offer(
        self,
        entries: tuple[Entry, ...],
        base: int,
        done: Done,
        now_us: int,
        anew: bool = False,
    ) -> list[Effect]:
        """Make this the next version if it passes the checks on the newest state; `anew`: of the next epoch, the first.

        `base`: the version that it was made for, -1 for any. `done` gets the version, or 0 and why not.
        """
        mistake = mistake_of_change(entries) if entries or not anew else ""
        mistake = mistake or (LOST if self.lost and not anew else "")
        if mistake:
            return done(0, mistake)
        epoch = max(self.head.epoch, self._anew) + 1 if anew else -1
        if not self._line.put(entries, base, done, epoch, now_us):
            return done(0, f"{len(self._line)} changes wait already")
        return self.tick(now_us)

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        if self._waiting and now_us - self._waiting_us > LOST_US:
            self._waiting, self._look = 0, True
        effects = self._line.expire("too far behind" if self.behind else "no answer, or slots still needed", now_us)
        while not self._waiting and now_us >= self._again_us:
            one, (epoch, version) = self._line.front, self._target
            if self.behind and not self._line.raising:
                break
            if self._look or (one is not None and self._open is None):
                self._look = True
                effects.append(Read(self._ask(now_us), key_of_slot(self.scope, version)))
            elif one is None or self._open is None:
                break
            elif mistake := self._mistake(one):
                if self._open_us < one.begun_us:
                    self._look = True  # it may have been made on a version that is not here yet
                else:
                    effects += self._line.end(0, mistake)
            elif version > SLOTS and not self._most_have(epoch, version - SLOTS):
                break
            else:
                one.tried = True
                slot = Slot(epoch, version, self._source, self._incarnation, one.number, one.entries)
                key, fence = key_of_slot(self.scope, version), self._open[2]
                effects.append(Change(self._ask(now_us), key, fence, encoded(slot)))
        self.due_us = self._line.due_us
        if self._waiting:
            self.due_us = min(self.due_us, self._waiting_us + LOST_US + 1)
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
            self._look, self._again_us = True, now_us + AGAIN_US + self._rng.randrange(AGAIN_US)
        elif self._asked != self._target:
            self._look = True  # we have come further meanwhile
        else:
            effects = self._saw(answer.fence, answer.value)
        return effects + self.tick(now_us)

    # ---- Decisions ----

    @property
    def _target(self) -> tuple[int, int]:
        """Epoch and version whose slot is next to be read or written."""
        one = self._line.front
        if one is not None and one.epoch >= 0:
            return one.epoch, 1
        return (self._anew, 1) if self._anew > self.head.epoch else (self.head.epoch, self.head.version + 1)

    def _saw(self, fence: int, value: bytes) -> list[Effect]:
        """What the register of the target holds."""
        epoch, version = self._target
        slot = decoded(value)
        self._look, self._open = False, None
        if slot is None:
            self._look = True
            self._again_us = self._waiting_us + LOST_US
            return [Note("control_slot_bad", f"{self.scope} {version}: {value[:32].hex()}")]
        how = reading(epoch, version, slot)
        if how in ("taken", "begun"):
            return self._agreed(slot)
        if how == "later":
            self._anew, self._look = slot.epoch, True
            return self._fail(f"epoch {slot.epoch} was begun meanwhile", under_way=True)
        if how == "behind":
            self._anew = max(self._anew, epoch)
            self.behind, self.caught_up = True, False
            note = Note("control_behind", f"{self.scope} {version}: its slot holds {slot.epoch}.{slot.version}")
            return [note, *self._fail("unknown: too far behind to see what came of it", under_way=True)]
        if how == "lost":
            noted, self.lost = self.lost, True
            note = Note("control_slots_lost", f"{self.scope} {version}: its slot holds {slot.epoch}.{slot.version}")
            return ([] if noted else [note]) + self._fail(("unknown: " if self._line.tried else "") + LOST)
        if epoch > self.head.epoch and not self._line.raising:
            self._anew, self._look = 0, True  # told wrong: there is no such epoch
            return []
        self._open, self._open_us = (epoch, version, fence), self._waiting_us
        self.lost, self.caught_up = False, True
        return []

    def _agreed(self, slot: Slot) -> list[Effect]:
        """The slot holds the target, or the first version of a later epoch."""
        one = self._line.front
        mine = self._is_mine(slot)
        if slot.epoch > self.head.epoch:
            self.table.begin(slot.epoch)
        effects = self._take(Delta(slot.epoch, slot.version, slot.entries), own=mine)
        if mine:
            return effects + self._line.end(slot.version)
        self._look = True  # there may be more
        if one is not None and (one.epoch >= 0 or (one.tried and slot.version == 1 and slot.epoch > 0)):
            return effects + self._line.end(0, f"epoch {slot.epoch} was begun meanwhile")
        if one is not None:
            one.tried = False  # its fence has passed: it has not happened and will not, and may be the next
        return effects

    def _is_mine(self, slot: Slot) -> bool:
        one = self._line.front
        wrote = slot.source, slot.incarnation, slot.number
        return one is not None and one.tried and wrote == (self._source, self._incarnation, one.number)

    def _take(self, delta: Delta, own: bool) -> list[Effect]:
        if not self.table.apply(delta):
            self._again_us = self._waiting_us + LOST_US
            return [Note("control_slot_bad", f"{self.scope} {delta.version}: breaks a bound")]
        self._open, self.behind, self.lost = None, False, False
        return self._applied(delta, own)

    def _mistake(self, one: Offer) -> str:
        if one.tried:
            return ""  # it was looked at on this very state, and may have happened
        if one.epoch >= 0:
            return mistake_of_state(self.scope, {}, one.entries, self._checker)
        return mistake_of_base(one.base, self.head.version) or mistake_of_state(
            self.scope, self.table.entries, one.entries, self._checker
        )

    def _most_have(self, epoch: int, version: int) -> bool:
        """Whether a majority of the sources, this one among them, is there."""
        others = (self._heads.get(one, (0, 0)) for one in self._sources if one != self._source)
        return 2 * (1 + sum(head >= (epoch, version) for head in others)) > len(self._sources)

    def _fail(self, why: str, under_way: bool = False) -> list[Effect]:
        """The one in front comes to nothing; `under_way`: only if it was tried or begins an epoch."""
        if not self._line or (under_way and not self._line.tried and not self._line.raising):
            return []
        return self._line.end(0, why)

    def _ask(self, now_us: int) -> int:
        self._asks += 1
        self._waiting, self._waiting_us, self._asked = self._asks, now_us, self._target
        return self._asks
