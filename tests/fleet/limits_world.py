"""A simulation of nodes, clocks, links and leases from one seed, in which limits must hold. True time is in us."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from oatlink.fleet.gate import ADMITTED, GRANT_PENDING, Granted
from oatlink.fleet.limits.allowance import REQUEST_UNITS
from oatlink.fleet.limits.coordinator import LimitCoordinator
from oatlink.fleet.limits.node import Allowances
from oatlink.fleet.limits.requester import GrantRequester
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
    requester: GrantRequester | None = None
    coordinators: dict[int, LimitCoordinator] = field(default_factory=dict)
    lease_until: dict[int, int] = field(default_factory=dict)  # by its own clock
    stopped_until: int = 0  # true time
    waiting: list[tuple[str, Tell]] = field(default_factory=list)
    load: dict[str, float] = field(default_factory=dict)  # requests per second by allowance, sent at each step
    backlog: dict[str, float] = field(default_factory=dict)  # requests that are due, by allowance
    starts: int = 0

    def clock(self, now: int) -> int:
        return self.offset + int(now * self.rate)


class World:
    """The whole simulation. Without faults a message takes `way_us` and a random time, and none is lost."""

    def __init__(self, seed: int, nodes: int = 4, drift: float = DRIFT) -> None:
        self.draw = Random(seed)
        self.drift = drift
        self.now = 0
        self.names = tuple(f"n{number}" for number in range(nodes))
        clocks = [(1 + drift * self.draw.uniform(-1, 1), self.draw.randrange(10**9)) for _ in self.names]
        self.machines = {name: Machine(name, *clock) for name, clock in zip(self.names, clocks, strict=True)}
        self.links: list[tuple[int, int, str, str, Tell]] = []
        self.sent = 0
        self.lost, self.duplicated, self.slowest_us, self.way_us = 0.0, 0.0, 2_000, 1_000
        self.cut: dict[str, bool] = {}
        self.no_lease: tuple[str, int] = "", 0  # which node does not reach the registers, until when
        self.holder: dict[int, tuple[str, int, int]] = {}  # by shard: node, true end of the lease, fence
        self.hammer = True  # refused requests are repeated at each step; otherwise they are dropped
        self.admitted: list[tuple[int, str, str]] = []
        self.rights = 0.0  # highest sum ever of the rates or bursts of live buckets, as a fraction of the allowance
        # Only some kinds of fault per world: with all at once, hardly anything works that could break a limit.
        self.faults = self.draw.sample(FAULTS, self.draw.choice((2, 3, 4)))
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        machine = self.machines[name]
        machine.starts += 1
        machine.gate = Allowances(RULES, len(self.names), machine.starts)
        machine.requester = GrantRequester(name, machine.starts)
        machine.coordinators = {
            shard: LimitCoordinator(shard, RULES, self.names, self.drift) for shard in range(SHARDS)
        }
        machine.lease_until.clear()
        machine.waiting.clear()

    def stop_process(self, name: str) -> None:
        machine = self.machines[name]
        machine.gate = machine.requester = None
        machine.coordinators = {}
        machine.lease_until.clear()

    # ---- The lease: an ideal arbiter that hands it on as early as the rules allow ----

    def grant_leases(self) -> None:
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
                    machine = self.machines[name]
                    machine.coordinators[shard].began(fence + 1, machine.clock(self.now))

    def _lease(self, shard: int, name: str, fence: int) -> None:
        machine = self.machines[name]
        asked = machine.clock(self.now)
        machine.lease_until[shard] = asked + LEASE_US
        # The first moment of true time at which the holder's own clock has reached the end.
        self.holder[shard] = name, self.now + int(LEASE_US / machine.rate) + 2, fence

    def _reaches(self, name: str) -> bool:
        machine = self.machines[name]
        alive = machine.gate is not None and machine.stopped_until <= self.now
        return alive and not self.cut.get(name) and (name != self.no_lease[0] or self.now >= self.no_lease[1])

    # ---- Messages ----

    def carry_out(self, name: str, effects: list[Effect]) -> None:
        machine = self.machines[name]
        for effect in effects:
            if isinstance(effect, Tuned):
                if machine.gate is not None and isinstance(effect.news, Granted):
                    machine.gate.hear(effect.news, machine.clock(self.now))
            elif isinstance(effect, Tell):
                for _ in range(2 if self.draw.random() < self.duplicated else 1):
                    away = effect.to != name
                    if away and (self.cut.get(name) or self.cut.get(effect.to) or self.draw.random() < self.lost):
                        continue
                    self.sent += 1
                    way = self.way_us + self.draw.randrange(self.slowest_us) if away else 50
                    heappush(self.links, (self.now + way, self.sent, name, effect.to, effect))

    def deliver(self, sender: str, to: str, effect: Tell) -> None:
        machine = self.machines[to]
        if machine.requester is None:
            return
        if machine.stopped_until > self.now:
            machine.waiting.append((sender, effect))
            return
        message, clock = effect.message, machine.clock(self.now)
        if isinstance(message, Want):
            coordinator = machine.coordinators[message.shard]
            if message.shard in machine.lease_until:
                self.carry_out(to, coordinator.want(sender, message, machine.lease_until[message.shard], clock))
            else:
                self.carry_out(to, [Tell(sender, NotHome(message.ask, message.shard))])
        elif isinstance(message, Returned):
            self.carry_out(to, machine.coordinators[message.shard].returned(sender, message, clock))
        elif isinstance(message, Grants | NotHome):
            self.carry_out(to, machine.requester.receive(sender, message, clock))

    # ---- Time ----

    def run(self, us: int, faults: Callable[["World"], None] | None = None) -> None:
        end = self.now + us
        while self.now < end:
            self.now += STEP_US
            if faults is not None:
                faults(self)
            self.grant_leases()
            while self.links and self.links[0][0] <= self.now:
                _, _, sender, to, effect = heappop(self.links)
                self.deliver(sender, to, effect)
            for machine in self.machines.values():
                if machine.gate is not None and machine.stopped_until <= self.now:
                    self.act(machine)
            self.record_rights()

    def record_rights(self) -> None:
        """Sum up all live buckets at one moment, including those of stopped processes, which no node can see."""
        for name, (rate, burst, _) in RULES.items():
            rates = bursts = 0
            for machine in self.machines.values():
                use = machine.gate.active.get(name) if machine.gate is not None else None
                if use is not None:
                    live = machine.clock(self.now) < use.until_us
                    rates += use.floor.rate + (use.grant.rate if live else 0)
                    bursts += use.floor.burst + (use.grant.burst if live else 0)
            self.rights = max(self.rights, rates / (rate * REQUEST_UNITS), bursts / (burst * REQUEST_UNITS))

    def act(self, machine: Machine) -> None:
        waiting, machine.waiting = machine.waiting, []
        for sender, effect in waiting:
            self.deliver(sender, machine.name, effect)
        assert machine.gate is not None and machine.requester is not None
        held = False
        clock = machine.clock(self.now)
        for name, rate in machine.load.items():
            backlog = min(machine.backlog.get(name, 0.0) + rate * STEP_US / 1e6, max(2.0, rate * 0.03))
            while backlog >= 1:
                answer = machine.gate.admit(name, 1, clock)
                held = held or answer == GRANT_PENDING
                if answer == ADMITTED:
                    self.admitted.append((self.now, name, machine.name))
                elif self.hammer:
                    break
                backlog -= 1
            machine.backlog[name] = backlog
        if held or clock >= machine.requester.due_us:
            coordinators = {shard: who for shard, (who, _, _) in self.holder.items()}
            self.carry_out(machine.name, machine.requester.request(machine.gate.demands(clock), coordinators, clock))

    # ---- Checks ----

    def excess(self, name: str) -> float:
        """Return the largest excess of any window W over rate x W x (1 + drift): the burst that it needed."""
        rate = RULES[name][0] * (1 + self.drift) / 1e6
        level = most = 0.0
        last = 0
        for at, which, _ in self.admitted:
            if which == name:
                level, last = max(0.0, level - rate * (at - last)) + 1, at
                most = max(most, level)
        return most

    def served(self, name: str, since: int, until: int, node: str = "") -> float:
        """Return the requests per second admitted between two true times."""
        times = [at for at, which, who in self.admitted if which == name and node in ("", who)]
        return sum(since < at <= until for at in times) * 1e6 / (until - since)


FAULTS = ("crash", "restart", "stop", "cut", "no lease", "loss", "slow", "greed", "greed of one")


def inject_faults(world: World) -> None:
    """Inject one of the world's kinds of fault, or none; about twenty per second."""
    draw = world.draw
    if draw.random() > 0.04:
        return
    name, kind = draw.choice(world.names), draw.choice(world.faults)
    machine = world.machines[name]
    if machine.gate is None:
        world.start(name)
    elif kind == "crash":
        world.stop_process(name)
    elif kind == "restart":
        world.start(name)
    elif kind == "stop":
        machine.stopped_until = world.now + draw.choice((50_000, 400_000, 1_500_000, 2_500_000))
    elif kind == "cut":
        world.cut[name] = not world.cut.get(name) and draw.random() < 0.6
    elif kind == "no lease":
        if world.now >= world.no_lease[1]:  # a coordinator, long enough that it loses its lease and is asked meanwhile
            world.no_lease = draw.choice([who for who, _, _ in world.holder.values()] or [name]), world.now + 2_500_000
    elif kind == "loss":
        world.lost, world.duplicated = draw.choice((0.0, 0.1, 0.5)), draw.choice((0.0, 0.2))
    elif kind == "slow":
        world.slowest_us = draw.choice((2_000, 50_000, 700_000, 700_000))
    elif kind == "greed":
        machine.load = {which: draw.choice((0.0, 5.0, 300.0, 3_000.0)) for which in RULES}
    else:  # the load moves to one node while the others rest: buckets fill, and grants move to another node
        for other in world.machines.values():
            other.load = dict.fromkeys(RULES, 3_000.0 if other is machine else draw.choice((0.0, 5.0)))
