"""The RESP codec: round trips, any split of the bytes, limits checked before allocation, errors for malformed input."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatlink.protocols import resp

LINE = st.binary(max_size=20).map(lambda data: data.replace(b"\r", b"").replace(b"\n", b""))
LEAF = st.one_of(
    st.integers(-(2**63), 2**63 - 1),
    st.binary(max_size=40),
    st.booleans(),
    LINE.map(resp.Simple),
    LINE.map(resp.Error),
    st.binary(max_size=20).map(lambda text: resp.Error(text, blob=True)),
    st.just(resp.Null()),
    st.floats(allow_nan=False).map(lambda number: resp.Double(repr(number).encode())),
    st.integers().map(resp.BigNumber),
    st.binary(max_size=20).map(lambda data: resp.Verbatim(b"txt", data)),
)
VALUE = st.recursive(
    LEAF,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4).map(lambda items: resp.Array(tuple(items))),
        st.lists(inner, max_size=4).map(lambda items: resp.SetOf(tuple(items))),
        st.lists(st.tuples(inner, inner), max_size=3).map(lambda pairs: resp.Map(tuple(pairs))),
        st.tuples(st.lists(st.tuples(inner, inner), max_size=2), inner).map(
            lambda parts: resp.Attribute(tuple(parts[0]), parts[1])
        ),
    ),
    max_leaves=12,
)


def read_replies(data: bytes, splits: list[int]) -> list[bytes]:
    """Feed the bytes in pieces; `splits` are positions modulo the length of the data."""
    reader, replies, start = resp.ReplyReader(), [], 0
    for end in [*sorted(split % (len(data) + 1) for split in splits), len(data)]:
        reader.feed(data[start:end])
        start = end
        while (reply := reader.take()) is not None:
            replies.append(reply)
    return replies


def read_commands(data: bytes, splits: list[int], limits: resp.Limits = resp.DEFAULT_LIMITS) -> list[list[bytes]]:
    """Feed the bytes in pieces; `splits` are positions modulo the length of the data."""
    reader, commands, start = resp.CommandReader(limits), [], 0
    for end in [*sorted(split % (len(data) + 1) for split in splits), len(data)]:
        reader.feed(data[start:end])
        start = end
        while (args := reader.take()) is not None:
            commands.append(args)
    return commands


@given(st.lists(VALUE, min_size=1, max_size=4), st.lists(st.integers(0, 10_000), max_size=8))
def test_replies_round_trip_at_any_split(values: list[resp.Value], splits: list[int]) -> None:
    data = b"".join(map(resp.encode, values))
    assert [resp.decode(reply) for reply in read_replies(data, splits)] == values


@given(
    st.lists(st.lists(st.binary(max_size=30), min_size=1, max_size=5), max_size=5),
    st.lists(st.integers(0, 999)),
)
def test_commands_round_trip_at_any_split(sent: list[list[bytes]], splits: list[int]) -> None:
    assert read_commands(b"".join(map(resp.encode_command, sent)), splits) == sent


@given(st.binary(max_size=300), st.lists(st.integers(0, 999), max_size=5))
def test_random_bytes_raise_only_protocol_errors_at_any_split(data: bytes, splits: list[int]) -> None:
    def outcome(read: object, splits: list[int]) -> object:
        try:
            return read(data, splits)  # type: ignore[operator]
        except resp.ProtocolError as error:
            return str(error)

    split_outcome = outcome(read_commands, splits)
    assert split_outcome == outcome(read_commands, []) or isinstance(split_outcome, str)
    for read in (read_commands, read_replies):
        outcome(read, splits)


@settings(max_examples=200)
@given(st.integers(0, 2**32))
def test_mutated_messages_raise_only_protocol_errors(seed: int) -> None:
    rng = random.Random(seed)
    data = bytearray(resp.command("SET", "key", "value" * rng.randrange(9)) * 3 + b"%1\r\n+a\r\n*2\r\n:1\r\n$-1\r\n")
    for _ in range(rng.randrange(1, 6)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    for read in (read_commands, read_replies):
        try:
            read(bytes(data), [rng.randrange(99)])
        except resp.ProtocolError as error:
            assert str(error).startswith("ERR Protocol error: ")


@pytest.mark.parametrize(
    ("data", "text"),
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
def test_malformed_commands_get_the_error_text_of_the_reference_server(data: bytes, text: str) -> None:
    with pytest.raises(resp.ProtocolError, match="Protocol error") as caught:
        read_commands(data, [])
    assert text in str(caught.value)


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
        read_replies(data, [])


def test_limits_are_checked_before_memory_is_allocated() -> None:
    reader = resp.CommandReader(resp.Limits(bulk_bytes=1_000, message_bytes=1_500))
    reader.feed(b"*2\r\n$1000\r\n" + b"x" * 1000 + b"\r\n$1000\r\n")
    with pytest.raises(resp.ProtocolError, match="too big request"):
        reader.take()
    assert reader.pending < 2_100


def test_inline_commands_may_have_quotes_and_escapes() -> None:
    assert read_commands(b"\r\n  SET \"a\\x41\\n\" 'it\\'s' x\r\n", []) == [[b"SET", b"aA\n", b"it's", b"x"]]


def test_resp2_clients_are_sent_resp2_types() -> None:
    value = resp.Map(((b"a", True), (b"b", resp.Array((resp.Double(b"1.5"), resp.Null())))))
    assert resp.encode(value, 2) == b"*4\r\n$1\r\na\r\n:1\r\n$1\r\nb\r\n*2\r\n$3\r\n1.5\r\n$-1\r\n"


def test_both_nulls_of_resp2_are_read_and_become_one_in_resp3() -> None:
    assert [resp.decode(reply) for reply in read_replies(b"$-1\r\n*-1\r\n", [])] == [resp.Null(b"$"), resp.Null(b"*")]
    assert {resp.encode(resp.Null(kind), 3) for kind in (b"_", b"$", b"*")} == {b"_\r\n"}
    assert resp.encode(resp.Null(b"*"), 2) == b"*-1\r\n"
