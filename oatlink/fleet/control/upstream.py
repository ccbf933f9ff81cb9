"""Whom a reader hears: one upstream and a spare, and how it comes by them without a herd. No I/O.

What may live here: whom to subscribe to, when it counts as silent, when a source is asked for a seat. What the upstream
says is the reader's.

- One upstream at a time; what anybody else says of versions is not taken. Only a beat shows that it lives. Silent for
  `SILENT_US`, its link failed, it leaves or refuses: the spare at once, and a new spare is asked for later.
- A source is asked at a time drawn over a window: `PER_READER_US` for each reader of the zone, doubled with each try,
  up to `MOST_WINDOW_US`. So a zone asks 50 times a second at most in its first window, whatever its size; one that does
  not answer within `JOIN_US` is followed by the next in an order drawn by seed.
- A seat is renewed each `RENEW_US`: a spare that was told hours ago is as a rule not there any more.
- An upstream whose word is older than `OLD_US` is kept, but a source is asked, and its answer is taken at once. Threat:
  relays that hear one another in a ring and no source, all of them beating.
"""

from collections.abc import Callable
from random import Random

from msgspec import structs

from oatlink.fleet.control.bounds import MOST_WAIT_MS, is_place
from oatlink.fleet.messages.base import NEVER_US
from oatlink.fleet.messages.control import Join, Known, Leave, Place, Refused, Seat, Subscribe
from oatlink.fleet.messages.effects import Effect, Note, Tell

SILENT_US = 2_500_000
JOIN_US = 2_000_000
PER_READER_US = 20_000
LEAST_WINDOW_US, MOST_WINDOW_US = 1_000_000, 30_000_000
READERS = 200  # of a zone, while its size is not known
MOST_READERS = 10_000  # threat: an entry that makes a zone wait for hours
RENEW_US = 600_000_000
OLD_US = 15_000_000
AGAIN_US = 1_000_000  # between two subscriptions to the same upstream


