"""Bytes from a server that no statement asked for, such as a second copy of an answer, are never served to a client."""

from hypothesis import given
from hypothesis import strategies as st

from oatlink.interface import Outcome
from oatlink.platform.reply import FENCE, FenceSupport, ReplyReader
from oatlink.protocols import pgwire as pg
from tests.platform_world import COLUMNS, EMPTY, READY, World, row, temporary_world
from tests.scenes import scene
from tests.test_platform_sockets import read_statement, ready_client, served_value

REQUEST_COUNT = 40
GREETING = pg.make_authentication(0).encode() + READY
STATUS = pg.make_status("lsn_ms", "17").encode()
REFUSED = pg.make_error("53300", "full").encode() + STATUS + READY
FENCE_ANSWER = EMPTY + STATUS + READY


def answer_of(value: bytes) -> bytes:
    return row(value) + STATUS + READY


def greeted_reader() -> ReplyReader:
    reader = ReplyReader()
    assert reader.feed(GREETING) is not None
    return reader


def fenced_answer(reader: ReplyReader, data: bytes, piece_bytes: int = 1 << 20) -> tuple[Outcome, bytes]:
    """Feed a reader the answer of the next statement in pieces; return the outcome and the value."""
    reader.expect_fence()
    for start in range(0, len(data), piece_bytes):
        answer = reader.feed(data[start : start + piece_bytes])
        if answer is not None:
            assert start + piece_bytes >= len(data), "an answer was complete too early"
            return answer.outcome, answer.value
    raise AssertionError("no answer")


SURPLUS = st.sampled_from(
    (answer_of(b"foreign"), REFUSED, STATUS, GREETING, READY, answer_of(b"foreign")[: len(COLUMNS)])
)


@given(
    st.lists(st.tuples(st.lists(SURPLUS, max_size=3), st.binary(max_size=9)), min_size=1, max_size=5),
    st.integers(1, 90),
)
def test_an_answer_is_what_follows_the_fence_however_much_came_before(
    rounds: list[tuple[list[bytes], bytes]], piece_bytes: int
) -> None:
    reader = greeted_reader()
    assert fenced_answer(reader, FENCE_ANSWER + answer_of(b"first")) == (Outcome.SERVED, b"first")
    for surplus, value in rounds:
        data = b"".join(surplus) + FENCE_ANSWER + answer_of(value)
        assert fenced_answer(reader, data, piece_bytes) == (Outcome.SERVED, value)
    assert reader.has_surplus == any(part != STATUS for surplus, _ in rounds for part in surplus)


def test_a_server_that_ignores_the_fence_is_recognised_by_its_first_answer() -> None:
    for data, outcome in ((answer_of(b"mine"), Outcome.SERVED), (REFUSED, Outcome.FULL)):
        reader = greeted_reader()
        assert fenced_answer(reader, data)[0] is outcome
        assert reader.fence_support is FenceSupport.IGNORED
        assert not reader.has_surplus


def test_an_error_before_the_fences_answer_does_not_tell_that_the_statement_never_ran() -> None:
    reader = greeted_reader()
    fenced_answer(reader, FENCE_ANSWER + answer_of(b"first"))
    reader.expect_fence()
    assert reader.feed(REFUSED) is None
    assert reader.answer_at_close() is None


def test_the_fence_is_an_empty_query() -> None:
    assert pg.query_text(pg.Message(FENCE[:1], FENCE[5:])) == b""


async def assert_own_values(gateway: World) -> None:
    """Send reads one after the other, each as soon as the one before is answered, and look at the values."""
    client = await ready_client(gateway)
    for server in gateway.servers:
        server.copies = True
    for number in range(REQUEST_COUNT):
        assert served_value(await client.ask(read_statement(f"{number:x}"))) == b"value of %x" % number


# Guards against answers of other requests: a copy of an answer was still on its way to the gateway when the next
# statement was written on the connection, and was taken for that statement's answer.
@scene(temporary_world, replicas=1)
async def test_a_copy_on_its_way_is_not_served_to_the_next_request(gateway: World) -> None:
    await assert_own_values(gateway)
    await gateway.wait_for_line("sent bytes that no statement had asked for")
    assert sum(server.connections for server in gateway.servers) > REQUEST_COUNT / 2, "connections were used again"


# The same, from servers that answer no empty queries, which tell nothing by which a copy could be recognised.
@scene(temporary_world, replicas=1)
async def test_a_connection_rests_before_reuse_where_the_server_ignores_fences(gateway: World) -> None:
    for server in gateway.servers:
        server.answers_empty, server.copy_delay_s, server.work_s = False, 0.001, 0.02
        server.hang_up()
        server.greets = True
    await assert_own_values(gateway)


@scene(temporary_world, replicas=1)
async def test_connections_without_surplus_are_used_again(gateway: World) -> None:
    client = await ready_client(gateway)
    for number in range(REQUEST_COUNT):
        assert served_value(await client.ask(read_statement(f"{number:x}"))) == b"value of %x" % number
    assert sum(server.connections for server in gateway.servers) <= 4
