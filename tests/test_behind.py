"""Pipelined commands of one client: each gets its final answer in order, within its own deadline."""

import pytest

from oatlink.core import messages as m
from oatlink.protocols import resp
from tests.gateways import record_inputs
from tests.scenes import scene
from tests.test_engine import KEY, Rig, sent
from tests.test_gateway_crossings import PONG, World, open_world, until

VIEW_US = 2_000_000  # the deadline of a read of KEY
SHORT = "{ classes: [{ name: 'r', freshness: 'latest', effect: 'idempotent', aim_ms: 300, deadline_ms: 300 }] }"
NARROW = SHORT + " + { limits+: { client_pipeline: 2 } }"


def first_words(answers: bytes) -> list[bytes]:
    """The first word of each line."""
    return [line.split(b" ")[0] for line in answers.splitlines()]


# ---- The engine alone ----


@pytest.mark.parametrize("own_us", [0, VIEW_US - 1_000, VIEW_US + 1_000])
@pytest.mark.parametrize("hung", [False, True])
def test_a_commands_time_runs_behind_its_clients_earlier_ones_where_one_hung(own_us: int, hung: bool) -> None:
    rig = Rig()
    rig.end(sent(rig.ask("GET", KEY)))
    if hung:
        sent(rig.ask("GET", KEY))
        rig.pass_us(VIEW_US + 1_000)
        rig.end(sent(rig.ask("GET", KEY, client=2)))  # an answer shows that the members are alive
    rig.text()
    sent_before, is_late = len(rig.sent), hung and own_us > 0
    rig.give(m.CommandReceived(1, [b"GET", KEY.encode()], 0, 0, 0, own_us))
    assert len(rig.sent) == sent_before + (not is_late)
    assert first_words(rig.text()) == ([b"-TRYAGAIN"] if is_late else [])
    # Time that a command waited in its client's pipeline does not count as lateness of the process. So a command past
    # its aim is still accepted, and no client is paused.
    rig.give(m.CommandReceived(2, [b"GET", KEY.encode()], 0, 0, 0, 1_000_000))
    assert len(rig.engine.sessions[2].requests) == 1 and not rig.paused and not rig.engine.counts.get("shed")


# ---- On sockets ----


@scene(open_world, NARROW)
async def test_what_waits_behind_a_full_pipeline_is_given_up_in_its_own_time(site: World) -> None:
    """Guards against deadlines that count from the wrong moment.

    A client may have two commands open here. The deadlines of the next two commands were counted from the answer
    before them, and so on for each further pair.
    """
    site.box.may_answer.clear()
    client = await site.wire()
    client.writer.write(b"".join(resp.command("GET", f"k{number}") for number in range(16)))
    other = await site.wire()
    assert await other.ask("PING") == PONG
    answers = [await client.reply() for _ in range(16)]
    assert [str(answer).count("nothing was run") for answer in answers] == [0, 0] + [1] * 14, answers


@scene(open_world, NARROW)
async def test_what_was_read_ahead_of_a_full_pipeline_has_its_time_since_it_came(site: World) -> None:
    commands = record_inputs(site.gateway, m.CommandReceived)
    site.box.may_answer.clear()
    client = await site.wire()
    client.writer.write(resp.command("GET", "a") + resp.command("GET", "b"))
    await until(lambda: len(commands) == 2)
    client.writer.write(resp.command("GET", "c"))
    (connection,) = site.gateway._clients.values()
    await until(lambda: connection.stream._read_buffer_size)
    received_us = connection.stream.arrived_after_us
    for _ in range(3):
        await client.reply()
    # A former fault: the command counted as received only when the client's earlier commands had ended.
    assert commands[2].own_us > 0 and site.gateway._now_us - commands[2].own_us >= received_us
