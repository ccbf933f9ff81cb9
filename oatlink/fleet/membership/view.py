"""Which of the listed nodes are alive: whom to gossip with, and who may be a coordinator. No I/O.

The view is a hint that is not agreed on: two nodes may have different views for any length of time, and nothing relies
on the view for correctness.

Every message received counts (`heard`). In addition, a node sends `Alive` each `ALIVE_US`, plus or minus a tenth, to
`FAN_OUT` others, with how long ago it heard of up to `MAX_HEARD` more, the most recent first: at most `FAN_OUT`
messages of under 1,200 bytes in that time, whatever the number of nodes. `patience_us(nodes)` is how long to wait for
news of a node: a few `ALIVE_US` for lost messages, one for each doubling of the nodes for the steps of the gossip, and
25 times the mean time until its turn among the entries, so that a live node is hardly ever missed: 18 s at 5 nodes,
30 s at 50, 94 s at 500. A node that died is missed by all others after that time plus `2 x ALIVE_US` for each doubling.
If our own link to a node fails (`link_failed`), the node is missed at once, which matters for the nodes in use.

An age that is passed on grows while it is stored, by our clock x (1 + drift), and by `HOP_US` for the transfer. So news
of a node that has died gets older at each step until it no longer counts.
"""

import random
from heapq import nsmallest

from oatlink.fleet.membership.suspicion import Suspicion
from oatlink.fleet.messages import Alive, Effect, Tell

ALIVE_US = 2_000_000
FAN_OUT = 3
MAX_HEARD = 128  # entries in one message
MAX_LEAVE_MESSAGES = 16  # nodes notified by a node that is leaving; the others notice that its link is closed
HOP_US = 100_000
QUIET_US = 8 * ALIVE_US  # without a message from any node for this time, this node is cut off
MAX_AGE_MS = 1 << 31


def patience_us(nodes: int) -> int:
    """Return how long to wait for news of a node before it counts as silent."""
    return ALIVE_US * (6 + max(0, nodes - 1).bit_length() + 25 * nodes // (FAN_OUT * MAX_HEARD))


class View:
    """One node's view of the other nodes. `nodes` are all names of the settings."""

    def __init__(self, node: str, incarnation: int, nodes: tuple[str, ...], seed: int, drift: float, now_us: int):
        self._node = node
        self._incarnation = incarnation
        self._names = tuple(sorted(dict.fromkeys(nodes)))
        self._place = {name: place for place, name in enumerate(self._names)}
        self._drift = drift
        self._draw = random.Random(seed)
        self._others = {name: Suspicion(now_us) for name in self._names if name != node}
        self._patience_us = patience_us(len(self._names))
        self._last_heard_us = now_us  # time of the last message from any node
        self.due_us = now_us + self._draw.randrange(ALIVE_US)  # random, so that nodes started together spread out

    def heard(self, node: str, incarnation: int, now_us: int) -> bool:
        """Note a message from a node; returns whether its incarnation is new. Unlisted nodes are ignored."""
        other = self._others.get(node)
        if other is None:
            return False
        self._last_heard_us = max(self._last_heard_us, now_us)
        return other.heard(incarnation, now_us, self._patience_us)

    def leaving(self, node: str, incarnation: int, now_us: int) -> None:
        """A node announced that it is about to stop; later messages of this incarnation do not make it present."""
        self.heard(node, incarnation, now_us)
        if node in self._others:
            self._others[node].has_left = True

    def link_failed(self, node: str, now_us: int) -> None:
        """Our link to a node failed: it counts as silent until it sends us a message again."""
        if node in self._others:
            self._others[node].has_link_failed = True

    def receive(self, sender: str, alive: Alive, now_us: int) -> None:
        """Handle an `Alive` message."""
        if sender not in self._others:
            return
        self.heard(sender, alive.incarnation, now_us)
        if alive.leaving:
            self._others[sender].has_left = True
        for place, age_ms in alive.heard[:MAX_HEARD]:
            if 0 <= place < len(self._names) and 0 <= age_ms < MAX_AGE_MS and self._names[place] in self._others:
                self._others[self._names[place]].heard_by_other(now_us - self._grown(age_ms * 1_000) - HOP_US)

    def alive(self, now_us: int) -> tuple[str, ...]:
        """Return the names of the other nodes that count as present."""
        return tuple(name for name, other in self._others.items() if other.is_present(now_us, self._patience_us))

    def is_cut_off(self, now_us: int) -> bool:
        """Whether it is more likely that this node is cut off than that so many others are gone.

        That is so if more than half of the nodes that have not left in an orderly way are silent, or if no node has
        sent a message for `QUIET_US`. With only one other node the two cases cannot be distinguished, and this node
        counts as the one cut off.
        """
        remaining = [other for other in self._others.values() if not other.has_left]
        silent_count = sum(other.is_silent(now_us, self._patience_us) for other in remaining)
        is_quiet = now_us - self._last_heard_us > QUIET_US
        return bool(remaining) and (2 * silent_count > len(remaining) or is_quiet)

    def tick(self, now_us: int) -> list[Effect]:
        """Send `Alive` messages, if it is time."""
        if now_us < self.due_us:
            return []
        self.due_us = now_us + ALIVE_US + self._draw.randrange(-ALIVE_US // 10, ALIVE_US // 10)
        present = self.alive(now_us)
        lookup = dict.fromkeys(present)
        absent = [name for name, other in self._others.items() if not other.has_left and name not in lookup]
        # At least one message goes to an absent node, if there is one: otherwise it would never be found again.
        targets = self._draw.sample(absent, min(len(absent), max(1, FAN_OUT - len(present))))
        targets += self._draw.sample(present, min(len(present), FAN_OUT - len(targets)))
        message = Alive(self._incarnation, False, self._heard_entries(present, now_us))
        return [Tell(name, message) for name in targets]

    def leave(self, now_us: int) -> list[Effect]:
        """Announce that this node is about to stop in an orderly way."""
        present = self.alive(now_us)
        targets = self._draw.sample(present, min(len(present), MAX_LEAVE_MESSAGES))
        return [Tell(name, Alive(self._incarnation, True)) for name in targets]

    def _heard_entries(self, present: tuple[str, ...], now_us: int) -> tuple[tuple[int, int], ...]:
        """Return how long ago we heard of the nodes that are present, as (place, ms), the most recent first.

        Nodes that nobody has heard of are left out. Otherwise a node that never existed would be kept alive by every
        node that starts and counts it as heard at its start.
        """
        known = [name for name in present if self._others[name].is_known]
        newest = nsmallest(MAX_HEARD, known, key=lambda name: now_us - self._others[name].heard_us)
        return tuple(
            (self._place[name], self._grown(now_us - self._others[name].heard_us) // 1_000 + 1) for name in newest
        )

    def _grown(self, age_us: int) -> int:
        """Return the greatest true age of something that has this age by our clock."""
        return age_us + int(age_us * self._drift) + 1
