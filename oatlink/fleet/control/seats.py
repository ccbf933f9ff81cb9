"""Who relays in a zone, whom a process hears, and when it may come. No I/O.

What may live here: the choice of relays, upstream and spare, and the pace. Who has a name lives in `members`.

- **Depth 2, no circle.** Whether a process relays is decided once an incarnation, with its name, and agreed with it: as
  few as serve `ROOM` times the zone, and two at least; of those that come at once the first by rendezvous hash of seed
  and name. A relay hears sources alone, everybody else a relay or a source, and nobody himself.
- **Upstream and spare.** Of the zone's relays that are less than half full, of its other ones with room, of its
  region's, of the sources: the two first by rendezvous hash of seed, process and relay, the less loaded of them as
  upstream. Load is what the relay last reported and what was given to it since. With half of each free, the children
  of one that is lost find room at their spares, be it at the only other one.
- **Lost.** The upstream that a process says it has lost is not given to it for `LOST_US`; one that `WITNESSES` have
  lost is given to nobody for as long.
- **Pace.** `A_SECOND` seats a second; each says how long to wait for its turn, so a source is asked once. Above
  `MOST_WAIT_US` it is refused, and told to ask again. At one source: 190 of a zone sit within 1.9 s, 720 of a region
  within 7.2 s; 3,600 over six sources within 6 s, 600 in the worst second over all of them.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from hashlib import blake2b

import msgspec

from oatlink.fleet.control.names import Names
from oatlink.fleet.control.scopes import zone_of
from oatlink.fleet.messages.control import Place

A_SECOND = 100
MOST_WAIT_US = 40_000_000  # 3,600 at one source alone take 36 s
LOST_US = 30_000_000
WITNESSES = 2
MOST_LOST = 4_096
ROOM = 2  # what relays can serve, in sizes of their zone


def rank(seed: int, asker: str, name: str) -> int:
    """Rendezvous hash (Thaler and Ravishankar, 1998): nearly all choices stay when somebody comes or goes."""
    return int.from_bytes(blake2b(f"{seed}/{asker}/{name}".encode(errors="replace"), digest_size=8).digest(), "big")


def order(seed: int, asker: str, names: Iterable[str]) -> list[str]:
    """These names, the first choice first."""
    return sorted(names, key=lambda name: (rank(seed, asker, name), name))


def as_relay(serves: int, relays: Iterable[int], size: int) -> bool:
    """Whether one more relay, that could serve so many, is needed in a zone of `size` with these relays."""
    room = list(relays)
    return serves > 0 and (len(room) < 2 or sum(room) < ROOM * size)


class _Load(msgspec.Struct):
    """What a relay has below. `lost_by`: who has lost it, and when the first of them did."""

    children: int = 0
    lost_by: dict[str, int] = msgspec.field(default_factory=dict)
    shunned_us: int = 0


class Seats:
    """One source's. `sources` are all of them; `is_there` tells which can be given."""

    def __init__(
        self, names: Names, source: str, region: str, sources: tuple[Place, ...], seed: int, now_us: int
    ) -> None:
        self._names, self._source, self._region, self._seed = names, source, region, seed
        self._sources = {one.name: one for one in sources}
        self._loads: dict[str, _Load] = {}
        self._lost: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self._next_us = now_us
        self._zones: dict[str, list[str]] = {}  # by region; as many as there are zones

    # ---- What is heard ----

    def reports(self, relay: str, children: int) -> None:
        """How many a relay has below it now."""
        if self.is_relay(relay):
            self._loads.setdefault(relay, _Load()).children = max(0, children)

    def lost(self, asker: str, upstream: str, now_us: int) -> None:
        """A process has lost its upstream."""
        if not upstream or upstream == asker:
            return
        self._lost[asker] = upstream, now_us + LOST_US
        self._lost.move_to_end(asker)
        if len(self._lost) > MOST_LOST:
            self._lost.popitem(last=False)
        if self.is_relay(upstream):
            load = self._loads.setdefault(upstream, _Load())
            load.lost_by = {name: us for name, us in load.lost_by.items() if now_us - us < LOST_US}
            load.lost_by[asker] = now_us
            if len(load.lost_by) >= WITNESSES:
                load.shunned_us = now_us + LOST_US
                load.lost_by.clear()

    # ---- What is given ----

    def pace(self, now_us: int) -> int | None:
        """How many microseconds the next one has to wait; None: longer than anybody is told to."""
        turn_us = max(self._next_us, now_us)
        if turn_us - now_us > MOST_WAIT_US:
            return None
        self._next_us = turn_us + 1_000_000 // A_SECOND
        return turn_us - now_us

    def place(
        self, asker: str, scope: str, is_there: Callable[[str], bool], now_us: int, may_relay: bool = False
    ) -> tuple[Place, Place]:
        """Upstream and spare for a process of this zone. They differ, unless there is but one source and no relay.

        `may_relay`: it may be about to become a relay, and sits as one.
        """
        not_again, until_us = self._lost.get(asker, ("", 0))
        shunned = not_again if now_us < until_us else ""
        found: list[str] = []
        if not may_relay and not self.is_relay(asker):
            region, _ = zone_of(scope)
            for near in (scope, *self._near(scope, region)):
                found += self._relays(asker, near, shunned, now_us)[: 2 - len(found)]
                if len(found) == 2:
                    break
            found.sort(key=self._part)  # the less loaded first
        if len(found) < 2:
            found += self._choose_sources(asker, scope, shunned, is_there)[: 2 - len(found)]
        if found[0] in self._loads:
            self._loads[found[0]].children += 1
        return self._place_of(found[0]), self._place_of(found[-1])

    def _relays(self, asker: str, scope: str, shunned: str, now_us: int) -> list[str]:
        """Relays of a zone that may be given, the first choice first. Costs as much as the zone has relays."""
        zone = self._names.zones.get(scope)
        if zone is None:
            return []
        fit = []
        for name, serves in zone.relays.items():
            load = self._loads.setdefault(name, _Load())
            there = name not in (asker, shunned) and now_us >= load.shunned_us and self._names.is_alive(name, now_us)
            if there and load.children < serves:
                fit.append(name)
        ranked = order(self._seed, asker, fit)
        return sorted(ranked, key=lambda name: ROOM * self._loads[name].children >= zone.relays[name])

    def _choose_sources(self, asker: str, scope: str, shunned: str, is_there: Callable[[str], bool]) -> list[str]:
        """All sources, best first: there and not lost, then this one for its own region, then by hash."""
        region, _ = zone_of(scope)
        ranked = order(self._seed, asker, self._sources)
        return sorted(
            ranked,
            key=lambda one: (one == shunned, not is_there(one), not (one == self._source and region == self._region)),
        )

    def _near(self, scope: str, region: str) -> list[str]:
        """The other zones of a region; few, whatever the fleet's size."""
        return [one for one in self._zones.get(region, []) if one != scope]

    def zone_seen(self, scope: str) -> None:
        """A zone has names."""
        known = self._zones.setdefault(zone_of(scope)[0], [])
        if scope not in known:
            known.append(scope)

    def forget(self, name: str) -> None:
        """It has no name any more."""
        self._loads.pop(name, None)
        self._lost.pop(name, None)

    def is_relay(self, name: str) -> bool:
        """Whether this is a relay in service."""
        one = self._names.get(name)
        return one is not None and one.named.serves > 0

    def _part(self, name: str) -> float:
        one = self._names.get(name)
        serves = one.named.serves if one is not None else 1
        return self._loads[name].children / max(1, serves)

    def _place_of(self, name: str) -> Place:
        if name in self._sources:
            return self._sources[name]
        one = self._names.get(name)
        return Place(name, one.named.address if one is not None else "")
