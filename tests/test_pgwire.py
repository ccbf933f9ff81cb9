"""The PostgreSQL protocol: any split, any message, any damage; what the documentation's own layouts look like."""

import random
import struct
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.protocols import pgwire as pg
from oatlink.protocols.buffer import Limits, ProtocolError

NAMES = st.binary(max_size=20).filter(lambda one: b"\0" not in one)
TEXTS = st.text(st.characters(exclude_characters="\0", exclude_categories=["Cs"]), max_size=20)
VALUES = st.lists(st.none() | st.binary(max_size=40), max_size=6).map(tuple)
OIDS = st.lists(st.integers(0, 2**32 - 1), max_size=5).map(tuple)


@st.composite
def binds(draw: st.DrawFn) -> pg.Bind:
    values = draw(VALUES)
    counts = sorted({0, 1, len(values)})
    formats = tuple(draw(st.integers(0, 1)) for _ in range(draw(st.sampled_from(counts))))
    if len(formats) == 1 and not values:
        formats = ()
    return pg.Bind(draw(NAMES), draw(NAMES), formats, values, (0,) * draw(st.integers(0, 3)))


PARSES = st.builds(pg.Parse, NAMES, NAMES, OIDS)
FRONT = st.one_of(
    NAMES.map(pg.make_query),
    PARSES.map(pg.make_parse),
    binds().map(pg.make_bind),
    st.builds(pg.make_target, st.sampled_from([b"D", b"C"]), st.sampled_from([b"S", b"P"]), NAMES),
    st.builds(pg.make_execute, NAMES, st.integers(0, 2**31 - 1)),
    st.sampled_from([pg.Message(kind, b"") for kind in (b"S", b"H", b"X", b"c")]),
    st.binary(max_size=100).map(lambda data: pg.Message(b"d", data)),
)
BACK = st.one_of(
    st.builds(pg.make_authentication, st.integers(0, 12), st.binary(max_size=20)),
    st.builds(pg.make_error, st.sampled_from(["42601", "25006", "57P01"]), TEXTS),
    VALUES.map(pg.make_row),
    st.sampled_from([b"I", b"T", b"E"]).map(pg.make_ready),
    NAMES.map(pg.make_complete),
    st.builds(pg.make_status, TEXTS, TEXTS),
    st.builds(lambda names: pg.make_columns(tuple(names), (25,) * len(names)), st.lists(NAMES, max_size=4)),
)


def in_pieces(reader: pg.Reader, data: bytes, cuts: list[int]) -> list[pg.Message]:
    found: list[pg.Message] = []
    edges = sorted({0, len(data), *(one % (len(data) + 1) for one in cuts)})
    for start, end in zip(edges, edges[1:], strict=False):
        reader.feed(data[start:end])
        while (message := reader.take()) is not None:
            found.append(message)
    assert reader.pending == 0
    return found


@given(st.lists(FRONT, max_size=8), st.lists(st.integers(0, 5_000), max_size=12))
def test_what_clients_send_is_the_same_at_any_split(messages: list[pg.Message], cuts: list[int]) -> None:
    reader = pg.frontend_reader()
    reader.feed(pg.make_startup({"user": "u"}).encode())
    assert pg.startup(reader.take() or pg.Message(b"", b"")) == pg.Startup(pg.PROTOCOL, {"user": "u"})
    reader.end_startup()
    assert in_pieces(reader, b"".join(one.encode() for one in messages), cuts) == messages


@given(st.lists(BACK, max_size=8), st.lists(st.integers(0, 5_000), max_size=12))
def test_what_servers_send_is_the_same_at_any_split(messages: list[pg.Message], cuts: list[int]) -> None:
    assert in_pieces(pg.backend_reader(), b"".join(one.encode() for one in messages), cuts) == messages


@given(PARSES, binds(), VALUES, NAMES, st.integers(0, 2**31 - 1))
def test_the_inside_of_a_message_is_what_was_put_into_it(
    parse: pg.Parse, bind: pg.Bind, values: tuple[bytes | None, ...], name: bytes, rows: int
) -> None:
    assert pg.parse_message(pg.make_parse(parse)) == parse
    assert pg.bind_message(pg.make_bind(bind)) == bind
    assert pg.row(pg.make_row(values)) == values
    assert pg.query_text(pg.make_query(name)) == name
    assert pg.execute(pg.make_execute(name, rows)) == (name, rows)
    assert pg.target(pg.make_target(b"D", b"P", name)) == (b"P", name)


def test_layouts_are_those_of_the_documentation() -> None:
    assert pg.make_query(b"SELECT 1").encode() == b"Q\0\0\0\x0dSELECT 1\0"
    assert pg.Message(b"S", b"").encode() == b"S\0\0\0\x04"
    assert pg.make_request(pg.SSL).encode() == struct.pack("!ii", 8, 80877103)
    assert pg.make_startup({"user": "a", "database": "b"}).encode() == (b"\0\0\0\x1b\0\x03\0\0user\0a\0database\0b\0\0")
    assert pg.make_cancel(pg.Cancel(7, b"\0\0\0\x09")).encode() == struct.pack("!iiii", 16, 80877102, 7, 9)
    assert pg.make_ready(b"T").encode() == b"Z\0\0\0\x05T"
    assert pg.make_row((b"x", None)).encode() == b"D\0\0\0\x0f\0\x02\0\0\0\x01x\xff\xff\xff\xff"
    assert pg.make_columns((b"n",), (25,)).encode() == (
        b"T\0\0\0\x1a\0\x01n\0" + struct.pack("!ihihih", 0, 0, 25, -1, -1, 0)
    )
    assert pg.fields(pg.make_error("25006", "read only")) == {
        "S": "ERROR",
        "V": "ERROR",
        "C": "25006",
        "M": "read only",
    }
    assert pg.bind_message(pg.Message(b"B", b"p\0s\0\0\0\0\x01\0\0\0\x02hi\0\x01\0\x01")) == pg.Bind(
        b"p", b"s", (), (b"hi",), (1,)
    )


