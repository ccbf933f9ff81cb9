"""Finds one upstream and a spare for a reader without overloading the sources. No I/O.

This module decides whom to subscribe to, when the upstream counts as silent, and when a source is asked for a seat. The
upstream's messages are handled by `reader`.

- There is one upstream at a time; messages on versions from other processes are dropped. Only a beat shows that the
  upstream is alive. When it is silent for `UPSTREAM_TIMEOUT_US`, its link fails, it leaves or it refuses, the spare is
  used at once, and a new spare is asked for later.
- A source is asked at a random time within a window of `WINDOW_PER_READER_US` for each reader of the zone, doubled with
  each try, up to `MAX_WINDOW_US`. So a zone asks at most 50 times per second in its first window, whatever its size. If
  a source does not answer within `JOIN_TIMEOUT_US`, the next one in an order drawn from the seed is asked.
- A seat is renewed each `SEAT_RENEWAL_US`: a spare named hours ago is usually gone.
- An upstream whose data is older than `STALE_US` is kept, but a source is asked, and its answer is used at once. This
  ends cycles of relays that are upstreams of one another without a source, and all send beats.
"""

from collections.abc import Callable
from random import Random

from msgspec import structs

from oatlink.fleet.control.bounds import MAX_WAIT_MS, is_place
from oatlink.fleet.messages.base import NEVER_US
from oatlink.fleet.messages.control import Join, Known, Leave, Place, Refused, Seat, Subscribe
from oatlink.fleet.messages.effects import Effect, Note, Tell

UPSTREAM_TIMEOUT_US = 2_500_000
JOIN_TIMEOUT_US = 2_000_000
WINDOW_PER_READER_US = 20_000
MIN_WINDOW_US, MAX_WINDOW_US = 1_000_000, 30_000_000
DEFAULT_ZONE_READERS = 200  # assumed while the zone's size is not known
MAX_ZONE_READERS = 10_000  # prevents an entry from making a zone wait for hours
SEAT_RENEWAL_US = 600_000_000
STALE_US = 15_000_000
RESUBSCRIBE_US = 1_000_000  # between two subscriptions to the same upstream


