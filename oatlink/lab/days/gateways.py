"""The gateways of a day: real processes by `oatlink gateway FILE`, started, ended, killed and started again."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from oatlink.lab.days.world import COLD_SHARE, STALENESS_MS, WARM_S, World
from oatlink.lab.embedded import HALLS

Words = Callable[[int], str]
"""More settings of gateway `at`, in Jsonnet: the inside of an object."""


def template(world: World, at: int, record_to: str, names: str, more: str) -> str:
    """The settings of one gateway. `names`: `%s*` patterns of client names beside those that begin with a kind."""

    def kinds(*found: str) -> str:
        patterns = [f"'{kind}*'" for kind in found] + [f"'{names % kind}'" for kind in found if names]
        return ", ".join(patterns)

    parts = f"""{{
  classes: [
    {{ name: 'price-post', freshness: 'write', effect: 'keyed', aim_ms: 1000, deadline_ms: 3000, worth: 6,
      late_worth: 0.3, repeat_window_ms: 2000, wait_replicas: 1, wait_ms: 500, match: {{ commands: ['xadd'] }} }},
    {{ name: 'price-check', freshness: 'latest', effect: 'idempotent', aim_ms: 600, deadline_ms: 1500, worth: 1,
      late_worth: 0.2, match: {{ client_names: [{kinds("check", "post")}] }} }},
    {{ name: 'own-read', freshness: 'session', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000, worth: 2,
      match: {{ client_names: [{kinds("own")}] }} }},
    {{ name: 'price-view', freshness: 'bounded', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000, worth: 2,
      staleness_ms: {STALENESS_MS}, match: {{ client_names: [{kinds("view")}] }} }},
    {{ name: 'log', freshness: 'write', effect: 'unsafe', aim_ms: 1000, deadline_ms: 3000, worth: 3,
      late_worth: 0.5, wait_replicas: 1, wait_ms: 500 }},
  ],
  peers: {world.scenario.gateways}, seed: {world.seed * 100 + at}, hall: '{HALLS[at % 3]}',
  admin_listen: '127.0.0.1:{world.admin_ports[at]}', roster_file: '{world.roster}',
  record_file: '{f"{record_to}.{at}" if record_to else ""}',
  cold: {{ share: {COLD_SHARE}, warm_after_ms: {int(WARM_S * 1000)}, overload_factor: 4.0, fall_ms: 1000 }},
  {more}
}}"""
    return world.embedded.template(world.ports[at], log_level="warning", more=parts)


class Gateways:
    """The processes, by number."""

    def __init__(
        self,
        world: World,
        command_line: list[str] | None = None,
        record_to: str = "",
        names: str = "",
        more: Words = lambda _: "",
    ) -> None:
        """`names`, `more`: see `template`."""
        self._world, self._record_to, self._names, self._more = world, record_to, names, more
        self._command = command_line or [sys.executable, "-m", "oatlink", "gateway"]
        self._files: list[str] = []
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, folder: Path) -> None:
        """Start all, with their settings in a folder. Raises `RuntimeError` where one does not start."""
        for at in range(self._world.scenario.gateways):
            path = folder / f"gateway-{at}.jsonnet"
            path.write_text(template(self._world, at, self._record_to, self._names, self._more(at)))
            self._files.append(str(path))
            self.processes.append(await self._spawn(at))
        for process in self.processes:
            await self._ready(process)

    async def again(self, at: int) -> None:
        """Start one that has ended once more, with the same settings. Raises `RuntimeError` where it does not start."""
        self.processes[at] = await self._spawn(at)
        await self._ready(self.processes[at])

    async def _spawn(self, at: int) -> asyncio.subprocess.Process:
        env = dict(os.environ, PYTHONPATH=os.pathsep.join([p for p in sys.path if p] or ["."]))
        return await asyncio.create_subprocess_exec(
            *self._command, self._files[at], stdout=asyncio.subprocess.PIPE, env=env
        )

    async def _ready(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async with asyncio.timeout(20):
            line = await process.stdout.readline()
        if not line.startswith(b"ready "):
            raise RuntimeError("a gateway did not start")

    async def stop(self) -> list[int]:
        """End all in an orderly way; the exit code of each, -1 for one that did not end in time."""
        for one in self.processes:
            if one.returncode is None:
                one.send_signal(signal.SIGTERM)
        codes = []
        for one in self.processes:
            try:
                async with asyncio.timeout(5):
                    codes.append(await one.wait())
            except TimeoutError:
                codes.append(-1)
        return codes

    async def kill(self) -> None:
        """End at once those that still run."""
        for one in self.processes:
            if one.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    one.kill()
                await one.wait()
