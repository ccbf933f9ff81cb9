"""A zone is gone for ten seconds, its gateways and databases with it, and comes back all at once."""

from oatlink import interface as api
from oatlink.lab.scale.carrier import Scope
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.gateway import Gateway
from oatlink.lab.scale.judge import Finding, Peak, Waits
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.size import gateway_zone
from oatlink.lab.scale.stage import Order, Stage, spread
from oatlink.lab.scale.starters import ask_discovery
from oatlink.lab.scale.tally import SECOND_US
from oatlink.lab.scale.watch import Watch
from oatlink.rules import checks, outcomes

ZONE, LOST_S, BACK_S, END_S = 7, 6, 16, 24
LOOK_US = 100_000
EVERYBODY = Scope("all")


def play(order: Order) -> Finding:
    """In force: databases that are gone are held back; those back are used; a change that was offered meanwhile."""
    lost_s, back_s, end_s = (3, 5, 7) if order.brief else (LOST_S, BACK_S, END_S)
    lost_us, back_us = lost_s * SECOND_US, back_s * SECOND_US
    stage = Stage(order, Plan(zones_lost={ZONE: (lost_us, back_us)}))
    inside = [one for one in range(order.size.gateways) if gateway_zone(one) == ZONE]
    outside = [one for one in range(order.size.gateways) if gateway_zone(one) != ZONE]
    others = stage.seat(spread(outside, (order.routers + 1) // 2), len(outside))
    stage.seat(spread(inside, order.routers // 2), len(inside), back_us)  # before the loss they are like others
    ask_discovery(stage.tally, order.size, order.seed, inside, back_us)
    watch = Watch(stage.time, stage.carrier, order.size.gateways, stage.forward)
    _restarts(stage, watch, inside, lost_us, back_us)
    stage.time.at((lost_us + back_us) // 2, watch.offer, EVERYBODY, b"x" * 200)
    gone = [one for one in range(order.size.databases) if stage.estate.zones[one] == ZONE]
    for one in stage.gateways:
        one.watched = dict.fromkeys(gone, "the lost zone")
    held_back = _wait_for(stage, others, gone, lost_us, back_us, True)
    used = _wait_for(stage, others, gone, back_us, end_s * SECOND_US, False)
    stage.time.run(end_s * SECOND_US)
    found = stage.finding("zone", lost_s, back_s, lost_s)
    for name, since_s in (("that is gone", lost_s), ("that came back", back_s)):
        worst = stage.tally.worst_all("gateway", "checks of the lost zone", since_s)
        found.peaks.append(Peak(f"database {name}", "checks", round(worst.amount / max(1, len(gone)), 1), worst.second))
    found.in_force += [
        held_back.judged("lost databases noticed and held back"),
        used.judged("databases that came back known again"),
        watch.waits().judged("change offered while the zone was lost"),
    ]
    found.notes += [
        f"each gateway finds each lost database by itself, by a request that fails "
        f"({at(outcomes._record_outcome, 'RESET')}), "
        "never where it sent nothing there meanwhile, "
        f"and asks it again ever more rarely, at most each 8 s ({at(checks._check_unknown)}), one of every gateway",
    ]
    return found


def _restarts(stage: Stage, watch: Watch, inside: list[int], lost_us: int, back_us: int) -> None:
    def stop() -> None:
        for one in inside:
            watch.down(one)
            stage.carrier.stop(one)

    def begin() -> None:
        for one in inside:
            watch.up(one)
            stage.carrier.start(one)

    for one in range(stage.size.gateways):
        stage.carrier.start(one)
    stage.time.at(lost_us, stop)
    stage.time.at(back_us, begin)


def _wait_for(
    stage: Stage, gateways: list[Gateway], members: list[int], since_us: int, until_us: int, unknown: bool
) -> Waits:
    """When each of these gateways takes each member for unknown, or for known."""
    waits = Waits()
    waits.expect("members", len(gateways) * len(members))
    still = {(one.number, member): one for one in gateways for member in members}

    def look() -> None:
        for (number, member), one in list(still.items()):
            role = one.router.state.members[member].role
            if (role is api.Role.UNKNOWN) == unknown:
                del still[number, member]
                waits.saw("members", stage.time.now - since_us)
        if still and stage.time.now + LOOK_US < until_us:
            stage.time.after(LOOK_US, look)
        for number, member in list(still)[:3] if stage.time.now + LOOK_US >= until_us else ():
            waits.name(f"gateway {number}, database {member}")

    stage.time.at(since_us + LOOK_US, look)
    return waits
