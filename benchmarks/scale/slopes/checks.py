"""A Router's checks under reads with a bound on staleness of 500 ms, and its processor time a request."""

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.site import GROUP, Site

RATE = 6_600_000 / 3_600  # statements a second at one gateway
STALENESS_US = 500_000


def _run(members: int) -> Values:
    site = Site(members, members // 2, RATE, "bounded", STALENESS_US, seed=11)
    first, _ = site.run(10)
    site.run(10)
    steady, took = site.run(20)
    return {
        "checks_first_10_s_per_s": first["Check"] / 10,
        "checks_per_s": steady["Check"] / 20,
        "unserved_per_s": (steady["Refuse"] + steady["Fail"]) / 20,
        "us_per_request": 1e6 * took / steady["requests"],
        "group_gap_ms": 1000 * members / GROUP / RATE,
    }


MEASUREMENT = Measurement(
    "checks",
    "checks a second of one Router, 1,833 bounded reads a second (500 ms) over groups of 12, peers = members / 2",
    "members",
    (600, 1_200, 2_400, 3_600, 4_800, 7_200),
    _run,
)
