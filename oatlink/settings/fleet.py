"""The settings of what gateways share; without a `fleet` part there is none of it.

Every node's file has the same `nodes`, `tenants` and `versions`; only what is the node's own differs (`node`,
`state_dir`, `key_files`, `routes`, `trust_keeper`). Floors are divided over `nodes`, so a list that differs from node
to node is a mistake that no node can see by itself: the hash of the part without its own goes into each greeting
between nodes, and one that differs is refused.
"""

from collections.abc import Iterator
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from oatlink.settings.parts import Match, Name, Part, Positive, address_fits

MOST_NODES = 4_096
LEAST_BURST = 1.0  # requests: a bucket that holds less never lets one through


class FleetNode(Part, frozen=True):
    """One gateway of the fleet; `address` is where its fleet port listens, and no other process may have it."""

    name: Name
    address: str
    keeper: bool = False


class Tenant(Part, frozen=True):
    """One quota over all gateways: `rate` requests a second, `burst` at once, `floor` of both served without a home.

    A command counts for the first tenant whose `match` takes it. One that none takes has no quota.
    """

    name: Name
    match: Match
    rate: Annotated[float, Meta(gt=0, le=1e9)]
    burst: Annotated[float, Meta(ge=1, le=1e9)]
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.2


class MemberLimits(Part, frozen=True):
    """What all gateways together may ask of each db box. `dials_per_s` 0: not limited by the fleet."""

    dials_per_s: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    dials_burst: Annotated[float, Meta(ge=1, le=1e6)] = 64.0
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.2


class Versions(Part, frozen=True):
    """Layouts over the banks. `word` stands in a client's name before the version that it wants: `app;layout=2`."""

    first: Positive = 1
    word: Annotated[str, Meta(min_length=2, max_length=32)] = ";layout="


class Fleet(Part, frozen=True):
    """What a gateway is told of its fleet. `drift`: by how much of its rate each clock may be wrong.

    `trust_keeper`: a keeper without a file votes at once, by an operator's word that nothing was ever voted here or
    that it is lost; for the first start of a fleet with one keeper. `routes`: other addresses under which this node
    reaches some of the others, by name, where its way leads elsewhere.
    """

    node: Name
    nodes: Annotated[tuple[FleetNode, ...], Meta(min_length=1, max_length=MOST_NODES)]
    key_files: Annotated[tuple[str, ...], Meta(min_length=1, max_length=8)]
    state_dir: Annotated[str, Meta(min_length=1)]
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.001
    most_bytes: Annotated[int, Meta(ge=32_768, le=1 << 20)] = 65_536
    tenants: tuple[Tenant, ...] = ()
    members: MemberLimits = MemberLimits()
    versions: Versions | None = None
    verdicts: bool = True
    routes: dict[str, str] = {}
    trust_keeper: bool = False

    @property
    def keepers(self) -> tuple[str, ...]:
        """The nodes that keep registers, in the order of the list."""
        return tuple(one.name for one in self.nodes if one.keeper)

    @property
    def own(self) -> FleetNode:
        """The line of the node itself."""
        return next(one for one in self.nodes if one.name == self.node)


def fleet_hash(fleet: Fleet) -> str:
    """A short name of what must be the same at every node."""
    same = msgspec.structs.replace(fleet, node="-", state_dir="-", key_files=("-",), routes={}, trust_keeper=False)
    return xxhash.xxh64(msgspec.json.encode(same, order="deterministic")).hexdigest()


def check_fleet(fleet: Fleet) -> Iterator[str]:
    """Each mistake that the types allow, as `path: expected ...`."""
    names: dict[str, int] = {}
    addresses: dict[str, int] = {}
    for at, one in enumerate(fleet.nodes):
        path = f"fleet.nodes[{at}]"
        if one.name in names:
            yield f"{path}.name: expected a name of its own, {one.name!r} is also fleet.nodes[{names[one.name]}]"
        names[one.name] = at
        if one.address.startswith("unix:") or not address_fits(one.address):
            yield f"{path}.address: expected host:port, got {one.address!r}"
        if one.address in addresses:
            yield f"{path}.address: expected an address of its own, it is also fleet.nodes[{addresses[one.address]}]"
        addresses[one.address] = at
    for name, address in fleet.routes.items():
        if name not in names or address.startswith("unix:") or not address_fits(address):
            yield f"fleet.routes: expected host:port by a name in fleet.nodes, got {name!r}: {address!r}"
    if fleet.node not in names:
        yield f"fleet.node: expected a name in fleet.nodes, got {fleet.node!r}"
    keepers = len(fleet.keepers)
    if keepers % 2 == 0:
        yield f"fleet.nodes: expected an odd number of keepers, got {keepers}"
    seen: set[str] = set()
    for at, tenant in enumerate(fleet.tenants):
        path = f"fleet.tenants[{at}]"
        if tenant.name in seen:
            yield f"{path}.name: expected a name of its own, got {tenant.name!r} again"
        seen.add(tenant.name)
        yield from _check_floor(path, tenant.floor, tenant.burst, len(fleet.nodes))
    if fleet.members.dials_per_s:
        yield from _check_floor("fleet.members", fleet.members.floor, fleet.members.dials_burst, len(fleet.nodes))


def _check_floor(path: str, floor: float, burst: float, nodes: int) -> Iterator[str]:
    # Threat: a floor that lets nothing through, found out on the day that the links are cut.
    part = floor * burst / nodes
    if 0 < part < LEAST_BURST:
        yield (
            f"{path}.floor: expected 0, or at least {nodes * LEAST_BURST / burst:.3g}: {floor:g} of a burst "
            f"of {burst:g} over {nodes} nodes is under one request each"
        )
