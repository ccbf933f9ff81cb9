"""A database, as it sees all gateways together."""

import math

from benchmarks.scale import size as at
from benchmarks.scale.roles.platform import PULL
from benchmarks.scale.roles.shared import checks, open_share
from benchmarks.scale.row import Row
from benchmarks.scale.size import IDLE_S, Size

ROLE = "A database, as it sees all gateways"
SUBSET = "a subset of each group's members a gateway"


def _checks(size: Size) -> float:
    return at.CHECKS_SHARE * size.statements / size.databases


ROWS = (
    Row(
        ROLE,
        "steady",
        "connections",
        "",
        "N · share open",
        lambda s, k: k.line("servers", "descriptors", s.gateways * open_share(s)),
        at.DATABASE_CONNECTIONS,
        False,
        "one of nearly each gateway",
        SUBSET,
    ),
    Row(
        ROLE,
        "steady",
        "new connections, ms of its gateways' time",
        "ms/s",
        "N · r · exp(-r · 13.5 s) · time of a dial, r = S/(N·M)",
        lambda s, k: (
            s.gateways * s.pair_rate * math.exp(-s.pair_rate * IDLE_S) * k.mean("servers", "dial_and_check_us") / 1000
        ),
        None,
        True,
        "idle ones closed after 15 s",
        SUBSET,
    ),
    Row(
        ROLE,
        "steady",
        "checks, if all reads have a bound of 500 ms",
        "/s",
        "N · checks of a gateway / M",
        lambda s, k: s.gateways * checks(s, k) / s.databases,
        _checks,
        False,
        "each gateway checks by itself",
        PULL,
    ),
    Row(
        ROLE,
        "common start",
        "checks in the first 10 s, each a new connection",
        "/s",
        "N · (a + b · M) / M",
        lambda s, k: s.gateways * k.line("checks", "checks_first_10_s_per_s", s.databases) / s.databases,
        _checks,
        False,
        "the first request of a group asks all of it",
        PULL,
    ),
    Row(
        ROLE,
        "release in tenths",
        "checks in the first 10 s of a tenth",
        "/s",
        "N/10 · (a + b · M) / M",
        lambda s, k: s.gateways / 10 * k.line("checks", "checks_first_10_s_per_s", s.databases) / s.databases,
        _checks,
        False,
        "the first request of a group asks all of it",
        PULL,
    ),
    Row(
        ROLE,
        "change of primary",
        "checks at each replica of its group",
        "/s",
        "N · (a + b · M)",
        lambda s, k: s.gateways * k.line("failover", "replica_checks_per_s", s.databases),
        _checks,
        False,
        "each gateway asks the group",
        "who is primary is told once, a gateway asks only to confirm it",
    ),
    Row(
        ROLE,
        "change of primary",
        "the same, where all gateways' worst seconds fall together",
        "/s",
        "N · (a + b · M)",
        lambda s, k: s.gateways * k.line("failover", "replica_checks_worst_s", s.databases),
        _checks,
        False,
        "each gateway asks the group",
        "who is primary is told once, a gateway asks only to confirm it",
    ),
    Row(
        ROLE,
        "region back after an hour",
        "checks in the worst second, from the other regions",
        "/s",
        "N · (1 - 1/R) · (a + b · M/R) / (M/R)",
        lambda s, k: (
            s.gateways
            * (1 - 1 / s.regions)
            * k.line("cut", "back_worst_s", s.databases / s.regions)
            / (s.databases / s.regions)
        ),
        _checks,
        False,
        "each gateway tries each lost member",
        "one word for a region, spread by seed",
    ),
)
