"""Simulated nodes with their own clocks that want one lease and pause, and a register that answers late or never."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.leases.holder import Holder

MS = 1_000
TERM_US = 2_000 * MS
PATIENCE_US = 1_500 * MS


class Node:
    """One node with a clock that runs at its own rate. What arrives while it is stopped is handled afterwards."""

    def __init__(self, world: "World", name: str, rank: int) -> None:
        self.world, self.name, self.rank = world, name, rank
        self.rate = world.rng.choice((1 - world.drift, 1.0, 1 + world.drift))
        self.offset = world.rng.randrange(10**9)
        self.incarnation = 1_000 * rank  # so that two processes with the same name differ
        self.stopped_until = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        world, us = self.world, (self.name, self.incarnation)
        self.lease = world.holder("lease", *us, TERM_US, world.drift, world.seed, self.rank)
        self.lease.wanting = True
        self.plans = 0
        self.wake(self.incarnation, 0)

    def clock(self) -> int:
        return self.offset + int(self.world.now * self.rate)

    def holds(self) -> bool:
        return self.lease.holds(self.clock())

    def wake(self, incarnation: int, plan: int) -> None:
        if incarnation != self.incarnation or plan != self.plans:
            return
        if self.world.now < self.stopped_until:
            self.world.at(self.stopped_until, lambda: self.wake(incarnation, plan))
        else:
            self.carry_out(self.lease.tick(self.clock()))

    def carry_out(self, effects: list[f.Effect]) -> None:
        """Carry out the effects of the lease, and tick it next at its own due time and not before."""
        for one in effects:
            if isinstance(one, f.Read | f.Change):
                self.world.serve(self, self.incarnation, one)
        self.plans += 1
        incarnation, plan = self.incarnation, self.plans
        due = ceil((self.lease.due_us - self.offset) / self.rate)
        self.world.at(max(due, self.world.now + 1), lambda: self.wake(incarnation, plan))

    def hear(self, incarnation: int, answer: f.Answer) -> None:
        if incarnation != self.incarnation:
            return
        if self.world.now < self.stopped_until:
            self.world.at(self.stopped_until, lambda: self.hear(incarnation, answer))
            return
        self.carry_out(self.lease.answered(answer, self.clock()))


@dataclass
class World:
    """One lease, with true time in microseconds."""

    seed: int
    names: tuple[str, ...] = ("n0", "n1", "n2")
    drift: float = 0.1
    holder: Callable[..., Holder] = Holder
    late: float = 0.3  # fraction of reads and changes that are slow or have no answer in time
    now: int = 0
    fence: int = 0
    value: bytes = b""

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.violations: list[str] = []
        self.changes = self.reads = 0
        self.held: dict[str, int] = {}  # number of events at which each node held the lease
        self.fences: list[tuple[int, str]] = []  # (fence, node) of each holding, in the order of true time
        self.nodes = [Node(self, name, rank) for rank, name in enumerate(self.names)]

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (when, self.event_count, action))

    def later(self, delay: int, action: Callable[[], None]) -> None:
        self.at(self.now + delay, action)

    def delay(self) -> int:
        return self.rng.randrange(1, 900 * MS if self.rng.random() < self.late else 5 * MS)

    def serve(self, node: Node, incarnation: int, asked: f.Read | f.Change) -> None:
        """An agreed register: each read or change happens at one moment, or never, and is answered later."""
        asked_us, run = node.clock(), incarnation
        self.reads += isinstance(asked, f.Read)
        self.changes += isinstance(asked, f.Change)
        answered: list[bool] = []

        def answer(how: str, fence: int, value: bytes) -> None:
            if not answered:
                answered.append(True)
                node.hear(run, f.Answer(asked.ask, asked.key, how, fence, value, asked_us))

        def happen() -> None:
            if isinstance(asked, f.Read):
                result = "found", self.fence, self.value
            elif asked.fence == self.fence:
                self.fence, self.value = self.fence + 1, asked.value
                result = "changed", self.fence, self.value
            else:
                result = "differs", self.fence, self.value
            if self.rng.random() >= self.late / 2:
                self.later(self.delay(), lambda: answer(*result))

        if self.rng.random() >= self.late / 4:
            # A change that was given up may still happen long afterwards.
            late = self.rng.random() < self.late / 4
            self.later(self.rng.randrange(1, 4_000 * MS) if late else self.delay(), happen)
        self.later(PATIENCE_US, lambda: answer("unknown", 0, b""))

    def run(self, span: int) -> None:
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
            self.check()
        self.now = end

    def check(self) -> None:
        """Check what must hold at each moment of true time."""
        holders = [node for node in self.nodes if node.holds()]
        if len(holders) > 1:
            self.violations.append(f"{self.now}: held by {[node.name for node in holders]}")
        for node in holders:
            self.held[node.name] = self.held.get(node.name, 0) + 1
            holding = node.lease.fence, node.name
            if self.fences and holding < self.fences[-1] and holding != self.fences[-1]:
                self.violations.append(f"{self.now}: holding {holding} after {self.fences[-1]}")
            if not self.fences or holding != self.fences[-1]:
                self.fences.append(holding)

    def inject_faults(self, steps: int) -> None:
        """Stop, restart and release at random, and want the lease again, until a violation is found."""
        for _ in range(steps):
            if self.violations:
                return
            node, draw = self.rng.choice(self.nodes), self.rng.random()
            if draw < 0.25:
                node.stopped_until = self.now + self.rng.randrange(3 * TERM_US)
            elif draw < 0.35:
                node.start()
            elif self.now >= node.stopped_until:
                if draw < 0.5:
                    node.carry_out(node.lease.release(node.clock()))
                elif draw < 0.9:
                    node.lease.wanting = True
                    node.carry_out(node.lease.tick(node.clock()))
            self.check()
            self.run(self.rng.randrange(1_500 * MS))
