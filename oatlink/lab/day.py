"""Runs a planned fault scenario ("day") on loopback: gateways as processes; stand-in boxes and clients in this process.

Clients and stand-ins record every byte on their sockets, and `oatlink.audit` checks the invariants from these records
alone. A schedule is data, with steps like `{at: share of the run, do: action, ...}`, so any fault can be scheduled.
"""

import asyncio
import tempfile
import time
from pathlib import Path

from oatlink.audit.capture import Capture
from oatlink.audit.invariants import OWN_KEYS, InvariantChecker, Terms
from oatlink.lab.days.clients import Clients, LagMonitor, poll_gateway
from oatlink.lab.days.commands import CommandFactory
from oatlink.lab.days.faults import StepRunner
from oatlink.lab.days.final import read_final_tokens
from oatlink.lab.days.gateways import Gateways
from oatlink.lab.days.report import Report
from oatlink.lab.days.schedule import SCENARIOS, Scenario, Step, load_scenario
from oatlink.lab.days.world import COLD_SHARE, DRAIN_GRACE_US, STALENESS_MS, WARM_S, World, now_us
from oatlink.lab.embedded import Embedded, port_of, reserve
from oatlink.standins.box import WorkProfile

__all__ = ["SCENARIOS", "Report", "Scenario", "ScenarioRun", "Step", "load_scenario", "play"]


class ScenarioRun:
    """One run of a scenario, with its invariant check."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        seconds: float,
        command_line: list[str] | None = None,
        record_to: str = "",
        ask_every_s: float = 0.0,
    ) -> None:
        self._poll_every_s = ask_every_s
        work_us = int(scenario.work_ms * 1000)
        self._work = WorkProfile(work_us, work_us, 4, COLD_SHARE, WARM_S)
        embedded = Embedded(
            scenario.banks, scenario.members, seed, work=self._work, tap=self._record_bytes, paths=scenario.paths
        )
        self._reserved = [reserve() for _ in range(2 * scenario.gateways)]
        ports = [port_of(reserved) for reserved in self._reserved]
        self.world = World(
            scenario, seed, seconds, embedded, Capture(), ports[: scenario.gateways], ports[scenario.gateways :]
        )
        self.lag_monitor = LagMonitor()
        self.gateways = self.make_gateways(command_line, record_to)
        self.commands = CommandFactory()
        self.clients = Clients(self.world, self.commands)

    def make_gateways(self, command_line: list[str] | None, record_to: str) -> Gateways:
        """Return the gateway processes; a fleet scenario overrides this to add its settings."""
        return Gateways(self.world, command_line, record_to)

    def _record_bytes(self, box: str, connection: int, direction: str, data: bytes) -> None:
        self.world.capture.add(now_us(), box, connection, direction == "out", data)

    def _record_applied(self, box: str, args: list[bytes]) -> None:
        if args[0] == b"XADD" and args[1].startswith(OWN_KEYS):
            self.world.capture.add_applied(now_us(), box, args)

    async def run(self) -> Report:
        """Run the scenario and check the invariants."""
        world = self.world
        with tempfile.TemporaryDirectory(prefix="oatlink-day-") as folder:
            world.roster = Path(folder) / "roster.json"
            stop_banks = await world.embedded.start()
            for box in world.embedded.boxes.values():
                box._started_s -= WARM_S  # the boxes are past their warm-up when the run begins
                box.on_applied = self._record_applied
            world.write_roster()
            try:
                await self.prepare(Path(folder))
                await self.gateways.start(Path(folder))
                world.end_s = time.monotonic() + world.seconds
                await self.play()
                self.stop_us = now_us()
                final_tokens = await read_final_tokens(world.embedded)
                codes = await self.gateways.stop()
            finally:
                await self.gateways.kill()
                await self.clean_up()
                for reserved in self._reserved:
                    reserved.close()
                stop_banks()
        result = InvariantChecker(world.capture, self.terms(), self.stop_us).check(final_tokens)
        if any(code for number, code in enumerate(codes) if number not in self.killed_gateways()):
            result.violations["one_answer"].append(f"gateways ended with {codes}")
        elections = sum(bank.elections for bank in world.embedded.banks)
        return Report(result, elections, world.steps, codes, self.lag_monitor.worst_ms)

    async def prepare(self, folder: Path) -> None:
        """Set up what the gateways need before they start."""

    async def clean_up(self) -> None:
        """Release what `prepare` set up, after the gateways have ended."""

    def killed_gateways(self) -> set[int]:
        """Return the gateways that a fault killed without a restart; their exit codes are not violations."""
        return set()

    async def play(self) -> None:
        """Run clients, faults and operators until the last client has ended."""
        clients = self.clients.start()
        background = [
            asyncio.ensure_future(StepRunner(self.world, self.clients).run()),
            asyncio.ensure_future(self.lag_monitor.run()),
        ]
        if self._poll_every_s:
            background += [
                asyncio.ensure_future(poll_gateway(port, self._poll_every_s)) for port in self.world.admin_ports
            ]
        await asyncio.gather(*clients)
        await self.clients.wait_for_bursts()
        for task in background:
            task.cancel()

    def terms(self) -> Terms:
        """Return the terms that the invariant checker holds the gateways to."""
        return Terms(
            classes={
                "view": ("bounded", 2_000_000, STALENESS_MS * 1000),
                "check": ("latest", 1_500_000, 0),
                "own": ("session", 2_000_000, 0),
                "post": ("latest", 3_000_000, 0),
            },
            harness_delay_us=int(self.lag_monitor.worst_ms * 1000),
            drain_grace_us=DRAIN_GRACE_US,
            cold_window_us=1_000_000,
            cold_load_factor=4.0,
            command_work_us=self._work.read_us,
            cores=self._work.cores,
            cold_share=COLD_SHARE,
            warmup_us=int(WARM_S * 1e6),
        )


def play(
    scenario: Scenario,
    seed: int,
    seconds: float,
    command_line: list[str] | None = None,
    record_to: str = "",
    ask_every_s: float = 0.0,
) -> Report:
    """Run and check one scenario.

    With `record_to`, each gateway writes a recording to that path with its number appended. With `ask_every_s`, an
    operator polls each gateway at that interval.
    """
    return asyncio.run(ScenarioRun(scenario, seed, seconds, command_line, record_to, ask_every_s).run())
