"""What nobody in a fleet can see: the insides of its cores, as the checkers look at them. Only reads.

What may live here: each place where a checker looks past a core's methods, so that a core that changes inside breaks
this file and no other.
"""

from typing import Any

from oatlink.fleet.gating import FleetGate
from oatlink.fleet.leases.holder import Holder
from oatlink.fleet.limits.node import Use
from oatlink.fleet.node import Node


def leases(node: Any) -> list[Holder]:
    """All leases that a node may hold."""
    found = [one.lease for one in node._limits._shards]
    if node._layouts is not None:
        found.append(node._layouts._lease)
    return found


def use(gate: Any, name: str) -> Use | None:
    """An allowance in use at a gateway."""
    found: Use | None = gate._allowances.active.get(name)
    return found


def words(node: Any) -> dict[tuple[str, str, str], int]:
    """(witness, member, kind): when it was kept, of all evidence that a node knows."""
    if node._verdicts is None:
        return {}
    return {
        (one.evidence.witness, one.evidence.member, one.evidence.kind): one.kept_us
        for one in node._verdicts._spread._store.items()
    }


def begun(node: Node) -> bool:
    """Whether its keeper votes."""
    return node.keeper is not None and node.keeper.begun


def served(gate: FleetGate) -> Any:
    """What a gateway last heard of versions."""
    return gate._layouts.served if gate._layouts is not None else None
