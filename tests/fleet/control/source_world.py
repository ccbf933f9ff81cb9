"""Simulates sources over registers that answer at once, late, or with an unknown outcome; checks what they agree on.

A change with an unknown outcome may have been done, not been done, or be done later.
"""

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
    return "bad is bad" if any(entry.value == b"bad" for entry in entries) else ""


@dataclass
class World:
    """The simulated sources. All times are of one clock.

    `unknown`: part of the questions to registers with an unknown outcome; `loss`: part of the messages that are lost.
    """

    seed: int
    count: int = 3
    unknown: float = 0.0
    loss: float = 0.0
    link_delay_us: int = 5 * MS
    now: int = 0
    registers: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    reader_messages: list[tuple[str, f.Message]] = field(default_factory=list)  # messages to readers
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
        self.incarnations = dict.fromkeys((place.name for place in self.places), 0)
        for place in self.places:
            self.start(place.name)

    def start(self, name: str) -> None:
        """Start a source, or start it again with nothing known."""
        place = next(candidate for candidate in self.places if candidate.name == name)
        self.incarnations[name] += 1
        region = f"r{name[1:]}"
        self.cores[name] = Source(
            place, region, self.incarnations[name], self.places, 0.001, self.seed, refuse_bad, self.now
        )

    def crash(self, name: str) -> None:
        self.cores.pop(name, None)

    def schedule(self, delay_us: int, action: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay_us, self.serial, action))

    # ---- Registers ----

    def ask_register(self, name: str, question: f.Read | f.Change) -> None:
        self.question_count += 1
        born, asked_us, draw = self.incarnations[name], self.now, self.rng.random()

        def answer(outcome: str, fence: int = 0, value: bytes = b"") -> None:
            if name in self.cores and self.incarnations[name] == born:
                self.carry_out(
                    name,
                    self.cores[name].answered(
                        f.Answer(question.ask, question.key, outcome, fence, value, asked_us), self.now
                    ),
                )

        def complete(is_answered: bool) -> None:
            fence, value = self.registers.get(question.key, (0, b""))
            outcome = "found"
            if isinstance(question, f.Change):
                outcome = "changed" if question.fence == fence else "differs"
                if outcome == "changed":
                    fence, value = self.write_register(question.key, fence + 1, question.value)
            if is_answered:
                self.schedule(self.rng.randrange(1, self.link_delay_us), lambda: answer(outcome, fence, value))

        if name in self.isolated or draw < self.unknown:
            if name not in self.isolated and self.rng.random() < 0.7:
                self.schedule(self.rng.choice((0, 1_000 * MS, 4_000 * MS)), lambda: complete(False))
            self.schedule(1_500 * MS, lambda: answer("unknown"))
        else:
            self.schedule(self.rng.randrange(1, self.link_delay_us), lambda: complete(True))

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
        for effect in effects:
            if isinstance(effect, f.Read | f.Change):
                self.ask_register(name, effect)
            elif isinstance(effect, f.Tell):
                self.send(name, effect)
            elif isinstance(effect, f.Replied):
                assert effect.ticket not in self.replies, "two answers to one offer"
                self.replies[effect.ticket] = effect.text
            elif isinstance(effect, c.InForce):
                self.in_force.append((f"{name}/{self.incarnations[name]}", effect))
            elif isinstance(effect, f.Note):
                self.notes.append(f"{effect.event} {effect.text}")

    def send(self, name: str, tell: f.Tell) -> None:
        if tell.to not in self.incarnations:
            self.reader_messages.append((tell.to, tell.message))
        elif not {name, tell.to} & (self.isolated | self.unlinked) and self.rng.random() >= self.loss:
            self.schedule(self.rng.randrange(1, self.link_delay_us), lambda: self.deliver(name, tell.to, tell.message))

    def deliver(self, sender: str, to: str, message: f.Message) -> None:
        if to in self.cores:
            self.carry_out(to, self.cores[to].receive(sender, message, self.now))

    def run(self, length_us: int) -> "World":
        end_us = self.now + length_us
        while True:
            due = [(max(self.now, core.due_us), name) for name, core in self.cores.items()]
            at_us, name = min(due, default=(end_us + 1, ""))
            if self.queue and self.queue[0][0] <= at_us:
                at_us = self.queue[0][0]
                if at_us > end_us:
                    break
                self.now = at_us
                heapq.heappop(self.queue)[2]()
            elif at_us > end_us:
                break
            else:
                self.now = at_us
                self.carry_out(name, self.cores[name].tick(at_us))
                assert self.cores[name].due_us > at_us, f"{name} is due again at once"
        self.now = end_us
        return self

    def offer(self, name: str, ticket: int, scope: str, *entries: tuple[str, bytes], base: int = -1) -> None:
        change = tuple(c.Entry(*entry) for entry in entries)
        self.carry_out(name, self.cores[name].offer(ticket, scope, change, base, self.now))

    def join(
        self, name: str, source: str = "s0", incarnation: int = 1, zone: str = "z", relays: int = 0, lost: str = ""
    ) -> None:
        address = f"{name}.{incarnation}:2"
        self.deliver(name, source, c.Join(incarnation, "r0", zone, address, relays, lost))

    def messages_to(self, to: str) -> list[f.Message]:
        return [message for name, message in self.reader_messages if name == to]

    # ---- Invariants ----

    def check_invariants(self, tickets: dict[int, tuple[str, c.Entry]]) -> None:
        """Check the history, and the answer to each offer.

        All sources have the same change for each version, leave no holes and never go back; each offer happened at most
        once, as its answer says.
        """
        heads: dict[tuple[str, str], tuple[int, int]] = {}
        for process, change in self.in_force:
            scope, reached = change.head.scope, (change.head.epoch, change.head.version)
            before = heads.get((process, scope), (0, 0))
            assert reached > before, f"{process} goes back in {scope}: {before} {reached}"
            assert change.whole or reached == (before[0], before[1] + 1), (
                f"{process} leaves a hole in {scope}: {before} {reached}"
            )
            assert change.whole or self.written[scope, *reached] == change.entries, (
                f"{process} has its own {scope} {reached}"
            )
            heads[process, scope] = reached
        for name, core in self.cores.items():
            for scope in {scope for scope, _, _ in self.written}:
                head = core.head(scope)
                state: dict[str, bytes] = {}
                for version in range(1, head.version + 1):
                    for written in self.written[scope, head.epoch, version]:
                        state[written.key] = written.value
                state = {key: value for key, value in state.items() if value}
                assert dict(core.entries(scope)) == state, f"{name}'s {scope} is not what was agreed"
        for ticket, (scope, entry) in tickets.items():
            versions = [key for key, entries in self.written.items() if key[0] == scope and entry in entries]
            assert len(versions) <= 1, f"{entry} is in {versions}"
            text = self.replies.get(ticket, "unknown")
            if text.startswith(scope):
                assert versions and text.endswith(f" {versions[0][2]}"), f"{text}: {versions}"
            elif text.startswith("refused"):
                assert not versions, f"{text}: {versions}"
