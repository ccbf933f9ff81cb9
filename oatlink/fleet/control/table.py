"""One scope's state as one process has it: whole versions, in order, never back. No I/O.

What may live here: entries, the version they are of, the changes that led there (so many bytes of them), and a snapshot
that is being put together. Who sends what when, and what an entry means, lives elsewhere.

A snapshot is taken page by page while changes go on. Each page is as the sender was at that page's `now`; all changes
after `first` are kept meanwhile and applied over the pages in order, so the result is the state of the last version
however the pages lay between them: a key's value is its last change's after `first`, else its page's. The old state
stands until then.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable

import msgspec

from oatlink.fleet.messages.control import MOST_ENTRY, MOST_ENTRY_KEY, Delta, Entry, Head, Page

KEPT_BYTES = 262_144  # of changes kept for readers that are behind
PAGE_BYTES = 8_192


def size_of(entries: Iterable[Entry]) -> int:
    """Bytes of entries, as they are counted against every bound here."""
    return sum(len(one.key.encode()) + len(one.value) + 8 for one in entries)


def are_sound(entries: Iterable[Entry]) -> bool:
    """Whether these keep within the bounds of an entry. Threat: a peer's word that no bound of ours would hold."""
    return all(
        0 < len(one.key.encode("utf-8", "replace")) <= MOST_ENTRY_KEY and len(one.value) <= MOST_ENTRY
        for one in entries
    )


class _PartialSnapshot(msgspec.Struct):
    """A snapshot under way."""

    epoch: int
    first: int
    after: str
    entries: dict[str, bytes]
    changes: deque[Delta]
    size: int = 0  # bytes of the changes


