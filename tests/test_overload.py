"""Overload of the gateway process: what is refused, when to retry, and that no limit remains after a flood."""

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
from oatlink.core.overload import MAX_RETRY_US, Admission
from oatlink.protocols import resp
from oatlink.settings.model import RequestClass
from tests.gateways import Served, record_inputs, served
from tests.scenes import scene
from tests.test_engine import KEY, PLAIN, SETTINGS, Rig, sent

VIEW = RequestClass("view", "bounded", "idempotent", 600, 2_000, worth=1.0, staleness_ms=500)
POST = RequestClass("post", "write", "keyed", 1_000, 3_000, worth=6.0, late_worth=0.3, repeat_window_ms=2_000)
TARGET_US = 90_000
CLIENT_LIMIT = 16


@dataclass
class Process:
    """A gateway process as a queue: a served command takes `cost_us`, a refused one a fifth of it."""

    cost_us: int = 250
    admission: Admission = field(default_factory=lambda: Admission(1, TARGET_US, CLIENT_LIMIT))
    now_us: int = 1_000_000_000
    served: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    waits: list[int] = field(default_factory=list)

    def play(self, clients: dict[str, tuple[RequestClass, int]], seconds: float) -> None:
        """Run closed loops: a connection sends again at once after an answer, and at the named time after a refusal."""
        rng = random.Random(4)
        end_us = self.now_us + round(seconds * 1e6)
        due: list[tuple[int, int, str]] = []
        number = 0
        for party, (_, count) in clients.items():
            for _ in range(count):
                number += 1
                heappush(due, (self.now_us + rng.randrange(10_000), number, party))
        self.served, self.refused, self.waits = {}, {}, []
        ready: deque[tuple[int, int, str]] = deque()
        while self.now_us < end_us:
            while due and due[0][0] <= self.now_us:
                ready.append(heappop(due))
            if not ready:
                self.now_us = due[0][0]
                continue
            arrived_us, number, party = ready.popleft()
            rule = clients[party][0]
            late_us = self.now_us - arrived_us
            retry_after_us = self.admission.admit(self.now_us, late_us, rule, party, len(ready))
            counts = self.refused if retry_after_us else self.served
            counts[party] = counts.get(party, 0) + 1
            self.now_us += self.cost_us // 5 if retry_after_us else self.cost_us
            if not retry_after_us:
                self.waits.append(late_us)
            # A client that ignores the time sends again at once, but is not read before that time.
            heappush(due, (self.now_us + retry_after_us, number, party))


def test_nothing_is_refused_where_nothing_waits() -> None:
    process = Process()
    process.play({f"c{number}": (VIEW, 1) for number in range(32)}, 3)
    assert not process.refused and sum(process.served.values()) > 11_900


def test_many_clients_that_obey_retry_times_are_served_at_nearly_full_speed_and_in_time() -> None:
    process = Process()
    process.play({f"c{number}": (VIEW, 1) for number in range(2_000)}, 6)
    process.play({f"c{number}": (VIEW, 1) for number in range(2_000)}, 4)
    assert sum(process.served.values()) > 0.8 * 16_000
    waits = sorted(process.waits)
    assert waits[len(waits) // 2] < 2 * TARGET_US and waits[len(waits) * 99 // 100] < 400_000


def test_after_a_flood_every_command_is_admitted_again_within_two_seconds() -> None:
    process = Process()
    quiet = {f"c{number}": (VIEW, 1) for number in range(32)}
    process.play({**quiet, **{f"f{number}": (VIEW, 1) for number in range(3_000)}}, 6)
    assert sum(process.refused.values()) > 1_000
    process.play(quiet, 2)
    process.play(quiet, 1)
    assert not process.refused and sum(process.served.values()) > 3_900


def test_one_party_that_floods_keeps_nobody_else_out() -> None:
    process = Process()
    quiet = {f"c{number}": (VIEW, 4) for number in range(40)}
    flood = {**quiet, "flood": (VIEW, 3_000)}
    process.play(flood, 4)
    process.play(flood, 4)
    others = sum(process.served.get(name, 0) for name in quiet)
    refused = sum(process.refused.get(name, 0) for name in quiet)
    assert others > 0.4 * sum(process.served.values())
    assert refused < 0.2 * others and process.refused["flood"] > process.served.get("flood", 0)
    assert min(process.served.get(name, 0) for name in quiet) > 0.3 * others / len(quiet)


def test_a_process_that_stood_still_once_has_no_queue() -> None:
    admission = Admission(1, TARGET_US, CLIENT_LIMIT)
    for number in range(200):
        assert admission.admit(1_000_000 + 100 * number, 500_000, VIEW, "c", number) == 0
    admission.admit(1_100_000, 0, VIEW, "c", 0)
    limit_before = admission.limit
    for number in range(200):  # a queue that persists does lower the limit
        admission.admit(1_200_000 + 1_000 * number, 500_000, VIEW, "c", number)
    assert limit_before > 1_000 > admission.limit


def test_classes_of_higher_worth_are_refused_later() -> None:
    process = Process()
    both = {f"{kind}{n}": (rule, 1) for n in range(600) for kind, rule in (("v", VIEW), ("p", POST))}
    process.play(both, 4)
    process.play(both, 4)
    shares = {}
    for kind in "vp":
        served = sum(count for name, count in process.served.items() if name[0] == kind)
        refused = sum(count for name, count in process.refused.items() if name[0] == kind)
        shares[kind] = served / (served + refused)
    assert shares["p"] > shares["v"]


@given(st.lists(st.tuples(st.integers(0, 400_000), st.integers(0, 900_000), st.integers(0, 5_000), st.integers(0, 9))))
def test_its_state_stays_in_bounds_and_replays(steps: list[tuple[int, int, int, int]]) -> None:
    admission, copy = Admission(7, TARGET_US, CLIENT_LIMIT), Admission(7, TARGET_US, CLIENT_LIMIT)
    now = 0
    for passed, late, open_now, party in steps:
        now += passed
        back = admission.admit(now, late, VIEW, f"p{party}", open_now)
        assert back == copy.admit(now, late, VIEW, f"p{party}", open_now)
        assert 0 <= back <= 1.5 * MAX_RETRY_US and admission.limit >= CLIENT_LIMIT and admission.total_usage >= 0
        assert late <= VIEW.aim_ms * 1_000 or back
    assert len(admission.parties) <= 10


def test_a_refused_command_leaves_no_state_and_names_a_time_to_retry() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 1)))
    rig.text()
    rig.give(_late(PLAIN, 9_000_000))
    assert rig.text().startswith(b"-TRYAGAIN refused, nothing was run; retry after ")
    assert rig.engine.counts["shed"] == 1 and not rig.engine._requests and not rig.paused


