"""Which shard a name belongs to, and which node is first in turn for a shard's home. Pure functions.

A shard's home is whoever holds its lease; the rank only says who should try for it, so that the homes are spread over
the nodes and few move when a node comes or goes (rendezvous hashing: Thaler and Ravishankar, 1998).
"""

from collections.abc import Iterable

import xxhash

SHARDS = 4


def shard_of(name: str) -> int:
    """The shard of an allowance; the same at every node."""
    return xxhash.xxh64_intdigest(name.encode("utf-8", "surrogateescape")) % SHARDS


def rank(node: str, shard: int, nodes: Iterable[str]) -> int:
    """How many of `nodes` come before this one at a shard: 0 is the first in turn."""
    own = _weight(node, shard)
    return sum(1 for other in nodes if _weight(other, shard) > own)


def _weight(node: str, shard: int) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(node.encode("utf-8", "surrogateescape"), seed=shard + 1), node
