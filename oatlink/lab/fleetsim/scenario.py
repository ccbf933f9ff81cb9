"""The scenarios: which fleet runs, which faults it meets, and what must be true some time after the faults.

A seed chooses only some of a scenario's kinds of faults. If all of them happened at once, too little of the fleet would
work for an invariant to break.
"""

from collections.abc import Mapping
from random import Random
from typing import TYPE_CHECKING

from msgspec import Struct
from msgspec.structs import replace

from oatlink.lab.fleetsim import faults, views
from oatlink.lab.fleetsim.violation import Violation
from oatlink.settings.fleet import Fleet, FleetNode, Tenant, Versions, check_fleet
from oatlink.settings.parts import Match

if TYPE_CHECKING:
    from oatlink.lab.fleetsim.world import World

BANKS = ("a", "b")
QUOTAS = ((200.0, 30.0, 0.2), (120.0, 24.0, 0.25), (80.0, 20.0, 0.0))  # rate, burst, floor


class Scenario(Struct, frozen=True):
    """A fleet, its clients and its faults.

    `seconds` is how long faults happen. `fault_rates` has the faults per second of each kind that a seed may choose.
    """

    name: str
    fault_rates: Mapping[str, float] = {}
    nodes: int = 5
    acceptor_count: int = 3
    drift: float = 0.02
    seconds: int = 8
    faults_begin_us: int = 2_000_000
    # Two lease terms at the largest drift: a holder may crash during a renewal.
    settle_us: int = 9_000_000
    start_spread_us: int = 300_000  # the nodes start at random times within it
    probe_us: int = 150_000
    tenant_count: int = 3
    active_tenant_count: int = 3  # tenants that have clients
    request_rate: int = 300  # requests a second of each active tenant at each node, before the first fault
    nodes_per_tenant: int = 0  # nodes at which each active tenant has clients; 0 for all
    jittered_fraction: float = 0.0  # see `Links`
    has_observations: bool = False
    is_measuring_spread: bool = False  # see `Observations`
    has_versions: bool = False
    max_request_us: int = 500_000
    max_fault_kinds: int = 5
    duration_factor: int = 1  # makes faults last longer, so that they outlast the terms of leases

    def schedule(self, seed: int) -> tuple[faults.Fault, ...]:
        """Draw the schedule of faults of a seed."""
        draw = Random(f"{seed}/{self.name}/faults")
        rates = self.fault_rates
        count = min(len(rates), draw.randint(2, self.max_fault_kinds)) if rates else 0
        chosen = {kind: rates[kind] for kind in sorted(draw.sample(sorted(rates), count))}
        chosen |= {kind: rate for kind, rate in rates.items() if kind in ALWAYS_CHOSEN}
        names = node_names(self.nodes)
        tenants = tuple(tenant_name(index) for index in range(self.active_tenant_count)) or ("",)
        members = tuple(members_of(self))
        targets = {"load": tenants, "shift": tenants, "ill": members, "failover": BANKS, "freeze": BANKS}
        return faults.draw(draw, chosen, names, targets, self.seconds * 1_000_000, self.duration_factor)

    def prepare(self, world: "World") -> None:
        """Set up the clients as they are before the first fault."""
        for tenant in range(self.active_tenant_count):
            for index in range(self.nodes_per_tenant or self.nodes):
                node = world.names[(tenant * 7 + index) % self.nodes]
                mode = "wait" if tenant % 2 else "retry_at_once"
                world.load.set(node, tenant_name(tenant), self.request_rate, mode)

    def check_settled(self, world: "World") -> None:
        """Check what must be true some time after the last fault."""
        for name in world.names:
            process = world.machines[name].process
            if process is None or process.node is None:
                raise Violation("settles", f"{name} is not running")
            if name in world.acceptors and not views.acceptor_votes(process.node):
                raise Violation("settles", f"the acceptor of {name} does not vote")
        if self.probe_us and not world.checkers.registers.has_answered_since(world.time.now - 1_500_000):
            raise Violation("settles", "no register has answered for 1.5 s")
        for tenant, share in world.load.served_shares(world.time.now).items():
            if share < 0.8:
                raise Violation("settles", f"{tenant} is served {share:.2f} of its rate")
        if world.banks is not None:
            world.banks.check_settled()


ALWAYS_CHOSEN = ("word",)  # kinds that happen with every seed if the scenario has them


def node_names(count: int) -> tuple[str, ...]:
    """The names of the nodes."""
    return tuple(f"n{index}" for index in range(count))


def tenant_name(index: int) -> str:
    """The name of a tenant, which is also the name of its user."""
    return f"t{index}"


def members_of(scenario: Scenario) -> dict[str, str]:
    """The bank of each member."""
    return {f"{bank}{index}": bank for bank in BANKS for index in range(3)}


