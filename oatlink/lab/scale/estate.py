"""Hollow databases: what they are at a moment, from a seed and a plan, without state of their own.

A database's answers follow from the time alone, so gateways that are played apart see the same ones, and a fleet may
be played by some of its gateways. What it takes to answer does not grow with load: 917 statements a second are what
each is there for, and what comes on top is counted, not felt.
"""

from dataclasses import dataclass, field
from random import Random

from oatlink import interface as api
from oatlink.lab.scale.size import GROUP, Size, database_zone, region_of

WAY_US, FAR_US = 600, 30_000  # there and back, in the region and to another one
LEAST_LAG_US, MOST_LAG_US = 5_000, 60_000
DIAL_US = 250_000  # a dial that nobody answers is given up, as the platform's settings have it


@dataclass
class Plan:
    """What befalls the estate: times are simulated microseconds, from and until."""

    zones_lost: dict[int, tuple[int, int]] = field(default_factory=dict)
    regions_cut: dict[int, tuple[int, int]] = field(default_factory=dict)
    primaries: dict[int, tuple[int, int]] = field(default_factory=dict)  # group: when lost, when there is another


class Estate:
    """All databases."""

    def __init__(self, size: Size, seed: int, plan: Plan) -> None:
        self.size, self.plan = size, plan
        draw = Random(f"{seed}/estate")
        self.zones = [database_zone(at) for at in range(size.databases)]
        self._lag_us = [draw.randint(LEAST_LAG_US, MOST_LAG_US) for _ in range(size.databases)]
        self._work_us = [draw.randint(1_000, 3_000) for _ in range(size.databases)]

    def primary(self, group: int, now_us: int) -> int | None:
        """The primary of a group, None while there is none."""
        lost_us, found_us = self.plan.primaries.get(group, (1 << 62, 1 << 62))
        if now_us < lost_us:
            return group * GROUP
        return None if now_us < found_us else group * GROUP + 1

    def reached(self, zone: int, database: int, now_us: int) -> bool:
        """Whether something sent from a zone to a database arrives now."""
        there = self.zones[database]
        since, until = self.plan.zones_lost.get(there, (0, 0))
        if since <= now_us < until:
            return False
        here, far = region_of(zone), region_of(there)
        if here == far:
            return True
        cuts = [self.plan.regions_cut.get(one, (0, 0)) for one in (here, far)]
        return not any(since <= now_us < until for since, until in cuts)

    def way_us(self, zone: int, database: int) -> int:
        """There and back."""
        return WAY_US if region_of(zone) == region_of(self.zones[database]) else FAR_US

    def work_us(self, database: int, draw: Random) -> int:
        """How long it takes for one statement."""
        return round(self._work_us[database] * (0.5 + draw.random()))

    def report(self, database: int, now_us: int) -> api.Report:
        """What it says of itself."""
        primary = self.primary(database // GROUP, now_us)
        if database == primary:
            return api.Report(now_us, api.Role.PRIMARY)
        lost_us, found_us = self.plan.primaries.get(database // GROUP, (1 << 62, 1 << 62))
        last_us = lost_us if lost_us <= now_us < found_us else now_us  # without a primary nothing new comes
        return api.Report(max(0, last_us - self._lag_us[database]), api.Role.REPLICA)

    def entries(self) -> tuple[api.RosterEntry, ...]:
        """Discovery's whole list."""
        return tuple(
            api.RosterEntry(at, at // GROUP, f"z{self.zones[at]}", "db", primary=at % GROUP == 0)
            for at in range(self.size.databases)
        )
