"""Derives changes of the names from processes that join, leave or fall silent. No I/O.

This module queues joins and departures until they become a change, and decides whether a process may have a name. The
log agrees on the change: it is made for one version, and when another source was faster it is made again from the new
state.

- Joins that come within `BATCH_US` become one change of at most `MAX_CHANGE_BYTES` bytes; each zone has one change
  under way.
- **Two processes with one name.** The process that has the name keeps it while it was heard of within `ALIVE_US`, by a
  report, its own join or a message of any other source; the second one is refused. After that a higher incarnation gets
  the name, if most sources are heard here: a source alone may be cut off from the source that hears the first process.
  A lower incarnation never gets a name. A higher incarnation with the address of the first one gets the name at once:
  two processes cannot listen at one address, so the first is gone. Otherwise each process that crashes and is restarted
  would be without the stream for `ALIVE_US`.
- **Removal.** A process that no source has heard of for `GONE_US` is removed, at most `MAX_REMOVALS` per second and
  zone, by one source. While more than one in `CUT_OFF_DIVISOR` of a zone (and more than `CUT_OFF_MIN_SILENT`) are
  silent, the zone counts as cut off, and none of it is removed before it was silent for `CUT_OFF_US`. While most
  sources are not heard here, nobody is removed. This prevents a region without links for an hour from being emptied and
  coming back as 720 joins.
"""

import msgspec

from oatlink.fleet.control.bounds import MAX_ADDRESS_BYTES, is_scope
from oatlink.fleet.control.names import ALIVE_US, Known, Named, Names, entry_of
from oatlink.fleet.control.scopes import names_of
from oatlink.fleet.control.seats import is_relay_needed, order
from oatlink.fleet.messages import NEVER_US
from oatlink.fleet.messages.control import MAX_CHANGE_BYTES, MAX_ENTRY_KEY_BYTES, Entry, Join

BATCH_US = 200_000
MAX_REMOVALS = 10  # per second and zone
SWEEP_US = 1_000_000
CUT_OFF_DIVISOR, CUT_OFF_MIN_SILENT = 4, 3  # more than a quarter of a zone, and more than three processes
CUT_OFF_US = 7_200_000_000  # twice the hour for which regions may lose each other
MAX_PENDING_JOINS = 4_096  # at one source: more than the whole fleet
PENDING_JOIN_US = 60_000_000  # a process that has no name by then asks again
MAX_SERVES = 4_096
MARGIN_BYTES = 256  # bytes of a change besides its entries


class PendingJoin(msgspec.Struct):
    """A process that wants a name.

    `answered`: it has its seat already; `serves`: the relay size that was last offered for it.
    """

    join: Join
    asked_us: int
    answered: bool = False
    serves: int = 0


class ZoneQueue(msgspec.Struct):
    """What waits in one zone. `under_way`: a change is offered."""

    joins: dict[str, PendingJoin]
    due_us: int = NEVER_US
    under_way: bool = False