def test_the_first_message_is_a_startup_a_request_or_a_cancel() -> None:
    for code in (pg.SSL, pg.GSSENC):
        assert pg.startup(pg.make_request(code)) == code
    assert pg.startup(pg.make_cancel(pg.Cancel(1, b"abcd"))) == pg.Cancel(1, b"abcd")
    with pytest.raises(ProtocolError, match="^0A000 unsupported frontend protocol 2.0"):
        pg.startup(pg.make_startup({"user": "u"}, 2 << 16))
    with pytest.raises(ProtocolError, match="^28000 no PostgreSQL user"):
        pg.startup(pg.make_startup({"database": "d"}))
    answer = pg.refusal(ProtocolError("28000 no user"))
    assert pg.fields(answer)["C"] == "28000" and pg.fields(answer)["S"] == "FATAL"


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"\0\0\0\x07", "expected 8 to 10000 bytes, got 7"),
        (b"\x7f\xff\xff\xff", "expected 8 to 10000 bytes"),
        (b"\xff\xff\xff\xff", "got -1"),
        (b"GET / HTTP/1.1\r\n", "invalid length of StartupMessage"),
    ],
)
def test_a_first_length_that_cannot_be_is_refused_before_its_bytes(data: bytes, text: str) -> None:
    reader = pg.frontend_reader()
    reader.feed(data)
    with pytest.raises(ProtocolError, match=text) as found:
        reader.take()
    assert str(found.value).startswith("08P01 ")


def test_lengths_and_kinds_are_tested_before_memory_is_taken() -> None:
    reader = pg.Reader(pg.FRONTEND, False, Limits(message_bytes=1_000))
    reader.feed(b"Q\0\0\x03\xe9")
    with pytest.raises(ProtocolError, match="invalid length of Query: expected 4 to 1000 bytes, got 1001"):
        reader.take()
    reader = pg.Reader(pg.FRONTEND, False)
    reader.feed(b"E" + struct.pack("!i", pg.SMALL_BYTES + 1))
    with pytest.raises(ProtocolError, match="invalid length of Execute"):
        reader.take()
    reader = pg.backend_reader()
    reader.feed(b"\x00")  # known to be wrong by its first byte alone
    with pytest.raises(ProtocolError, match="invalid message type 0x00"):
        reader.take()


INSIDES: list[tuple[Callable[[pg.Message], object], pg.Message]] = [
    (pg.startup, pg.make_startup({"user": "someone", "database": "d"})),
    (pg.startup, pg.make_cancel(pg.Cancel(7, b"12345678"))),
    (pg.query_text, pg.make_query(b"SELECT 1")),
    (pg.parse_message, pg.make_parse(pg.Parse(b"n", b"SELECT $1", (25, 0)))),
    (pg.bind_message, pg.make_bind(pg.Bind(b"p", b"n", (0, 1), (b"x", None), (1,)))),
    (pg.target, pg.make_target(b"D", b"S", b"n")),
    (pg.execute, pg.make_execute(b"p", 5)),
    (pg.authentication, pg.make_authentication(10, b"SCRAM-SHA-256\0\0")),
    (pg.fields, pg.make_error("57P01", "terminating")),
    (pg.row, pg.make_row((b"abc", None, b""))),
    (pg.ready, pg.make_ready()),
]


@pytest.mark.parametrize(("read", "message"), INSIDES, ids=lambda one: getattr(one, "__name__", ""))
def test_damaged_insides_are_one_clear_error(read: Callable[[pg.Message], object], message: pg.Message) -> None:
    read(message)
    rng = random.Random(5)
    wrong = 0
    for _ in range(2_000):
        body = bytearray(message.body)
        for _ in range(rng.randrange(1, 4)):
            at = rng.randrange(len(body) + 1)
            what = rng.randrange(3)
            if what == 0 and at < len(body):
                body[at] = rng.randrange(256)
            elif what == 1:
                del body[at : at + rng.randrange(1, 6)]
            else:
                body[at:at] = rng.randbytes(rng.randrange(1, 4))
        try:
            read(pg.Message(message.kind, bytes(body)))
        except ProtocolError as problem:
            wrong += 1
            sqlstate, _, text = str(problem).partition(" ")
            assert len(sqlstate) == 5 and text
    assert wrong > 100 or message.kind == b"R"  # whose data may be anything


@given(st.lists(st.binary(max_size=30), max_size=20), st.booleans())
def test_any_bytes_are_messages_or_one_error(pieces: list[bytes], front: bool) -> None:
    reader = pg.frontend_reader(Limits(message_bytes=64)) if front else pg.backend_reader(Limits(message_bytes=64))
    held = 0
    try:
        for piece in pieces:
            reader.feed(piece)
            while reader.take() is not None:
                pass
            held = max(held, reader.pending)
    except ProtocolError:
        pass
    assert held <= 10_000 + 30


def test_a_zero_byte_cannot_be_smuggled_into_a_string() -> None:
    with pytest.raises(ProtocolError, match="zero byte"):
        pg.make_query(b"a\0b")
    with pytest.raises(ProtocolError, match="zero byte"):
        pg.make_startup({"user": "a\0database\0x"})
    with pytest.raises(ProtocolError, match="zero byte"):
        pg.make_complete(b"\0")
