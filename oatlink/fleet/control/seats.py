"""Chooses relays, upstreams and spares, and when each process may connect. No I/O.

This module chooses among processes that have a name; which processes have one is decided in `members`.

- **Depth 2, no cycle.** Whether a process is a relay is decided once per incarnation, together with its name, and
  agreed with it. There are as few relays as can serve `CAPACITY_FACTOR` times the zone, and at least two; among
  processes that join at once, the first by rendezvous hash of seed and name. The upstream of a relay is always a
  source, that of any other process a relay or a source, and never the process itself.
- **Upstream and spare.** Candidates are the zone's relays that are less than half full, its other relays with free
  places, those of its region, and the sources, in this order. The first two by rendezvous hash of seed, process and
  relay are taken, the less loaded one as upstream. The load of a relay is what it last reported plus the children
  assigned to it since. As half of each relay is free, the children of a relay that is lost find places at their spares,
  even if there is only one other relay.
- **Lost upstreams.** An upstream that a process reports as lost is not assigned to it again for `LOST_UPSTREAM_US`; one
  that `WITNESSES` processes have lost is assigned to nobody for as long.
- **Rate.** `SEATS_PER_S` seats are assigned per second; each states how long to wait, so a source is asked only once. A
  process that would wait longer than `MAX_WAIT_US` is refused and told to ask again. At one source, 190 processes of a
  zone are seated within 1.9 s and 720 of a region within 7.2 s; 3,600 over six sources within 6 s, with 600 in the
  worst second over all of them.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from hashlib import blake2b

import msgspec

from oatlink.fleet.control.names import Names
from oatlink.fleet.control.scopes import zone_of
from oatlink.fleet.messages.control import Place

SEATS_PER_S = 100
MAX_WAIT_US = 40_000_000  # 3,600 processes at one source alone take 36 s
LOST_UPSTREAM_US = 30_000_000
WITNESSES = 2
MAX_LOST = 4_096
CAPACITY_FACTOR = 2  # relays can serve this many times the size of their zone


def rank(seed: int, asker: str, name: str) -> int:
    """Rendezvous hash (Thaler and Ravishankar, 1998): nearly all choices stay when a process joins or leaves."""
    return int.from_bytes(blake2b(f"{seed}/{asker}/{name}".encode(errors="replace"), digest_size=8).digest(), "big")


def order(seed: int, asker: str, names: Iterable[str]) -> list[str]:
    """Return these names with the first choice first."""
    return sorted(names, key=lambda name: (rank(seed, asker, name), name))


def is_relay_needed(serves: int, relays: Iterable[int], size: int) -> bool:
    """Return whether a zone of `size` with these relays needs one more relay, which could serve so many."""
    capacities = list(relays)
    return serves > 0 and (len(capacities) < 2 or sum(capacities) < CAPACITY_FACTOR * size)


class _Load(msgspec.Struct):
    """The children of a relay. `lost_by`: the processes that have lost it, and when."""

    children: int = 0
    lost_by: dict[str, int] = msgspec.field(default_factory=dict)
    excluded_until_us: int = 0


class SeatPlanner:
    """Assigns seats at one source. `sources` are all of them."""

    def __init__(
        self, names: Names, source: str, region: str, sources: tuple[Place, ...], seed: int, now_us: int
    ) -> None:
        self._names, self._source, self._region, self._seed = names, source, region, seed
        self._sources = {one.name: one for one in sources}
        self._loads: dict[str, _Load] = {}
        self._lost: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self._next_turn_us = now_us
        self._zones: dict[str, list[str]] = {}  # by region

    # ---- Reports ----

    def set_children(self, relay: str, children: int) -> None:
        """Note how many children a relay has now."""
        if self.is_relay(relay):
            self._loads.setdefault(relay, _Load()).children = max(0, children)

    def upstream_lost(self, asker: str, upstream: str, now_us: int) -> None:
        """Note that a process has lost its upstream."""
        if not upstream or upstream == asker:
            return
        self._lost[asker] = upstream, now_us + LOST_UPSTREAM_US
        self._lost.move_to_end(asker)
        if len(self._lost) > MAX_LOST:
            self._lost.popitem(last=False)
        if self.is_relay(upstream):
            load = self._loads.setdefault(upstream, _Load())
            load.lost_by = {name: us for name, us in load.lost_by.items() if now_us - us < LOST_UPSTREAM_US}
            load.lost_by[asker] = now_us
            if len(load.lost_by) >= WITNESSES:
                load.excluded_until_us = now_us + LOST_UPSTREAM_US
                load.lost_by.clear()

    # ---- Assignments ----

    def reserve_turn(self, now_us: int) -> int | None:
        """Return how many microseconds the next process has to wait; None if that is longer than `MAX_WAIT_US`."""
        turn_us = max(self._next_turn_us, now_us)
        if turn_us - now_us > MAX_WAIT_US:
            return None
        self._next_turn_us = turn_us + 1_000_000 // SEATS_PER_S
        return turn_us - now_us

    def choose(
        self, asker: str, scope: str, is_heard: Callable[[str], bool], now_us: int, may_relay: bool = False
    ) -> tuple[Place, Place]:
        """Return upstream and spare for a process of this zone.

        They differ unless there is only one source and no relay.

        `may_relay`: the process may be about to become a relay and gets the places of one.
        """
        lost_upstream, until_us = self._lost.get(asker, ("", 0))
        excluded = lost_upstream if now_us < until_us else ""
        chosen: list[str] = []
        if not may_relay and not self.is_relay(asker):
            region, _ = zone_of(scope)
            for zone in (scope, *self._other_zones(scope, region)):
                chosen += self._relays(asker, zone, excluded, now_us)[: 2 - len(chosen)]
                if len(chosen) == 2:
                    break
            chosen.sort(key=self._load_ratio)  # the less loaded one first
        if len(chosen) < 2:
            chosen += self._choose_sources(asker, scope, excluded, is_heard)[: 2 - len(chosen)]
        if chosen[0] in self._loads:
            self._loads[chosen[0]].children += 1
        return self._place_of(chosen[0]), self._place_of(chosen[-1])

    def _relays(self, asker: str, scope: str, excluded: str, now_us: int) -> list[str]:
        """Return the relays of a zone that may be assigned, the first choice first.

        Costs one step per relay of the zone.
        """
        zone = self._names.zones.get(scope)
        if zone is None:
            return []
        candidates = []
        for name, serves in zone.relays.items():
            load = self._loads.setdefault(name, _Load())
            is_usable = (
                name not in (asker, excluded)
                and now_us >= load.excluded_until_us
                and self._names.is_alive(name, now_us)
            )
            if is_usable and load.children < serves:
                candidates.append(name)
        ranked = order(self._seed, asker, candidates)
        return sorted(ranked, key=lambda name: CAPACITY_FACTOR * self._loads[name].children >= zone.relays[name])

    def _choose_sources(self, asker: str, scope: str, excluded: str, is_heard: Callable[[str], bool]) -> list[str]:
        """Return all sources, best first: heard and not lost, then this one for its own region, then by hash."""
        region, _ = zone_of(scope)
        ranked = order(self._seed, asker, self._sources)
        return sorted(
            ranked,
            key=lambda source: (
                source == excluded,
                not is_heard(source),
                not (source == self._source and region == self._region),
            ),
        )

    def _other_zones(self, scope: str, region: str) -> list[str]:
        """Return the other zones of a region; they are few, whatever the size of the fleet."""
        return [zone for zone in self._zones.get(region, []) if zone != scope]

    def add_zone(self, scope: str) -> None:
        """Note that a zone has names."""
        zones = self._zones.setdefault(zone_of(scope)[0], [])
        if scope not in zones:
            zones.append(scope)

    def forget(self, name: str) -> None:
        """Drop a process that has no name any more."""
        self._loads.pop(name, None)
        self._lost.pop(name, None)

    def is_relay(self, name: str) -> bool:
        """Return whether this is a relay in service."""
        known = self._names.get(name)
        return known is not None and known.named.serves > 0

    def _load_ratio(self, name: str) -> float:
        known = self._names.get(name)
        serves = known.named.serves if known is not None else 1
        return self._loads[name].children / max(1, serves)

    def _place_of(self, name: str) -> Place:
        if name in self._sources:
            return self._sources[name]
        known = self._names.get(name)
        return Place(name, known.named.address if known is not None else "")
