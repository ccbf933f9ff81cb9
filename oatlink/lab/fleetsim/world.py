"""One fleet on one timeline: machines, links, clients, checkers. No decisions but who stands where.

A machine has a name, a clock and a disk, and runs processes; the one that has the port is its `process`, others are
twins. The world is made of a scenario and a seed, and lives through a schedule of faults.
"""

from collections import deque
from random import Random
from typing import Any

import msgspec
import xxhash

from oatlink.fleet import messages as f
from oatlink.lab.fleetsim.banks import Banks
from oatlink.lab.fleetsim.checkers import Judges
from oatlink.lab.fleetsim.disk import Disk
from oatlink.lab.fleetsim.fault_actions import ACTS
from oatlink.lab.fleetsim.faults import Fault
from oatlink.lab.fleetsim.links import Links
from oatlink.lab.fleetsim.load import Load
from oatlink.lab.fleetsim.observations import Sights
from oatlink.lab.fleetsim.probes import Probes
from oatlink.lab.fleetsim.process import Process
from oatlink.lab.fleetsim.scenario import Scenario, members_of, settings
from oatlink.lab.fleetsim.time import Clock, Timeline
from oatlink.lab.fleetsim.violation import Violation
from oatlink.settings.fleet import Fleet

MOST_TRACE = 40
ENVELOPE = 64  # bytes around a message: tag, sender, incarnation, counter


class Machine:
    """One node's machine."""

    def __init__(self, world: "World", name: str, draw: Random, ppm: int) -> None:
        self._world, self.name, self._draw = world, name, draw
        self.clock = Clock(ppm, draw.randrange(10**9))
        self.disk = Disk(draw)
        self.process: Process | None = None
        self.twins: list[Process] = []
        self.outdated = False  # its file is of a life before
        self.sent = self.bytes = self.got = 0

    @property
    def processes(self) -> list[Process]:
        """All that run."""
        return ([self.process] if self.process is not None else []) + self.twins

    @property
    def keeps(self) -> bool:
        """Whether its keeper has what it must not forget."""
        return self.disk.file.votes and not self.outdated

    def bind(self, process: Process) -> bool:
        """Take the port; False where another process has it."""
        if self.process is not None:
            self.twins.append(process)
            return False
        self.process = process
        return True

    def start(self) -> Process | None:
        """Start a process, a twin where one has the port."""
        self.disk.full = False if self.process is None else self.disk.full
        one = Process(self._world, self, self._draw.getrandbits(48))
        one.start()
        return one

    def begin(self) -> None:
        """Start the first process."""
        self.start()

    def starts_in(self, us: int) -> None:
        """Start one after so long, if there is none then."""
        self._world.time.after(us, self._starts)

    def _starts(self) -> None:
        if self.process is None:
            self.start()

    def gone(self, process: Process) -> None:
        """A process has ended."""
        if process is self.process:
            self.process = None
        elif process in self.twins:
            self.twins.remove(process)


def _ppm(draw: Random, most: int) -> int:
    return draw.choice((-most, most, draw.randint(-most, most)))


class World:
    """All of it. `trace` holds the last events."""

    def __init__(self, scenario: Scenario, seed: int, schedule: tuple[Fault, ...]) -> None:
        self.scenario, self.schedule, self.drift = scenario, schedule, scenario.drift
        draw = Random(f"{seed}/{scenario.name}/world")
        self.time = Timeline()
        self.links = Links(seed)
        self.digest = xxhash.xxh64(seed=seed & (2**64 - 1))
        self.trace: deque[tuple[int, str, str, Any]] = deque(maxlen=MOST_TRACE)
        whole = settings(scenario)
        self.names = tuple(one.name for one in whole.nodes)
        self.keepers = whole.keepers
        self.members = members_of(scenario)
        self.longest_us = scenario.longest_us
        self._fleets = {name: msgspec.structs.replace(whole, node=name) for name in self.names}
        most = int(scenario.drift * 1e6)
        self.machines = {
            name: Machine(self, name, Random(draw.getrandbits(64)), _ppm(draw, most)) for name in self.names
        }
        self.links.rough = scenario.rough
        self.healed = False  # there are no faults any more
        self.judges = Judges(self, scenario.drift)
        self.load = Load(self)
        self.sights = Sights(self, seed, scenario.sights)
        self.sights.fresh = scenario.fresh
        self.banks = Banks(self, seed) if scenario.versions else None
        self.probes = Probes(self, seed) if scenario.probe_us else None
        self._encoder = msgspec.msgpack.Encoder()
        for machine in self.machines.values():
            self.time.at(draw.randrange(scenario.spread_us), machine.begin)
        for fault in schedule:
            self.time.at(scenario.begin_us + fault.at_us, self._happens, fault)

    def fleet_of(self, name: str) -> Fleet:
        """The settings as one node has them."""
        return self._fleets[name]

    def _happens(self, fault: Fault) -> None:
        self._note(fault.node, "fault", fault)
        ACTS[fault.kind](self, fault)

    def _note(self, who: str, what: str, more: Any) -> None:
        self.trace.append((self.time.now, who, what, more))
        self.digest.update(b"%d %d " % (self.time.now, self.time.events) + what.encode())

    def send(self, process: Process, to: str, message: f.Message) -> None:
        """A frame of a process of that name."""
        raw = self._encoder.encode(message)
        machine = process.machine
        machine.sent += 1
        machine.bytes += len(raw) + ENVELOPE
        self.digest.update(raw)
        for wait_us in self.links.fates(process.name, to, self.time.now):
            self.time.after(wait_us, self._arrives, process.name, to, message)

    def _arrives(self, sender: str, to: str, message: f.Message) -> None:
        machine = self.machines[to]
        if machine.process is not None:
            machine.got += 1
            self._note(to, sender, message)
            machine.process.come(machine.process.heard, sender, message)

    def errand(self, process: Process, effect: f.Effect) -> None:
        """What a shell has run elsewhere, or says."""
        if self.banks is not None:
            self.banks.errand(process, effect)

    def busy(self, process: Process) -> tuple[int, ...]:
        """The versions that requests of this process are out for."""
        return self.banks.busy(process) if self.banks is not None else ()

    def run(self) -> None:
        """Live through the schedule, then through a time without faults. Raises `Violation`."""
        scenario = self.scenario
        try:
            scenario.prepare(self)
            self.time.run(scenario.begin_us + scenario.seconds * 1_000_000)
            if scenario.settle_us:
                self._heal()
                self.time.run(self.time.now + scenario.settle_us)
                scenario.settled(self)
        except Violation as wrong:
            wrong.at_us = self.time.now
            wrong.trace = tuple(f"{at} {who} {what}: {more}"[:300] for at, who, what, more in self.trace)
            raise

    def _heal(self) -> None:
        self.healed = True
        self.links.heal()
        self.sights.ill.clear()
        if self.banks is not None:
            self.banks.heal()
        for machine in self.machines.values():
            machine.disk.slow_until = 0
            for twin in list(machine.twins):
                twin.crash()
            process = machine.process
            full, machine.disk.full = machine.disk.full, False
            if process is not None and (full or process.commits.silent or process.ends_us or machine.outdated):
                process.crash()
            if machine.outdated:  # an operator takes the old file away
                machine.disk.lose()
                machine.outdated = False
            process = machine.process
            if process is None:
                machine.starts_in(1)
            else:
                process.falls_in, process.stalls_us, process.commits.tears_us = -1, 0, 0
                if process.stopped_until > self.time.now:
                    process.wake()
