"""A hollow gateway: a whole Router before the hollow databases, its clients drawn. No I/O.

What may live here: what a shell does around the Router, in counts: statements, checks, dials, calls to discovery. A
connection is counted once for each member that the gateway speaks to, and again after one that broke. Arrivals are
drawn as for independent clients; the class of each is drawn from the traffic.
"""

from random import Random
from typing import NamedTuple

from oatlink import interface as api
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale import wire
from oatlink.lab.scale.estate import DIAL_US, Estate
from oatlink.lab.scale.size import STATEMENTS_S, gateway_zone
from oatlink.lab.scale.tally import Tally
from oatlink.rules import Router

AIM_US, DEADLINE_US, STALENESS_US = 200_000, 1_000_000, 500_000
ASK_WITHIN_US = 10_000_000
CALL_US = 5_000  # a call to discovery
CHECK_BYTES = wire.check_bytes()


class Traffic(NamedTuple):
    """Shares of the classes, by name."""

    name: str
    shares: tuple[tuple[str, float], ...]


BOUNDED = Traffic("bounded", (("bounded", 1.0),))
ANY = Traffic("any", (("any", 0.9), ("write", 0.1)))
MIXED = Traffic("mixed", (("bounded", 0.3), ("latest", 0.1), ("any", 0.5), ("write", 0.1)))

_READ, _WRITE = api.Effect.IDEMPOTENT, api.Effect.KEYED
CLASSES = (
    api.RequestClass("bounded", api.Freshness.BOUNDED, _READ, AIM_US, DEADLINE_US, 1.0, staleness_us=STALENESS_US),
    api.RequestClass("latest", api.Freshness.LATEST, _READ, AIM_US, DEADLINE_US, 1.0),
    api.RequestClass("any", api.Freshness.ANY, _READ, AIM_US, DEADLINE_US, 1.0),
    api.RequestClass("write", api.Freshness.WRITE, _WRITE, AIM_US, DEADLINE_US, 1.0, repeat_window_us=5_000_000),
)


def settings(gateway: int, gateways: int, seed: int) -> api.Settings:
    """What a gateway's Router is told."""
    return api.Settings(
        Random(f"{seed}/{gateway}/router").getrandbits(32),
        f"z{gateway_zone(gateway)}",
        CLASSES,
        peers=gateways,
        must_ask_roster=True,
        ask_within_us=ASK_WITHIN_US,
    )


