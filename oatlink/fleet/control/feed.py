"""What each child gets next, and when. No I/O.

What may live here: how far each child is in each scope, news and who is in step with it, the queue of those that are
behind, and the rate at which they are brought up. Who is a child at all is `downstream`'s.

- News goes at once to each child that has the version before, or is gathered for `GATHER_US` after the last time.
- Everybody else waits in one queue, one place a child, one word a turn; all of them together cost `RATE` bytes a
  second. Threat: a zone that comes back at once, and a child that asks over and over: neither makes news wait.
- Changes come before a page, so with a snapshot's last page all changes up to its `now` have gone out.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from oatlink.fleet.control.table import PAGE_BYTES, Table, size_of
from oatlink.fleet.messages.base import NEVER_US
from oatlink.fleet.messages.control import Changes, Head, Page
from oatlink.fleet.messages.effects import Tell

GATHER_US = 100_000
RATE = 131_072  # bytes a second, for all that are behind together
BURST = 65_536  # bytes of it at once
WORD_BYTES = 100  # of a word beside its entries, as it is reckoned here


class _At(msgspec.Struct):
    """How far a child was sent things of one scope. `page`: the snapshot's epoch, first version and last key sent."""

    head: Head
    page: tuple[int, int, str] | None = None


class Feed:
    """`tables`: the owner's, by scope; it says `changed` after each of them that moved."""

    def __init__(self, tables: Mapping[str, Table], now_us: int, rate: int = RATE) -> None:
        self._tables, self._rate = tables, rate
        self._children: dict[str, dict[str, _At]] = {}
        self._takers: dict[str, dict[str, None]] = {}
        self._queue: deque[str] = deque()
        self._queued: dict[str, None] = {}
        self._news: dict[str, int] = {}  # scopes that have moved, and when they are sent
        self._flushed: dict[str, int] = {}
        self._room, self._room_us = float(BURST), now_us

    @property
    def due_us(self) -> int:
        """When to call `tick` next."""
        due = min(self._news.values(), default=NEVER_US)  # scopes, 16 at most
        if not self._queue:
            return due
        return min(due, self._room_us + max(0, int(-self._room * 1_000_000 / self._rate) + 1))

    def takes(self, scope: str) -> bool:
        """Whether any child takes it."""
        return bool(self._takers.get(scope))

    def takers(self, scope: str) -> tuple[str, ...]:
        """The children that take it."""
        return tuple(self._takers.get(scope, ()))

    def scopes(self, child: str) -> Iterable[str]:
        """What this child takes."""
        return self._children.get(child, ())

    # ---- Who ----

    def start(self, child: str, heads: Iterable[Head], resume: Iterable[tuple[str, int, int, str]]) -> None:
        """It has this; it is served from there in its turn. It keeps its place if it has one."""
        pages = {scope: (epoch, first, after) for scope, epoch, first, after in resume}
        self._leave_scopes(child)
        mine = self._children[child] = {}
        for head in heads:
            one = mine[head.scope] = _At(head)
            self._takers.setdefault(head.scope, {})[child] = None
            page, table = pages.get(head.scope), self._tables[head.scope]
            if page is None or page[0] != table.head.epoch or not table.floor <= page[1] <= table.head.version:
                continue
            if table.since(head) is None:  # else changes do
                one.head, one.page = Head(head.scope, *page[:2]), page
        self._wait(child)

    def stop(self, child: str) -> None:
        """It is not there any more."""
        self._leave_scopes(child)
        self._children.pop(child, None)

    def _leave_scopes(self, child: str) -> None:
        for scope in self._children.get(child, ()):
            takers = self._takers[scope]
            takers.pop(child, None)
            if not takers:
                del self._takers[scope]
                self._flushed.pop(scope, None)

    def _wait(self, child: str) -> None:
        if child not in self._queued:
            self._queued[child] = None
            self._queue.append(child)

    # ---- What ----

    def changed(self, scope: str, now_us: int) -> None:
        """The scope's table has moved."""
        if scope not in self._news and scope in self._takers:
            self._news[scope] = max(now_us, self._flushed.get(scope, now_us - GATHER_US) + GATHER_US)

    def tick(self, now_us: int) -> list[Tell]:
        """News that is due, then the turns of those that are behind, as far as the rate allows."""
        told: list[Tell] = []
        for scope in [one for one, at_us in self._news.items() if now_us >= at_us]:
            del self._news[scope]
            if scope in self._takers:
                self._flushed[scope] = now_us
                told += self._flush(scope)
        self._room = min(BURST, self._room + self._rate * max(0, now_us - self._room_us) / 1_000_000)
        self._room_us = max(now_us, self._room_us)
        while self._queue and self._room >= 0:
            child = self._queue.popleft()
            word = self._next(child)
            if word is None:
                del self._queued[child]
                continue
            self._room -= _size(word)
            self._queue.append(child)
            told.append(Tell(child, word))
        return told

    def step(self, child: str) -> list[Tell]:
        """Before a beat: the news of this child that is gathered yet, so that the beat tells of nothing on the way."""
        if child in self._queued:
            return []
        words = [self._news_for(one) for scope, one in self._children[child].items() if scope in self._news]
        return [Tell(child, word) for word in words if word is not None]

    def _flush(self, scope: str) -> list[Tell]:
        """News of a scope to all in step; one word, made once, for all that have the same version."""
        made: dict[tuple[int, int], Changes | None] = {}
        told = []
        for child in self._takers.get(scope, ()):
            if child in self._queued:
                continue
            one = self._children[child][scope]
            was = one.head.epoch, one.head.version
            if was not in made:
                made[was] = self._news_for(one)
            elif made[was] is not None:
                one.head = self._tables[scope].head
            word = made[was]
            if word is not None:
                told.append(Tell(child, word))
            elif self._behind(one):
                self._wait(child)
        return told

    def _behind(self, one: _At) -> bool:
        """Whether there is more to send. One that is ahead of us gets nothing: it could only go back by it."""
        head = self._tables[one.head.scope].head
        return one.page is not None or (one.head.epoch, one.head.version) < (head.epoch, head.version)

    def _news_for(self, one: _At) -> Changes | None:
        """All that the child lacks, in one word; None where there is nothing or it takes more than that."""
        table = self._tables[one.head.scope]
        deltas = table.since(one.head) if self._behind(one) and one.page is None else None
        if not deltas or deltas[-1].version != table.head.version:
            return None
        one.head = table.head
        return Changes(table.head.scope, deltas)

    def _next(self, child: str) -> Changes | Page | None:
        """The next word for a child that is behind in any scope, None where it is in step."""
        for scope, one in self._children.get(child, {}).items():
            if not self._behind(one):
                continue
            table = self._tables[scope]
            deltas = table.since(one.head, PAGE_BYTES)
            if deltas:
                one.head = Head(scope, deltas[-1].epoch, deltas[-1].version)
                return Changes(scope, deltas)
            page = None if deltas is None or one.page is None else table.page(one.page[1], one.page[2])
            if page is None or one.page is None or page.epoch != one.page[0]:
                # Too far behind, or the changes since the snapshot began are not kept any more: it is begun (again).
                one.head, one.page = table.head, (table.head.epoch, table.head.version, "")
                page = table.page(table.head.version, "")
            if page is None:
                continue
            after = page.entries[-1].key if page.entries else page.after
            one.page = None if page.last else (page.epoch, page.first, after)
            return page
        return None


def _size(word: Changes | Page) -> int:
    if isinstance(word, Page):
        return WORD_BYTES + size_of(word.entries)
    return WORD_BYTES + sum(WORD_BYTES + size_of(delta.entries) for delta in word.deltas)
