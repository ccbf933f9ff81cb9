"""Division of a pool among the nodes that ask for a part of it. Pure functions on whole numbers.

- Rates are divided by max-min fairness: no node gets more than it asks for while another gets less than both what it
  asks for and what the first node has. What is left when all demands are met is granted too, in proportion, so that a
  rising demand is not limited by its own earlier figure.
- Bursts: one request for each node, the rest in proportion to the rates. A bucket that cannot hold one request never
  admits one. Where the burst is too small for all nodes, they take turns: each of n nodes has its turn at least once in
  ceil(n / seats) consecutive turns.

Each part is rounded down, so that the sum never exceeds what was divided.
"""

from collections.abc import Mapping, Sequence

from oatlink.fleet.limits.allowance import REQUEST_UNITS


def divide(rate: int, demands: Sequence[tuple[str, int]]) -> dict[str, int]:
    """Return each node's part of `rate` by its demand; all in the same unit, each node once."""
    parts: dict[str, int] = {}
    left, waiting, total = max(0, rate), len(demands), 0
    for node, demand in sorted(demands, key=_by_demand):
        part = min(max(0, demand), left // waiting)
        parts[node] = part
        left -= part
        waiting -= 1
        total += part
    if left > 0 and parts:
        count = len(parts)
        for node, part in parts.items():
            parts[node] = part + (left * part // total if total else left // count)
    return parts


def _by_demand(entry: tuple[str, int]) -> tuple[int, str]:
    return entry[1], entry[0]


def divide_burst(burst: int, rates: Mapping[str, int]) -> dict[str, int]:
    """Return each node's part of `burst` (millionths), at least one request each; `rates` has at most `seat_count`."""
    total = sum(rates.values())
    spare = max(0, burst - len(rates) * REQUEST_UNITS)
    if not total:
        return {node: REQUEST_UNITS + spare // len(rates) for node in rates}
    return {node: REQUEST_UNITS + spare * rate // total for node, rate in rates.items()}


def seat_count(burst: int) -> int:
    """Return how many nodes can have a grant of at least one request at the same time."""
    return max(0, burst // REQUEST_UNITS)


def nodes_in_turn(nodes: Sequence[str], count: int, turn: int) -> list[str]:
    """Return the `count` nodes whose turn it is, or all nodes if there are not more."""
    if len(nodes) <= count:
        return list(nodes)
    start = turn * count % len(nodes)
    return [nodes[(start + step) % len(nodes)] for step in range(count)]
