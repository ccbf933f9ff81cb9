"""Compares what a whole fleet sends to a server that has just started with what the settings allow.

Simulates one router for each gateway, and servers of limited capacity whose requests differ in work, on one seeded
clock.
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
# Requests of mean work per second that a warm server with four cores serves; 1.5 times as many in the scenario
# "takes over".
CAPACITY_PER_S = 30.0
WORK = {"view": 0.88, "post": 1.68}  # relative to the mean, with 15% posts
MAX_OPEN_COUNT = 54  # requests executed or queued at a server; it refuses any further one
READY = api.Listing.READY
OLD, COLD = 0, 1  # the primary of group 0, and the server that starts
COLD_START_US = START_US + 12_000_000
SERVES_US = COLD_START_US + 4_000_000  # when the started server has caught up or takes over
WARM_US = 17_000_000
END_US = COLD_START_US + 8_000_000


class ColdStartSimulation:
    """Simulates load, a server that starts, and a burst once it can serve.

    Scenarios: the server joins while load is low ("joins"); comes back with a position as old as all other replicas'
    ("returns"); takes over as the primary ("takes over"); or joins while every second router ("half young") or every
    router ("all young") starts too.
    """

    def __init__(self, scenario: str, routers: int, uneven: bool, seed: int, burst: float = 2.0) -> None:
        self.scenario, self.burst, self.random, self.now, self.count = scenario, burst, random.Random(seed), START_US, 0
        self.settings = replace(
            SETTINGS, classes=(VIEW, POST), peers=routers, cold_share=0.17, overload_factor=4.0, warm_after_us=WARM_US
        )
        self.capacity_per_s = 1.5 * CAPACITY_PER_S if scenario == "takes over" else CAPACITY_PER_S
        self.rate = 0.7 * GROUPS * MEMBERS * self.capacity_per_s
        self.weights = [0.02 + self.random.random() ** 4 if uneven else 1.0 for _ in range(routers)]
        self.events: list[tuple[int, int, int, Any]] = []
        self.open: dict[str, list[Any]] = {}  # by request: class, group, time at which its client leaves, attempts
        self.idle_at_us = [0.0] * GROUPS * MEMBERS
        self.open_counts = [0] * GROUPS * MEMBERS
        self.cold_work: list[tuple[int, float]] = []
        self.routers: list[Router] = []
        for number in range(routers):
            self.routers.append(self.new_router(number))
            self.handle(number, self.roster())
            roster_us = COLD_START_US + self.random.randrange(300_000)
            starts_late = scenario == "all young" or scenario == "half young" and number % 2
            self.schedule(roster_us + (700_000 if starts_late else 0), number, "start" if starts_late else "roster")

    def new_router(self, number: int) -> Router:
        return Router(replace(self.settings, seed=self.random.randrange(2**40)))

    def roster(self) -> api.Roster:
        """The whole roster; in "returns" the server that starts was listed before and did not answer."""
        has_started = self.now >= COLD_START_US
        listed = [
            number for number in range(GROUPS * MEMBERS) if number != COLD or has_started or self.scenario == "returns"
        ]
        drains = {OLD: api.Listing.TERMINATING} if has_started and self.scenario == "takes over" else {}
        entries = [
            member(
                number,
                number // MEMBERS,
                started_us=COLD_START_US * (has_started and number == COLD),
                listing=drains.get(number, READY),
            )
            for number in listed
        ]
        return api.Roster(api.RosterKind.WHOLE, tuple(entries))

    def schedule(self, at_us: float, number: int, event: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (round(at_us), self.count, number, event))

    def warmth(self, at_us: int) -> float:
        """The share of its full capacity that the started server has at a time."""
        cold_share, warm_after_us = self.settings.cold_share, self.settings.warm_after_us
        return min(1.0, cold_share + (1 - cold_share) * max(0, at_us - COLD_START_US) / warm_after_us)

    def primary(self, group: int) -> int:
        if group or self.scenario != "takes over" or self.now < COLD_START_US:
            return group * MEMBERS
        return COLD if self.now >= SERVES_US else -1

    def report(self, server: int) -> Report:
        if server == self.primary(server // MEMBERS):
            return Report(self.now, Role.PRIMARY)
        is_catching_up = server == COLD and self.scenario in ("returns", "takes over") and self.now < SERVES_US
        is_stuck = self.scenario == "returns" and COLD < server < MEMBERS and self.now >= COLD_START_US - 3_000_000
        return Report(COLD_START_US - 3_000_000 if is_catching_up or is_stuck else self.now - 30_000, Role.REPLICA)

    def handle(self, number: int, event: api.Event) -> None:
        for action in self.routers[number].handle(event, self.now):
            match action:
                case api.Send():
                    self.send(number, action)
                case api.Check():
                    is_up = action.member != COLD or self.now >= COLD_START_US
                    self.schedule(
                        self.now + 2_000, number, (action, Outcome.SERVED if is_up else Outcome.NO_CONNECTION)
                    )
                    if action.member == COLD and is_up:
                        self.cold_work.append((self.now, 0.005))
                case api.SetTimer():
                    self.schedule(action.at_us, number, api.TimerFired(action.name))
                case api.Refuse() | api.Fail():
                    self.open.pop(action.request, None)

    def send(self, number: int, send: api.Send) -> None:
        class_name, _, leaves_us, _ = request = self.open[send.request]
        request[3] += 1
        server, outcome = send.member, Outcome.SERVED
        wait_us = max(0.0, self.idle_at_us[server] - self.now)
        if server == COLD and self.now < COLD_START_US:
            outcome, end_us = Outcome.NO_CONNECTION, self.now + 2_000.0
        elif class_name == "post" and server != self.primary(server // MEMBERS):
            outcome, end_us = Outcome.MISS, self.now + 2_000.0
        elif self.open_counts[server] >= MAX_OPEN_COUNT:
            outcome, end_us = Outcome.FULL, self.now + 2_000.0
        else:
            work_us = 1e6 * WORK[class_name] / self.capacity_per_s / (self.warmth(self.now) if server == COLD else 1.0)
            self.idle_at_us[server] = self.now + wait_us + work_us
            end_us = self.idle_at_us[server] + 3 * work_us
            self.open_counts[server] += 1
            self.schedule(end_us, server, "done")
        if server == COLD and self.now >= COLD_START_US:
            self.cold_work.append((self.now, WORK[class_name]))
        if end_us > leaves_us:
            outcome, end_us = Outcome.LATE, leaves_us
        self.schedule(end_us, number, (send, outcome, request[3] - 1, self.now))

    def ended(self, number: int, send: api.Send, outcome: Outcome, attempt: int, sent_us: int) -> None:
        is_served = outcome is Outcome.SERVED
        report = self.report(send.member) if is_served or outcome is Outcome.MISS else None
        if is_served:
            self.open.pop(send.request, None)
        duration_us = self.now - sent_us
        self.handle(
            number, api.AttemptEnded(send.request, attempt, send.member, outcome, duration_us, is_served, report)
        )

    def play(self) -> "ColdStartSimulation":
        next_us = self.now
        while self.now < END_US:
            is_lull = self.scenario == "joins" and self.now >= COLD_START_US
            load_factor = self.burst if self.now >= SERVES_US else 0.1 if is_lull else 1.0
            next_us += round(self.random.expovariate(self.rate * load_factor) * 1e6)
            while self.events and self.events[0][0] <= next_us:
                self.now, _, number, event = heapq.heappop(self.events)
                match event:
                    case "done":
                        self.open_counts[number] -= 1
                    case "start":
                        self.routers[number] = self.new_router(number)
                        self.handle(number, self.roster())
                    case "roster":
                        self.handle(number, self.roster())
                    case (api.Check() as check, outcome):
                        report = self.report(check.member) if outcome is Outcome.SERVED else None
                        self.handle(number, api.Checked(check.member, outcome, 2_000, report))
                    case (send, outcome, attempt, sent_us):
                        self.ended(number, send, outcome, attempt, sent_us)
                    case _:
                        self.handle(number, event)
            self.now = next_us
            number = self.random.choices(range(len(self.routers)), self.weights)[0]
            request_class, group = POST if self.random.random() < 0.15 else VIEW, self.random.randrange(GROUPS)
            self.count += 1
            self.open[str(self.count)] = [request_class.name, group, self.now + request_class.deadline_us, 0]
            self.handle(number, api.Arrival(str(self.count), request_class.name, group, request_class.deadline_us))
        return self

    def allowed(self, at_us: int) -> float:
        """N: the work that the settings allow the server in a window of `fall_us` from a time on."""
        return self.settings.overload_factor * self.warmth(at_us) * self.capacity_per_s * self.settings.fall_us / 1e6

    def max_excess(self) -> float:
        """The most work beyond N in a window, in units of the square root of N; the server fails at a little over 2."""
        times = [at_us for at_us, _ in self.cold_work]
        sums = [0.0, *accumulate(work for _, work in self.cold_work)]
        max_excess = -9.0
        for first, at_us in enumerate(times):
            work = sums[bisect_left(times, at_us + self.settings.fall_us)] - sums[first]
            max_excess = max(max_excess, (work - 2 - self.allowed(at_us)) / sqrt(self.allowed(at_us)))
        return max_excess

    def utilization(self) -> float:
        """The work sent to the started server since it could serve, as a share of its capacity."""
        from_us = SERVES_US if "young" not in self.scenario else COLD_START_US
        capacity = self.capacity_per_s * (END_US - from_us) / 1e6 * self.warmth((from_us + END_US) // 2)
        return sum(work for at_us, work in self.cold_work if at_us >= from_us) / capacity


# Least utilization of the started server. A router that has just started knows no rates and sends it hardly anything.
MIN_UTILIZATION = {"joins": 0.1, "returns": 0.25, "takes over": 1.0, "half young": 0.02, "all young": 0.01}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("uneven", [False, True], ids=["equal", "unequal"])
@pytest.mark.parametrize("routers", [20, 30, 200])
@pytest.mark.parametrize("scenario", MIN_UTILIZATION)
def test_the_fleet_neither_overloads_nor_avoids_a_cold_server(
    scenario: str, routers: int, uneven: bool, seed: int
) -> None:
    simulation = ColdStartSimulation(scenario, routers, uneven, seed).play()
    assert simulation.max_excess() <= 2
    assert simulation.utilization() >= MIN_UTILIZATION[scenario]
