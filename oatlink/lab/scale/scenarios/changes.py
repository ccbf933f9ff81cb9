"""6,100 changes of configuration: as they come over a day, and all in one minute.

Of the day ten minutes are played, for each is like the others. Scopes are drawn: half for all, a quarter each for a
region or a zone.
"""

from random import Random

from oatlink.core import reload
from oatlink.fleet.shell.transport import Transport
from oatlink.gateway import run
from oatlink.lab.scale.carrier import Scope
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.size import REGIONS, ZONES
from oatlink.lab.scale.stage import Order, Stage
from oatlink.lab.scale.tally import SECOND_US
from oatlink.lab.scale.watch import Watch
from oatlink.settings.fleet import fleet_hash

A_DAY, DAY_S, PART_S, MINUTE_S, AFTER_S = 6_100, 86_400, 600, 60, 30
BODY = b"x" * 200


def day(order: Order) -> Finding:
    """A change each 14 s."""
    part_s = 60 if order.brief else PART_S
    return _play(order, "changes of a day", part_s, A_DAY * part_s // DAY_S)


def minute(order: Order) -> Finding:
    """A hundred a second."""
    return _play(order, "changes in a minute", MINUTE_S, 100 if order.brief else A_DAY)


def _play(order: Order, name: str, over_s: int, count: int) -> Finding:
    stage = Stage(order, Plan())
    draw = Random(f"{order.seed}/{name}")
    watch = Watch(stage.time, stage.carrier, order.size.gateways, stage.forward)
    for one in range(order.size.gateways):
        stage.carrier.start(one)
    for number in range(count):
        at_us = SECOND_US + (number * over_s * SECOND_US + draw.randrange(over_s * SECOND_US)) // count
        stage.time.at(at_us, watch.offer, _scope(draw), BODY)
    stage.time.run((1 + over_s + AFTER_S) * SECOND_US)
    found = stage.finding(name, 1, 1 + over_s)
    found.played = "no Routers: a change of configuration does not reach them"
    found.in_force.append(watch.waits().judged(f"{count} changes over {over_s} s"))
    if found.in_force[0].longest_s is None:
        found.notes += [
            f"never in force: nothing carries a change. A gateway reads its file at its start and at SIGHUP "
            f"({at(run.reload)}), each file written by somebody else; the platform's gateway reads it once",
            f"a fleet's part can't change in service ({at(reload.objections, 'expected as at')}), is hashed whole "
            f"({at(fleet_hash)}) and sent in each greeting ({at(Transport, 'fleet_hash')}): gateways before and after "
            "a change refuse one another",
        ]
    return found


def _scope(draw: Random) -> Scope:
    kind = draw.choice(("all", "all", "region", "zone"))
    if kind == "all":
        return Scope("all")
    return Scope(kind, draw.randrange(REGIONS if kind == "region" else ZONES))