class Gateway:
    """One process of a gateway, from its start on. `weight`: how many of the fleet it stands for."""

    def __init__(
        self, number: int, estate: Estate, time: Timeline, tally: Tally, seed: int, traffic: Traffic, weight: float
    ) -> None:
        self.number, self.weight, self.zone = number, weight, gateway_zone(number)
        self._estate, self._time, self._tally = estate, time, tally
        self._draw = Random(f"{seed}/{number}/gateway")
        self.router = Router(settings(number, estate.size.gateways, seed))
        self.statements_s = float(STATEMENTS_S)
        self.unserved = 0
        self.watched: dict[int, str] = {}  # databases whose checks are counted apart, by what they have in common
        self._traffic = traffic
        self._linked: set[int] = set()
        self._sent: dict[str, int] = {}  # how many attempts of each request
        self._requests = 0

    def start(self) -> None:
        """The process begins, with nothing known."""
        self._do(api.Start())
        self._time.after(self._gap_us(), self._arrive)

    # ---- What comes ----

    def _gap_us(self) -> int:
        return 1 + round(self._draw.expovariate(self.statements_s) * 1e6)

    def _arrive(self) -> None:
        self._time.after(self._gap_us(), self._arrive)
        if not self.router.state.members:
            self._count("not ready")
            return
        self._requests += 1
        drawn, name = self._draw.random(), self._traffic.shares[-1][0]
        for one, share in self._traffic.shares:
            if drawn < share:
                name = one
                break
            drawn -= share
        group = self._draw.randrange(self._estate.size.groups)
        self._count("statements")
        self._do(api.Arrival(str(self._requests), name, group, DEADLINE_US))

    def _listed(self) -> None:
        self._count("discovery bytes", wire.list_bytes(self._estate.size.databases))
        self._do(api.Roster(api.RosterKind.WHOLE, self._estate.entries()))

    def _ended(self, send: api.Send, attempt: int, sent_us: int, well: bool) -> None:
        now, member = self._time.now, send.member
        if send.request not in self._sent:
            return  # it was called off
        took = now - sent_us
        if not well:
            self._linked.discard(member)
            self._do(api.AttemptEnded(send.request, attempt, member, api.Outcome.NO_CONNECTION, took))
            return
        rule = self.router.state.requests[send.request].request_class
        report = self._estate.report(member, now)
        writes = rule.freshness is api.Freshness.WRITE and report.role is not api.Role.PRIMARY
        outcome = api.Outcome.MISS if writes else api.Outcome.SERVED
        if not writes:
            del self._sent[send.request]
        self._do(api.AttemptEnded(send.request, attempt, member, outcome, took, not writes, report, report))

    def _checked(self, member: int, sent_us: int, well: bool) -> None:
        now = self._time.now
        if not well:
            self._linked.discard(member)
        report = self._estate.report(member, now) if well else None
        outcome = api.Outcome.SERVED if well else api.Outcome.NO_CONNECTION
        self._do(api.Checked(member, outcome, now - sent_us, report))

    def _timer(self) -> None:
        self._do(api.TimerFired("due"))

    # ---- What is asked for ----

    def _count(self, kind: str, amount: float = 1) -> None:
        self._tally.add("gateway", self.number, kind, self._time.now, amount, self.weight)

    def _do(self, event: api.Event) -> None:
        now = self._time.now
        for one in self.router.handle(event, now):
            if isinstance(one, api.Send):
                self._send(one)
            elif isinstance(one, api.Check):
                self._count("checks")
                self._count("check bytes", CHECK_BYTES)
                if one.member in self.watched:
                    self._count(f"checks of {self.watched[one.member]}")
                well, wait_us = self._reach(one.member, 0)
                self._time.after(wait_us, self._checked, one.member, now, well)
            elif isinstance(one, api.SetTimer):
                self._time.at(one.at_us, self._timer)
            elif isinstance(one, api.FollowRoster | api.FetchRoster):
                self._count("discovery calls")
                if isinstance(one, api.FollowRoster):
                    self._time.after(CALL_US, self._listed)
            elif isinstance(one, api.Refuse | api.Fail):
                self._sent.pop(one.request, None)
                self.unserved += 1
                self._count("unserved")
            elif isinstance(one, api.DropIdle):
                self._linked.discard(one.member)

    def _send(self, send: api.Send) -> None:
        attempt = self._sent.get(send.request, 0)
        self._sent[send.request] = attempt + 1
        well, wait_us = self._reach(send.member, self._estate.work_us(send.member, self._draw))
        self._time.after(wait_us, self._ended, send, attempt, self._time.now, well)

    def _reach(self, member: int, work_us: int) -> tuple[bool, int]:
        """Whether something arrives, and after how long its end is known; a dial is counted where there is no link."""
        if member not in self._linked:
            self._count("dials")
        if not self._estate.reached(self.zone, member, self._time.now):
            return False, DIAL_US
        self._linked.add(member)
        return True, self._estate.way_us(self.zone, member) + work_us + self._draw.randrange(400)

    def knows_primary(self, group: int, member: int) -> bool:
        """Whether the Router holds this member for its group's primary."""
        found = self.router.state.groups.get(group)
        return found is not None and found.primary == member

    @property
    def groups_without_primary(self) -> int:
        """Of those that were asked for."""
        return sum(one.primary is None and bool(one.members) for one in self.router.state.groups.values())
