"""A simulation of banks, nodes, the lease, registers and a network with all kinds of faults, and its invariants."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from oatlink.fleet import messages as f
from oatlink.fleet.gate import Served
from oatlink.fleet.versions import marker, state
from oatlink.fleet.versions.asking import Adopter
from oatlink.fleet.versions.compatible import Place, applied
from oatlink.fleet.versions.moves import settled
from oatlink.fleet.versions.node import Layouts
from oatlink.fleet.versions.plan import decode_wanted
from oatlink.fleet.versions.sequencer import Sequencer

STEP_US = 25_000
DRIFT = 0.02
BANKS = ("a", "b")


class Violation(AssertionError):  # noqa: N818
    """An invariant was violated."""


def void(_: object) -> None:
    """Discard a value."""


Op = tuple[str, int, int, str, bool]  # exec or seal, number, version, kind, whether all its commands succeeded


@dataclass(eq=False)
class Member:
    """A server. Its data follow from its log alone."""

    name: str
    history: str
    offset: int = 0
    parent: str = ""
    join: int = -1
    log: list[tuple[int, Op]] = field(default_factory=list)  # (offset after it, operation)
    master: bool = False
    epoch: int = 0  # incremented when its data are replaced and its connections closed

    def offers(self) -> set[int]:
        versions = {1}
        for _, (operation, _, version, kind, succeeded) in self.log:
            if operation == "exec" and kind == "expand":
                versions |= {version} if succeeded else set()
            elif operation == "exec":
                versions.discard(version - 1 if kind == "contract" else version)
        return versions

    def mark(self) -> bytes | None:
        operation, number, version, _, _ = self.log[-1][1] if self.log else ("", 0, 0, "", False)
        return marker.encode(number, version, operation == "seal") if self.log else None

    def write(self, *ops: Op) -> None:
        self.offset += 10
        self.log += [(self.offset, op) for op in ops]

    def place(self) -> Place:
        return Place(self.history, self.offset, self.parent, self.join)


class Bank:
    """A primary and its replicas, which lag behind it and may be promoted."""

    def __init__(self, name: str, random: Random) -> None:
        self.name, self.random = name, random
        self.members = [Member(f"{name}{number}", f"{name}-h0") for number in range(3)]
        self.primary = self.members[0]
        self.primary.master = True
        self.failovers = 0
        self.frozen: dict[str, int] = {}

    def fail_over(self) -> None:
        replicas = [member for member in self.members if not member.master]
        if not replicas:
            return
        self.failovers += 1
        promoted = self.random.choice(replicas)
        promoted.parent, promoted.join = promoted.history, promoted.offset + 1
        promoted.history, promoted.master = f"{self.name}-h{self.failovers}", True
        self.primary = promoted  # the old primary stays a master beside it for a while

    def step(self, now: int) -> None:
        if self.random.random() < 0.3:
            self.primary.write()
        for member in self.members:
            if member is self.primary or self.frozen.get(member.name, 0) > now:
                continue
            if member.history != self.primary.history:
                if self.random.random() < 0.05:
                    self._sync(member)
            elif self.random.random() < 0.2:
                reached = self.random.randint(member.offset, self.primary.offset)
                member.log += [(at, op) for at, op in self.primary.log if member.offset < at <= reached]
                member.offset = reached

    def _sync(self, member: Member) -> None:
        """Replicate from the primary: continue where the history is shared, else copy all data."""
        primary = self.primary
        if not (primary.parent == member.history and member.offset < primary.join):
            member.offset, member.log, member.epoch = primary.offset, list(primary.log), member.epoch + 1
        member.history, member.parent, member.join = primary.history, primary.parent, primary.join
        member.master = False


class Node:
    """One gateway's process, with the state that its shell would keep."""

    def __init__(self, name: str, world: "World") -> None:
        self.name, self.world, random = name, world, world.random
        self.rate = 1 + random.choice((-1, 1, 0)) * DRIFT * 0.99
        self.shift = random.randrange(10**9)
        self.incarnation = 0
        self.up = True
        self.stopped_until = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.up = True
        seed = self.world.random.randrange(2**32)
        self.sequencer = Sequencer(self.name, BANKS, 1, DRIFT, self.world.deadline_us, seed, self.world.term_us)
        self.adopter = Adopter(self.name, seed)
        self.layouts = Layouts(";layout=", seed)
        self.busy: Counter[int] = Counter()
        self.lease_until = 0
        self.believed_holder = ""  # of the lease
        self.pinned = False  # its belief about the holder does not change
        self.slow = False  # each of its requests takes as long as the deadline allows
        self.deferred: list[Callable[[], None]] = []

    def clock(self) -> int:
        return self.shift + int(self.world.now * self.rate)

    @property
    def runs(self) -> bool:
        return self.up and self.world.now >= self.stopped_until


