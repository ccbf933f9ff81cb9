"""What a whole fleet sends to a server that has just started, against what the settings allow it.

Routers as many as gateways, on one seeded clock, before servers of limited strength whose requests differ in work.
"""

import heapq
import random
from bisect import bisect_left
from dataclasses import replace
from itertools import accumulate
from math import sqrt
from typing import Any

import pytest

from oatlink import interface as api
from oatlink.interface import Outcome, Report, Role
from oatlink.rules import Router
from tests.conftest import POST, SETTINGS, START_US, VIEW, member

GROUPS, MEMBERS = 2, 5
STRENGTH = (
    30.0  # requests of mean work a second that a warm server does, on four cores; half as much again at take-overs
)
WORK = {"view": 0.88, "post": 1.68}  # of the mean, where 15% are posts
SLOTS = 54  # requests in work or queued at a server, beyond which it refuses
READY = api.Listing.READY
OLD, COLD = 0, 1  # the primary of group 0, and the server that starts
BORN_US = START_US + 12_000_000
FIT_US = BORN_US + 4_000_000  # when it has caught up, or takes over
WARM_US = 17_000_000
END_US = BORN_US + 8_000_000


class Ramp:
    """Load, a server that starts, and a burst once it can serve.

    It joins in a lull; or comes back, behind as all other replicas are; or takes over as the primary; or joins while
    every other router, or each, starts too.
    """

    def __init__(self, scene: str, routers: int, uneven: bool, seed: int, burst: float = 2.0) -> None:
        self.scene, self.burst, self.random, self.now, self.count = scene, burst, random.Random(seed), START_US, 0
        self.settings = replace(
            SETTINGS, classes=(VIEW, POST), peers=routers, cold_share=0.17, overload_factor=4.0, warm_after_us=WARM_US
        )
        self.strength = 1.5 * STRENGTH if scene == "takes over" else STRENGTH
        self.rate = 0.7 * GROUPS * MEMBERS * self.strength
        self.weights = [0.02 + self.random.random() ** 4 if uneven else 1.0 for _ in range(routers)]
        self.queue: list[tuple[int, int, int, Any]] = []
        self.open: dict[str, list[Any]] = {}  # class, group, when its client leaves, attempts
        self.free_us = [0.0] * GROUPS * MEMBERS
        self.out = [0] * GROUPS * MEMBERS
        self.cold: list[tuple[int, float]] = []
        self.routers: list[Router] = []
        for number in range(routers):
            self.routers.append(self.started(number))
            self.give(number, self.roster())
            news_us = BORN_US + self.random.randrange(300_000)
            young = scene == "all young" or scene == "half young" and number % 2
            self.later(news_us + (700_000 if young else 0), number, "begins" if young else "news")

    def started(self, number: int) -> Router:
        return Router(replace(self.settings, seed=self.random.randrange(2**40)))

    def roster(self) -> api.Roster:
        """Everything; the one that starts is there before where it comes back, hung till then."""
        born = self.now >= BORN_US
        known = [one for one in range(GROUPS * MEMBERS) if one != COLD or born or self.scene == "returns"]
        drains = {OLD: api.Listing.TERMINATING} if born and self.scene == "takes over" else {}
        entries = [
            member(one, one // MEMBERS, started_us=BORN_US * (born and one == COLD), listing=drains.get(one, READY))
            for one in known
        ]
        return api.Roster(api.RosterKind.WHOLE, tuple(entries))

    def later(self, at_us: float, number: int, event: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (round(at_us), self.count, number, event))

    def warmth(self, at_us: int) -> float:
        start, whole = self.settings.cold_share, self.settings.warm_after_us
        return min(1.0, start + (1 - start) * max(0, at_us - BORN_US) / whole)

    def primary(self, group: int) -> int:
        if group or self.scene != "takes over" or self.now < BORN_US:
            return group * MEMBERS
        return COLD if self.now >= FIT_US else -1

    def report(self, one: int) -> Report:
        if one == self.primary(one // MEMBERS):
            return Report(self.now, Role.PRIMARY)
        behind = one == COLD and self.scene in ("returns", "takes over") and self.now < FIT_US
        behind = behind or self.scene == "returns" and COLD < one < MEMBERS and self.now >= BORN_US - 3_000_000
        return Report(BORN_US - 3_000_000 if behind else self.now - 30_000, Role.REPLICA)

    def give(self, number: int, event: api.Event) -> None:
        for action in self.routers[number].handle(event, self.now):
            match action:
                case api.Send():
                    self.send(number, action)
                case api.Check():
                    up = action.member != COLD or self.now >= BORN_US
                    self.later(self.now + 2_000, number, (action, Outcome.SERVED if up else Outcome.NO_CONNECTION))
                    if action.member == COLD and up:
                        self.cold.append((self.now, 0.005))
                case api.SetTimer():
                    self.later(action.at_us, number, api.TimerFired(action.name))
                case api.Refuse() | api.Fail():
                    self.open.pop(action.request, None)

    def send(self, number: int, send: api.Send) -> None:
        name, _, leaves_us, _ = asked = self.open[send.request]
        asked[3] += 1
        one, outcome, waits_us = send.member, Outcome.SERVED, max(0.0, self.free_us[send.member] - self.now)
        if one == COLD and self.now < BORN_US:
            outcome, end_us = Outcome.NO_CONNECTION, self.now + 2_000.0
        elif name == "post" and one != self.primary(one // MEMBERS):
            outcome, end_us = Outcome.MISS, self.now + 2_000.0
        elif self.out[one] >= SLOTS:
            outcome, end_us = Outcome.FULL, self.now + 2_000.0
        else:
            takes_us = 1e6 * WORK[name] / self.strength / (self.warmth(self.now) if one == COLD else 1.0)
            self.free_us[one] = self.now + waits_us + takes_us
            end_us = self.free_us[one] + 3 * takes_us
            self.out[one] += 1
            self.later(end_us, one, "done")
        if one == COLD and self.now >= BORN_US:
            self.cold.append((self.now, WORK[name]))
        if end_us > leaves_us:
            outcome, end_us = Outcome.LATE, leaves_us
        self.later(end_us, number, (send, outcome, asked[3] - 1, self.now))

    def ended(self, number: int, send: api.Send, outcome: Outcome, attempt: int, sent_us: int) -> None:
        served = outcome is Outcome.SERVED
        report = self.report(send.member) if served or outcome is Outcome.MISS else None
        if served:
            self.open.pop(send.request, None)
        took_us = self.now - sent_us
        self.give(number, api.AttemptEnded(send.request, attempt, send.member, outcome, took_us, served, report))

    def play(self) -> "Ramp":
        next_us = self.now
        while self.now < END_US:
            times = self.burst if self.now >= FIT_US else 0.1 if self.scene == "joins" and self.now >= BORN_US else 1.0
            next_us += round(self.random.expovariate(self.rate * times) * 1e6)
            while self.queue and self.queue[0][0] <= next_us:
                self.now, _, number, event = heapq.heappop(self.queue)
                match event:
                    case "done":
                        self.out[number] -= 1
                    case "begins":
                        self.routers[number] = self.started(number)
                        self.give(number, self.roster())
                    case "news":
                        self.give(number, self.roster())
                    case (api.Check() as check, outcome):
                        report = self.report(check.member) if outcome is Outcome.SERVED else None
                        self.give(number, api.Checked(check.member, outcome, 2_000, report))
                    case (send, outcome, attempt, sent_us):
                        self.ended(number, send, outcome, attempt, sent_us)
                    case _:
                        self.give(number, event)
            self.now = next_us
            number = self.random.choices(range(len(self.routers)), self.weights)[0]
            rule, group = POST if self.random.random() < 0.15 else VIEW, self.random.randrange(GROUPS)
            self.count += 1
            self.open[str(self.count)] = [rule.name, group, self.now + rule.deadline_us, 0]
            self.give(number, api.Arrival(str(self.count), rule.name, group, rule.deadline_us))
        return self

    def allowed(self, at_us: int) -> float:
        """N: what the settings allow the server from a moment on, in the time that they name."""
        return self.settings.overload_factor * self.warmth(at_us) * self.strength * self.settings.fall_us / 1e6

    def over(self) -> float:
        """The most work in such a time, beyond N and in roots of N: over 2 and a little it falls."""
        times = [at_us for at_us, _ in self.cold]
        sums = [0.0, *accumulate(work for _, work in self.cold)]
        most = -9.0
        for first, at_us in enumerate(times):
            held = sums[bisect_left(times, at_us + self.settings.fall_us)] - sums[first]
            most = max(most, (held - 2 - self.allowed(at_us)) / sqrt(self.allowed(at_us)))
        return most

    def used(self) -> float:
        """What it was sent from the moment that it could serve, as a part of what it could do."""
        from_us = FIT_US if "young" not in self.scene else BORN_US
        could = self.strength * (END_US - from_us) / 1e6 * self.warmth((from_us + END_US) // 2)
        return sum(work for at_us, work in self.cold if at_us >= from_us) / could


# Of what the server can do. A router that has just started knows no rates and gives a cold server hardly anything.
LEAST_USED = {"joins": 0.1, "returns": 0.25, "takes over": 1.0, "half young": 0.02, "all young": 0.01}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("uneven", [False, True], ids=["equal", "unequal"])
@pytest.mark.parametrize("routers", [20, 30, 200])
@pytest.mark.parametrize("scene", LEAST_USED)
def test_the_fleet_keeps_to_what_a_cold_server_may_be_sent(scene: str, routers: int, uneven: bool, seed: int) -> None:
    day = Ramp(scene, routers, uneven, seed).play()
    assert day.over() <= 2
    assert day.used() >= LEAST_USED[scene]
