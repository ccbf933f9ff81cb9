"""Probes: at each gateway a proposer of its own that reads registers, and changes some of its own.

What may live here: when which probe asks for what. What the answers must be is `registers_checker`'.
"""

from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

OWN = ("probe/0", "probe/1")
REAL = ("limits/0", "limits/1", "limits/2", "limits/3", "versions", "versions/state")


class Probes:
    """All of them."""

    def __init__(self, world: "World", seed: int) -> None:
        self._world, self._draw, self._asks = world, Random(f"{seed}/probes"), 0
        world.time.after(1, self._come)

    def _come(self) -> None:
        world, draw = self._world, self._draw
        world.time.after(1 + draw.randrange(2 * world.scenario.probe_us), self._come)
        process = world.machines[draw.choice(world.names)].process
        key = draw.choice(OWN if draw.random() < 0.8 else REAL)
        change = key in OWN and draw.random() < 0.6
        if process is not None:
            process.come(self.ask, process, key, change)

    def ask(self, process: "Process", key: str, change: bool) -> None:
        """One question by this process's probe."""
        if process.probe is None:
            return
        self._asks += 1
        registers, now = self._world.judges.registers, process.clock()
        if change:
            fence, value = registers.known(key), b"%d" % self._asks
            registers.asks(process, self._asks, key, fence, value)
            process.probed(process.probe.change(self._asks, key, fence, value, now))
        else:
            registers.asks(process, self._asks, key, -1, b"")
            process.probed(process.probe.read(self._asks, key, now))