class Table:
    """See the head of this file. `head` is what is in force here."""

    def __init__(self, scope: str, kept_bytes: int = KEPT_BYTES) -> None:
        self.head = Head(scope)
        self.entries: dict[str, bytes] = {}
        self.dropped = 0  # words that went back, left a gap or broke a bound
        self._kept_bytes, self._held_bytes = kept_bytes, 0
        self._kept: deque[Delta] = deque()  # the newest changes, one after the other up to the head
        self._keys: list[str] | None = None  # in order, while a snapshot is read from here
        self._snapshot: _PartialSnapshot | None = None

    @property
    def floor(self) -> int:
        """Who has this version or a later one of our epoch can be served by changes."""
        return self._kept[0].version - 1 if self._kept else self.head.version

    @property
    def snapshot_progress(self) -> tuple[int, int, str] | None:
        """The snapshot under way: its epoch, its first version, the last key taken."""
        one = self._snapshot
        return None if one is None else (one.epoch, one.first, one.after)

    # ---- Taking ----

    def apply(self, delta: Delta) -> bool:
        """A change. Whether it is in force now, or kept for the snapshot under way; else it is dropped and counted."""
        if not are_sound(delta.entries):
            self.dropped += 1
            return False
        if self._snapshot is not None:
            self._keep_for_snapshot(self._snapshot, delta)
        if (delta.epoch, delta.version) != (self.head.epoch, self.head.version + 1):
            self.dropped += self._snapshot is None
            return self._snapshot is not None
        self._apply_entries(delta)
        one = self._snapshot
        if one is not None and (one.epoch, one.first) <= (self.head.epoch, self.head.version):
            self._snapshot = None  # changes have led past where it began: no page is needed any more
        return True

    def _keep_for_snapshot(self, one: _PartialSnapshot, delta: Delta) -> None:
        """What comes while a snapshot is under way. Threat: more of it than anybody keeps; it is begun anew then."""
        last = one.changes[-1].version if one.changes else one.first
        if (delta.epoch, delta.version) == (one.epoch, last + 1):
            one.changes.append(delta)
            one.size += size_of(delta.entries)
            if one.size > self._kept_bytes:
                self._snapshot = None

    def _apply_entries(self, delta: Delta) -> None:
        for entry in delta.entries:
            if entry.value:
                self._keys = self._keys if entry.key in self.entries else None
                self.entries[entry.key] = entry.value
            elif self.entries.pop(entry.key, None) is not None:
                self._keys = None
        self.head = Head(self.head.scope, delta.epoch, delta.version)
        self._kept.append(delta)
        self._held_bytes += size_of(delta.entries)
        while self._held_bytes > self._kept_bytes and len(self._kept) > 1:
            self._held_bytes -= size_of(self._kept.popleft().entries)

    def add_page(self, page: Page) -> bool:
        """A page of a snapshot. Whether a whole state is in force with it."""
        ours = (self.head.epoch, self.head.version)
        if (page.epoch, page.now) <= ours or not page.first <= page.now or not are_sound(page.entries):
            self.dropped += 1
            return False
        one = self._snapshot
        if one is None or (one.epoch, one.first) != (page.epoch, page.first):
            if page.after or (one is not None and (one.epoch, one.first) > (page.epoch, page.first)):
                self.dropped += 1
                return False
            one = self._snapshot = _PartialSnapshot(page.epoch, page.first, "", {}, deque())
        if page.after != one.after:  # doubled, or one between was lost: it is asked for again from where we are
            self.dropped += 1
            return False
        for entry in page.entries:
            one.entries[entry.key] = entry.value
            one.after = entry.key
        return page.last and self._finish(one, page.now)

    def _finish(self, one: _PartialSnapshot, now: int) -> bool:
        """All pages are here: in force, if the changes reach the last page's version too."""
        last = one.changes[-1].version if one.changes else one.first
        self._snapshot = None
        if last < now:
            self.dropped += 1  # a change was lost on the way: the snapshot is begun anew
            return False
        self.entries, self._keys = one.entries, None
        self._kept.clear()
        self._held_bytes = 0
        self.head = Head(self.head.scope, one.epoch, one.first)
        for delta in one.changes:
            self._apply_entries(delta)
        return True

    def discard_snapshot(self) -> None:
        """The snapshot under way is given up."""
        self._snapshot = None

    def begin_epoch(self, epoch: int) -> None:
        """An epoch without a version yet: nothing of the one before is in it. For sources, that know it agreed."""
        self.head = Head(self.head.scope, epoch, 0)
        self.entries, self._keys, self._snapshot, self._held_bytes = {}, None, None, 0
        self._kept.clear()

    # ---- Giving ----

    def changes_since(self, head: Head, most_bytes: int = PAGE_BYTES) -> tuple[Delta, ...] | None:
        """The next changes for a reader that has `head`, at least one if there is any; None: it needs a snapshot."""
        if (head.epoch, head.version) == (self.head.epoch, self.head.version):
            return ()
        if head.epoch != self.head.epoch or not self.floor <= head.version < self.head.version:
            return None
        found: list[Delta] = []
        size = 0
        for at in range(head.version - self.floor, len(self._kept)):  # near the newest as a rule: no walk over all
            delta = self._kept[at]
            size += size_of(delta.entries)
            if found and size > most_bytes:
                break
            found.append(delta)
        return tuple(found)

    def page(self, first: int, after: str, most_bytes: int = PAGE_BYTES) -> Page | None:
        """The page behind `after` of a snapshot that began at `first`; None where its changes are not kept any more."""
        if not self.floor <= first <= self.head.version:
            return None
        if self._keys is None:
            self._keys = sorted(self.entries)
        found: list[Entry] = []
        size, at = 0, bisect_right(self._keys, after)
        while at < len(self._keys):
            entry = Entry(self._keys[at], self.entries[self._keys[at]])
            size += size_of((entry,))
            if found and size > most_bytes:
                break
            found.append(entry)
            at += 1
        last = at == len(self._keys)
        head = self.head
        return Page(head.scope, head.epoch, first, head.version, self.floor, after, tuple(found), last)
