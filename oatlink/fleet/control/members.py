"""Which change of names follows from who comes, leaves or falls silent. No I/O.

What may live here: what waits to become a change, and whether a name may be given. The change itself is the log's: it
is made for one version, and where another source was faster it is made anew from the state then.

- Joins of `GATHER_US` become one change, of `MAX_CHANGE_BYTES` bytes at most; a zone has one under way.
- **Two under one name.** The name stays with its process while that was heard of within `ALIVE_US`, by a report, its
  own join or any other source's word; the second is refused. After that a higher incarnation takes it, if most sources
  are heard here, for one alone may be cut off from whoever hears the first. A lower incarnation never takes a name.
  A higher one that listens where the first did takes it at once: no two processes listen at one address, so the first
  is gone. Else each process that falls and is started again would be without the stream for `ALIVE_US`.
- **Who is gone.** Not heard of by any source for `GONE_US`: taken out, `GOING` a second and zone at most, by one
  source. While over a part of `CUT_PART` of a zone (and more than `CUT_LEAST`) is silent, the zone is taken for cut
  off, and nobody of it goes until he was silent for `CUT_US`. While most sources are not heard here nobody goes at all.
  Threat: a region without links for an hour, that would be emptied and come back as 720 joins.
"""

import msgspec

from oatlink.fleet.control.bounds import MOST_ADDRESS, is_scope
from oatlink.fleet.control.names import ALIVE_US, Known, Named, Names, entry_of
from oatlink.fleet.control.scopes import names_of
from oatlink.fleet.control.seats import as_relay, order
from oatlink.fleet.messages import NEVER_US
from oatlink.fleet.messages.control import MAX_CHANGE_BYTES, MAX_ENTRY_KEY_BYTES, Entry, Join

GATHER_US = 200_000
GOING = 10  # names a second and zone
SWEEP_US = 1_000_000
CUT_PART, CUT_LEAST = 4, 3  # more than a quarter of a zone, and more than three
CUT_US = 7_200_000_000  # regions lose each other for an hour; twice that
MOST_WISHES = 4_096  # all that wait at one source: more than the whole fleet
WISH_US = 60_000_000  # who has not come into the names by then asks again
MOST_SERVES = 4_096
MARGIN = 256  # bytes of a change beside its entries


class Wish(msgspec.Struct):
    """Somebody who wants a name. `answered`: it has its seat already; `serves`: as what it was offered last."""

    join: Join
    asked_us: int
    answered: bool = False
    serves: int = 0


class Waiting(msgspec.Struct):
    """What waits in one zone. `under_way`: a change is offered."""

    wishes: dict[str, Wish]
    due_us: int = NEVER_US
    under_way: bool = False


