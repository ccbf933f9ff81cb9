"""The gateway processes of a run (`oatlink gateway FILE`): started, stopped, killed and restarted."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from oatlink.lab.days.world import COLD_SHARE, STALENESS_MS, WARM_S, World
from oatlink.lab.embedded import HALLS

ExtraSettings = Callable[[int], str]
"""Returns further Jsonnet fields for the settings of a gateway, by its number."""


def settings_template(world: World, number: int, record_to: str, name_pattern: str, more: str) -> str:
    """Return the settings of one gateway.

    Client names that begin with a kind always match. `name_pattern` matches further ones; its `%s` stands for the kind.
    """

    def match_kinds(*kinds: str) -> str:
        patterns = [f"'{kind}*'" for kind in kinds] + [f"'{name_pattern % kind}'" for kind in kinds if name_pattern]
        return ", ".join(patterns)

    fields = f"""{{
  classes: [
    {{ name: 'price-post', freshness: 'write', effect: 'keyed', aim_ms: 1000, deadline_ms: 3000, worth: 6,
      late_worth: 0.3, repeat_window_ms: 2000, wait_replicas: 1, wait_ms: 500, match: {{ commands: ['xadd'] }} }},
    {{ name: 'price-check', freshness: 'latest', effect: 'idempotent', aim_ms: 600, deadline_ms: 1500, worth: 1,
      late_worth: 0.2, match: {{ client_names: [{match_kinds("check", "post")}] }} }},
    {{ name: 'own-read', freshness: 'session', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000, worth: 2,
      match: {{ client_names: [{match_kinds("own")}] }} }},
    {{ name: 'price-view', freshness: 'bounded', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000, worth: 2,
      staleness_ms: {STALENESS_MS}, match: {{ client_names: [{match_kinds("view")}] }} }},
    {{ name: 'log', freshness: 'write', effect: 'unsafe', aim_ms: 1000, deadline_ms: 3000, worth: 3,
      late_worth: 0.5, wait_replicas: 1, wait_ms: 500 }},
  ],
  peers: {world.scenario.gateways}, seed: {world.seed * 100 + number}, hall: '{HALLS[number % 3]}',
  admin_listen: '127.0.0.1:{world.admin_ports[number]}', roster_file: '{world.roster}',
  record_file: '{f"{record_to}.{number}" if record_to else ""}',
  cold: {{ share: {COLD_SHARE}, warm_after_ms: {int(WARM_S * 1000)}, overload_factor: 4.0, fall_ms: 1000 }},
  {more}
}}"""
    return world.embedded.template(world.ports[number], log_level="warning", more=fields)


class Gateways:
    """The gateway processes, by number."""

    def __init__(
        self,
        world: World,
        command_line: list[str] | None = None,
        record_to: str = "",
        name_pattern: str = "",
        more: ExtraSettings = lambda _: "",
    ) -> None:
        """`name_pattern` and `more` are as in `settings_template`."""
        self._world, self._record_to, self._name_pattern, self._more = world, record_to, name_pattern, more
        self._command = command_line or [sys.executable, "-m", "oatlink", "gateway"]
        self._files: list[str] = []
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, folder: Path) -> None:
        """Write the settings to a folder and start all gateways. Raises `RuntimeError` if one does not start."""
        for number in range(self._world.scenario.gateways):
            path = folder / f"gateway-{number}.jsonnet"
            more = self._more(number)
            path.write_text(settings_template(self._world, number, self._record_to, self._name_pattern, more))
            self._files.append(str(path))
            self.processes.append(await self._spawn(number))
        for process in self.processes:
            await self._wait_until_ready(process)

    async def restart(self, number: int) -> None:
        """Start an ended gateway again, with the same settings. Raises `RuntimeError` if it does not start."""
        self.processes[number] = await self._spawn(number)
        await self._wait_until_ready(self.processes[number])

    async def _spawn(self, number: int) -> asyncio.subprocess.Process:
        env = dict(os.environ, PYTHONPATH=os.pathsep.join([entry for entry in sys.path if entry] or ["."]))
        return await asyncio.create_subprocess_exec(
            *self._command, self._files[number], stdout=asyncio.subprocess.PIPE, env=env
        )

    async def _wait_until_ready(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async with asyncio.timeout(20):
            line = await process.stdout.readline()
        if not line.startswith(b"ready "):
            raise RuntimeError("a gateway did not start")

    async def stop(self) -> list[int]:
        """Stop all by SIGTERM and return their exit codes; -1 means that one did not end within 5 s."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        codes = []
        for process in self.processes:
            try:
                async with asyncio.timeout(5):
                    codes.append(await process.wait())
            except TimeoutError:
                codes.append(-1)
        return codes

    async def kill(self) -> None:
        """Kill the gateways that still run."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
