"""Decides which message each child gets next, and when. No I/O.

This module knows how far each child is in each scope, which changes are due, which children are up to date, and the
queue and rate limit for those that are behind. Which processes are children is `downstream`'s part.

- A change is sent at once to each child that has the version before it, or it is batched until `BATCH_US` after the
  last send.
- All other children wait in one queue, with one place per child and one message per turn. Together they get
  `CATCH_UP_BYTES_PER_S`. This prevents delays of new changes when a whole zone comes back at once or a child subscribes
  over and over.
- Changes are sent before a page, so by the last page of a snapshot all changes up to its `now` have been sent.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from oatlink.fleet.control.table import PAGE_BYTES, Table, size_of
from oatlink.fleet.messages.base import NEVER_US
from oatlink.fleet.messages.control import Changes, Head, Page
from oatlink.fleet.messages.effects import Tell

BATCH_US = 100_000
CATCH_UP_BYTES_PER_S = 131_072  # for all children that are behind together
CATCH_UP_BURST_BYTES = 65_536  # how much of it may be sent at once
MESSAGE_OVERHEAD_BYTES = 100  # counted for a message besides its entries


class _Position(msgspec.Struct):
    """How far a child was sent one scope. `page` is the epoch, first version and last key sent of a snapshot."""

    head: Head
    page: tuple[int, int, str] | None = None


class Feed:
    """Serves children from `tables`, the owner's tables by scope.

    The owner calls `scope_changed` after each change of one.
    """

    def __init__(self, tables: Mapping[str, Table], now_us: int, rate: int = CATCH_UP_BYTES_PER_S) -> None:
        self._tables, self._rate = tables, rate
        self._children: dict[str, dict[str, _Position]] = {}
        self._takers: dict[str, dict[str, None]] = {}
        self._queue: deque[str] = deque()
        self._queued: dict[str, None] = {}
        self._due_changes: dict[str, int] = {}  # changed scopes, and when their changes are sent
        self._sent_us: dict[str, int] = {}
        self._budget_bytes, self._budget_us = float(CATCH_UP_BURST_BYTES), now_us

    @property
    def due_us(self) -> int:
        """When `tick` has to be called next."""
        due = min(self._due_changes.values(), default=NEVER_US)  # at most 16 scopes
        if not self._queue:
            return due
        return min(due, self._budget_us + max(0, int(-self._budget_bytes * 1_000_000 / self._rate) + 1))

    def has_takers(self, scope: str) -> bool:
        """Return whether any child takes this scope."""
        return bool(self._takers.get(scope))

    def takers(self, scope: str) -> tuple[str, ...]:
        """Return the children that take this scope."""
        return tuple(self._takers.get(scope, ()))

    def scopes(self, child: str) -> Iterable[str]:
        """Return the scopes that this child takes."""
        return self._children.get(child, ())

    # ---- Children ----

    def start(self, child: str, heads: Iterable[Head], resume: Iterable[tuple[str, int, int, str]]) -> None:
        """Serve a child from these heads on, in its turn. A child that is in the queue already keeps its place."""
        pages = {scope: (epoch, first, after) for scope, epoch, first, after in resume}
        self._leave_scopes(child)
        positions = self._children[child] = {}
        for head in heads:
            position = positions[head.scope] = _Position(head)
            self._takers.setdefault(head.scope, {})[child] = None
            page, table = pages.get(head.scope), self._tables[head.scope]
            if page is None or page[0] != table.head.epoch or not table.floor <= page[1] <= table.head.version:
                continue
            if table.changes_since(head) is None:  # otherwise changes are enough
                position.head, position.page = Head(head.scope, *page[:2]), page
        self._enqueue(child)

    def stop(self, child: str) -> None:
        """Forget a child that has gone."""
        self._leave_scopes(child)
        self._children.pop(child, None)

    def _leave_scopes(self, child: str) -> None:
        for scope in self._children.get(child, ()):
            takers = self._takers[scope]
            takers.pop(child, None)
            if not takers:
                del self._takers[scope]
                self._sent_us.pop(scope, None)

    def _enqueue(self, child: str) -> None:
        if child not in self._queued:
            self._queued[child] = None
            self._queue.append(child)

    # ---- Messages ----

    def scope_changed(self, scope: str, now_us: int) -> None:
        """Schedule a send after the table of this scope has changed."""
        if scope not in self._due_changes and scope in self._takers:
            self._due_changes[scope] = max(now_us, self._sent_us.get(scope, now_us - BATCH_US) + BATCH_US)

    def tick(self, now_us: int) -> list[Tell]:
        """Return the changes that are due, then messages for children that are behind, as far as the rate allows."""
        tells: list[Tell] = []
        for scope in [changed_scope for changed_scope, at_us in self._due_changes.items() if now_us >= at_us]:
            del self._due_changes[scope]
            if scope in self._takers:
                self._sent_us[scope] = now_us
                tells += self._flush(scope)
        self._budget_bytes = min(
            CATCH_UP_BURST_BYTES, self._budget_bytes + self._rate * max(0, now_us - self._budget_us) / 1_000_000
        )
        self._budget_us = max(now_us, self._budget_us)
        while self._queue and self._budget_bytes >= 0:
            child = self._queue.popleft()
            message = self._next_message(child)
            if message is None:
                del self._queued[child]
                continue
            self._budget_bytes -= _size(message)
            self._queue.append(child)
            tells.append(Tell(child, message))
        return tells

    def send_pending(self, child: str) -> list[Tell]:
        """Return the batched changes for this child.

        Called before its beat, so that the beat names no version still unsent.
        """
        if child in self._queued:
            return []
        messages = [
            self._changes_for(position)
            for scope, position in self._children[child].items()
            if scope in self._due_changes
        ]
        return [Tell(child, message) for message in messages if message is not None]

    def _flush(self, scope: str) -> list[Tell]:
        """Return the changes of a scope for all children up to date.

        One message is built per version that children have.
        """
        message_by_version: dict[tuple[int, int], Changes | None] = {}
        tells = []
        for child in self._takers.get(scope, ()):
            if child in self._queued:
                continue
            position = self._children[child][scope]
            version = position.head.epoch, position.head.version
            if version not in message_by_version:
                message_by_version[version] = self._changes_for(position)
            elif message_by_version[version] is not None:
                position.head = self._tables[scope].head
            message = message_by_version[version]
            if message is not None:
                tells.append(Tell(child, message))
            elif self._is_behind(position):
                self._enqueue(child)
        return tells

    def _is_behind(self, position: _Position) -> bool:
        """Return whether there is more to send.

        A child that is ahead of this process gets nothing: it could only go back.
        """
        head = self._tables[position.head.scope].head
        return position.page is not None or (position.head.epoch, position.head.version) < (head.epoch, head.version)

    def _changes_for(self, position: _Position) -> Changes | None:
        """Return all that the child lacks as one message, None if it lacks nothing or more than one message holds."""
        table = self._tables[position.head.scope]
        deltas = table.changes_since(position.head) if self._is_behind(position) and position.page is None else None
        if not deltas or deltas[-1].version != table.head.version:
            return None
        position.head = table.head
        return Changes(table.head.scope, deltas)

    def _next_message(self, child: str) -> Changes | Page | None:
        """Return the next message for a child that is behind in any scope, None if it is up to date."""
        for scope, position in self._children.get(child, {}).items():
            if not self._is_behind(position):
                continue
            table = self._tables[scope]
            deltas = table.changes_since(position.head, PAGE_BYTES)
            if deltas:
                position.head = Head(scope, deltas[-1].epoch, deltas[-1].version)
                return Changes(scope, deltas)
            page = None if deltas is None or position.page is None else table.page(position.page[1], position.page[2])
            if page is None or position.page is None or page.epoch != position.page[0]:
                # Too far behind, or the changes since the snapshot began are not kept any more: begin a new snapshot.
                position.head, position.page = table.head, (table.head.epoch, table.head.version, "")
                page = table.page(table.head.version, "")
            if page is None:
                continue
            after = page.entries[-1].key if page.entries else page.after
            position.page = None if page.last else (page.epoch, page.first, after)
            return page
        return None


def _size(message: Changes | Page) -> int:
    if isinstance(message, Page):
        return MESSAGE_OVERHEAD_BYTES + size_of(message.entries)
    return MESSAGE_OVERHEAD_BYTES + sum(MESSAGE_OVERHEAD_BYTES + size_of(delta.entries) for delta in message.deltas)
