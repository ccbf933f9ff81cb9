"""Injects the faults of a fleet scenario, and records when the fleet was undisturbed for its checkers."""

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
from oatlink.lab.fleet.scenarios import Fault
from oatlink.lab.fleet.settings import node_name

MIN_SPAN_US = 3_000_000  # a rate over a shorter span means little
HARMLESS_FAULTS = ("slow", "double")  # rate use, floors and recovery time are required despite these


@dataclass
class FaultEpisode:
    """One fault with its begin and end; `to_us` is -1 if it was not undone."""

    fault: Fault
    from_us: int
    to_us: int = -1


@dataclass
class FaultInjector:
    """Applies and undoes the faults of gateways and links by a schedule.

    `state_dir` returns the state folder of a gateway, which a fault may empty.
    """

    world: World
    gateways: Gateways
    links: Links
    faults: tuple[Fault, ...]
    state_dir: Callable[[int], Path]
    acceptor_count: int  # the first gateways of the fleet are its acceptors
    episodes: list[FaultEpisode] = field(default_factory=list)
    killed: set[int] = field(default_factory=set)  # gateways whose latest process did not end by itself
    problems: list[str] = field(default_factory=list)

    async def run(self) -> None:
        """Run all faults, until the last one is undone."""
        start_s = time.monotonic()
        await asyncio.gather(*(self._run_fault(start_s, fault) for fault in self.faults))

    async def _run_fault(self, start_s: float, fault: Fault) -> None:
        seconds = self.world.seconds
        await asyncio.sleep(max(0.0, start_s + fault.at * seconds - time.monotonic()))
        episode = FaultEpisode(fault, now_us())
        self.episodes.append(episode)
        names = " ".join(node_name(number) for number in fault.nodes)
        self.world.steps.append(f"{fault.at * seconds:.1f}s {fault.do} {names}")
        self._apply(fault)
        if fault.do == "sigstop":
            await asyncio.sleep(fault.value)
        elif fault.back:
            await asyncio.sleep(max(0.0, start_s + (fault.at + fault.back) * seconds - time.monotonic()))
        elif fault.do != "heal":
            return  # the fault stays until the end of the run
        await self._undo(fault)
        episode.to_us = now_us()
        self.world.steps.append(f"back: {fault.do} {names}")

    def _apply(self, fault: Fault) -> None:
        if fault.do in ("kill9", "sigterm", "sigstop"):
            for number in fault.nodes:
                event, signal_number = {
                    "kill9": ("killed", signal.SIGKILL),
                    "sigterm": ("ending", signal.SIGTERM),
                    "sigstop": ("halted", signal.SIGSTOP),
                }[fault.do]
                self.world.capture.add_event(now_us(), node_name(number), event)
                process = self.gateways.processes[number]
                if process.returncode is None:
                    os.kill(process.pid, signal_number)
                if fault.do == "kill9":
                    self.killed.add(number)
        elif fault.do in ("cut_out", "cut_in", "split"):
            self.links.cut(fault.nodes, out=fault.do != "cut_in", into=fault.do != "cut_out")
        elif fault.do == "slow":
            self.links.slow(fault.nodes, fault.value)
        elif fault.do == "double":
            self.links.double(fault.nodes, fault.value)
        else:
            self.links.heal()

    async def _undo(self, fault: Fault) -> None:
        if fault.do in ("kill9", "sigterm"):
            for number in fault.nodes:
                await self._restart(number, fault)
        elif fault.do == "sigstop":
            for number in fault.nodes:
                process = self.gateways.processes[number]
                if process.returncode is None:
                    os.kill(process.pid, signal.SIGCONT)
                self.world.capture.add_event(now_us(), node_name(number), "resumed")
        elif fault.do in ("cut_out", "cut_in", "split"):
            self.links.restore(fault.nodes)
        elif fault.do == "slow":
            self.links.slow(fault.nodes, 0.0)
        elif fault.do == "double":
            self.links.double(fault.nodes, 0.0)

    async def _restart(self, number: int, fault: Fault) -> None:
        """Restart a gateway once its process has ended, with its state, or with none if the fault lost it."""
        try:
            async with asyncio.timeout(5):
                code = await self.gateways.processes[number].wait()
        except TimeoutError:
            self.problems.append(f"{node_name(number)} did not end within 5 s of {fault.do}")
            self.gateways.processes[number].kill()
            code = await self.gateways.processes[number].wait()
        if fault.do == "sigterm" and code:
            self.problems.append(f"{node_name(number)} ended with {code} when asked to")
        if fault.do == "kill9" and fault.value:
            shutil.rmtree(self.state_dir(number))
            self.state_dir(number).mkdir(mode=0o700)
        try:
            await self.gateways.restart(number)
            self.killed.discard(number)
        except (RuntimeError, TimeoutError):
            self.problems.append(f"{node_name(number)} did not start again after {fault.do}")
            self.killed.add(number)

    def resume_halted(self) -> None:
        """Resume the gateways that are still halted by a sigstop fault, so that they can end."""
        for episode in self.episodes:
            if episode.fault.do == "sigstop" and episode.to_us < 0:
                for number in episode.fault.nodes:
                    process = self.gateways.processes[number]
                    if process.returncode is None:
                        os.kill(process.pid, signal.SIGCONT)
                    self.world.capture.add_event(now_us(), node_name(number), "resumed")

    # ---- Inputs of the checkers ----

    def _minority_side(self, nodes: tuple[int, ...]) -> tuple[str, ...]:
        """Return the side of a split that has no majority of the acceptors."""
        is_minority = 2 * sum(number < self.acceptor_count for number in nodes) < self.acceptor_count
        return tuple(node_name(number) for number in range(len(self.world.ports)) if (number in nodes) is is_minority)

    def spans(self, start_us: int, end_us: int, settle_us: int) -> tuple[list[Span], list[tuple[int, int]]]:
        """Return the spans to check rates in, and the heals.

        A span has either no fault or exactly one split, and leaves out its first `settle_us`. A heal is the time from
        which there was no fault again, and the time until which that lasted.
        """
        episodes = [episode for episode in self.episodes if episode.fault.do not in (*HARMLESS_FAULTS, "heal")]
        marks = sorted(
            {
                start_us,
                end_us,
                *(episode.from_us for episode in episodes),
                *(episode.to_us for episode in episodes if episode.to_us > 0),
            }
        )
        spans: list[Span] = []
        heals: list[tuple[int, int]] = []
        for since, until in zip(marks, marks[1:], strict=False):
            active = [
                episode.fault
                for episode in episodes
                if episode.from_us <= since and (episode.to_us < 0 or episode.to_us >= until)
            ]
            if not active and since > start_us:
                heals.append((since, until))
            if until - since <= settle_us + MIN_SPAN_US:
                continue  # too short to measure a rate
            splits = [fault for fault in active if fault.do == "split"]
            if not active:
                spans.append(Span(since + settle_us, until))
            elif len(active) == len(splits) == 1:
                spans.append(Span(since + settle_us, until, self._minority_side(splits[0].nodes)))
        return spans, heals
