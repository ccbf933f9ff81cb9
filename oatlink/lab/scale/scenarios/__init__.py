"""What befalls a fleet, one event a module: each has `play(order) -> Finding`."""

from collections.abc import Callable

from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.scenarios import start
from oatlink.lab.scale.stage import Order

Play = Callable[[Order], Finding]

PLAYS: dict[str, Play] = {
    "start": start.play,
}
