"""The gateway's own delays are not counted as its boxes' time, also after the process was stopped for a while."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from oatlink.core import messages as m
from oatlink.core.recording import Recorder, Recording, replay
from oatlink.gateway.clock import CLIENTS_PER_TURN, TurnClock, timeout_excluding_stalls
from oatlink.gateway.server import Gateway
from oatlink.protocols import resp
from oatlink.router_state import Group, RouterState
from oatlink.rules import dispatch
from oatlink.standins.box import WorkProfile
from tests.gateways import Served, Wire, record_inputs, served
from tests.scenes import scene
from tests.test_engine import KEY, PLAIN, SETTINGS, Rig, info, sent
from tests.test_operators import Site
from tests.test_recording import traced


def test_a_gateway_stopped_for_a_second_keeps_its_limits_and_primary_and_refuses_nothing(tmp_path: Path) -> None:
    more = (
        "{ name: 'w', freshness: 'write', effect: 'unsafe', aim_ms: 1700, deadline_ms: 5000 },"
        "{ name: 'l', freshness: 'latest', effect: 'idempotent', aim_ms: 1700, deadline_ms: 5000 }],\n  banks:"
    )

    async def test(site: Site) -> dict[str, dict[str, str]]:
        wires = [await Wire.open(site.port) for _ in range(24)]
        end = time.monotonic() + 3.0

        async def load(number: int) -> None:
            words = (("GET", "v:1"), ("SET", f"k{number}", 1), ("GET", f"k{number}"))[number % 3]
            while time.monotonic() < end:
                assert not isinstance(await wires[number].ask(*words), resp.Error)

        loads = [asyncio.ensure_future(load(number)) for number in range(len(wires))]
        await asyncio.sleep(0.7)
        loop = asyncio.get_running_loop()
        before = await loop.run_in_executor(None, site.status)
        site.gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        site.gateway.send_signal(signal.SIGCONT)
        await asyncio.gather(*loads)
        after = await loop.run_in_executor(None, site.status)
        assert after["stats"]["requests_refused"] == after["stats"]["requests_failed"] == "0"
        assert before["banks"] == after["banks"]  # primary and count of elections
        for name, row in after["members"].items():
            assert float(row["room"]) >= float(before["members"][name]["room"]), name
        return dict(after["members"])

    with contextlib.closing(Site(tmp_path)) as site:
        site.change(("aim_ms: 600", "aim_ms: 1700"), ("],\n  banks:", f", {more}"))
        site.restart()
        members = asyncio.run(test(site))
        assert members["box-0-0"]["role"] == "primary"


def test_roles_are_known_as_soon_as_a_gateway_is_ready(tmp_path: Path) -> None:
    with contextlib.closing(Site(tmp_path)) as site:
        assert {row["role"] for row in site.status()["members"].values()} == {"primary", "replica"}


def test_a_gateway_without_a_primary_is_ready_all_the_same(tmp_path: Path) -> None:
    with contextlib.closing(Site(tmp_path)) as site:
        site.change(("listen:", "ready_wait_ms: 200, listen:"))
        site.bank.terminate()
        site.bank.wait(5)
        site.restart()
        assert {row["role"] for row in site.status()["members"].values()} == {"unknown"}


@scene(served, 1)
async def test_an_answer_that_waited_in_the_process_does_not_count_as_the_boxs_time(harness: Served) -> None:
    """The event loop is kept busy after each answer has arrived; the measured time of the box must not grow by that."""
    ended = record_inputs(harness.gateway, m.Ended)
    wire = await harness.wire()
    loop = asyncio.get_running_loop()
    link = harness.gateway._links["box-0-0"]
    for _ in range(5):
        assert await wire.ask("SET", "a", 1) == resp.Simple(b"OK")
    connection = link._pools[2].open[0]
    handle = connection.stream._handle_events

    def busy(fd: object, events: int) -> None:
        loop.call_soon(time.sleep, 0.05)  # other work of this turn, before the answer is read
        handle(fd, events)

    max_idle_took_us = max(event.took_us for event in ended[1:])
    connection.stream._handle_events = busy  # type: ignore[method-assign]
    connection.stream.io_loop.remove_handler(connection.stream.fileno())
    connection.stream._state = None
    connection.stream._add_io_state(connection.stream.io_loop.READ)
    ended.clear()
    began = time.perf_counter()
    for _ in range(5):
        assert await wire.ask("SET", "a", 1) == resp.Simple(b"OK")
    assert time.perf_counter() - began > 0.2
    assert max(event.took_us for event in ended) < max_idle_took_us + 30_000, (ended, max_idle_took_us)


def test_replies_of_one_read_are_reported_before_pending_requests_are_dispatched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 0)))
    member = rig.engine._boxes["p"].member
    rig.engine.router.state.members[member].concurrency_limit = 2.0
    for number in range(3, 9):
        rig.give(m.Opened(number))
    for number in range(3, 9):
        rig.ask("SET", f"{{{PLAIN}}}{number}", 1, client=number)
    assert len(rig.sent) == 3  # two in flight, the rest pending
    first, second = rig.sent[1:]
    dispatched_with_more = []
    original_dispatch = dispatch.dispatch_pending

    def recorded_dispatch(state: RouterState, group: Group) -> None:
        dispatched_with_more.append(state.more_follow)
        original_dispatch(state, group)

    monkeypatch.setattr(dispatch, "dispatch_pending", recorded_dispatch)
    for send, more in ((first, True), (second, False)):
        rig.give(m.Ended(send.request, send.attempt, send.box, "reply", 500, rig.now, [b"+OK\r\n"], b"", more))
        assert len(rig.sent) == (3 if more else 5)
    assert dispatched_with_more.count(False) <= 2


def test_a_tick_replaces_announced_replies_that_do_not_come() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("GET", KEY)))
    rig.engine.router.state.members[rig.engine._boxes["p"].member].concurrency_limit = 1.0
    first = sent(rig.ask("SET", PLAIN, 1))
    assert rig.ask("SET", f"{{{PLAIN}}}2", 1, client=2) is None
    rig.give(m.Ended(first.request, first.attempt, first.box, "reply", 500, rig.now, [b"+OK\r\n"], b"", True))
    before = len(rig.sent)
    rig.give(m.Ticked())
    assert len(rig.sent) == before + 1


def test_after_a_gap_in_the_clock_no_read_relies_on_reports_from_before_it() -> None:
    recorder = Recorder("test", SETTINGS, 1_000_000_000)
    with traced(recorder) as parts:
        rig = Rig()
        for _ in range(3):
            rig.end(sent(rig.ask("GET", KEY)), [b"$-1\r\n"])
            rig.pass_us(1_000)
        assert rig.sent[-1].box in ("r", "s")
        # The replicas report the same as before; the primary has written since, which this gateway has not seen.
        rig.says["p"] = info("primary", 300, run="p")
        rig.give(m.ClockStalled())
        before = len(rig.sent)
        rig.ask("GET", KEY)
        rig.pass_us(100_000)
        assert {send.box for send in rig.sent[before:]} == {"p"}
        assert {member.age_ms for member in rig.engine.box_statuses() if member.name in ("r", "s")} == {-1}
    recording = Recording(b"".join(parts))
    assert replay(recording.header, recording.entries()).differences == 0


def test_a_turn_admits_a_limited_number_of_clients_in_order() -> None:
    async def test() -> None:
        turn_clock, order, turns = TurnClock(), list[int](), list[int]()

        async def client(number: int) -> None:
            await turn_clock.admit_client()
            order.append(number)
            turns.append(turn_clock._admitted_count)

        await asyncio.gather(*[client(number) for number in range(3 * CLIENTS_PER_TURN + 5)])
        assert order == list(range(3 * CLIENTS_PER_TURN + 5)) and max(turns) == CLIENTS_PER_TURN
        leaving = asyncio.ensure_future(asyncio.gather(*[client(number) for number in range(2 * CLIENTS_PER_TURN)]))
        await asyncio.sleep(0)
        leaving.cancel()  # clients that leave while they wait do not delay others
        await asyncio.sleep(0.01)
        assert turn_clock.waiting_count == 0

    asyncio.run(test())


def test_a_time_limit_is_extended_once_by_the_time_for_which_the_process_stood_still() -> None:
    async def test() -> None:
        async with timeout_excluding_stalls(0.05):
            time.sleep(0.2)  # noqa: ASYNC251 - the process stands still
            await asyncio.sleep(0.02)
        with pytest.raises(TimeoutError):
            async with timeout_excluding_stalls(0.05):
                time.sleep(0.1)  # noqa: ASYNC251
                await asyncio.sleep(0.5)
        with pytest.raises(TimeoutError):
            async with timeout_excluding_stalls(0.02):
                await asyncio.sleep(1)

    asyncio.run(test())


def before_each_command(gateway: Gateway, callback: Callable[[m.CommandReceived], None]) -> None:
    """Call a function in the gateway's process before the engine handles each command."""
    handle = gateway.engine.handle

    def handle_after_callback(given: m.AnyInput, now_us: int) -> list[m.AnyEffect]:
        if isinstance(given, m.CommandReceived):
            callback(given)
        return handle(given, now_us)

    gateway.engine.handle = handle_after_callback  # type: ignore[method-assign]


