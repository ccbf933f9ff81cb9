"""Who has which name, as the scopes `names/R/Z` say and as is heard. No I/O.

What may live here: the agreed names by zone, when each was last heard of, who of them is silent. Which change follows
lives in `members`. Only a source holds this. An event costs the same whatever the size: all looks are by name, and
names lie in the order in which they were heard.

A name in two zones (two sources agreed on one each at the same moment): the higher incarnation has it, in whatever
order the two are heard of; the other entry is `stale`, to be taken out.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import msgspec

from oatlink.fleet.messages.control import Entry

ALIVE_US = 12_000_000  # two reports, of one each 5 s, may be lost
GONE_US = 60_000_000  # not heard of for so long, by any source: silent


class Named(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The value of an entry. `serves`: how many others it relays to, 0 for one that is no relay."""

    incarnation: int
    address: str
    serves: int = 0


class Known(msgspec.Struct):
    """One process that has a name. `heard_us`: when it was last heard of, by any source."""

    scope: str
    named: Named
    heard_us: int


class Zone:
    """One zone's. Each name is in `speaking` or in `silent`, the one not heard of for the longest first."""

    def __init__(self) -> None:
        self.active: OrderedDict[str, None] = OrderedDict()
        self.silent: OrderedDict[str, None] = OrderedDict()
        self.relays: dict[str, int] = {}  # in service, and how many each serves
        self.stale: dict[str, int] = {}  # entries to be taken out, if they are still of this incarnation

    def __len__(self) -> int:
        return len(self.active) + len(self.silent)

    def drop(self, name: str) -> None:
        """It has no name here any more."""
        self.active.pop(name, None)
        self.silent.pop(name, None)
        self.relays.pop(name, None)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Named)


def entry_of(name: str, named: Named) -> Entry:
    """The entry that gives a process its name."""
    return Entry(name, _encoder.encode(named))


def named_of(value: bytes) -> Named | None:
    """What an entry says, None where it is none."""
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError:
        return None


class Names:
    """All zones together."""

    def __init__(self) -> None:
        self.zones: dict[str, Zone] = {}
        self._known: dict[str, Known] = {}

    def __len__(self) -> int:
        return len(self._known)

    def get(self, name: str) -> Known | None:
        """Who has this name."""
        return self._known.get(name)

    def zone(self, scope: str) -> Zone:
        """A zone, empty where nobody was there yet."""
        return self.zones.setdefault(scope, Zone())

    def is_alive(self, name: str, now_us: int) -> bool:
        """Whether who has this name was heard of lately. One that was just agreed counts as heard."""
        one = self._known.get(name)
        return one is not None and now_us - one.heard_us <= ALIVE_US

    # ---- What is agreed ----

    def apply(self, scope: str, entries: Iterable[Entry], now_us: int) -> None:
        """A version of a scope is in force."""
        zone = self.zone(scope)
        for entry in entries:
            named = named_of(entry.value) if entry.value else None
            if named is None:
                zone.stale.pop(entry.key, None)
                zone.drop(entry.key)
                one = self._known.get(entry.key)
                if one is not None and one.scope == scope:
                    del self._known[entry.key]
            else:
                self._put(scope, entry.key, named, now_us)

    def replace(self, scope: str, entries: Mapping[str, bytes], now_us: int) -> None:
        """A scope's whole state: a snapshot, or the first version of an epoch. Costs as much as the zone."""
        zone = self.zone(scope)
        out = [name for name in (*zone.active, *zone.silent, *zone.stale) if name not in entries]
        self.apply(scope, [Entry(name) for name in out], now_us)
        self.apply(scope, [Entry(name, value) for name, value in entries.items()], now_us)

    def _put(self, scope: str, name: str, named: Named, now_us: int) -> None:
        zone, one = self.zone(scope), self._known.get(name)
        if one is not None and one.scope != scope:
            if one.named.incarnation > named.incarnation:
                zone.stale[name] = named.incarnation
                return
            self.zone(one.scope).drop(name)
            self.zone(one.scope).stale[name] = one.named.incarnation
            one = None
        zone.stale.pop(name, None)
        if one is None or one.named.incarnation != named.incarnation:
            zone.drop(name)
            zone.active[name] = None
            self._known[name] = Known(scope, named, now_us)
        else:
            one.named = named
        if named.serves > 0:
            zone.relays[name] = named.serves
        else:
            zone.relays.pop(name, None)

    # ---- What is heard ----

    def mark_heard(self, name: str, incarnation: int, now_us: int) -> bool:
        """Somebody has heard of it. False for another incarnation than the agreed one, which counts for nothing."""
        one = self._known.get(name)
        if one is None or one.named.incarnation != incarnation:
            return False
        one.heard_us = now_us
        zone = self.zones[one.scope]
        zone.stale.pop(name, None)
        if zone.silent.pop(name, self) is None:
            zone.active[name] = None
        else:
            zone.active.move_to_end(name)
        return True

    def move_silent(self, zone: Zone, now_us: int) -> None:
        """Who has become silent since the last time; costs as much as there are of them."""
        while zone.active:
            name = next(iter(zone.active))
            if now_us - self._known[name].heard_us < GONE_US:
                return
            del zone.active[name]
            zone.silent[name] = None
