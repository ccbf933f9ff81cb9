"""Tracks the children of a relay or source: who they are, when each gets a beat, and when one is removed. No I/O.

What a child is sent is decided in `feed`; its reports are added up in `sums`.

- There are at most `max_children` children; a further one is refused (`full`), so that it tries another process.
- Each child gets a beat each second: the first one at once, the next one after a random part of a second, so that
  children that connect at one moment do not get their beats at one moment ever after. All beats are in one heap, so an
  event costs the logarithm of the number of children.
- A child that sent nothing for `CHILD_TIMEOUT_US` is removed: each child sends a report every 5 s.
- A child that names its address is made known to the shell before it is answered, and forgotten when it goes.
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
REFUSED_WAIT_MS = 5_000  # a child that is refused comes back no sooner


class _Child(msgspec.Struct):
    incarnation: int
    heard_us: int
    mark: int
    mark_us: int
    address: str
    turn: int = 0  # the number of its current heap item; older items are skipped
    beats: int = 0


class Downstream:
    """The children of one process.

    `add_scopes(scopes)` makes the owner receive all of these, and returns whether it does; `age_us(now_us)` is the age
    of the owner's data. `covers(scope)` tells whether that age applies to a scope. This keeps beats from naming a scope
    that a relay has just begun to receive for a child and has no data of.
    """

    def __init__(
        self,
        tables: Mapping[str, Table],
        sums: Sums,
        drops: Drops,
        max_children: int,
        age_us: Callable[[int], int],
        add_scopes: Callable[[tuple[str, ...]], bool],
        covers: Callable[[str], bool],
        seed: int,
        now_us: int,
        rate: int = CATCH_UP_BYTES_PER_S,
    ) -> None:
        self.feed = Feed(tables, now_us, rate)
        self._tables, self._sums, self._drops, self._max_children = tables, sums, drops, max_children
        self._age_us, self._add_scopes, self._covers = age_us, add_scopes, covers
        self._draw = Random(f"downstream/{seed}")
        self._children: dict[str, _Child] = {}
        self._beats: list[tuple[int, int, str]] = []
        self._turns = 0

    def __len__(self) -> int:
        return len(self._children)

    def __contains__(self, peer: str) -> bool:
        return peer in self._children

    def names(self) -> tuple[str, ...]:
        """Return the children's names."""
        return tuple(self._children)

    @property
    def due_us(self) -> int:
        """When `tick` has to be called next."""
        return min(self._beats[0][0] if self._beats else NEVER_US, self.feed.due_us)

    # ---- Messages ----

    def subscribe(self, child: str, message: Subscribe, now_us: int) -> list[Effect]:
        """Handle the subscription of a new child, or of one that has a gap or takes more scopes than before."""
        state = self._children.get(child)
        if not is_subscribe(message):
            notes = self._drops.add("impossible subscription", child, now_us)
            # The refusal reaches the child only if the shell knows its address.
            return [*notes, Tell(child, Refused(message.incarnation, "bad", REFUSED_WAIT_MS))]
        effects: list[Effect] = []
        if message.address and (state is None or state.address != message.address):
            effects.append(Known(Place(child, message.address)))
        reason = "full" if state is None and len(self._children) >= self._max_children else ""
        if not reason and not self._add_scopes(tuple(head.scope for head in message.heads)):
            reason = "unknown"
        if reason:
            effects.append(Tell(child, Refused(message.incarnation, reason, REFUSED_WAIT_MS)))
            forget = [Known(Place(child, message.address), forget=True)] if message.address else []
            return effects + (forget if state is None else self.remove(child))
        if state is None or state.incarnation != message.incarnation:
            state = self._children[child] = _Child(message.incarnation, now_us, message.mark, now_us, message.address)
            self._schedule_beat(child, state, now_us)
        state.address = message.address
        self._mark_heard(state, message.mark, now_us)
        self.feed.start(child, message.heads, message.resume)
        self._sums.add_child(child, message.incarnation, message.heads)
        return effects + self.tick(now_us)

    def report(self, child: str, message: Report, now_us: int) -> list[Effect]:
        """Handle a child's report; even one that is dropped shows that the child is alive."""
        state = self._children.get(child)
        if state is not None and state.incarnation == message.incarnation:
            self._mark_heard(state, message.mark, now_us)
        reason = self._sums.take_report(child, message, now_us)
        return self._drops.add(reason, child, now_us) if reason else []

    def remove(self, child: str, incarnation: int | None = None) -> list[Effect]:
        """Remove a child that left or whose link failed. `incarnation`: only if it is this one."""
        state = self._children.get(child)
        if state is not None and incarnation in (None, state.incarnation):
            del self._children[child]  # its heap item is skipped when it comes up
            self.feed.stop(child)
            self._sums.remove_child(child)
            if state.address:
                return [Known(Place(child, state.address), forget=True)]
        return []

    def scope_changed(self, scope: str, now_us: int) -> None:
        """Note that the table of this scope has changed; call `tick` after it."""
        self.feed.scope_changed(scope, now_us)

    def tick(self, now_us: int) -> list[Effect]:
        """Return what is due: changes, messages for children that are behind, beats."""
        effects: list[Effect] = [*self.feed.tick(now_us)]
        while self._beats and self._beats[0][0] <= now_us:
            _, turn, child = heapq.heappop(self._beats)
            state = self._children.get(child)
            if state is None or state.turn != turn:
                continue
            if now_us - state.heard_us > CHILD_TIMEOUT_US:
                effects += self.remove(child)
                continue
            effects += self.feed.send_pending(child)
            effects.append(Tell(child, self._make_beat(child, state, now_us)))
            state.beats += 1
            self._schedule_beat(
                child,
                state,
                now_us
                + (
                    BEAT_INTERVAL_US
                    if state.beats > 1
                    else self._draw.randrange(BEAT_INTERVAL_US // 4, BEAT_INTERVAL_US)
                ),
            )
        return effects

    # ---- Helpers ----

    def _mark_heard(self, state: _Child, mark: int, now_us: int) -> None:
        state.heard_us, state.mark, state.mark_us = now_us, mark, now_us

    def _schedule_beat(self, child: str, state: _Child, at_us: int) -> None:
        self._turns += 1
        state.turn = self._turns
        heapq.heappush(self._beats, (at_us, state.turn, child))

    def _make_beat(self, child: str, state: _Child, now_us: int) -> Beat:
        heads = tuple(self._tables[scope].head for scope in self.feed.scopes(child) if self._covers(scope))
        return Beat(to_ms(self._age_us(now_us)), heads, state.mark, (now_us - state.mark_us) // 1_000)
