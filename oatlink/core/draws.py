"""Chance by a seed and a count, so that a snapshot keeps it and a replay draws the same. No I/O."""

import xxhash


def drawn(count: int, seed: int) -> float:
    """The draw of that number, from 0 up to 1."""
    return xxhash.xxh32_intdigest(count.to_bytes(8, "big"), seed) / 2**32
