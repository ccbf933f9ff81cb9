"""What an upstream says of versions, taken into one's own tables. No I/O.

What may live here: whose word counts, what is in force by it, what is missing and asked for again, and when the age
that a beat tells is ours. Who the upstream is is `upstream`'s, what a version may follow on is `table`'s.

The age of a beat becomes ours only where we have all versions that it tells of our own scopes: it is the age of what is
in force here. A relay's beats tell of no scope that its age does not speak of (`covered`).
"""

from collections.abc import Callable, Mapping

from oatlink.fleet.control.age import Age
from oatlink.fleet.control.bounds import are_heads, is_changes, is_page
from oatlink.fleet.control.drops import Drops
from oatlink.fleet.control.table import Table
from oatlink.fleet.control.upstream import STALE_US, Upstream
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.effects import Effect

MAX_MISFIT_PAGES = 4  # pages in a row that do not fit the snapshot under way: it is given up


class UpdateReceiver:
    """`own`: the scopes whose versions are told as in force; `moved(table, now_us)` is called once a word moved one."""

    def __init__(
        self,
        tables: Mapping[str, Table],
        own: tuple[str, ...],
        age: Age,
        upstream: Upstream,
        drops: Drops,
        moved: Callable[[Table, int], None],
    ) -> None:
        self._tables, self._own, self._age = tables, own, age
        self._upstream, self._drops, self._table_changed = upstream, drops, moved
        self.covered: dict[str, None] = {}  # the scopes that our age speaks of: a borrowed one may be of later
        self._misfits: dict[str, int] = {}
        self._lacking_before: tuple[
            object, ...
        ] = ()  # at the last beat that told of more than we have, or of less than we take
        self._stalled_beats = 0  # beats since anything of it came

    def covers(self, scope: str) -> bool:
        """Whether our age speaks of this scope."""
        return scope in self.covered

    def receive(self, sender: str, word: c.Changes | c.Page | c.Beat, now_us: int) -> list[Effect]:
        """A word on versions; what is in force by it."""
        if sender != self._upstream.peer:
            return self._drops.add("word of one that is not the upstream", sender, now_us)
        if isinstance(word, c.Beat):
            return self._receive_beat(sender, word, now_us)
        table = self._tables.get(word.scope)
        if table is None:
            return self._drops.add("scope not taken", sender, now_us)
        if isinstance(word, c.Page):
            return self._receive_page(sender, table, word, now_us)
        return self._receive_changes(sender, table, word, now_us)

    def _receive_changes(self, sender: str, table: Table, word: c.Changes, now_us: int) -> list[Effect]:
        if not is_changes(word):
            return self._drops.add("impossible changes", sender, now_us)
        effects: list[Effect] = []
        moved = False
        for delta in word.deltas:
            was = table.head
            if table.apply(delta):
                if table.head != was:
                    moved = True
                    effects += self._in_force(table, delta.entries, False)
            elif (delta.epoch, delta.version) > (was.epoch, was.version):
                self._upstream.request_resubscribe(now_us)
                effects += self._drops.add("changes behind a gap", sender, now_us)
            else:
                effects += self._drops.add("changes that go back", sender, now_us)
        if moved:
            self._table_changed(table, now_us)
        return effects

    def _receive_page(self, sender: str, table: Table, word: c.Page, now_us: int) -> list[Effect]:
        if not is_page(word):
            return self._drops.add("impossible page", sender, now_us)
        dropped = table.dropped
        if table.add_page(word):
            self._table_changed(table, now_us)
            whole = tuple(c.Entry(key, value) for key, value in table.entries.items())
            return self._in_force(table, whole, True)
        scope = table.head.scope
        if table.dropped == dropped:
            self._misfits.pop(scope, None)
            return []
        self._misfits[scope] = self._misfits.get(scope, 0) + 1
        if self._misfits[scope] >= MAX_MISFIT_PAGES:
            del self._misfits[scope]
            table.discard_snapshot()
        if (word.epoch, word.now) > (table.head.epoch, table.head.version):
            self._upstream.request_resubscribe(now_us)
        return self._drops.add("page that does not fit", sender, now_us)

    def _receive_beat(self, sender: str, word: c.Beat, now_us: int) -> list[Effect]:
        age_us = (
            self._age.age_from_beat(word.mark, word.since_ms, word.age_ms, now_us) if are_heads(word.heads) else None
        )
        if age_us is None:  # of before our time, or played again: it shows no life either
            return self._drops.add("beat that answers nothing of ours", sender, now_us)
        self._upstream.beat_received(now_us, age_us > STALE_US)
        told = {head.scope: head for head in word.heads}
        whole = {scope: None for scope, one in self._tables.items() if scope in told and told[scope] <= one.head}
        # What it does not tell of counts as lacking too: the subscription that asked for it may be lost.
        lacks = [one for scope, one in self._tables.items() if scope not in whole]
        if all(scope in whole for scope in self._own) and self._age.update(age_us, now_us):
            self.covered = whole
        seen: tuple[object, ...] = tuple((one.head, one.snapshot_progress) for one in lacks)
        self._stalled_beats = self._stalled_beats + 1 if seen and seen == self._lacking_before else 0
        self._lacking_before = seen
        if self._stalled_beats in (2, 4, 8) or (
            self._stalled_beats and self._stalled_beats % 16 == 0
        ):  # we may but wait for our turn
            self._upstream.request_resubscribe(now_us)
        return []

    def _in_force(self, table: Table, entries: tuple[c.Entry, ...], whole: bool) -> list[Effect]:
        return [c.InForce(table.head, entries, whole)] if table.head.scope in self._own else []
