"""Overload of the gateway itself: what is refused, when to come back, and that nothing of it stays after the flood."""

import random
import time
from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.core import messages as m
from oatlink.core.overload import LONGEST_US, Admission
from oatlink.protocols import resp
from oatlink.settings.model import RequestClass
from tests.gateways import Served, record_inputs, served
from tests.scenes import scene
from tests.test_engine import KEY, PLAIN, SETTINGS, Rig, sent

VIEW = RequestClass("view", "bounded", "idempotent", 600, 2_000, worth=1.0, staleness_ms=500)
POST = RequestClass("post", "write", "keyed", 1_000, 3_000, worth=6.0, late_worth=0.3, repeat_window_ms=2_000)
TARGET_US = 90_000

LEAST = 16


@dataclass
class Process:
    """A gateway process as a queue: a served command takes `cost_us`, a refused one a fifth of it."""

    cost_us: int = 250
    admission: Admission = field(default_factory=lambda: Admission(1, TARGET_US, LEAST))
    now: int = 1_000_000_000
    served: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    waits: list[int] = field(default_factory=list)

    def play(self, clients: dict[str, tuple[RequestClass, int]], seconds: float) -> None:
        """Closed loops: each party's connections ask again at once when served, when refused as they are told."""
        rng = random.Random(4)
        end = self.now + round(seconds * 1e6)
        due: list[tuple[int, int, str]] = []
        number = 0
        for party, (_, count) in clients.items():
            for _ in range(count):
                number += 1
                heappush(due, (self.now + rng.randrange(10_000), number, party))
        self.served, self.refused, self.waits = {}, {}, []
        ready: deque[tuple[int, int, str]] = deque()
        while self.now < end:
            while due and due[0][0] <= self.now:
                ready.append(heappop(due))
            if not ready:
                self.now = due[0][0]
                continue
            came, number, party = ready.popleft()
            rule = clients[party][0]
            late = self.now - came
            back = self.admission.admit(self.now, late, rule, party, len(ready))
            counts = self.refused if back else self.served
            counts[party] = counts.get(party, 0) + 1
            self.now += self.cost_us // 5 if back else self.cost_us
            if not back:
                self.waits.append(late)
            # One that does not listen asks again at once, and is not read from before.
            heappush(due, (self.now + back, number, party))


def test_nothing_is_refused_where_nothing_waits() -> None:
    one = Process()
    one.play({f"c{number}": (VIEW, 1) for number in range(32)}, 3)
    assert not one.refused and sum(one.served.values()) > 11_900


def test_a_crowd_that_listens_is_served_at_nearly_full_speed_and_in_time() -> None:
    one = Process()
    one.play({f"c{number}": (VIEW, 1) for number in range(2_000)}, 6)
    one.play({f"c{number}": (VIEW, 1) for number in range(2_000)}, 4)
    assert sum(one.served.values()) > 0.8 * 16_000
    waits = sorted(one.waits)
    assert waits[len(waits) // 2] < 2 * TARGET_US and waits[len(waits) * 99 // 100] < 400_000


def test_after_a_flood_everyone_is_let_in_again_within_two_seconds() -> None:
    one = Process()
    quiet = {f"c{number}": (VIEW, 1) for number in range(32)}
    one.play({**quiet, **{f"f{number}": (VIEW, 1) for number in range(3_000)}}, 6)
    assert sum(one.refused.values()) > 1_000
    one.play(quiet, 2)
    one.play(quiet, 1)
    assert not one.refused and sum(one.served.values()) > 3_900


def test_one_party_that_floods_keeps_nobody_else_out() -> None:
    one = Process()
    quiet = {f"c{number}": (VIEW, 4) for number in range(40)}
    flood = {**quiet, "flood": (VIEW, 3_000)}
    one.play(flood, 4)
    one.play(flood, 4)
    others = sum(one.served.get(name, 0) for name in quiet)
    kept_out = sum(one.refused.get(name, 0) for name in quiet)
    assert others > 0.4 * sum(one.served.values())
    assert kept_out < 0.2 * others and one.refused["flood"] > one.served.get("flood", 0)
    assert min(one.served.get(name, 0) for name in quiet) > 0.3 * others / len(quiet)


def test_a_process_that_stood_still_once_has_no_queue() -> None:
    one = Admission(1, TARGET_US, LEAST)
    for number in range(200):
        assert one.admit(1_000_000 + 100 * number, 500_000, VIEW, "c", number) == 0
    one.admit(1_100_000, 0, VIEW, "c", 0)
    before = one.limit
    for number in range(200):  # but a queue that stays is one
        one.admit(1_200_000 + 1_000 * number, 500_000, VIEW, "c", number)
    assert before > 1_000 > one.limit


def test_what_earns_more_is_refused_later() -> None:
    one = Process()
    both = {f"{kind}{n}": (rule, 1) for n in range(600) for kind, rule in (("v", VIEW), ("p", POST))}
    one.play(both, 4)
    one.play(both, 4)
    shares = {}
    for kind in "vp":
        served = sum(count for name, count in one.served.items() if name[0] == kind)
        refused = sum(count for name, count in one.refused.items() if name[0] == kind)
        shares[kind] = served / (served + refused)
    assert shares["p"] > shares["v"]


@given(st.lists(st.tuples(st.integers(0, 400_000), st.integers(0, 900_000), st.integers(0, 5_000), st.integers(0, 9))))
def test_its_state_stays_in_bounds_and_replays(steps: list[tuple[int, int, int, int]]) -> None:
    one, other = Admission(7, TARGET_US, LEAST), Admission(7, TARGET_US, LEAST)
    now = 0
    for passed, late, open_now, party in steps:
        now += passed
        back = one.admit(now, late, VIEW, f"p{party}", open_now)
        assert back == other.admit(now, late, VIEW, f"p{party}", open_now)
        assert 0 <= back <= 1.5 * LONGEST_US and one.limit >= LEAST and one.had >= 0
        assert late <= VIEW.aim_ms * 1_000 or back
    assert len(one.parties) <= 10


def test_a_refused_command_leaves_nothing_and_says_when_to_come_back() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 1)))
    rig.text()
    rig.give(_late(PLAIN, 9_000_000))
    assert rig.text().startswith(b"-TRYAGAIN refused, nothing was run; retry after ")
    assert rig.engine.counts["shed"] == 1 and not rig.engine._requests and not rig.paused


