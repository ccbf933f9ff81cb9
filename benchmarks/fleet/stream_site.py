"""Real processes in the stream of control, on loopback: three sources, relays and readers; asked, and ended by signals.

For measurements and tests. Times here are limits that only a fault reaches.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Iterable
from itertools import count
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.fleet.stream import Ask, Look, Plan
from oatlink.lab.embedded import port_of, reserve
from oatlink.settings.fleet import Control, Fleet, FleetNode

PATIENCE_S = 60.0
SOURCES, RELAYS, READERS = ("s0", "s1", "s2"), ("r0", "r1"), tuple(f"g{n}" for n in range(6))


class Process:
    """One name, over all the processes that bear it one after the other."""

    def __init__(self, fleet: Fleet, file: Path) -> None:
        self.name, self.fleet, self.file = fleet.node, fleet, file
        self.lines: list[str] = []
        self._numbers = count(1)
        self._asked: dict[int, asyncio.Future[Any]] = {}
        self._process: asyncio.subprocess.Process | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> "Process":
        """Start it, and wait until it takes part."""
        self.file.write_bytes(msgspec.json.encode(Plan([self.fleet])))
        pipe = asyncio.subprocess.PIPE
        words = [sys.executable, "-m", "benchmarks.fleet.stream", str(self.file)]
        self._process = await asyncio.create_subprocess_exec(*words, stdin=pipe, stdout=pipe, stderr=pipe)
        assert self._process.stdout is not None and self._process.stderr is not None
        async with asyncio.timeout(PATIENCE_S):
            line = await self._process.stdout.readline()
        assert line == b"ready\n", (line, self.lines)
        out, err = self._process.stdout, self._process.stderr
        self._tasks = [asyncio.ensure_future(self._answers(out)), asyncio.ensure_future(self._says(err))]
        return self

    async def _answers(self, stdout: asyncio.StreamReader) -> None:
        while line := await stdout.readline():
            one = msgspec.json.decode(line)
            self._asked.pop(one["number"]).set_result(one["found"])

    async def _says(self, stderr: asyncio.StreamReader) -> None:
        while line := await stderr.readline():
            self.lines.append(line.decode("utf-8", "replace"))

    def ask(self, do: str, **more: Any) -> asyncio.Future[Any]:
        """Ask; the answer comes when it comes."""
        assert self._process is not None and self._process.stdin is not None
        ask = Ask(next(self._numbers), do, self.name, **more)
        found = self._asked[ask.number] = asyncio.get_running_loop().create_future()
        self._process.stdin.write(msgspec.json.encode(ask) + b"\n")
        return found

    async def look(self) -> Look:
        """What it is now."""
        async with asyncio.timeout(PATIENCE_S):
            return msgspec.convert(await self.ask("look"), Look)

    async def entries(self, scope: str = "all") -> dict[str, str]:
        """What is in force there."""
        async with asyncio.timeout(PATIENCE_S):
            return dict(await self.ask("entries", scope=scope))

    async def offer(self, scope: str, entries: dict[str, str], base: int = -1) -> str:
        """Offer a change: what came of it."""
        async with asyncio.timeout(PATIENCE_S):
            return str(await self.ask("offer", scope=scope, entries=entries, base=base))

    async def shows(self, fits: Callable[[Look], bool]) -> Look:
        """Wait until it is so."""
        async with asyncio.timeout(PATIENCE_S):
            while not fits(look := await self.look()):
                await asyncio.sleep(0.05)
        return look

    async def has(self, key: str, value: str, scope: str = "all") -> None:
        """Wait until this entry is in force here."""
        async with asyncio.timeout(PATIENCE_S):
            while (await self.entries(scope)).get(key) != value:
                await asyncio.sleep(0.02)

    def send(self, what: signal.Signals) -> None:
        """Send it a signal."""
        assert self._process is not None
        os.kill(self._process.pid, what)

    async def end(self, what: signal.Signals = signal.SIGKILL) -> None:
        """End it by a signal; it may have ended already."""
        assert self._process is not None
        if self._process.returncode is None:
            self.send(what)
        async with asyncio.timeout(PATIENCE_S):
            await self._process.wait()
            await asyncio.gather(*self._tasks)
        for one in self._asked.values():
            one.cancel()
        self._asked.clear()


class Place:
    """Where they all are; `all` are those that were made. A reader's file names the sources and itself, nobody else."""

    def __init__(self, folder: Path, names: Iterable[str], secret: bytes) -> None:
        self.folder, self._held = folder, {name: reserve() for name in (*SOURCES, *names)}
        self.key = self.secret("key", secret)
        self.all: dict[str, Process] = {}

    def secret(self, name: str, secret: bytes) -> str:
        """The path of a key's file."""
        path = self.folder / name
        path.touch(mode=0o600)
        path.write_bytes(secret)
        return str(path)

    def fleet(self, name: str, **more: Any) -> Fleet:
        """The settings of one of them."""
        sources = tuple(FleetNode(one, f"127.0.0.1:{port_of(self._held[one])}", True) for one in SOURCES)
        own = FleetNode(name, f"127.0.0.1:{port_of(self._held[name])}", name in SOURCES)
        control = Control(sources, "north", "n1", ("g",), 8 if name in RELAYS else 0)
        state = str(self.folder / f"state-{name}")
        return msgspec.structs.replace(Fleet(name, (own,), (self.key,), state, control=control), **more)

    def process(self, name: str, port_as: str = "", **more: Any) -> Process:
        """Not started; `port_as`: it listens where that name would."""
        fleet = self.fleet(name, **more)
        if port_as:
            own = msgspec.structs.replace(fleet.nodes[0], address=f"127.0.0.1:{port_of(self._held[port_as])}")
            fleet = msgspec.structs.replace(fleet, nodes=(own,))
        one = Process(fleet, self.folder / f"{name}-as-{port_as or name}.json")
        self.all[port_as or name] = one
        return one

    async def started(self, *names: str) -> list[Process]:
        """Some of them, taking part."""
        return list(await asyncio.gather(*(self.process(one).start() for one in names)))

    async def in_force(self, key: str, value: str, *but: str, scope: str = "all") -> None:
        """Wait until this entry is in force everywhere."""
        await asyncio.gather(*(one.has(key, value, scope) for name, one in self.all.items() if name not in but))

    async def stop(self) -> None:
        """End all, and let go of the ports."""
        await asyncio.gather(*(one.end() for one in self.all.values()))
        for held in self._held.values():
            held.close()
