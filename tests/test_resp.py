"""The codec: round trip, any split, limits before memory, the server's own words for malformed input."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatlink.protocols import resp

LINE = st.binary(max_size=20).map(lambda one: one.replace(b"\r", b"").replace(b"\n", b""))
LEAF = st.one_of(
    st.integers(-(2**63), 2**63 - 1),
    st.binary(max_size=40),
    st.booleans(),
    LINE.map(resp.Simple),
    LINE.map(resp.Error),
    st.binary(max_size=20).map(lambda one: resp.Error(one, blob=True)),
    st.just(resp.Null()),
    st.floats(allow_nan=False).map(lambda one: resp.Double(repr(one).encode())),
    st.integers().map(resp.BigNumber),
    st.binary(max_size=20).map(lambda one: resp.Verbatim(b"txt", one)),
)
VALUE = st.recursive(
    LEAF,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4).map(lambda one: resp.Array(tuple(one))),
        st.lists(inner, max_size=4).map(lambda one: resp.SetOf(tuple(one))),
        st.lists(st.tuples(inner, inner), max_size=3).map(lambda one: resp.Map(tuple(one))),
        st.tuples(st.lists(st.tuples(inner, inner), max_size=2), inner).map(
            lambda one: resp.Attribute(tuple(one[0]), one[1])
        ),
    ),
    max_leaves=12,
)


def replies(data: bytes, cuts: list[int]) -> list[bytes]:
    reader, out, last = resp.ReplyReader(), [], 0
    for cut in [*sorted(one % (len(data) + 1) for one in cuts), len(data)]:
        reader.feed(data[last:cut])
        last = cut
        while (frame := reader.take()) is not None:
            out.append(frame)
    return out


def commands(data: bytes, cuts: list[int], limits: resp.Limits = resp.DEFAULT_LIMITS) -> list[list[bytes]]:
    reader, out, last = resp.CommandReader(limits), [], 0
    for cut in [*sorted(one % (len(data) + 1) for one in cuts), len(data)]:
        reader.feed(data[last:cut])
        last = cut
        while (args := reader.take()) is not None:
            out.append(args)
    return out


@given(st.lists(VALUE, min_size=1, max_size=4), st.lists(st.integers(0, 10_000), max_size=8))
def test_replies_round_trip_at_any_split(values: list[resp.Value], cuts: list[int]) -> None:
    data = b"".join(map(resp.encode, values))
    assert [resp.decode(one) for one in replies(data, cuts)] == values


@given(
    st.lists(st.lists(st.binary(max_size=30), min_size=1, max_size=5), max_size=5),
    st.lists(st.integers(0, 999)),
)
def test_commands_round_trip_at_any_split(sent: list[list[bytes]], cuts: list[int]) -> None:
    assert commands(b"".join(map(resp.encode_command, sent)), cuts) == sent


@given(st.binary(max_size=300), st.lists(st.integers(0, 999), max_size=5))
def test_random_bytes_raise_only_the_codecs_error_and_any_split_agrees(data: bytes, cuts: list[int]) -> None:
    def outcome(read: object, splits: list[int]) -> object:
        try:
            return read(data, splits)  # type: ignore[operator]
        except resp.ProtocolError as error:
            return str(error)

    assert outcome(commands, cuts) == outcome(commands, []) or isinstance(outcome(commands, cuts), str)
    for read in (commands, replies):
        outcome(read, cuts)


@settings(max_examples=200)
@given(st.integers(0, 2**32))
def test_mutated_messages_never_raise_anything_else(seed: int) -> None:
    rng = random.Random(seed)
    data = bytearray(resp.command("SET", "key", "value" * rng.randrange(9)) * 3 + b"%1\r\n+a\r\n*2\r\n:1\r\n$-1\r\n")
    for _ in range(rng.randrange(1, 6)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    for read in (commands, replies):
        try:
            read(bytes(data), [rng.randrange(99)])
        except resp.ProtocolError as error:
            assert str(error).startswith("ERR Protocol error: ")


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"*x\r\n", "invalid multibulk length"),
        (b"*1048577\r\n", "invalid multibulk length"),
        (b"*1\r\n:1\r\n", "expected '$', got ':'"),
        (b"*1\r\n$-5\r\n", "invalid bulk length"),
        (b"*1\r\n$999999999999\r\n", "invalid bulk length"),
        (b"*1" + b"1" * 70, "too big mbulk count string"),
        (b"*1\r\n$" + b"1" * 70, "too big bulk count string"),
        (b"*1\r\n$1\r\nabc", "expected CRLF"),
        (b'GET "a\r\n', "unbalanced quotes in request"),
        (b"x" * 70_000, "too big inline request"),
    ],
)
def test_malformed_commands_get_the_words_of_a_server(data: bytes, words: str) -> None:
    with pytest.raises(resp.ProtocolError, match="Protocol error") as caught:
        commands(data, [])
    assert words in str(caught.value)


@pytest.mark.parametrize(
    "data",
    [
        b"*?\r\n",
        b"$?\r\n",
        b"?x\r\n",
        b"_x\r\n",
        b"#x\r\n",
        b",x\r\n",
        b"(x\r\n",
        b":x\r\n",
        b"=2\r\nab\r\n",
        b"*1\r\n>1\r\n",
        b"%-1\r\n",
        b"*1\r\n" * 40,
        b"+a\nb\r\n",
    ],
)
def test_malformed_replies_are_refused(data: bytes) -> None:
    with pytest.raises(resp.ProtocolError):
        replies(data, [])


def test_a_limit_binds_before_memory_is_taken() -> None:
    reader = resp.CommandReader(resp.Limits(bulk_bytes=1_000, message_bytes=1_500))
    reader.feed(b"*2\r\n$1000\r\n" + b"x" * 1000 + b"\r\n$1000\r\n")
    with pytest.raises(resp.ProtocolError, match="too big request"):
        reader.take()
    assert reader.pending < 2_100


def test_inline_commands_know_quotes_and_escapes() -> None:
    assert commands(b"\r\n  SET \"a\\x41\\n\" 'it\\'s' x\r\n", []) == [[b"SET", b"aA\n", b"it's", b"x"]]


def test_resp2_clients_are_sent_resp2_types() -> None:
    value = resp.Map(((b"a", True), (b"b", resp.Array((resp.Double(b"1.5"), resp.Null())))))
    assert resp.encode(value, 2) == b"*4\r\n$1\r\na\r\n:1\r\n$1\r\nb\r\n*2\r\n$3\r\n1.5\r\n$-1\r\n"


def test_the_two_nulls_of_resp2_are_read_and_resp3_has_one() -> None:
    assert [resp.decode(one) for one in replies(b"$-1\r\n*-1\r\n", [])] == [resp.Null(b"$"), resp.Null(b"*")]
    assert {resp.encode(resp.Null(kind), 3) for kind in (b"_", b"$", b"*")} == {b"_\r\n"}
    assert resp.encode(resp.Null(b"*"), 2) == b"*-1\r\n"
