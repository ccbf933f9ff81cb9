"""Simulates two scripted sources, and relays and readers of the stream of control, over links that fail, on one clock.

At every step it checks by true time that what is in force is a whole version of the history and never an older one, and
that a process which reports some age has in force all that was agreed by then.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from math import ceil
from random import Random

from oatlink.fleet.control.downstream import Downstream
from oatlink.fleet.control.drops import Drops
from oatlink.fleet.control.reader import Reader
from oatlink.fleet.control.sums import Sums
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.base import NEVER_US, Message
from oatlink.fleet.messages.effects import Effect, Note, Tell

MS, SECOND = 1_000, 1_000_000
DRIFT = 0.001
SCOPES = ("all", "region/r", "zone/r/z", "group/g", "group/h")


class Node:
    """A process: its clock, and what the shell does for its core."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name, self.is_up, self.plan_count, self.incarnation = world, name, True, 0, 0
        self.offset, self.rate = world.draw.randrange(10**9), world.draw.choice((1 - DRIFT, 1.0, 1 + DRIFT))

    def clock(self) -> int:
        return self.offset + int(self.world.now * self.rate)

    def schedule_wake(self, due_us: int) -> None:
        self.plan_count += 1
        plan = self.plan_count
        if due_us < NEVER_US:
            wake_us = max(self.world.now + 1, ceil((due_us - self.offset) / self.rate))
            self.world.schedule(wake_us, lambda: self.wake() if self.is_up and plan == self.plan_count else None)

    def wake(self) -> None:
        raise NotImplementedError

    def receive(self, sender: str, message: Message) -> None:
        raise NotImplementedError


class Source(Node):
    """A scripted source: it has each version as soon as that is agreed, unless it is cut off, and assigns seats."""

    def __init__(self, world: "World", name: str) -> None:
        super().__init__(world, name)
        self.tables = {scope: Table(scope, world.kept_bytes) for scope in SCOPES}
        self.sums = Sums(name, self.tables, (), 1, self.clock())
        self.children = Downstream(
            self.tables,
            self.sums,
            Drops(),
            64,
            self.age,
            lambda scopes: all(scope in self.tables for scope in scopes),
            self.tables.__contains__,
            1,
            self.clock(),
        )
        self.cut_us = -1
        self.seat_count = 0

    def age(self, _: int) -> int:
        return 0 if self.cut_us < 0 else ceil((self.world.now - self.cut_us) * (1 + DRIFT))

    def wake(self) -> None:
        self.carry_out(self.children.tick(self.clock()))

    def apply_change(self, scope: str, delta: c.Delta) -> None:
        self.tables[scope].apply(delta)
        self.children.scope_changed(scope, self.clock())
        self.wake()

    def receive(self, sender: str, message: Message) -> None:
        now = self.clock()
        match message:
            case c.Join():
                self.carry_out([Tell(sender, self.make_seat(sender, message))])
            case c.Subscribe():
                self.carry_out(self.children.subscribe(sender, message, now))
            case c.Report():
                self.carry_out(self.children.report(sender, message, now))
            case c.Leave():
                self.carry_out(self.children.remove(sender, message.incarnation))

    def make_seat(self, sender: str, join: c.Join) -> c.Seat:
        world = self.world
        world.joins[world.now // SECOND] += 1
        relays = [name for name, node in world.nodes.items() if name.startswith("relay") and name != join.lost]
        self.seat_count += 1
        upstreams = world.sources if join.relays or not relays else relays
        first = self.seat_count % len(upstreams)
        spare = upstreams[(first + 1) % len(upstreams)] if len(upstreams) > 1 else world.sources[0]
        return c.Seat(join.incarnation, c.Place(upstreams[first], "a"), c.Place(spare, "a"))

    def carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Tell):
                self.world.send(self.name, effect)
        self.schedule_wake(self.children.due_us)


class Process(Node):
    """A reader, or a relay if `relays` is over 0."""

    def __init__(self, world: "World", name: str, relays: int, groups: tuple[str, ...]) -> None:
        super().__init__(world, name)
        self.relays, self.groups = relays, groups
        self.notes: list[Note] = []
        self.start()

    def start(self) -> None:
        self.is_up, self.incarnation = True, self.incarnation + 1
        self.versions: dict[str, int] = {}
        sources = tuple(c.Place(source, "a") for source in self.world.sources)
        place, seed = c.Place(self.name, "a"), self.world.seed
        self.core = Reader(
            place, "r", "z", self.groups, self.incarnation, sources, self.relays, DRIFT, seed, self.clock()
        )
        self.known_peers: dict[str, None] = {}
        self.schedule_wake(self.core.due_us)

    def wake(self) -> None:
        self.carry_out(self.core.tick(self.clock()))

    def receive(self, sender: str, message: Message) -> None:
        self.carry_out(self.core.receive(sender, message, self.clock()))

    def carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, c.Known):
                self.known_peers.pop(effect.place.name, None)
                if not effect.forget:
                    self.known_peers[effect.place.name] = None
            elif isinstance(effect, Tell):
                assert effect.to not in self.world.nodes or effect.to in self.known_peers, (
                    "sent to a peer that the shell does not know"
                )
                self.world.send(self.name, effect)
            elif isinstance(effect, Note):
                self.notes.append(effect)
            elif isinstance(effect, c.InForce):
                assert effect.head.version > self.versions.get(effect.head.scope, 0), "reported as in force twice"
                self.versions[effect.head.scope] = effect.head.version
        for scope in self.scopes():
            head = self.core.head(scope)
            assert head.version == self.versions.get(scope, 0), "in force and not reported, or never in force"
            assert self.core.entries(scope) == self.world.history[scope][head.version][1]
        self.schedule_wake(self.core.due_us)

    def scopes(self) -> tuple[str, ...]:
        return (*SCOPES[:3], *(f"group/{group}" for group in self.groups))

    def age(self) -> int:
        return self.core.age_us(self.clock())

    def has_all(self) -> bool:
        return all(self.core.head(scope).version == len(self.world.history[scope]) - 1 for scope in self.scopes())


