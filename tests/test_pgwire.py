"""The PostgreSQL codec: any split of the bytes, round trips, damaged messages, and layouts from the documentation."""

import contextlib
import random
import struct
import sys
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.protocols import pgwire as pg
from oatlink.protocols.buffer import Limits, ProtocolError

NAMES = st.binary(max_size=20).filter(lambda name: b"\0" not in name)
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


PARSE_MESSAGES = st.builds(pg.Parse, NAMES, NAMES, OIDS)
FRONTEND_MESSAGES = st.one_of(
    NAMES.map(pg.make_query),
    PARSE_MESSAGES.map(pg.make_parse),
    binds().map(pg.make_bind),
    st.builds(pg.make_target, st.sampled_from([b"D", b"C"]), st.sampled_from([b"S", b"P"]), NAMES),
    st.builds(pg.make_execute, NAMES, st.integers(0, 2**31 - 1)),
    st.sampled_from([pg.Message(kind, b"") for kind in (b"S", b"H", b"X", b"c")]),
    st.binary(max_size=100).map(lambda data: pg.Message(b"d", data)),
)
BACKEND_MESSAGES = st.one_of(
    st.builds(pg.make_authentication, st.integers(0, 12), st.binary(max_size=20)),
    st.builds(pg.make_error, st.sampled_from(["42601", "25006", "57P01"]), TEXTS),
    VALUES.map(pg.make_row),
    st.sampled_from([b"I", b"T", b"E"]).map(pg.make_ready),
    NAMES.map(pg.make_complete),
    st.builds(pg.make_status, TEXTS, TEXTS),
    st.builds(lambda names: pg.make_columns(tuple(names), (25,) * len(names)), st.lists(NAMES, max_size=4)),
)


def read_in_pieces(reader: pg.Reader, data: bytes, splits: list[int]) -> list[pg.Message]:
    """Feed the bytes in pieces; `splits` are positions modulo the length of the data."""
    messages: list[pg.Message] = []
    edges = sorted({0, len(data), *(split % (len(data) + 1) for split in splits)})
    for start, end in zip(edges, edges[1:], strict=False):
        reader.feed(data[start:end])
        while (message := reader.take()) is not None:
            messages.append(message)
    assert reader.pending == 0
    return messages


@given(st.lists(FRONTEND_MESSAGES, max_size=8), st.lists(st.integers(0, 5_000), max_size=12))
def test_frontend_messages_are_the_same_at_any_split(messages: list[pg.Message], splits: list[int]) -> None:
    reader = pg.frontend_reader()
    reader.feed(pg.make_startup({"user": "u"}).encode())
    assert pg.startup(reader.take() or pg.Message(b"", b"")) == pg.Startup(pg.PROTOCOL, {"user": "u"})
    reader.end_startup()
    assert read_in_pieces(reader, b"".join(message.encode() for message in messages), splits) == messages


@given(st.lists(BACKEND_MESSAGES, max_size=8), st.lists(st.integers(0, 5_000), max_size=12))
def test_backend_messages_are_the_same_at_any_split(messages: list[pg.Message], splits: list[int]) -> None:
    assert read_in_pieces(pg.backend_reader(), b"".join(message.encode() for message in messages), splits) == messages


@given(PARSE_MESSAGES, binds(), VALUES, NAMES, st.integers(0, 2**31 - 1))
def test_message_bodies_round_trip(
    parse: pg.Parse, bind: pg.Bind, values: tuple[bytes | None, ...], name: bytes, rows: int
) -> None:
    assert pg.parse_message(pg.make_parse(parse)) == parse
    assert pg.bind_message(pg.make_bind(bind)) == bind
    assert pg.row(pg.make_row(values)) == values
    assert pg.query_text(pg.make_query(name)) == name
    assert pg.execute(pg.make_execute(name, rows)) == (name, rows)
    assert pg.target(pg.make_target(b"D", b"P", name)) == (b"P", name)


def test_layouts_match_the_documentation() -> None:
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


def test_the_first_message_is_a_startup_an_encryption_request_or_a_cancel_request() -> None:
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
def test_an_invalid_length_of_the_first_message_is_refused_before_its_body_arrives(data: bytes, text: str) -> None:
    reader = pg.frontend_reader()
    reader.feed(data)
    with pytest.raises(ProtocolError, match=text) as caught:
        reader.take()
    assert str(caught.value).startswith("08P01 ")


def test_lengths_and_types_are_checked_before_memory_is_allocated() -> None:
    reader = pg.Reader(pg.FRONTEND, False, Limits(message_bytes=1_000))
    reader.feed(b"Q\0\0\x03\xe9")
    with pytest.raises(ProtocolError, match="invalid length of Query: expected 4 to 1000 bytes, got 1001"):
        reader.take()
    reader = pg.Reader(pg.FRONTEND, False)
    reader.feed(b"E" + struct.pack("!i", pg.SMALL_BYTES + 1))
    with pytest.raises(ProtocolError, match="invalid length of Execute"):
        reader.take()
    reader = pg.backend_reader()
    reader.feed(b"\x00")  # refused by its first byte alone
    with pytest.raises(ProtocolError, match="invalid message type 0x00"):
        reader.take()


