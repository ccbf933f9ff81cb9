"""What befalls a fleet, one event a module: each has `play(order) -> Finding`."""

from collections.abc import Callable

from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.scenarios import (
    changes,
    idle,
    limits,
    old_news,
    primaries,
    region,
    release,
    start,
    twins,
    verdicts,
    zone,
)
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.stream.scenes import SCENES

Play = Callable[[Order], Finding]

PLAYS: dict[str, Play] = {
    "start": start.play,
    "release": release.play,
    "zone": zone.play,
    "region": region.play,
    "primaries": primaries.play,
    "idle": idle.play,
    "verdicts": verdicts.play,
    "old-news": old_news.play,
    "twins": twins.play,
    "limits": limits.play,
    "changes-day": changes.day,
    "changes-minute": changes.minute,
    **SCENES,
}
