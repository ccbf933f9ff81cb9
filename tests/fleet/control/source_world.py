"""Sources over registers that answer as they may: at once, late, unknown (done, not done, done later); and a judge."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.control import slots
from oatlink.fleet.control.source import Source
from oatlink.fleet.messages import control as c

MS, SECOND = 1_000, 1_000_000
Effects = list[f.Effect]


def refuse_bad(_scope: str, _now: object, entries: tuple[c.Entry, ...]) -> str:
    return "bad is bad" if any(one.value == b"bad" for one in entries) else ""


@dataclass
class World:
    """All times are of one clock. `unknown`: part of the questions to registers that end so; `loss`: of messages."""

    seed: int
    count: int = 3
    unknown: float = 0.0
    loss: float = 0.0
    link_delay_us: int = 5 * MS
    now: int = 0
    registers: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    reader_messages: list[tuple[str, f.Message]] = field(default_factory=list)  # to readers
    replies: dict[int, str] = field(default_factory=dict)
    written: dict[tuple[str, int, int], tuple[c.Entry, ...]] = field(default_factory=dict)
    in_force: list[tuple[str, c.InForce]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    isolated: set[str] = field(default_factory=set)  # sources without links and registers
    unlinked: set[str] = field(default_factory=set)  # sources without links, which reach the registers
    question_count: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = 0
        self.places = tuple(c.Place(f"s{number}", f"10.0.0.{number}:1") for number in range(self.count))
        self.cores: dict[str, Source] = {}
        self.incarnations = dict.fromkeys((one.name for one in self.places), 0)
        for one in self.places:
            self.start(one.name)

    def start(self, name: str) -> None:
        """Begin, or begin again, with nothing."""
        place = next(one for one in self.places if one.name == name)
        self.incarnations[name] += 1
        region = f"r{name[1:]}"
        self.cores[name] = Source(
            place, region, self.incarnations[name], self.places, 0.001, self.seed, refuse_bad, self.now
        )

    def crash(self, name: str) -> None:
        self.cores.pop(name, None)

    def schedule(self, delay: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, what))

    # ---- Registers ----

    def ask_register(self, name: str, one: f.Read | f.Change) -> None:
        self.question_count += 1
        born, began, draw = self.incarnations[name], self.now, self.rng.random()

        def answer(how: str, fence: int = 0, value: bytes = b"") -> None:
            if name in self.cores and self.incarnations[name] == born:
                self.carry_out(
                    name, self.cores[name].answered(f.Answer(one.ask, one.key, how, fence, value, began), self.now)
                )

        def happen(heard: bool) -> None:
            fence, value = self.registers.get(one.key, (0, b""))
            how = "found"
            if isinstance(one, f.Change):
                how = "changed" if one.fence == fence else "differs"
                if how == "changed":
                    fence, value = self.write_register(one.key, fence + 1, one.value)
            if heard:
                self.schedule(self.rng.randrange(1, self.link_delay_us), lambda: answer(how, fence, value))

        if name in self.isolated or draw < self.unknown:
            if name not in self.isolated and self.rng.random() < 0.7:
                self.schedule(self.rng.choice((0, 1_000 * MS, 4_000 * MS)), lambda: happen(False))
            self.schedule(1_500 * MS, lambda: answer("unknown"))
        else:
            self.schedule(self.rng.randrange(1, self.link_delay_us), lambda: happen(True))

    def write_register(self, key: str, fence: int, value: bytes) -> tuple[int, bytes]:
        slot = slots.decoded(value)
        assert slot is not None
        scope = slots.scope_of_slot(key)
        assert key == slots.key_of_slot(scope, slot.version)
        version = scope, slot.epoch, slot.version
        assert version not in self.written, f"{version} is agreed twice"
        before = scope, slot.epoch, slot.version - 1
        assert slot.version == 1 or before in self.written, f"{version} leaves a hole"
        self.written[version] = slot.entries
        self.registers[key] = fence, value
        return fence, value

    # ---- Time and links ----

    def carry_out(self, name: str, effects: Effects) -> None:
        for one in effects:
            if isinstance(one, f.Read | f.Change):
                self.ask_register(name, one)
            elif isinstance(one, f.Tell):
                self.send(name, one)
            elif isinstance(one, f.Replied):
                assert one.ticket not in self.replies, "two answers to one"
                self.replies[one.ticket] = one.text
            elif isinstance(one, c.InForce):
                self.in_force.append((f"{name}/{self.incarnations[name]}", one))
            elif isinstance(one, f.Note):
                self.notes.append(f"{one.event} {one.text}")

    def send(self, name: str, one: f.Tell) -> None:
        if one.to not in self.incarnations:
            self.reader_messages.append((one.to, one.message))
        elif not {name, one.to} & (self.isolated | self.unlinked) and self.rng.random() >= self.loss:
            self.schedule(self.rng.randrange(1, self.link_delay_us), lambda: self.deliver(name, one.to, one.message))

    def deliver(self, sender: str, to: str, message: f.Message) -> None:
        if to in self.cores:
            self.carry_out(to, self.cores[to].receive(sender, message, self.now))

    def run(self, length: int) -> "World":
        end = self.now + length
        while True:
            due = [(max(self.now, core.due_us), name) for name, core in self.cores.items()]
            at, name = min(due, default=(end + 1, ""))
            if self.queue and self.queue[0][0] <= at:
                at = self.queue[0][0]
                if at > end:
                    break
                self.now = at
                heapq.heappop(self.queue)[2]()
            elif at > end:
                break
            else:
                self.now = at
                self.carry_out(name, self.cores[name].tick(at))
                assert self.cores[name].due_us > at, f"{name} is due again at once"
        self.now = end
        return self

    def offer(self, name: str, ticket: int, scope: str, *entries: tuple[str, bytes], base: int = -1) -> None:
        change = tuple(c.Entry(*one) for one in entries)
        self.carry_out(name, self.cores[name].offer(ticket, scope, change, base, self.now))

    def join(
        self, name: str, source: str = "s0", incarnation: int = 1, zone: str = "z", relays: int = 0, lost: str = ""
    ) -> None:
        address = f"{name}.{incarnation}:2"
        self.deliver(name, source, c.Join(incarnation, "r0", zone, address, relays, lost))

    def messages_to(self, to: str) -> list[f.Message]:
        return [message for name, message in self.reader_messages if name == to]

    # ---- The judge ----

    def check_invariants(self, tickets: dict[int, tuple[str, c.Entry]]) -> None:
        """The same change for each version at all, no holes, no way back; each offer at most once, as it was told."""
        at: dict[tuple[str, str], tuple[int, int]] = {}
        for who, move in self.in_force:
            scope, now = move.head.scope, (move.head.epoch, move.head.version)
            was = at.get((who, scope), (0, 0))
            assert now > was, f"{who} goes back in {scope}: {was} {now}"
            assert move.whole or now == (was[0], was[1] + 1), f"{who} leaves a hole in {scope}: {was} {now}"
            assert move.whole or self.written[scope, *now] == move.entries, f"{who} has its own {scope} {now}"
            at[who, scope] = now
        for name, core in self.cores.items():
            for scope in {scope for scope, _, _ in self.written}:
                head = core.head(scope)
                state: dict[str, bytes] = {}
                for version in range(1, head.version + 1):
                    for one in self.written[scope, head.epoch, version]:
                        state[one.key] = one.value
                state = {key: value for key, value in state.items() if value}
                assert dict(core.entries(scope)) == state, f"{name}'s {scope} is not what was agreed"
        for ticket, (scope, entry) in tickets.items():
            found = [key for key, entries in self.written.items() if key[0] == scope and entry in entries]
            assert len(found) <= 1, f"{entry} is in {found}"
            text = self.replies.get(ticket, "unknown")
            if text.startswith(scope):
                assert found and text.endswith(f" {found[0][2]}"), f"{text}: {found}"
            elif text.startswith("refused"):
                assert not found, f"{text}: {found}"
