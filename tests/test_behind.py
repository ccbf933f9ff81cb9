"""Commands of one client behind each other: each has its final answer in its own time, in order."""

import pytest

from oatlink.core import messages as m
from oatlink.core.commands import slot_of
from oatlink.protocols import resp
from tests.gateways import Served, given_to, served
from tests.scenes import scene
from tests.test_engine import KEY, OTHER, PLAIN, Rig, sent
from tests.test_gateway_crossings import OK, PONG, World, until, world

VIEW_US = 2_000_000  # the deadline of a read of KEY
SHORT = "{ classes: [{ name: 'r', freshness: 'latest', effect: 'idempotent', aim_ms: 300, deadline_ms: 300 }] }"
NARROW = SHORT + " + { limits+: { client_pipeline: 2 } }"


def begins(answers: bytes) -> list[bytes]:
    """The first word of each line."""
    return [line.split(b" ")[0] for line in answers.splitlines()]


# ---- By values ----


def test_answers_behind_one_that_has_more_time_leave_in_their_own() -> None:
    rig = Rig()
    hung = sent(rig.ask("SET", OTHER, 1))  # may take 5 s
    for number in range(14):
        rig.end(sent(rig.ask("GET", KEY)), [b":%d\r\n" % number])
    sent(rig.ask("GET", PLAIN))  # may take 5 s too, and nothing stands behind it
    rig.pass_us(VIEW_US - 5_000)
    assert not rig.text()
    rig.pass_us(2_000)
    assert begins(rig.text()) == [b"-ERR", *(b":%d" % number for number in range(14))]
    assert len(rig.engine._asks) == 2 and not rig.engine.may_write(hung.request, hung.attempt, rig.now)
    rig.end(hung)  # its own answer comes too late and goes to nobody
    rig.pass_us(4 * VIEW_US)
    assert begins(rig.text()) == [b"-ERR"] and not rig.engine._asks


def test_what_gives_way_is_not_held_against_its_box() -> None:
    rig = Rig()
    rig.end(sent(rig.ask("SET", OTHER, 1)))
    hung = sent(rig.ask("SET", OTHER, 1))
    rig.end(sent(rig.ask("GET", KEY)))
    rig.text()
    before = rig.engine.verdicts()
    rig.pass_us(VIEW_US)
    assert begins(rig.text()) == [b"-ERR", b"+OK"] and hung.attempt in rig.engine._asks[hung.request].open
    assert [(one.name, one.role) for one in rig.engine.verdicts()] == [(one.name, one.role) for one in before]


@pytest.mark.parametrize("own_us", [0, VIEW_US - 1_000, VIEW_US + 1_000])
def test_a_commands_time_runs_behind_its_clients_earlier_ones(own_us: int) -> None:
    rig = Rig()
    rig.end(sent(rig.ask("GET", KEY)))
    rig.text()
    before = len(rig.sent)
    rig.give(m.Asked(1, [b"GET", KEY.encode()], 0, 0, 0, own_us))
    assert len(rig.sent) == before + (own_us == 0)
    assert begins(rig.text()) == ([] if own_us == 0 else [b"-TRYAGAIN"])
    # A pipeline is no lateness of this process: past its aim it is still taken, and nobody is paused.
    rig.give(m.Asked(2, [b"GET", KEY.encode()], 0, 0, 0, 1_000_000))
    assert len(rig.engine.sessions[2].asks) == 1 and not rig.paused and not rig.engine.counts.get("shed")


def test_a_read_stays_behind_its_own_open_write_and_ends_in_its_own_time() -> None:
    rig = Rig()
    write = sent(rig.ask("SET", KEY, 1))
    assert rig.ask("GET", KEY) is None
    other = sent(rig.ask("GET", f"{KEY}x"))
    rig.end(other, [b":1\r\n"])
    assert not rig.text()
    rig.pass_us(VIEW_US)
    assert begins(rig.text()) == [b"-ERR", b"-TRYAGAIN", b":1"]
    assert {one.request for one in rig.sent} == {write.request, other.request}  # the read was never sent


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
    asked = given_to(one.gateway, m.Asked)
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


@scene(served, 1, banks=2)
async def test_a_pipeline_behind_a_silent_box_ends_in_time_in_order_and_others_are_served(one: Served) -> None:
    silent, near = ([f"k{n}" for n in range(99) if slot_of(b"k%d" % n) // 8_192 == bank] for bank in (0, 1))
    client, other = await one.wire(), await one.wire()
    assert [await other.ask("SET", key, 0) for key in (silent[0], near[0])] == [OK, OK]
    one.primary.faults.hang = True
    words = [("SET", silent[0], 1), ("GET", silent[0]), ("SET", silent[1], 1)]  # a write has 3 s, a read 2
    words += [word for n in range(1, 8) for word in (("SET", near[n], n), ("GET", near[n]))]
    client.writer.write(b"".join(resp.command(*word) for word in words))
    assert await other.ask("GET", near[0]) == b"0"
    got = [await client.reply() for _ in words]
    # What stands before a read leaves with it, though a write's own time runs on; nothing else has failed.
    assert [str(one).split(" ")[0][-3:] for one in got[:3]] == ["ERR", "AIN", "ERR"], got
    assert got[3:] == [each for n in range(1, 8) for each in (OK, b"%d" % n)]
    assert [each.writes for each in one.gateway.engine._asks.values()] == [True, True]  # they have time left