class Members:
    """All zones together, at one source. `names` is what is agreed and heard."""

    def __init__(self, seed: int) -> None:
        self.names = Names()
        self.due_us = NEVER_US
        self._seed = seed
        self._waiting: dict[str, Waiting] = {}
        self._zone_of: dict[str, str] = {}  # in which zone somebody's wish is

    @property
    def waiting(self) -> int:
        """How many wait for a name."""
        return len(self._zone_of)

    # ---- Who comes and goes ----

    def wants(self, name: str, join: Join, reach: bool, now_us: int) -> str:
        """A join: `here` (has its name), `waits` (it will), or why it is refused."""
        scope = names_of(join.region, join.zone)
        if not is_scope(scope) or "/" in join.region + join.zone or not _is_sound(name, join):
            return "bad"
        refused = self._refused(name, join, reach, now_us)
        if refused:
            return refused
        if self.names.heard(name, join.incarnation, now_us) and self._agreed(name, join) is not None:
            return "here"
        old = self._zone_of.get(name)
        if old is None and len(self._zone_of) >= MOST_WISHES:
            return "full"
        if old is not None:
            before = self._waiting[old].wishes[name]
            if before.join.incarnation > join.incarnation:
                return "twice"
            self._drop(name)
        waiting = self._waiting.setdefault(scope, Waiting({}))
        waiting.wishes[name] = Wish(join, now_us)
        self._zone_of[name] = scope
        self._plan(waiting, now_us + GATHER_US)
        return "waits"

    def wait_us(self, name: str, now_us: int) -> int:
        """How long a second one under this name has to wait at least, if the first is not heard of any more."""
        one = self.names.get(name)
        return 0 if one is None else max(0, one.heard_us + ALIVE_US - now_us)

    def left(self, name: str, incarnation: int, now_us: int) -> None:
        """An orderly end: its name is taken out with the next change."""
        wish = self._waiting[self._zone_of[name]].wishes[name] if name in self._zone_of else None
        if wish is not None and wish.join.incarnation == incarnation:
            self._drop(name)
        one = self.names.get(name)
        if one is not None and one.named.incarnation == incarnation:
            one.heard_us = min(one.heard_us, now_us - ALIVE_US - 1)  # its name is free at once
            self.names.zone(one.scope).stale[name] = incarnation
            self.gather(one.scope, now_us)

    def sweep(self, reach: bool, now_us: int) -> None:
        """Who has been silent for too long; see the head of this file. Call it each `SWEEP_US`, at one source."""
        for scope, zone in self.names.zones.items():
            self.names.sort_silent(zone, now_us)
            cut = len(zone.silent) > CUT_LEAST and CUT_PART * len(zone.silent) > len(zone)
            for name in [name for name, _ in zip(zone.silent, range(GOING), strict=False)] if reach else []:
                one = self.names.get(name)
                if one is not None and (not cut or now_us - one.heard_us >= CUT_US):
                    zone.stale[name] = one.named.incarnation
            if zone.stale:
                self.gather(scope, now_us)

    # ---- What follows ----

    def gather(self, scope: str, now_us: int) -> None:
        """There is something to change in this scope."""
        self._plan(self._waiting.setdefault(scope, Waiting({})), now_us + GATHER_US)

    def due(self, now_us: int) -> list[str]:
        """Scopes whose change is due; of each, `change` is to be offered."""
        if now_us < self.due_us:
            return []
        found = [scope for scope, one in self._waiting.items() if now_us >= one.due_us and not one.under_way]
        for scope in found:
            self._waiting[scope].due_us = NEVER_US
        self._time()
        return found

    def change(self, scope: str, reach: bool, now_us: int) -> tuple[tuple[Entry, ...], dict[str, tuple[int, str]]]:
        """The change that follows from the state now, and who is refused by it. Nothing: there is nothing to offer."""
        zone, waiting = self.names.zone(scope), self._waiting[scope]
        refused: dict[str, tuple[int, str]] = {}
        found: dict[str, Entry] = {name: Entry(name) for name in list(zone.stale)[: MAX_CHANGE_BYTES // 256]}
        left = MAX_CHANGE_BYTES - MARGIN - sum(len(name.encode()) + 8 for name in found)
        relays = {name: serves for name, serves in zone.relays.items() if self.names.is_alive(name, now_us)}
        size = len(zone)
        for name in order(self._seed, "", waiting.wishes):
            wish = waiting.wishes[name]
            why = self._refused(name, wish.join, reach, now_us)
            if why:
                refused[name] = wish.join.incarnation, why
            elif self._agreed(name, wish.join) is None:
                size += 1
                relays.pop(name, None)
                # Threat: one that has a seat below a relay and becomes one itself, so that two may hear one another.
                offered = 0 if wish.answered else wish.join.relays
                serves = offered if as_relay(offered, relays.values(), size) else 0
                entry = entry_of(name, Named(wish.join.incarnation, wish.join.address, serves))
                left -= len(entry.key.encode()) + len(entry.value) + 8
                if left < 0:
                    break
                found[name], wish.serves = entry, serves
                if serves:
                    relays[name] = serves
        for name in refused:
            self._drop(name)
        waiting.under_way = bool(found)
        return tuple(found.values()), refused

    def done(self, scope: str, again_us: int) -> None:
        """The change under way has come to an end; where more waits it is made from the state then, at `again_us`."""
        waiting = self._waiting[scope]
        waiting.under_way = False
        if waiting.wishes or self.names.zone(scope).stale:
            self._plan(waiting, again_us)

    def came(self, scope: str, now_us: int) -> list[tuple[str, Wish]]:
        """Who of those that wait has its name now; call it after each version of the scope. Costs as much as wait."""
        waiting = self._waiting.get(scope)
        if waiting is None:
            return []
        found = [(name, one) for name, one in waiting.wishes.items() if self._agreed(name, one.join) is not None]
        for name, _ in found:
            self._drop(name)
        return found

    def tired(self, before_us: int, fresh: bool, now_us: int) -> list[tuple[str, Wish]]:
        """Who waits since `before_us` without an answer, unless `fresh`; who has waited for `WISH_US` is let go."""
        found = []
        for scope in [scope for scope, one in self._waiting.items() if one.wishes]:
            for name, wish in list(self._waiting[scope].wishes.items()):
                if wish.asked_us <= before_us and not wish.answered and not fresh:
                    wish.answered = True
                    found.append((name, wish))
                if now_us - wish.asked_us >= WISH_US:
                    self._drop(name)
        return found

    # ---- Parts ----

    def _agreed(self, name: str, join: Join) -> Known | None:
        """The agreed name, if it is this very process's."""
        one = self.names.get(name)
        if one is None or one.scope != names_of(join.region, join.zone):
            return None
        ours = (one.named.incarnation, one.named.address) == (join.incarnation, join.address)
        return one if ours else None

    def _refused(self, name: str, join: Join, reach: bool, now_us: int) -> str:
        """Why this process may not have this name now, or ''."""
        one = self.names.get(name)
        if one is None or self._agreed(name, join) is not None:
            return ""
        free = not self.names.is_alive(name, now_us) and (reach or self._has_left(name, one))
        free = free or join.address == one.named.address
        return "" if join.incarnation > one.named.incarnation and free else "twice"

    def _has_left(self, name: str, one: Known) -> bool:
        return self.names.zone(one.scope).stale.get(name) == one.named.incarnation

    def _drop(self, name: str) -> None:
        scope = self._zone_of.pop(name, None)
        if scope is not None:
            del self._waiting[scope].wishes[name]

    def _plan(self, waiting: Waiting, at_us: int) -> None:
        waiting.due_us = min(waiting.due_us, at_us)
        self._time()

    def _time(self) -> None:
        self.due_us = min((one.due_us for one in self._waiting.values() if not one.under_way), default=NEVER_US)


def _is_sound(name: str, join: Join) -> bool:
    """Threat: a name or an address that no entry holds, a place for more than there are."""
    return (
        0 < len(name.encode("utf-8", "replace")) <= MAX_ENTRY_KEY_BYTES
        and name.isprintable()
        and 0 < len(join.address.encode("utf-8", "replace")) <= MOST_ADDRESS
        and 0 <= join.relays <= MOST_SERVES
        and 0 <= join.incarnation < NEVER_US
    )
