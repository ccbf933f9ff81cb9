"""Frames and messages from arbitrary bytes: no error, bounded memory, and no frame is taken for another sender's."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet import envelope
from oatlink.fleet import messages as m

KEY, OTHER = envelope.derive_key(b"k" * 32), envelope.derive_key(b"o" * 32)
NONCE = bytes(range(16))
MAX_BYTES = 200


def pieces(data: bytes, seed: int) -> list[bytes]:
    """The data in pieces of random sizes, as a socket may deliver it."""
    rng, parts = random.Random(seed), []
    while data:
        size = rng.choice((1, 2, 3, 7, 50, 1_000))
        parts.append(data[:size])
        data = data[size:]
    return parts


def read(parts: list[bytes], max_bytes: int = MAX_BYTES) -> tuple[list[bytes], envelope.Reader]:
    """The frames of these parts, and the reader after them."""
    reader, frames = envelope.Reader(max_bytes), []
    for part in parts:
        reader.feed(part)
        while (frame := reader.take()) is not None:
            assert len(frame) <= max_bytes
            frames.append(frame)
        assert len(reader) < max_bytes + envelope.LENGTH_BYTES
        assert not (reader.broken and len(reader))
    return frames, reader


@given(st.lists(st.binary(max_size=MAX_BYTES), max_size=20), st.binary(max_size=600), st.integers(0, 9))
def test_frames_are_read_as_they_were_written_whatever_follows_them(
    payloads: list[bytes], noise: bytes, seed: int
) -> None:
    whole = b"".join(envelope.with_length(payload) for payload in payloads)
    frames, reader = read(pieces(whole, seed))
    assert frames == payloads and len(reader) == 0 and not reader.broken
    assert read(pieces(whole + noise, seed))[0][: len(payloads)] == payloads
    # A length over the bound breaks the reader at once and for good.
    frames, reader = read(pieces(whole + (MAX_BYTES + 1).to_bytes(4, "big") + noise, seed))
    assert frames == payloads and reader.broken


@given(st.binary(max_size=300))
def test_arbitrary_bytes_never_raise(data: bytes) -> None:
    seal = envelope.Seal(KEY, NONCE, "a", 1)
    assert seal.open(data) is None
    envelope.decode(data)
    assert envelope.read_challenge(data) is None
    envelope.read_hello(data)
    envelope.read_hello(bytes(8) + data + bytes(16))
    assert envelope.read_ack(data) is None or len(data) == 8


def test_bodies_that_are_nested_too_deep_too_long_or_unknown_are_not_decoded() -> None:
    start = b"\x92\xa6Gossip"
    bombs = [start + b"\x91" * 60_000, start + b"\xdd\xff\xff\xff\xff", b"\x93\xa6Gossip\x90" + b"\x91" * 60_000]
    for bomb in [*bombs, b"\x92\xa6Future\x01", b"\x92\xa5Alive\xd9\x02\xff\xff"]:
        assert envelope.decode(bomb) is None


def test_messages_and_greetings_round_trip_and_newer_fields_are_ignored() -> None:
    prepare = m.Prepare("k", m.Ballot(1, "a"))
    for message in (m.Alive(7, True), m.Want(1, 2, (m.Demand("t", 3.5),)), m.Gossip(()), prepare):
        body = envelope.encode(message)
        assert envelope.decode(body) == message
        assert envelope.decode(msgspec.msgpack.encode([*msgspec.msgpack.decode(body), 1, [2]])) == message
    challenge = envelope.read_challenge(envelope.challenge(NONCE, "a", "f")[4:])
    assert challenge is not None and (challenge.nonce, challenge.node, challenge.fleet) == (NONCE, "a", "f")
    hello = envelope.Hello(1, "a", 2**63, "f", "b")
    assert envelope.read_hello(envelope.Seal(KEY, NONCE, "a", 1).seal(0, envelope.encode(hello))[4:]) == hello
    assert envelope.read_hello(envelope.Seal(KEY, NONCE, "a", 1).seal(1, envelope.encode(hello))[4:]) is None


OTHER_SENDERS = [(OTHER, NONCE, "a", 1), (KEY, NONCE[::-1], "a", 1), (KEY, NONCE, "b", 1), (KEY, NONCE, "a", 11)]
OTHER_SEALS = [envelope.Seal(*sender) for sender in (*OTHER_SENDERS, (KEY, NONCE, "a1", 1), (KEY, NONCE, "", 1))]


@given(st.binary(max_size=100), st.integers(0, 2**64 - 1), st.integers(0, 10_000), st.integers(1, 255))
def test_only_the_unchanged_frame_of_its_sender_is_opened(body: bytes, number: int, offset: int, change: int) -> None:
    seal = envelope.Seal(KEY, NONCE, "a", 1)
    frame = seal.seal(number, body)[4:]
    assert seal.open(frame) == (number, body)
    assert all(other.open(frame) is None for other in OTHER_SEALS)
    changed = bytearray(frame)
    changed[offset % len(frame)] ^= change
    assert seal.open(bytes(changed)) is None
    assert seal.open(frame[:-1]) is None and seal.open(frame + b"\0") is None


@pytest.mark.parametrize("part", ["nonce", "name", "incarnation", "key"])
def test_each_part_under_the_tag_is_needed(part: str) -> None:
    """A seal that leaves one part out opens the frames of another sender, which the test above would detect."""

    class Careless(envelope.Seal):
        def __init__(self, key: bytes, nonce: bytes, node: str, incarnation: int) -> None:
            nonce, node = NONCE if part == "nonce" else nonce, "a" if part == "name" else node
            super().__init__(KEY if part == "key" else key, nonce, node, 1 if part == "incarnation" else incarnation)

    frame = Careless(KEY, NONCE, "a", 1).seal(3, b"x")[4:]
    passed = [Careless(*sender).open(frame) is not None for sender in OTHER_SENDERS]
    assert passed == [part == missing for missing in ("key", "nonce", "name", "incarnation")]
