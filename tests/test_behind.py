"""Commands of one client behind each other: each has its final answer in its own time, in order."""

import pytest

from oatlink.core import messages as m
from oatlink.protocols import resp
from tests.gateways import given_to
from tests.scenes import scene
from tests.test_engine import KEY, Rig, sent
from tests.test_gateway_crossings import PONG, World, until, world

VIEW_US = 2_000_000  # the deadline of a read of KEY
SHORT = "{ classes: [{ name: 'r', freshness: 'latest', effect: 'idempotent', aim_ms: 300, deadline_ms: 300 }] }"
NARROW = SHORT + " + { limits+: { client_pipeline: 2 } }"


def begins(answers: bytes) -> list[bytes]:
    """The first word of each line."""
    return [line.split(b" ")[0] for line in answers.splitlines()]


# ---- By values ----


@pytest.mark.parametrize("own_us", [0, VIEW_US - 1_000, VIEW_US + 1_000])
@pytest.mark.parametrize("hung", [False, True])
def test_a_commands_time_runs_behind_its_clients_earlier_ones_where_one_hung(own_us: int, hung: bool) -> None:
    rig = Rig()
    rig.end(sent(rig.ask("GET", KEY)))
    if hung:
        sent(rig.ask("GET", KEY))
        rig.pass_us(VIEW_US + 1_000)
        rig.end(sent(rig.ask("GET", KEY, client=2)))  # its members are heard again
    rig.text()
    before, late = len(rig.sent), hung and own_us > 0
    rig.give(m.CommandReceived(1, [b"GET", KEY.encode()], 0, 0, 0, own_us))
    assert len(rig.sent) == before + (not late)
    assert begins(rig.text()) == ([b"-TRYAGAIN"] if late else [])
    # A pipeline is no lateness of this process: past its aim it is still taken, and nobody is paused.
    rig.give(m.CommandReceived(2, [b"GET", KEY.encode()], 0, 0, 0, 1_000_000))
    assert len(rig.engine.sessions[2].requests) == 1 and not rig.paused and not rig.engine.counts.get("shed")


# ---- On sockets ----


@scene(world, NARROW)
async def test_what_waits_behind_a_full_pipeline_is_given_up_in_its_own_time(one: World) -> None:
    """The fault: two of a client may be open; each further two had their time counted from the answer before them."""
    one.box.answers.clear()
    client = await one.wire()
    client.writer.write(b"".join(resp.command("GET", f"k{number}") for number in range(16)))
    other = await one.wire()
    assert await other.ask("PING") == PONG
    got = [await client.reply() for _ in range(16)]
    assert [str(one).count("nothing was run") for one in got] == [0, 0] + [1] * 14, got


@scene(world, NARROW)
async def test_what_was_read_ahead_of_a_full_pipeline_has_its_time_since_it_came(one: World) -> None:
    asked = given_to(one.gateway, m.CommandReceived)
    one.box.answers.clear()
    client = await one.wire()
    client.writer.write(resp.command("GET", "a") + resp.command("GET", "b"))
    await until(lambda: len(asked) == 2)
    client.writer.write(resp.command("GET", "c"))
    (seen,) = one.gateway._clients.values()
    await until(lambda: seen.stream._read_buffer_size)
    came_us = seen.stream.since_us
    for _ in range(3):
        await client.reply()
    # Before, it had come only when its client's earlier ones had ended.
    assert asked[2].own_us > 0 and one.gateway._now_us - asked[2].own_us >= came_us
