"""A network that loses, doubles, delays and reorders, keepers that crash, and a judge of what was answered."""

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
class Sabotage:
    """What is taken out, by name; see each place."""

    early: bool = False  # votes are sent before they are on disk
    forgetful: bool = False  # promises are not on disk
    blank: bool = False  # a keeper without its file votes at once
    reused: bool = False  # a proposer starts again under the same incarnation


class Keeper:
    """One keeper: its file, and what of it is not on disk yet."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name = world, name
        self.file: dict[str, f.Kept] = {}
        self.standing: f.Standing | None = None
        self.core: Acceptor | None = None
        self.run = 0  # what was pending in a run before this one is lost
        self.disk_us = 0
        self.start()

    def start(self) -> None:
        world = self.world
        self.run += 1
        standing = self.standing
        if world.sabotage.blank and standing is None and world.now > 0:
            standing = self.standing = f.Standing(self.run, begun=True)
        kept = list(self.file.values())
        if world.sabotage.forgetful:
            kept = [replace(one, promised=one.accepted) for one in kept]
        self.core = Acceptor(self.name, world.keepers, kept, standing, world.rng.getrandbits(64))
        self.wake(self.run)

    def wake(self, run: int) -> None:
        if self.core is not None and run == self.run and not self.core.begun:
            self.carry(self.core.tick(self.world.now))
            if not self.core.begun:
                self.world.later(50 * MS, lambda: self.wake(run))

    def crash(self, lost: bool) -> None:
        self.core = None
        self.run += 1
        if lost:
            self.file, self.standing = {}, None

    def take(self, sender: str, message: f.Message) -> None:
        if self.core is not None:
            self.carry(self.core.receive(sender, message, self.world.now))

    def carry(self, effects: Effects) -> None:
        for one in effects:
            if isinstance(one, f.Keep):
                if self.world.sabotage.early:
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
class Asked:
    """One read or change as its caller saw it."""

    key: str
    fence: int  # asked for; -1 a read
    value: bytes
    began: int
    ended: int = f.NEVER_US
    how: str = "unknown"
    found: tuple[int, bytes] = (0, b"")


class Client:
    """One proposer, and what it is asked for: one thing after the other, now and then several at once."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name, self.incarnation = world, name, 0
        self.open: dict[int, Asked] = {}
        self.known: dict[str, int] = {}
        self.asks = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.open.clear()  # those stay unknown
        given = 1 if self.world.sabotage.reused else self.incarnation
        self.core = self.world.proposer(self.name, given, self.world.keepers, self.world.rng.getrandbits(32))
        self.planned = f.NEVER_US

    def tick(self, incarnation: int, planned: int) -> None:
        if incarnation == self.incarnation and planned == self.planned:
            self.planned = f.NEVER_US
            self.carry(self.core.tick(self.world.now))

    def act(self) -> None:
        world, key = self.world, self.world.rng.choice(self.world.keys)
        if len(self.open) < 2:
            self.ask(key, -1 if world.rng.random() < world.reads else self.known.get(key, 0))

    def ask(self, key: str, fence: int) -> Asked:
        self.asks += 1
        value = f"{self.name}/{self.incarnation}/{self.asks}".encode()
        one = self.open[self.asks] = Asked(key, fence, value, self.world.now)
        self.world.history.append(one)
        if fence < 0:
            self.carry(self.core.read(self.asks, key, self.world.now))
        else:
            self.carry(self.core.change(self.asks, key, fence, value, self.world.now))
        return one

    def take(self, sender: str, message: f.Message) -> None:
        self.carry(self.core.receive(sender, message, self.world.now))

    def carry(self, effects: Effects) -> None:
        for one in effects:
            if isinstance(one, f.Tell):
                self.world.send(self.name, one)
            elif isinstance(one, f.Answer):
                asked = self.open.pop(one.ask)
                asked.ended, asked.how, asked.found = self.world.now, one.how, (one.fence, one.value)
                if one.how != "unknown":
                    self.known[one.key] = one.fence
        due = self.core.due_us
        if due < self.planned:
            # Ticked when it says and not before.
            self.planned, incarnation = due, self.incarnation
            self.world.at(max(due, self.world.now + 1), lambda: self.tick(incarnation, due))


