"""All gateways start in the same instant, as after a loss of power, and go on until their checks are steady."""

from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.judge import Finding, Way, in_force
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.stage import Order, Stage, spread
from oatlink.lab.scale.starters import ask_discovery
from oatlink.lab.scale.tally import SECOND_US
from oatlink.rules import arrivals, checks, reads, roster

SECONDS, STEADY_FROM_S = 24, 12
BRIEF_S, BRIEF_FROM_S = 4, 3
LOOK_US = 100_000


def play(order: Order) -> Finding:
    """In force is a gateway's knowledge of the primaries of all groups that it was asked for, once it has one."""
    stage = Stage(order, Plan())
    numbers = spread(range(order.size.gateways), order.routers)
    gateways = stage.seat(numbers, order.size.gateways)
    ask_discovery(stage.tally, order.size, order.seed, range(order.size.gateways), 0)
    ready: dict[int, int] = {}

    def look() -> None:
        stage.time.after(LOOK_US, look)
        for one in gateways:
            if one.number not in ready and one.router.book.groups and not one.groups_without_primary:
                ready[one.number] = stage.time.now

    stage.time.after(LOOK_US, look)
    seconds, since_s = (BRIEF_S, BRIEF_FROM_S) if order.brief else (SECONDS, STEADY_FROM_S)
    stage.time.run(seconds * SECOND_US)
    found = stage.finding("start", since_s, seconds)
    ways = [Way("start", one, 0, ready.get(one, -1)) for one in numbers]
    found.in_force.append(in_force("primaries of all groups known", ways))
    found.notes += [
        f"a group's first request asks all its members ({at(arrivals.arrive, 'check_all')}, {at(checks.check_all)}): "
        "each gateway asks every database once, gateways x databases in all",
        f"a Router has no subset of members ({at(reads.choose)}, {at(roster.listed, 'for entry')}): each gateway ends "
        "up with a link to every database",
        f"a bounded read whose replicas were heard of too long ago asks one ({at(reads.choose, '_ask_replica')}, "
        f"{at(reads._ask_replica, '_ask_one')}): the more databases a gateway's statements are spread over, the more",
    ]
    return found
