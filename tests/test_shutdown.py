"""At a shutdown each request has its final answer before the process may be killed."""

import asyncio
import signal
import time

from oatlink.protocols import pgwire as pg
from tests.platform_world import World, temporary_world
from tests.scenes import scene
from tests.test_adapter import OPTIONS
from tests.test_platform_sockets import read_statement, ready_client, sqlstate, write_statement

EARLIEST_SIGKILL_S = 3.0 + 0.7  # after SIGTERM, where a deadline exceeds 3 s
LATE_READ_S = 0.9  # after SIGTERM: past the time in which requests are accepted
LONG_DEADLINE = OPTIONS | {"Classes": [OPTIONS["Classes"][0] | {"DeadlineUs": 5_000_000}, OPTIONS["Classes"][1]]}


@scene(temporary_world, settings=LONG_DEADLINE)
async def test_a_request_behind_one_that_hangs_is_answered_before_the_kill(gateway: World) -> None:
    """Guards against requests that SIGKILL finds unanswered: one with a long deadline held up those behind it."""
    client = await ready_client(gateway)
    gateway.servers[0].mode = "hang"
    client.writer.write(pg.make_query(write_statement(wait_ms=5_000)).encode())
    await gateway.until(lambda: len(gateway.servers[0].statements) == 2)
    gateway.signal(signal.SIGTERM)
    terminated_s = time.monotonic()
    await asyncio.sleep(LATE_READ_S)
    client.writer.write(pg.make_query(read_statement()).encode())
    answers = [sqlstate(await client.until_ready()) for _ in range(2)]
    assert time.monotonic() - terminated_s < EARLIEST_SIGKILL_S
    assert answers == ["58000", "53300"], "the write may have run; the read was refused"
    async with asyncio.timeout(EARLIEST_SIGKILL_S):
        assert await gateway.process.wait() == 0
    assert not any("defect" in line for line in gateway.lines)


@scene(temporary_world, replicas=0, settings=LONG_DEADLINE)
async def test_a_request_that_waits_for_a_server_is_answered_before_the_kill(gateway: World) -> None:
    client = await ready_client(gateway)
    gateway.discovery.publish([gateway.entries()[0] | {"state": "terminating"}])
    await gateway.wait_until_following()
    gateway.signal(signal.SIGTERM)
    terminated_s = time.monotonic()
    await asyncio.sleep(0.3)
    client.writer.write(pg.make_query(write_statement(wait_ms=5_000)).encode())
    assert sqlstate(await client.until_ready()) in ("53300", "58000")
    assert time.monotonic() - terminated_s < EARLIEST_SIGKILL_S
    assert not any("defect" in line for line in gateway.lines)