class World:
    """The simulated fleet. `fault_rate`: part of the messages that are lost, come twice, or come up to 900 ms late."""

    def __init__(
        self,
        seed: int,
        readers: int = 4,
        relays: int = 2,
        fault_rate: float = 0.0,
        kept_bytes: int = 4_000,
        groups: bool = True,
    ) -> None:
        self.seed, self.draw, self.now, self.serial = seed, Random(seed), 0, 0
        self.fault_rate, self.kept_bytes = fault_rate, kept_bytes
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.history: dict[str, list[tuple[int, dict[str, bytes]]]] = {scope: [(0, {})] for scope in SCOPES}
        self.joins: Counter[int] = Counter()
        self.message_counts: Counter[tuple[str, int]] = Counter()  # messages from one process in one second
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.delay_us: Callable[[str, str], int] = lambda sender, receiver: 0
        self.sent: list[tuple[str, str, Message]] = []
        self.sources = ("source-0", "source-1")
        self.nodes: dict[str, Node] = {}
        for name in self.sources:
            self.nodes[name] = Source(self, name)
        for number in range(relays):
            self.nodes[f"relay-{number}"] = Process(self, f"relay-{number}", 16, ())
        for number in range(readers):
            self.nodes[f"reader-{number}"] = Process(
                self, f"reader-{number}", 0, (("g",), ("h",), ())[number % 3] if groups else ()
            )

    def processes(self) -> list[Process]:
        return [node for node in self.nodes.values() if isinstance(node, Process) and node.is_up]

    def source(self, number: int) -> Source:
        node = self.nodes[f"source-{number}"]
        assert isinstance(node, Source)
        return node

    def schedule(self, at_us: int, action: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (at_us, self.serial, action))

    def run(self, us: int) -> None:
        end_us = self.now + us
        while self.queue and self.queue[0][0] <= end_us:
            self.now, _, action = heapq.heappop(self.queue)
            assert self.serial < 1_000_000, "a process is due without end"
            action()
        self.now = end_us
        self.check_ages()

    def run_in_steps(self, us: int, step_us: int = 250 * MS) -> None:
        for _ in range(us // step_us):
            self.run(step_us)

    def check_ages(self) -> None:
        """Check that each process has in force all that it claims to know by its age."""
        for process in self.processes():
            known_us = self.now - process.age()
            for scope in process.scopes():
                version = process.core.head(scope).version
                later = self.history[scope][version + 1 :]
                assert not later or later[0][0] > known_us, (
                    f"{process.name} claims an age of {process.age()} us and lacks {scope}"
                )

    def send(self, sender: str, tell: Tell) -> None:
        self.sent.append((sender, tell.to, tell.message))
        self.message_counts[sender, self.now // SECOND] += 1
        for _ in range(1 + (self.draw.random() < self.fault_rate)):
            if self.draw.random() < self.fault_rate or self.is_cut(sender, tell.to):
                continue
            late_us = self.draw.randrange(1, 900 * MS if self.draw.random() < self.fault_rate else 5 * MS)
            self.schedule(self.now + late_us + self.delay_us(sender, tell.to), lambda: self.deliver(sender, tell))

    def deliver(self, sender: str, tell: Tell) -> None:
        node = self.nodes.get(tell.to)
        if node is not None and node.is_up and not self.is_cut(sender, tell.to):
            node.receive(sender, tell.message)

    def commit(self, scope: str, *entries: c.Entry) -> None:
        """Agree on a version now."""
        state = dict(self.history[scope][-1][1])
        for entry in entries:
            state.pop(entry.key, None)
            if entry.value:
                state[entry.key] = entry.value
        self.history[scope].append((self.now, state))
        delta = c.Delta(0, len(self.history[scope]) - 1, entries)
        for name in self.sources:
            source = self.nodes[name]
            assert isinstance(source, Source)
            if source.is_up and source.cut_us < 0:
                source.apply_change(scope, delta)

    def commit_random(self, count: int = 1, size: int = 40) -> None:
        """Agree on random changes."""
        for _ in range(count):
            key, value = f"k{self.draw.randrange(60)}", self.draw.randbytes(size if self.draw.random() < 0.8 else 0)
            self.commit(self.draw.choice(SCOPES), c.Entry(key, value))

    def kill(self, name: str) -> None:
        self.nodes[name].is_up = False
        self.nodes[name].plan_count += 1

    def run_until_current(self, max_us: int) -> int:
        """Return how long it takes until all processes have the newest versions and an age within the bound."""
        began = self.now
        while not all(process.has_all() and process.age() < 5 * SECOND for process in self.processes()):
            self.run(100 * MS)
            assert self.now - began <= max_us, [process.core.rows(process.clock()) for process in self.processes()]
        return self.now - began
