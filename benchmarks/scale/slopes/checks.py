"""A Router's checks under reads with a bound on staleness of 500 ms, and its processor time a request."""

import math

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.site import GROUP, LAG_US, Site

RATE = 6_600_000 / 3_600  # statements a second at one gateway
STALENESS_US = 500_000


def stale_share(members: float, rate: float, group: float = GROUP) -> float:
    """The share of reads that find nothing known of their group that is fresh enough: none came within the bound."""
    return math.exp(-(STALENESS_US - LAG_US) / 1e6 * rate * group / members)


def _run(members: int) -> Values:
    site = Site(members, members // 2, RATE, {"bounded": 1}, STALENESS_US, seed=11)
    first, _ = site.run(10)
    site.run(10)
    steady, took = site.run(20)
    return {
        "checks_first_10_s_per_s": first["Check"] / 10,
        "checks_per_s": steady["Check"] / 20,
        "unserved_per_s": (steady["Refuse"] + steady["Fail"]) / 20,
        "us_per_request": 1e6 * took / steady["requests"],
        "checks_per_request": steady["Check"] / steady["requests"],
        "stale_share": stale_share(members, RATE),
    }


MEASUREMENT = Measurement(
    "checks",
    "checks a second of one Router, 1,833 bounded reads a second (500 ms) over groups of 12, peers = members / 2",
    "members",
    (600, 1_200, 2_400, 3_600, 4_800, 7_200),
    _run,
)
