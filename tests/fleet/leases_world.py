"""Nodes with clocks of their own that want one lease, stop and go on; a register whose answers come late or never."""

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
    """One node: a clock that runs at its own rate, and what came while it stood still."""

    def __init__(self, world: "World", name: str, rank: int) -> None:
        self.world, self.name, self.rank = world, name, rank
        self.rate = world.rng.choice((1 - world.drift, 1.0, 1 + world.drift))
        self.offset = world.rng.randrange(10**9)
        self.incarnation = 1_000 * rank  # so that two processes of one name differ
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
            self.carry(self.lease.tick(self.clock()))

    def carry(self, effects: list[f.Effect]) -> None:
        """Do what the lease asks for, and tick it next when it says and not before."""
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
        self.carry(self.lease.answered(answer, self.clock()))


@dataclass
class World:
    """One lease over true time, in microseconds."""

    seed: int
    names: tuple[str, ...] = ("n0", "n1", "n2")
    drift: float = 0.1
    holder: Callable[..., Holder] = Holder
    late: float = 0.3  # part of what is asked that is slow or has no answer in time
    now: int = 0
    fence: int = 0
    value: bytes = b""

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = 0
        self.wrong: list[str] = []
        self.changes = self.reads = 0
        self.held: dict[str, int] = {}  # events at which each node held it
        self.fences: list[tuple[int, str]] = []  # holdings in the order of true time
        self.nodes = [Node(self, name, rank) for rank, name in enumerate(self.names)]

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (when, self.serial, what))

    def later(self, delay: int, what: Callable[[], None]) -> None:
        self.at(self.now + delay, what)

    def delay(self) -> int:
        return self.rng.randrange(1, 900 * MS if self.rng.random() < self.late else 5 * MS)

    def serve(self, node: Node, incarnation: int, asked: f.Read | f.Change) -> None:
        """A register that is agreed on: each thing asked happens at one moment, or never, and is answered later."""
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
            # What was given up may happen yet, long after.
            late = self.rng.random() < self.late / 4
            self.later(self.rng.randrange(1, 4_000 * MS) if late else self.delay(), happen)
        self.later(PATIENCE_US, lambda: answer("unknown", 0, b""))

    def run(self, span: int) -> None:
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
            self.look()
        self.now = end

    def look(self) -> None:
        """What must hold at each moment of true time."""
        here = [one for one in self.nodes if one.holds()]
        if len(here) > 1:
            self.wrong.append(f"{self.now}: held by {[one.name for one in here]}")
        for one in here:
            self.held[one.name] = self.held.get(one.name, 0) + 1
            holding = one.lease.fence, one.name
            if self.fences and holding < self.fences[-1] and holding != self.fences[-1]:
                self.wrong.append(f"{self.now}: holding {holding} after {self.fences[-1]}")
            if not self.fences or holding != self.fences[-1]:
                self.fences.append(holding)

    def trouble(self, steps: int) -> None:
        """Stops, restarts, releases and changes of mind, until something is wrong."""
        for _ in range(steps):
            if self.wrong:
                return
            node, what = self.rng.choice(self.nodes), self.rng.random()
            if what < 0.25:
                node.stopped_until = self.now + self.rng.randrange(3 * TERM_US)
            elif what < 0.35:
                node.start()
            elif self.now >= node.stopped_until:
                if what < 0.5:
                    node.carry(node.lease.release(node.clock()))
                elif what < 0.9:
                    node.lease.wanting = True
                    node.carry(node.lease.tick(node.clock()))
            self.look()
            self.run(self.rng.randrange(1_500 * MS))