class World:
    """The whole simulation, from one seed. While it is `quiet`, the only faults are the cuts that a test makes."""

    def __init__(self, seed: int, quiet: bool = False, deadline_us: int = 0, term_us: int = 0) -> None:
        self.random = Random(seed)
        self.lease_us = self.random.choice((1_200_000, 2_000_000, 3_000_000))
        self.deadline_us = deadline_us or self.random.choice((500_000, 1_500_000, 4_000_000))
        self.term_us = term_us or self.random.choice((1_000_000, 4_000_000, 8_000_000))
        self.now = 0
        self.quiet = quiet
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.registers: dict[str, tuple[int, bytes]] = {}
        self.banks = {name: Bank(name, self.random) for name in BANKS}
        self.holder, self.lease_end, self.fence = "", 0, 0
        self.nodes = {f"n{at}": Node(f"n{at}", self) for at in range(3)}
        self.cuts: dict[tuple[str, str], int] = {}
        self.expanded: set[tuple[str, int]] = set()
        self.counts: Counter[str] = Counter()

    def schedule(self, wait_us: int, action: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + wait_us, self.count, action))

    def chance(self, probability: float) -> bool:
        return not self.quiet and self.random.random() < probability

    def latency(self) -> int:
        return self.random.randrange(4_000_000) if self.chance(0.04) else self.random.randrange(1_000, 60_000)

    def is_cut(self, one: str, other: str) -> bool:
        return self.cuts.get((one, other), 0) > self.now

    def run(self, us: int) -> None:
        end = self.now + us
        while self.now < end:
            self.step()

    def step(self) -> None:
        self.now += STEP_US
        if not self.quiet:
            self.inject_faults()
        while self.events and self.events[0][0] <= self.now:
            heapq.heappop(self.events)[2]()
        for bank in self.banks.values():
            bank.step(self.now)
        for node in self.nodes.values():
            if node.runs:
                self.run_node(node)
        self.check_served()

    def run_node(self, node: Node) -> None:
        deferred, node.deferred = node.deferred, []
        for action in deferred:
            action()
        self.update_lease(node)
        if node.clock() >= node.sequencer.due_us:
            self.apply(node, node.sequencer.tick(node.lease_until, node.clock()))
        busy = tuple(sorted(version for version, number in node.busy.items() if number > 0))
        if not node.pinned and (self.quiet or self.random.random() < 0.1):
            node.believed_holder = self.holder
        self.apply(node, node.adopter.poll(node.believed_holder, busy, node.clock()))
        self.request(node)

    def inject_faults(self) -> None:
        random = self.random
        for node in self.nodes.values():
            if node.up and random.random() < 0.004:
                node.up = False
            elif not node.up and random.random() < 0.05:
                node.start()
            if random.random() < 0.006:
                node.stopped_until = self.now + random.randrange(6_000_000)
        if random.random() < 0.03:
            one, other = random.choice([*self.nodes, "lease", "keepers"]), random.choice([*self.nodes, "lease"])
            self.cuts[one, other] = self.now + random.randrange(8_000_000)
        for bank in self.banks.values():
            if random.random() < 0.006:
                bank.fail_over()
            if random.random() < 0.02:
                bank.frozen[random.choice(bank.members).name] = self.now + random.randrange(3_000_000)

    def update_lease(self, node: Node) -> None:
        if node.lease_until and node.clock() >= node.lease_until and self.chance(0.3):
            node.sequencer.ended()  # often it is not notified in time
            node.lease_until = 0
        if node.lease_until > node.clock() and self.holder == node.name and self.chance(0.003):
            node.sequencer.ended()  # the node gives the lease back
            node.lease_until, self.lease_end = 0, self.now
            self.counts["released"] += 1
            return
        if self.is_cut(node.name, "lease") or (self.holder != node.name and self.now < self.lease_end):
            return
        if self.holder == node.name and self.now < self.lease_end and node.lease_until == 0:
            return  # the lease is still that of its previous process
        fresh = self.now >= self.lease_end
        if fresh and self.holder == node.name and self.chance(0.5):
            return
        self.holder = node.name
        self.lease_end = self.now + int(self.lease_us * (1 + DRIFT) / (1 - DRIFT)) + 1
        node.lease_until = node.clock() + self.lease_us
        if fresh:
            self.fence += 1
            self.counts["reigns"] += 1
            node.sequencer.began(self.fence, node.clock())

    def apply(self, node: Node, effects: list[f.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, f.Tell):
                self.send(node.name, effect.to, effect.message)
            elif isinstance(effect, f.Read | f.Change):
                self.register(node, effect)
            elif isinstance(effect, f.RunStep):
                self.run_step(node, effect)
            elif isinstance(effect, f.AskMarker):
                self.ask_marker(node, effect)
            elif isinstance(effect, f.Tuned) and isinstance(effect.news, Served):
                node.layouts.hear(effect.news)
            elif isinstance(effect, f.Replied):
                self.counts["replies"] += 1

    def deliver(self, node: Node, wait_us: int, action: Callable[[], list[f.Effect]], process: int = 0) -> None:
        """Run an action of this process later, if it still exists; while it is stopped, the action is deferred."""
        incarnation = process or node.incarnation

        def arrive() -> None:
            if node.up and node.incarnation == incarnation:
                if self.now < node.stopped_until:
                    node.deferred.append(arrive)
                else:
                    self.apply(node, action())

        self.schedule(wait_us, arrive)

    def send(self, sender: str, to: str, message: f.Message) -> None:
        node = self.nodes[to]
        for _ in range(2 if self.chance(0.05) else 1):
            if self.is_cut(sender, to) or self.chance(0.1):
                continue

            def receive() -> list[f.Effect]:
                if isinstance(message, f.Adopt):
                    return node.sequencer.adopt(sender, message, node.lease_until, node.clock())
                assert isinstance(message, f.Adopted | f.NotSequencer)
                return node.adopter.receive(sender, message, node.clock())

            self.deliver(node, self.latency(), receive)

    def register(self, node: Node, ask: f.Read | f.Change) -> None:
        asked = node.clock()
        how, fence, value = "unknown", 0, b""
        reached = not (self.is_cut("keepers", node.name) or self.chance(0.08))
        if isinstance(ask, f.Change) and not reached and self.chance(0.7):
            late = ask
            # The change is lost for the node, but happens later nevertheless.
            self.schedule(self.random.randrange(5_000_000), lambda: void(self.put(late)))
        if reached:
            changed = isinstance(ask, f.Change) and self.put(ask)
            how = "changed" if changed else "found" if isinstance(ask, f.Read) else "differs"
            fence, value = self.registers.get(ask.key, (0, b""))
        answer = f.Answer(ask.ask, ask.key, how, fence, value, asked)
        wait = self.latency() if reached else 1_000_000
        if not self.chance(0.02):
            self.deliver(node, wait, lambda: node.sequencer.answer(answer, node.lease_until, node.clock()))

    def put(self, change: f.Change) -> bool:
        fence, value = self.registers.get(change.key, (0, b""))
        if fence != change.fence:
            return False
        assert len(change.value) <= 8_192
        self.registers[change.key] = fence + 1, change.value
        if change.key == "versions/state":
            self.check_state(state.decode(value) if value else None, state.decode(change.value))
        return True

    def reachable(self, bank: Bank) -> Member:
        masters = [member for member in bank.members if member.master]
        return self.random.choice(masters) if self.chance(0.2) else bank.primary

    def run_step(self, node: Node, step: f.RunStep) -> None:
        process = node.incarnation

        def end(how: str, member: Member) -> None:
            self.counts[how] += 1
            result = (step.ask, how, member.history, member.offset) if how == "done" else (step.ask, how, "", -1)
            self.deliver(
                node, self.latency(), lambda: node.sequencer.ran(*result, node.lease_until, node.clock()), process
            )

        def begin() -> None:
            member = self.reachable(self.banks[step.bank])
            history, value = member.history, member.mark()
            decision = marker.decide(value, step.step, step.after)
            if decision != "run" or self.chance(0.1):
                end("unknown" if decision == "run" else decision, member)
            else:
                self.schedule(self.latency(), lambda: execute(member, history, value))

        def execute(member: Member, history: str, value: bytes | None) -> None:
            if not member.master or member.history != history or member.mark() != value:
                return end("unknown", member)
            succeeded = not self.chance(0.1)
            if step.kind == "contract" and step.version not in member.offers():
                raise Violation(f"contract {step.version} at {member.name} which offers {member.offers()}")
            member.write(("exec", step.step, step.version, step.kind, succeeded))
            if step.kind == "expand" and succeeded:
                self.expanded.add((step.bank, step.version))
            if not succeeded or self.chance(0.1):
                return end("unknown" if succeeded else "failed", member)
            self.schedule(self.latency(), lambda: seal(member, history))

        def seal(member: Member, history: str) -> None:
            begun = marker.encode(step.step, step.version, False)
            if not member.master or member.history != history or member.mark() != begun:
                return end("unknown", member)
            member.write(("seal", step.step, step.version, step.kind, True))
            end("unknown" if self.chance(0.1) else "done", member)

        self.schedule(self.random.randrange(12_000_000) if self.chance(0.1) else self.latency(), begin)

    def ask_marker(self, node: Node, ask: f.AskMarker) -> None:
        process = node.incarnation

        def check() -> None:
            member = self.reachable(self.banks[ask.bank])
            is_lost = self.chance(0.1)
            number = marker.completed_step(member.mark())
            result = (-1, "", -1) if is_lost else (number, member.history, member.offset)
            sequencer = node.sequencer

            def report() -> list[f.Effect]:
                return sequencer.marked(ask.ask, *result, node.lease_until, node.clock())

            self.deliver(node, self.latency(), report, process)

        self.schedule(self.latency(), check)

    def request(self, node: Node) -> None:
        news = node.layouts.served
        client = f"app;layout={self.random.choice(news.versions)}" if news and self.random.random() < 0.7 else "app"
        layout = node.layouts.layout(client, 0, node.clock())
        if layout.back_us:
            assert 0 < layout.back_us <= 1_500_000
            self.counts["refused"] += 1
            return
        bank = self.banks[self.random.choice(BANKS)]
        members = self.able_members(node, bank, layout.version)
        if not members:
            self.counts["none able"] += 1
            return
        member = self.random.choice(members)
        version, epoch = layout.version, member.epoch
        node.busy[version] += 1

        def execute() -> None:
            if member.epoch == epoch:
                self.counts["served"] += 1
                if version not in member.offers():
                    raise Violation(f"version {version} by {node.name} at {member.name}: {member.offers()}")

        def answered() -> list[f.Effect]:
            node.busy[version] -= 1
            return []

        longest = int(self.deadline_us * (1 - DRIFT)) - STEP_US
        wait = self.random.randrange(longest) if self.random.random() < 0.3 else self.random.randrange(50_000)
        wait = longest if node.slow else wait
        self.schedule(wait, execute)
        self.deliver(node, wait + 1, answered)

    def able_members(self, node: Node, bank: Bank, version: int) -> list[Member]:
        mark = node.layouts.marker(bank.name, version)
        return [member for member in bank.members if mark is None or applied(member.place(), mark)]

    def check_served(self) -> None:
        heard = [(node, node.layouts.served) for node in self.nodes.values() if node.up]
        valid = [served for node, served in heard if served and node.clock() < served.until_us]
        versions = {version for served in valid for version in served.versions}
        if versions and max(versions) - min(versions) > 1:
            raise Violation(f"versions {sorted(versions)} are served at once")

    def check_state(self, old: state.State | None, new: state.State | None) -> None:
        assert new is not None
        if old is not None and old.phase != new.phase:
            self.counts[new.phase] += 1
        if new.phase == "serving" and (old is None or old.phase != "serving"):
            missing = [bank for bank in BANKS if (bank, new.new) not in self.expanded]
            if missing:
                raise Violation(f"version {new.new} is served before {missing} offer it")

    def current_state(self) -> state.State:
        value = self.registers.get("versions/state", (0, b""))[1]
        known = state.decode(value) if value else state.first(1)
        assert known is not None
        return known

    def propose(self, node: Node, stay_ms: int = 0, first: str = "") -> None:
        base = self.current_state().old
        after = {bank: [first] if first not in ("", bank) else [] for bank in BANKS}
        shards = {bank: {"expand": [["SET", bank, "1"]], "after": after[bank]} for bank in BANKS}
        text = msgspec.json.encode({"version": base + 1, "base": base, "shards": shards, "stay_ms": stay_ms})
        self.apply(node, node.sequencer.propose(1, text, node.clock()))

    def send_operator_request(self) -> None:
        """Send a request of an operator to a random node."""
        node = self.random.choice(list(self.nodes.values()))
        if not node.runs:
            return
        choice = self.random.random()
        if choice < 0.5 or self.current_state().phase == "idle":
            first = self.random.choice(("", *BANKS))
            self.propose(node, self.random.choice((0, 0, 2_000)), first)
        elif choice < 0.8:
            self.apply(node, node.sequencer.back(2, node.clock()))
        else:
            self.apply(node, node.sequencer.resume(3, node.clock()))

    def play(self, seconds: int = 40) -> None:
        """Run for a time with faults and operators, then without, until no change is in progress and all agree."""
        while self.now < seconds * 1_000_000:
            self.run(self.random.randrange(200_000, 3_000_000))
            self.send_operator_request()
        self.settle()

    def settle(self) -> None:
        """End all faults; then every change must finish within a minute."""
        self.quiet = True
        self.cuts.clear()
        for node in self.nodes.values():
            node.stopped_until, node.pinned = 0, False
            if not node.up:
                node.start()
        for _ in range(60):
            self.run(1_000_000)
            if self.is_settled():
                return
        logs = [(bank.primary.place(), bank.primary.log) for bank in self.banks.values()]
        raise Violation(f"not settled: {self.current_state()}, {logs}")

    def run_until(self, phase: str) -> Node:
        """Run until the change reaches this phase; returns the node that sequences."""
        for _ in range(2_000):
            self.step()
            if self.current_state().phase == phase:
                return self.nodes[self.holder]
        raise Violation(f"never {phase}: {self.current_state()}")

    def is_settled(self) -> bool:
        """Whether no change is in progress, and every member of every bank serves the served version."""
        known = self.current_state()
        want = decode_wanted(self.registers.get("versions/plan", (0, b""))[1])
        waits = want is not None and want.word == "go" and want.plan is not None and want.plan.version == known.old + 1
        if known.phase != "idle" or waits or not settled(known):
            return False
        is_uniform = all(member.offers() == {known.old} for bank in self.banks.values() for member in bank.members)
        return is_uniform and all(
            node.layouts.layout("app", 0, node.clock()).version == known.old
            and all(len(self.able_members(node, bank, known.old)) == len(bank.members) for bank in self.banks.values())
            for node in self.nodes.values()
        )


def by_chance(seed: int) -> None:
    """Random faults of all kinds."""
    World(seed).play()
