"""Changes go on while one gateway says old news again, or while a second process bears its name."""

from oatlink.lab.scale.carrier import Scope
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.stage import Order, Stage
from oatlink.lab.scale.tally import SECOND_US
from oatlink.lab.scale.watch import Watch

CHANGES, GAP_S, FROM, AFTER_S = 6, 2, 3, 10
WHO = 5


def disturbed(order: Order, found: Finding, how: str) -> None:
    """Add what the carrier makes of it to a finding. `how`: replay or twin."""
    stage = Stage(order, Plan())
    watch = Watch(stage.time, stage.carrier, order.size.gateways, stage.forward)
    for one in range(order.size.gateways):
        stage.carrier.start(one)
    for number in range(CHANGES):
        stage.time.at((1 + number * GAP_S) * SECOND_US, watch.offer, Scope("all"), b"x" * 200)
    stage.time.at((1 + FROM * GAP_S) * SECOND_US, stage.carrier.replay if how == "replay" else stage.carrier.twin, WHO)
    stage.time.run((1 + CHANGES * GAP_S + AFTER_S) * SECOND_US)
    found.in_force.append(watch.waits().judged(f"changes of configuration, {how} from the fourth on"))
    found.broken += stage.forward.broken
    found.carrier = stage.carrier.name
