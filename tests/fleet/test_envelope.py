"""Whatever bytes come, in whatever pieces: no error, bounded memory, and only a sender's own words pass for its own."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet import envelope
from oatlink.fleet import messages as m

KEY, OTHER = envelope.derive_key(b"k" * 32), envelope.derive_key(b"o" * 32)
NONCE = bytes(range(16))
MOST = 200


def pieces(data: bytes, seed: int) -> list[bytes]:
    rng, out = random.Random(seed), []
    while data:
        size = rng.choice((1, 2, 3, 7, 50, 1_000))
        out.append(data[:size])
        data = data[size:]
    return out


def read(parts: list[bytes], most: int = MOST) -> tuple[list[bytes], envelope.Reader]:
    reader, found = envelope.Reader(most), []
    for one in parts:
        reader.feed(one)
        while (frame := reader.take()) is not None:
            assert len(frame) <= most
            found.append(frame)
        assert len(reader) < most + envelope.LENGTH_BYTES
        assert not (reader.broken and len(reader))
    return found, reader


@given(st.lists(st.binary(max_size=MOST), max_size=20), st.binary(max_size=600), st.integers(0, 9))
def test_frames_come_out_as_they_went_in_and_noise_behind_them_costs_nothing(
    payloads: list[bytes], noise: bytes, seed: int
) -> None:
    whole = b"".join(envelope.with_length(one) for one in payloads)
    found, reader = read(pieces(whole, seed))
    assert found == payloads and len(reader) == 0 and not reader.broken
    assert read(pieces(whole + noise, seed))[0][: len(payloads)] == payloads
    # A length over the bound ends it, at once and for good.
    found, reader = read(pieces(whole + (MOST + 1).to_bytes(4, "big") + noise, seed))
    assert found == payloads and reader.broken


@given(st.binary(max_size=300))
def test_no_bytes_raise(data: bytes) -> None:
    seal = envelope.Seal(KEY, NONCE, "a", 1)
    assert seal.open(data) is None
    envelope.decode(data)
    assert envelope.read_challenge(data) is None
    envelope.read_hello(data)
    envelope.read_hello(bytes(8) + data + bytes(16))
    assert envelope.read_ack(data) is None or len(data) == 8


def test_bodies_too_deep_too_long_or_unknown_are_no_messages() -> None:
    start = b"\x92\xa6Gossip"
    bombs = [start + b"\x91" * 60_000, start + b"\xdd\xff\xff\xff\xff", b"\x93\xa6Gossip\x90" + b"\x91" * 60_000]
    for bomb in [*bombs, b"\x92\xa6Future\x01", b"\x92\xa5Alive\xd9\x02\xff\xff"]:
        assert envelope.decode(bomb) is None


def test_messages_and_greetings_come_back_and_newer_fields_are_passed_over() -> None:
    for one in (m.Alive(7, True), m.Want(1, 2, (m.Demand("t", 3.5),)), m.Gossip(()), m.Prepare("k", m.Ballot(1, "a"))):
        body = envelope.encode(one)
        assert envelope.decode(body) == one
        assert envelope.decode(msgspec.msgpack.encode([*msgspec.msgpack.decode(body), 1, [2]])) == one
    met = envelope.read_challenge(envelope.challenge(NONCE, "a", "f")[4:])
    assert met is not None and (met.nonce, met.node, met.fleet) == (NONCE, "a", "f")
    hello = envelope.Hello(1, "a", 2**63, "f", "b")
    assert envelope.read_hello(envelope.Seal(KEY, NONCE, "a", 1).seal(0, envelope.encode(hello))[4:]) == hello
    assert envelope.read_hello(envelope.Seal(KEY, NONCE, "a", 1).seal(1, envelope.encode(hello))[4:]) is None


OTHERS = [(OTHER, NONCE, "a", 1), (KEY, NONCE[::-1], "a", 1), (KEY, NONCE, "b", 1), (KEY, NONCE, "a", 11)]
SENDERS = [envelope.Seal(*one) for one in (*OTHERS, (KEY, NONCE, "a1", 1), (KEY, NONCE, "", 1))]


@given(st.binary(max_size=100), st.integers(0, 2**64 - 1), st.integers(0, 10_000), st.integers(1, 255))
def test_a_frame_is_only_its_senders_and_only_unchanged(body: bytes, number: int, at: int, change: int) -> None:
    seal = envelope.Seal(KEY, NONCE, "a", 1)
    frame = seal.seal(number, body)[4:]
    assert seal.open(frame) == (number, body)
    assert all(one.open(frame) is None for one in SENDERS)
    changed = bytearray(frame)
    changed[at % len(frame)] ^= change
    assert seal.open(bytes(changed)) is None
    assert seal.open(frame[:-1]) is None and seal.open(frame + b"\0") is None


@pytest.mark.parametrize("part", ["nonce", "name", "incarnation", "key"])
def test_without_any_one_part_under_the_tag_another_senders_frame_passes(part: str) -> None:
    """The test above would find it."""

    class Careless(envelope.Seal):
        def __init__(self, key: bytes, nonce: bytes, node: str, incarnation: int) -> None:
            nonce, node = NONCE if part == "nonce" else nonce, "a" if part == "name" else node
            super().__init__(KEY if part == "key" else key, nonce, node, 1 if part == "incarnation" else incarnation)

    frame = Careless(KEY, NONCE, "a", 1).seal(3, b"x")[4:]
    passed = [Careless(*one).open(frame) is not None for one in OTHERS]
    assert passed == [part == one for one in ("key", "nonce", "name", "incarnation")]
