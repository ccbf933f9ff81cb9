"""A release: the gateways start anew in tenths, one each `WAVE_S`, while changes are offered.

Of each tenth one whole Router is played from its start on; what it did before is the steady part of `start`.
"""

from oatlink.lab.scale.carrier import Scope
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.stage import Order, Stage
from oatlink.lab.scale.starters import ask_discovery
from oatlink.lab.scale.tally import SECOND_US
from oatlink.lab.scale.watch import Watch
from oatlink.rules import arrivals
from oatlink.settings.fleet import fleet_hash

TENTHS, WAVE_S, AFTER_S = 10, 2, 4
DOWN_US = 500_000
EVERYBODY = Scope("all")


def play(order: Order) -> Finding:
    """In force is each wave's change at all gateways, those that start meanwhile among them."""
    stage = Stage(order, Plan())
    waves = 2 if order.brief else TENTHS
    gateways, time = order.size.gateways, stage.time
    watch = Watch(time, stage.carrier, gateways, stage.forward)
    for one in range(gateways):
        stage.carrier.start(one)

    def stop(part: range) -> None:
        for one in part:
            watch.down(one)
            stage.carrier.stop(one)
        watch.offer(EVERYBODY, b"x" * 200)

    def begin(part: range) -> None:
        for one in part:
            watch.up(one)
            stage.carrier.start(one)

    for wave in range(waves):
        part = range(wave * gateways // TENTHS, (wave + 1) * gateways // TENTHS)
        start_us = (1 + wave * WAVE_S) * SECOND_US
        time.at(start_us - DOWN_US, stop, part)
        time.at(start_us, begin, part)
        ask_discovery(stage.tally, order.size, order.seed, part, start_us)
        stage.seat([part[len(part) // 2]], len(part), start_us)
    seconds = 1 + waves * WAVE_S + (1 if order.brief else AFTER_S)
    time.run(seconds * SECOND_US)
    found = stage.finding("release", seconds - 1, seconds)
    found.in_force.append(watch.waits().judged("changes offered during the release"))
    found.notes += [
        f"each process that starts asks every database again ({at(arrivals.handle_arrival, 'check_all')}); nothing of "
        "what its predecessor knew is handed on",
        f"settings of neighbouring versions refuse one another, as the whole part is hashed ({at(fleet_hash)})",
    ]
    return found
