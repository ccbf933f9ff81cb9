"""A day's 13 changes of primary, one each half second, each without a primary for three seconds."""

from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.judge import Finding, Peak, Waits
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.size import GROUP
from oatlink.lab.scale.stage import Order, Stage, spread
from oatlink.lab.scale.tally import SECOND_US
from oatlink.rules import checks, router

CHANGES, FIRST_S, GAP_US, WITHOUT_US, AFTER_S = 13, 6, 500_000, 3_000_000, 10
LOOK_US = 100_000


def play(order: Order) -> Finding:
    """In force is a new primary that a gateway's Router goes by, counted from when there is one."""
    groups = spread(range(order.size.groups), 2 if order.brief else CHANGES)
    times = [(group, FIRST_S * SECOND_US + place * GAP_US) for place, group in enumerate(groups)]
    stage = Stage(order, Plan(primaries={group: (lost, lost + WITHOUT_US) for group, lost in times}))
    numbers = spread(range(order.size.gateways), order.routers)
    gateways = stage.seat(numbers, order.size.gateways)
    watched = {group * GROUP + place: f"group {group}" for group in groups for place in range(GROUP)}
    for one in gateways:
        one.watched = watched
    waits = Waits()
    for group, _ in times:
        waits.expect(f"group {group}", len(gateways))
    still = {(group, one.number): (lost + WITHOUT_US, one) for group, lost in times for one in gateways}

    def look() -> None:
        stage.time.after(LOOK_US, look)
        for (group, number), (found_us, one) in list(still.items()):
            if stage.time.now >= found_us and one.knows_primary(group, group * GROUP + 1):
                del still[group, number]
                waits.saw(f"group {group}", stage.time.now - found_us)

    stage.time.after(LOOK_US, look)
    last_us = times[-1][1] + WITHOUT_US
    seconds = last_us // SECOND_US + (4 if order.brief else AFTER_S)
    stage.time.run(seconds * SECOND_US)
    found = stage.finding("primaries", FIRST_S, seconds, FIRST_S)
    for group, number in still:
        waits.name(f"gateway {number}, group {group}")
    found.in_force.append(waits.judged("new primaries gone by"))
    asked = max(stage.tally.worst_all("gateway", f"checks of group {group}", FIRST_S).amount for group in groups)
    found.peaks.append(Peak("database of a group without primary", "checks", round(asked / GROUP, 1), 0))
    found.notes.append(
        f"while a request waits for a primary each gateway asks all members of the group each half second "
        f"({at(router._sweep_group, 'check_all')}, {at(checks.check_all)}), so a group is asked by all gateways at once"
    )
    return found
