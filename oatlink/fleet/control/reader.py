"""A reader of the stream of control, and where `relays` is over 0 a relay too: its parts put together. No I/O.

What may live here: which part hears what, what follows in one part from another, and what is told to the shell. The
shell calls `tick` at `due_us`, hands over what comes, and says when a link has failed; each call returns effects:
`Tell`, `Known` before somebody new is spoken to, `InForce` and `Note`.

Only the upstream's word on versions is taken, and that only forward (`table`). What a relay gives its children is its
own tables; a scope that only a child takes is borrowed: taken as one's own is, but not told as in force here.
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
    """One process. `place`: its name and where it listens; `relays`: how many others it may serve.

    Times are microseconds of its own monotonic clock. Raises `ValueError` where it would take more than `MOST_SCOPES`.
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
        own = dict.fromkeys(("all", f"region/{region}", f"zone/{region}/{zone}", *(f"group/{one}" for one in groups)))
        if len(own) > c.MOST_SCOPES:
            raise ValueError(f"{len(own)} scopes, {c.MOST_SCOPES} at most")
        self._place, self._incarnation, self._own = place, incarnation, tuple(own)
        self._size_key = f"scope/zone/{region}/{zone}"  # in `all`: how many processes the zone has, in digits
        self._tables = {scope: Table(scope) for scope in own}
        self._drops = Drops()
        self._age = Age(drift, Random(f"mark/{seed}/{place.name}/{incarnation}").randrange(1 << 40))
        join = c.Join(incarnation, region, zone, place.address, relays)
        self._upstream = Upstream(join, place.name, sources, self._subscription, seed, now_us)
        self._sums = Sums(place.name, self._tables, self._own, seed, now_us)
        self._updates = UpdateReceiver(
            self._tables, self._own, self._age, self._upstream, self._drops, self._table_changed
        )
        given = self._age.age_us, self._add_scopes, self._updates.covers
        self._downstream = Downstream(self._tables, self._sums, self._drops, relays, *given, seed, now_us)
        self._has_new_scopes = self._is_stopped = False

    # ---- Questions ----

    @property
    def due_us(self) -> int:
        """When to call `tick` next."""
        if self._is_stopped:
            return NEVER_US
        due = min(self._upstream.due_us, self._downstream.due_us)
        return min(due, self._sums.due_us) if self._upstream.peer else due

    def head(self, scope: str) -> c.Head:
        """What is in force here."""
        return self._tables[scope].head if scope in self._tables else c.Head(scope)

    def entries(self, scope: str) -> Mapping[str, bytes]:
        """The entries in force; a view that moves with them."""
        return MappingProxyType(self._tables[scope].entries if scope in self._tables else {})

    def age_us(self, now_us: int) -> int:
        """How old what we know is at most; `NEVER_US` where no word of a source ever came."""
        return self._age.age_us(now_us)

    @property
    def upstream(self) -> str:
        """The name of whom it hears, empty without one."""
        return self._upstream.peer

    @property
    def children(self) -> int:
        """How many hear this one."""
        return len(self._downstream)

    def lag_below(self, scope: str) -> c.Lag:
        """The process itself and all below it, in one of its scopes."""
        return self._sums.lag(scope)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """For operators: name and text."""
        age_us = self._age.age_us(now_us)
        old = "never heard" if age_us >= NEVER_US else f"{age_us // 1_000} ms old"
        spare = self._upstream.spare
        links = f"upstream {self._upstream.peer or 'none'}, spare {spare.name if spare else 'none'}"
        heads = " ".join(f"{one.head.scope}={one.head.epoch}/{one.head.version}" for one in self._tables.values())
        state = f"{'behind, ' if self._age.is_behind(now_us) else ''}{old}, {links}, children {len(self._downstream)}"
        return [("control", f"{state}, {heads}, dropped {self._drops.text()}")]

    # ---- What happens ----

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        return [] if self._is_stopped else self._finish([], now_us)

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """A word of another process, whose name the link has proved."""
        return [] if self._is_stopped else self._finish(self._dispatch(sender, message, now_us), now_us)

    def link_failed(self, peer: str, now_us: int) -> list[Effect]:
        """A link to it failed."""
        if self._is_stopped:
            return []
        return self._finish(
            self._upstream.peer_lost(peer, "is out of reach", now_us) + self._downstream.remove(peer), now_us
        )

    def leave(self, now_us: int) -> list[Effect]:
        """The process is about to stop in an orderly way; it does nothing more."""
        peers = [self._upstream.peer] if self._upstream.peer else []
        self._is_stopped = True
        return [Tell(peer, c.Leave(self._incarnation)) for peer in [*peers, *self._downstream.names()]]

    # ---- Words ----

    def _dispatch(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        match message:
            case c.Changes() | c.Page() | c.Beat():
                return self._updates.receive(sender, message, now_us)
            case c.Subscribe():
                if sender == self._upstream.peer:  # threat: two that hear each other and no source
                    return [Tell(sender, c.Refused(message.incarnation, "bad", REFUSED_WAIT_MS))]
                effects = self._downstream.subscribe(sender, message, now_us)
                if self._has_new_scopes:
                    self._has_new_scopes = False
                    self._upstream.request_resubscribe(now_us)
                return effects
            case c.Report():
                return self._downstream.report(sender, message, now_us)
            case c.Leave():
                gone = self._downstream.remove(sender, message.incarnation)
                return gone + self._upstream.peer_lost(sender, "leaves", now_us)
            case c.Seat():
                if self._upstream.take_seat(sender, message, now_us):
                    return []
            case c.Refused():
                if message.reason == "unknown" and sender == self._upstream.peer:
                    given_back = self._drop_unknown_scopes(now_us)
                    if given_back is not None:
                        return given_back
                effects_or_none = self._upstream.handle_refusal(sender, message, now_us)
                if effects_or_none is not None:
                    return effects_or_none
        return self._drops.add(f"{type(message).__name__} not asked for", sender, now_us)

    # ---- Parts ----

    def _finish(self, effects: list[Effect], now_us: int) -> list[Effect]:
        """What is due by now; and nobody is forgotten who is spoken to in another part: a child may be a spare."""
        effects += self._upstream.tick(now_us) + self._downstream.tick(now_us)
        if self._upstream.peer and now_us >= self._sums.due_us:
            report = self._sums.report(self._incarnation, self._age.new_mark(now_us), now_us)
            effects.append(Tell(self._upstream.peer, report))
        return [
            one for one in effects if not (isinstance(one, c.Known) and one.forget and self._is_used(one.place.name))
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
        """The word to a new upstream, or to the same one after a gap."""
        heads = tuple(one.head for one in self._tables.values())
        under_way = ((scope, one.snapshot_progress) for scope, one in self._tables.items())
        resume = tuple((scope, *found) for scope, found in under_way if found is not None)
        return c.Subscribe(self._incarnation, heads, resume, self._age.new_mark(now_us), self._place.address)

    def _add_scopes(self, scopes: tuple[str, ...]) -> bool:
        """A child takes these: so do we, where there is room; borrowed ones that no child takes any more make room."""
        new = [one for one in scopes if one not in self._tables]
        keep = dict.fromkeys((*self._own, *scopes))
        unused = [one for one in self._tables if one not in keep and not self._downstream.feed.has_takers(one)]
        over = len(self._tables) + len(new) - c.MOST_SCOPES
        if over > len(unused) or any(one.startswith("names/") for one in new):  # names are for sources alone
            return False
        for one in unused[: max(0, over)]:
            del self._tables[one]
        for one in new:
            self._tables[one] = Table(one)
            self._updates.covered.pop(one, None)
        self._has_new_scopes = self._has_new_scopes or bool(new)
        return True

    def _drop_unknown_scopes(self, now_us: int) -> list[Effect] | None:
        """The upstream does not know a scope of ours: those borrowed that never had a version go, with their children.

        None where there is none. Threat: a child that asks for a group that is none takes the upstream from its relay.
        """
        over = [scope for scope, one in self._tables.items() if scope not in self._own and not one.head.version]
        effects: list[Effect] = []
        for scope in over:
            for child in self._downstream.feed.takers(scope):
                effects += self._downstream.remove(child)
            del self._tables[scope]
        if not over:
            return None
        self._upstream.request_resubscribe(now_us)
        return effects
