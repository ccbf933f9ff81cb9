"""How large a fleet is, and where each of it stands. Plain values.

A group of databases has `GROUP` members: two thirds of them in its home region, the rest in the next one, each part
over the zones there in turn. So a zone that is lost takes no group with it, and a region takes the primaries of a
fifth of them.
"""

from typing import NamedTuple

REGIONS = 5
ZONES = 19
GROUP = 12
AT_HOME = 8
STATEMENTS_S = 1_833  # a second at each gateway
SIX = 6  # machines set aside for control


class Size(NamedTuple):
    """So many gateways before so many databases."""

    gateways: int
    databases: int

    @property
    def name(self) -> str:
        """As tables and files have it."""
        return f"{self.gateways}x{self.databases}"

    @property
    def groups(self) -> int:
        """Groups of databases."""
        return max(1, self.databases // GROUP)


SIZES = (Size(300, 600), Size(900, 1_800), Size(1_800, 3_600), Size(3_600, 7_200))


def region_of(zone: int) -> int:
    """The region of a zone: four zones each, three in the last."""
    return zone % REGIONS


def zones_of(region: int) -> tuple[int, ...]:
    """The zones of a region."""
    return tuple(zone for zone in range(ZONES) if region_of(zone) == region)


def gateway_zone(gateway: int) -> int:
    """Where a gateway stands."""
    return gateway % ZONES


def database_zone(database: int) -> int:
    """Where a database stands."""
    group, place = divmod(database, GROUP)
    home = group % REGIONS
    zones = zones_of(home if place < AT_HOME else (home + 1) % REGIONS)
    return zones[(group // REGIONS + place) % len(zones)]


def gateways_in(size: Size, zones: tuple[int, ...]) -> int:
    """How many gateways stand in these zones."""
    return sum(gateway_zone(one) in zones for one in range(size.gateways))
