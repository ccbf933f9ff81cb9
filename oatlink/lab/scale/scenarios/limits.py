"""One tenant with clients at every gateway: what its home hears and says, and when each has its part."""

from random import Random

from oatlink.fleet import messages as f
from oatlink.fleet.limits import coordinator, ledger, requester
from oatlink.fleet.limits.shards import shard_of
from oatlink.lab.fleetsim.links import Links
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale import wire
from oatlink.lab.scale.judge import Finding, Waits, peaks
from oatlink.lab.scale.lines import at
from oatlink.lab.scale.nodes import names_of
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.tally import SECOND_US, Tally
from oatlink.settings import fleet as settings

TENANT, FLOOR, SECONDS = "tenant/a", 0.2, 5
A_NODE = 10.0  # requests a second asked for at each gateway; the rate is nine tenths of all
HOME = "home"


class Seat:
    """A node's questions."""

    def __init__(self, name: str, seed: int) -> None:
        self.name, self.requester = name, requester.GrantRequester(name, seed)
        self.serial, self.rate = 0, 0.0


class Limits:
    """All nodes and the home of the tenant's shard."""

    def __init__(self, order: Order, time: Timeline, tally: Tally, waits: Waits) -> None:
        self.names, self.time, self.tally, self.waits = names_of(order.size.gateways), time, tally, waits
        rate = 0.9 * A_NODE * len(self.names)
        allowances = {TENANT: (rate, 2 * rate, FLOOR)}
        self.shard = shard_of(TENANT)
        self.home = coordinator.LimitCoordinator(self.shard, allowances, self.names)
        self.home.began(1, 0)
        self._links = Links(order.seed)
        self.seats = [Seat(name, order.seed) for name in self.names]
        waits.expect("part", len(self.seats))
        for place, seat in enumerate(self.seats):
            time.at(Random(f"{order.seed}/{place}").randrange(SECOND_US // 4), self._look, place, seat)

    def _look(self, place: int, seat: Seat) -> None:
        now = self.time.now
        demand = f.Demand(TENANT, A_NODE, seat.serial)
        for one in seat.requester.request((demand,), {self.shard: self.names[0]}, now):
            if isinstance(one, f.Tell) and isinstance(one.message, f.Want):
                size = wire.frame_bytes(one.message)
                self._count(place, size)
                for wait_us in self._links.fates(seat.name, HOME, now):
                    self.time.after(wait_us, self._wanted, place, seat, one.message)
        self.time.at(max(seat.requester.due_us, now + 1_000), self._look, place, seat)

    def _count(self, place: int, size: int) -> None:
        for role, who in (("gateway", place), (HOME, 0)):
            self.tally.add(role, who, "fleet bytes", self.time.now, size)
            self.tally.add(role, who, "fleet messages", self.time.now)

    def _wanted(self, place: int, seat: Seat, message: f.Want) -> None:
        for one in self.home.want(seat.name, message, f.NEVER_US, self.time.now):
            if isinstance(one, f.Tell) and isinstance(one.message, f.Grants):
                self._count(place, wire.frame_bytes(one.message))
                for wait_us in self._links.fates(HOME, seat.name, self.time.now):
                    self.time.after(wait_us, self._granted, seat, one.message)

    def _granted(self, seat: Seat, message: f.Grants) -> None:
        for grant in message.grants:
            if grant.rate > 0 and not seat.rate:
                self.waits.saw("part", self.time.now)
            seat.serial, seat.rate = grant.serial, grant.rate
        seat.requester.receive(self.names[0], message, self.time.now)


def play(order: Order) -> Finding:
    """In force is a node's first grant above nothing."""
    size, seconds = order.size, 2 if order.brief else SECONDS
    time, tally, waits = Timeline(), Tally(), Waits()
    limits = Limits(order, time, tally, waits)
    time.run(seconds * SECOND_US)
    played = "all nodes, one tenant"
    found = Finding("limits", size.gateways, size.databases, order.seed, "today", played, float(seconds))
    found.peaks = peaks(tally, size)
    for kind in ("bytes", "messages"):
        worst = tally.worst_one(HOME, f"fleet {kind}")
        found.steady[f"{kind} at the home, worst second"] = worst.amount
    found.steady["grants without use at the end"] = float(sum(not one.rate for one in limits.seats))
    found.steady[f"least burst of a tenant with a floor of {FLOOR}"] = size.gateways * settings.LEAST_BURST / FLOOR
    for seat in limits.seats:
        if not seat.rate:
            waits.name(seat.name)
    found.in_force.append(waits.judged("a part of the tenant's rate"))
    found.notes += [
        f"each node asks each home four times a second for each tenant in use ({at(requester.GrantRequester.request)}, "
        "ASK_US): a home's messages grow with the gateways, and its book has a row for each "
        f"({at(ledger.AllowanceLedger.divide)})",
        f"a floor under one request a node is refused at the start ({at(settings._check_floor)})",
    ]
    return found