def test_a_connection_is_paused_longer_each_time_and_for_what_came_too_late_not_at_all() -> None:
    """The failure: what came during a pause was too late by it, was refused, and paused the connection again."""
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 1)))
    admission = rig.engine._admission
    admission.limit, admission.back_us = 0.0, 4_000_000.0
    pauses = []
    for _ in range(4):
        admission.look_us = rig.now  # the limit stays
        rig.give(_late(KEY, 200_000))
        pauses.append(rig.paused[1] - rig.now)
    assert pauses == [150_000, 300_000, 600_000, 1_000_000]
    rig.paused.clear()
    rig.give(m.CommandReceived(1, [b"GET", KEY.encode()], 0, 0, 900_000))
    assert rig.engine.counts["shed"] == 5 and not rig.paused
    rig.give(m.CommandReceived(1, [b"GET", KEY.encode()], 0, 0, 100_000))  # hardly waited for the process: let in
    assert len(rig.engine._requests) == 1 and rig.engine.sessions[1].shed_in_a_row == 0


def test_a_clients_time_runs_while_its_command_waits_for_the_process() -> None:
    rig = Rig()
    rig.ask("GET", KEY, client=2)
    rig.give(_late(KEY, 500_000))
    ask = next(one for one in rig.engine._requests.values() if one.client == 1)
    assert ask.arrived_us == rig.now - 500_000
    assert min(when for when, _ in rig.engine._deadlines) < rig.now + 1_500_000


def test_one_that_came_before_its_time_is_owed_an_answer_within_its_own() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 1)))
    rig.give(m.CommandReceived(1, [b"GET", KEY.encode()], 0, 0, 500_000))
    assert next(iter(rig.engine._requests.values())).arrived_us == rig.now - 500_000
    rig.give(m.CommandReceived(2, [b"GET", KEY.encode()], 0, 0, 700_000))  # past its aim, and late is worth nothing
    assert rig.text(2).startswith(b"-TRYAGAIN")


@scene(served, 1)
async def test_a_refused_client_that_asks_at_once_has_its_answer_within_its_deadline(one: Served) -> None:
    """On sockets: the gateway refuses all for a while; a client that does not listen is still answered in time."""
    wire = await one.wire()
    assert await wire.ask("SET", "a", 1) == resp.Simple(b"OK")
    admission = one.gateway.engine._admission
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Admission, "admit", lambda *_: 4_000_000)
        for _ in range(3):
            began = time.monotonic()
            assert isinstance(await wire.ask("GET", "a"), resp.Error)
            assert time.monotonic() - began < 1.5  # price-check's deadline, the shortest
    asked = record_inputs(one.gateway, m.CommandReceived)
    assert not isinstance(await wire.ask("SET", "a", 2), resp.Error)
    assert 400_000 < asked[0].waited_us < 900_000 and admission.limit > 0


def _late(key: str, late_us: int) -> m.CommandReceived:
    return m.CommandReceived(1, [b"GET", key.encode()], late_us)


@pytest.mark.parametrize("classes", [(), SETTINGS.classes])
def test_it_is_made_for_any_classes(classes: tuple[RequestClass, ...]) -> None:
    settings = msgspec.structs.replace(SETTINGS, classes=classes)
    assert Rig(settings).engine._admission.target_us > 0


def test_a_lone_client_on_a_slow_machine_is_never_refused_for_its_own_pipeline() -> None:
    # Threat: the machine gives this process no time for 200 ms, again and again; the one client has its 64 out.
    one, now = Admission(3, TARGET_US, 64), 1_000_000
    for turn in range(200):
        now += 200_000
        for out in range(64):
            assert one.admit(now, 200_000, VIEW, "#1", out) == 0, (turn, out, one.limit)
