"""One fleet on one timeline: machines, links, clients and checkers.

A machine has a name, a clock and a disk, and runs processes. The process that has bound the port is its `process`; the
others are duplicates. A world is built from a scenario and a seed, and runs through a schedule of faults.
"""

from collections import deque
from random import Random
from typing import Any

import msgspec
import xxhash

from oatlink.fleet import messages as f
from oatlink.lab.fleetsim.banks import Banks
from oatlink.lab.fleetsim.checkers import Checkers
from oatlink.lab.fleetsim.disk import Disk
from oatlink.lab.fleetsim.fault_actions import FAULT_ACTIONS
from oatlink.lab.fleetsim.faults import Fault
from oatlink.lab.fleetsim.links import Links
from oatlink.lab.fleetsim.load import Load
from oatlink.lab.fleetsim.observations import Observations
from oatlink.lab.fleetsim.probes import Probes
from oatlink.lab.fleetsim.process import Process
from oatlink.lab.fleetsim.scenario import Scenario, members_of, settings
from oatlink.lab.fleetsim.time import Clock, Timeline
from oatlink.lab.fleetsim.violation import Violation
from oatlink.settings.fleet import Fleet

MAX_TRACE_EVENTS = 40
ENVELOPE_BYTES = 64  # around each message: tag, sender, incarnation and counter


class Machine:
    """The machine of one node."""

    def __init__(self, world: "World", name: str, draw: Random, ppm: int) -> None:
        self._world, self.name, self._draw = world, name, draw
        self.clock = Clock(ppm, draw.randrange(10**9))
        self.disk = Disk(draw)
        self.process: Process | None = None
        self.duplicates: list[Process] = []
        self.has_outdated_file = False  # its file is the one from before an earlier loss
        self.sent = self.bytes = self.received = 0

    @property
    def processes(self) -> list[Process]:
        """All running processes."""
        return ([self.process] if self.process is not None else []) + self.duplicates

    @property
    def has_acceptor_state(self) -> bool:
        """Whether the file has the state that the acceptor must not lose."""
        return self.disk.file.may_vote and not self.has_outdated_file

    def bind(self, process: Process) -> bool:
        """Bind the port; False if another process has it."""
        if self.process is not None:
            self.duplicates.append(process)
            return False
        self.process = process
        return True

    def start(self) -> Process | None:
        """Start a process; it becomes a duplicate if another one has the port."""
        self.disk.full = False if self.process is None else self.disk.full
        process = Process(self._world, self, self._draw.getrandbits(48))
        process.start()
        return process

    def begin(self) -> None:
        """Start the first process."""
        self.start()

    def start_after(self, us: int) -> None:
        """Start a process after a delay, unless one runs by then."""
        self._world.time.after(us, self._start_if_down)

    def _start_if_down(self) -> None:
        if self.process is None:
            self.start()

    def process_ended(self, process: Process) -> None:
        """Remove a process that has ended."""
        if process is self.process:
            self.process = None
        elif process in self.duplicates:
            self.duplicates.remove(process)


def _draw_ppm(draw: Random, max_ppm: int) -> int:
    return draw.choice((-max_ppm, max_ppm, draw.randint(-max_ppm, max_ppm)))


