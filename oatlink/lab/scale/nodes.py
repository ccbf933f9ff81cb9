"""Hollow nodes of a fleet: the real cores of membership and verdicts, links in counts. No I/O.

What may live here: what the shell's transport does, in bytes and dials. A way to a peer is dialled when something is
said on it, and again after 30 s without a word. Cores are ticked when they are due, not each tenth of a second as the
shell does: that takes the same decisions, for an idle node has nothing due in between.

How nodes are sampled. Whole ones have the cores and see all names. The others are represented by what they say: an
`Alive` with as many words as a view tells, at the measured pace, from a node drawn at random. What whole nodes say to
them is counted and not answered, as nothing is answered that an idle node says.
"""

from collections.abc import Iterable
from functools import partial
from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.membership.view import ALIVE_US, FAN_OUT, MAX_HEARD
from oatlink.fleet.parts.verdicts import Verdicts
from oatlink.lab.fleetsim.links import Links
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale import wire
from oatlink.lab.scale.tally import Tally
from oatlink.settings.fleet import Fleet, FleetNode

IDLE_US = 30_250_000  # a link without a word is closed then (fleet/shell/outbound_connection.py, `IDLE_TICKS`)
SPREAD_US = 300_000
LEAST_TICK_US = 1_000


def names_of(nodes: int) -> tuple[str, ...]:
    """Names as long as a site's are."""
    return tuple(f"gateway-{at:04d}" for at in range(nodes))


def fleet_of(names: tuple[str, ...], keepers: int = 5) -> Fleet:
    """The fleet part, as the first node has it."""
    nodes = tuple(FleetNode(name, f"10.{at >> 8}.{at & 255}.1:7400", at < keepers) for at, name in enumerate(names))
    return Fleet(names[0], nodes, ("-",), "-")


class Nodes:
    """Some whole nodes among so many."""

    def __init__(self, names: tuple[str, ...], whole: Iterable[int], time: Timeline, tally: Tally, seed: int) -> None:
        self.names, self.time, self.tally = names, time, tally
        self._hello_bytes = wire.hello_bytes(names[len(names) // 2])
        self._places = {name: at for at, name in enumerate(self.names)}
        self._links, self._fleet = Links(seed), fleet_of(self.names)
        self.cores: dict[int, Verdicts] = {}
        self._seed = seed
        self._said: dict[tuple[int, int], int] = {}
        self._due: dict[int, int] = {}
        chosen = list(whole)
        count = len(names)
        self._weight = count / len(chosen)
        for at in chosen:
            time.at(Random(f"{seed}/{at}/start").randrange(SPREAD_US), self._start, at)
        if len(chosen) < count:
            for at in chosen:
                time.at(SPREAD_US, self._represented, at, Random(f"{seed}/{at}/others"))

    def _start(self, at: int) -> None:
        draw = Random(f"{self._seed}/{at}/node")
        fleet = self._fleet_at(at)
        self.cores[at] = Verdicts(fleet, draw.getrandbits(48), draw.getrandbits(48), self.time.now)
        self._plan(at)

    def _fleet_at(self, at: int) -> Fleet:
        one = self._fleet
        return Fleet(self.names[at], one.nodes, one.key_files, one.state_dir)

    # ---- Whole nodes ----

    def _plan(self, at: int) -> None:
        due_us = max(self.cores[at].due_us, self.time.now + LEAST_TICK_US)
        if due_us < f.NEVER_US and self._due.get(at, f.NEVER_US) > due_us:
            self._due[at] = due_us
            self.time.at(due_us, self._tick, at, due_us)

    def _tick(self, at: int, due_us: int) -> None:
        if self._due.get(at) == due_us:
            del self._due[at]
            self._carry(at, self.cores[at].tick(self.time.now))

    def _carry(self, at: int, effects: list[f.Effect]) -> None:
        for one in effects:
            if isinstance(one, f.Tell):
                self._send(at, self._places[one.to], one.message)
        self._plan(at)

    def _send(self, at: int, to: int, message: f.Message) -> None:
        now, size = self.time.now, wire.frame_bytes(message)
        count = partial(self.tally.add, "gateway", at, at_us=now, weight=self._weight)
        if now - self._said.get((at, to), -IDLE_US) >= IDLE_US:
            count(kind="fleet dials")
            size += self._hello_bytes
        self._said[at, to] = now
        count(kind="fleet bytes", amount=size)
        count(kind="fleet messages")
        for wait_us in self._links.fates(self.names[at], self.names[to], now):
            self.time.after(wait_us, self._arrives, self.names[at], to, message)

    def _arrives(self, sender: str, to: int, message: f.Message) -> None:
        core = self.cores.get(to)
        if core is not None:
            self._carry(to, core.take(sender, message, self.time.now) or [])

    # ---- Represented ones ----

    def _represented(self, to: int, draw: Random) -> None:
        """One more message to a whole node from one that is not there."""
        count = len(self.names)
        sender = draw.randrange(count)
        if sender not in self.cores and to in self.cores:
            places = draw.sample(range(count), min(MAX_HEARD, count - 1))
            words = tuple((place, 1 + draw.randrange(ALIVE_US // 1_000)) for place in places)
            self._arrives(self.names[sender], to, f.Alive(draw.getrandbits(48), False, words))
        self.time.after(1 + round(draw.expovariate(FAN_OUT / ALIVE_US)), self._represented, to, draw)
