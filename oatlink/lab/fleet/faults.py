"""Plays the faults of a day of the fleet, and keeps when all was well for its judges."""

import asyncio
import os
import shutil
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from oatlink.audit.quota import Span
from oatlink.lab.days.gateways import Gateways
from oatlink.lab.days.world import World, now_us
from oatlink.lab.fleet.links import Links
from oatlink.lab.fleet.parts import node_name
from oatlink.lab.fleet.scenarios import Fault

LEAST_SPAN_US = 3_000_000  # a shorter one says little of a rate
HARMLESS = ("slow", "double")  # use, floors and the time back are owed with these too


@dataclass
class Episode:
    """One fault from its begin to its end."""

    fault: Fault
    from_us: int
    to_us: int = -1


@dataclass
class Faults:
    """Gateways and links go wrong by a schedule. `state_dir`: a gateway's folder, which may be lost with it."""

    world: World
    gateways: Gateways
    wires: Links
    faults: tuple[Fault, ...]
    state_dir: Callable[[int], Path]
    keepers: int  # the first so many gateways
    episodes: list[Episode] = field(default_factory=list)
    killed: set[int] = field(default_factory=set)  # gateways whose present process did not end by itself
    problems: list[str] = field(default_factory=list)

    async def run(self) -> None:
        """Play all; ends when the last is undone."""
        begin = time.monotonic()
        await asyncio.gather(*(self._one(begin, one) for one in self.faults))

    async def _one(self, begin: float, fault: Fault) -> None:
        seconds = self.world.seconds
        await asyncio.sleep(max(0.0, begin + fault.at * seconds - time.monotonic()))
        episode = Episode(fault, now_us())
        self.episodes.append(episode)
        names = " ".join(node_name(one) for one in fault.nodes)
        self.world.steps.append(f"{fault.at * seconds:.1f}s {fault.do} {names}")
        self._do(fault)
        if fault.do == "sigstop":
            await asyncio.sleep(fault.value)
        elif fault.back:
            await asyncio.sleep(max(0.0, begin + (fault.at + fault.back) * seconds - time.monotonic()))
        elif fault.do != "heal":
            return  # it lasts
        await self._undo(fault)
        episode.to_us = now_us()
        self.world.steps.append(f"back: {fault.do} {names}")

    def _do(self, fault: Fault) -> None:
        if fault.do in ("kill9", "sigterm", "sigstop"):
            for at in fault.nodes:
                what, number = {
                    "kill9": ("killed", signal.SIGKILL),
                    "sigterm": ("ending", signal.SIGTERM),
                    "sigstop": ("halted", signal.SIGSTOP),
                }[fault.do]
                self.world.capture.add_event(now_us(), node_name(at), what)
                process = self.gateways.processes[at]
                if process.returncode is None:
                    os.kill(process.pid, number)
                if fault.do == "kill9":
                    self.killed.add(at)
        elif fault.do in ("cut_out", "cut_in", "split"):
            self.wires.cut(fault.nodes, out=fault.do != "cut_in", into=fault.do != "cut_out")
        elif fault.do == "slow":
            self.wires.slow(fault.nodes, fault.value)
        elif fault.do == "double":
            self.wires.double(fault.nodes, fault.value)
        else:
            self.wires.heal()

    async def _undo(self, fault: Fault) -> None:
        if fault.do in ("kill9", "sigterm"):
            for at in fault.nodes:
                await self._again(at, fault)
        elif fault.do == "sigstop":
            for at in fault.nodes:
                process = self.gateways.processes[at]
                if process.returncode is None:
                    os.kill(process.pid, signal.SIGCONT)
                self.world.capture.add_event(now_us(), node_name(at), "resumed")
        elif fault.do in ("cut_out", "cut_in", "split"):
            self.wires.mend(fault.nodes)
        elif fault.do == "slow":
            self.wires.slow(fault.nodes, 0.0)
        elif fault.do == "double":
            self.wires.double(fault.nodes, 0.0)

    async def _again(self, at: int, fault: Fault) -> None:
        """Start a gateway that has ended, with its state or without."""
        try:
            async with asyncio.timeout(5):
                code = await self.gateways.processes[at].wait()
        except TimeoutError:
            self.problems.append(f"{node_name(at)} did not end within 5 s of {fault.do}")
            self.gateways.processes[at].kill()
            code = await self.gateways.processes[at].wait()
        if fault.do == "sigterm" and code:
            self.problems.append(f"{node_name(at)} ended with {code} when asked to")
        if fault.do == "kill9" and fault.value:
            shutil.rmtree(self.state_dir(at))
            self.state_dir(at).mkdir(mode=0o700)
        try:
            await self.gateways.restart(at)
            self.killed.discard(at)
        except (RuntimeError, TimeoutError):
            self.problems.append(f"{node_name(at)} did not start again after {fault.do}")
            self.killed.add(at)

    def finish(self) -> None:
        """Let those that still stand still go on, so that they can end."""
        for one in self.episodes:
            if one.fault.do == "sigstop" and one.to_us < 0:
                for at in one.fault.nodes:
                    process = self.gateways.processes[at]
                    if process.returncode is None:
                        os.kill(process.pid, signal.SIGCONT)
                    self.world.capture.add_event(now_us(), node_name(at), "resumed")

    # ---- For the judges ----

    def _cut_off(self, nodes: tuple[int, ...]) -> tuple[str, ...]:
        """The side of a split that has no majority of the keepers."""
        away = 2 * sum(at < self.keepers for at in nodes) < self.keepers
        return tuple(node_name(at) for at in range(len(self.world.ports)) if (at in nodes) is away)

    def spans(self, start_us: int, end_us: int, settle_us: int) -> tuple[list[Span], list[tuple[int, int]]]:
        """Stretches with all links up and with gateways cut off, each without its first `settle_us`; and the heals.

        A heal is (when all was well again, until when it stayed so).
        """
        bad = [one for one in self.episodes if one.fault.do not in (*HARMLESS, "heal")]
        marks = sorted({start_us, end_us, *(one.from_us for one in bad), *(one.to_us for one in bad if one.to_us > 0)})
        spans: list[Span] = []
        heals: list[tuple[int, int]] = []
        for since, until in zip(marks, marks[1:], strict=False):
            on = [one for one in bad if one.from_us <= since and (one.to_us < 0 or one.to_us >= until)]
            if not on and since > start_us:
                heals.append((since, until))
            if until - since <= settle_us + LEAST_SPAN_US:
                continue  # too short to tell
            cuts = [one.fault for one in on if one.fault.do == "split"]
            if not on:
                spans.append(Span(since + settle_us, until))
            elif len(on) == len(cuts) == 1:
                spans.append(Span(since + settle_us, until, self._cut_off(cuts[0].nodes)))
        return spans, heals
