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
from tests.test_platform_sockets import read_statement, ready_client
from tests.test_terms import stop_process

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
