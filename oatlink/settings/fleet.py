"""Settings of what the gateways of a fleet share. Without a `fleet` part nothing is shared.

All nodes have the same `nodes`, `tenants` and `versions` in their files; only the settings of the node itself differ
(`node`, `state_dir`, `key_files`, `routes`, `trust_keeper`). Floors are divided by the number of `nodes`, so lists that
differ between nodes are a mistake that no node can detect alone. Therefore every handshake between nodes contains a
hash of the settings that must be the same, and a handshake with another hash is refused.

With a `control` part (docs/design/control.md) processes join and leave without a change to anybody's file: `nodes`
contains this node and, besides it, only sources. Other processes are accepted if the shared key proves their names. The
hash then covers only what must never differ, and versions cover the rest:
- the names of the sources, and which of them are acceptors (`keeper`): a majority of one list need not overlap with a
  majority of another, so two conflicting changes could both be agreed;
- the scheme by which names are proved: processes with different schemes cannot authenticate each other.
Addresses, key files, `drift`, limits, region and zone, groups and relays may differ between processes: each one
computes with its own clock and its own limits, and a source that has moved is found by the processes that have its new
address. Settings that are divided by the number of nodes (`tenants`, `members`, `versions`) are refused together with
`control`, because no file lists all nodes. Health reports (`verdicts`) are not exchanged then, because they identify
nodes by their index in the list.
"""

from collections.abc import Iterator
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from oatlink.settings.parts import Match, Name, Part, Positive, is_address

MAX_NODES = 4_096
# Maximum length of a scope name in bytes: as in `oatlink.fleet.messages.control`, which the settings do not import.
MOST_SCOPE = 64
PROOF_SCHEME = "blake2b-128 1"  # how frames and names are authenticated (`oatlink.fleet.envelope`)
LEAST_BURST = 1.0  # requests; a token bucket with a smaller capacity never admits one


class FleetNode(Part, frozen=True):
    """One gateway of the fleet. `address` is the address of its fleet port, which no other process may use.

    `keeper`: whether the node is an acceptor, which stores registers and votes on changes of them.
    """

    name: Name
    address: str
    keeper: bool = False


class Tenant(Part, frozen=True):
    """A quota over all gateways: `rate` requests per second and `burst` requests at once.

    `floor`: the part of both that is served without a limit coordinator. A command counts for the first tenant whose
    `match` accepts it; commands that match no tenant have no quota.
    """

    name: Name
    match: Match
    rate: Annotated[float, Meta(gt=0, le=1e9)]
    burst: Annotated[float, Meta(ge=1, le=1e9)]
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.2


class MemberLimits(Part, frozen=True):
    """Limits of all gateways together towards each db box. `dials_per_s` 0: no limit by the fleet."""

    dials_per_s: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    dials_burst: Annotated[float, Meta(ge=1, le=1e6)] = 64.0
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.2


class Versions(Part, frozen=True):
    """Versions of the layout of banks.

    `word` precedes the requested version in the name of a client, as in `app;layout=2`.
    """

    first: Positive = 1
    word: Annotated[str, Meta(min_length=2, max_length=32)] = ";layout="


class Control(Part, frozen=True):
    """How a process takes part in the control stream; it is a source if `sources` contains its name.

    `sources`: the dedicated machines, an odd number of them acceptors (`keeper`). `region`, `zone`, `groups`: determine
    the scopes to which this process subscribes. `relays`: how many other processes it may serve as a relay; 0: none.
    """

    sources: Annotated[tuple[FleetNode, ...], Meta(min_length=3, max_length=7)]
    region: Name
    zone: Name
    groups: Annotated[tuple[Name, ...], Meta(max_length=13)] = ()  # 16 scopes together with `all`, region and zone
    relays: Annotated[int, Meta(ge=0, le=256)] = 0


class Fleet(Part, frozen=True):
    """The fleet as a gateway is configured for it. `drift`: the largest relative error of any clock's rate.

    `trust_keeper`: an acceptor without a state file votes at once. The operator thereby states that it never voted, or
    that its votes are lost; meant for the first start of a fleet with one acceptor. `routes`: addresses, by node name,
    by which this node reaches other nodes where they differ from those in `nodes`.
    """

    node: Name
    nodes: Annotated[tuple[FleetNode, ...], Meta(min_length=1, max_length=MAX_NODES)]
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
        """All nodes that the settings name: with `control` first its sources, then the nodes that are not sources."""
        if self.control is None:
            return self.nodes
        sources = {source.name for source in self.control.sources}
        return self.control.sources + tuple(node for node in self.nodes if node.name not in sources)

    @property
    def keepers(self) -> tuple[str, ...]:
        """The names of the acceptors (nodes with `keeper`), in the order of the list."""
        return tuple(node.name for node in self.named_nodes if node.keeper)

    @property
    def own_node(self) -> FleetNode:
        """The entry of this node itself."""
        return next(node for node in self.named_nodes if node.name == self.node)


