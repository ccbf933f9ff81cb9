"""Probes: a separate proposer at each gateway, which reads registers and changes registers that only probes use.

The module decides when each probe sends which request; `registers_checker` checks the answers.
"""

from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

PROBE_KEYS = ("probe/0", "probe/1")
FLEET_KEYS = ("limits/0", "limits/1", "limits/2", "limits/3", "versions", "versions/state")


class Probes:
    """The probes of all gateways."""

    def __init__(self, world: "World", seed: int) -> None:
        self._world, self._draw, self._request_count = world, Random(f"{seed}/probes"), 0
        world.time.after(1, self._schedule_next)

    def _schedule_next(self) -> None:
        world, draw = self._world, self._draw
        world.time.after(1 + draw.randrange(2 * world.scenario.probe_us), self._schedule_next)
        process = world.machines[draw.choice(world.names)].process
        key = draw.choice(PROBE_KEYS if draw.random() < 0.8 else FLEET_KEYS)
        is_change = key in PROBE_KEYS and draw.random() < 0.6
        if process is not None:
            process.deliver(self.send_request, process, key, is_change)

    def send_request(self, process: "Process", key: str, is_change: bool) -> None:
        """Read or change a register through the probe of a process."""
        if process.probe is None:
            return
        self._request_count += 1
        number, checker, now = self._request_count, self._world.checkers.registers, process.clock()
        if is_change:
            fence, value = checker.highest_fence(key), b"%d" % number
            checker.probe_sent(process, number, key, fence, value)
            process.apply_probe_effects(process.probe.change(number, key, fence, value, now))
        else:
            checker.probe_sent(process, number, key, -1, b"")
            process.apply_probe_effects(process.probe.read(number, key, now))
