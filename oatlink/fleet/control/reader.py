"""A reader of the stream of control; with `relays` over 0 it is also a relay. Puts the parts together. No I/O.

This module decides which part gets a message, what follows in one part from another, and what the shell gets. The shell
calls `tick` at `due_us`, passes on messages, and reports failed links; each call returns effects: `Tell`, `Known`
before a new peer is sent anything, `InForce` and `Note`.

Only the upstream's messages on versions are applied, and only forward (`table`). A relay serves its children from its
own tables. A scope that only a child takes is *borrowed*: it is handled like an own scope, but not reported as in force
here.
"""

from collections.abc import Mapping
from random import Random
from types import MappingProxyType

from oatlink.fleet.control.age import Age
from oatlink.fleet.control.downstream import REFUSED_WAIT_MS, Downstream
from oatlink.fleet.control.drops import Drops
from oatlink.fleet.control.sums import Sums
from oatlink.fleet.control.table import Table
from oatlink.fleet.control.updates import UpdateReceiver
from oatlink.fleet.control.upstream import Upstream
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.base import NEVER_US, Message
from oatlink.fleet.messages.effects import Effect, Tell


class Reader:
    """One process. `place`: its name and address; `relays`: how many others it may serve.

    Times are microseconds of its own monotonic clock. Raises `ValueError` if it would take more than `MOST_SCOPES`.
    """

    def __init__(
        self,
        place: c.Place,
        region: str,
        zone: str,
        groups: tuple[str, ...],
        incarnation: int,
        sources: tuple[c.Place, ...],
        relays: int,
        drift: float,
        seed: int,
        now_us: int,
    ) -> None:
        own = dict.fromkeys(
            ("all", f"region/{region}", f"zone/{region}/{zone}", *(f"group/{group}" for group in groups))
        )
        if len(own) > c.MAX_SCOPES_PER_READER:
            raise ValueError(f"{len(own)} scopes, {c.MAX_SCOPES_PER_READER} at most")
        self._place, self._incarnation, self._own = place, incarnation, tuple(own)
        self._size_key = f"scope/zone/{region}/{zone}"  # in `all`: the number of processes in the zone, in digits
        self._tables = {scope: Table(scope) for scope in own}
        self._drops = Drops()
        self._age = Age(drift, Random(f"mark/{seed}/{place.name}/{incarnation}").randrange(1 << 40))
        join = c.Join(incarnation, region, zone, place.address, relays)
        self._upstream = Upstream(join, place.name, sources, self._subscription, seed, now_us)
        self._sums = Sums(place.name, self._tables, self._own, seed, now_us)
        self._updates = UpdateReceiver(
            self._tables, self._own, self._age, self._upstream, self._drops, self._table_changed
        )
        callbacks = self._age.age_us, self._add_scopes, self._updates.covers
        self._downstream = Downstream(self._tables, self._sums, self._drops, relays, *callbacks, seed, now_us)
        self._has_new_scopes = self._is_stopped = False

    # ---- State ----

    @property
    def due_us(self) -> int:
        """When `tick` has to be called next."""
        if self._is_stopped:
            return NEVER_US
        due = min(self._upstream.due_us, self._downstream.due_us)
        return min(due, self._sums.due_us) if self._upstream.peer else due

    def head(self, scope: str) -> c.Head:
        """Return the version in force here."""
        return self._tables[scope].head if scope in self._tables else c.Head(scope)

    def entries(self, scope: str) -> Mapping[str, bytes]:
        """Return the entries in force, as a view that changes with them."""
        return MappingProxyType(self._tables[scope].entries if scope in self._tables else {})

    def age_us(self, now_us: int) -> int:
        """Return the greatest possible age of the data; `NEVER_US` if no data of a source ever arrived."""
        return self._age.age_us(now_us)

    @property
    def upstream(self) -> str:
        """The upstream's name, empty without one."""
        return self._upstream.peer

    @property
    def children(self) -> int:
        """How many children this process has."""
        return len(self._downstream)

    def lag_below(self, scope: str) -> c.Lag:
        """Return how far this process and all below it are behind in one of its scopes."""
        return self._sums.lag(scope)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """Return the state for operators: name and text."""
        age_us = self._age.age_us(now_us)
        age_text = "never heard" if age_us >= NEVER_US else f"{age_us // 1_000} ms old"
        spare = self._upstream.spare
        links = f"upstream {self._upstream.peer or 'none'}, spare {spare.name if spare else 'none'}"
        heads = " ".join(
            f"{table.head.scope}={table.head.epoch}/{table.head.version}" for table in self._tables.values()
        )
        state = (
            f"{'behind, ' if self._age.is_behind(now_us) else ''}{age_text}, {links}, children {len(self._downstream)}"
        )
        return [("control", f"{state}, {heads}, dropped {self._drops.text()}")]

    # ---- Events ----

    def tick(self, now_us: int) -> list[Effect]:
        """Do what is due."""
        return [] if self._is_stopped else self._finish([], now_us)

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Handle a message of another process, whose name the link has authenticated."""
        return [] if self._is_stopped else self._finish(self._dispatch(sender, message, now_us), now_us)

    def link_failed(self, peer: str, now_us: int) -> list[Effect]:
        """Handle a failed link to a peer."""
        if self._is_stopped:
            return []
        return self._finish(
            self._upstream.peer_lost(peer, "is out of reach", now_us) + self._downstream.remove(peer), now_us
        )

    def leave(self, now_us: int) -> list[Effect]:
        """Notify upstream and children that the process stops in an orderly way; it does nothing after that."""
        peers = [self._upstream.peer] if self._upstream.peer else []
        self._is_stopped = True
        return [Tell(peer, c.Leave(self._incarnation)) for peer in [*peers, *self._downstream.names()]]

    # ---- Messages ----

    def _dispatch(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        match message:
            case c.Changes() | c.Page() | c.Beat():
                return self._updates.receive(sender, message, now_us)
            case c.Subscribe():
                if sender == self._upstream.peer:  # prevents a cycle of two relays without a source
                    return [Tell(sender, c.Refused(message.incarnation, "bad", REFUSED_WAIT_MS))]
                effects = self._downstream.subscribe(sender, message, now_us)
                if self._has_new_scopes:
                    self._has_new_scopes = False
                    self._upstream.request_resubscribe(now_us)
                return effects
            case c.Report():
                return self._downstream.report(sender, message, now_us)
            case c.Leave():
                removed = self._downstream.remove(sender, message.incarnation)
                return removed + self._upstream.peer_lost(sender, "leaves", now_us)
            case c.Seat():
                if self._upstream.take_seat(sender, message, now_us):
                    return []
            case c.Refused():
                if message.reason == "unknown" and sender == self._upstream.peer:
                    dropped_scopes = self._drop_unknown_scopes(now_us)
                    if dropped_scopes is not None:
                        return dropped_scopes
                refusal = self._upstream.handle_refusal(sender, message, now_us)
                if refusal is not None:
                    return refusal
        return self._drops.add(f"{type(message).__name__} not asked for", sender, now_us)

    # ---- Helpers ----

    def _finish(self, effects: list[Effect], now_us: int) -> list[Effect]:
        """Add what is due by now, and drop each `forget` of a peer that another part uses: a child may be a spare."""
        effects += self._upstream.tick(now_us) + self._downstream.tick(now_us)
        if self._upstream.peer and now_us >= self._sums.due_us:
            report = self._sums.report(self._incarnation, self._age.new_mark(now_us), now_us)
            effects.append(Tell(self._upstream.peer, report))
        return [
            effect
            for effect in effects
            if not (isinstance(effect, c.Known) and effect.forget and self._is_used(effect.place.name))
        ]

    def _is_used(self, peer: str) -> bool:
        return peer in self._downstream or self._upstream.uses(peer)

    def _table_changed(self, table: Table, now_us: int) -> None:
        self._downstream.scope_changed(table.head.scope, now_us)
        self._sums.schedule_report(now_us)
        if table.head.scope == "all":
            size = table.entries.get(self._size_key, b"")
            if len(size) < 8 and size.isdigit():
                self._upstream.set_zone_readers(int(size))

    def _subscription(self, now_us: int) -> c.Subscribe:
        """Return the message to a new upstream, or to the same one after a gap."""
        heads = tuple(table.head for table in self._tables.values())
        under_way = ((scope, table.snapshot_progress) for scope, table in self._tables.items())
        resume = tuple((scope, *progress) for scope, progress in under_way if progress is not None)
        return c.Subscribe(self._incarnation, heads, resume, self._age.new_mark(now_us), self._place.address)

    def _add_scopes(self, scopes: tuple[str, ...]) -> bool:
        """Receive the scopes of a child too, if the limit on scopes allows it.

        Borrowed scopes that no child takes any more are dropped to make room.
        """
        new = [scope for scope in scopes if scope not in self._tables]
        kept = dict.fromkeys((*self._own, *scopes))
        unused = [scope for scope in self._tables if scope not in kept and not self._downstream.feed.has_takers(scope)]
        excess = len(self._tables) + len(new) - c.MAX_SCOPES_PER_READER
        if excess > len(unused) or any(scope.startswith("names/") for scope in new):  # names are for sources only
            return False
        for scope in unused[: max(0, excess)]:
            del self._tables[scope]
        for scope in new:
            self._tables[scope] = Table(scope)
            self._updates.covered.pop(scope, None)
        self._has_new_scopes = self._has_new_scopes or bool(new)
        return True

    def _drop_unknown_scopes(self, now_us: int) -> list[Effect] | None:
        """Drop borrowed scopes that never had a version, and their children; None if there are none.

        Called when the upstream does not know a scope. Prevents a child that asks for a group that does not exist from
        costing its relay the upstream.
        """
        unknown = [scope for scope, table in self._tables.items() if scope not in self._own and not table.head.version]
        effects: list[Effect] = []
        for scope in unknown:
            for child in self._downstream.feed.takers(scope):
                effects += self._downstream.remove(child)
            del self._tables[scope]
        if not unknown:
            return None
        self._upstream.request_resubscribe(now_us)
        return effects
