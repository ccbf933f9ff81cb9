"""A planned day of trouble: gateways in processes of their own, stand-ins and clients here, all on loopback.

The clients and the stand-ins record every byte on their sockets; `oatlink.audit` judges from that alone. A
schedule is data: `{at: share of the day, do: what, ...}`, so that any sort of trouble can be pushed through.
"""

import asyncio
import tempfile
import time
from pathlib import Path

from oatlink.audit.capture import Capture
from oatlink.audit.invariants import OWN_KEYS, InvariantChecker, Terms
from oatlink.lab.days.clients import Clients, Watch, operate
from oatlink.lab.days.commands import Commands
from oatlink.lab.days.final import final
from oatlink.lab.days.gateways import Gateways
from oatlink.lab.days.report import Report
from oatlink.lab.days.schedule import SCENARIOS, Scenario, Step, load_scenario
from oatlink.lab.days.trouble import Trouble
from oatlink.lab.days.world import COLD_SHARE, GRACE_US, STALENESS_MS, WARM_S, World, now_us
from oatlink.lab.embedded import Embedded, port_of, reserve
from oatlink.standins.box import WorkProfile

__all__ = ["SCENARIOS", "Day", "Report", "Scenario", "Step", "load_scenario", "play"]


class Day:
    """One run."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        seconds: float,
        command_line: list[str] | None = None,
        record_to: str = "",
        ask_every_s: float = 0.0,
    ) -> None:
        self._ask_every_s = ask_every_s
        work_us = int(scenario.work_ms * 1000)
        self._work = WorkProfile(work_us, work_us, 4, COLD_SHARE, WARM_S)
        embedded = Embedded(
            scenario.banks, scenario.members, seed, work=self._work, tap=self._tap, paths=scenario.paths
        )
        self._reserved = [reserve() for _ in range(2 * scenario.gateways)]
        ports = [port_of(one) for one in self._reserved]
        self.world = World(
            scenario, seed, seconds, embedded, Capture(), ports[: scenario.gateways], ports[scenario.gateways :]
        )
        self.watch = Watch()
        self.gateways = self.make_gateways(command_line, record_to)
        self.commands = Commands()
        self.clients = Clients(self.world, self.commands)

    def make_gateways(self, command_line: list[str] | None, record_to: str) -> Gateways:
        """The processes; a day of a fleet has other settings for them."""
        return Gateways(self.world, command_line, record_to)

    def _tap(self, box: str, connection: int, way: str, data: bytes) -> None:
        self.world.capture.add(now_us(), box, connection, way == "out", data)

    def _applied(self, box: str, args: list[bytes]) -> None:
        if args[0] == b"XADD" and args[1].startswith(OWN_KEYS):
            self.world.capture.add_applied(now_us(), box, args)

    async def run(self) -> Report:
        """Play the day and judge it."""
        world = self.world
        with tempfile.TemporaryDirectory(prefix="oatlink-day-") as folder:
            world.roster = Path(folder) / "roster.json"
            end = await world.embedded.start()
            for box in world.embedded.boxes.values():
                box._started_s -= WARM_S  # the day begins with a warm fleet
                box.on_applied = self._applied
            world.write_roster()
            try:
                await self.before(Path(folder))
                await self.gateways.start(Path(folder))
                world.end_s = time.monotonic() + world.seconds
                await self.play()
                self.stop_us = now_us()
                found = await final(world.embedded)
                codes = await self.gateways.stop()
            finally:
                await self.gateways.kill()
                await self.after()
                for held in self._reserved:
                    held.close()
                end()
        verdict = InvariantChecker(world.capture, self.terms(), self.stop_us).check(found)
        if any(code for at, code in enumerate(codes) if at not in self.killed()):
            verdict.violations["one_answer"].append(f"gateways ended with {codes}")
        elections = sum(one.elections for one in world.embedded.banks)
        return Report(verdict, elections, world.steps, codes, self.watch.worst_ms)

    async def before(self, folder: Path) -> None:
        """What must be there before the gateways start."""

    async def after(self) -> None:
        """What must go once they have ended."""

    def killed(self) -> set[int]:
        """Gateways that were killed and not started again; their exit codes are the day's own doing."""
        return set()

    async def play(self) -> None:
        """Clients, trouble and operators, until the last client has gone."""
        clients = self.clients.begin()
        beside = [
            asyncio.ensure_future(Trouble(self.world, self.clients).run()),
            asyncio.ensure_future(self.watch.run()),
        ]
        if self._ask_every_s:
            beside += [asyncio.ensure_future(operate(port, self._ask_every_s)) for port in self.world.admin_ports]
        await asyncio.gather(*clients)
        await self.clients.over()
        for one in beside:
            one.cancel()

    def terms(self) -> Terms:
        """What was promised."""
        return Terms(
            classes={
                "view": ("bounded", 2_000_000, STALENESS_MS * 1000),
                "check": ("latest", 1_500_000, 0),
                "own": ("session", 2_000_000, 0),
                "post": ("latest", 3_000_000, 0),
            },
            harness_delay_us=int(self.watch.worst_ms * 1000),
            drain_grace_us=GRACE_US,
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
    """Play and judge one day; with `record_to`, each gateway's recording is that path and its number.

    With `ask_every_s`, an operator asks each gateway what it believes, so often.
    """
    return asyncio.run(Day(scenario, seed, seconds, command_line, record_to, ask_every_s).run())