class Upstream:
    """`subscription(now_us)` makes the word that goes to a new upstream; `join` is the word that goes to a source."""

    def __init__(
        self,
        join: Join,
        name: str,
        sources: tuple[Place, ...],
        subscription: Callable[[int], Subscribe],
        seed: int,
        now_us: int,
    ) -> None:
        self.current: Place | None = None
        self.spare: Place | None = None
        self.old = False  # the upstream's word is over `OLD_US`
        self._join, self._name, self._subscription = join, name, subscription
        self._draw = Random(f"upstream/{seed}/{name}/{join.incarnation}")
        self._sources = self._draw.sample(sources, len(sources))
        self._turn, self._tries, self._readers = 0, 0, READERS
        self._asking: Place | None = None
        self._asked_us = self._heard_us = self._subscribed_us = now_us
        self._again_us = self._seat_us = NEVER_US
        self._seat: Seat | None = None
        self._lost = ""
        self._join_us = now_us + self._window()
        self._known: dict[str, Place] = {}

    @property
    def peer(self) -> str:
        """The upstream's name, empty without one."""
        return self.current.name if self.current is not None else ""

    @property
    def due_us(self) -> int:
        """When to call `tick` next."""
        due = self._join_us if self._asking is None else self._asked_us + JOIN_US
        if self.current is not None:
            due = min(due, self._heard_us + SILENT_US, self._again_us)
        return min(due, self._seat_us)

    def zone_has(self, readers: int) -> None:
        """How many readers the zone has, as `all` says."""
        self._readers = max(1, min(MOST_READERS, readers))

    def _window(self) -> int:
        """A time drawn over the window of this try."""
        base_us = max(LEAST_WINDOW_US, self._readers * PER_READER_US)
        return self._draw.randrange(min(base_us << min(self._tries, 8), max(base_us, MOST_WINDOW_US)))

    # ---- What comes ----

    def hears(self, now_us: int, old: bool) -> None:
        """A beat of the upstream that answers a word of ours; `old`: whether its word is over `OLD_US`."""
        self._heard_us = now_us
        if old and not self.old:
            self._join_us = min(self._join_us, now_us + self._window())
        self.old = old
        self._tries = self._tries if old else 0

    def gap(self, now_us: int) -> None:
        """Something is missing, or more scopes are taken: subscribe again, at a bounded rate."""
        if self.current is not None:
            self._again_us = min(self._again_us, max(now_us, self._subscribed_us + AGAIN_US))

    def seat(self, sender: str, seat: Seat, now_us: int) -> bool:
        """A source's answer; whether one was asked for and may be taken."""
        if self._asking is None or sender != self._asking.name or seat.incarnation != self._join.incarnation:
            return False
        self._asking, self._lost = None, ""
        spare = not seat.spare.name or is_place(seat.spare)
        if not (is_place(seat.upstream) and spare and 0 <= seat.wait_ms <= MOST_WAIT_MS):
            self._join_us = now_us + self._window()
            return False
        self._join_us = now_us + RENEW_US - self._draw.randrange(RENEW_US // 2)
        self._seat, self._seat_us = seat, now_us + seat.wait_ms * 1_000
        return True

    def refused(self, sender: str, refused: Refused, now_us: int) -> list[Effect] | None:
        """Not now. None where nothing of ours was refused."""
        if refused.incarnation != self._join.incarnation:
            return None
        if self._asking is not None and sender == self._asking.name:
            self._asking = None
            wait_us = 1_000 * max(0, min(MOST_WAIT_MS, refused.wait_ms))
            self._join_us = now_us + max(wait_us, self._window())
            return [Note("control_refused", f"{sender}: {refused.reason[:40]!r}")]
        return self.lose(f"refuses ({refused.reason[:40]!r})", now_us) if sender == self.peer else None

    def silent(self, peer: str, why: str, now_us: int) -> list[Effect]:
        """A link to it failed, or it leaves."""
        if self._asking is not None and peer == self._asking.name:
            self._next(now_us)
        if self.spare is not None and peer == self.spare.name:
            self.spare = None
            self._join_us = min(self._join_us, now_us + self._window())
        return self.lose(why, now_us) if peer and peer == self.peer else []

    # ---- What is due ----

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        effects: list[Effect] = []
        if self.current is not None and now_us - self._heard_us >= SILENT_US:
            effects += self.lose("silent", now_us)
        if self._asking is not None and now_us - self._asked_us >= JOIN_US:
            self._next(now_us)
        if now_us >= self._seat_us and self._seat is not None:
            effects += self._sit(self._seat, now_us)
        if self._asking is None and now_us >= self._join_us and self._sources:
            effects += self._ask(now_us)
        elif not self._sources:
            self._join_us = NEVER_US
        if self.current is not None and now_us >= self._again_us:
            effects += self._subscribe(self.current, now_us)
        return effects + self._forget()

    def lose(self, why: str, now_us: int) -> list[Effect]:
        """The upstream is none any more: the spare, else a source is asked."""
        assert self.current is not None
        lost, self.current = self.current, None
        self._lost, self.old = lost.name, False
        note = Note("control_upstream", f"{lost.name} {why}, {self.spare.name if self.spare else 'no spare'}")
        effects: list[Effect] = [note, Tell(lost.name, Leave(self._join.incarnation))]
        spare, self.spare = self.spare, None
        if spare is not None:
            effects += self._subscribe(spare, now_us)
        self._join_us = min(self._join_us, now_us + self._window())
        return effects

    # ---- Parts ----

    def _sit(self, seat: Seat, now_us: int) -> list[Effect]:
        """Take a seat: as it is, where we have none or an old one; else for its spare alone."""
        self._seat, self._seat_us = None, NEVER_US
        places = [one for one in (seat.upstream, seat.spare) if one.name not in ("", self._name)]
        effects: list[Effect] = []
        other = next((one for one in places if one.name != self.peer), None)
        if other is not None and (self.current is None or self.old):
            effects += [Tell(self.peer, Leave(self._join.incarnation))] if self.peer else []
            self.old = False
            effects += self._subscribe(other, now_us)
        self.spare = next((one for one in reversed(places) if one.name != self.peer), None)
        if self.spare is None:  # ask again soon, but not as soon as one that hears nobody
            self._join_us = min(self._join_us, now_us + self._window() + (MOST_WINDOW_US if self.current else 0))
        return effects

    def _ask(self, now_us: int) -> list[Effect]:
        source = self._sources[self._turn % len(self._sources)]
        self._asking, self._asked_us, self._tries = source, now_us, self._tries + 1
        self._join_us = NEVER_US
        return [*self._meet(source), Tell(source.name, structs.replace(self._join, lost=self._lost))]

    def _next(self, now_us: int) -> None:
        """The source asked does not answer: the next one, in a longer window."""
        self._asking = None
        self._turn += 1
        self._join_us = now_us + self._window()

    def _subscribe(self, place: Place, now_us: int) -> list[Effect]:
        if self.current != place:
            self.current, self._heard_us = place, now_us
        self._subscribed_us, self._again_us = now_us, NEVER_US
        return [*self._meet(place), Tell(place.name, self._subscription(now_us))]

    def _meet(self, place: Place) -> list[Effect]:
        if self._known.get(place.name) == place:
            return []
        self._known[place.name] = place
        return [Known(place)]

    def _forget(self) -> list[Effect]:
        """Of those known before, only who is in use is known on."""
        used = [one.name for one in (self.current, self._asking) if one is not None]
        over = [place for name, place in self._known.items() if name not in used]
        for place in over:
            del self._known[place.name]
        return [Known(place, forget=True) for place in over]