@dataclass
class World:
    """All of it. Times are microseconds of one clock."""

    seed: int
    count: int = 3
    clients: int = 3
    keys: tuple[str, ...] = ("a",)
    sabotage: Sabotage = field(default_factory=Sabotage)
    proposer: Callable[[str, int, tuple[str, ...], int], Proposer] = Proposer
    reads: float = 0.4
    loss: float = 0.03
    doubled: float = 0.05
    slow: float = 0.3  # part of messages that take up to `slow_us`
    slow_us: int = 60 * MS
    disk_us: int = 10 * MS
    now: int = 0
    history: list[Asked] = field(default_factory=list)
    sent: list[f.Message] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = 0
        self.blind: dict[str, str] = {}  # which keeper a user does not reach just now, so that majorities differ
        self.keepers = tuple(f"k{number}" for number in range(self.count))
        self.nodes: dict[str, Keeper | Client] = {name: Keeper(self, name) for name in self.keepers}
        self.run(3_000 * MS)
        self.users = [Client(self, f"p{number}") for number in range(self.clients)]
        self.nodes |= {one.name: one for one in self.users}

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (when, self.serial, what))

    def later(self, delay: int, what: Callable[[], None]) -> None:
        self.at(self.now + delay, what)

    def send(self, sender: str, tell: f.Tell) -> None:
        self.sent.append(tell.message)
        for _ in range(2 if self.rng.random() < self.doubled else 1):
            cut = tell.to == self.blind.get(sender) or sender == self.blind.get(tell.to)
            if not cut and self.rng.random() >= self.loss:
                span = (self.slow_us,) if self.rng.random() < self.slow else (1, 2 * MS)
                self.later(self.rng.randrange(*span), lambda: self.nodes[tell.to].take(sender, tell.message))

    def run(self, span: int) -> None:
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = end

    def trouble(self, steps: int, crashes: float = 0.05, losses: float = 0.0) -> None:
        """Clients at work while things break; at the end all heals."""
        keepers = [one for one in self.nodes.values() if isinstance(one, Keeper)]
        for _ in range(steps):
            self.rng.choice(self.users).act()
            if self.rng.random() < 0.1:
                self.blind[self.rng.choice(self.users).name] = self.rng.choice(self.keepers)
            if self.rng.random() < crashes:
                if self.rng.random() < 0.1:
                    self.rng.choice(self.users).start()
                else:
                    self.break_one(self.rng.choice(keepers), keepers, losses)
            self.run(self.rng.randrange(20 * MS))
        self.blind = {}
        self.loss = self.slow = self.doubled = 0.0
        self.run(6_000 * MS)
        for user in self.users:
            for key in self.keys:
                user.ask(key, -1)
                self.run(1_600 * MS)

    def break_one(self, keeper: Keeper, keepers: list[Keeper], losses: float) -> None:
        if keeper.core is None:
            return
        # At most a minority may be without its votes at once: that is what the fleet tolerates.
        missing = [one for one in keepers if one.standing is None or not one.standing.begun]
        lost = self.rng.random() < losses and len(missing) < self.count // 2
        keeper.crash(lost)
        self.later(self.rng.randrange(1, 30 * MS), keeper.start)


def judge(history: list[Asked]) -> list[str]:
    """What contradicts a register that changes one fence at a time, in the order of real time."""
    wrong: list[str] = []
    for key in sorted({one.key for one in history}):
        mine = [one for one in history if one.key == key]
        done = [one for one in mine if one.how != "unknown"]
        by_value = {one.value: one for one in mine if one.fence >= 0}
        at: dict[int, bytes] = {0: b""}
        for one in done:
            fence, value = one.found
            if at.setdefault(fence, value) != value:
                wrong.append(f"{key}: fence {fence} was {at[fence]!r} and {value!r}")
            writer = by_value.get(value)
            if fence and (writer is None or writer.fence != fence - 1 or writer.began > one.ended):
                wrong.append(f"{key}: {value!r} at fence {fence} was never asked for there")
            if fence and writer is not None and writer.how == "differs":
                wrong.append(f"{key}: {value!r} was said not to have happened")
            if one.how == "changed" and (fence, value) != (one.fence + 1, one.value):
                wrong.append(f"{key}: {one.value!r} changed something else")
        highest = -1
        ends = sorted((one.ended, one.found[0]) for one in done)
        place = 0
        for one in sorted(done, key=lambda asked: asked.began):
            while place < len(ends) and ends[place][0] < one.began:
                highest = max(highest, ends[place][1])
                place += 1
            if one.found[0] < highest + (one.how == "changed"):
                wrong.append(f"{key}: fence {one.found[0]} after {highest} had been seen")
    return wrong