class World:
    """The whole simulation. `trace` has the last events."""

    def __init__(self, scenario: Scenario, seed: int, schedule: tuple[Fault, ...]) -> None:
        self.scenario, self.schedule, self.drift = scenario, schedule, scenario.drift
        draw = Random(f"{seed}/{scenario.name}/world")
        self.time = Timeline()
        self.links = Links(seed)
        self.digest = xxhash.xxh64(seed=seed & (2**64 - 1))
        self.trace: deque[tuple[int, str, str, Any]] = deque(maxlen=MAX_TRACE_EVENTS)
        fleet = settings(scenario)
        self.names = tuple(node.name for node in fleet.nodes)
        self.acceptors = fleet.keepers
        self.members = members_of(scenario)
        self.max_request_us = scenario.max_request_us
        self._fleets = {name: msgspec.structs.replace(fleet, node=name) for name in self.names}
        max_ppm = int(scenario.drift * 1e6)
        self.machines = {
            name: Machine(self, name, Random(draw.getrandbits(64)), _draw_ppm(draw, max_ppm)) for name in self.names
        }
        self.links.jittered_fraction = scenario.jittered_fraction
        self.healed = False  # whether the faults have ended
        self.checkers = Checkers(self, scenario.drift)
        self.load = Load(self)
        self.observations = Observations(self, seed, scenario.has_observations, scenario.is_measuring_spread)
        self.banks = Banks(self, seed) if scenario.has_versions else None
        self.probes = Probes(self, seed) if scenario.probe_us else None
        self._encoder = msgspec.msgpack.Encoder()
        for machine in self.machines.values():
            self.time.at(draw.randrange(scenario.start_spread_us), machine.begin)
        for fault in schedule:
            self.time.at(scenario.faults_begin_us + fault.at_us, self._apply_fault, fault)

    def fleet_of(self, name: str) -> Fleet:
        """The fleet settings of one node."""
        return self._fleets[name]

    def _apply_fault(self, fault: Fault) -> None:
        self._note(fault.node, "fault", fault)
        FAULT_ACTIONS[fault.kind](self, fault)

    def _note(self, node: str, event: str, details: Any) -> None:
        self.trace.append((self.time.now, node, event, details))
        self.digest.update(b"%d %d " % (self.time.now, self.time.events) + event.encode())

    def send(self, process: Process, to: str, message: f.Message) -> None:
        """Send a frame from a process to a node."""
        raw = self._encoder.encode(message)
        machine = process.machine
        machine.sent += 1
        machine.bytes += len(raw) + ENVELOPE_BYTES
        self.digest.update(raw)
        for wait_us in self.links.fates(process.name, to, self.time.now):
            self.time.after(wait_us, self._deliver_frame, process.name, to, message)

    def _deliver_frame(self, sender: str, to: str, message: f.Message) -> None:
        machine = self.machines[to]
        if machine.process is not None:
            machine.received += 1
            self._note(to, sender, message)
            machine.process.deliver(machine.process.receive, sender, message)

    def run_task(self, process: Process, effect: f.Effect) -> None:
        """Run a task that a shell would run against the banks' servers, or take a reply to an operator."""
        if self.banks is not None:
            self.banks.run_task(process, effect)

    def busy_versions(self, process: Process) -> tuple[int, ...]:
        """The versions of the requests of a process that are still open."""
        return self.banks.busy_versions(process) if self.banks is not None else ()

    def run(self) -> None:
        """Run through the schedule, then through a time without faults. Raises `Violation`."""
        scenario = self.scenario
        try:
            scenario.prepare(self)
            self.time.run(scenario.faults_begin_us + scenario.seconds * 1_000_000)
            if scenario.settle_us:
                self._heal()
                self.time.run(self.time.now + scenario.settle_us)
                scenario.check_settled(self)
        except Violation as violation:
            violation.at_us = self.time.now
            violation.trace = tuple(
                f"{at_us} {node} {event}: {details}"[:300] for at_us, node, event, details in self.trace
            )
            raise

    def _heal(self) -> None:
        self.healed = True
        self.links.heal()
        self.observations.unhealthy.clear()
        if self.banks is not None:
            self.banks.heal()
        for machine in self.machines.values():
            machine.disk.slow_until_us = 0
            for duplicate in list(machine.duplicates):
                duplicate.crash()
            process = machine.process
            was_full, machine.disk.full = machine.disk.full, False
            if process is not None and (
                was_full or process.commits.is_silent or process.leave_deadline_us or machine.has_outdated_file
            ):
                process.crash()
            if machine.has_outdated_file:  # an operator removes the old file
                machine.disk.lose()
                machine.has_outdated_file = False
            process = machine.process
            if process is None:
                machine.start_after(1)
            else:
                process.effects_until_crash, process.next_stall_us, process.commits.next_crash_us = -1, 0, 0
                if process.paused_until_us > self.time.now:
                    process.resume()
