"""Read-only access of the checkers to the internals of the fleet's cores.

Every place where a checker reads more than a core's public methods is here, so that a change inside a core breaks this
file and no other.
"""

from typing import Any

from oatlink.fleet.gating import FleetGate
from oatlink.fleet.leases.holder import Holder
from oatlink.fleet.limits.node import AllowanceState
from oatlink.fleet.node import Node


def leases(node: Any) -> list[Holder]:
    """All leases that a node may hold."""
    holders = [shard.lease for shard in node._limits._shards]
    if node._layouts is not None:
        holders.append(node._layouts._lease)
    return holders


def allowance_in_use(gate: Any, name: str) -> AllowanceState | None:
    """The allowance that a gateway uses now, if any."""
    use: AllowanceState | None = gate._allowances.active.get(name)
    return use


def known_evidence(node: Any) -> dict[tuple[str, str, str], int]:
    """All evidence that a node knows: (witness, member, kind) and when it was stored."""
    if node._verdicts is None:
        return {}
    return {
        (item.evidence.witness, item.evidence.member, item.evidence.kind): item.kept_us
        for item in node._verdicts._spread._store.items()
    }


def acceptor_votes(node: Node) -> bool:
    """Whether the node's acceptor votes."""
    return node.keeper is not None and node.keeper.begun


def served_versions(gate: FleetGate) -> Any:
    """The gateway's last news of the versions that it may serve."""
    return gate._layouts.served if gate._layouts is not None else None
