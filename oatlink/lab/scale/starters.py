"""When so many gateways that start at once ask discovery: the real Routers' first moments, all of them played."""

from collections.abc import Iterable

from oatlink import interface as api
from oatlink.lab.scale import wire
from oatlink.lab.scale.gateway import settings
from oatlink.lab.scale.judge import DISCOVERY
from oatlink.lab.scale.size import Size
from oatlink.lab.scale.tally import Tally
from oatlink.rules import Router


def ask_discovery(tally: Tally, size: Size, seed: int, gateways: Iterable[int], start_us: int) -> None:
    """Count at discovery what these ask for; each gets the whole list."""
    whole = wire.list_bytes(size.databases)
    for number in gateways:
        router = Router(settings(number, size.gateways, seed))
        now, pending = start_us, router.handle(api.Start(), start_us)
        while not any(isinstance(one, api.FollowRoster) for one in pending):
            now = next(one.at_us for one in pending if isinstance(one, api.SetTimer))
            pending = router.handle(api.TimerFired("due"), now)
        calls = sum(isinstance(one, api.FollowRoster | api.FetchRoster) for one in pending)
        tally.spread(DISCOVERY, "calls", now, calls)
        tally.spread(DISCOVERY, "bytes", now, whole)
