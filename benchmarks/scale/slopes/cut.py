"""So many of 7,200 databases out of reach for a minute and back: a gateway's checks, and its Router's time."""

import random

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.site import Site
from benchmarks.scale.slopes.checks import RATE, STALENESS_US

MEMBERS = 7_200
MIX = {"any": 0.4, "bounded": 0.3, "latest": 0.1, "write": 0.2}
AWAY_S, LAST_S, BACK_S = 40, 10, 10


def _run(cut: int) -> Values:
    site = Site(MEMBERS, 3_600, RATE, MIX, STALENESS_US, seed=14)
    site.run(15)
    site.down = set(random.Random(15).sample(range(MEMBERS), cut))

    def asked() -> int:
        return sum(site.checked[one] for one in site.down)

    worst, found, took, failed = 0, 0, 0.0, 0.0
    for second in range(AWAY_S):
        was = asked()
        counts, busy = site.run(1)
        worst = max(worst, asked() - was)
        if second >= AWAY_S - LAST_S:
            found += asked() - was
            took += 1e6 * busy / counts["requests"] / LAST_S
            failed += (counts["Refuse"] + counts["Fail"]) / LAST_S
    gone, site.down = site.down, set()
    worst_back = 0
    for _ in range(BACK_S):
        was = sum(site.checked[one] for one in gone)
        site.run(1)
        worst_back = max(worst_back, sum(site.checked[one] for one in gone) - was)
    return {
        "checks_worst_s": worst,
        "checks_per_s": found / LAST_S,
        "back_worst_s": worst_back,
        "us_per_request": took,
        "unserved_per_s": failed,
    }


MEASUREMENT = Measurement(
    "cut",
    "checks of members out of reach for 40 s, one gateway, 7,200 members",
    "members cut off",
    (90, 380, 720, 1_440),
    _run,
)
