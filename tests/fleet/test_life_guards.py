"""Each guard of a node's life taken out of real gateways, and found by what `test_life` looks for."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

from oatlink.fleet import envelope
from oatlink.fleet import messages as m
from oatlink.fleet.shell.files import NAME
from oatlink.fleet.shell.history import BEGIN
from tests.fleet import life_world
from tests.fleet.life_strangers import Stranger, Witness
from tests.fleet.life_world import HOME, World, home, lived, others, own_over, until


async def over_the_quota(world: World) -> None:
    load = world.load(*await world.started(0, 1, 2, sabotage="never_over"))
    await until(lambda: life_world.most_over(load.served, life_world.RATE, life_world.BURST) > 0)


async def a_share_for_a_double(world: World) -> None:
    await world.started(0)
    load = world.load(await world.gateway(0, spare=True).start("alone"))
    await until(lambda: load.admitted() > 0)


async def a_lease_that_is_kept(world: World) -> None:
    three = await world.started(0, 1, 2, sabotage="leaves")
    world.load(*three, clients=2)
    witness = Witness(world, HOME).start()
    leaver = await home(three)
    assert await leaver.end() == 0
    await home(others(three, leaver), leaver.name)
    await witness.stop()
    assert (leaver.name, False) in witness.leases and (leaver.name, True) not in witness.leases


async def a_grant_without_end(world: World) -> None:
    three = await world.started(0, 1, 2, sabotage="terms")
    load = world.load(*three)
    await load.goes_on("g0", "g1", "g2")
    lone = await home(three)
    world.wires.cut((three.index(lone),), out=True, into=True)
    ended = time.monotonic() + 2.01
    await until(lambda: own_over(load, lone.name, ended) > 0)
    load.stop()
    load.served.clear()  # whether it came to be over all in all is no matter here


async def a_newer_version_heard(world: World) -> None:
    (one,) = await world.started(0, sabotage="versions")
    newer = await Stranger.at(world.ports[0])
    newer.send(newer.hello("g3", version=m.VERSION + 1)).send(newer.frame(envelope.encode(m.Alive(77))))
    assert "dropped_version" not in await one.counts(received=1)


async def a_damaged_file_taken(world: World) -> None:
    (one,) = await world.started(0)
    await until(lambda: (one.state / NAME).stat().st_size > BEGIN)
    await one.end(signal.SIGKILL)
    life_world.flipped_in_the_middle(one)
    await one.start("damage")
    assert "keeper" in await one.rows() and not one.said("keeper off")


SHARES = (over_the_quota, a_share_for_a_double, a_lease_that_is_kept, a_grant_without_end)
MISSING = (*SHARES, a_newer_version_heard, a_damaged_file_taken)


async def played(one: Callable[[World], Coroutine[Any, Any, None]]) -> None:
    async with lived() as world:
        await one(world)


def test_what_these_tests_look_for_comes_about_where_a_guard_is_missing() -> None:
    async def all_at_once() -> list[BaseException | None]:
        return await asyncio.gather(*map(played, MISSING), return_exceptions=True)

    over, *rest = asyncio.run(all_at_once())
    assert isinstance(over, AssertionError) and "over the quota" in str(over), over
    assert rest == [None] * 5, rest
