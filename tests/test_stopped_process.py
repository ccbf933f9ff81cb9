"""Time limits of requests that come while the gateway's process is stopped."""

import asyncio
import signal
import time

import pytest

from oatlink.gateway import clock
from oatlink.gateway.clock import TurnClock
from oatlink.protocols import pgwire as pg
from tests.client_world import STARTUP
from tests.platform_world import World, run_scenario, temporary_world
from tests.scenes import scene
from tests.test_adapter import OPTIONS
from tests.test_platform_sockets import read_statement, ready_client, served_value
from tests.test_terms import stop_process

CLIENT_COUNT = 20
# Any replica may answer a read, so none has to be asked first how recent it is.
LOOSE_OPTIONS = OPTIONS | {"FamilyInfo": OPTIONS["FamilyInfo"] | {"Freshness": ["update", "loose"]}}
STOP_S = 0.9
WAIT_MS = 600
LATE_S = 0.55  # the platform's: an answer may come half a second after its client's time, and 50 ms of slack


# Guards against requests whose time counts from the end of the stop: they were answered too late (review, case 9).
@pytest.mark.parametrize("is_new", [False, True], ids=["open connection", "new connection"])
@scene(temporary_world, replicas=1)
async def test_the_time_of_a_request_that_comes_while_the_process_is_stopped_counts_from_its_arrival(
    world: World, is_new: bool
) -> None:
    client = await ready_client(world)
    for server in world.servers:
        server.mode = "hang"
    await asyncio.sleep(0.3)  # the loop is idle
    await stop_process(world)
    if is_new:
        client = await world.connect()
        client.writer.write(STARTUP)
    sent_s = time.monotonic()
    client.writer.write(pg.make_query(read_statement(wait_ms=WAIT_MS)).encode())
    await asyncio.sleep(STOP_S)
    world.signal(signal.SIGCONT)
    if is_new:
        await client.until_ready()
    await client.until_ready()
    assert time.monotonic() - sent_s <= WAIT_MS / 1000 + LATE_S


# Guards against requests that are sent to a draining server before the news of the drain, which came in the same stop,
# is read (review, seen-2/stalled_drain.py).
@scene(temporary_world, replicas=2, settings=LOOSE_OPTIONS)
async def test_news_that_came_during_a_stop_applies_to_requests_that_came_before_it(world: World) -> None:
    clients = [await ready_client(world) for _ in range(CLIENT_COUNT)]
    await world.wait_until_following()
    await asyncio.sleep(0.3)  # the loop is idle
    draining = world.servers[1]
    await stop_process(world)
    draining.statements.clear()
    for client in clients:
        client.writer.write(pg.make_query(read_statement()).encode())
    await asyncio.sleep(STOP_S / 2)
    entries = world.entries()
    entries[1]["state"] = "terminating"
    world.discovery.publish(entries)
    await asyncio.sleep(STOP_S / 2)
    world.signal(signal.SIGCONT)
    for client in clients:
        assert served_value(await client.until_ready()) == b"value of 7f3a"
    assert not draining.statements


def test_a_stall_lasts_from_the_missed_heartbeat_until_the_loop_is_idle_again(monkeypatch: pytest.MonkeyPatch) -> None:
    clock_us, heartbeat_us = 1_000_000, 100_000
    monkeypatch.setattr(clock, "now_us", lambda: clock_us)

    async def idle_turns() -> None:
        for _ in range(3):
            await asyncio.sleep(0)

    async def check() -> None:
        nonlocal clock_us
        turns, unaware = TurnClock(heartbeat_us), TurnClock()
        for idle_us, is_stalled in (
            (1_000_000, False),
            (heartbeat_us, False),
            (1_300_000, True),
            (heartbeat_us, False),
        ):
            clock_us += idle_us
            assert turns.turn_began_us() == unaware.turn_began_us() == clock_us
            assert turns.stalled_since_us == (clock_us - idle_us + heartbeat_us if is_stalled else 0)
            assert not unaware.stalled_since_us
            await idle_turns()
            assert not turns.stalled_since_us

    run_scenario(check())


def test_a_stall_is_noticed_in_the_middle_of_a_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    clock_us, heartbeat_us = 1_000_000, 100_000
    monkeypatch.setattr(clock, "now_us", lambda: clock_us)

    async def check() -> None:
        nonlocal clock_us
        turns = TurnClock(heartbeat_us)
        assert turns.turn_began_us() == clock_us and not turns.is_settling
        clock_us += 1_300_000
        assert turns.turn_began_us() == clock_us
        assert turns.is_settling and turns.stalled_since_us == clock_us - 1_300_000 + heartbeat_us
        for _ in range(clock.SETTLING_TURNS):
            assert turns.is_settling
            turns.turn_began_us()
            await asyncio.sleep(0)
        assert not turns.is_settling

    run_scenario(check())
