"""Checks by true time, during the run, that leases have one holder and that allowances are not exceeded.

- One holder: a process's lease lasts until its clock shows the end, also while the process is paused. No two leases
  of a key overlap, and each later holder has a higher fence.
- Rights: the sum of all floors and all live grants never exceeds rate or burst, without any tolerance.
- Windows: no window of length W admits more than burst + rate x W x (1 + drift). This is checked with a bucket of
  that rate, whose level may not exceed the burst.
- Alone: a process whose name is taken by another process admits nothing.
"""

from typing import TYPE_CHECKING

from oatlink.fleet.gate import Granted
from oatlink.fleet.gating import TENANT, allowances_of
from oatlink.fleet.limits.allowance import REQUEST_UNITS, floor_of
from oatlink.lab.fleetsim import views
from oatlink.lab.fleetsim.violation import Violation

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World


class LeaseChecker:
    """Checks that each lease has at most one holder at each moment."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._ends: dict[str, dict[Process, int]] = {}  # by key: holders and the true ends of their leases
        self._newest: dict[str, tuple[int, Process | None]] = {}  # by key: highest fence and its holder
        self.holdings = 0

    def node_called(self, process: "Process") -> None:
        """Check the leases that changed in a call of this process's node."""
        known_ends, now = process.known_lease_ends, self._world.time.now
        for lease in views.leases(process.node):
            until = lease.until_us
            if known_ends.get(lease.key, 0) != until:
                known_ends[lease.key] = until
                self._check_holder(process, lease.key, lease.fence, process.machine.clock.reaches(until), now)

    def _check_holder(self, process: "Process", key: str, fence: int, end: int, now: int) -> None:
        ends = self._ends.setdefault(key, {})
        ends[process] = end
        if end <= now:
            del ends[process]
            return
        for other, until in list(ends.items()):
            if until <= now:
                del ends[other]
            elif other is not process:
                raise Violation("one holder", f"{key}: {process.name} until {end}, {other.name} until {until}")
        newest, newest_holder = self._newest.get(key, (0, None))
        if fence < newest or (fence == newest and newest_holder is not process):
            raise Violation(
                "one holder", f"{key}: {process.name} holds the lease with fence {fence} after fence {newest}"
            )
        self.holdings += fence > newest
        self._newest[key] = fence, process

    def holder(self, key: str) -> str:
        """The name of the present holder, empty if there is none."""
        now = self._world.time.now
        return next((process.name for process, end in self._ends.get(key, {}).items() if end > now), "")

    def process_ended(self, process: "Process") -> None:
        """Forget the leases of a process that has ended."""
        for ends in self._ends.values():
            ends.pop(process, None)


class LimitChecker:
    """Checks that allowances and admitted requests never exceed the limits of their tenants."""

    def __init__(self, world: "World", drift: float) -> None:
        self._world = world
        fleet = world.fleet_of(world.names[0])
        self._rules = allowances_of(fleet, world.members)
        floors = {name: floor_of(rule, len(world.names)) for name, rule in self._rules.items()}
        node_count = len(world.names)
        self._pools = {
            name: (
                int(rule[0] * REQUEST_UNITS) - node_count * floors[name][0],
                int(rule[1] * REQUEST_UNITS) - node_count * floors[name][1],
            )
            for name, rule in self._rules.items()
        }
        self._live: dict[str, dict[Process, tuple[int, int, int]]] = {}  # by name: true end, rate and burst of grants
        self._windows: dict[str, tuple[float, int]] = {}  # by tenant: level of its bucket, and when it was counted
        self._drift = drift
        self.nearest: dict[str, float] = {}  # by tenant: its fullest window as a fraction of the burst

    def gate_notified(self, process: "Process", news: Granted) -> None:
        """Check the sum of the live grants after a gate has received a grant."""
        use, now, name = views.allowance_in_use(process.gate, news.name), self._world.time.now, news.name
        live = self._live.setdefault(name, {})
        live.pop(process, None)
        if use is not None and use.until_us > process.clock():
            live[process] = process.machine.clock.reaches(use.until_us), use.grant.rate, use.grant.burst
        rate = burst = 0
        for other, (end, other_rate, other_burst) in list(live.items()):
            if end <= now:
                del live[other]
            else:
                rate, burst = rate + other_rate, burst + other_burst
        if rate > self._pools[name][0] or burst > self._pools[name][1]:
            grants = {other.name: (end - now, *amounts) for other, (end, *amounts) in live.items()}
            raise Violation("rights", f"{name}: {rate}, {burst} are granted of {self._pools[name]}: {grants}")

    def admitted(self, process: "Process", tenant: str) -> None:
        """Check the window of a tenant after one of its requests was admitted."""
        if process.is_alone:
            raise Violation("alone", f"{process.name} does not own its name and admits {tenant}")
        now, rule = self._world.time.now, self._rules[TENANT + tenant]
        level, last = self._windows.get(tenant, (0.0, 0))
        level = max(0.0, level - rule[0] * (1 + self._drift) * (now - last) / 1e6) + 1
        self._windows[tenant] = level, now
        if level > self.nearest.get(tenant, 0.0) * rule[1]:
            self.nearest[tenant] = level / rule[1]
            if level > rule[1] + 1e-6:
                raise Violation(
                    "windows", f"{tenant}: a window exceeds its limit by {level - rule[1]:.3f}, last at {process.name}"
                )

    def process_ended(self, process: "Process") -> None:
        """Forget the grants of a process that has ended."""
        for live in self._live.values():
            live.pop(process, None)
