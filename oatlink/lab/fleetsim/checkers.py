"""The checkers of one run, and what they are told. No decisions."""

from typing import TYPE_CHECKING, Any

from oatlink.fleet.gate import Granted, Seen, Served
from oatlink.lab.fleetsim.limits_checker import Leases, Limits
from oatlink.lab.fleetsim.registers_checker import Registers
from oatlink.lab.fleetsim.verdicts_checker import Verdicts

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World


class Judges:
    """See the modules of each."""

    def __init__(self, world: "World", drift: float) -> None:
        self._world = world
        self.registers = Registers(world.keepers)
        self.leases = Leases(world)
        self.limits = Limits(world, drift)
        self.verdicts = Verdicts(world)

    def looked(self, process: "Process") -> None:
        """A core of this process has been called."""
        self.leases.looked(process)

    def told(self, process: "Process", news: Any, now_us: int) -> None:
        """Its gate has heard this."""
        if isinstance(news, Granted):
            self.limits.told(process, news)
        elif isinstance(news, Seen):
            self.verdicts.told(process, news, now_us)
        elif isinstance(news, Served) and self._world.banks is not None:
            self._world.banks.told(process, news)

    def ended(self, process: "Process") -> None:
        """It is gone."""
        self.leases.ended(process)
        self.limits.ended(process)
        self.verdicts.ended(process)
