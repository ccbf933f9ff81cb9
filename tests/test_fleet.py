"""Many routers at once, without sockets, on one seeded clock: what they add up to at one member.

They share nothing and cannot talk; each sees its own part of the traffic, some several times the mean, some hardly any.
"""

import heapq
import random
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatlink import interface as api
from oatlink.interface import Outcome, Report, Role
from oatlink.rules import Router
from tests.conftest import POST, SETTINGS, START_US, VIEW, member

MEMBERS = 5  # a group
ANSWER_US = 80_000
CHECK_US = 2_000
COLD = 99  # the member that takes over as the primary of group 0
DRAIN_US = START_US + 4_000_000  # the old primary drains,
OVER_US = DRAIN_US + 2_000_000  # and the new one, started meanwhile, has taken over


class Fleet:
    """Routers before servers that answer everything, all news at its due time."""

    def __init__(self, seed: int, routers: int, groups: int, rate: float, uneven: bool) -> None:
        self.random = random.Random(seed)
        self.settings = replace(SETTINGS, classes=(VIEW, POST), peers=routers, cold_share=0.17, overload_factor=4.0)
        self.routers = [Router(replace(self.settings, seed=seed * 10_000 + one)) for one in range(routers)]
        self.groups, self.rate = groups, rate
        # Some routers have several times the mean, some hardly anything.
        self.weights = [self.random.random() ** 4 if uneven else 1.0 for _ in self.routers]
        self.now = START_US
        self.queue: list[tuple[int, int, int, Any]] = []
        self.count = 0
        self.open: dict[str, tuple[str, int]] = {}
        self.asked: Counter[tuple[str, bool]] = Counter()
        self.served: Counter[tuple[str, bool]] = Counter()
        self.tries: Counter[str] = Counter()
        self.cold_us: list[int] = []
        listed = tuple(member(MEMBERS * group + one, group) for group in range(groups) for one in range(MEMBERS))
        for number in range(routers):
            self.give(number, api.Start())
            self.give(number, api.Roster(api.RosterKind.WHOLE, listed))
        old, new = member(0, 0, listing=api.Listing.TERMINATING), member(COLD, 0, started_us=DRAIN_US)
        for number in range(routers):
            at_us = DRAIN_US + self.random.randrange(300_000)
            self.later(at_us, number, api.Roster(api.RosterKind.CHANGES, (old, new)))

    def later(self, at_us: int, number: int, event: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at_us, self.count, number, event))

    def primary(self, group: int) -> int:
        if group:
            return MEMBERS * group
        return 0 if self.now < DRAIN_US else COLD if self.now >= OVER_US else -1

    def report(self, number: int, group: int) -> Report:
        if number == self.primary(group):
            return Report(self.now, Role.PRIMARY)
        stands = DRAIN_US if group == 0 and DRAIN_US <= self.now < OVER_US else self.now - 30_000
        return Report(stands, Role.REPLICA)

    def give(self, number: int, event: Any) -> None:
        for action in self.routers[number].handle(event, self.now):
            match action:
                case api.Send():
                    self.send(number, action)
                case api.Check():
                    self.later(self.now + CHECK_US, number, action)
                case api.SetTimer():
                    self.later(action.at_us, number, api.TimerFired(action.name))
                case api.Refuse() | api.Fail():
                    self.open.pop(action.request)

    def send(self, number: int, action: api.Send) -> None:
        if action.member == COLD:
            self.cold_us.append(self.now)
        self.tries[action.request] += 1
        self.later(self.now + ANSWER_US, number, (action, self.tries[action.request] - 1))

    def answer(self, number: int, send: api.Send, attempt: int) -> None:
        name, group = self.open.get(send.request, ("view", 0))
        missed = name == "post" and send.member != self.primary(group)
        if not missed and send.request in self.open:
            del self.open[send.request]
            self.served[name, group == 0 and self.now > OVER_US] += 1
        outcome = Outcome.MISS if missed else Outcome.SERVED
        self.give(
            number,
            api.AttemptEnded(
                send.request, attempt, send.member, outcome, ANSWER_US, not missed, self.report(send.member, group)
            ),
        )

    def arrive(self) -> None:
        number = self.random.choices(range(len(self.routers)), self.weights)[0]
        rule = POST if self.random.random() < 0.15 else VIEW
        group = self.random.randrange(self.groups)
        self.count += 1
        self.open[str(self.count)] = (rule.name, group)
        self.asked[rule.name, group == 0 and self.now > OVER_US] += 1
        self.give(number, api.Arrival(str(self.count), rule.name, group, rule.deadline_us))

    def play(self, seconds: float) -> "Fleet":
        end_us = START_US + round(seconds * 1e6)
        next_us = self.now
        while self.now < end_us:
            next_us += round(self.random.expovariate(self.rate) * 1e6)
            while self.queue and self.queue[0][0] <= next_us:
                self.now, _, number, event = heapq.heappop(self.queue)
                match event:
                    case api.Check():
                        group = 0 if event.member == COLD else event.member // MEMBERS
                        report = self.report(event.member, group)
                        self.give(number, api.Checked(event.member, Outcome.SERVED, CHECK_US, report))
                    case (api.Send() as send, attempt):
                        self.answer(number, send, attempt)
                    case _:
                        self.give(number, event)
            self.now = next_us
            self.arrive()
        return self

    def most_of_bound(self) -> float:
        """The most sent to the cold member in a window, as a part of what pushes it over."""
        capacity = self.rate / (self.groups * MEMBERS) / 0.7  # a second; the members are loaded to 0.7
        window_us, most = self.settings.fall_us, 0.0
        for at_us in self.cold_us:
            held = sum(at_us <= one < at_us + window_us for one in self.cold_us)
            age = (at_us - DRAIN_US) / self.settings.warm_after_us
            warmth = min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * age)
            most = max(most, held / (self.settings.overload_factor * warmth * capacity * window_us / 1e6))
        return most


@pytest.mark.parametrize("uneven", [False, True])
def test_what_only_a_cold_primary_takes_is_served_though_each_router_has_little(uneven: bool) -> None:
    """Found on days of the fleet: tokens lay with routers without requests, and writes waited for one in vain."""
    fleet = Fleet(seed=3, routers=200, groups=12, rate=400.0, uneven=uneven).play(12)
    assert fleet.asked["post", True] > 20
    assert fleet.served["post", True] > 0.75 * fleet.asked["post", True]
    assert fleet.most_of_bound() < 1.0


@settings(max_examples=6)
@given(seed=st.integers(0, 1_000), routers=st.sampled_from([3, 5, 40, 150]), uneven=st.booleans())
def test_more_routers_or_unequal_ones_never_add_up_to_too_much(seed: int, routers: int, uneven: bool) -> None:
    fleet = Fleet(seed, routers, groups=4, rate=200.0, uneven=uneven).play(10)
    assert fleet.cold_us
    assert fleet.most_of_bound() < 1.0
