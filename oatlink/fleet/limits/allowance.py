"""An allowance as the settings state it, and its division into floors and a pool. No I/O.

A floor is the part of an allowance that a node may use without a grant. The pool is the rest, which the coordinator of
the allowance grants to the nodes. Within the limits, amounts are whole millionths of a request (or of a request per
second), so that sums are exact. Every part is rounded down: `nodes * floor + pool` never exceeds the allowance. Only
this module defines that the floors are part of the rate.

A node cannot pass its unused floor on to others: with one busy node of n, the fleet serves only
`1 - floor * (n - 1) / n` of the rate. To pass it on, the idle node would have to give it up for a term, for each
allowance.
"""

REQUEST_UNITS = 1_000_000
"""Millionths in one request."""


Allowance = tuple[float, float, float]
"""Rate (requests per second) and burst (requests) over all nodes, and the fraction of both that is floors (0 to 1)."""


def floor_of(allowance: Allowance, nodes: int) -> tuple[int, int]:
    """Return what each of `nodes` may use without a grant: (rate, burst) in millionths."""
    rate, burst, floor = allowance
    share = min(1.0, max(0.0, floor)) / max(1, nodes)
    return int(rate * share * REQUEST_UNITS), int(burst * share * REQUEST_UNITS)


def pool_of(allowance: Allowance, nodes: int) -> tuple[int, int]:
    """Return what a coordinator may grant, which is everything except the floors: (rate, burst) in millionths."""
    rate, burst = floor_of(allowance, nodes)
    return int(allowance[0] * REQUEST_UNITS) - nodes * rate, int(allowance[1] * REQUEST_UNITS) - nodes * burst
