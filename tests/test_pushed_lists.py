"""A new process where lists are pushed: it counts as notified of the newest list, whatever list it starts with."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.platform_world import World, temporary_world
from tests.scenes import scene
from tests.test_adapter import OPTIONS
from tests.test_platform_sockets import read_statement, served_value

PUSHED = OPTIONS | {"Discovery": "push", "Obligations": OPTIONS["Obligations"] | {"StopSendingWithinUs": 250_000}}
GOOD = b"value of 7f3a"


@asynccontextmanager
async def world_before_start() -> AsyncIterator[World]:
    async with temporary_world(running=False, settings=PUSHED) as world:
        try:
            yield world
        finally:
            await world.stop()


@scene(world_before_start)
async def test_a_new_process_sends_nothing_to_a_server_that_drained_before_its_start(world: World) -> None:
    """Guards against requests at a draining server: a new process served by its old list while discovery was slow."""
    world.discovery.entries[2]["state"] = "terminating"
    world.discovery.mode = "crowded"
    await world.start()
    client = await world.client()
    for _ in range(20):
        assert served_value(await client.ask(read_statement())) == GOOD
    assert world.servers[1].statements and not world.servers[2].statements


@scene(world_before_start)
@pytest.mark.parametrize("mode", ["503", "noise", "hang"])
async def test_a_new_process_serves_by_its_old_list_while_discovery_fails(world: World, mode: str) -> None:
    world.discovery.mode = mode
    await world.start()
    client = await world.client()
    assert served_value(await client.ask(read_statement())) == GOOD
