"""Applies each kind of fault to the world.

Nothing is drawn at random here: a fault is a value that determines its whole effect. The name of each function is the
name of its kind in schedules.

An acceptor's file is lost only while a majority of the other acceptors still votes and has its state. The protocol
does not tolerate more, and does not claim to.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from oatlink.fleet.limits.shards import SHARDS
from oatlink.lab.fleetsim.faults import Fault
from oatlink.lab.fleetsim.links import ANY_NODE
from oatlink.lab.fleetsim.load import RETRY_MODES
from oatlink.lab.fleetsim.observations import FAILURE_KINDS

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

REQUEST_RATES = (0, 20, 100, 400, 2_000)  # requests a second from the clients of one tenant at one node


def _process(world: "World", fault: Fault) -> "Process | None":
    return world.machines[fault.node].process


def crash(world: "World", fault: Fault) -> None:
    """Crash the process and restart it later; one time in four its machine restarts as well."""
    _crash_and_restart(world, fault)
    if fault.size % 4 == 0:
        world.machines[fault.node].clock.restart(world.time.now)


def _crash_and_restart(world: "World", fault: Fault) -> None:
    machine = world.machines[fault.node]
    if machine.process is not None:
        machine.process.crash()
    machine.start_after(fault.us // 4)


def fall(world: "World", fault: Fault) -> None:
    """Crash the process between two of its next effects."""
    process = _process(world, fault)
    if process is not None:
        process.effects_until_crash = fault.size % 12


def lose(world: "World", fault: Fault) -> None:
    """Crash the process and delete its file, or replace the file with the one from before an earlier loss."""
    machine = world.machines[fault.node]
    missing = [name for name in world.acceptors if name != fault.node and not world.machines[name].has_acceptor_state]
    if fault.node in world.acceptors and len(missing) < len(world.acceptors) // 2:
        _crash_and_restart(world, fault)
        previous_file = machine.disk.previous_file
        machine.disk.lose()
        machine.has_outdated_file = False
        if previous_file is not None and fault.size % 3 == 0:
            machine.disk.file, machine.has_outdated_file = previous_file.copy(), True


def leave(world: "World", fault: Fault) -> None:
    """Shut the process down in order, and start it again afterwards."""
    process = _process(world, fault)
    if process is not None:
        process.deliver(process.leave)
        world.machines[fault.node].start_after(2_000_000 + fault.us)


def twin(world: "World", fault: Fault) -> None:
    """Run a second process with the same name for a while."""
    machine = world.machines[fault.node]
    if machine.process is not None and len(machine.duplicates) < 2:
        duplicate = machine.start()
        if duplicate is not None:
            world.time.after(fault.us, duplicate.crash)


def stop(world: "World", fault: Fault) -> None:
    """Pause the process for a while."""
    process = _process(world, fault)
    if process is not None:
        process.pause(fault.us)


def stall(world: "World", fault: Fault) -> None:
    """Pause the process between its next reading of the clock and the effects that follow from it."""
    process = _process(world, fault)
    if process is not None:
        process.next_stall_us = fault.us


def cut(world: "World", fault: Fault) -> None:
    """Drop all frames from `node` to `other`."""
    world.links.cuts[fault.node, fault.other] = world.time.now + fault.us


def deaf(world: "World", fault: Fault) -> None:
    """Drop all frames to the node."""
    world.links.cuts[ANY_NODE, fault.node] = world.time.now + fault.us


def mute(world: "World", fault: Fault) -> None:
    """Drop all frames from the node."""
    world.links.cuts[fault.node, ANY_NODE] = world.time.now + fault.us


def exile(world: "World", fault: Fault) -> None:
    """Drop frames from the node to all acceptors, or to all but one; other nodes still receive its frames."""
    for index, acceptor in enumerate(world.acceptors):
        if acceptor != fault.node and (fault.size % 2 or index != fault.size // 2 % len(world.acceptors)):
            world.links.cuts[fault.node, acceptor] = world.time.now + 2 * fault.us


def feud(world: "World", fault: Fault) -> None:
    """Cut a lease holder off from `other` in both directions, and later from the acceptors."""
    name = world.checkers.leases.holder(f"limits/{fault.size % SHARDS}") or fault.node
    until = world.time.now + 2 * fault.us
    world.links.cuts[name, fault.other] = world.links.cuts[fault.other, name] = until
    world.time.after(fault.us, _cut_from_acceptors, world, name, until + 1_500_000)


def _cut_from_acceptors(world: "World", name: str, until_us: int) -> None:
    for acceptor in world.acceptors:
        if acceptor != name and not world.healed:
            world.links.cuts[name, acceptor] = until_us


def blind(world: "World", fault: Fault) -> None:
    """Cut the node and one acceptor off from each other, so that each works with a different majority."""
    acceptor = world.acceptors[fault.size % len(world.acceptors)]
    for pair in ((fault.node, acceptor), (acceptor, fault.node)):
        world.links.cuts[pair] = world.time.now + fault.us // 4


def tear(world: "World", fault: Fault) -> None:
    """Crash the process while its next commit is in progress."""
    process = _process(world, fault)
    if process is not None:
        process.commits.next_crash_us = 1 + fault.size % 3_000


def apart(world: "World", fault: Fault) -> None:
    """Partition the fleet in two."""
    names = world.names
    side = [name for index, name in enumerate(names) if fault.size >> (index % 16) & 1]
    for name in side:
        for other in names:
            if other not in side:
                world.links.cuts[name, other] = world.links.cuts[other, name] = world.time.now + fault.us


def slow(world: "World", fault: Fault) -> None:
    """Delay and reorder all frames from the node, or all frames to it."""
    pair = (fault.node, ANY_NODE) if fault.size % 2 else (ANY_NODE, fault.node)
    world.links.slow[pair] = world.time.now + fault.us


def noise(world: "World", fault: Fault) -> None:
    """Lose and duplicate frames on all links."""
    lost = (0.02, 0.1, 0.3, 0.6)[fault.size % 4]
    world.links.noise = world.time.now + fault.us, lost, (0.0, 0.2)[fault.size // 4 % 2]


def disk(world: "World", fault: Fault) -> None:
    """Make the node's disk slow; one time in four it is also full until the process starts again."""
    machine = world.machines[fault.node]
    machine.disk.slow_until_us = world.time.now + fault.us
    if fault.size % 4 == 0 and not any(other.disk.full for other in world.machines.values()):
        machine.disk.full = True


