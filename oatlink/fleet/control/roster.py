"""Answers joins at a source, turns them into changes of the names, and passes on which processes are alive. No I/O.

This module decides what a message about processes means for names and seats, and what is sent for it. Which process may
have a name is decided in `members`, where a process sits in `seats`, and how a change is agreed in the log.

A process is answered when its name is agreed. If no majority answers, it is answered after `UNNAMED_SEAT_US` all the
same: a process that has a seat stops asking other sources, and its name can be agreed later. A source forwards reports
of live processes to the other sources once and unchanged.
"""

from collections.abc import Callable, Mapping
from functools import partial

from oatlink.fleet.control.bounds import MAX_WAIT_MS
from oatlink.fleet.control.members import BATCH_US, SWEEP_US, Members
from oatlink.fleet.control.offers import OnDone
from oatlink.fleet.control.peers import Peers
from oatlink.fleet.control.scopes import ALL, key_of, names_of, zone_of
from oatlink.fleet.control.seats import MAX_WAIT_US, SeatPlanner
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.effects import Effect, Note, Tell

UNNAMED_SEAT_US = 1_000_000  # a reader asks another source after 2 s
COUNT_INTERVAL_US = 60_000_000  # between two changes of the counts; the first count of a zone is offered at once
RETRY_US = 1_000_000  # after a change of names that failed for another reason than a lost race
MIN_WAIT_MS = 1_000

# gets scope, entries, the version that they are made for, done and now; `OnDone` gets the outcome
OfferOwn = Callable[[str, tuple[c.Entry, ...], int, OnDone, int], list[Effect]]


