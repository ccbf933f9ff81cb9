"""Two scripted sources, relays and readers of the stream of control on one simulated clock, over links that fail.

It checks at every step, by true time: what is in force is a whole version of the history, never one before; and whoever
says that he knows all up to some age has in force all that was agreed by then.
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
            at = max(self.world.now + 1, ceil((due_us - self.offset) / self.rate))
            self.world.schedule(at, lambda: self.wake() if self.is_up and plan == self.plan_count else None)

    def wake(self) -> None:
        raise NotImplementedError

    def receive(self, sender: str, message: Message) -> None:
        raise NotImplementedError


class Source(Node):
    """Scripted: it has each version when it is agreed, unless it is cut off, and seats who asks."""

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
            lambda scopes: all(one in self.tables for one in scopes),
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
        relays = [name for name, one in world.nodes.items() if name.startswith("relay") and name != join.lost]
        self.seat_count += 1
        others = world.sources if join.relays or not relays else relays
        first = self.seat_count % len(others)
        spare = others[(first + 1) % len(others)] if len(others) > 1 else world.sources[0]
        return c.Seat(join.incarnation, c.Place(others[first], "a"), c.Place(spare, "a"))

    def carry_out(self, effects: list[Effect]) -> None:
        for one in effects:
            if isinstance(one, Tell):
                self.world.send(self.name, one)
        self.schedule_wake(self.children.due_us)


class Process(Node):
    """A reader, or a relay where `relays` is over 0."""

    def __init__(self, world: "World", name: str, relays: int, groups: tuple[str, ...]) -> None:
        super().__init__(world, name)
        self.relays, self.groups = relays, groups
        self.notes: list[Note] = []
        self.start()

    def start(self) -> None:
        self.is_up, self.incarnation = True, self.incarnation + 1
        self.versions: dict[str, int] = {}
        sources = tuple(c.Place(one, "a") for one in self.world.sources)
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
        for one in effects:
            if isinstance(one, c.Known):
                self.known_peers.pop(one.place.name, None)
                if not one.forget:
                    self.known_peers[one.place.name] = None
            elif isinstance(one, Tell):
                assert one.to not in self.world.nodes or one.to in self.known_peers, (
                    "spoke to somebody that the shell does not know"
                )
                self.world.send(self.name, one)
            elif isinstance(one, Note):
                self.notes.append(one)
            elif isinstance(one, c.InForce):
                assert one.head.version > self.versions.get(one.head.scope, 0), "told as in force again"
                self.versions[one.head.scope] = one.head.version
        for scope in self.scopes():
            head = self.core.head(scope)
            assert head.version == self.versions.get(scope, 0), "in force and not told, or never in force"
            assert self.core.entries(scope) == self.world.history[scope][head.version][1]
        self.schedule_wake(self.core.due_us)

    def scopes(self) -> tuple[str, ...]:
        return (*SCOPES[:3], *(f"group/{one}" for one in self.groups))

    def age(self) -> int:
        return self.core.age_us(self.clock())

    def has_all(self) -> bool:
        return all(self.core.head(scope).version == len(self.world.history[scope]) - 1 for scope in self.scopes())


class World:
    """`loss`, `double`, `late`: parts of all words that are lost, come twice, come up to 900 ms later than others."""

    def __init__(
        self, seed: int, readers: int = 4, relays: int = 2, trouble: float = 0.0, kept: int = 4_000, groups: bool = True
    ) -> None:
        self.seed, self.draw, self.now, self.serial = seed, Random(seed), 0, 0
        self.fault_rate, self.kept_bytes = trouble, kept
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.history: dict[str, list[tuple[int, dict[str, bytes]]]] = {scope: [(0, {})] for scope in SCOPES}
        self.joins: Counter[int] = Counter()
        self.message_counts: Counter[tuple[str, int]] = Counter()  # words from one process in one second
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.delay_us: Callable[[str, str], int] = lambda one, other: 0
        self.sent: list[tuple[str, str, Message]] = []
        self.sources = ("source-0", "source-1")
        self.nodes: dict[str, Node] = {}
        for name in self.sources:
            self.nodes[name] = Source(self, name)
        for n in range(relays):
            self.nodes[f"relay-{n}"] = Process(self, f"relay-{n}", 16, ())
        for n in range(readers):
            self.nodes[f"reader-{n}"] = Process(self, f"reader-{n}", 0, (("g",), ("h",), ())[n % 3] if groups else ())

    def processes(self) -> list[Process]:
        return [one for one in self.nodes.values() if isinstance(one, Process) and one.is_up]

    def source(self, number: int) -> Source:
        one = self.nodes[f"source-{number}"]
        assert isinstance(one, Source)
        return one

    def schedule(self, when: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (when, self.serial, what))

    def run(self, us: int) -> None:
        end = self.now + us
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            assert self.serial < 1_000_000, "somebody is due without end"
            what()
        self.now = end
        self.check_ages()

    def run_in_steps(self, us: int, step_us: int = 250 * MS) -> None:
        for _ in range(us // step_us):
            self.run(step_us)

    def check_ages(self) -> None:
        """Whoever says that he knows all up to some age has it."""
        for one in self.processes():
            known_us = self.now - one.age()
            for scope in one.scopes():
                version = one.core.head(scope).version
                later = self.history[scope][version + 1 :]
                assert not later or later[0][0] > known_us, f"{one.name} says {one.age()} us and lacks {scope}"

    def send(self, sender: str, tell: Tell) -> None:
        self.sent.append((sender, tell.to, tell.message))
        self.message_counts[sender, self.now // SECOND] += 1
        for _ in range(1 + (self.draw.random() < self.fault_rate)):
            if self.draw.random() < self.fault_rate or self.is_cut(sender, tell.to):
                continue
            late = self.draw.randrange(1, 900 * MS if self.draw.random() < self.fault_rate else 5 * MS)
            self.schedule(self.now + late + self.delay_us(sender, tell.to), lambda: self.deliver(sender, tell))

    def deliver(self, sender: str, tell: Tell) -> None:
        one = self.nodes.get(tell.to)
        if one is not None and one.is_up and not self.is_cut(sender, tell.to):
            one.receive(sender, tell.message)

    def commit(self, scope: str, *entries: c.Entry) -> None:
        """A version is agreed now."""
        state = dict(self.history[scope][-1][1])
        for one in entries:
            state.pop(one.key, None)
            if one.value:
                state[one.key] = one.value
        self.history[scope].append((self.now, state))
        delta = c.Delta(0, len(self.history[scope]) - 1, entries)
        for name in self.sources:
            source = self.nodes[name]
            assert isinstance(source, Source)
            if source.is_up and source.cut_us < 0:
                source.apply_change(scope, delta)

    def commit_random(self, count: int = 1, size: int = 40) -> None:
        """Random changes."""
        for _ in range(count):
            key, value = f"k{self.draw.randrange(60)}", self.draw.randbytes(size if self.draw.random() < 0.8 else 0)
            self.commit(self.draw.choice(SCOPES), c.Entry(key, value))

    def kill(self, name: str) -> None:
        self.nodes[name].is_up = False
        self.nodes[name].plan_count += 1

    def run_until_current(self, most_us: int) -> int:
        """How long until everybody has the newest versions and says that it is no older than the bound."""
        began = self.now
        while not all(one.has_all() and one.age() < 5 * SECOND for one in self.processes()):
            self.run(100 * MS)
            assert self.now - began <= most_us, [one.core.rows(one.clock()) for one in self.processes()]
        return self.now - began
