"""A group without a primary for twelve seconds: its checks, as one gateway asks them and one database sees them all."""

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.site import GROUP, Site
from benchmarks.scale.slopes.checks import RATE, STALENESS_US

MIX = {"any": 0.4, "bounded": 0.3, "latest": 0.1, "write": 0.2}
AWAY_S = 12


def _run(members: int) -> Values:
    site = Site(members, members // 2, RATE, MIX, STALENESS_US, seed=13)
    site.run(25)
    before = sum(site.checked[at] for at in range(GROUP))
    site.run(10)
    quiet = (sum(site.checked[at] for at in range(GROUP)) - before) / 10
    site.down.add(0)
    a_second, others = [], []
    for _ in range(AWAY_S):
        was, was_other = sum(site.checked[at] for at in range(GROUP)), site.checked[1]
        site.run(1)
        a_second.append(sum(site.checked[at] for at in range(GROUP)) - was)
        others.append(site.checked[1] - was_other)
    site.primaries[0] = 1
    known = 0
    assert site.router.state.groups[0].primary is None
    while site.router.state.groups[0].primary != 1 and known < 150:
        site.run(0.1)
        known += 1
    return {
        "group_checks_quiet_per_s": quiet,
        "group_checks_per_s": sum(a_second) / AWAY_S,
        "replica_checks_per_s": sum(others) / AWAY_S,
        "replica_checks_worst_s": max(others),
        "known_after_s": known / 10,
    }


MEASUREMENT = Measurement(
    "failover",
    "one gateway's checks of a group without a primary for 12 s; 0.4 any, 0.3 bounded, 0.1 latest, 0.2 writes",
    "members",
    (600, 1_200, 2_400, 4_800, 7_200),
    _run,
)
