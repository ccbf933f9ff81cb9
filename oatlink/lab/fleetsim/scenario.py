"""Which fleet is played, which faults it meets, and what must be true when they have ended. Data, and how it is read.

What may live here: the list of scenarios. A seed chooses some of a scenario's kinds of faults, so that not all happen
at once: then nothing whole is left that could be broken.
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
    """Times are microseconds but for `seconds`, the time with faults. `kinds`: how many a second, where chosen."""

    name: str
    kinds: Mapping[str, float] = {}
    nodes: int = 5
    keepers: int = 3
    drift: float = 0.02
    seconds: int = 8
    begin_us: int = 2_000_000
    settle_us: int = 9_000_000  # two terms of a lease at the largest drift, for one whose holder fell in a renewal
    spread_us: int = 300_000  # over how long the nodes start
    probe_us: int = 150_000
    tenants: int = 3
    active: int = 3
    greedy: int = 300  # requests a second of each tenant at each node, to begin with
    at: int = 0  # how many of the nodes each active tenant has clients at; 0: all
    rough: float = 0.0
    sights: bool = False
    fresh: bool = False
    versions: bool = False
    longest_us: int = 500_000
    most_kinds: int = 5
    stretch: int = 1  # how many times longer faults last: as long as the terms that they are to outlast

    def schedule(self, seed: int) -> tuple[faults.Fault, ...]:
        """What a seed has in store."""
        draw = Random(f"{seed}/{self.name}/faults")
        count = min(len(self.kinds), draw.randint(2, self.most_kinds)) if self.kinds else 0
        chosen = {kind: self.kinds[kind] for kind in sorted(draw.sample(sorted(self.kinds), count))}
        chosen |= {kind: rate for kind, rate in self.kinds.items() if kind in ALWAYS}
        names = node_names(self.nodes)
        tenants = tuple(tenant_name(at) for at in range(self.active)) or ("",)
        members = tuple(members_of(self))
        things = {"load": tenants, "shift": tenants, "ill": members, "failover": BANKS, "freeze": BANKS}
        return faults.draw(draw, chosen, names, things, self.seconds * 1_000_000, self.stretch)

    def prepare(self, world: "World") -> None:
        """Clients, as they are before the first fault."""
        for tenant in range(self.active):
            for at in range(self.at or self.nodes):
                node = world.names[(tenant * 7 + at) % self.nodes]
                world.load.set(node, tenant_name(tenant), self.greedy, "told" if tenant % 2 else "hammer")

    def settled(self, world: "World") -> None:
        """What must be true some time after the last fault."""
        for name in world.names:
            process = world.machines[name].process
            if process is None or process.node is None:
                raise Violation("settles", f"{name} does not run")
            if name in world.keepers and not views.begun(process.node):
                raise Violation("settles", f"the keeper of {name} does not vote")
        if self.probe_us and not world.judges.registers.lately(world.time.now - 1_500_000):
            raise Violation("settles", "no register has answered for 1.5 s")
        for tenant, share in world.load.lately(world.time.now).items():
            if share < 0.8:
                raise Violation("settles", f"{tenant} has {share:.2f} of its rate")
        if world.banks is not None:
            world.banks.settled()


ALWAYS = ("word",)


def node_names(count: int) -> tuple[str, ...]:
    """The nodes' names."""
    return tuple(f"n{at}" for at in range(count))


def tenant_name(at: int) -> str:
    """A tenant's name, which is its user's, too."""
    return f"t{at}"


def members_of(scenario: Scenario) -> dict[str, str]:
    """The members and their banks."""
    return {f"{bank}{at}": bank for bank in BANKS for at in range(3)}


