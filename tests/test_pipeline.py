"""Commands of one connection taken side by side: by values, at the client connections, and at a whole gateway."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from oatlink.interface import Checked, Outcome
from oatlink.platform.clients.pipeline import (
    HELD_BYTES,
    MOST_MARKS,
    SLACK_US,
    WRITTEN_BYTES,
    Arrivals,
    Command,
    Pipeline,
    PipelineLimits,
)
from oatlink.protocols import pgwire as pg
from tests.client_world import Home, home, query
from tests.platform_world import World, in_a_place
from tests.scenes import scene
from tests.test_platform_crossings import SLOW
from tests.test_platform_sockets import post, settled, value, view
from tests.test_platform_values import READ, WRITE
from tests.test_platform_values import World as Requests

NAMES = some.lists(some.sampled_from([b"a", b"b", b"c"]), max_size=2, unique=True)


@given(some.lists(some.tuples(NAMES, some.booleans(), some.integers(0, 8))), some.randoms(use_true_random=False))
def test_answers_come_in_order_and_none_is_asked_before_what_it_depends_on(
    drawn: list[tuple[list[bytes], bool, int]], draw: random.Random
) -> None:
    line, taken, asked, told = Pipeline(PipelineLimits(5, 100)), [Command(0)][:0], [Command(0)][:0], b""

    def answer() -> bytes:
        one = draw.choice([each for each in asked if each in line.open])
        asked.extend(line.answer(one, b"%d " % taken.index(one)))
        return line.ready()

    for names, is_write, answers in drawn:
        while not line.has_room:
            told += answer()
        one = Command(0, tuple(names), is_write)
        before = [each for each in line.open if set(each.names) & set(names) and (each.is_write or is_write)]
        line.add(one)
        taken.append(one)
        assert bool(one.ahead) == bool(before) and len(line) <= 5
        if not one.ahead:
            asked.append(one)
        for _ in range(min(answers, len(line.open))):
            told += answer()
    while line.open:
        assert all(each.is_expedited for each in list(line.open)[:-1]), "somebody waits behind it"
        told += answer()
    assert told == b"".join(b"%d " % number for number in range(len(taken))) and len(line) == 0
    assert len(asked) == len(taken), "each was asked once"


def test_only_so_many_bytes_of_answers_wait_for_the_one_ahead() -> None:
    line, head, other = Pipeline(PipelineLimits(100, 100)), Command(0), Command(0)
    line.add(head)
    for _ in range(1_000):
        line.say(b"x" * 10)  # a flood of what asks nothing takes one place
    assert len(line) == 2 and line.has_room
    line.add(other)
    line.answer(other, b"x" * HELD_BYTES)
    assert not line.has_room
    line.answer(head, b"")
    assert [len(line.ready()) for _ in range(3)] == [10_000, HELD_BYTES, 0] and line.has_room


def test_answers_are_let_go_in_pieces_and_places_behind_others_are_shared() -> None:
    limits = PipelineLimits(100, 3)
    lines = [Pipeline(limits), Pipeline(limits)]
    for line in (0, 1, 0, 0, 1):
        assert lines[line].has_room
        lines[line].add(Command(0))
    assert not lines[0].has_room and not lines[1].has_room, "one each, and three behind"
    for one in list(lines[0].open)[::-1]:
        lines[0].answer(one, b"x" * (WRITTEN_BYTES // 2))
    assert [len(lines[0].ready()) for _ in range(3)] == [WRITTEN_BYTES, WRITTEN_BYTES // 2, 0]
    assert limits.shared_used == 1 and lines[1].has_room
    lines[1].clear()
    assert limits.shared_used == 0


def test_each_command_is_timed_by_its_own_last_byte_and_never_too_late() -> None:
    times = Arrivals()
    times.came(10, 100)
    times.came(10, 200)
    assert [times.last_us(pending) for pending in (15, 10, 9, 0)] == [100, 100, 200, 200]
    for at_us in range(300, 300 + 3 * MOST_MARKS):
        times.came(1, at_us)
    found = [times.last_us(pending) for pending in range(3 * MOST_MARKS - 1, -1, -1)]
    assert found == sorted(found) and len(times._marks) <= MOST_MARKS
    assert all(came <= 300 + number for number, came in enumerate(found))


@pytest.mark.parametrize("text", [READ, WRITE])
def test_one_with_others_behind_it_ends_while_its_client_still_waits(text: bytes) -> None:
    world = Requests(1)
    for number in (1, 2, 3):  # members known, so that it is sent
        world.do(world.book.handle(Checked(number, Outcome.SERVED, 1_000, None), world.now))
    world.ask(text, 7)
    one, end_us = world.open[0], world.open[0].expires_us
    world.book.hurry(one, SLACK_US)
    assert world.book.next_end_us() == end_us - SLACK_US
    world.now = end_us - SLACK_US
    world.do(world.book.expire(world.now))
    assert one.over and len(world.owners[0].finals) == 1 and not world.book._open
    world.now = end_us
    assert world.book.expire(world.now) == []


@scene(home)
async def test_what_comes_behind_one_that_hangs_is_asked_at_once_and_answered_in_order(one: Home) -> None:
    one.asker.pipeline_limits.per_connection = 4
    peer, client = await one.client()
    peer.send(query(b"hangs"), query(b"b"), query(b""), query(b"c") + query(b"d"), query(b"past"))
    await one.asked(3)
    for text in (b"c", b"b"):
        one.asker.answer(text)
    assert one.asker.texts == [b"hangs", b"b", b"c"] and one.asker.hurried == [b"hangs"]
    one.asker.answer(b"hangs")
    assert [await peer.answer() for _ in range(4)] == ["value of hangs", "value of b", "", "value of c"]
    await one.asked(5)
    one.asker.answer(b"past")
    peer.send(pg.Message(b"X", b"").encode())
    one.asker.answer(b"d")
    assert await peer.answers() == ["value of d", "value of past"]
    await one.left(peer, client)


@scene(home)
async def test_a_read_waits_for_its_own_write_and_a_key_for_itself_but_others_pass(one: Home) -> None:
    one.asker.pipeline_limits.per_connection = 8
    peer, client = await one.client()
    peer.send(query(b"a!#k"), query(b"a"), query(b"b!#k"), query(b"c"), query(b"b"))
    await one.asked(2)
    assert one.asker.texts == [b"a!#k", b"c"]
    one.asker.answer(b"a!#k")
    assert one.asker.texts == [b"a!#k", b"c", b"a", b"b!#k"]
    await one.left(peer, client)
    assert sorted(one.asker.gone) == [b"a", b"b!#k", b"c"], "what was asked is told as left, what was not is forgotten"


@scene(home)
async def test_one_that_cannot_be_asked_is_told_so_in_its_own_place(one: Home) -> None:
    one.asker.pipeline_limits.per_connection = 8
    peer, client = await one.client()
    peer.send(query(b"a!"), query(b"b"), query(b"a#bad"), query(b"c"))
    await one.asked(3)
    for text in (b"c", b"a!", b"b"):
        one.asker.answer(text)
    assert [await peer.answer() for _ in range(4)] == ["value of a!", "value of b", "42710", "value of c"]
    await one.left(peer, client)


@scene(home)
async def test_a_client_that_sends_hundreds_at_once_takes_turns_with_others(one: Home) -> None:
    one.asker.pipeline_limits.per_connection = 500
    flood, client = await one.client()
    other, _ = await one.client()
    flood.send(b"".join(query(b"f%d" % number) for number in range(400)))
    other.send(query(b"other"))
    await one.asked(401)
    assert one.asker.texts.index(b"other") < 4
    for text in one.asker.texts[::-1]:
        one.asker.answer(text)
    assert [await flood.answer() for _ in range(400)] == [f"value of f{number}" for number in range(400)]


@scene(home, small=True)
async def test_many_long_answers_that_waited_for_one_all_reach_a_client_that_reads_slowly(one: Home) -> None:
    """Found on the bench: more at once than the stream holds closed the connection, and all of them were lost."""
    one.asker.pipeline_limits.per_connection, one.asker.size = 20, 60_000
    peer, client = await one.client()
    peer.send(b"".join(query(b"%d" % number) for number in range(10)))
    await one.asked(10)
    assert client.idle_since_us() is None and not client.ending.discards
    for number in range(9, -1, -1):
        one.asker.answer(b"%d" % number)
    assert [await peer.answer() for _ in range(10)] == [f"value of {number}" for number in range(10)]
    await one.until(lambda: client.idle_since_us() is not None)
    await one.left(peer, client)


@scene(home, watched=True)
async def test_mistakes_behind_an_open_query_end_the_connection_behind_its_answer(one: Home) -> None:
    one.asker.pipeline_limits.per_connection = 8
    peer, client = await one.client()
    peer.send(query(b"a"), *[pg.Message(b"F", b"").encode()] * 4)
    await one.until(lambda: client.ending.discards)
    one.asker.answer(b"a")
    assert await peer.answers() == ["value of a", *["0A000"] * 4]


@scene(in_a_place, settings=SLOW)
async def test_a_server_that_hangs_under_one_request_keeps_none_behind_it_from_being_served(one: World) -> None:
    client = await settled(one)
    for server in one.servers:
        server.statements.clear()
    one.servers[0].mode = ["held"]
    names = [f"n{number}" for number in range(6)]
    client.writer.write(b"".join(pg.make_query(text).encode() for text in [post(), *map(view, names)]))
    await one.until(lambda: sum(len(server.statements) for server in one.servers) == 7)
    one.servers[0].release.set()
    expected = [b"value of 7f3a", *(f"value of {name}".encode() for name in names)]
    assert [value(await client.until_ready()) for _ in range(7)] == expected
