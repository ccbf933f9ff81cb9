"""The clients of a quota scenario: clients of each tenant, and clients without a tenant."""

import random
from functools import partial

from oatlink.lab.days.clients import SHARES
from oatlink.lab.days.commands import CommandFactory
from oatlink.lab.days.world import World
from oatlink.lab.fleet.clients import Batch, ClientSpread, RoamingClient
from oatlink.lab.fleet.scenarios import FleetScenario
from oatlink.protocols.resp import command

CLIENT_NAME_PATTERN = "tenant-*-%s*"  # of the clients of all tenants; `%s` is the kind
KINDS = ("view", "view", "view", "check", "own", "post")  # assigned to the clients of a tenant in turn
MULTI_SHARE = 0.3  # of the batches of `post` clients of a tenant
MULTI_SIZE = 3  # commands between MULTI and EXEC


class BatchFactory:
    """Makes the batches of commands that clients send."""

    def __init__(self, commands: CommandFactory) -> None:
        self._commands = commands

    def single(self, place: str, rng: random.Random) -> Batch:
        """Return a batch of one command."""
        return Batch(self._commands.next_command(place.split("-")[1], place, rng))

    def single_or_multi(self, place: str, rng: random.Random) -> Batch:
        """Return a batch of one command, or for `post` clients sometimes a MULTI of several."""
        if place.split("-")[1] != "post" or rng.random() >= MULTI_SHARE:
            return self.single(place, rng)
        key = f"nav:{rng.randrange(24)}"
        queued = [self._commands.next_push(key) for _ in range(MULTI_SIZE)]
        return Batch(b"".join([command("MULTI"), *queued, command("EXEC")]), MULTI_SIZE + 2)


def make_tenant_clients(
    scenario: FleetScenario, world: World, commands: CommandFactory, spread: ClientSpread
) -> list[RoamingClient]:
    """Return the clients of all tenants.

    A `post` client sends less often, because a MULTI counts as several requests.
    """
    batches, clients = BatchFactory(commands), []
    for name, tenant in scenario.tenants.items():
        rate = tenant.demand / tenant.clients
        for number in range(tenant.clients):
            kind = KINDS[number % len(KINDS)]
            base, client_name = f"client-{kind}-{name}-{number}", f"tenant-{name}-{kind}-{number}"
            mean_size = 1 + MULTI_SHARE * (MULTI_SIZE - 1) if kind == "post" else 1.0
            choose_gateway = partial(spread.gateway_of, base)
            clients.append(
                RoamingClient(world, base, client_name, rate / mean_size, choose_gateway, batches.single_or_multi)
            )
    return clients


def make_clients_without_tenant(
    scenario: FleetScenario, world: World, commands: CommandFactory, spread: ClientSpread
) -> list[RoamingClient]:
    """Return clients without a tenant, with the full mix of kinds that the five invariants need."""
    batches, clients = BatchFactory(commands), []
    for kind, share, count in SHARES:
        for number in range(2 * count):
            base = f"client-{kind}-none-{number}"
            rate = scenario.rate * share / (2 * count)
            client_name = f"{kind}-none-{number}"
            choose_gateway = partial(spread.gateway_of, base)
            clients.append(RoamingClient(world, base, client_name, rate, choose_gateway, batches.single))
    return clients