def load(world: "World", fault: Fault) -> None:
    """Change the request rate of a tenant's clients at one node, and how they react to a refusal."""
    rate = REQUEST_RATES[fault.size % len(REQUEST_RATES)]
    world.load.set(fault.node, fault.other, rate, RETRY_MODES[fault.size // 8 % 3])


def shift(world: "World", fault: Fault) -> None:
    """Move all demand for a tenant to one node, so that the buckets of the other nodes fill meanwhile."""
    for name in world.names:
        rate = 2_000 if name == fault.node else 5 * (fault.size % 2)
        world.load.set(name, fault.other, rate, "retry_at_once")


def ill(world: "World", fault: Fault) -> None:
    """Make a member unhealthy; one time in four it has restarted with empty data just before."""
    failure = FAILURE_KINDS[fault.size % len(FAILURE_KINDS)]
    world.observations.unhealthy[fault.other] = world.time.now + fault.us, failure
    if fault.size // 4 % 4 == 0:
        world.observations.restart_member(fault.other)


def failover(world: "World", fault: Fault) -> None:
    """Fail a bank over to another primary, and let some gateway notice it."""
    if world.banks is not None:
        world.banks.fail_over(fault.other, fault.size)
        process = _process(world, fault)
        if process is not None:
            process.deliver(process.call_node, lambda node, now: node.failed_over(fault.other, now))


def freeze(world: "World", fault: Fault) -> None:
    """Stop replication to one member of a bank for a while."""
    if world.banks is not None:
        world.banks.freeze(fault.other, fault.size, fault.us)


def word(world: "World", fault: Fault) -> None:
    """Issue an operator's command about versions at some gateway."""
    process = _process(world, fault)
    if process is not None and world.banks is not None:
        world.banks.issue_operator_command(process, fault.size)


_ACTIONS = (
    (crash, fall, lose, leave, twin, stop, stall, tear)
    + (cut, deaf, mute, apart, slow, noise, exile, blind, feud)
    + (disk, load, shift, ill, failover, freeze, word)
)
FAULT_ACTIONS: dict[str, Callable[["World", Fault], None]] = {action.__name__: action for action in _ACTIONS}
