"""What every scenario is played on: a size, a seed, a timeline, a tally, the estate, some whole gateways.

How gateways are sampled. Routers never speak to one another: what one does to another goes through the databases,
which here answer alike at any load. So a whole Router in a fleet of any size is played exactly, alone; the others are
represented by its counts, times how many it stands for. What the sample leaves open is only how gateways differ by
zone and by their draws, which `tests/scale` and the page's table of samples bound. Classes of gateways that an event
tells apart (in the lost zone, elsewhere) are sampled apart.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale.carrier import Carrier, Maker, World
from oatlink.lab.scale.estate import Estate, Plan
from oatlink.lab.scale.gateway import BOUNDED, Gateway, Traffic
from oatlink.lab.scale.judge import Finding, Forward, peaks, starved
from oatlink.lab.scale.size import Size
from oatlink.lab.scale.tally import SECOND_US, Tally

LINE_S = 60  # seconds of a play that are kept one by one


class Order(NamedTuple):
    """What is to be played. `routers`: how many whole ones; `brief`: a shorter play, for tests.

    `meter` tells nanoseconds of this machine's processor, `cost` takes what was told from them: no part of a finding.
    """

    size: Size
    seed: int
    carrier: Maker
    routers: int = 6
    traffic: Traffic = BOUNDED
    brief: bool = False
    meter: Callable[[], int] | None = None
    cost: dict[str, float] | None = None


def spread(numbers: Iterable[int], count: int) -> list[int]:
    """So many of these gateways, from all over them; all where there are fewer."""
    numbers = list(numbers)
    count = max(1, min(count, len(numbers)))
    return [numbers[at * len(numbers) // count] for at in range(count)]


class Stage:
    """One play."""

    def __init__(self, order: Order, plan: Plan) -> None:
        self.order, self.size, self.seed, self.plan = order, order.size, order.seed, plan
        self.time, self.tally = Timeline(), Tally()
        self.estate = Estate(order.size, order.seed, plan)
        self.carrier: Carrier = order.carrier(World(order.size, self.time, self.tally, plan, order.seed))
        self.forward = Forward()
        self.gateways: list[Gateway] = []

    def seat(self, numbers: list[int], of: int, start_us: int = 0) -> list[Gateway]:
        """Whole gateways that start then; together they stand for `of`."""
        made = [
            Gateway(one, self.estate, self.time, self.tally, self.seed, self.order.traffic, of / len(numbers))
            for one in numbers
        ]
        for one in made:
            self.time.at(start_us, one.start)
        self.gateways += made
        return made

    def finding(self, scenario: str, steady_from_s: int, until_s: int, event_s: int = 0) -> Finding:
        """What there is to say of it, but for what only the scenario knows. `event_s`: nothing before it counts."""
        size, tally = self.size, self.tally
        found = Finding(
            f"{scenario}",
            size.gateways,
            size.databases,
            self.seed,
            self.carrier.name,
            f"{len(self.gateways)} whole Routers, {self.order.traffic.name}",
            self.time.now / SECOND_US,
            peaks=peaks(tally, size, event_s),
            starved=starved(tally, event_s, until_s),
            broken=list(self.forward.broken),
        )
        seconds = max(1, until_s - steady_from_s)
        for kind in ("statements", "checks", "check bytes", "dials", "discovery calls", "unserved"):
            amount = tally.total("gateway", kind, steady_from_s, until_s) / seconds
            found.steady[f"{kind}/s a gateway"] = round(amount / size.gateways, 2)
            if kind in ("statements", "checks"):
                found.steady[f"{kind}/s a database"] = round(amount / size.databases, 2)
        for kind in ("checks", "dials", "unserved"):
            found.lines[kind] = [(at, round(one, 1)) for at, one in tally.line("gateway", kind) if at < LINE_S]
        return found
