"""One gateway's Router by values before databases that answer as they should, on a simulated clock, from one seed."""

import heapq
import random
import time
from collections import Counter

from oatlink import interface as api
from oatlink.rules import Router

GROUP = 12  # members of a group, one of them its primary
ZONES = 19
ANSWER_US = 5_000  # mean of an answer, drawn
CHECK_US = 2_000
DIAL_US = 250_000  # until a dial that nobody answers is given up
LAG_US = 30_000  # mean of how far a replica is behind, drawn


def entries(members: int) -> tuple[api.RosterEntry, ...]:
    """A list of members in groups of twelve, the first of each the primary, over all zones."""
    return tuple(
        api.RosterEntry(at, at // GROUP, f"z{at % ZONES}", "db", primary=at % GROUP == 0, started_us=0)
        for at in range(members)
    )


def settings(peers: int, staleness_us: int, warm_after_us: int = 0) -> api.Settings:
    """The settings of one gateway with a class of bounded reads, one of writes and one of reads that may be old."""
    effect, aim, end = api.Effect.IDEMPOTENT, 200_000, 1_000_000
    classes = (
        api.RequestClass("bounded", api.Freshness.BOUNDED, effect, aim, end, 1.0, staleness_us=staleness_us),
        api.RequestClass("latest", api.Freshness.LATEST, effect, aim, end, 1.0),
        api.RequestClass("any", api.Freshness.ANY, effect, aim, end, 1.0),
        api.RequestClass("write", api.Freshness.WRITE, api.Effect.KEYED, aim, end, 1.0, repeat_window_us=end),
    )
    share = 0.2 if warm_after_us else 1.0
    return api.Settings(
        seed=7, zone="z0", classes=classes, peers=peers, step_us=1_000, cold_share=share, warm_after_us=warm_after_us
    )


class Site:
    """Arrivals by chance at `rate` a second over all groups alike; each attempt is served, each check answered."""

    def __init__(
        self,
        members: int,
        peers: int,
        rate: float,
        mix: dict[str, float],
        staleness_us: int,
        seed: int,
        warm_after_us: int = 0,
    ) -> None:
        """`mix`: the classes of what arrives, and the weight of each."""
        self.down: set[int] = set()  # members that nothing reaches: what is sent there could not connect
        self.primaries = {group: group * GROUP for group in range(members // GROUP)}
        self.checked: Counter[int] = Counter()  # by member
        self.router = Router(settings(peers, staleness_us, warm_after_us))
        self.counts: Counter[str] = Counter()
        self.handle_s = 0.0
        self._groups, self._rate = members // GROUP, rate
        self._names, self._weights = list(mix), list(mix.values())
        self._draw = random.Random(seed)
        self._events: list[tuple[int, int, api.Event]] = []
        self._order = self._requests = 0
        self.now = 1_000_000
        self._take(api.Start())
        self._take(api.Roster(api.RosterKind.WHOLE, entries(members)))
        self._next_us = self.now

    def run(self, seconds: float) -> tuple[Counter[str], float]:
        """Go on for so long; what happened in it, and the seconds of processor time in the Router."""
        before, took, end_us = Counter(self.counts), self.handle_s, self.now + round(seconds * 1e6)
        while True:
            if self._events and self._events[0][0] <= min(self._next_us, end_us):
                self.now, _, event = heapq.heappop(self._events)
                self._take(event)
            elif self._next_us <= end_us:
                self.now = self._next_us
                self._next_us += max(1, round(self._draw.expovariate(self._rate) * 1e6))
                self._requests += 1
                self.counts["requests"] += 1
                group = self._draw.randrange(self._groups)
                name = self._draw.choices(self._names, self._weights)[0]
                self._take(api.Arrival(str(self._requests), name, group, 1_000_000))
            else:
                self.now = end_us
                return self.counts - before, self.handle_s - took

    def tell(self, event: api.Event) -> None:
        """Something else happens now."""
        self._take(event)

    def _later(self, after_us: float, event: api.Event) -> None:
        self._order += 1
        heapq.heappush(self._events, (self.now + max(1, round(after_us)), self._order, event))

    def _report(self, member: int) -> api.Report:
        if self.primaries[member // GROUP] == member:
            return api.Report(self.now, api.Role.PRIMARY)
        return api.Report(self.now - round(self._draw.expovariate(1 / LAG_US)), api.Role.REPLICA)

    def _take(self, event: api.Event) -> None:
        began = time.perf_counter()
        done = self.router.handle(event, self.now)
        self.handle_s += time.perf_counter() - began
        for one in done:
            self.counts[type(one).__name__] += 1
            match one:
                case api.Send():
                    self._sent(one)
                case api.Check():
                    self.checked[one.member] += 1
                    if one.member in self.down:
                        ended = api.Checked(one.member, api.Outcome.NO_CONNECTION, DIAL_US)
                    else:
                        report = self._report(one.member)
                        ended = api.Checked(one.member, api.Outcome.SERVED, CHECK_US, report)
                    self._later(ended.duration_us, ended)
                case api.SetTimer():
                    self._later(one.at_us - self.now, api.TimerFired(one.name))

    def _sent(self, send: api.Send) -> None:
        number = len(self.router.state.requests[send.request].attempts) - 1
        if send.member in self.down:
            lost = api.AttemptEnded(send.request, number, send.member, api.Outcome.NO_CONNECTION, DIAL_US)
            self._later(DIAL_US, lost)
            return
        took = round(self._draw.expovariate(1 / ANSWER_US))
        report = self._report(send.member)
        served = api.Outcome.SERVED
        self._later(took, api.AttemptEnded(send.request, number, send.member, served, took, over=True, answer=report))
