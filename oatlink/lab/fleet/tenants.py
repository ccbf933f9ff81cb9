"""The clients of a day with quotas: those of each tenant, and some of none."""

import random
from functools import partial

from oatlink.lab.days.clients import SHARES
from oatlink.lab.days.commands import CommandFactory
from oatlink.lab.days.world import World
from oatlink.lab.fleet.roamers import Batch, Roamer, Spread
from oatlink.lab.fleet.scenarios import FleetScenario
from oatlink.protocols.resp import command

NAMES = "tenant-*-%s*"
KINDS = ("view", "view", "view", "check", "own", "post")  # of a tenant's clients, in turn
MULTI_SHARE = 0.3  # of what posting clients of a tenant ask for
MULTI_SIZE = 3  # commands between MULTI and EXEC


class Asks:
    """Makes what clients send."""

    def __init__(self, commands: CommandFactory) -> None:
        self._commands = commands

    def one(self, place: str, rng: random.Random) -> Batch:
        """One command."""
        return Batch(self._commands.next_command(place.split("-")[1], place, rng))

    def some(self, place: str, rng: random.Random) -> Batch:
        """One command, or at times a MULTI of several."""
        if place.split("-")[1] != "post" or rng.random() >= MULTI_SHARE:
            return self.one(place, rng)
        key = f"nav:{rng.randrange(24)}"
        inside = [self._commands.next_push(key) for _ in range(MULTI_SIZE)]
        return Batch(b"".join([command("MULTI"), *inside, command("EXEC")]), MULTI_SIZE + 2)


def tenants_clients(scenario: FleetScenario, world: World, commands: CommandFactory, spread: Spread) -> list[Roamer]:
    """The clients of all tenants. A posting one asks less often, for a MULTI counts as several."""
    asks, found = Asks(commands), []
    for name, tenant in scenario.tenants.items():
        rate = tenant.demand / tenant.clients
        for number in range(tenant.clients):
            kind = KINDS[number % len(KINDS)]
            base, said = f"client-{kind}-{name}-{number}", f"tenant-{name}-{kind}-{number}"
            mean = 1 + MULTI_SHARE * (MULTI_SIZE - 1) if kind == "post" else 1.0
            found.append(Roamer(world, base, said, rate / mean, partial(spread.where, base), asks.some))
    return found


def others(scenario: FleetScenario, world: World, commands: CommandFactory, spread: Spread) -> list[Roamer]:
    """Clients of no tenant, with the five rules' whole mix."""
    asks, found = Asks(commands), []
    for kind, share, count in SHARES:
        for number in range(2 * count):
            base = f"client-{kind}-none-{number}"
            rate = scenario.rate * share / (2 * count)
            found.append(Roamer(world, base, f"{kind}-none-{number}", rate, partial(spread.where, base), asks.one))
    return found
