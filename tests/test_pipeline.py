"""Concurrent commands of one connection: in the pipeline alone, at client connections, and at a whole gateway."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from oatlink.interface import Checked, Outcome
from oatlink.platform.clients.pipeline import (
    MAX_ARRIVALS,
    MAX_WAITING_BYTES,
    MAX_WRITE_BYTES,
    SLACK_US,
    ArrivalTimes,
    Command,
    Pipeline,
    PipelineLimits,
)
from oatlink.protocols import pgwire as pg
from tests.client_world import ListenerWorld, listener_world, query
from tests.platform_world import World, temporary_world
from tests.scenes import scene
from tests.test_platform_crossings import SLOW_DIAL_OPTIONS
from tests.test_platform_sockets import read_statement, ready_client, served_value, write_statement
from tests.test_platform_values import READ, WRITE, RequestsHarness

RESOURCES = some.lists(some.sampled_from([b"a", b"b", b"c"]), max_size=2, unique=True)


@given(some.lists(some.tuples(RESOURCES, some.booleans(), some.integers(0, 8))), some.randoms(use_true_random=False))
def test_answers_come_in_order_and_none_is_submitted_before_what_it_depends_on(
    drawn: list[tuple[list[bytes], bool, int]], draw: random.Random
) -> None:
    pipeline, added, submitted, written = Pipeline(PipelineLimits(5, 100)), [Command(0)][:0], [Command(0)][:0], b""

    def answer() -> bytes:
        command = draw.choice([command for command in submitted if command in pipeline.unanswered])
        submitted.extend(pipeline.answer(command, b"%d " % added.index(command)))
        return pipeline.take_ready()

    for resources, is_write, answer_count in drawn:
        while not pipeline.has_capacity:
            written += answer()
        command = Command(0, tuple(resources), is_write)
        blockers = [
            one for one in pipeline.unanswered if set(one.resources) & set(resources) and (one.is_write or is_write)
        ]
        pipeline.add(command)
        added.append(command)
        assert bool(command.blocker_count) == bool(blockers) and len(pipeline) <= 5
        if not command.blocker_count:
            submitted.append(command)
        for _ in range(min(answer_count, len(pipeline.unanswered))):
            written += answer()
    while pipeline.unanswered:
        assert all(command.is_expedited for command in list(pipeline.unanswered)[:-1]), "others wait behind it"
        written += answer()
    assert written == b"".join(b"%d " % number for number in range(len(added))) and len(pipeline) == 0
    assert len(submitted) == len(added), "each was submitted once"


def test_the_bytes_of_answers_that_wait_for_an_earlier_one_are_limited() -> None:
    pipeline, first, other = Pipeline(PipelineLimits(100, 100)), Command(0), Command(0)
    pipeline.add(first)
    for _ in range(1_000):
        pipeline.add_answer(b"x" * 10)  # a flood of answers of our own takes one place
    assert len(pipeline) == 2 and pipeline.has_capacity
    pipeline.add(other)
    pipeline.answer(other, b"x" * MAX_WAITING_BYTES)
    assert not pipeline.has_capacity
    pipeline.answer(first, b"")
    assert [len(pipeline.take_ready()) for _ in range(3)] == [10_000, MAX_WAITING_BYTES, 0] and pipeline.has_capacity


def test_answers_are_taken_in_limited_writes_and_places_behind_others_are_shared() -> None:
    limits = PipelineLimits(100, 3)
    pipelines = [Pipeline(limits), Pipeline(limits)]
    for index in (0, 1, 0, 0, 1):
        assert pipelines[index].has_capacity
        pipelines[index].add(Command(0))
    assert not pipelines[0].has_capacity and not pipelines[1].has_capacity, "one each, and three behind"
    for command in list(pipelines[0].unanswered)[::-1]:
        pipelines[0].answer(command, b"x" * (MAX_WRITE_BYTES // 2))
    assert [len(pipelines[0].take_ready()) for _ in range(3)] == [MAX_WRITE_BYTES, MAX_WRITE_BYTES // 2, 0]
    assert limits.shared_used == 1 and pipelines[1].has_capacity
    pipelines[1].clear()
    assert limits.shared_used == 0


def test_each_command_is_timed_by_its_own_last_byte_and_never_too_late() -> None:
    times = ArrivalTimes()
    times.add(10, 100)
    times.add(10, 200)
    assert [times.last_byte_us(pending) for pending in (15, 10, 9, 0)] == [100, 100, 200, 200]
    for at_us in range(300, 300 + 3 * MAX_ARRIVALS):
        times.add(1, at_us)
    arrivals = [times.last_byte_us(pending) for pending in range(3 * MAX_ARRIVALS - 1, -1, -1)]
    assert arrivals == sorted(arrivals) and len(times._arrivals) <= MAX_ARRIVALS
    assert all(arrived_us <= 300 + number for number, arrived_us in enumerate(arrivals))


@pytest.mark.parametrize("text", [READ, WRITE])
def test_a_request_with_others_behind_it_ends_while_its_client_still_waits(text: bytes) -> None:
    harness = RequestsHarness(1)
    for number in (1, 2, 3):  # the members are known, so the request is sent
        harness.carry_out(harness.requests.handle(Checked(number, Outcome.SERVED, 1_000, None), harness.now))
    harness.add_request(text, 7)
    request, end_us = harness.open_requests[0], harness.open_requests[0].expires_us
    harness.requests.shorten_deadline(request, SLACK_US)
    assert harness.requests.next_deadline_us() == end_us - SLACK_US
    harness.now = end_us - SLACK_US
    harness.carry_out(harness.requests.expire(harness.now))
    assert request.is_closed and len(harness.owners[0].finals) == 1 and not harness.requests._open
    harness.now = end_us
    assert harness.requests.expire(harness.now) == []


@scene(listener_world)
async def test_queries_behind_one_that_hangs_are_submitted_at_once_and_answered_in_order(world: ListenerWorld) -> None:
    world.handler.pipeline_limits.per_connection = 4
    peer, client = await world.start_client()
    peer.send(query(b"hangs"), query(b"b"), query(b""), query(b"c") + query(b"d"), query(b"past"))
    await world.until_submitted(3)
    for text in (b"c", b"b"):
        world.handler.answer(text)
    assert world.handler.submitted == [b"hangs", b"b", b"c"] and world.handler.expedited == [b"hangs"]
    world.handler.answer(b"hangs")
    assert [await peer.answer() for _ in range(4)] == ["value of hangs", "value of b", "", "value of c"]
    await world.until_submitted(5)
    world.handler.answer(b"past")
    peer.send(pg.Message(b"X", b"").encode())
    world.handler.answer(b"d")
    assert await peer.answers() == ["value of d", "value of past"]
    await world.disconnect(peer, client)


@scene(listener_world)
async def test_a_read_waits_for_a_write_of_its_name_and_a_key_for_itself_but_others_do_not(
    world: ListenerWorld,
) -> None:
    world.handler.pipeline_limits.per_connection = 8
    peer, client = await world.start_client()
    peer.send(query(b"a!#k"), query(b"a"), query(b"b!#k"), query(b"c"), query(b"b"))
    await world.until_submitted(2)
    assert world.handler.submitted == [b"a!#k", b"c"]
    world.handler.answer(b"a!#k")
    assert world.handler.submitted == [b"a!#k", b"c", b"a", b"b!#k"]
    await world.disconnect(peer, client)
    assert sorted(world.handler.abandoned) == [b"a", b"b!#k", b"c"], (
        "submitted ones are abandoned, others are forgotten"
    )


@scene(listener_world)
async def test_a_query_that_cannot_be_submitted_gets_its_error_in_order(world: ListenerWorld) -> None:
    world.handler.pipeline_limits.per_connection = 8
    peer, client = await world.start_client()
    peer.send(query(b"a!"), query(b"b"), query(b"a#bad"), query(b"c"))
    await world.until_submitted(3)
    for text in (b"c", b"a!", b"b"):
        world.handler.answer(text)
    assert [await peer.answer() for _ in range(4)] == ["value of a!", "value of b", "42710", "value of c"]
    await world.disconnect(peer, client)


@scene(listener_world)
async def test_a_client_that_sends_hundreds_at_once_takes_turns_with_others(world: ListenerWorld) -> None:
    world.handler.pipeline_limits.per_connection = 500
    flood, client = await world.start_client()
    other, _ = await world.start_client()
    flood.send(b"".join(query(b"f%d" % number) for number in range(400)))
    other.send(query(b"other"))
    await world.until_submitted(401)
    assert world.handler.submitted.index(b"other") < 4
    for text in world.handler.submitted[::-1]:
        world.handler.answer(text)
    assert [await flood.answer() for _ in range(400)] == [f"value of f{number}" for number in range(400)]


@scene(listener_world, small=True)
async def test_many_long_answers_that_waited_for_an_earlier_one_all_reach_a_slow_client(world: ListenerWorld) -> None:
    """When more answers came at once than the stream buffers, the connection was closed and all of them were lost."""
    world.handler.pipeline_limits.per_connection, world.handler.answer_bytes = 20, 60_000
    peer, client = await world.start_client()
    peer.send(b"".join(query(b"%d" % number) for number in range(10)))
    await world.until_submitted(10)
    assert client.idle_since_us() is None and not client.ending.discards
    for number in range(9, -1, -1):
        world.handler.answer(b"%d" % number)
    assert [await peer.answer() for _ in range(10)] == [f"value of {number}" for number in range(10)]
    await world.until(lambda: client.idle_since_us() is not None)
    await world.disconnect(peer, client)


@scene(listener_world, sweeping=True)
async def test_mistakes_behind_an_open_query_end_the_connection_after_its_answer(world: ListenerWorld) -> None:
    world.handler.pipeline_limits.per_connection = 8
    peer, client = await world.start_client()
    peer.send(query(b"a"), *[pg.Message(b"F", b"").encode()] * 4)
    await world.until(lambda: client.ending.discards)
    world.handler.answer(b"a")
    assert await peer.answers() == ["value of a", *["0A000"] * 4]


@scene(temporary_world, settings=SLOW_DIAL_OPTIONS)
async def test_a_server_that_hangs_on_one_request_does_not_delay_those_behind_it(gateway: World) -> None:
    client = await ready_client(gateway)
    for server in gateway.servers:
        server.statements.clear()
    gateway.servers[0].mode = ["held"]
    names = [f"n{number}" for number in range(6)]
    client.writer.write(
        b"".join(pg.make_query(text).encode() for text in [write_statement(), *map(read_statement, names)])
    )
    await gateway.until(lambda: sum(len(server.statements) for server in gateway.servers) == 7)
    gateway.servers[0].release.set()
    expected = [b"value of 7f3a", *(f"value of {name}".encode() for name in names)]
    assert [served_value(await client.until_ready()) for _ in range(7)] == expected
