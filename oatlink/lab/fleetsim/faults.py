"""Schedules of faults as plain values: which faults there are and how a schedule is drawn.

A schedule holds every decision about faults that a seed makes, so a schedule can be run again with a fault left out.
"""

from collections.abc import Mapping, Sequence
from random import Random

import msgspec


class Fault(msgspec.Struct, frozen=True, array_like=True):
    """One fault. `at_us` is true time and `us` its duration; each kind interprets `node`, `other` and `size` itself.

    The module `fault_actions` has the kinds.
    """

    at_us: int
    kind: str
    node: str = ""
    other: str = ""
    us: int = 0
    size: int = 0


DURATIONS_US = (30_000, 200_000, 700_000, 1_500_000, 2_600_000, 4_000_000)


def draw(
    random: Random,
    rates: Mapping[str, float],
    nodes: Sequence[str],
    targets: Mapping[str, Sequence[str]],
    end_us: int,
    duration_factor: int = 1,
) -> tuple[Fault, ...]:
    """Draw a schedule.

    `rates` has the faults per second of each kind. `targets` has what a kind chooses `other` from; kinds that are not
    in it choose a node.
    """
    faults: list[Fault] = []
    for kind, rate in rates.items():
        at_us = random.expovariate(rate / 1e6)
        while at_us < end_us:
            node = random.choice(nodes)
            other = random.choice(targets.get(kind) or nodes)
            duration_us = random.choice(DURATIONS_US) * duration_factor
            faults.append(Fault(int(at_us), kind, node, other, duration_us, random.randrange(1 << 16)))
            at_us += random.expovariate(rate / 1e6)
    return tuple(sorted(faults, key=lambda fault: (fault.at_us, fault.kind, fault.node)))
