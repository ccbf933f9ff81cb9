"""Whether leases have one holder and allowances are kept to, by true time, while it runs.

- One holder: each process's lease lasts until its clock shows the end, also while it stands still. No two overlap, and
  a later holding has a higher fence.
- Rights: all floors and all grants that live at one moment are within rate and burst, exactly.
- Windows: no window admits more than burst + rate x W x (1 + drift): a bucket of that rate never holds more.
- A process that has no name of its own admits nothing.
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


class Leases:
    """One holder at each moment."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._held: dict[str, dict[Process, int]] = {}  # true ends
        self._newest: dict[str, tuple[int, Process | None]] = {}
        self.holdings = 0

    def looked(self, process: "Process") -> None:
        """A core of this process has been called."""
        told, now = process.told, self._world.time.now
        for lease in views.leases(process.node):
            until = lease.until_us
            if told.get(lease.key, 0) != until:
                told[lease.key] = until
                self._holds(process, lease.key, lease.fence, process.machine.clock.reaches(until), now)

    def _holds(self, process: "Process", key: str, fence: int, end: int, now: int) -> None:
        held = self._held.setdefault(key, {})
        held[process] = end
        if end <= now:
            del held[process]
            return
        for other, until in list(held.items()):
            if until <= now:
                del held[other]
            elif other is not process:
                raise Violation("one holder", f"{key}: {process.name} until {end}, {other.name} until {until}")
        newest, who = self._newest.get(key, (0, None))
        if fence < newest or (fence == newest and who is not process):
            raise Violation("one holder", f"{key}: {process.name} holds by fence {fence} after {newest}")
        self.holdings += fence > newest
        self._newest[key] = fence, process

    def holder(self, key: str) -> str:
        """Whose it is now, empty where it is nobody's."""
        now = self._world.time.now
        return next((one.name for one, end in self._held.get(key, {}).items() if end > now), "")

    def ended(self, process: "Process") -> None:
        """It is gone."""
        for held in self._held.values():
            held.pop(process, None)


class Limits:
    """Never over."""

    def __init__(self, world: "World", drift: float) -> None:
        self._world = world
        fleet = world.fleet_of(world.names[0])
        self._rules = allowances_of(fleet, world.members)
        floors = {name: floor_of(rule, len(world.names)) for name, rule in self._rules.items()}
        count = len(world.names)
        self._pools = {
            name: (
                int(rule[0] * REQUEST_UNITS) - count * floors[name][0],
                int(rule[1] * REQUEST_UNITS) - count * floors[name][1],
            )
            for name, rule in self._rules.items()
        }
        self._live: dict[str, dict[Process, tuple[int, int, int]]] = {}
        self._windows: dict[str, tuple[float, int]] = {}
        self._drift = drift
        self.nearest: dict[str, float] = {}  # the fullest window, as a part of the burst

    def told(self, process: "Process", news: Granted) -> None:
        """A gate has heard of a grant."""
        use, now, name = views.use(process.gate, news.name), self._world.time.now, news.name
        live = self._live.setdefault(name, {})
        live.pop(process, None)
        if use is not None and use.until_us > process.clock():
            live[process] = process.machine.clock.reaches(use.until_us), use.grant.rate, use.grant.burst
        rate = burst = 0
        for other, (end, one_rate, one_burst) in list(live.items()):
            if end <= now:
                del live[other]
            else:
                rate, burst = rate + one_rate, burst + one_burst
        if rate > self._pools[name][0] or burst > self._pools[name][1]:
            who = {other.name: (end - now, one_rate, one_burst) for other, (end, one_rate, one_burst) in live.items()}
            raise Violation("rights", f"{name}: {rate}, {burst} live of {self._pools[name]}: {who}")

    def admitted(self, process: "Process", tenant: str) -> None:
        """A request of a tenant was let through."""
        if process.alone:
            raise Violation("alone", f"{process.name} has no name of its own and admits {tenant}")
        now, rule = self._world.time.now, self._rules[TENANT + tenant]
        level, last = self._windows.get(tenant, (0.0, 0))
        level = max(0.0, level - rule[0] * (1 + self._drift) * (now - last) / 1e6) + 1
        self._windows[tenant] = level, now
        if level > self.nearest.get(tenant, 0.0) * rule[1]:
            self.nearest[tenant] = level / rule[1]
            if level > rule[1] + 1e-6:
                raise Violation("windows", f"{tenant}: a window is {level - rule[1]:.3f} over, last at {process.name}")

    def ended(self, process: "Process") -> None:
        """It is gone."""
        for live in self._live.values():
            live.pop(process, None)
