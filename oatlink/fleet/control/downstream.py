"""The children of a relay or source: who they are, their beats, who is gone. No I/O.

What may live here: who is a child, when it was heard, when it is told that nothing is missing. What it gets is
`feed`'s, what its reports come to `sums`'.

- At most `most` children; a further one is refused (`full`), so that it asks elsewhere.
- A beat goes to each child each second; the first at once, the next after a part of a second that is drawn, so that
  children who come in one moment are not told in one moment for ever. One heap: an event costs a log of the children.
- A child not heard for `CHILD_TIMEOUT_US` is none any more: it reports each 5 s.
- A child that says where it listens is made known before it is answered, and forgotten when it goes.
"""

import heapq
from collections.abc import Callable, Mapping
from random import Random

import msgspec

from oatlink.fleet.control.age import to_ms
from oatlink.fleet.control.bounds import is_subscribe
from oatlink.fleet.control.drops import Drops
from oatlink.fleet.control.feed import CATCH_UP_BYTES_PER_S, Feed
from oatlink.fleet.control.sums import Sums
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages.base import NEVER_US
from oatlink.fleet.messages.control import Beat, Known, Place, Refused, Report, Subscribe
from oatlink.fleet.messages.effects import Effect, Tell

BEAT_INTERVAL_US = 1_000_000
CHILD_TIMEOUT_US = 15_000_000  # three reports
REFUSED_WAIT_MS = 5_000  # who is refused for want of room comes back no sooner


class _Child(msgspec.Struct):
    incarnation: int
    heard_us: int
    mark: int
    mark_us: int
    address: str
    turn: int = 0  # its place in the heap; older ones there count no more
    beats: int = 0


class Downstream:
    """`take(scopes)`: whether the owner takes all of these, from now on; `age_us(now_us)`: how old its word is.

    `covers(scope)`: whether that age speaks of this scope. Threat: one that a relay took a moment ago for a child, and
    has nothing of yet.
    """

    def __init__(
        self,
        tables: Mapping[str, Table],
        sums: Sums,
        drops: Drops,
        most: int,
        age_us: Callable[[int], int],
        take: Callable[[tuple[str, ...]], bool],
        covers: Callable[[str], bool],
        seed: int,
        now_us: int,
        rate: int = CATCH_UP_BYTES_PER_S,
    ) -> None:
        self.feed = Feed(tables, now_us, rate)
        self._tables, self._sums, self._drops, self._max_children = tables, sums, drops, most
        self._age_us, self._add_scopes, self._covers = age_us, take, covers
        self._draw = Random(f"downstream/{seed}")
        self._children: dict[str, _Child] = {}
        self._beats: list[tuple[int, int, str]] = []
        self._turns = 0

    def __len__(self) -> int:
        return len(self._children)

    def __contains__(self, peer: str) -> bool:
        return peer in self._children

    def names(self) -> tuple[str, ...]:
        """The children."""
        return tuple(self._children)

    @property
    def due_us(self) -> int:
        """When to call `tick` next."""
        return min(self._beats[0][0] if self._beats else NEVER_US, self.feed.due_us)

    # ---- What comes ----

    def subscribe(self, child: str, message: Subscribe, now_us: int) -> list[Effect]:
        """A new child, or one that has a gap or takes more than before."""
        one = self._children.get(child)
        if not is_subscribe(message):
            dropped = self._drops.add("impossible subscription", child, now_us)
            return [
                *dropped,
                Tell(child, Refused(message.incarnation, "bad", REFUSED_WAIT_MS)),
            ]  # as far as it is known
        effects: list[Effect] = []
        if message.address and (one is None or one.address != message.address):
            effects.append(Known(Place(child, message.address)))
        why = "full" if one is None and len(self._children) >= self._max_children else ""
        if not why and not self._add_scopes(tuple(head.scope for head in message.heads)):
            why = "unknown"
        if why:
            effects.append(Tell(child, Refused(message.incarnation, why, REFUSED_WAIT_MS)))
            forget = [Known(Place(child, message.address), forget=True)] if message.address else []
            return effects + (forget if one is None else self.remove(child))
        if one is None or one.incarnation != message.incarnation:
            one = self._children[child] = _Child(message.incarnation, now_us, message.mark, now_us, message.address)
            self._schedule_beat(child, one, now_us)
        one.address = message.address
        self._heard(one, message.mark, now_us)
        self.feed.start(child, message.heads, message.resume)
        self._sums.add_child(child, message.incarnation, message.heads)
        return effects + self.tick(now_us)

    def report(self, child: str, message: Report, now_us: int) -> list[Effect]:
        """Sums of a child; whatever they are worth, it is there."""
        one = self._children.get(child)
        if one is not None and one.incarnation == message.incarnation:
            self._heard(one, message.mark, now_us)
        why = self._sums.take_report(child, message, now_us)
        return self._drops.add(why, child, now_us) if why else []

    def remove(self, child: str, incarnation: int | None = None) -> list[Effect]:
        """It has left, or its link failed. `incarnation`: only if it is this one."""
        one = self._children.get(child)
        if one is not None and incarnation in (None, one.incarnation):
            del self._children[child]  # its place in the heap is passed over when it comes up
            self.feed.stop(child)
            self._sums.remove_child(child)
            if one.address:
                return [Known(Place(child, one.address), forget=True)]
        return []

    def scope_changed(self, scope: str, now_us: int) -> None:
        """The table of this scope has moved; call `tick` after it."""
        self.feed.scope_changed(scope, now_us)

    def tick(self, now_us: int) -> list[Effect]:
        """What is due: news, turns of those behind, beats."""
        effects: list[Effect] = [*self.feed.tick(now_us)]
        while self._beats and self._beats[0][0] <= now_us:
            _, turn, child = heapq.heappop(self._beats)
            one = self._children.get(child)
            if one is None or one.turn != turn:
                continue
            if now_us - one.heard_us > CHILD_TIMEOUT_US:
                effects += self.remove(child)
                continue
            effects += self.feed.send_pending(child)
            effects.append(Tell(child, self._beat(child, one, now_us)))
            one.beats += 1
            self._schedule_beat(
                child,
                one,
                now_us
                + (
                    BEAT_INTERVAL_US if one.beats > 1 else self._draw.randrange(BEAT_INTERVAL_US // 4, BEAT_INTERVAL_US)
                ),
            )
        return effects

    # ---- Parts ----

    def _heard(self, one: _Child, mark: int, now_us: int) -> None:
        one.heard_us, one.mark, one.mark_us = now_us, mark, now_us

    def _schedule_beat(self, child: str, one: _Child, at_us: int) -> None:
        self._turns += 1
        one.turn = self._turns
        heapq.heappush(self._beats, (at_us, one.turn, child))

    def _beat(self, child: str, one: _Child, now_us: int) -> Beat:
        heads = tuple(self._tables[scope].head for scope in self.feed.scopes(child) if self._covers(scope))
        return Beat(to_ms(self._age_us(now_us)), heads, one.mark, (now_us - one.mark_us) // 1_000)