@scene(served, 3)
async def test_a_pipeline_is_not_late_by_its_own_length(harness: Served) -> None:
    late_us: list[int] = []

    def handle_slowly(command: m.CommandReceived) -> None:
        late_us.append(max(command.late_us, command.waited_us))
        time.sleep(0.004)

    before_each_command(harness.gateway, handle_slowly)
    wire = await harness.wire()
    wire.writer.write(resp.command("GET", "k") * 64)
    for _ in range(64):
        await wire.reply()
    # Each command takes 4 ms. The last one would be 250 ms late if the client's own earlier commands were counted.
    assert len(late_us) == 64 and max(late_us) < 100_000


@scene(served, 3)
async def test_a_client_whose_commands_are_answered_at_once_takes_turns_with_others(harness: Served) -> None:
    client_numbers: list[int] = []
    before_each_command(harness.gateway, lambda command: client_numbers.append(command.client))
    first, second = await harness.wire(), await harness.wire()
    # Thousands of PINGs in one read never fill the pipeline; one client once occupied the event loop for all of them.
    first.writer.write(resp.command("PING") * 4_000)
    await asyncio.sleep(0)
    second.writer.write(resp.command("PING") * 640)
    for _ in range(640):
        await second.reply()
    for _ in range(4_000):
        await first.reply()
    changes = sum(before != after for before, after in zip(client_numbers, client_numbers[1:], strict=False))
    assert len(client_numbers) == 4_640 and changes >= 10


@scene(served, 1, work=WorkProfile(read_us=150_000, cores=256))
async def test_commands_that_the_stream_read_ahead_are_not_late(harness: Served) -> None:
    late_us: list[int] = []
    before_each_command(harness.gateway, lambda command: late_us.append(max(command.late_us, command.waited_us)))
    wire = await harness.wire()
    wire.writer.write(resp.command("GET", "k") * 64)
    await asyncio.sleep(0.03)
    # The pipeline is full and no command of the client is read, but the stream buffers what arrives.
    wire.writer.write(resp.command("GET", "k") * 64)
    for _ in range(128):
        await wire.reply()
    assert len(late_us) == 128 and max(late_us) < 70_000, max(late_us)
