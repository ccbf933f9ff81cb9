"""Pseudo-random numbers computed from a seed and a counter, so that snapshots and replays reproduce them. No I/O."""

import xxhash


def seeded_fraction(count: int, seed: int) -> float:
    """The draw with the number `count`, at least 0 and below 1."""
    return xxhash.xxh32_intdigest(count.to_bytes(8, "big"), seed) / 2**32
