"""Who of the listed nodes is there, as far as others need it: whom to gossip with, who may be a home. No I/O.

What may live here: what is told to whom so that nodes know of one another, and what follows for all of them together.
It is a hint and no agreement: two nodes may see it differently for any time, and nothing that must be right rests on
it.

Every message received counts (`heard`). Besides, a node says `Alive` each `ALIVE_US`, give or take a tenth, to
`FAN_OUT` others, with how long ago it heard of `MAX_HEARD` more, the newest first: at most `FAN_OUT` messages of under
1,200 bytes in that time, whatever the number of nodes. `patience_us(nodes)` is how long to wait for word of a node: a
few `ALIVE_US` for what is lost, one for each doubling of the nodes for the steps, and 25 times what its turn among the
words takes in the mean, so that none that lives is missed in a long while: 18 s at 5 nodes, 30 at 50, 94 at 500. One
that died is missed by all of them after that and `2 x ALIVE_US` for each doubling; one that our own link fails to
(`silent`) at once, which is what counts for whoever is in use.

An age told to others grows as it is kept, by our clock x (1 + drift), and by `HOP_US` for the way; so word of a node
that has died grows old at each step and ends.
"""

import random
from heapq import nsmallest

from oatlink.fleet.membership.suspicion import Suspicion
from oatlink.fleet.messages import Alive, Effect, Tell

ALIVE_US = 2_000_000
FAN_OUT = 3
MAX_HEARD = 128
MAX_LEAVE_MESSAGES = 16  # whom a node tells that it is leaving; the others find its link closed
HOP_US = 100_000
QUIET_US = 8 * ALIVE_US  # with no word from anybody we are cut off
MAX_AGE_MS = 1 << 31


def patience_us(nodes: int) -> int:
    """How long to wait for word of a node before it counts as silent."""
    return ALIVE_US * (6 + max(0, nodes - 1).bit_length() + 25 * nodes // (FAN_OUT * MAX_HEARD))


class View:
    """One node's view. `nodes`: all names of the settings; the view is of the others."""

    def __init__(self, node: str, incarnation: int, nodes: tuple[str, ...], seed: int, drift: float, now_us: int):
        self._node = node
        self._incarnation = incarnation
        self._names = tuple(sorted(dict.fromkeys(nodes)))
        self._place = {name: place for place, name in enumerate(self._names)}
        self._drift = drift
        self._draw = random.Random(seed)
        self._others = {name: Suspicion(now_us) for name in self._names if name != node}
        self._patience_us = patience_us(len(self._names))
        self._any_us = now_us  # when anybody last spoke to us
        self.due_us = now_us + self._draw.randrange(ALIVE_US)  # spread out, where all start at once

    def heard(self, node: str, incarnation: int, now_us: int) -> bool:
        """A message of it came; returns whether this is a new incarnation. Unlisted nodes are nobody."""
        one = self._others.get(node)
        if one is None:
            return False
        self._any_us = max(self._any_us, now_us)
        return one.heard(incarnation, now_us, self._patience_us)

    def leaving(self, node: str, incarnation: int, now_us: int) -> None:
        """It said that it is about to stop; whatever else this incarnation says, it is not there any more."""
        self.heard(node, incarnation, now_us)
        if node in self._others:
            self._others[node].left = True

    def silent(self, node: str, now_us: int) -> None:
        """Our link to it failed: it counts as silent until it speaks to us again."""
        if node in self._others:
            self._others[node].failed = True

    def receive(self, sender: str, alive: Alive, now_us: int) -> None:
        """`Alive` came."""
        if sender not in self._others:
            return
        self.heard(sender, alive.incarnation, now_us)
        if alive.leaving:
            self._others[sender].left = True
        for place, age_ms in alive.heard[:MAX_HEARD]:
            if 0 <= place < len(self._names) and 0 <= age_ms < MAX_AGE_MS and self._names[place] in self._others:
                self._others[self._names[place]].told(now_us - self._grown(age_ms * 1_000) - HOP_US)

    def alive(self, now_us: int) -> tuple[str, ...]:
        """The others that are thought to be there, by name."""
        return tuple(name for name, one in self._others.items() if one.there(now_us, self._patience_us))

    def cut_off(self, now_us: int) -> bool:
        """Whether it is more likely that we are cut off than that so many others are gone.

        So it is where more than half of those that have not left in order are silent, or nobody has spoken to us for
        `QUIET_US`. With one other node the two cannot be told apart, and we are taken to be the one cut off.
        """
        stay = [one for one in self._others.values() if not one.left]
        silent = sum(one.silent(now_us, self._patience_us) for one in stay)
        return bool(stay) and (2 * silent > len(stay) or now_us - self._any_us > QUIET_US)

    def tick(self, now_us: int) -> list[Effect]:
        """Say that we are there, if it is time."""
        if now_us < self.due_us:
            return []
        self.due_us = now_us + ALIVE_US + self._draw.randrange(-ALIVE_US // 10, ALIVE_US // 10)
        there = self.alive(now_us)
        here = dict.fromkeys(there)
        away = [name for name, one in self._others.items() if not one.left and name not in here]
        # One of the messages goes to somebody thought gone, where there is one: else nobody would find it back.
        to = self._draw.sample(away, min(len(away), max(1, FAN_OUT - len(there))))
        to += self._draw.sample(there, min(len(there), FAN_OUT - len(to)))
        message = Alive(self._incarnation, False, self._words(there, now_us))
        return [Tell(name, message) for name in to]

    def leave(self, now_us: int) -> list[Effect]:
        """The node itself is about to stop in an orderly way."""
        there = self.alive(now_us)
        to = self._draw.sample(there, min(len(there), MAX_LEAVE_MESSAGES))
        return [Tell(name, Alive(self._incarnation, True)) for name in to]

    def _words(self, there: tuple[str, ...], now_us: int) -> tuple[tuple[int, int], ...]:
        """How long ago we heard of those that are there, the newest words first.

        Threat: a node that never was there, kept alive by each one that starts and gives it the benefit of the doubt.
        """
        known = [name for name in there if self._others[name].known]
        some = nsmallest(MAX_HEARD, known, key=lambda name: now_us - self._others[name].heard_us)
        return tuple((self._place[n], self._grown(now_us - self._others[n].heard_us) // 1_000 + 1) for n in some)

    def _grown(self, age_us: int) -> int:
        return age_us + int(age_us * self._drift) + 1