def settings(scenario: Scenario) -> Fleet:
    """The fleet settings of the first node."""
    nodes = tuple(
        FleetNode(name, f"127.0.0.1:{10_000 + index}", index < scenario.acceptor_count)
        for index, name in enumerate(node_names(scenario.nodes))
    )
    # Each node has a floor of at least one request, so a large fleet needs larger bursts.
    scale = max(1.0, scenario.nodes / 5)
    tenants = tuple(
        Tenant(tenant_name(index), Match(users=(tenant_name(index),)), rate * scale, burst * scale, floor)
        for index, (rate, burst, floor) in (
            (index, QUOTAS[index % len(QUOTAS)]) for index in range(scenario.tenant_count)
        )
    )
    versions = Versions() if scenario.has_versions else None
    verdicts = scenario.has_observations or scenario.name == "big"
    fleet = Fleet("n0", nodes, ("-",), "-", drift=scenario.drift, tenants=tenants, versions=versions, verdicts=verdicts)
    assert not list(check_fleet(fleet)), list(check_fleet(fleet))
    return fleet


PROCESS_FAULTS = {"crash": 0.6, "fall": 0.6, "stop": 0.8, "stall": 0.8, "leave": 0.25, "twin": 0.25}
LINK_FAULTS = {"exile": 0.4, "cut": 1.0, "deaf": 0.5, "mute": 0.5, "apart": 0.3, "slow": 0.6, "noise": 0.4}
ACCEPTOR_FAULTS = {"disk": 0.4, "lose": 0.5, "tear": 0.5, "blind": 1.0}
VOTE_FAULTS = {"crash": 1.0, "fall": 1.5, "tear": 8.0, "disk": 0.4, "lose": 0.8, "stop": 0.5, "slow": 0.5, "blind": 4.0}
LOAD_FAULTS = {"load": 2.0, "shift": 0.5}
VERSION_FAULTS = {"crash": 0.2, "stop": 0.2, "stall": 0.2, "leave": 0.05, "deaf": 0.4, "apart": 0.05, "exile": 0.1} | {
    "slow": 0.8,
    "failover": 0.1,
    "freeze": 0.1,
    "word": 0.4,
}

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario("limits", PROCESS_FAULTS | LINK_FAULTS | LOAD_FAULTS),
        Scenario("drift", PROCESS_FAULTS | LINK_FAULTS | LOAD_FAULTS | {"feud": 0.8}, drift=0.1),
        Scenario(
            "registers", VOTE_FAULTS, active_tenant_count=1, request_rate=40, probe_us=25_000, jittered_fraction=0.6
        ),
        Scenario(
            "lives",
            VOTE_FAULTS | {"lose": 3.0},
            acceptor_count=5,
            active_tenant_count=0,
            probe_us=30_000,
            jittered_fraction=0.6,
        ),
        Scenario(
            "keepers",
            PROCESS_FAULTS | LINK_FAULTS | ACCEPTOR_FAULTS,
            active_tenant_count=1,
            request_rate=40,
            probe_us=50_000,
        ),
        Scenario(
            "verdicts",
            PROCESS_FAULTS | LINK_FAULTS | {"ill": 2.0},
            active_tenant_count=0,
            probe_us=0,
            has_observations=True,
        ),
        Scenario(
            "gossip",
            {},
            nodes=9,
            active_tenant_count=0,
            probe_us=0,
            has_observations=True,
            is_measuring_spread=True,
            settle_us=0,
        ),
        Scenario(
            "versions",
            VERSION_FAULTS,
            active_tenant_count=0,
            max_request_us=150_000,
            duration_factor=4,
            max_fault_kinds=4,
            has_versions=True,
            seconds=40,
            settle_us=60_000_000,
        ),
        Scenario(
            "all",
            PROCESS_FAULTS
            | LINK_FAULTS
            | ACCEPTOR_FAULTS
            | LOAD_FAULTS
            | {"ill": 1.0, "failover": 0.2, "freeze": 0.2, "word": 0.3},
            has_observations=True,
            has_versions=True,
            seconds=12,
            settle_us=40_000_000,
            active_tenant_count=2,
            request_rate=100,
            max_fault_kinds=8,
        ),
        Scenario(
            "big",
            {},
            nodes=240,
            acceptor_count=5,
            drift=0.001,
            seconds=10,
            settle_us=0,
            start_spread_us=2_000_000,
            probe_us=300_000,
            tenant_count=2_000,
            active_tenant_count=200,
            nodes_per_tenant=24,
            request_rate=100,
        ),
    )
}


def scenario_of(name: str, nodes: int = 0, seconds: int = 0, settles: bool = True) -> Scenario:
    """A scenario by its name; `nodes` and `seconds` replace its own values unless they are 0."""
    scenario = SCENARIOS[name]
    settle_us = scenario.settle_us if settles else 0
    return replace(scenario, nodes=nodes or scenario.nodes, seconds=seconds or scenario.seconds, settle_us=settle_us)