class Roster:
    """Joins and names at one source. `tables` are the source's, by scope; only entries and versions are read."""

    def __init__(
        self,
        place: c.Place,
        region: str,
        incarnation: int,
        peers: Peers,
        tables: Mapping[str, Table],
        offer: OfferOwn,
        seed: int,
        now_us: int,
    ) -> None:
        self.members = Members(seed)
        self._incarnation, self._peers, self._tables, self._offer = incarnation, peers, tables, offer
        self._seats = SeatPlanner(self.members.names, place.name, region, (place, *peers.others), seed, now_us)
        self._now_us, self._next_sweep_us = now_us, now_us + SWEEP_US
        self._next_count_us, self._is_counting = now_us, False

    @property
    def due_us(self) -> int:
        """When `tick` has to be called next."""
        return min(self.members.due_us, self._next_sweep_us)

    def rows(self) -> list[tuple[str, str]]:
        """Return the state for operators: name and text."""
        zones = self.members.names.zones
        return [
            ("names", f"{len(self.members.names)}, {self.members.pending_count} waiting"),
            (
                "silent",
                " ".join(f"{scope[6:]}={len(zone.silent)}" for scope, zone in zones.items() if zone.silent) or "0",
            ),
            ("relays", " ".join(f"{scope[6:]}={len(zone.relays)}" for scope, zone in zones.items()) or "none"),
        ]

    # ---- Messages ----

    def handle_join(self, sender: str, join: c.Join, now_us: int) -> list[Effect]:
        """Handle a process that asks for a seat."""
        self._seats.upstream_lost(sender, join.lost, now_us)
        outcome = self.members.request_name(sender, join, self._peers.hears_majority(now_us), now_us)
        if outcome == "waits":
            return []
        if outcome == "here":
            return [*self.handle_report(sender, join.incarnation, (), 0, now_us), *self._seat(sender, join, now_us)]
        return self._refuse(sender, join.incarnation, outcome, now_us)

    def handle_leave(self, sender: str, incarnation: int, now_us: int) -> None:
        """Handle an orderly end."""
        self.members.leave(sender, incarnation, now_us)

    def handle_report(
        self, sender: str, incarnation: int, alive: tuple[tuple[str, int], ...], children: int, now_us: int
    ) -> list[Effect]:
        """Note that a child and the processes below it are alive, and pass that on to all other sources."""
        self.mark_alive(((sender, incarnation), *alive), children, now_us)
        report = c.Report(self._incarnation, (), children, ((sender, incarnation), *alive))
        return [Tell(peer.name, report) for peer in self._peers.others]

    def mark_alive(self, alive: tuple[tuple[str, int], ...], children: int, now_us: int) -> None:
        """Note that these processes are alive, in one step each. `children`: number of children of the first one."""
        for name, incarnation in alive:
            self.members.names.mark_heard(name, incarnation, now_us)
        if alive:
            self._seats.set_children(alive[0][0], children)

    # ---- Agreed versions ----

    def apply(self, scope: str, entries: tuple[c.Entry, ...], is_whole: bool, now_us: int) -> list[Effect]:
        """Apply a version of a scope of names, and answer the processes that waited for it."""
        self._now_us = now_us
        if is_whole:
            self.members.names.replace(scope, {entry.key: entry.value for entry in entries}, now_us)
        else:
            self.members.names.apply(scope, entries, now_us)
        self._seats.add_zone(scope)
        for entry in entries:
            if not entry.value:
                self._seats.forget(entry.key)
        effects: list[Effect] = []
        for name, pending in self.members.take_named(scope, now_us):
            effects += [] if pending.answered else self._seat(name, pending.join, now_us)
        return effects

    # ---- Timers ----

    def tick(self, is_fresh: bool, now_us: int) -> list[Effect]:
        """Do what is due. `is_fresh`: a majority has answered lately."""
        self._now_us = now_us
        effects: list[Effect] = []
        for scope in self.members.due_scopes(now_us):
            effects += self._offer_change(scope, now_us)
        if now_us >= self._next_sweep_us:
            self._next_sweep_us = now_us + SWEEP_US
            for name, pending in self.members.take_overdue(now_us - UNNAMED_SEAT_US, is_fresh, now_us):
                effects += self._seat(name, pending.join, now_us, may_relay=pending.serves > 0)
            if self._peers.is_leader(now_us):
                self.members.sweep(self._peers.hears_majority(now_us), now_us)
                effects += self._offer_counts(now_us)
        return effects

    def _offer_change(self, scope: str, now_us: int) -> list[Effect]:
        base = self._tables[scope].head.version
        entries, refused = self.members.next_change(scope, self._peers.hears_majority(now_us), now_us)
        effects: list[Effect] = []
        for name, (incarnation, reason) in refused.items():
            effects += self._refuse(name, incarnation, reason, now_us)

        def done(version: int, reason: str) -> list[Effect]:
            # After a lost race the change is offered again at once: one source succeeds in each round.
            lost_race = not version and self._tables[scope].head.version != base
            self.members.change_finished(scope, self._now_us + (BATCH_US if version else 0 if lost_race else RETRY_US))
            return []

        return effects + (self._offer(scope, entries, base, done, now_us) if entries else [])

    def _offer_counts(self, now_us: int) -> list[Effect]:
        """Offer the number of processes in each region and zone, as entries of `all`."""
        if self._is_counting:
            return []
        counts: dict[str, int] = {}
        for scope, zone in self.members.names.zones.items():
            region, _ = zone_of(scope)
            counts[key_of(scope.replace("names/", "zone/", 1))] = len(zone)
            region_key = key_of(f"region/{region}")
            counts[region_key] = counts.get(region_key, 0) + len(zone)
        current = self._tables[ALL].entries
        is_due = now_us >= self._next_count_us
        entries = [c.Entry(key, b"%d" % count) for key, count in counts.items() if key not in current or is_due]
        entries = [entry for entry in entries if current.get(entry.key) != entry.value]
        if not entries:
            return []
        self._is_counting, self._next_count_us = True, now_us + COUNT_INTERVAL_US

        def done(version: int, reason: str) -> list[Effect]:
            self._is_counting = False
            return []

        return self._offer(ALL, tuple(entries), -1, done, now_us)

    # ---- Answers ----

    def _seat(self, name: str, join: c.Join, now_us: int, may_relay: bool = False) -> list[Effect]:
        wait_us = self._seats.reserve_turn(now_us)
        if wait_us is None:
            return self._refuse(name, join.incarnation, "full", now_us)
        scope = names_of(join.region, join.zone)
        is_heard = partial(self._peers.is_heard, now_us=now_us)
        upstream, spare = self._seats.choose(name, scope, is_heard, now_us, may_relay)
        # A relay takes a turn, but may connect at once: others wait for its data.
        wait_ms = 0 if self._seats.is_relay(name) else wait_us // 1_000
        return [Tell(name, c.Seat(join.incarnation, upstream, spare, wait_ms))]

    def _refuse(self, name: str, incarnation: int, reason: str, now_us: int) -> list[Effect]:
        wait_ms = MIN_WAIT_MS
        if reason == "twice":
            wait_ms += self.members.name_wait_us(name, now_us) // 1_000
        elif reason == "full":
            wait_ms += MAX_WAIT_US // 1_000
        refusal = c.Refused(incarnation, reason, min(MAX_WAIT_MS, wait_ms))
        effects: list[Effect] = [Tell(name, refusal)]
        return [*effects, Note("control_twice", f"{name} {incarnation}")] if reason == "twice" else effects
