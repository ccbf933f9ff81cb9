"""A simulated network that loses, duplicates, delays and reorders messages, keepers that crash, and a checker."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from msgspec.structs import replace

from oatlink.fleet import messages as f
from oatlink.fleet.registers.acceptor import Acceptor
from oatlink.fleet.registers.proposer import Proposer

MS = 1_000
Effects = list[f.Effect]


@dataclass
class Mutations:
    """Safety measures that are taken out; each is implemented where it applies."""

    early: bool = False  # votes are sent before they are on disk
    forgetful: bool = False  # promises are not written to disk
    blank: bool = False  # a keeper without its file votes at once
    reused: bool = False  # a proposer starts again under the same incarnation


class Keeper:
    """One keeper: its file, and the writes that are not on disk yet."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name = world, name
        self.file: dict[str, f.Kept] = {}
        self.standing: f.Standing | None = None
        self.core: Acceptor | None = None
        self.run = 0  # number of starts and crashes; writes pending in an earlier run are lost
        self.disk_us = 0  # when the disk has finished the writes so far
        self.start()

    def start(self) -> None:
        world = self.world
        self.run += 1
        standing = self.standing
        if world.mutations.blank and standing is None and world.now > 0:
            standing = self.standing = f.Standing(self.run, begun=True)
        kept = list(self.file.values())
        if world.mutations.forgetful:
            kept = [replace(one, promised=one.accepted) for one in kept]
        self.core = Acceptor(self.name, world.keepers, kept, standing, world.rng.getrandbits(64))
        self.wake(self.run)

    def wake(self, run: int) -> None:
        if self.core is not None and run == self.run and not self.core.begun:
            self.carry_out(self.core.tick(self.world.now))
            if not self.core.begun:
                self.world.later(50 * MS, lambda: self.wake(run))

    def crash(self, lost: bool) -> None:
        self.core = None
        self.run += 1
        if lost:
            self.file, self.standing = {}, None

    def receive(self, sender: str, message: f.Message) -> None:
        if self.core is not None:
            self.carry_out(self.core.receive(sender, message, self.world.now))

    def carry_out(self, effects: Effects) -> None:
        for one in effects:
            if isinstance(one, f.Keep):
                if self.world.mutations.early:
                    self.send(one.then)
                    one = f.Keep(one.registers, (), one.standing)
                self.disk_us = max(self.disk_us, self.world.now) + self.world.rng.randrange(1, self.world.disk_us)
                self.world.at(self.disk_us, lambda run=self.run, keep=one: self.kept(run, keep))  # type: ignore[misc]
            elif isinstance(one, f.Tell):
                self.send((one,))

    def kept(self, run: int, keep: f.Keep) -> None:
        if run == self.run:
            self.file.update((one.key, one) for one in keep.registers)
            self.standing = keep.standing or self.standing
            self.send(keep.then)

    def send(self, tells: tuple[f.Tell, ...]) -> None:
        for one in tells:
            self.world.send(self.name, one)


@dataclass
class Operation:
    """One read or change as its caller saw it."""

    key: str
    fence: int  # -1 for a read
    value: bytes
    began_us: int
    ended_us: int = f.NEVER_US
    how: str = "unknown"
    result: tuple[int, bytes] = (0, b"")  # fence and value


