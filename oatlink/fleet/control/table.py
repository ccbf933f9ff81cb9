"""Stores one scope's state in one process: complete versions, in order, never an older one. No I/O.

A table has the entries, their version, the latest changes up to it (a bounded number of bytes), and a snapshot that is
being received. Who sends what and when, and what an entry means, is decided elsewhere.

A snapshot is received page by page while changes go on. Each page is the sender's state at that page's `now`. All
changes after `first` are kept meanwhile and applied over the pages in order, so the result is the state of the last
version whatever the order of pages and changes was: a key has the value of its last change after `first`, or else of
its page. The old state stays in force until then.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable

import msgspec

from oatlink.fleet.messages.control import MAX_ENTRY_KEY_BYTES, MAX_ENTRY_VALUE_BYTES, Delta, Entry, Head, Page

KEPT_BYTES = 262_144  # of changes, kept for readers that are behind
PAGE_BYTES = 8_192


def size_of(entries: Iterable[Entry]) -> int:
    """Return the bytes of entries as they count against every bound here."""
    return sum(len(entry.key.encode()) + len(entry.value) + 8 for entry in entries)


def are_sound(entries: Iterable[Entry]) -> bool:
    """Return whether entries keep the bounds of an entry. Prevents a peer from storing more than the bounds allow."""
    return all(
        0 < len(entry.key.encode("utf-8", "replace")) <= MAX_ENTRY_KEY_BYTES
        and len(entry.value) <= MAX_ENTRY_VALUE_BYTES
        for entry in entries
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
    """The state of one scope. `head` is the version in force here."""

    def __init__(self, scope: str, kept_bytes: int = KEPT_BYTES) -> None:
        self.head = Head(scope)
        self.entries: dict[str, bytes] = {}
        self.dropped = 0  # messages that were older than the state, left a gap or broke a bound
        self._kept_bytes, self._held_bytes = kept_bytes, 0
        self._kept: deque[Delta] = deque()  # the newest changes, without a gap, up to the head
        self._keys: list[str] | None = None  # sorted, while a snapshot is read from here
        self._snapshot: _PartialSnapshot | None = None

    @property
    def floor(self) -> int:
        """A reader with this version or a later one of the same epoch can be served by changes."""
        return self._kept[0].version - 1 if self._kept else self.head.version

    @property
    def snapshot_progress(self) -> tuple[int, int, str] | None:
        """The snapshot under way: its epoch, its first version, and the last key received."""
        snapshot = self._snapshot
        return None if snapshot is None else (snapshot.epoch, snapshot.first, snapshot.after)

    # ---- Receiving ----

    def apply(self, delta: Delta) -> bool:
        """Apply a change.

        Return whether it is in force now or kept for a snapshot; otherwise it is dropped and counted.
        """
        if not are_sound(delta.entries):
            self.dropped += 1
            return False
        if self._snapshot is not None:
            self._keep_for_snapshot(self._snapshot, delta)
        if (delta.epoch, delta.version) != (self.head.epoch, self.head.version + 1):
            self.dropped += self._snapshot is None
            return self._snapshot is not None
        self._apply_entries(delta)
        snapshot = self._snapshot
        if snapshot is not None and (snapshot.epoch, snapshot.first) <= (self.head.epoch, self.head.version):
            self._snapshot = None  # changes have passed the version at which it began: no page is needed any more
        return True

    def _keep_for_snapshot(self, snapshot: _PartialSnapshot, delta: Delta) -> None:
        """Keep a change for the snapshot under way. If there are more than may be kept, the snapshot is begun again."""
        last = snapshot.changes[-1].version if snapshot.changes else snapshot.first
        if (delta.epoch, delta.version) == (snapshot.epoch, last + 1):
            snapshot.changes.append(delta)
            snapshot.size += size_of(delta.entries)
            if snapshot.size > self._kept_bytes:
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
        """Add a page of a snapshot. Return whether a whole state is in force with it."""
        own_version = (self.head.epoch, self.head.version)
        if (page.epoch, page.now) <= own_version or not page.first <= page.now or not are_sound(page.entries):
            self.dropped += 1
            return False
        snapshot = self._snapshot
        if snapshot is None or (snapshot.epoch, snapshot.first) != (page.epoch, page.first):
            if page.after or (snapshot is not None and (snapshot.epoch, snapshot.first) > (page.epoch, page.first)):
                self.dropped += 1
                return False
            snapshot = self._snapshot = _PartialSnapshot(page.epoch, page.first, "", {}, deque())
        if page.after != snapshot.after:  # received twice, or one in between was lost: the rest is requested again
            self.dropped += 1
            return False
        for entry in page.entries:
            snapshot.entries[entry.key] = entry.value
            snapshot.after = entry.key
        return page.last and self._finish(snapshot, page.now)

    def _finish(self, snapshot: _PartialSnapshot, version: int) -> bool:
        """Put the snapshot in force, as all pages are here, if the changes reach the last page's version too."""
        last_version = snapshot.changes[-1].version if snapshot.changes else snapshot.first
        self._snapshot = None
        if last_version < version:
            self.dropped += 1  # a change was lost on the way: the snapshot is begun again
            return False
        self.entries, self._keys = snapshot.entries, None
        self._kept.clear()
        self._held_bytes = 0
        self.head = Head(self.head.scope, snapshot.epoch, snapshot.first)
        for delta in snapshot.changes:
            self._apply_entries(delta)
        return True

    def discard_snapshot(self) -> None:
        """Discard the snapshot under way."""
        self._snapshot = None

    def begin_epoch(self, epoch: int) -> None:
        """Begin an epoch without a version and drop the old state.

        Only for sources, which know that the epoch is agreed.
        """
        self.head = Head(self.head.scope, epoch, 0)
        self.entries, self._keys, self._snapshot, self._held_bytes = {}, None, None, 0
        self._kept.clear()

    # ---- Sending ----

    def changes_since(self, head: Head, max_bytes: int = PAGE_BYTES) -> tuple[Delta, ...] | None:
        """Return the next changes for a reader that has `head`, at least one if there is any.

        None if the reader needs a snapshot.
        """
        if (head.epoch, head.version) == (self.head.epoch, self.head.version):
            return ()
        if head.epoch != self.head.epoch or not self.floor <= head.version < self.head.version:
            return None
        changes: list[Delta] = []
        size = 0
        for index in range(
            head.version - self.floor, len(self._kept)
        ):  # usually near the end: no walk over all changes
            delta = self._kept[index]
            size += size_of(delta.entries)
            if changes and size > max_bytes:
                break
            changes.append(delta)
        return tuple(changes)

    def page(self, first: int, after: str, max_bytes: int = PAGE_BYTES) -> Page | None:
        """Return the page after key `after` of a snapshot that began at `first`.

        None if the changes since `first` are not kept any more.
        """
        if not self.floor <= first <= self.head.version:
            return None
        if self._keys is None:
            self._keys = sorted(self.entries)
        entries: list[Entry] = []
        size, index = 0, bisect_right(self._keys, after)
        while index < len(self._keys):
            entry = Entry(self._keys[index], self.entries[self._keys[index]])
            size += size_of((entry,))
            if entries and size > max_bytes:
                break
            entries.append(entry)
            index += 1
        is_last = index == len(self._keys)
        head = self.head
        return Page(head.scope, head.epoch, first, head.version, self.floor, after, tuple(entries), is_last)
