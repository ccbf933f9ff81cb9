"""Passes the events of one run on to the invariant checkers. It makes no decisions."""

from typing import TYPE_CHECKING, Any

from oatlink.fleet.gate import Granted, Seen, Served
from oatlink.lab.fleetsim.limits_checker import LeaseChecker, LimitChecker
from oatlink.lab.fleetsim.registers_checker import RegisterChecker
from oatlink.lab.fleetsim.verdicts_checker import VerdictChecker

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World


class Checkers:
    """All invariant checkers; their modules list the invariants."""

    def __init__(self, world: "World", drift: float) -> None:
        self._world = world
        self.registers = RegisterChecker(world.acceptors)
        self.leases = LeaseChecker(world)
        self.limits = LimitChecker(world, drift)
        self.verdicts = VerdictChecker(world)

    def node_called(self, process: "Process") -> None:
        """Check the leases of a process after a call of its node."""
        self.leases.node_called(process)

    def gate_notified(self, process: "Process", news: Any, now_us: int) -> None:
        """Check a message that the gate of a process has received from its node."""
        if isinstance(news, Granted):
            self.limits.gate_notified(process, news)
        elif isinstance(news, Seen):
            self.verdicts.gate_notified(process, news, now_us)
        elif isinstance(news, Served) and self._world.banks is not None:
            self._world.banks.gate_notified(process, news)

    def process_ended(self, process: "Process") -> None:
        """Forget a process that has ended."""
        self.leases.process_ended(process)
        self.limits.process_ended(process)
        self.verdicts.process_ended(process)
