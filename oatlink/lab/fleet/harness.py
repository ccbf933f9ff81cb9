"""Runs a fleet scenario: a scenario of `oatlink.lab.day` with links between the gateways, and faults of these links.

Each gateway is a process with a `fleet` section in its settings. Each directed pair of gateways is connected through
its own proxy, so that any link can be cut in one direction or both. Gateways are killed, halted and restarted; their
clients then move to other gateways.
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
from oatlink.lab.fleet.clients import ClientSpread
from oatlink.lab.fleet.faults import FaultInjector
from oatlink.lab.fleet.layouts import LayoutOperator, make_layout_clients
from oatlink.lab.fleet.links import Links
from oatlink.lab.fleet.observers import MemberObservers, injected_faults
from oatlink.lab.fleet.report import FleetReport
from oatlink.lab.fleet.scenarios import FleetScenario
from oatlink.lab.fleet.settings import FleetSettings, acceptor_count, node_name
from oatlink.lab.fleet.tenants import CLIENT_NAME_PATTERN, make_clients_without_tenant, make_tenant_clients


class FleetScenarioRun(ScenarioRun):
    """One run of a fleet scenario, with the invariant check and the checker that the scenario names."""

    def __init__(
        self,
        scenario: FleetScenario,
        seed: int,
        seconds: float,
        command_line: list[str] | None = None,
        record_to: str = "",
    ) -> None:
        self.fleet_scenario = scenario
        self._reserved_links = [reserve() for _ in range(scenario.gateways)]
        ports = [port_of(reserved) for reserved in self._reserved_links]
        self.links = Links(ports, seed)
        self.fleet_settings = FleetSettings(scenario, seed, ports)
        super().__init__(scenario.base(), seed, seconds, command_line, record_to)
        self.faults = FaultInjector(
            self.world,
            self.gateways,
            self.links,
            scenario.faults,
            self.fleet_settings.state_dir,
            acceptor_count(scenario),
        )
        self.operator = LayoutOperator(self.world, scenario.changes, self.faults.problems)
        self.observers = MemberObservers(self.world)
        self.step_runner = StepRunner(self.world, self.clients)
        self.start_us = self.end_us = 0
        for box in self.world.embedded.boxes.values():
            box.on_applied = self._record_applied

    def make_gateways(self, command_line: list[str] | None, record_to: str) -> Gateways:
        """See `ScenarioRun.make_gateways`."""
        return Gateways(
            self.world,
            command_line,
            record_to,
            CLIENT_NAME_PATTERN,
            lambda number: self.fleet_settings.section(number, self.links),
        )

    def killed_gateways(self) -> set[int]:
        """See `ScenarioRun.killed_gateways`."""
        return self.faults.killed

    async def prepare(self, folder: Path) -> None:
        """See `ScenarioRun.prepare`."""
        self.fleet_settings.write_files(folder)
        await self.links.start()

    async def clean_up(self) -> None:
        """See `ScenarioRun.clean_up`."""
        await self.links.stop()
        for reserved in self._reserved_links:
            reserved.close()

    def _record_applied(self, box: str, args: list[bytes]) -> None:
        if args[0] == b"FLUSHALL" or (len(args) > 1 and args[1].startswith(b"layout:")):
            self.world.capture.add_applied(now_us(), box, args)

    def start_clients(self) -> list["asyncio.Future[None]"]:
        """Start all clients; each future ends when its client does."""
        scenario, world = self.fleet_scenario, self.world
        spread = ClientSpread(world.seed, scenario.gateways, scenario.phase_s)
        if scenario.judge == "versions":
            return [start() for start in make_layout_clients(scenario, world, self.commands, spread)]
        roaming_clients = [
            *make_tenant_clients(scenario, world, self.commands, spread),
            *make_clients_without_tenant(scenario, world, self.commands, spread),
        ]
        return [asyncio.ensure_future(client.run()) for client in roaming_clients]

    async def play(self) -> None:
        """See `ScenarioRun.play`."""
        self.start_us = now_us()
        clients = self.start_clients()
        background = [
            asyncio.ensure_future(self.lag_monitor.run()),
            asyncio.ensure_future(self.step_runner.run()),
            asyncio.ensure_future(self.operator.run()),
        ]
        if self.fleet_scenario.judge == "verdicts":
            background += [
                asyncio.ensure_future(self.observers.run(number)) for number in range(self.fleet_scenario.gateways)
            ]
        faults = asyncio.ensure_future(self.faults.run())
        try:
            await asyncio.gather(*clients)
            self.end_us = min(now_us(), self.start_us + int(self.world.seconds * 1e6))
            async with asyncio.timeout(20):
                await faults  # lets a restart of a gateway complete
            if self.fleet_scenario.changes:
                await self.operator.read_status()
        finally:
            self.faults.resume_halted()
            for task in (*background, faults):
                task.cancel()

    async def run_and_check(self) -> FleetReport:
        """Run the scenario, then the invariant checker and the checker that the scenario names."""
        report = FleetReport(await self.run(), problems=self.faults.problems)
        if self.fleet_scenario.judge == "quota":
            report.quota = self._quota()
        elif self.fleet_scenario.judge == "versions":
            report.versions, report.layout = self._versions(), self.operator.status
        elif self.fleet_scenario.judge == "verdicts":
            report.evidence = self._evidence()
        return report

    def _evidence(self) -> EvidenceResult:
        banks = {box.name: bank.name for bank in self.world.embedded.banks for box in bank.boxes}
        faults = injected_faults(self.step_runner, banks, self.end_us)
        names = tuple(node_name(number) for number in range(self.fleet_scenario.gateways))
        return EvidenceChecker(self.world.capture, faults, self.observers.observations, banks, names).check()

    def _versions(self) -> VersionsResult:
        banks = {box.name: bank.name for bank in self.world.embedded.banks for box in bank.boxes}
        last_words = {change.version: change.word for change in self.fleet_scenario.changes}
        due = tuple(version for version, word in last_words.items() if word != "back")
        return VersionsChecker(self.world.capture, banks, self.operator.proposed, due).check()

    def _quota(self) -> QuotaResult:
        scenario = self.fleet_scenario
        settle_us = int(2 * scenario.term_s * 1e6)
        spans, heals = self.faults.spans(self.start_us, self.end_us, settle_us)
        terms = QuotaTerms(
            {name: Allowance(tenant.rate, tenant.burst, tenant.floor) for name, tenant in scenario.tenants.items()},
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
    """Run and check one fleet scenario.

    With `record_to`, each gateway writes a recording to that path with its number appended. A scenario of the judge
    `verdicts` runs twice, with `verdicts` on and off.
    """
    report = asyncio.run(FleetScenarioRun(scenario, seed, seconds, command_line, record_to).run_and_check())
    if scenario.judge == "verdicts" and scenario.verdicts:
        variant = msgspec.structs.replace(scenario, verdicts=False)
        report.without_verdicts = asyncio.run(FleetScenarioRun(variant, seed, seconds, command_line).run_and_check())
    return report
