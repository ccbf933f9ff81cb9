"""Banks under a fleet with versions: requests, steps and markers at simulated servers, and the judge of them.

- A request is served only where its version is laid out, at the moment that it is executed.
- At most two neighbouring versions are served at once, by true time.
- A contract runs only where the version is there to be gone on with.
"""

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import msgspec

from oatlink.fleet import messages as f
from oatlink.fleet.gate import Served
from oatlink.fleet.versions import marker
from oatlink.fleet.versions.compatible import applied
from oatlink.lab.fleetsim import views
from oatlink.lab.fleetsim.members import Bank, Member
from oatlink.lab.fleetsim.violation import Violation

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

STEP_US = 50_000
WAY_US = 40_000
SLOW_US = 4_000_000


class Banks:
    """All banks of one world."""

    def __init__(self, world: "World", seed: int) -> None:
        self._world, self._draw = world, Random(f"{seed}/banks")
        names = tuple(dict.fromkeys(world.members.values()))
        self.banks = {
            name: Bank(name, [one for one, bank in world.members.items() if bank == name], self._draw) for name in names
        }
        self._busy: dict[Process, Counter[int]] = {}
        self._quiet = False
        self.seen: Counter[str] = Counter()
        world.time.after(STEP_US, self._step)

    # ---- Faults ----

    def fail_over(self, bank: str, size: int) -> None:
        """See `Bank`."""
        self.banks[bank].fail_over(size)
        self.seen["failovers"] += 1

    def freeze(self, bank: str, size: int, us: int) -> None:
        """A member gets no further."""
        members = self.banks[bank].members
        self.banks[bank].frozen[members[size % len(members)].name] = self._world.time.now + us

    def heal(self) -> None:
        """No faults from now on."""
        self._quiet = True
        for bank in self.banks.values():
            bank.frozen.clear()

    def word(self, process: "Process", size: int) -> None:
        """An operator's word."""
        if process.node is None:
            return
        word = ("propose", "propose", "propose", "resume", "back")[size % 5]
        news = views.served(process.gate)
        base = min(news.versions) if news is not None else 1
        first = ("", *self.banks)[size // 8 % (1 + len(self.banks))]
        shards = {
            bank: {"expand": [["SET", bank, "1"]], "after": [first] if first not in ("", bank) else []}
            for bank in self.banks
        }
        stay = (0, 0, 2_000)[size // 64 % 3]
        text = msgspec.json.encode({"version": base + 1, "base": base, "shards": shards, "stay_ms": stay})
        process.come(process.given, lambda node, now: node.word(word, size, text if word == "propose" else b"", now))

    # ---- Time ----

    def _step(self) -> None:
        world = self._world
        world.time.after(STEP_US, self._step)
        for bank in self.banks.values():
            bank.step(world.time.now)
        for name in world.names:
            for process in world.machines[name].processes:
                if self._draw.random() < 0.3:
                    process.come(self._request, process)

    def busy(self, process: "Process") -> tuple[int, ...]:
        """The versions that something of it is out for."""
        held = self._busy.get(process)
        return tuple(sorted(version for version, count in held.items() if count > 0)) if held else ()

    def _request(self, process: "Process") -> None:
        news, draw = views.served(process.gate), self._draw
        client = f"app;layout={draw.choice(news.versions)}" if news is not None and draw.random() < 0.7 else "app"
        layout = process.gate.layout(client, 0, process.clock())
        if layout.back_us:
            self.seen["refused"] += 1
            return
        bank = draw.choice(list(self.banks.values()))
        mark = process.gate.marker(bank.name, layout.version)
        able = [one for one in bank.members if mark is None or applied(one.place(), mark)]
        if not able:
            self.seen["none able"] += 1
            return
        member, version = draw.choice(able), layout.version
        busy = self._busy.setdefault(process, Counter())
        busy[version] += 1
        # A deadline is by the gateway's clock, and a request is sent before it asks for the time again.
        whole = int(self._world.longest_us * (1 - 2 * self._world.drift)) - 1_000
        wait = draw.randrange(whole) if draw.random() < 0.3 else draw.randrange(min(whole, WAY_US))
        self._world.time.after(wait, self._executed, member, member.epoch, version, process.name)
        self._world.time.after(wait + 1, process.come, self._answered, process, version)

    def _executed(self, member: Member, epoch: int, version: int, name: str) -> None:
        if member.epoch == epoch:
            self.seen["served"] += 1
            if version not in member.offers():
                raise Violation("versions", f"version {version} by {name} at {member.name}: {member.offers()}")

    def _answered(self, process: "Process", version: int) -> None:
        self._busy[process][version] -= 1

    # ---- Steps ----

    def errand(self, process: "Process", effect: f.Effect) -> None:
        """Run a step or read a marker, over links of its own."""
        if isinstance(effect, f.RunStep):
            self._later(self._begin, process, effect)
        elif isinstance(effect, f.AskMarker):
            self._later(self._look, process, effect)
        elif isinstance(effect, f.Replied):
            self.seen["replies"] += 1

    def _later(self, what: object, *given: object) -> None:
        slow = not self._quiet and self._draw.random() < 0.05
        self._world.time.after(1 + self._draw.randrange(SLOW_US if slow else WAY_US), what, *given)  # type: ignore[arg-type]

    def _fails(self, chance: float) -> bool:
        return not self._quiet and self._draw.random() < chance

    def _reached(self, bank: str) -> Member:
        islands = [one for one in self.banks[bank].members if one.master]
        return self._draw.choice(islands) if self._fails(0.2) else self.banks[bank].primary

    def _look(self, process: "Process", asked: f.AskMarker) -> None:
        one = self._reached(asked.bank)
        told = (-1, "", -1) if self._fails(0.1) else (marker.completed_step(one.mark()), one.history, one.offset)
        self._later(process.come, process.given, lambda node, now: node.marked(asked.ask, *told, now))

    def _begin(self, process: "Process", step: f.RunStep) -> None:
        member = self._reached(step.bank)
        word = marker.decide(member.mark(), step.step, step.after)
        if word != "run" or self._fails(0.1):
            self._ends(process, step, "unknown" if word == "run" else word, member)
        else:
            self._later(self._execute, process, step, member, member.history, member.mark())

    def _execute(self, process: "Process", step: f.RunStep, member: Member, history: str, value: bytes | None) -> None:
        if not member.master or member.history != history or member.mark() != value:
            self._ends(process, step, "unknown", member)
            return
        if step.kind == "contract" and step.version not in member.offers():
            raise Violation("versions", f"contract {step.version} at {member.name}, which has {member.offers()}")
        well = not self._fails(0.1)
        member.write(("exec", step.step, step.version, step.kind, well))
        self.seen[step.kind] += 1
        if not well or self._fails(0.1):
            self._ends(process, step, "unknown" if well else "failed", member)
        else:
            self._later(self._seal, process, step, member, history)

    def _seal(self, process: "Process", step: f.RunStep, member: Member, history: str) -> None:
        begun = marker.encode(step.step, step.version, False)
        if not member.master or member.history != history or member.mark() != begun:
            self._ends(process, step, "unknown", member)
            return
        member.write(("seal", step.step, step.version, step.kind, True))
        self._ends(process, step, "unknown" if self._fails(0.1) else "done", member)

    def _ends(self, process: "Process", step: f.RunStep, how: str, member: Member) -> None:
        self.seen[how] += 1
        history, offset = (member.history, member.offset) if how == "done" else ("", -1)
        self._later(process.come, process.given, lambda node, now: node.ran(step.ask, how, history, offset, now))

    # ---- Judgement ----

    def told(self, process: "Process", news: Served) -> None:
        """A gate has heard what it may serve."""
        now, versions = self._world.time.now, {}
        for machine in self._world.machines.values():
            for one in machine.processes:
                known = views.served(one.gate)
                if known is not None and machine.clock.reaches(known.until_us) > now:
                    versions.update(dict.fromkeys(known.versions, one.name))
        if versions and max(versions) - min(versions) > 1:
            raise Violation("versions", f"{versions} are served at once")

    def settled(self) -> None:
        """All banks have one version, and every gateway serves it at each member."""
        kinds = {frozenset(one.offers()) for bank in self.banks.values() for one in bank.members}
        if len(kinds) != 1 or len(next(iter(kinds))) != 1:
            raise Violation("settles", f"versions {[sorted(one) for one in kinds]}")
        for name in self._world.names:
            process = self._world.machines[name].process
            assert process is not None
            layout = process.gate.layout("app", 0, process.clock())
            if {layout.version} != next(iter(kinds)) or layout.back_us:
                raise Violation("settles", f"{name} serves {layout}, members {[sorted(one) for one in kinds]}")

    def counts(self) -> dict[str, int]:
        """What happened."""
        return dict(self.seen)