def fleet_hash(fleet: Fleet) -> str:
    """Hash the settings that must be the same at every node; see the docstring of this module."""
    if fleet.control is not None:
        sources = sorted((source.name, source.keeper) for source in fleet.control.sources)
        return xxhash.xxh64(msgspec.json.encode((PROOF_SCHEME, sources))).hexdigest()
    shared = msgspec.structs.replace(fleet, node="-", state_dir="-", key_files=("-",), routes={}, trust_keeper=False)
    encoded = msgspec.json.encode(shared, order="deterministic")
    # An absent `control` is left out of the hash, so that nodes of the version before it accept this node.
    return xxhash.xxh64(encoded.removesuffix(b',"control":null}') + b"}").hexdigest()


def check_fleet(fleet: Fleet) -> Iterator[str]:
    """Yield each mistake that the types do not exclude, as `path: expected ...`."""
    names: dict[str, int] = {}
    addresses: dict[str, int] = {}
    for index, node in enumerate(fleet.nodes):
        path = f"fleet.nodes[{index}]"
        if node.name in names:
            yield f"{path}.name: expected a name of its own, {node.name!r} is also fleet.nodes[{names[node.name]}]"
        names[node.name] = index
        if node.address.startswith("unix:") or not is_address(node.address):
            yield f"{path}.address: expected host:port, got {node.address!r}"
        if node.address in addresses:
            yield f"{path}.address: expected an address of its own, it is also fleet.nodes[{addresses[node.address]}]"
        addresses[node.address] = index
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
    tenant_names: set[str] = set()
    for index, tenant in enumerate(fleet.tenants):
        path = f"fleet.tenants[{index}]"
        if tenant.name in tenant_names:
            yield f"{path}.name: expected a name of its own, got {tenant.name!r} again"
        tenant_names.add(tenant.name)
        yield from _check_floor(path, tenant.floor, tenant.burst, len(fleet.nodes))
    if fleet.members.dials_per_s:
        yield from _check_floor("fleet.members", fleet.members.floor, fleet.members.dials_burst, len(fleet.nodes))


def _check_control(fleet: Fleet, control: Control) -> Iterator[str]:
    nodes = {node.name: node for node in fleet.nodes}
    names: set[str] = set()
    addresses = {node.address: node.name for node in fleet.nodes}
    for index, source in enumerate(control.sources):
        path = f"fleet.control.sources[{index}]"
        if source.name in names:
            yield f"{path}.name: expected a name of its own, got {source.name!r} again"
        names.add(source.name)
        if source.address.startswith("unix:") or not is_address(source.address):
            yield f"{path}.address: expected host:port, got {source.address!r}"
        if addresses.setdefault(source.address, source.name) != source.name:
            yield f"{path}.address: expected an address of its own, it is also that of {addresses[source.address]!r}"
        if nodes.get(source.name, source) != source:
            yield f"{path}: expected the same line as in fleet.nodes, got another"
    for index, node in enumerate(fleet.nodes):
        if node.keeper and node.name not in names:
            yield f"fleet.nodes[{index}].keeper: expected false, with fleet.control the keepers are among its sources"
    keepers = sum(source.keeper for source in control.sources)
    if keepers % 2 == 0:
        yield f"fleet.control.sources: expected an odd number of keepers, got {keepers}"
    # Prevents scope names that every source refuses as too long; the process would only find out when it cannot join.
    scopes = [f"names/{control.region}/{control.zone}", *(f"group/{group}" for group in control.groups)]
    longest = max(scopes, key=len)
    if len(longest) > MOST_SCOPE:
        yield f"fleet.control: expected scopes of at most {MOST_SCOPE} characters, got {longest!r}"
    if len(set(control.groups)) < len(control.groups):
        yield "fleet.control.groups: expected each name once"
    # Prevents floors that were divided by different numbers of nodes and add up to more than was allowed.
    for name, is_set in (
        ("tenants", bool(fleet.tenants)),
        ("members.dials_per_s", fleet.members.dials_per_s > 0),
        ("versions", fleet.versions is not None),
    ):
        if is_set:
            yield f"fleet.{name}: expected none with fleet.control, it needs a list of all nodes and no file has one"


def _check_floor(path: str, floor: float, burst: float, node_count: int) -> Iterator[str]:
    # Prevents a floor that admits nothing, which would show only once the nodes are disconnected from each other.
    burst_of_node = floor * burst / node_count
    if 0 < burst_of_node < LEAST_BURST:
        yield (
            f"{path}.floor: expected 0, or at least {node_count * LEAST_BURST / burst:.3g}: {floor:g} of a burst "
            f"of {burst:g} over {node_count} nodes is under one request each"
        )
