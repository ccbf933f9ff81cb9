"""A planned day of the fleet: the day of `oatlink.lab.day` with links between the gateways, and faults in them.

Each gateway is a process with a fleet part; each directed pair of them is joined by a proxy of its own, so that any
link can be made bad one way or both. Gateways are killed, stopped and started again; their clients go elsewhere.
"""

import asyncio
from pathlib import Path

import msgspec

from oatlink.audit.evidence import EvidenceChecker, EvidenceResult
from oatlink.audit.quota import Allowance, QuotaChecker, QuotaResult, QuotaTerms
from oatlink.audit.versions import VersionsChecker, VersionsResult
from oatlink.lab.day import ScenarioRun
from oatlink.lab.days.faults import StepRunner
from oatlink.lab.days.gateways import Gateways
from oatlink.lab.days.world import now_us
from oatlink.lab.embedded import port_of, reserve
from oatlink.lab.fleet.faults import Faults
from oatlink.lab.fleet.layouts import Operator, layouts_clients
from oatlink.lab.fleet.links import Links
from oatlink.lab.fleet.parts import Parts, keepers, node_name
from oatlink.lab.fleet.report import FleetReport
from oatlink.lab.fleet.roamers import Spread
from oatlink.lab.fleet.scenarios import FleetScenario
from oatlink.lab.fleet.tenants import NAMES, others, tenants_clients
from oatlink.lab.fleet.watching import Watchers, harms


class FleetScenarioRun(ScenarioRun):
    """One run."""

    def __init__(
        self,
        scenario: FleetScenario,
        seed: int,
        seconds: float,
        command_line: list[str] | None = None,
        record_to: str = "",
    ) -> None:
        self.fleet = scenario
        self._links_held = [reserve() for _ in range(scenario.gateways)]
        ports = [port_of(one) for one in self._links_held]
        self.wires = Links(ports, seed)
        self.parts = Parts(scenario, seed, ports)
        super().__init__(scenario.base(), seed, seconds, command_line, record_to)
        self.faults = Faults(
            self.world, self.gateways, self.wires, scenario.faults, self.parts.state_dir, keepers(scenario)
        )
        self.operator = Operator(self.world, scenario.changes, self.faults.problems)
        self.watchers = Watchers(self.world)
        self.step_runner = StepRunner(self.world, self.clients)
        self.begun_us = self.asked_until_us = 0
        for box in self.world.embedded.boxes.values():
            box.on_applied = self._record_applied

    def make_gateways(self, command_line: list[str] | None, record_to: str) -> Gateways:
        """See `ScenarioRun.make_gateways`."""
        return Gateways(self.world, command_line, record_to, NAMES, lambda at: self.parts.text(at, self.wires))

    def killed_gateways(self) -> set[int]:
        """See `ScenarioRun.killed_gateways`."""
        return self.faults.killed

    async def prepare(self, folder: Path) -> None:
        """See `ScenarioRun.prepare`."""
        self.parts.make(folder)
        await self.wires.start()

    async def clean_up(self) -> None:
        """See `ScenarioRun.clean_up`."""
        await self.wires.stop()
        for held in self._links_held:
            held.close()

    def _record_applied(self, box: str, args: list[bytes]) -> None:
        if args[0] == b"FLUSHALL" or (len(args) > 1 and args[1].startswith(b"layout:")):
            self.world.capture.add_applied(now_us(), box, args)

    def begin(self) -> list["asyncio.Future[None]"]:
        """Begin all clients; each future ends with its client."""
        scenario, world = self.fleet, self.world
        spread = Spread(world.seed, scenario.gateways, scenario.phase_s)
        if scenario.judge == "versions":
            return [one() for one in layouts_clients(scenario, world, self.commands, spread)]
        roamers = [
            *tenants_clients(scenario, world, self.commands, spread),
            *others(scenario, world, self.commands, spread),
        ]
        return [asyncio.ensure_future(one.run()) for one in roamers]

    async def play(self) -> None:
        """See `ScenarioRun.play`."""
        self.begun_us = now_us()
        clients = self.begin()
        beside = [
            asyncio.ensure_future(self.lag_monitor.run()),
            asyncio.ensure_future(self.step_runner.run()),
            asyncio.ensure_future(self.operator.run()),
        ]
        if self.fleet.judge == "verdicts":
            beside += [asyncio.ensure_future(self.watchers.run(at)) for at in range(self.fleet.gateways)]
        faults = asyncio.ensure_future(self.faults.run())
        try:
            await asyncio.gather(*clients)
            self.asked_until_us = min(now_us(), self.begun_us + int(self.world.seconds * 1e6))
            async with asyncio.timeout(20):
                await faults  # a gateway that is being started again is not left half there
            if self.fleet.changes:
                await self.operator.look()
        finally:
            self.faults.finish()
            for one in (*beside, faults):
                one.cancel()

    async def judged(self) -> FleetReport:
        """Play the day and judge it."""
        report = FleetReport(await self.run(), problems=self.faults.problems)
        if self.fleet.judge == "quota":
            report.quota = self._quota()
        elif self.fleet.judge == "versions":
            report.versions, report.layout = self._versions(), self.operator.status
        elif self.fleet.judge == "verdicts":
            report.evidence = self._evidence()
        return report

    def _evidence(self) -> EvidenceResult:
        banks = {box.name: bank.name for bank in self.world.embedded.banks for box in bank.boxes}
        done = harms(self.step_runner, banks, self.asked_until_us)
        names = tuple(node_name(at) for at in range(self.fleet.gateways))
        return EvidenceChecker(self.world.capture, done, self.watchers.observations, banks, names).check()

    def _versions(self) -> VersionsResult:
        banks = {box.name: bank.name for bank in self.world.embedded.banks for box in bank.boxes}
        words = {one.version: one.word for one in self.fleet.changes}  # the last one on each
        due = tuple(version for version, word in words.items() if word != "back")
        return VersionsChecker(self.world.capture, banks, self.operator.proposed, due).check()

    def _quota(self) -> QuotaResult:
        scenario = self.fleet
        settle_us = int(2 * scenario.term_s * 1e6)
        spans, heals = self.faults.spans(self.begun_us, self.asked_until_us, settle_us)
        terms = QuotaTerms(
            {name: Allowance(one.rate, one.burst, one.floor) for name, one in scenario.tenants.items()},
            scenario.gateways,
            scenario.drift,
            recovery_us=settle_us + int(self.lag_monitor.worst_ms * 1000),
            spans=tuple(spans),
            heals=tuple(heals),
        )
        return QuotaChecker(self.world.capture, terms).check()


def play_fleet(
    scenario: FleetScenario,
    seed: int,
    seconds: float,
    command_line: list[str] | None = None,
    record_to: str = "",
) -> FleetReport:
    """Play and judge one day of the fleet; with `record_to`, each gateway's recording is that path and its number.

    A day of verdicts is played twice, with them and without.
    """
    report = asyncio.run(FleetScenarioRun(scenario, seed, seconds, command_line, record_to).judged())
    if scenario.judge == "verdicts" and scenario.verdicts:
        other = msgspec.structs.replace(scenario, verdicts=False)
        report.without = asyncio.run(FleetScenarioRun(other, seed, seconds, command_line).judged())
    return report
