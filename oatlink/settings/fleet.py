"""The settings of what gateways share; without a `fleet` part there is none of it.

Every node's file has the same `nodes`, `tenants` and `versions`; only what is the node's own differs (`node`,
`state_dir`, `key_files`, `routes`, `trust_keeper`). Floors are divided over `nodes`, so a list that differs from node
to node is a mistake that no node can see by itself: the hash of the part without its own goes into each greeting
between nodes, and one that differs is refused.

With a `control` part (docs/design/control.md) processes come and go without a change of anybody's file: `nodes` names
this node and at most the sources besides, and others are heard if the key has proved their names. The hash is then of
what must never differ, and versions say the rest:
- the sources' names and which of them are keepers: a majority of one list need not meet a majority of another, so two
  changes could both be agreed;
- how names are proved: whoever proves them otherwise is not understood at all.
Addresses, key files, `drift`, bounds, places, groups and relays are each process's own: each reckons by its own clock
and its own bound, and a source that has moved is found by whoever has its new address. What divides by the number of
nodes (`tenants`, `members`, `versions`) is refused beside `control`, as no file names them all; verdicts, whose words
name nodes by their place in the list, are not spread.
"""

from collections.abc import Iterator
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from oatlink.settings.parts import Match, Name, Part, Positive, is_address

MOST_NODES = 4_096
MOST_SCOPE = 64  # bytes of a scope's name (`fleet.messages.control`, which settings do not import)
SCHEME = "blake2b-128 1"  # how frames and names are proved (`oatlink.fleet.envelope`)
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


class Control(Part, frozen=True):
    """A process's place in the stream of control; with it the process is a source, where it is named as one.

    `sources`: the machines set aside, an odd number of them keepers. `region`, `zone`, `groups`: whose scopes this
    process takes. `relays`: how many others it may serve; 0: none.
    """

    sources: Annotated[tuple[FleetNode, ...], Meta(min_length=3, max_length=7)]
    region: Name
    zone: Name
    groups: Annotated[tuple[Name, ...], Meta(max_length=13)] = ()  # with `all`, region and zone 16 scopes
    relays: Annotated[int, Meta(ge=0, le=256)] = 0


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
    control: Control | None = None

    @property
    def named_nodes(self) -> tuple[FleetNode, ...]:
        """All nodes that the settings name: with `control` its sources, then those of `nodes` that are none."""
        if self.control is None:
            return self.nodes
        sources = {one.name for one in self.control.sources}
        return self.control.sources + tuple(one for one in self.nodes if one.name not in sources)

    @property
    def keepers(self) -> tuple[str, ...]:
        """The nodes that keep registers, in the order of the list."""
        return tuple(one.name for one in self.named_nodes if one.keeper)

    @property
    def own_node(self) -> FleetNode:
        """The line of the node itself."""
        return next(one for one in self.named_nodes if one.name == self.node)


def fleet_hash(fleet: Fleet) -> str:
    """A short name of what must be the same at every node; see the head of this file."""
    if fleet.control is not None:
        sources = sorted((one.name, one.keeper) for one in fleet.control.sources)
        return xxhash.xxh64(msgspec.json.encode((SCHEME, sources))).hexdigest()
    same = msgspec.structs.replace(fleet, node="-", state_dir="-", key_files=("-",), routes={}, trust_keeper=False)
    encoded = msgspec.json.encode(same, order="deterministic")
    # Without the part there is nothing of it in the hash: a node of the version before understands this one.
    return xxhash.xxh64(encoded.removesuffix(b',"control":null}') + b"}").hexdigest()


def check_fleet(fleet: Fleet) -> Iterator[str]:
    """Each mistake that the types allow, as `path: expected ...`."""
    names: dict[str, int] = {}
    addresses: dict[str, int] = {}
    for at, one in enumerate(fleet.nodes):
        path = f"fleet.nodes[{at}]"
        if one.name in names:
            yield f"{path}.name: expected a name of its own, {one.name!r} is also fleet.nodes[{names[one.name]}]"
        names[one.name] = at
        if one.address.startswith("unix:") or not is_address(one.address):
            yield f"{path}.address: expected host:port, got {one.address!r}"
        if one.address in addresses:
            yield f"{path}.address: expected an address of its own, it is also fleet.nodes[{addresses[one.address]}]"
        addresses[one.address] = at
    for name, address in fleet.routes.items():
        if (name not in names and fleet.control is None) or address.startswith("unix:") or not is_address(address):
            yield f"fleet.routes: expected host:port by a name in fleet.nodes, got {name!r}: {address!r}"
    if fleet.node not in names:
        yield f"fleet.node: expected a name in fleet.nodes, got {fleet.node!r}"
    if fleet.control is not None:
        yield from _check_control(fleet, fleet.control)
        return
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


def _check_control(fleet: Fleet, control: Control) -> Iterator[str]:
    own = {one.name: one for one in fleet.nodes}
    names: set[str] = set()
    addresses = {one.address: one.name for one in fleet.nodes}
    for at, one in enumerate(control.sources):
        path = f"fleet.control.sources[{at}]"
        if one.name in names:
            yield f"{path}.name: expected a name of its own, got {one.name!r} again"
        names.add(one.name)
        if one.address.startswith("unix:") or not is_address(one.address):
            yield f"{path}.address: expected host:port, got {one.address!r}"
        if addresses.setdefault(one.address, one.name) != one.name:
            yield f"{path}.address: expected an address of its own, it is also that of {addresses[one.address]!r}"
        if own.get(one.name, one) != one:
            yield f"{path}: expected the same line as in fleet.nodes, got another"
    for at, one in enumerate(fleet.nodes):
        if one.keeper and one.name not in names:
            yield f"fleet.nodes[{at}].keeper: expected false, with fleet.control the keepers are among its sources"
    keepers = sum(one.keeper for one in control.sources)
    if keepers % 2 == 0:
        yield f"fleet.control.sources: expected an odd number of keepers, got {keepers}"
    # Threat: a place whose scopes no source takes for one, found out when the process gets no seat.
    scopes = [f"names/{control.region}/{control.zone}", *(f"group/{one}" for one in control.groups)]
    longest = max(scopes, key=len)
    if len(longest) > MOST_SCOPE:
        yield f"fleet.control: expected scopes of at most {MOST_SCOPE} characters, got {longest!r}"
    if len(set(control.groups)) < len(control.groups):
        yield "fleet.control.groups: expected each name once"
    # Threat: floors that are each cut out for another number of nodes add up to more than was allowed.
    for name, is_there in (
        ("tenants", bool(fleet.tenants)),
        ("members.dials_per_s", fleet.members.dials_per_s > 0),
        ("versions", fleet.versions is not None),
    ):
        if is_there:
            yield f"fleet.{name}: expected none with fleet.control, it needs a list of all nodes and no file has one"


def _check_floor(path: str, floor: float, burst: float, nodes: int) -> Iterator[str]:
    # Threat: a floor that lets nothing through, found out on the day that the links are cut.
    part = floor * burst / nodes
    if 0 < part < LEAST_BURST:
        yield (
            f"{path}.floor: expected 0, or at least {nodes * LEAST_BURST / burst:.3g}: {floor:g} of a burst "
            f"of {burst:g} over {nodes} nodes is under one request each"
        )
