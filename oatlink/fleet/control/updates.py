"""Applies the upstream's messages on versions to the process's own tables. No I/O.

This module decides whose messages count, what comes into force by them, what is missing and requested again, and when
the age in a beat becomes the age of this process. Which process is the upstream is decided in `upstream`, and which
version may follow another in `table`.

The age in a beat becomes this process's age only if it has all versions that the beat names of its own scopes: it is
the age of what is in force here. A relay's beats name no scope to which its age does not apply (`covered`).
"""

from collections.abc import Callable, Mapping

from oatlink.fleet.control.age import Age
from oatlink.fleet.control.bounds import are_heads, is_changes, is_page
from oatlink.fleet.control.drops import Drops
from oatlink.fleet.control.table import Table
from oatlink.fleet.control.upstream import STALE_US, Upstream
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.effects import Effect

MAX_MISFIT_PAGES = 4  # after so many pages in a row that do not fit, the snapshot under way is discarded


class UpdateReceiver:
    """Applies updates. `own`: the scopes whose versions are reported as in force.

    `table_changed(table, now_us)` is called after a message has changed a table.
    """

    def __init__(
        self,
        tables: Mapping[str, Table],
        own: tuple[str, ...],
        age: Age,
        upstream: Upstream,
        drops: Drops,
        table_changed: Callable[[Table, int], None],
    ) -> None:
        self._tables, self._own, self._age = tables, own, age
        self._upstream, self._drops, self._table_changed = upstream, drops, table_changed
        # The scopes to which the age applies. A scope that was just taken for a child may be less fresh than that.
        self.covered: dict[str, None] = {}
        self._misfits: dict[str, int] = {}
        # Progress at the last beat that named more than is here, or not all scopes that are taken.
        self._lacking_before: tuple[object, ...] = ()
        self._stalled_beats = 0  # beats without progress since then

    def covers(self, scope: str) -> bool:
        """Return whether the age of this process applies to this scope."""
        return scope in self.covered

    def receive(self, sender: str, message: c.Changes | c.Page | c.Beat, now_us: int) -> list[Effect]:
        """Handle a message on versions; return what is in force by it."""
        if sender != self._upstream.peer:
            return self._drops.add("message not from the upstream", sender, now_us)
        if isinstance(message, c.Beat):
            return self._receive_beat(sender, message, now_us)
        table = self._tables.get(message.scope)
        if table is None:
            return self._drops.add("scope not taken", sender, now_us)
        if isinstance(message, c.Page):
            return self._receive_page(sender, table, message, now_us)
        return self._receive_changes(sender, table, message, now_us)

    def _receive_changes(self, sender: str, table: Table, message: c.Changes, now_us: int) -> list[Effect]:
        if not is_changes(message):
            return self._drops.add("impossible changes", sender, now_us)
        effects: list[Effect] = []
        has_changed = False
        for delta in message.deltas:
            head_before = table.head
            if table.apply(delta):
                if table.head != head_before:
                    has_changed = True
                    effects += self._in_force(table, delta.entries, False)
            elif (delta.epoch, delta.version) > (head_before.epoch, head_before.version):
                self._upstream.request_resubscribe(now_us)
                effects += self._drops.add("changes behind a gap", sender, now_us)
            else:
                effects += self._drops.add("changes that go back", sender, now_us)
        if has_changed:
            self._table_changed(table, now_us)
        return effects

    def _receive_page(self, sender: str, table: Table, message: c.Page, now_us: int) -> list[Effect]:
        if not is_page(message):
            return self._drops.add("impossible page", sender, now_us)
        dropped_before = table.dropped
        if table.add_page(message):
            self._table_changed(table, now_us)
            entries = tuple(c.Entry(key, value) for key, value in table.entries.items())
            return self._in_force(table, entries, True)
        scope = table.head.scope
        if table.dropped == dropped_before:
            self._misfits.pop(scope, None)
            return []
        self._misfits[scope] = self._misfits.get(scope, 0) + 1
        if self._misfits[scope] >= MAX_MISFIT_PAGES:
            del self._misfits[scope]
            table.discard_snapshot()
        if (message.epoch, message.now) > (table.head.epoch, table.head.version):
            self._upstream.request_resubscribe(now_us)
        return self._drops.add("page that does not fit", sender, now_us)

    def _receive_beat(self, sender: str, message: c.Beat, now_us: int) -> list[Effect]:
        age_us = (
            self._age.age_from_beat(message.mark, message.since_ms, message.age_ms, now_us)
            if are_heads(message.heads)
            else None
        )
        if age_us is None:  # sent before this process began, or replayed: it does not show that the upstream is alive
            return self._drops.add("beat that answers no message of this process", sender, now_us)
        self._upstream.beat_received(now_us, age_us > STALE_US)
        reported_heads = {head.scope: head for head in message.heads}
        complete = {
            scope: None
            for scope, table in self._tables.items()
            if scope in reported_heads and reported_heads[scope] <= table.head
        }
        # A scope that the beat does not name is lacking too: the subscription for it may be lost.
        lacking = [table for scope, table in self._tables.items() if scope not in complete]
        if all(scope in complete for scope in self._own) and self._age.update(age_us, now_us):
            self.covered = complete
        progress: tuple[object, ...] = tuple((table.head, table.snapshot_progress) for table in lacking)
        self._stalled_beats = self._stalled_beats + 1 if progress and progress == self._lacking_before else 0
        self._lacking_before = progress
        # Subscribes again ever more rarely: this process may only be waiting for its turn.
        if self._stalled_beats in (2, 4, 8) or (self._stalled_beats and self._stalled_beats % 16 == 0):
            self._upstream.request_resubscribe(now_us)
        return []

    def _in_force(self, table: Table, entries: tuple[c.Entry, ...], is_whole: bool) -> list[Effect]:
        return [c.InForce(table.head, entries, is_whole)] if table.head.scope in self._own else []
