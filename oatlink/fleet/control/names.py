"""Tracks which process has which name, by the scopes `names/R/Z` and by the processes' signs of life. No I/O.

This module stores the agreed names by zone, when each was last heard of, and which are silent. Changes of names are
derived in `members`. Only sources use it. An event costs the same whatever the size of the fleet: lookups are by name,
and names are kept in the order in which they were heard.

If a name is in two zones, because two sources each agreed on one at the same moment, the higher incarnation has it, in
whatever order the two are learned; the other entry is `stale` and is to be removed.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import msgspec

from oatlink.fleet.messages.control import Entry

ALIVE_US = 12_000_000  # two reports may be lost; one is sent each 5 s
GONE_US = 60_000_000  # a process that no source has heard of for this time is silent


class Named(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The value of an entry. `serves`: how many others the process relays to, 0 for one that is no relay."""

    incarnation: int
    address: str
    serves: int = 0


class Known(msgspec.Struct):
    """One process that has a name. `heard_us`: when any source last heard of it."""

    scope: str
    named: Named
    heard_us: int


class Zone:
    """The names of one zone. Each is in `active` or in `silent`, the one not heard of for the longest time first."""

    def __init__(self) -> None:
        self.active: OrderedDict[str, None] = OrderedDict()
        self.silent: OrderedDict[str, None] = OrderedDict()
        self.relays: dict[str, int] = {}  # relays in service, and how many children each may serve
        self.stale: dict[str, int] = {}  # entries to be removed, if they still have this incarnation

    def __len__(self) -> int:
        return len(self.active) + len(self.silent)

    def drop(self, name: str) -> None:
        """Remove a process that has no name here any more."""
        self.active.pop(name, None)
        self.silent.pop(name, None)
        self.relays.pop(name, None)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Named)


def entry_of(name: str, named: Named) -> Entry:
    """Return the entry that gives a process its name."""
    return Entry(name, _encoder.encode(named))


def named_of(value: bytes) -> Named | None:
    """Return the value of an entry, None if it cannot be decoded."""
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError:
        return None


class Names:
    """The names of all zones."""

    def __init__(self) -> None:
        self.zones: dict[str, Zone] = {}
        self._known: dict[str, Known] = {}

    def __len__(self) -> int:
        return len(self._known)

    def get(self, name: str) -> Known | None:
        """Return the process that has this name."""
        return self._known.get(name)

    def zone(self, scope: str) -> Zone:
        """Return a zone; it is empty if nobody was in it yet."""
        return self.zones.setdefault(scope, Zone())

    def is_alive(self, name: str, now_us: int) -> bool:
        """Return whether the process with this name was heard of lately. One that was just agreed counts as heard."""
        known = self._known.get(name)
        return known is not None and now_us - known.heard_us <= ALIVE_US

    # ---- Agreed versions ----

    def apply(self, scope: str, entries: Iterable[Entry], now_us: int) -> None:
        """Apply a version of a scope."""
        zone = self.zone(scope)
        for entry in entries:
            named = named_of(entry.value) if entry.value else None
            if named is None:
                zone.stale.pop(entry.key, None)
                zone.drop(entry.key)
                known = self._known.get(entry.key)
                if known is not None and known.scope == scope:
                    del self._known[entry.key]
            else:
                self._put(scope, entry.key, named, now_us)

    def replace(self, scope: str, entries: Mapping[str, bytes], now_us: int) -> None:
        """Apply the whole state of a scope: a snapshot, or the first version of an epoch.

        Costs one step per name of the zone.
        """
        zone = self.zone(scope)
        removed = [name for name in (*zone.active, *zone.silent, *zone.stale) if name not in entries]
        self.apply(scope, [Entry(name) for name in removed], now_us)
        self.apply(scope, [Entry(name, value) for name, value in entries.items()], now_us)

    def _put(self, scope: str, name: str, named: Named, now_us: int) -> None:
        zone, known = self.zone(scope), self._known.get(name)
        if known is not None and known.scope != scope:
            if known.named.incarnation > named.incarnation:
                zone.stale[name] = named.incarnation
                return
            self.zone(known.scope).drop(name)
            self.zone(known.scope).stale[name] = known.named.incarnation
            known = None
        zone.stale.pop(name, None)
        if known is None or known.named.incarnation != named.incarnation:
            zone.drop(name)
            zone.active[name] = None
            self._known[name] = Known(scope, named, now_us)
        else:
            known.named = named
        if named.serves > 0:
            zone.relays[name] = named.serves
        else:
            zone.relays.pop(name, None)

    # ---- Signs of life ----

    def mark_heard(self, name: str, incarnation: int, now_us: int) -> bool:
        """Note that a process was heard of. Return False, without effect, if its incarnation is not the agreed one."""
        known = self._known.get(name)
        if known is None or known.named.incarnation != incarnation:
            return False
        known.heard_us = now_us
        zone = self.zones[known.scope]
        zone.stale.pop(name, None)
        if zone.silent.pop(name, self) is None:
            zone.active[name] = None
        else:
            zone.active.move_to_end(name)
        return True

    def move_silent(self, zone: Zone, now_us: int) -> None:
        """Move the names that have become silent since the last call; costs one step for each of them."""
        while zone.active:
            name = next(iter(zone.active))
            if now_us - self._known[name].heard_us < GONE_US:
                return
            del zone.active[name]
            zone.silent[name] = None
