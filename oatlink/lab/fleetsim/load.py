"""What clients ask of each gateway: how much of which tenant, and what they do when they are refused.

What may live here: kinds of clients. `hammer` come back at once, `told` when they were told to, `once` go elsewhere.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from oatlink.fleet.gate import ADMITTED, GRANT_PENDING

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

EACH_US = 40_000


@dataclass(slots=True)
class Crowd:
    """The clients of one tenant at one node."""

    rate: int
    mode: str
    debt: float = 0.0
    back_us: int = 0  # by the gateway's clock
    again: bool = False


class Load:
    """All of it. Clients look for their gateway each `EACH_US`, the first process of a name and its twins alike."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._crowds: dict[str, dict[str, Crowd]] = {name: {} for name in world.names}
        self._due: dict[str, bool] = {}
        self.admitted = self.refused = 0
        self._second: dict[str, dict[int, int]] = {}  # by tenant and second: how many were let in

    def set(self, node: str, tenant: str, rate: int, mode: str, us: int = 0) -> None:
        """From now on."""
        if rate:
            self._crowds[node][tenant] = Crowd(rate, mode)
            if not self._due.get(node):
                self._due[node] = True
                self._world.time.after(EACH_US, self._come, node)
        else:
            self._crowds[node].pop(tenant, None)

    def lately(self, now_us: int) -> dict[str, float]:
        """Of the tenants that are asked for more than they have by crowds that hammer: the part of their rate served.

        Over the last whole two seconds; what floors at nodes without a crowd would have served is not counted.
        """
        found: dict[str, float] = {}
        for one in self._world.fleet_of(self._world.names[0]).tenants:
            crowds = [here[one.name] for here in self._crowds.values() if one.name in here]
            wanted = sum(crowd.rate for crowd in crowds if crowd.mode == "hammer" and crowd.rate >= 100)
            if wanted >= 2 * one.rate:
                end, second = now_us // 1_000_000, self._second.get(one.name, {})
                idle = 1 - len(crowds) / len(self._world.names)
                served = (second.get(end - 1, 0) + second.get(end - 2, 0)) / 2
                found[one.name] = served / (one.rate * (1 - one.floor * idle))
        return found

    def _come(self, node: str) -> None:
        self._due[node] = bool(self._crowds[node])
        if not self._due[node]:
            return
        self._world.time.after(EACH_US, self._come, node)
        for process in self._world.machines[node].processes:
            if self._world.time.now >= process.stopped_until and not process.held:
                self._ask(process)

    def _ask(self, process: "Process") -> None:
        now, held = process.clock(), False
        admit, judge = process.gate.admit, self._world.judges.limits.admitted
        for tenant, crowd in self._crowds[process.name].items():
            crowd.debt = min(crowd.debt + crowd.rate * EACH_US / 1e6, max(2.0, crowd.rate * 0.05))
            if crowd.mode == "told" and now < crowd.back_us < now + 6_000_000:
                continue
            while crowd.debt >= 1:
                answer = admit(tenant, "", [], "get", 1, now, crowd.again)
                crowd.again = answer == GRANT_PENDING
                if answer == ADMITTED:
                    self.admitted += 1
                    judge(process, tenant)
                    second = self._second.setdefault(tenant, {})
                    second[self._world.time.now // 1_000_000] = second.get(self._world.time.now // 1_000_000, 0) + 1
                else:
                    self.refused += answer > 0
                    held = held or answer == GRANT_PENDING
                    crowd.back_us = now + max(0, answer)
                    if crowd.mode != "once":
                        break
                crowd.debt -= 1
        if held:
            process.tick()