class Upstream:
    """The upstream of one reader.

    `subscription(now_us)` makes the message for a new upstream; `join` is the message for a source.
    """

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
        self.is_stale = False  # the upstream's data is over `STALE_US` old
        self._join, self._name, self._subscription = join, name, subscription
        self._draw = Random(f"upstream/{seed}/{name}/{join.incarnation}")
        self._sources = self._draw.sample(sources, len(sources))
        self._turn, self._tries, self._readers = 0, 0, DEFAULT_ZONE_READERS
        self._asking: Place | None = None
        self._asked_us = self._heard_us = self._subscribed_us = now_us
        self._resubscribe_us = self._seat_us = NEVER_US
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
        """When `tick` has to be called next."""
        due = self._join_us if self._asking is None else self._asked_us + JOIN_TIMEOUT_US
        if self.current is not None:
            due = min(due, self._heard_us + UPSTREAM_TIMEOUT_US, self._resubscribe_us)
        return min(due, self._seat_us)

    def uses(self, peer: str) -> bool:
        """Return whether this is the upstream or the source that is asked."""
        return any(place is not None and place.name == peer for place in (self.current, self._asking))

    def set_zone_readers(self, readers: int) -> None:
        """Set how many readers the zone has, as `all` says."""
        self._readers = max(1, min(MAX_ZONE_READERS, readers))

    def _window(self) -> int:
        """Return a random delay within the window of this try."""
        base_us = max(MIN_WINDOW_US, self._readers * WINDOW_PER_READER_US)
        return self._draw.randrange(min(base_us << min(self._tries, 8), max(base_us, MAX_WINDOW_US)))

    # ---- Messages ----

    def beat_received(self, now_us: int, is_stale: bool) -> None:
        """Handle a beat of the upstream that answers a message of this process.

        `is_stale`: its data is over `STALE_US`.
        """
        self._heard_us = now_us
        if is_stale and not self.is_stale:
            self._join_us = min(self._join_us, now_us + self._window())
        self.is_stale = is_stale
        self._tries = self._tries if is_stale else 0

    def request_resubscribe(self, now_us: int) -> None:
        """Subscribe again, at a bounded rate, because something is missing or more scopes are taken."""
        if self.current is not None:
            self._resubscribe_us = min(self._resubscribe_us, max(now_us, self._subscribed_us + RESUBSCRIBE_US))

    def take_seat(self, sender: str, seat: Seat, now_us: int) -> bool:
        """Handle a source's seat; return whether one was asked for and this one may be used."""
        if self._asking is None or sender != self._asking.name or seat.incarnation != self._join.incarnation:
            return False
        self._asking, self._lost = None, ""
        self._tries = min(self._tries, 1)  # sources answer again and set the rate; the seat may be at a full relay
        is_spare_sound = not seat.spare.name or is_place(seat.spare)
        if not (is_place(seat.upstream) and is_spare_sound and 0 <= seat.wait_ms <= MAX_WAIT_MS):
            self._join_us = now_us + self._window()
            return False
        self._join_us = now_us + SEAT_RENEWAL_US - self._draw.randrange(SEAT_RENEWAL_US // 2)
        self._seat, self._seat_us = seat, now_us + seat.wait_ms * 1_000
        return True

    def handle_refusal(self, sender: str, refused: Refused, now_us: int) -> list[Effect] | None:
        """Handle a refusal; None if nothing of this process was refused."""
        if refused.incarnation != self._join.incarnation:
            return None
        if self._asking is not None and sender == self._asking.name:
            self._asking = None
            wait_us = 1_000 * max(0, min(MAX_WAIT_MS, refused.wait_ms))
            self._join_us = now_us + max(wait_us, self._window())
            return [Note("control_refused", f"{sender}: {refused.reason[:40]!r}")]
        return self.drop_current(f"refuses ({refused.reason[:40]!r})", now_us) if sender == self.peer else None

    def peer_lost(self, peer: str, reason: str, now_us: int) -> list[Effect]:
        """Handle a link that failed, or a peer that leaves."""
        if self._asking is not None and peer == self._asking.name:
            self._try_next_source(now_us)
        if self.spare is not None and peer == self.spare.name:
            self.spare = None
            self._join_us = min(self._join_us, now_us + self._window())
        return self.drop_current(reason, now_us) if peer and peer == self.peer else []

    # ---- Timers ----

    def tick(self, now_us: int) -> list[Effect]:
        """Do what is due."""
        effects: list[Effect] = []
        if self.current is not None and now_us - self._heard_us >= UPSTREAM_TIMEOUT_US:
            effects += self.drop_current("silent", now_us)
        if self._asking is not None and now_us - self._asked_us >= JOIN_TIMEOUT_US:
            self._try_next_source(now_us)
        if now_us >= self._seat_us and self._seat is not None:
            effects += self._apply_seat(self._seat, now_us)
        if self._asking is None and now_us >= self._join_us and self._sources:
            effects += self._send_join(now_us)
        elif not self._sources:
            self._join_us = NEVER_US
        if self.current is not None and now_us >= self._resubscribe_us:
            effects += self._subscribe(self.current, now_us)
        return effects + self._forget()

    def drop_current(self, reason: str, now_us: int) -> list[Effect]:
        """Drop the upstream: use the spare, or else ask a source."""
        assert self.current is not None
        dropped, self.current = self.current, None
        self._lost, self.is_stale = dropped.name, False
        note = Note("control_upstream", f"{dropped.name} {reason}, {self.spare.name if self.spare else 'no spare'}")
        effects: list[Effect] = [note, Tell(dropped.name, Leave(self._join.incarnation))]
        spare, self.spare = self.spare, None
        if spare is not None:
            effects += self._subscribe(spare, now_us)
        self._join_us = min(self._join_us, now_us + self._window())
        return effects

    # ---- Parts ----

    def _apply_seat(self, seat: Seat, now_us: int) -> list[Effect]:
        """Use upstream and spare of a seat if there is no upstream or a stale one, otherwise only the spare."""
        self._seat, self._seat_us = None, NEVER_US
        places = [place for place in (seat.upstream, seat.spare) if place.name not in ("", self._name)]
        effects: list[Effect] = []
        new_upstream = next((place for place in places if place.name != self.peer), None)
        if new_upstream is not None and (self.current is None or self.is_stale):
            effects += [Tell(self.peer, Leave(self._join.incarnation))] if self.peer else []
            self.is_stale = False
            effects += self._subscribe(new_upstream, now_us)
        self.spare = next((place for place in reversed(places) if place.name != self.peer), None)
        if self.spare is None:  # ask again soon, but later than a process without an upstream
            self._join_us = min(self._join_us, now_us + self._window() + (MAX_WINDOW_US if self.current else 0))
        return effects

    def _send_join(self, now_us: int) -> list[Effect]:
        source = self._sources[self._turn % len(self._sources)]
        self._asking, self._asked_us, self._tries = source, now_us, self._tries + 1
        self._join_us = NEVER_US
        return [*self._make_known(source), Tell(source.name, structs.replace(self._join, lost=self._lost))]

    def _try_next_source(self, now_us: int) -> None:
        """Turn to the next source, in a longer window, because the one asked does not answer."""
        self._asking = None
        self._turn += 1
        self._join_us = now_us + self._window()

    def _subscribe(self, place: Place, now_us: int) -> list[Effect]:
        if self.current != place:
            self.current, self._heard_us = place, now_us
        self._subscribed_us, self._resubscribe_us = now_us, NEVER_US
        return [*self._make_known(place), Tell(place.name, self._subscription(now_us))]

    def _make_known(self, place: Place) -> list[Effect]:
        if self._known.get(place.name) == place:
            return []
        self._known[place.name] = place
        return [Known(place)]

    def _forget(self) -> list[Effect]:
        """Forget the known processes that are not used any more."""
        unused = [place for name, place in self._known.items() if not self.uses(name)]
        for place in unused:
            del self._known[place.name]
        return [Known(place, forget=True) for place in unused]
