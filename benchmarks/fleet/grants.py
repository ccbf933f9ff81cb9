"""What one home can give out: `LimitCoordinator` by values alone, no sockets and no codec."""

import time

import click

from benchmarks.fleet.table import part, show
from oatlink.fleet.limits.coordinator import LimitCoordinator
from oatlink.fleet.limits.requester import ASK_US, MAX_DEMANDS
from oatlink.fleet.limits.shards import shard_of
from oatlink.fleet.messages import Demand, Grants, Tell, Want


@click.command()
@click.option("--nodes", default=200, show_default=True)
@click.option("--tenants", default=50, show_default=True, help="Active at every node, all of one shard.")
@click.option("--rounds", default=12, show_default=True, help="Times that each node asks; the first two do not count.")
def grants(nodes: int, tenants: int, rounds: int) -> None:
    """Each node asks four times a second for each tenant; the demand of all is twice the allowance."""
    every = [f"tenant/{at}" for at in range(100 * tenants)]
    names = [one for one in every if shard_of(one) == 0][:tenants]
    askers = [f"n{at}" for at in range(nodes)]
    home = LimitCoordinator(0, dict.fromkeys(names, (10_000.0, 1_000.0, 0.2)), askers)
    now, lease_us = 1_000_000_000, 2**60
    home.began(1, now)
    serials = dict.fromkeys(((node, name) for node in askers for name in names), 0)
    demand = 2 * 10_000.0 / nodes
    seconds, given, ask = [], 0, 0
    for turn in range(rounds):
        wants = []
        for at, node in enumerate(askers):
            rate = demand * (0.5 + (at + turn) % 3 / 2)  # no two rounds alike
            asked = [Demand(name, rate, serials[node, name]) for name in names]
            for start in range(0, tenants, MAX_DEMANDS):
                ask += 1
                wants.append((node, Want(ask, 0, tuple(asked[start : start + MAX_DEMANDS]))))
        answers = []
        began = time.process_time()
        for node, want in wants:
            now += ASK_US // len(wants)
            answers.append((node, home.want(node, want, lease_us, now)))
        took = time.process_time() - began
        for node, effects in answers:
            for one in effects:
                assert isinstance(one, Tell) and isinstance(one.message, Grants)
                for grant in one.message.grants:
                    serials[node, grant.name] = grant.serial
                    given += turn >= 2
        if turn >= 2:
            seconds.append(took)
    rates = [nodes * tenants / one for one in seconds]
    assert given == nodes * tenants * len(seconds)
    needed = nodes * tenants * 1e6 / ASK_US
    middle = part(rates, 0.5)
    show(
        ("nodes", "tenants", "grants/s of CPU", "slowest round", "fastest", "needed/s", "share of a core"),
        [
            (
                nodes,
                tenants,
                round(middle),
                round(min(rates)),
                round(max(rates)),
                round(needed),
                f"{needed / middle:.0%}",
            )
        ],
    )
