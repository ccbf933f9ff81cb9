"""Which shard an allowance belongs to, and in which order the nodes become coordinator of a shard. Pure functions.

The coordinator of a shard is the node that holds its lease. The rank only decides which node tries first, so that the
coordinators are spread over the nodes and few of them move when a node comes or goes (rendezvous hashing: Thaler and
Ravishankar, 1998).
"""

from collections.abc import Iterable

import xxhash

SHARDS = 4


def shard_of(name: str) -> int:
    """Return the shard of an allowance, which is the same at every node."""
    return xxhash.xxh64_intdigest(name.encode("utf-8", "surrogateescape")) % SHARDS


def rank(node: str, shard: int, nodes: Iterable[str]) -> int:
    """Return how many of `nodes` precede this one at a shard; 0 is the first to try."""
    own = _weight(node, shard)
    return sum(1 for other in nodes if _weight(other, shard) > own)


def _weight(node: str, shard: int) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(node.encode("utf-8", "surrogateescape"), seed=shard + 1), node
