"""A schedule: what is done to a fleet and when, as plain values. No state.

What may live here: which faults there are, and how a schedule is drawn. A schedule is all that a seed decides about
faults, so one with a fault left out can be played again.
"""

from collections.abc import Mapping, Sequence
from random import Random

import msgspec


class Fault(msgspec.Struct, frozen=True, array_like=True):
    """`at_us` is true time, `us` how long it lasts; `node`, `other`, `size` as the kind has it (`fault_actions`)."""

    at_us: int
    kind: str
    node: str = ""
    other: str = ""
    us: int = 0
    size: int = 0


SPANS_US = (30_000, 200_000, 700_000, 1_500_000, 2_600_000, 4_000_000)


def draw(
    random: Random,
    kinds: Mapping[str, float],
    nodes: Sequence[str],
    things: Mapping[str, Sequence[str]],
    end_us: int,
    stretch: int = 1,
) -> tuple[Fault, ...]:
    """A schedule. `kinds`: how many a second of each; `things`: what a kind may choose `other` from."""
    found: list[Fault] = []
    for kind, rate in kinds.items():
        at = random.expovariate(rate / 1e6)
        while at < end_us:
            node = random.choice(nodes)
            other = random.choice(things.get(kind) or nodes)
            found.append(
                Fault(int(at), kind, node, other, random.choice(SPANS_US) * stretch, random.randrange(1 << 16))
            )
            at += random.expovariate(rate / 1e6)
    return tuple(sorted(found, key=lambda one: (one.at_us, one.kind, one.node)))
