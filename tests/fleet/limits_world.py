"""Nodes, clocks, links and leases, made of one seed: a world in which limits must hold. True time is microseconds."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from oatlink.fleet.gate import ADMITTED, GRANT_PENDING, Granted
from oatlink.fleet.limits.allowance import ONE
from oatlink.fleet.limits.asking import Asker
from oatlink.fleet.limits.home import Home
from oatlink.fleet.limits.node import Allowances
from oatlink.fleet.limits.shards import SHARDS, rank, shard_of
from oatlink.fleet.messages import Effect, Grants, NotHome, Returned, Tell, Tuned, Want

DRIFT = 0.01
LEASE_US = 2_000_000
STEP_US = 2_000
RULES: dict[str, tuple[float, float, float]] = {"a": (1000.0, 24.0, 0.2), "b": (600.0, 16.0, 0.25)}


@dataclass
class Machine:
    """One node: its clock, and its process (None where it is down)."""

    name: str
    rate: float
    offset: int
    gate: Allowances | None = None
    asker: Asker | None = None
    homes: dict[int, Home] = field(default_factory=dict)
    lease_until: dict[int, int] = field(default_factory=dict)  # by its own clock
    stopped_until: int = 0  # true time
    waiting: list[tuple[str, Tell]] = field(default_factory=list)
    greed: dict[str, float] = field(default_factory=dict)  # requests a second by name; taken at each step
    debt: dict[str, float] = field(default_factory=dict)
    starts: int = 0

    def clock(self, now: int) -> int:
        return self.offset + int(now * self.rate)


class World:
    """All of it. `chaos` decides what goes wrong; without it links take `way_us` and nothing is lost."""

    def __init__(self, seed: int, nodes: int = 4, drift: float = DRIFT) -> None:
        self.draw = Random(seed)
        self.drift = drift
        self.now = 0
        self.names = tuple(f"n{number}" for number in range(nodes))
        clocks = [(1 + drift * self.draw.uniform(-1, 1), self.draw.randrange(10**9)) for _ in self.names]
        self.machines = {name: Machine(name, *clock) for name, clock in zip(self.names, clocks, strict=True)}
        self.links: list[tuple[int, int, str, str, Tell]] = []
        self.sent = 0
        self.lost, self.doubled, self.slowest_us, self.way_us = 0.0, 0.0, 2_000, 1_000
        self.cut: dict[str, bool] = {}
        self.no_lease: tuple[str, int] = "", 0  # who does not reach the registers, until when
        self.holder: dict[int, tuple[str, int, int]] = {}  # shard: who, the lease's true end, fence
        self.hammer = True  # what is refused comes again at each step; else it goes elsewhere
        self.admitted: list[tuple[int, str, str]] = []
        self.rights = 0.0  # the most that live buckets together were ever allowed, as a part of the whole
        # Few kinds of fault a world: all of them at once leave nothing whole that could be broken.
        self.faults = self.draw.sample(FAULTS, self.draw.choice((2, 3, 4)))
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        one = self.machines[name]
        one.starts += 1
        one.gate = Allowances(RULES, len(self.names), one.starts)
        one.asker = Asker(name, one.starts)
        one.homes = {shard: Home(shard, RULES, self.names, self.drift) for shard in range(SHARDS)}
        one.lease_until.clear()
        one.waiting.clear()

    def stop_process(self, name: str) -> None:
        one = self.machines[name]
        one.gate = one.asker = None
        one.homes = {}
        one.lease_until.clear()

    # ---- The lease: a perfect arbiter, as tight as the rules allow ----

    def leases(self) -> None:
        for shard in {shard_of(name): 0 for name in RULES}:
            who, end, fence = self.holder.get(shard, ("", 0, 0))
            holder = self.machines.get(who)
            if holder is not None and self._reaches(who) and shard in holder.lease_until and self.now < end:
                if end - self.now < LEASE_US * 3 // 4:
                    self._lease(shard, who, fence)
            elif self.now >= end:
                able = sorted((rank(name, shard, self.names), name) for name in self.names if self._reaches(name))
                if able:
                    name = able[0][1] if self.draw.random() < 0.7 else self.draw.choice(able)[1]
                    self._lease(shard, name, fence + 1)
                    one = self.machines[name]
                    one.homes[shard].began(fence + 1, one.clock(self.now))

    def _lease(self, shard: int, name: str, fence: int) -> None:
        one = self.machines[name]
        asked = one.clock(self.now)
        one.lease_until[shard] = asked + LEASE_US
        # The first true moment at which the holder's own clock has reached the end.
        self.holder[shard] = name, self.now + int(LEASE_US / one.rate) + 2, fence

    def _reaches(self, name: str) -> bool:
        one = self.machines[name]
        alive = one.gate is not None and one.stopped_until <= self.now
        return alive and not self.cut.get(name) and (name != self.no_lease[0] or self.now >= self.no_lease[1])

    # ---- Messages ----

    def carry(self, name: str, effects: list[Effect]) -> None:
        one = self.machines[name]
        for effect in effects:
            if isinstance(effect, Tuned):
                if one.gate is not None and isinstance(effect.news, Granted):
                    one.gate.hear(effect.news, one.clock(self.now))
            elif isinstance(effect, Tell):
                for _ in range(2 if self.draw.random() < self.doubled else 1):
                    away = effect.to != name
                    if away and (self.cut.get(name) or self.cut.get(effect.to) or self.draw.random() < self.lost):
                        continue
                    self.sent += 1
                    way = self.way_us + self.draw.randrange(self.slowest_us) if away else 50
                    heappush(self.links, (self.now + way, self.sent, name, effect.to, effect))

    def deliver(self, sender: str, to: str, effect: Tell) -> None:
        one = self.machines[to]
        if one.asker is None:
            return
        if one.stopped_until > self.now:
            one.waiting.append((sender, effect))
            return
        message, clock = effect.message, one.clock(self.now)
        if isinstance(message, Want):
            home = one.homes[message.shard]
            if message.shard in one.lease_until:
                self.carry(to, home.want(sender, message, one.lease_until[message.shard], clock))
            else:
                self.carry(to, [Tell(sender, NotHome(message.ask, message.shard))])
        elif isinstance(message, Returned):
            self.carry(to, one.homes[message.shard].returned(sender, message, clock))
        elif isinstance(message, Grants | NotHome):
            self.carry(to, one.asker.receive(sender, message, clock))

    # ---- Time ----

    def run(self, us: int, chaos: Callable[["World"], None] | None = None) -> None:
        end = self.now + us
        while self.now < end:
            self.now += STEP_US
            if chaos is not None:
                chaos(self)
            self.leases()
            while self.links and self.links[0][0] <= self.now:
                _, _, sender, to, effect = heappop(self.links)
                self.deliver(sender, to, effect)
            for one in self.machines.values():
                if one.gate is not None and one.stopped_until <= self.now:
                    self.act(one)
            self.look()

    def look(self) -> None:
        """What nobody in the world can see: all live buckets at one moment. A stopped process's are live too."""
        for name, (rate, burst, _) in RULES.items():
            rates = bursts = 0
            for one in self.machines.values():
                use = one.gate.active.get(name) if one.gate is not None else None
                if use is not None:
                    live = one.clock(self.now) < use.until_us
                    rates += use.floor.rate + (use.grant.rate if live else 0)
                    bursts += use.floor.burst + (use.grant.burst if live else 0)
            self.rights = max(self.rights, rates / (rate * ONE), bursts / (burst * ONE))

    def act(self, one: Machine) -> None:
        waiting, one.waiting = one.waiting, []
        for sender, effect in waiting:
            self.deliver(sender, one.name, effect)
        assert one.gate is not None and one.asker is not None
        held = False
        clock = one.clock(self.now)
        for name, rate in one.greed.items():
            debt = min(one.debt.get(name, 0.0) + rate * STEP_US / 1e6, max(2.0, rate * 0.03))
            while debt >= 1:
                answer = one.gate.admit(name, 1, clock)
                held = held or answer == GRANT_PENDING
                if answer == ADMITTED:
                    self.admitted.append((self.now, name, one.name))
                elif self.hammer:
                    break
                debt -= 1
            one.debt[name] = debt
        if held or clock >= one.asker.due_us:
            homes = {shard: who for shard, (who, _, _) in self.holder.items()}
            self.carry(one.name, one.asker.look(one.gate.demands(clock), homes, clock))

    # ---- Judgement ----

    def excess(self, name: str) -> float:
        """The most that any window has above rate x W x (1 + drift): what a bucket of that rate would have held."""
        rate = RULES[name][0] * (1 + self.drift) / 1e6
        level = most = 0.0
        last = 0
        for at, which, _ in self.admitted:
            if which == name:
                level, last = max(0.0, level - rate * (at - last)) + 1, at
                most = max(most, level)
        return most

    def served(self, name: str, since: int, until: int, node: str = "") -> float:
        """Requests a second that were let in between two true times."""
        mine = [at for at, which, who in self.admitted if which == name and node in ("", who)]
        return sum(since < at <= until for at in mine) * 1e6 / (until - since)


