"""A Router's processor time a request while one member of each group has just started, against none that has."""

from dataclasses import replace

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.site import GROUP, Site, entries
from benchmarks.scale.slopes.checks import RATE
from oatlink import interface as api

WARM_US = 60_000_000


def _took(members: int, cold: bool) -> float:
    site = Site(members, members // 2, RATE, {"any": 1}, 500_000, seed=12, warm_after_us=WARM_US)
    site.run(6)
    if cold:
        again = tuple(replace(one, started_us=site.now) for one in entries(members)[GROUP - 1 :: GROUP])
        site.tell(api.Roster(api.RosterKind.CHANGES, again))
    found, took = site.run(2)
    return 1e6 * took / found["requests"]


def _run(members: int) -> Values:
    warm, cold = _took(members, False), _took(members, True)
    return {"warm_us_per_request": warm, "cold_us_per_request": cold, "more_us_per_request": cold - warm}


MEASUREMENT = Measurement(
    "cold",
    "a request while a twelfth of all members have just started, 1,833 a second that may be old",
    "members",
    (600, 1_200, 2_400, 4_800, 7_200),
    _run,
)
