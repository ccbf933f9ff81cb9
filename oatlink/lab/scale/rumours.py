"""Hollow nodes that pass on verdicts: the real `Spread` of each, links in counts. No I/O.

All nodes are played, at any size: how a rumour goes round cannot be sampled. Left out is the view, so that each is
thought to be there; with most of a fleet alive that is who is drawn anyway.
"""

from collections.abc import Callable, Iterable
from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.verdicts.spread import Spread
from oatlink.lab.fleetsim.links import Links
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale import wire
from oatlink.lab.scale.nodes import IDLE_US, names_of
from oatlink.lab.scale.tally import Tally

DRIFT = 0.001
Heard = Callable[[int, f.Evidence], None]


class Rumours:
    """So many nodes, those `gone` left out. `heard`: told of each word that is new to a node, own ones among them."""

    def __init__(self, count: int, gone: Iterable[int], time: Timeline, tally: Tally, seed: int, heard: Heard) -> None:
        self.names, self.time, self.tally, self._heard = names_of(count), time, tally, heard
        self._places = {name: at for at, name in enumerate(self.names)}
        self._links = Links(seed)
        self._hello_bytes = wire.hello_bytes(self.names[0])
        self._said: dict[tuple[int, int], int] = {}
        self._due: dict[int, int] = {}
        self.listeners: list[Callable[[int, int, f.Message], None]] = []  # sender, to, message; of each that is sent
        away = set(gone)
        self.cores = {
            at: Spread(name, Random(f"{seed}/{at}").getrandbits(47), self.names, seed ^ at, DRIFT)
            for at, name in enumerate(self.names)
            if at not in away
        }

    def saw(self, at: int, member: str, kind: str) -> None:
        """Own evidence."""
        core = self.cores[at]
        if core.saw(member, kind, self.time.now):
            self._heard(at, f.Evidence(self.names[at], 0, 0, member, kind, 0))
        self._turn(at)

    def _turn(self, at: int) -> None:
        """Tick where it is due, and plan the next one."""
        core, now = self.cores[at], self.time.now
        if core.due_us <= now:
            for one in core.tick(now):
                if isinstance(one, f.Tell):
                    self.send(at, self._places[one.to], one.message)
        due_us = max(core.due_us, now + 1_000)
        if due_us < f.NEVER_US and self._due.get(at, f.NEVER_US) > due_us:
            self._due[at] = due_us
            self.time.at(due_us, self._tick, at, due_us)

    def _tick(self, at: int, due_us: int) -> None:
        if self._due.get(at) == due_us:
            del self._due[at]
            self._turn(at)

    def send(self, at: int, to: int, message: f.Message) -> None:
        """A frame from one to another."""
        now, size = self.time.now, wire.frame_bytes(message)
        if now - self._said.get((at, to), -IDLE_US) >= IDLE_US:
            self.tally.add("gateway", at, "fleet dials", now)
            size += self._hello_bytes
        self._said[at, to] = now
        self.tally.add("gateway", at, "fleet bytes", now, size)
        self.tally.add("gateway", at, "fleet messages", now)
        for listener in self.listeners:
            listener(at, to, message)
        for wait_us in self._links.fates(self.names[at], self.names[to], now):
            self.time.after(wait_us, self._arrives, at, to, message)

    def _arrives(self, sender: int, to: int, message: f.Message) -> None:
        core = self.cores.get(to)
        if core is None or not isinstance(message, f.Gossip):
            return
        new, _ = core.receive(self.names[sender], message, self.time.now)
        for word in new:
            self._heard(to, word)
        self._turn(to)
