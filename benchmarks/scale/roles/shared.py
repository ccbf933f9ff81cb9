"""What several roles' formulas have in common."""

import math

from benchmarks.scale.reading import Reading
from benchmarks.scale.size import IDLE_S, Size
from benchmarks.scale.slopes.checks import stale_share


def checks(size: Size, k: Reading) -> float:
    """Checks a second of one gateway, steady, for its reads with a bound."""
    rate = size.rate * size.bounded
    return rate * k.over("checks", "checks_per_request", "stale_share", stale_share(size.databases, rate, size.group))


def check_bytes(k: Reading) -> float:
    """Bytes of one check, both ways."""
    return k.last("servers", "check_bytes_out") + k.last("servers", "check_bytes_in")


def open_share(size: Size) -> float:
    """The share of databases to which a gateway has a connection at any moment: used within the idle time."""
    return 1 - math.exp(-size.pair_rate * IDLE_S)


def list_bytes(size: Size, k: Reading) -> float:
    """Bytes of a call for the whole list, both ways."""
    return k.last("calls", "bytes_out") + k.line("calls", "bytes_in", size.databases)