def settings(scenario: Scenario) -> Fleet:
    """The fleet part, as the first node has it."""
    nodes = tuple(
        FleetNode(name, f"127.0.0.1:{10_000 + at}", at < scenario.keepers)
        for at, name in enumerate(node_names(scenario.nodes))
    )
    # A floor is at least one request: in a large fleet bursts are larger.
    scale = max(1.0, scenario.nodes / 5)
    tenants = tuple(
        Tenant(tenant_name(at), Match(users=(tenant_name(at),)), rate * scale, burst * scale, floor)
        for at, (rate, burst, floor) in ((at, QUOTAS[at % len(QUOTAS)]) for at in range(scenario.tenants))
    )
    versions = Versions() if scenario.versions else None
    verdicts = scenario.sights or scenario.name == "big"
    fleet = Fleet("n0", nodes, ("-",), "-", drift=scenario.drift, tenants=tenants, versions=versions, verdicts=verdicts)
    assert not list(check_fleet(fleet)), list(check_fleet(fleet))
    return fleet


PROCESS = {"crash": 0.6, "fall": 0.6, "stop": 0.8, "stall": 0.8, "leave": 0.25, "twin": 0.25}
LINKS = {"exile": 0.4, "cut": 1.0, "deaf": 0.5, "mute": 0.5, "apart": 0.3, "slow": 0.6, "noise": 0.4}
KEEPER = {"disk": 0.4, "lose": 0.5, "tear": 0.5, "blind": 1.0}
VOTES = {"crash": 1.0, "fall": 1.5, "tear": 8.0, "disk": 0.4, "lose": 0.8, "stop": 0.5, "slow": 0.5, "blind": 4.0}
LOAD = {"load": 2.0, "shift": 0.5}
SERVING = {"crash": 0.2, "stop": 0.2, "stall": 0.2, "leave": 0.05, "deaf": 0.4, "apart": 0.05, "exile": 0.1} | {
    "slow": 0.8,
    "failover": 0.1,
    "freeze": 0.1,
    "word": 0.4,
}

SCENARIOS: dict[str, Scenario] = {
    one.name: one
    for one in (
        Scenario("limits", PROCESS | LINKS | LOAD),
        Scenario("drift", PROCESS | LINKS | LOAD | {"feud": 0.8}, drift=0.1),
        Scenario(
            "registers",
            VOTES,
            active=1,
            greedy=40,
            probe_us=25_000,
            rough=0.6,
        ),
        Scenario("lives", VOTES | {"lose": 3.0}, keepers=5, active=0, probe_us=30_000, rough=0.6),
        Scenario("keepers", PROCESS | LINKS | KEEPER, active=1, greedy=40, probe_us=50_000),
        Scenario("verdicts", PROCESS | LINKS | {"ill": 2.0}, active=0, probe_us=0, sights=True),
        Scenario("gossip", {}, nodes=9, active=0, probe_us=0, sights=True, fresh=True, settle_us=0),
        Scenario(
            "versions",
            SERVING,
            active=0,
            longest_us=150_000,
            stretch=4,
            most_kinds=4,
            versions=True,
            seconds=40,
            settle_us=60_000_000,
        ),
        Scenario(
            "all",
            PROCESS | LINKS | KEEPER | LOAD | {"ill": 1.0, "failover": 0.2, "freeze": 0.2, "word": 0.3},
            sights=True,
            versions=True,
            seconds=12,
            settle_us=40_000_000,
            active=2,
            greedy=100,
            most_kinds=8,
        ),
        Scenario(
            "big",
            {},
            nodes=240,
            keepers=5,
            drift=0.001,
            seconds=10,
            settle_us=0,
            spread_us=2_000_000,
            probe_us=300_000,
            tenants=2_000,
            active=200,
            at=24,
            greedy=100,
        ),
    )
}


def scenario_of(name: str, nodes: int = 0, seconds: int = 0, settles: bool = True) -> Scenario:
    """A scenario by its name, of another size where one is given, or without the time after the faults."""
    one = SCENARIOS[name]
    settle_us = one.settle_us if settles else 0
    return replace(one, nodes=nodes or one.nodes, seconds=seconds or one.seconds, settle_us=settle_us)