class Members:
    """The processes of all zones at one source. `names` holds what is agreed and heard."""

    def __init__(self, seed: int) -> None:
        self.names = Names()
        self.due_us = NEVER_US
        self._seed = seed
        self._waiting: dict[str, ZoneQueue] = {}
        self._zone_of: dict[str, str] = {}  # the zone of each pending join

    @property
    def pending_count(self) -> int:
        """How many processes wait for a name."""
        return len(self._zone_of)

    # ---- Joins and departures ----

    def request_name(self, name: str, join: Join, hears_majority: bool, now_us: int) -> str:
        """Handle a join: `here` (it has its name), `waits` (it will get it), or the reason of the refusal."""
        scope = names_of(join.region, join.zone)
        if not is_scope(scope) or "/" in join.region + join.zone or not _is_sound(name, join):
            return "bad"
        refused = self._refusal(name, join, hears_majority, now_us)
        if refused:
            return refused
        if self.names.mark_heard(name, join.incarnation, now_us) and self._own_entry(name, join) is not None:
            return "here"
        queued_scope = self._zone_of.get(name)
        if queued_scope is None and len(self._zone_of) >= MAX_PENDING_JOINS:
            return "full"
        if queued_scope is not None:
            previous = self._waiting[queued_scope].joins[name]
            if previous.join.incarnation > join.incarnation:
                return "twice"
            self._drop(name)
        waiting = self._waiting.setdefault(scope, ZoneQueue({}))
        waiting.joins[name] = PendingJoin(join, now_us)
        self._zone_of[name] = scope
        self._schedule(waiting, now_us + BATCH_US)
        return "waits"

    def name_wait_us(self, name: str, now_us: int) -> int:
        """Return how long a second process with this name has to wait at least, if the first is not heard of again."""
        known = self.names.get(name)
        return 0 if known is None else max(0, known.heard_us + ALIVE_US - now_us)

    def leave(self, name: str, incarnation: int, now_us: int) -> None:
        """Handle an orderly end: the name is removed with the next change."""
        pending = self._waiting[self._zone_of[name]].joins[name] if name in self._zone_of else None
        if pending is not None and pending.join.incarnation == incarnation:
            self._drop(name)
        known = self.names.get(name)
        if known is not None and known.named.incarnation == incarnation:
            known.heard_us = min(known.heard_us, now_us - ALIVE_US - 1)  # the name is free at once
            self.names.zone(known.scope).stale[name] = incarnation
            self.schedule_change(known.scope, now_us)

    def sweep(self, hears_majority: bool, now_us: int) -> None:
        """Mark processes for removal that were silent too long; see the module.

        Call it each `SWEEP_US`, at one source.
        """
        for scope, zone in self.names.zones.items():
            self.names.move_silent(zone, now_us)
            is_cut_off = len(zone.silent) > CUT_OFF_MIN_SILENT and CUT_OFF_DIVISOR * len(zone.silent) > len(zone)
            for name in (
                [name for name, _ in zip(zone.silent, range(MAX_REMOVALS), strict=False)] if hears_majority else []
            ):
                known = self.names.get(name)
                if known is not None and (not is_cut_off or now_us - known.heard_us >= CUT_OFF_US):
                    zone.stale[name] = known.named.incarnation
            if zone.stale:
                self.schedule_change(scope, now_us)

    # ---- Changes of the names ----

    def schedule_change(self, scope: str, now_us: int) -> None:
        """Schedule a change of this scope."""
        self._schedule(self._waiting.setdefault(scope, ZoneQueue({})), now_us + BATCH_US)

    def due_scopes(self, now_us: int) -> list[str]:
        """Return the scopes whose change is due; `next_change` of each is to be offered."""
        if now_us < self.due_us:
            return []
        scopes = [scope for scope, queue in self._waiting.items() if now_us >= queue.due_us and not queue.under_way]
        for scope in scopes:
            self._waiting[scope].due_us = NEVER_US
        self._update_due()
        return scopes

    def next_change(
        self, scope: str, hears_majority: bool, now_us: int
    ) -> tuple[tuple[Entry, ...], dict[str, tuple[int, str]]]:
        """Return the change that follows from the state now (empty: nothing to offer), and who is refused by it."""
        zone, queue = self.names.zone(scope), self._waiting[scope]
        refused: dict[str, tuple[int, str]] = {}
        entries: dict[str, Entry] = {name: Entry(name) for name in list(zone.stale)[: MAX_CHANGE_BYTES // 256]}
        bytes_left = MAX_CHANGE_BYTES - MARGIN_BYTES - sum(len(name.encode()) + 8 for name in entries)
        relays = {name: serves for name, serves in zone.relays.items() if self.names.is_alive(name, now_us)}
        size = len(zone)
        for name in order(self._seed, "", queue.joins):
            pending = queue.joins[name]
            reason = self._refusal(name, pending.join, hears_majority, now_us)
            if reason:
                refused[name] = pending.join.incarnation, reason
            elif self._own_entry(name, pending.join) is None:
                size += 1
                relays.pop(name, None)
                # A process that was seated below a relay never becomes one, so that no two hear each other.
                may_serve = 0 if pending.answered else pending.join.relays
                serves = may_serve if is_relay_needed(may_serve, relays.values(), size) else 0
                entry = entry_of(name, Named(pending.join.incarnation, pending.join.address, serves))
                bytes_left -= len(entry.key.encode()) + len(entry.value) + 8
                if bytes_left < 0:
                    break
                entries[name], pending.serves = entry, serves
                if serves:
                    relays[name] = serves
        for name in refused:
            self._drop(name)
        queue.under_way = bool(entries)
        return tuple(entries.values()), refused

    def change_finished(self, scope: str, again_us: int) -> None:
        """Note the end of the change under way; if more waits, the next one is made from the state at `again_us`."""
        queue = self._waiting[scope]
        queue.under_way = False
        if queue.joins or self.names.zone(scope).stale:
            self._schedule(queue, again_us)

    def take_named(self, scope: str, now_us: int) -> list[tuple[str, PendingJoin]]:
        """Return who has its name now and waits no longer.

        Call it after each version of the scope; costs one step per waiter.
        """
        queue = self._waiting.get(scope)
        if queue is None:
            return []
        named = [
            (name, pending) for name, pending in queue.joins.items() if self._own_entry(name, pending.join) is not None
        ]
        for name, _ in named:
            self._drop(name)
        return named

    def take_overdue(self, before_us: int, is_fresh: bool, now_us: int) -> list[tuple[str, PendingJoin]]:
        """Return who waits since `before_us` without an answer, unless `is_fresh`.

        Drops who has waited for `PENDING_JOIN_US`.
        """
        overdue = []
        for scope in [scope for scope, queue in self._waiting.items() if queue.joins]:
            for name, pending in list(self._waiting[scope].joins.items()):
                if pending.asked_us <= before_us and not pending.answered and not is_fresh:
                    pending.answered = True
                    overdue.append((name, pending))
                if now_us - pending.asked_us >= PENDING_JOIN_US:
                    self._drop(name)
        return overdue

    # ---- Parts ----

    def _own_entry(self, name: str, join: Join) -> Known | None:
        """Return the agreed name if it belongs to this very process."""
        known = self.names.get(name)
        if known is None or known.scope != names_of(join.region, join.zone):
            return None
        is_same_process = (known.named.incarnation, known.named.address) == (join.incarnation, join.address)
        return known if is_same_process else None

    def _refusal(self, name: str, join: Join, hears_majority: bool, now_us: int) -> str:
        """Return why this process may not have this name now, or ''."""
        known = self.names.get(name)
        if known is None or self._own_entry(name, join) is not None:
            return ""
        is_free = not self.names.is_alive(name, now_us) and (hears_majority or self._has_left(name, known))
        is_free = is_free or join.address == known.named.address
        return "" if join.incarnation > known.named.incarnation and is_free else "twice"

    def _has_left(self, name: str, known: Known) -> bool:
        return self.names.zone(known.scope).stale.get(name) == known.named.incarnation

    def _drop(self, name: str) -> None:
        scope = self._zone_of.pop(name, None)
        if scope is not None:
            del self._waiting[scope].joins[name]

    def _schedule(self, queue: ZoneQueue, at_us: int) -> None:
        queue.due_us = min(queue.due_us, at_us)
        self._update_due()

    def _update_due(self) -> None:
        self.due_us = min((queue.due_us for queue in self._waiting.values() if not queue.under_way), default=NEVER_US)


def _is_sound(name: str, join: Join) -> bool:
    """Prevents names and addresses that do not fit an entry, and relays for more processes than there can be."""
    return (
        0 < len(name.encode("utf-8", "replace")) <= MAX_ENTRY_KEY_BYTES
        and name.isprintable()
        and 0 < len(join.address.encode("utf-8", "replace")) <= MAX_ADDRESS_BYTES
        and 0 <= join.relays <= MAX_SERVES
        and 0 <= join.incarnation < NEVER_US
    )
