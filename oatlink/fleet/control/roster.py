"""A source's people at the door: joins answered, names made changes, who is heard told on. No I/O.

What may live here: what a word about processes means for names and seats, and what is said for it. Who may have a name
is `members`', who sits where `seats`', how a change is agreed the log's.

A process is answered when its name is agreed; where no majority answers, after `UNNAMED_SEAT_US` all the same: the seat
saves work and the name can wait. What one source hears of processes it tells the others once, as it came.
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
COUNT_INTERVAL_US = 60_000_000  # between two changes of how many are there; one for a new zone is offered at once
RETRY_US = 1_000_000  # after a change of names that came to nothing without a race
MIN_WAIT_MS = 1_000

# (scope, entries, the version they are made for, done, now) -> what is to be done; `OnDone` is told how it ended
OfferOwn = Callable[[str, tuple[c.Entry, ...], int, OnDone, int], list[Effect]]


class Roster:
    """See the head of this file. `tables` are the source's, by scope; only the entries and versions are read."""

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
        self._now_us, self._sweep_us = now_us, now_us + SWEEP_US
        self._count_us, self._counting = now_us, False

    @property
    def due_us(self) -> int:
        """When to call `tick` next."""
        return min(self.members.due_us, self._sweep_us)

    def rows(self) -> list[tuple[str, str]]:
        """For operators."""
        zones = self.members.names.zones
        return [
            ("names", f"{len(self.members.names)}, {self.members.pending_count} waiting"),
            ("silent", " ".join(f"{scope[6:]}={len(one.silent)}" for scope, one in zones.items() if one.silent) or "0"),
            ("relays", " ".join(f"{scope[6:]}={len(one.relays)}" for scope, one in zones.items()) or "none"),
        ]

    # ---- What is said ----

    def handle_join(self, sender: str, join: c.Join, now_us: int) -> list[Effect]:
        """Somebody wants a place."""
        self._seats.upstream_lost(sender, join.lost, now_us)
        how = self.members.request_name(sender, join, self._peers.hears_majority(now_us), now_us)
        if how == "waits":
            return []
        if how == "here":
            return [*self.handle_report(sender, join.incarnation, (), 0, now_us), *self._seat(sender, join, now_us)]
        return self._refuse(sender, join.incarnation, how, now_us)

    def handle_leave(self, sender: str, incarnation: int, now_us: int) -> None:
        """An orderly end."""
        self.members.leave(sender, incarnation, now_us)

    def handle_report(
        self, sender: str, incarnation: int, alive: tuple[tuple[str, int], ...], children: int, now_us: int
    ) -> list[Effect]:
        """A reader of ours speaks, and tells of those below it: told to all other sources, too."""
        self.mark_alive(((sender, incarnation), *alive), children, now_us)
        word = c.Report(self._incarnation, (), children, ((sender, incarnation), *alive))
        return [Tell(one.name, word) for one in self._peers.others]

    def mark_alive(self, alive: tuple[tuple[str, int], ...], children: int, now_us: int) -> None:
        """These are alive; the first has so many below it. Costs as much as they are many."""
        for name, incarnation in alive:
            self.members.names.mark_heard(name, incarnation, now_us)
        if alive:
            self._seats.set_children(alive[0][0], children)

    # ---- What is agreed ----

    def apply(self, scope: str, entries: tuple[c.Entry, ...], whole: bool, now_us: int) -> list[Effect]:
        """A version of a scope of names is in force; who waited for it is answered."""
        self._now_us = now_us
        if whole:
            self.members.names.replace(scope, {one.key: one.value for one in entries}, now_us)
        else:
            self.members.names.apply(scope, entries, now_us)
        self._seats.add_zone(scope)
        for one in entries:
            if not one.value:
                self._seats.forget(one.key)
        effects: list[Effect] = []
        for name, pending in self.members.take_named(scope, now_us):
            effects += [] if pending.answered else self._seat(name, pending.join, now_us)
        return effects

    # ---- What is due ----

    def tick(self, fresh: bool, now_us: int) -> list[Effect]:
        """Time has passed. `fresh`: a majority has answered lately."""
        self._now_us = now_us
        effects: list[Effect] = []
        for scope in self.members.due_scopes(now_us):
            effects += self._offer_change(scope, now_us)
        if now_us >= self._sweep_us:
            self._sweep_us = now_us + SWEEP_US
            for name, pending in self.members.take_overdue(now_us - UNNAMED_SEAT_US, fresh, now_us):
                effects += self._seat(name, pending.join, now_us, may_relay=pending.serves > 0)
            if self._peers.is_leader(now_us):
                self.members.sweep(self._peers.hears_majority(now_us), now_us)
                effects += self._offer_counts(now_us)
        return effects

    def _offer_change(self, scope: str, now_us: int) -> list[Effect]:
        base = self._tables[scope].head.version
        entries, refused = self.members.next_change(scope, self._peers.hears_majority(now_us), now_us)
        effects: list[Effect] = []
        for name, (incarnation, why) in refused.items():
            effects += self._refuse(name, incarnation, why, now_us)

        def done(version: int, why: str) -> list[Effect]:
            # A lost race is run again at once: each round of it one source gets through.
            raced = not version and self._tables[scope].head.version != base
            self.members.change_finished(scope, self._now_us + (BATCH_US if version else 0 if raced else RETRY_US))
            return []

        return effects + (self._offer(scope, entries, base, done, now_us) if entries else [])

    def _offer_counts(self, now_us: int) -> list[Effect]:
        """How many are where, as entries of `all`."""
        if self._counting:
            return []
        found: dict[str, int] = {}
        for scope, zone in self.members.names.zones.items():
            region, _ = zone_of(scope)
            found[key_of(scope.replace("names/", "zone/", 1))] = len(zone)
            region_key = key_of(f"region/{region}")
            found[region_key] = found.get(region_key, 0) + len(zone)
        now = self._tables[ALL].entries
        late = now_us >= self._count_us
        entries = [c.Entry(key, b"%d" % many) for key, many in found.items() if key not in now or late]
        entries = [one for one in entries if now.get(one.key) != one.value]
        if not entries:
            return []
        self._counting, self._count_us = True, now_us + COUNT_INTERVAL_US

        def done(version: int, why: str) -> list[Effect]:
            self._counting = False
            return []

        return self._offer(ALL, tuple(entries), -1, done, now_us)

    # ---- Answers ----

    def _seat(self, name: str, join: c.Join, now_us: int, may_relay: bool = False) -> list[Effect]:
        wait_us = self._seats.reserve_turn(now_us)
        if wait_us is None:
            return self._refuse(name, join.incarnation, "full", now_us)
        scope = names_of(join.region, join.zone)
        there = partial(self._peers.is_heard, now_us=now_us)
        upstream, spare = self._seats.choose(name, scope, there, now_us, may_relay)
        # A relay takes its turn, but comes at once: others wait for what it has.
        wait_ms = 0 if self._seats.is_relay(name) else wait_us // 1_000
        return [Tell(name, c.Seat(join.incarnation, upstream, spare, wait_ms))]

    def _refuse(self, name: str, incarnation: int, why: str, now_us: int) -> list[Effect]:
        wait_ms = MIN_WAIT_MS
        if why == "twice":
            wait_ms += self.members.name_wait_us(name, now_us) // 1_000
        elif why == "full":
            wait_ms += MAX_WAIT_US // 1_000
        word = c.Refused(incarnation, why, min(MAX_WAIT_MS, wait_ms))
        effects: list[Effect] = [Tell(name, word)]
        return [*effects, Note("control_twice", f"{name} {incarnation}")] if why == "twice" else effects
