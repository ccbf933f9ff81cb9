"""Banks under a fleet with versions: requests, steps and markers at simulated servers, and the checks of versions.

- A request is executed only at a member whose data are laid out for its version at that moment.
- By true time, only one version or two neighbouring ones are served at once.
- A contract runs only at a member that offers the version that remains after it.
"""

from collections import Counter
from collections.abc import Callable
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

STEP_INTERVAL_US = 50_000
MAX_DELAY_US = 40_000
MAX_SLOW_DELAY_US = 4_000_000


class Banks:
    """All banks of one world."""

    def __init__(self, world: "World", seed: int) -> None:
        self._world, self._draw = world, Random(f"{seed}/banks")
        names = tuple(dict.fromkeys(world.members.values()))
        self.banks = {
            name: Bank(name, [member for member, bank in world.members.items() if bank == name], self._draw)
            for name in names
        }
        self._busy: dict[Process, Counter[int]] = {}  # open requests by version
        self._is_healed = False
        self._counts: Counter[str] = Counter()
        world.time.after(STEP_INTERVAL_US, self._step)

    # ---- Faults ----

    def fail_over(self, bank: str, size: int) -> None:
        """Promote another member of a bank."""
        self.banks[bank].fail_over(size)
        self._counts["failovers"] += 1

    def freeze(self, bank: str, size: int, us: int) -> None:
        """Stop replication to one member of a bank for a while."""
        members = self.banks[bank].members
        self.banks[bank].frozen[members[size % len(members)].name] = self._world.time.now + us

    def heal(self) -> None:
        """End all faults."""
        self._is_healed = True
        for bank in self.banks.values():
            bank.frozen.clear()

    def issue_operator_command(self, process: "Process", size: int) -> None:
        """Issue one of the operator's commands about versions, chosen by `size`, at a gateway."""
        if process.node is None:
            return
        command = ("propose", "propose", "propose", "resume", "back")[size % 5]
        news = views.served_versions(process.gate)
        base = min(news.versions) if news is not None else 1
        first = ("", *self.banks)[size // 8 % (1 + len(self.banks))]
        shards = {
            bank: {"expand": [["SET", bank, "1"]], "after": [first] if first not in ("", bank) else []}
            for bank in self.banks
        }
        stay_ms = (0, 0, 2_000)[size // 64 % 3]
        plan = msgspec.json.encode({"version": base + 1, "base": base, "shards": shards, "stay_ms": stay_ms})
        plan = plan if command == "propose" else b""
        process.deliver(process.call_node, lambda node, now: node.word(command, size, plan, now))

    # ---- Time ----

    def _step(self) -> None:
        world = self._world
        world.time.after(STEP_INTERVAL_US, self._step)
        for bank in self.banks.values():
            bank.step(world.time.now)
        for name in world.names:
            for process in world.machines[name].processes:
                if self._draw.random() < 0.3:
                    process.deliver(self._send_request, process)

    def busy_versions(self, process: "Process") -> tuple[int, ...]:
        """The versions of the requests of a process that are still open."""
        busy = self._busy.get(process)
        return tuple(sorted(version for version, count in busy.items() if count > 0)) if busy else ()

    def _send_request(self, process: "Process") -> None:
        news, draw = views.served_versions(process.gate), self._draw
        client = f"app;layout={draw.choice(news.versions)}" if news is not None and draw.random() < 0.7 else "app"
        layout = process.gate.layout(client, 0, process.clock())
        if layout.back_us:
            self._counts["refused"] += 1
            return
        bank = draw.choice(list(self.banks.values()))
        needed_marker = process.gate.marker(bank.name, layout.version)
        candidates = [
            member for member in bank.members if needed_marker is None or applied(member.place(), needed_marker)
        ]
        if not candidates:
            self._counts["none able"] += 1
            return
        member, version = draw.choice(candidates), layout.version
        busy = self._busy.setdefault(process, Counter())
        busy[version] += 1
        # The deadline is by the gateway's clock, and the gateway sends the request before it reads its clock again.
        max_us = int(self._world.max_request_us * (1 - 2 * self._world.drift)) - 1_000
        wait_us = draw.randrange(max_us) if draw.random() < 0.3 else draw.randrange(min(max_us, MAX_DELAY_US))
        self._world.time.after(wait_us, self._execute_request, member, member.epoch, version, process.name)
        self._world.time.after(wait_us + 1, process.deliver, self._request_answered, process, version)

    def _execute_request(self, member: Member, epoch: int, version: int, name: str) -> None:
        if member.epoch == epoch:
            self._counts["served"] += 1
            if version not in member.offers():
                raise Violation(
                    "versions", f"{name} runs version {version} at {member.name}, which offers {member.offers()}"
                )

    def _request_answered(self, process: "Process", version: int) -> None:
        self._busy[process][version] -= 1

    # ---- Steps ----

    def run_task(self, process: "Process", effect: f.Effect) -> None:
        """Run a step or read a marker; the connections to servers have delays of their own."""
        if isinstance(effect, f.RunStep):
            self._call_later(self._begin_step, process, effect)
        elif isinstance(effect, f.AskMarker):
            self._call_later(self._read_marker, process, effect)
        elif isinstance(effect, f.Replied):
            self._counts["replies"] += 1

    def _call_later(self, callback: Callable[..., None], *arguments: object) -> None:
        is_slow = self._happens(0.05)
        self._world.time.after(
            1 + self._draw.randrange(MAX_SLOW_DELAY_US if is_slow else MAX_DELAY_US), callback, *arguments
        )

    def _happens(self, chance: float) -> bool:
        """Draw whether a fault happens; none does once faults have ended."""
        return not self._is_healed and self._draw.random() < chance

    def _connect(self, bank: str) -> Member:
        """The bank's primary, or by chance any member that considers itself the primary."""
        primaries = [member for member in self.banks[bank].members if member.is_primary]
        return self._draw.choice(primaries) if self._happens(0.2) else self.banks[bank].primary

    def _read_marker(self, process: "Process", request: f.AskMarker) -> None:
        member = self._connect(request.bank)
        if self._happens(0.1):
            reply = (-1, "", -1)
        else:
            reply = (marker.completed_step(member.marker_value()), member.history, member.offset)
        self._call_later(process.deliver, process.call_node, lambda node, now: node.marked(request.ask, *reply, now))

    def _begin_step(self, process: "Process", step: f.RunStep) -> None:
        member = self._connect(step.bank)
        verdict = marker.decide(member.marker_value(), step.step, step.after)
        if verdict != "run" or self._happens(0.1):
            self._end_step(process, step, "unknown" if verdict == "run" else verdict, member)
        else:
            self._call_later(self._execute_step, process, step, member, member.history, member.marker_value())

    def _execute_step(
        self, process: "Process", step: f.RunStep, member: Member, history: str, value: bytes | None
    ) -> None:
        if not member.is_primary or member.history != history or member.marker_value() != value:
            self._end_step(process, step, "unknown", member)
            return
        if step.kind == "contract" and step.version not in member.offers():
            raise Violation(
                "versions", f"contract to version {step.version} at {member.name}, which offers {member.offers()}"
            )
        succeeds = not self._happens(0.1)
        member.write(("exec", step.step, step.version, step.kind, succeeds))
        self._counts[step.kind] += 1
        if not succeeds or self._happens(0.1):
            self._end_step(process, step, "unknown" if succeeds else "failed", member)
        else:
            self._call_later(self._seal_step, process, step, member, history)

    def _seal_step(self, process: "Process", step: f.RunStep, member: Member, history: str) -> None:
        begun_value = marker.encode(step.step, step.version, False)
        if not member.is_primary or member.history != history or member.marker_value() != begun_value:
            self._end_step(process, step, "unknown", member)
            return
        member.write(("seal", step.step, step.version, step.kind, True))
        self._end_step(process, step, "unknown" if self._happens(0.1) else "done", member)

    def _end_step(self, process: "Process", step: f.RunStep, outcome: str, member: Member) -> None:
        self._counts[outcome] += 1
        history, offset = (member.history, member.offset) if outcome == "done" else ("", -1)
        self._call_later(
            process.deliver, process.call_node, lambda node, now: node.ran(step.ask, outcome, history, offset, now)
        )

    # ---- Checks ----

    def gate_notified(self, process: "Process", news: Served) -> None:
        """Check the served versions of all gateways after a gate was notified of the versions that it may serve."""
        now, versions = self._world.time.now, {}
        for machine in self._world.machines.values():
            for other in machine.processes:
                known = views.served_versions(other.gate)
                if known is not None and machine.clock.reaches(known.until_us) > now:
                    versions.update(dict.fromkeys(known.versions, other.name))
        if versions and max(versions) - min(versions) > 1:
            raise Violation("versions", f"versions {versions} are served at once")

    def check_settled(self) -> None:
        """Check that all members have the same single version and that every gateway serves it."""
        offers = {frozenset(member.offers()) for bank in self.banks.values() for member in bank.members}
        if len(offers) != 1 or len(next(iter(offers))) != 1:
            raise Violation("settles", f"members offer versions {[sorted(versions) for versions in offers]}")
        for name in self._world.names:
            process = self._world.machines[name].process
            assert process is not None
            layout = process.gate.layout("app", 0, process.clock())
            if {layout.version} != next(iter(offers)) or layout.back_us:
                raise Violation(
                    "settles", f"{name} serves {layout}, members offer {[sorted(versions) for versions in offers]}"
                )

    def counts(self) -> dict[str, int]:
        """How often each outcome and fault happened."""
        return dict(self._counts)
