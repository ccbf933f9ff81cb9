"""What each kind of fault does to the world. Nothing is drawn here: a fault is a value, and says all.

A keeper's file is lost only while a majority of the others votes and keeps: more is not tolerated, and not claimed.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from oatlink.fleet.limits.shards import SHARDS
from oatlink.lab.fleetsim.faults import Fault
from oatlink.lab.fleetsim.links import EVERYBODY
from oatlink.lab.fleetsim.observations import ILL

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

LEVELS = (0, 20, 100, 400, 2_000)  # requests a second that clients of one tenant have at one node
MODES = ("hammer", "told", "once")


def _process(world: "World", fault: Fault) -> "Process | None":
    return world.machines[fault.node].process


def crash(world: "World", fault: Fault) -> None:
    """It falls, and starts again after a while; its machine too, one time in four."""
    _down(world, fault)
    if fault.size % 4 == 0:
        world.machines[fault.node].clock.begins_anew(world.time.now)


def _down(world: "World", fault: Fault) -> None:
    machine = world.machines[fault.node]
    if machine.process is not None:
        machine.process.crash()
    machine.starts_in(fault.us // 4)


def fall(world: "World", fault: Fault) -> None:
    """It falls between two of the next effects."""
    one = _process(world, fault)
    if one is not None:
        one.falls_in = fault.size % 12


def lose(world: "World", fault: Fault) -> None:
    """It falls, and its file is gone; or the file of a life before is put in its place."""
    machine = world.machines[fault.node]
    missing = [one for one in world.keepers if one != fault.node and not world.machines[one].keeps]
    if fault.node in world.keepers and len(missing) < len(world.keepers) // 2:
        _down(world, fault)
        stashed = machine.disk.stashed
        machine.disk.lose()
        machine.outdated = False
        if stashed is not None and fault.size % 3 == 0:
            machine.disk.file, machine.outdated = stashed.copy(), True


def leave(world: "World", fault: Fault) -> None:
    """An orderly end, and a start afterwards."""
    one = _process(world, fault)
    if one is not None:
        one.come(one.leave)
        world.machines[fault.node].starts_in(2_000_000 + fault.us)


def twin(world: "World", fault: Fault) -> None:
    """A second process with the same name, for a while."""
    machine = world.machines[fault.node]
    if machine.process is not None and len(machine.twins) < 2:
        other = machine.start()
        if other is not None:
            world.time.after(fault.us, other.crash)


def stop(world: "World", fault: Fault) -> None:
    """It stands still and goes on."""
    one = _process(world, fault)
    if one is not None:
        one.stop(fault.us)


def stall(world: "World", fault: Fault) -> None:
    """It stands still between the next look at its clock and what follows from it."""
    one = _process(world, fault)
    if one is not None:
        one.stalls_us = fault.us


def cut(world: "World", fault: Fault) -> None:
    """Nothing goes from one to the other."""
    world.links.cuts[fault.node, fault.other] = world.time.now + fault.us


def deaf(world: "World", fault: Fault) -> None:
    """Nothing comes to it."""
    world.links.cuts[EVERYBODY, fault.node] = world.time.now + fault.us


def mute(world: "World", fault: Fault) -> None:
    """Nothing comes from it."""
    world.links.cuts[fault.node, EVERYBODY] = world.time.now + fault.us


def exile(world: "World", fault: Fault) -> None:
    """It does not reach the keepers, or only one of them; the others hear it well."""
    for at, keeper in enumerate(world.keepers):
        if keeper != fault.node and (fault.size % 2 or at != fault.size // 2 % len(world.keepers)):
            world.links.cuts[fault.node, keeper] = world.time.now + 2 * fault.us


def feud(world: "World", fault: Fault) -> None:
    """Whoever holds a lease and `other` do not hear one another; later the holder does not reach the keepers."""
    name = world.judges.leases.holder(f"limits/{fault.size % SHARDS}") or fault.node
    until = world.time.now + 2 * fault.us
    world.links.cuts[name, fault.other] = world.links.cuts[fault.other, name] = until
    world.time.after(fault.us, _exiled, world, name, until + 1_500_000)


def _exiled(world: "World", name: str, until_us: int) -> None:
    for keeper in world.keepers:
        if keeper != name and not world.healed:
            world.links.cuts[name, keeper] = until_us


def blind(world: "World", fault: Fault) -> None:
    """It and one keeper do not reach one another: each has another majority."""
    keeper = world.keepers[fault.size % len(world.keepers)]
    for pair in ((fault.node, keeper), (keeper, fault.node)):
        world.links.cuts[pair] = world.time.now + fault.us // 4


def tear(world: "World", fault: Fault) -> None:
    """It falls while its next commit is under way."""
    one = _process(world, fault)
    if one is not None:
        one.commits.tears_us = 1 + fault.size % 3_000


def apart(world: "World", fault: Fault) -> None:
    """The fleet falls into two parts."""
    names = world.names
    here = [one for at, one in enumerate(names) if fault.size >> (at % 16) & 1]
    for one in here:
        for other in names:
            if other not in here:
                world.links.cuts[one, other] = world.links.cuts[other, one] = world.time.now + fault.us


def slow(world: "World", fault: Fault) -> None:
    """What comes from it, or to it, comes late and in any order."""
    pair = (fault.node, EVERYBODY) if fault.size % 2 else (EVERYBODY, fault.node)
    world.links.slow[pair] = world.time.now + fault.us


def noise(world: "World", fault: Fault) -> None:
    """Frames are lost and doubled everywhere."""
    lost = (0.02, 0.1, 0.3, 0.6)[fault.size % 4]
    world.links.noise = world.time.now + fault.us, lost, (0.0, 0.2)[fault.size // 4 % 2]


def disk(world: "World", fault: Fault) -> None:
    """Its disk is slow, or full from now on until its process starts again."""
    machine = world.machines[fault.node]
    machine.disk.slow_until = world.time.now + fault.us
    if fault.size % 4 == 0 and not any(one.disk.full for one in world.machines.values()):
        machine.disk.full = True


def load(world: "World", fault: Fault) -> None:
    """Clients of a tenant at one node want more or less, and take a refusal so or so."""
    level = LEVELS[fault.size % len(LEVELS)]
    world.load.set(fault.node, fault.other, level, MODES[fault.size // 8 % 3], fault.us)


def shift(world: "World", fault: Fault) -> None:
    """All demand for a tenant goes to one node: buckets elsewhere fill meanwhile."""
    for name in world.names:
        world.load.set(name, fault.other, 2_000 if name == fault.node else 5 * (fault.size % 2), "hammer", fault.us)


def ill(world: "World", fault: Fault) -> None:
    """A member is ill; one time in four it has begun anew before."""
    world.sights.ill[fault.other] = world.time.now + fault.us, ILL[fault.size % len(ILL)]
    if fault.size // 4 % 4 == 0:
        world.sights.anew(fault.other)


def failover(world: "World", fault: Fault) -> None:
    """A bank has another primary; some gateway notices."""
    if world.banks is not None:
        world.banks.fail_over(fault.other, fault.size)
        one = _process(world, fault)
        if one is not None:
            one.come(one.given, lambda node, now: node.failed_over(fault.other, now))


def freeze(world: "World", fault: Fault) -> None:
    """A member of a bank gets no further for a while."""
    if world.banks is not None:
        world.banks.freeze(fault.other, fault.size, fault.us)


def word(world: "World", fault: Fault) -> None:
    """An operator's word about versions, at some gateway."""
    one = _process(world, fault)
    if one is not None and world.banks is not None:
        world.banks.word(one, fault.size)


_KINDS = (
    (crash, fall, lose, leave, twin, stop, stall, tear)
    + (cut, deaf, mute, apart, slow, noise, exile, blind, feud)
    + (disk, load, shift, ill, failover, freeze, word)
)
ACTS: dict[str, Callable[["World", Fault], None]] = {one.__name__: one for one in _KINDS}
