"""How a pool is divided over those who ask. Pure functions on whole numbers.

- Rates by max-min: nobody gets more than it asks while another gets less than both it asks and the first one has.
  What is left when all are content is given out too, in proportion: a demand that rises is not cut by its own old
  figure.
- Bursts: one request to each, the rest in proportion to the rates. A bucket that cannot hold one request never lets
  one through, so where there are not enough for all, only some have a seat, in turns: each of n is seated at least
  once in ceil(n / seats) turns that follow one another.

Each part is rounded down, so a sum never exceeds what was divided.
"""

from collections.abc import Mapping, Sequence

from oatlink.fleet.limits.allowance import REQUEST_UNITS


def divide(rate: int, demands: Sequence[tuple[str, int]]) -> dict[str, int]:
    """Each node's part of `rate` by what it asks; all in the same unit, names each once."""
    given: dict[str, int] = {}
    left, waiting, total = max(0, rate), len(demands), 0
    for node, demand in sorted(demands, key=_by_demand):
        part = min(max(0, demand), left // waiting)
        given[node] = part
        left -= part
        waiting -= 1
        total += part
    if left > 0 and given:
        count = len(given)
        for node, part in given.items():
            given[node] = part + (left * part // total if total else left // count)
    return given


def _by_demand(one: tuple[str, int]) -> tuple[int, str]:
    return one[1], one[0]


def bursts(burst: int, rates: Mapping[str, int]) -> dict[str, int]:
    """Each node's part of `burst` (millionths); at least one request each, so there must be `seats` for all."""
    total = sum(rates.values())
    spare = max(0, burst - len(rates) * REQUEST_UNITS)
    if not total:
        return {node: REQUEST_UNITS + spare // len(rates) for node in rates}
    return {node: REQUEST_UNITS + spare * rate // total for node, rate in rates.items()}


def seats(burst: int) -> int:
    """How many nodes can have a grant of at least one request at once."""
    return max(0, burst // REQUEST_UNITS)


def seated(nodes: Sequence[str], count: int, turn: int) -> list[str]:
    """Whose turn it is: `count` of the nodes, all where there are seats for all."""
    if len(nodes) <= count:
        return list(nodes)
    start = turn * count % len(nodes)
    return [nodes[(start + step) % len(nodes)] for step in range(count)]