FAULTS = ("crash", "restart", "stop", "cut", "no lease", "loss", "slow", "greed", "greed of one")


def trouble(world: World) -> None:
    """Any of the world's faults may happen at any step; about twenty a second."""
    draw = world.draw
    if draw.random() > 0.04:
        return
    name, kind = draw.choice(world.names), draw.choice(world.faults)
    one = world.machines[name]
    if one.gate is None:
        world.start(name)
    elif kind == "crash":
        world.stop_process(name)
    elif kind == "restart":
        world.start(name)
    elif kind == "stop":
        one.stopped_until = world.now + draw.choice((50_000, 400_000, 1_500_000, 2_500_000))
    elif kind == "cut":
        world.cut[name] = not world.cut.get(name) and draw.random() < 0.6
    elif kind == "no lease":
        if world.now >= world.no_lease[1]:  # a home, for long enough to lose its lease and be asked meanwhile
            world.no_lease = draw.choice([who for who, _, _ in world.holder.values()] or [name]), world.now + 2_500_000
    elif kind == "loss":
        world.lost, world.doubled = draw.choice((0.0, 0.1, 0.5)), draw.choice((0.0, 0.2))
    elif kind == "slow":
        world.slowest_us = draw.choice((2_000, 50_000, 700_000, 700_000))
    elif kind == "greed":
        one.greed = {which: draw.choice((0.0, 5.0, 300.0, 3_000.0)) for which in RULES}
    else:  # all rest, and one has it all: buckets fill, and what one had goes to another
        for other in world.machines.values():
            other.greed = dict.fromkeys(RULES, 3_000.0 if other is one else draw.choice((0.0, 5.0)))