PARSERS: list[tuple[Callable[[pg.Message], object], pg.Message]] = [
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


@pytest.mark.parametrize(("read", "message"), PARSERS, ids=lambda param: getattr(param, "__name__", ""))
def test_damaged_bodies_raise_a_protocol_error_with_sqlstate_and_text(
    read: Callable[[pg.Message], object], message: pg.Message
) -> None:
    read(message)
    rng = random.Random(5)
    error_count = 0
    for _ in range(2_000):
        body = bytearray(message.body)
        for _ in range(rng.randrange(1, 4)):
            position = rng.randrange(len(body) + 1)
            mutation = rng.randrange(3)
            if mutation == 0 and position < len(body):
                body[position] = rng.randrange(256)
            elif mutation == 1:
                del body[position : position + rng.randrange(1, 6)]
            else:
                body[position:position] = rng.randbytes(rng.randrange(1, 4))
        try:
            read(pg.Message(message.kind, bytes(body)))
        except ProtocolError as error:
            error_count += 1
            sqlstate, _, text = str(error).partition(" ")
            assert len(sqlstate) == 5 and text
    assert error_count > 100 or message.kind == b"R"  # the data of an Authentication may be anything


def calls_made(call: Callable[[], object]) -> int:
    """How many functions a call enters, whatever it raises: its work, on a machine of any speed."""
    count = 0

    def count_call(frame: object, event: str, argument: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        with contextlib.suppress(ProtocolError):
            call()
    finally:
        sys.setprofile(None)
    return count


MANY_FIELDS: dict[str, tuple[Callable[[pg.Message], object], pg.Message]] = {
    "startup": (pg.startup, pg.Message(b"", struct.pack("!i", pg.PROTOCOL) + b"user\0u\0" + b"a\0\0" * 3_300 + b"\0x")),
    "error": (pg.fields, pg.Message(b"E", b"Sx\0" * 21_000 + b"\0")),
    "row": (pg.row, pg.Message(b"D", b"\x3f\xff" + b"\xff\xff\xff\xff" * 16_383)),
    "columns": (pg.columns, pg.Message(b"T", b"\x0d\x00" + b"\0" * 19 * 3_328)),
}


# Guards against a proxy that is busy with one message for milliseconds: hundreds of clients with such a startup kept
# usual requests waiting past their time (review, case 8).
@pytest.mark.parametrize("kind", MANY_FIELDS)
def test_a_message_of_many_fields_is_refused_after_a_bounded_number_of_them(kind: str) -> None:
    read, message = MANY_FIELDS[kind]
    with pytest.raises(ProtocolError, match="expected at most"):
        read(message)
    assert calls_made(lambda: read(message)) <= 12 * pg.MAX_STARTUP_PARAMETERS


def test_as_many_fields_as_the_limits_allow_are_read() -> None:
    parameters = {"user": "u"} | {f"p{number}": "" for number in range(pg.MAX_STARTUP_PARAMETERS - 1)}
    assert pg.startup(pg.make_startup(parameters)) == pg.Startup(pg.PROTOCOL, parameters)
    assert pg.columns(pg.make_columns((b"n",) * pg.MAX_COLUMNS, (25,) * pg.MAX_COLUMNS)) == pg.MAX_COLUMNS
    assert pg.row(pg.make_row((b"x",) * pg.MAX_COLUMNS)) == (b"x",) * pg.MAX_COLUMNS


@given(st.lists(st.binary(max_size=30), max_size=20), st.booleans())
def test_any_bytes_give_messages_or_a_protocol_error(pieces: list[bytes], is_frontend: bool) -> None:
    reader = (
        pg.frontend_reader(Limits(message_bytes=64)) if is_frontend else pg.backend_reader(Limits(message_bytes=64))
    )
    max_pending = 0
    try:
        for piece in pieces:
            reader.feed(piece)
            while reader.take() is not None:
                pass
            max_pending = max(max_pending, reader.pending)
    except ProtocolError:
        pass
    assert max_pending <= 10_000 + 30


def test_strings_with_a_zero_byte_are_refused() -> None:
    with pytest.raises(ProtocolError, match="zero byte"):
        pg.make_query(b"a\0b")
    with pytest.raises(ProtocolError, match="zero byte"):
        pg.make_startup({"user": "a\0database\0x"})
    with pytest.raises(ProtocolError, match="zero byte"):
        pg.make_complete(b"\0")
