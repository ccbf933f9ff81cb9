"""The gateway's own lateness is not its boxes': measured at the streams; a process that stood still blames nobody."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from oatlink.book import Book, Group
from oatlink.core import messages as m
from oatlink.core.recording import Recorder, Recording, replay
from oatlink.gateway.clock import CLIENTS_A_TURN, Marks, patience
from oatlink.gateway.server import Gateway
from oatlink.protocols import resp
from oatlink.rules import placing
from oatlink.standins.box import WorkProfile
from tests.gateways import Served, Wire, given_to, served
from tests.scenes import scene
from tests.test_engine import KEY, PLAIN, SETTINGS, Rig, info, sent
from tests.test_operators import Site
from tests.test_recording import traced


def test_a_gateway_stopped_for_a_second_cuts_no_room_loses_no_primary_and_refuses_nothing(tmp_path: Path) -> None:
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
async def test_an_answer_that_lay_in_the_process_does_not_count_as_the_boxs_time(one: Served) -> None:
    """The loop is kept busy after each answer has come; what boxes took must not grow by that."""
    ended = given_to(one.gateway, m.Ended)
    wire = await one.wire()
    loop = asyncio.get_running_loop()
    link = one.gateway._links["box-0-0"]
    for _ in range(5):
        assert await wire.ask("SET", "a", 1) == resp.Simple(b"OK")
    connection = link._pools[2].open[0]
    handle = connection.stream._handle_events

    def busy(fd: object, events: int) -> None:
        loop.call_soon(time.sleep, 0.05)  # what else this turn has to do, before the answer is looked at
        handle(fd, events)

    quick = max(each.took_us for each in ended[1:])
    connection.stream._handle_events = busy  # type: ignore[method-assign]
    connection.stream.io_loop.remove_handler(connection.stream.fileno())
    connection.stream._state = None
    connection.stream._add_io_state(connection.stream.io_loop.READ)
    ended.clear()
    began = time.perf_counter()
    for _ in range(5):
        assert await wire.ask("SET", "a", 1) == resp.Simple(b"OK")
    assert time.perf_counter() - began > 0.2
    assert max(each.took_us for each in ended) < quick + 30_000, (ended, quick)


def test_replies_of_one_read_are_told_before_what_is_held_is_placed(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", PLAIN, 0)))
    member = rig.engine._boxes["p"].member
    rig.engine.router.book.members[member].room = 2.0
    for number in range(3, 9):
        rig.give(m.Opened(number))
    for number in range(3, 9):
        rig.ask("SET", f"{{{PLAIN}}}{number}", 1, client=number)
    assert len(rig.sent) == 3  # two out, the rest held
    first, second = rig.sent[1:]
    pumped = []
    pump = placing.pump

    def noted(book: Book, group: Group) -> None:
        pumped.append(book.more)
        pump(book, group)

    monkeypatch.setattr(placing, "pump", noted)
    for send, more in ((first, True), (second, False)):
        rig.give(m.Ended(send.request, send.attempt, send.box, "reply", 500, rig.now, [b"+OK\r\n"], b"", more))
        assert len(rig.sent) == (3 if more else 5)
    assert pumped.count(False) <= 2


def test_announced_replies_that_do_not_come_are_settled_by_a_tick() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("GET", KEY)))
    rig.engine.router.book.members[rig.engine._boxes["p"].member].room = 1.0
    first = sent(rig.ask("SET", PLAIN, 1))
    assert rig.ask("SET", f"{{{PLAIN}}}2", 1, client=2) is None
    rig.give(m.Ended(first.request, first.attempt, first.box, "reply", 500, rig.now, [b"+OK\r\n"], b"", True))
    before = len(rig.sent)
    rig.give(m.Ticked())
    assert len(rig.sent) == before + 1


def test_after_a_gap_in_the_clock_no_read_goes_by_what_was_shown_before_it() -> None:
    recorder = Recorder("test", SETTINGS, 1_000_000_000)
    with traced(recorder) as parts:
        rig = Rig()
        for _ in range(3):
            rig.end(sent(rig.ask("GET", KEY)), [b"$-1\r\n"])
            rig.pass_us(1_000)
        assert rig.sent[-1].box in ("r", "s")
        # The replicas still say what they said before; the primary has written since, which nobody here saw.
        rig.says["p"] = info("primary", 300, run="p")
        rig.give(m.Gapped())
        before = len(rig.sent)
        rig.ask("GET", KEY)
        rig.pass_us(100_000)
        assert {one.box for one in rig.sent[before:]} == {"p"}
        assert {one.age_ms for one in rig.engine.verdicts() if one.name in ("r", "s")} == {-1}
    recording = Recording(b"".join(parts))
    assert replay(recording.header, recording.entries()).differences == 0


def test_a_turn_lets_in_so_many_clients_in_order() -> None:
    async def test() -> None:
        marks, order, turns = Marks(), list[int](), list[int]()

        async def client(number: int) -> None:
            await marks.let_in()
            order.append(number)
            turns.append(marks._let_in)

        await asyncio.gather(*[client(number) for number in range(3 * CLIENTS_A_TURN + 5)])
        assert order == list(range(3 * CLIENTS_A_TURN + 5)) and max(turns) == CLIENTS_A_TURN
        gone = asyncio.ensure_future(asyncio.gather(*[client(number) for number in range(2 * CLIENTS_A_TURN)]))
        await asyncio.sleep(0)
        gone.cancel()  # clients that leave while they wait hold nobody up
        await asyncio.sleep(0.01)
        assert marks.waiting == 0

    asyncio.run(test())


def test_time_for_which_the_process_stood_still_is_given_back_once() -> None:
    async def test() -> None:
        async with patience(0.05):
            time.sleep(0.2)  # noqa: ASYNC251 - the process stands still
            await asyncio.sleep(0.02)
        with pytest.raises(TimeoutError):
            async with patience(0.05):
                time.sleep(0.1)  # noqa: ASYNC251
                await asyncio.sleep(0.5)
        with pytest.raises(TimeoutError):
            async with patience(0.02):
                await asyncio.sleep(1)

    asyncio.run(test())


def at_each_command(gateway: Gateway, do: Callable[[m.Asked], None]) -> None:
    """Something to do in a gateway's process before the engine handles each command."""
    handle = gateway.engine.handle

    def handled(given: m.AnyInput, now_us: int) -> list[m.AnyEffect]:
        if isinstance(given, m.Asked):
            do(given)
        return handle(given, now_us)

    gateway.engine.handle = handled  # type: ignore[method-assign]


