"""All gateways start in the same instant, as after a loss of power, and go on until their checks are steady."""

from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.judge import Finding, Waits
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.stage import Order, Stage, spread
from oatlink.lab.scale.starters import ask_discovery
from oatlink.lab.scale.tally import SECOND_US
from oatlink.rules import arrivals, checks, reads, roster

SECONDS, STEADY_FROM_S = 24, 12
BRIEF_S, BRIEF_FROM_S = 3, 2
LOOK_US = 100_000


def play(order: Order) -> Finding:
    """In force is a gateway's knowledge of the primaries of all groups that it was asked for, once it has one."""
    stage = Stage(order, Plan())
    numbers = spread(range(order.size.gateways), order.routers)
    gateways = stage.seat(numbers, order.size.gateways)
    ask_discovery(stage.tally, order.size, order.seed, range(order.size.gateways), 0)
    waits = Waits()
    waits.expect("start", len(gateways))
    unready = {one.number: one for one in gateways}

    def look() -> None:
        stage.time.after(LOOK_US, look)
        for number, one in list(unready.items()):
            if one.router.state.groups and not one.groups_without_primary:
                del unready[number]
                waits.saw("start", stage.time.now)

    stage.time.after(LOOK_US, look)
    seconds, since_s = (BRIEF_S, BRIEF_FROM_S) if order.brief else (SECONDS, STEADY_FROM_S)
    stage.time.run(seconds * SECOND_US)
    found = stage.finding("start", since_s, seconds)
    for number in unready:
        waits.name(f"gateway {number}")
    found.in_force.append(waits.judged("primaries of all groups known"))
    found.notes += [
        f"a group's first request asks all its members ({at(arrivals.handle_arrival, 'check_all')}, "
        f"{at(checks.check_all)}): "
        "each gateway asks every database once, gateways x databases in all",
        f"a Router has no subset of members ({at(reads.choose_member)}, {at(roster.apply_roster, 'for entry')}): "
        "each gateway ends "
        "up with a link to every database",
        f"a bounded read asks a second replica whenever the best has something out "
        f"({at(reads.choose_member, 'best.outstanding')}); "
        f"an answer from far away counts as overdue at twice the group's usual ({at(checks.overdue_at)})",
        f"a bounded read whose replicas were heard of too long ago asks one "
        f"({at(reads.choose_member, '_request_report')}, "
        f"{at(reads._request_report, '_check_next')}): the more databases a gateway's statements are spread over, the "
        "more",
    ]
    return found