class Client:
    """One proposer and its operations: one after the other, now and then two at once."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name, self.incarnation = world, name, 0
        self.open: dict[int, Operation] = {}
        self.known: dict[str, int] = {}
        self.asks = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.open.clear()  # their results stay unknown
        incarnation = 1 if self.world.mutations.reused else self.incarnation
        self.core = self.world.proposer(self.name, incarnation, self.world.keepers, self.world.rng.getrandbits(32))
        self.planned = f.NEVER_US

    def tick(self, incarnation: int, planned: int) -> None:
        if incarnation == self.incarnation and planned == self.planned:
            self.planned = f.NEVER_US
            self.carry_out(self.core.tick(self.world.now))

    def act(self) -> None:
        world, key = self.world, self.world.rng.choice(self.world.keys)
        if len(self.open) < 2:
            self.ask(key, -1 if world.rng.random() < world.reads else self.known.get(key, 0))

    def ask(self, key: str, fence: int) -> Operation:
        self.asks += 1
        value = f"{self.name}/{self.incarnation}/{self.asks}".encode()
        operation = self.open[self.asks] = Operation(key, fence, value, self.world.now)
        self.world.history.append(operation)
        if fence < 0:
            self.carry_out(self.core.read(self.asks, key, self.world.now))
        else:
            self.carry_out(self.core.change(self.asks, key, fence, value, self.world.now))
        return operation

    def receive(self, sender: str, message: f.Message) -> None:
        self.carry_out(self.core.receive(sender, message, self.world.now))

    def carry_out(self, effects: Effects) -> None:
        for one in effects:
            if isinstance(one, f.Tell):
                self.world.send(self.name, one)
            elif isinstance(one, f.Answer):
                operation = self.open.pop(one.ask)
                operation.ended_us, operation.how = self.world.now, one.how
                operation.result = one.fence, one.value
                if one.how != "unknown":
                    self.known[one.key] = one.fence
        due = self.core.due_us
        if due < self.planned:
            # The core is ticked at its own due time and not before.
            self.planned, incarnation = due, self.incarnation
            self.world.at(max(due, self.world.now + 1), lambda: self.tick(incarnation, due))


@dataclass
class World:
    """Keepers, clients and the network. Times are microseconds of one clock."""

    seed: int
    count: int = 3
    clients: int = 3
    keys: tuple[str, ...] = ("a",)
    mutations: Mutations = field(default_factory=Mutations)
    proposer: Callable[[str, int, tuple[str, ...], int], Proposer] = Proposer
    reads: float = 0.4
    loss: float = 0.03
    duplicated: float = 0.05
    slow: float = 0.3  # fraction of messages that take up to `slow_us`
    slow_us: int = 60 * MS
    disk_us: int = 10 * MS
    now: int = 0
    history: list[Operation] = field(default_factory=list)
    sent: list[f.Message] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        # The keeper that each client does not reach at present, so that their majorities differ.
        self.unreachable: dict[str, str] = {}
        self.keepers = tuple(f"k{number}" for number in range(self.count))
        self.nodes: dict[str, Keeper | Client] = {name: Keeper(self, name) for name in self.keepers}
        self.run(3_000 * MS)
        self.users = [Client(self, f"p{number}") for number in range(self.clients)]
        self.nodes |= {one.name: one for one in self.users}

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (when, self.event_count, action))

    def later(self, delay: int, action: Callable[[], None]) -> None:
        self.at(self.now + delay, action)

    def send(self, sender: str, tell: f.Tell) -> None:
        self.sent.append(tell.message)
        for _ in range(2 if self.rng.random() < self.duplicated else 1):
            cut = tell.to == self.unreachable.get(sender) or sender == self.unreachable.get(tell.to)
            if not cut and self.rng.random() >= self.loss:
                span = (self.slow_us,) if self.rng.random() < self.slow else (1, 2 * MS)
                self.later(self.rng.randrange(*span), lambda: self.nodes[tell.to].receive(sender, tell.message))

    def run(self, span: int) -> None:
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def inject_faults(self, steps: int, crashes: float = 0.05, losses: float = 0.0) -> None:
        """Run operations while faults occur; at the end the faults are removed, and each client reads each key."""
        keepers = [one for one in self.nodes.values() if isinstance(one, Keeper)]
        for _ in range(steps):
            self.rng.choice(self.users).act()
            if self.rng.random() < 0.1:
                self.unreachable[self.rng.choice(self.users).name] = self.rng.choice(self.keepers)
            if self.rng.random() < crashes:
                if self.rng.random() < 0.1:
                    self.rng.choice(self.users).start()
                else:
                    self.crash_one(self.rng.choice(keepers), keepers, losses)
            self.run(self.rng.randrange(20 * MS))
        self.unreachable = {}
        self.loss = self.slow = self.duplicated = 0.0
        self.run(6_000 * MS)
        for user in self.users:
            for key in self.keys:
                user.ask(key, -1)
                self.run(1_600 * MS)

    def crash_one(self, keeper: Keeper, keepers: list[Keeper], losses: float) -> None:
        if keeper.core is None:
            return
        # At most a minority may be without its votes at the same time, which is what the fleet tolerates.
        missing = [one for one in keepers if one.standing is None or not one.standing.begun]
        lost = self.rng.random() < losses and len(missing) < self.count // 2
        keeper.crash(lost)
        self.later(self.rng.randrange(1, 30 * MS), keeper.start)


def check_history(history: list[Operation]) -> list[str]:
    """Return what contradicts a register whose fence grows by one with each change, in the order of real time."""
    violations: list[str] = []
    for key in sorted({operation.key for operation in history}):
        of_key = [operation for operation in history if operation.key == key]
        done = [operation for operation in of_key if operation.how != "unknown"]
        by_value = {operation.value: operation for operation in of_key if operation.fence >= 0}
        value_at: dict[int, bytes] = {0: b""}
        for operation in done:
            fence, value = operation.result
            if value_at.setdefault(fence, value) != value:
                violations.append(f"{key}: fence {fence} was {value_at[fence]!r} and {value!r}")
            writer = by_value.get(value)
            if fence and (writer is None or writer.fence != fence - 1 or writer.began_us > operation.ended_us):
                violations.append(f"{key}: {value!r} at fence {fence} was never requested there")
            if fence and writer is not None and writer.how == "differs":
                violations.append(f"{key}: {value!r} was reported not to have happened")
            if operation.how == "changed" and (fence, value) != (operation.fence + 1, operation.value):
                violations.append(f"{key}: {operation.value!r} changed something else")
        highest = -1
        ends = sorted((operation.ended_us, operation.result[0]) for operation in done)
        place = 0
        for operation in sorted(done, key=lambda operation: operation.began_us):
            while place < len(ends) and ends[place][0] < operation.began_us:
                highest = max(highest, ends[place][1])
                place += 1
            if operation.result[0] < highest + (operation.how == "changed"):
                violations.append(f"{key}: fence {operation.result[0]} after {highest} had been seen")
    return violations
