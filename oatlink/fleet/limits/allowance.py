"""An allowance as the settings state it, and how it is cut into floors and a pool. No I/O.

Figures inside the limits are whole millionths of a request (a second), so that sums are exact: each part is rounded
down, and `nodes x floor + pool` never exceeds the whole. That a floor is inside the rate is decided here and nowhere
else. What it costs: a floor that its node does not use is nobody's, so with one node of n busy the fleet serves
`1 - floor x (n - 1) / n` of the rate. Lending it would need the idle node's promise for a term, for each allowance.
"""

REQUEST_UNITS = 1_000_000
"""Millionths in one request."""


Allowance = tuple[float, float, float]
"""Requests a second and requests at once over all nodes, and the nodes' own part of both (0 to 1)."""


def floor_of(allowance: Allowance, nodes: int) -> tuple[int, int]:
    """What each of `nodes` may do without a home: (rate, burst) in millionths."""
    rate, burst, floor = allowance
    share = min(1.0, max(0.0, floor)) / max(1, nodes)
    return int(rate * share * REQUEST_UNITS), int(burst * share * REQUEST_UNITS)


def pool_of(allowance: Allowance, nodes: int) -> tuple[int, int]:
    """What a home may give out: (rate, burst) in millionths; nothing that is some node's floor."""
    rate, burst = floor_of(allowance, nodes)
    return int(allowance[0] * REQUEST_UNITS) - nodes * rate, int(allowance[1] * REQUEST_UNITS) - nodes * burst
