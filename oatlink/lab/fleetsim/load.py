"""Simulated clients: the request rate of each tenant at each gateway, and how its clients react to a refusal.

The modes of reaction are: `retry_at_once`; `wait`, which retries after the delay that the refusal names; and
`no_retry`, which goes elsewhere.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from oatlink.fleet.gate import ADMITTED, GRANT_PENDING

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.process import Process
    from oatlink.lab.fleetsim.world import World

RETRY_MODES = ("retry_at_once", "wait", "no_retry")
INTERVAL_US = 40_000


@dataclass(slots=True)
class TenantClients:
    """The clients of one tenant at one node."""

    rate: int
    mode: str
    due_requests: float = 0.0
    retry_at_us: int = 0  # by the gateway's clock
    is_retry: bool = False


class Load:
    """All clients.

    Each `INTERVAL_US` they send their due requests to every process of their node, duplicates included.
    """

    def __init__(self, world: "World") -> None:
        self._world = world
        self._clients: dict[str, dict[str, TenantClients]] = {name: {} for name in world.names}
        self._is_scheduled: dict[str, bool] = {}
        self.admitted = self.refused = 0
        self._admitted_by_second: dict[str, dict[int, int]] = {}  # by tenant and second: admitted requests

    def set(self, node: str, tenant: str, rate: int, mode: str) -> None:
        """Set the request rate and the retry mode of a tenant's clients at a node from now on."""
        if rate:
            self._clients[node][tenant] = TenantClients(rate, mode)
            if not self._is_scheduled.get(node):
                self._is_scheduled[node] = True
                self._world.time.after(INTERVAL_US, self._send_due, node)
        else:
            self._clients[node].pop(tenant, None)

    def served_shares(self, now_us: int) -> dict[str, float]:
        """The share of its rate that each overloaded tenant was served over the last two whole seconds.

        A tenant is overloaded if clients that retry at once request at least twice its rate; nodes at which they make
        fewer than 100 requests a second do not count. The floors of nodes without clients of the tenant are left out
        of its rate, because nothing can use them.
        """
        shares: dict[str, float] = {}
        for tenant in self._world.fleet_of(self._world.names[0]).tenants:
            clients = [by_tenant[tenant.name] for by_tenant in self._clients.values() if tenant.name in by_tenant]
            demand = sum(client.rate for client in clients if client.mode == "retry_at_once" and client.rate >= 100)
            if demand >= 2 * tenant.rate:
                end, by_second = now_us // 1_000_000, self._admitted_by_second.get(tenant.name, {})
                idle_fraction = 1 - len(clients) / len(self._world.names)
                served = (by_second.get(end - 1, 0) + by_second.get(end - 2, 0)) / 2
                shares[tenant.name] = served / (tenant.rate * (1 - tenant.floor * idle_fraction))
        return shares

    def _send_due(self, node: str) -> None:
        self._is_scheduled[node] = bool(self._clients[node])
        if not self._is_scheduled[node]:
            return
        self._world.time.after(INTERVAL_US, self._send_due, node)
        for process in self._world.machines[node].processes:
            if self._world.time.now >= process.paused_until_us and not process.pending:
                self._send_requests(process)

    def _send_requests(self, process: "Process") -> None:
        now, has_held = process.clock(), False
        admit, check_admitted = process.gate.admit, self._world.checkers.limits.admitted
        for tenant, clients in self._clients[process.name].items():
            clients.due_requests = min(
                clients.due_requests + clients.rate * INTERVAL_US / 1e6, max(2.0, clients.rate * 0.05)
            )
            if clients.mode == "wait" and now < clients.retry_at_us < now + 6_000_000:
                continue
            while clients.due_requests >= 1:
                answer = admit(tenant, "", [], "get", 1, now, clients.is_retry)
                clients.is_retry = answer == GRANT_PENDING
                if answer == ADMITTED:
                    self.admitted += 1
                    check_admitted(process, tenant)
                    by_second = self._admitted_by_second.setdefault(tenant, {})
                    second = self._world.time.now // 1_000_000
                    by_second[second] = by_second.get(second, 0) + 1
                else:
                    self.refused += answer > 0
                    has_held = has_held or answer == GRANT_PENDING
                    clients.retry_at_us = now + max(0, answer)
                    if clients.mode != "no_retry":
                        break
                clients.due_requests -= 1
        if has_held:
            process.tick()