def test_a_connection_is_paused_longer_each_time_but_not_for_commands_that_are_too_late() -> None:
    """Guards against commands that arrive during a pause, become too late by it and pause the connection again."""
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 1)))
    admission = rig.engine._admission
    admission.limit, admission.retry_after_us = 0.0, 4_000_000.0
    pauses = []
    for _ in range(4):
        admission.updated_us = rig.now  # prevents an update of the limit
        rig.give(_late(KEY, 200_000))
        pauses.append(rig.paused[1] - rig.now)
    assert pauses == [150_000, 300_000, 600_000, 1_000_000]
    rig.paused.clear()
    rig.give(m.CommandReceived(1, [b"GET", KEY.encode()], 0, 0, 900_000))
    assert rig.engine.counts["shed"] == 5 and not rig.paused
    rig.give(
        m.CommandReceived(1, [b"GET", KEY.encode()], 0, 0, 100_000)
    )  # it is admitted, because it hardly waited for the process
    assert len(rig.engine._requests) == 1 and rig.engine.sessions[1].shed_in_a_row == 0


def test_a_clients_time_runs_while_its_command_waits_for_the_process() -> None:
    rig = Rig()
    rig.ask("GET", KEY, client=2)
    rig.give(_late(KEY, 500_000))
    ask = next(ask for ask in rig.engine._requests.values() if ask.client == 1)
    assert ask.arrived_us == rig.now - 500_000
    assert min(when for when, _ in rig.engine._deadlines) < rig.now + 1_500_000


def test_the_time_of_a_command_begins_when_it_arrived_and_not_when_it_was_read() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 1)))
    rig.give(m.CommandReceived(1, [b"GET", KEY.encode()], 0, 0, 500_000))
    assert next(iter(rig.engine._requests.values())).arrived_us == rig.now - 500_000
    rig.give(
        m.CommandReceived(2, [b"GET", KEY.encode()], 0, 0, 700_000)
    )  # the command is past its aim, and a late answer has no worth
    assert rig.text(2).startswith(b"-TRYAGAIN")


@scene(served, 1)
async def test_a_refused_client_that_asks_at_once_has_its_answer_within_its_deadline(world: Served) -> None:
    """On sockets: after a gateway has refused everything, a client that ignores retry times is answered in time."""
    wire = await world.wire()
    assert await wire.ask("SET", "a", 1) == resp.Simple(b"OK")
    admission = world.gateway.engine._admission
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Admission, "admit", lambda *_: 4_000_000)
        for _ in range(3):
            began = time.monotonic()
            assert isinstance(await wire.ask("GET", "a"), resp.Error)
            assert time.monotonic() - began < 1.5  # the shortest deadline, that of price-check
    inputs = record_inputs(world.gateway, m.CommandReceived)
    assert not isinstance(await wire.ask("SET", "a", 2), resp.Error)
    assert 400_000 < inputs[0].waited_us < 900_000 and admission.limit > 0


def _late(key: str, late_us: int) -> m.CommandReceived:
    return m.CommandReceived(1, [b"GET", key.encode()], late_us)


@pytest.mark.parametrize("classes", [(), SETTINGS.classes])
def test_it_is_made_for_any_classes(classes: tuple[RequestClass, ...]) -> None:
    settings = msgspec.structs.replace(SETTINGS, classes=classes)
    assert Rig(settings).engine._admission.target_us > 0


def test_a_lone_client_on_a_slow_machine_is_never_refused_for_its_own_pipeline() -> None:
    # The machine repeatedly gives this process no CPU time for 200 ms, while its only client has 64 commands open.
    admission, now = Admission(3, TARGET_US, 64), 1_000_000
    for step in range(200):
        now += 200_000
        for open_count in range(64):
            assert admission.admit(now, 200_000, VIEW, "#1", open_count) == 0, (step, open_count, admission.limit)