@scene(served, 3)
async def test_a_pipeline_is_not_late_by_its_own_length(one: Served) -> None:
    late: list[int] = []

    def slowly(given: m.Asked) -> None:
        late.append(max(given.late_us, given.waited_us))
        time.sleep(0.004)

    at_each_command(one.gateway, slowly)
    wire = await one.wire()
    wire.writer.write(resp.command("GET", "k") * 64)
    for _ in range(64):
        await wire.reply()
    # Each command costs 4 ms: the last of them would be 250 ms late, were its client's own ones counted.
    assert len(late) == 64 and max(late) < 100_000


@scene(served, 3)
async def test_what_is_answered_at_once_takes_turns_with_other_clients(one: Served) -> None:
    asked: list[int] = []
    at_each_command(one.gateway, lambda given: asked.append(given.client))
    first, second = await one.wire(), await one.wire()
    # Threat: thousands of PINGs in one read never fill the pipeline, so one client had the loop for all of them.
    first.writer.write(resp.command("PING") * 4_000)
    await asyncio.sleep(0)
    second.writer.write(resp.command("PING") * 640)
    for _ in range(640):
        await second.reply()
    for _ in range(4_000):
        await first.reply()
    changes = sum(before != after for before, after in zip(asked, asked[1:], strict=False))
    assert len(asked) == 4_640 and changes >= 10


@scene(served, 1, work=WorkProfile(read_us=150_000, cores=256))
async def test_what_the_stream_read_ahead_is_not_late(one: Served) -> None:
    late: list[int] = []
    at_each_command(one.gateway, lambda given: late.append(max(given.late_us, given.waited_us)))
    wire = await one.wire()
    wire.writer.write(resp.command("GET", "k") * 64)
    await asyncio.sleep(0.03)
    # The pipeline is full and nothing is read for the client, but the stream takes in what comes.
    wire.writer.write(resp.command("GET", "k") * 64)
    for _ in range(128):
        await wire.reply()
    assert len(late) == 128 and max(late) < 70_000, max(late)
