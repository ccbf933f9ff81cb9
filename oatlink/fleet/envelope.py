"""The wire protocol between two nodes: frames, the handshake, and the authentication of senders. No I/O.

This module turns bytes into frames with bounded memory, and verifies that a frame was sent by a listed node, on this
connection, to this node and in this order. What is done with a frame is up to `oatlink.fleet.shell`.

A connection carries messages one way, from the node that dialled it:

- the accepting node sends a `Challenge` at once: its name, the hash of the fleet and 16 random bytes, new each time;
- the dialling node sends a `Hello` as frame 0, and messages as frames 1, 2, ...;
- the accepting node sends back the number of the newest frame that it has accepted, from time to time.

A frame is its length (4 bytes, counting what follows), its number (8), a body, and a tag (16): keyed BLAKE2b over the
random bytes of the challenge, the sender's name and incarnation, the number and the body.

Attacks, and what prevents each: a forged or changed frame (the tag); a frame recorded and replayed on another
connection (the random bytes of the challenge); a frame that is duplicated or reordered (the number); a node that is
directed to another one than it dialled, which forwards its messages (`Hello.to`). Acks and challenges have no tag:
whoever forges them can make the dialling node wait or dial again, and so can whoever cuts the link. Nothing that is
sent is secret.
"""

import hashlib
import hmac
import struct

import msgspec

from oatlink.fleet.messages import VERSION, AnyMessage

MAGIC = b"OATFLEET"
NONCE_BYTES = 16
TAG_BYTES = 16
LENGTH_BYTES = 4
NUMBER_BYTES = 8
MIN_FRAME_BYTES = NUMBER_BYTES + TAG_BYTES  # a frame without a body; the length is not counted
MAX_GREETING_BYTES = 512  # limit for frames of peers not yet authenticated, and for all that an accepting node sends

_length_format = struct.Struct(">I")
_number_format = struct.Struct(">Q")


class Challenge(msgspec.Struct, frozen=True, array_like=True):
    """The first message of an accepting node."""

    magic: bytes
    version: int
    nonce: bytes
    node: str
    fleet: str


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Greeting of a dialling node. `to`: the node it wants to reach; `address`: where it listens, or empty."""

    version: int
    node: str
    incarnation: int
    fleet: str
    to: str
    address: str = ""


_encoder = msgspec.msgpack.Encoder()
_message_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)
_challenge_decoder = msgspec.msgpack.Decoder(Challenge)
_hello_decoder = msgspec.msgpack.Decoder(Hello)
_DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)  # nested too deep, too large, not UTF-8, ...


def encode(message: msgspec.Struct) -> bytes:
    """The body of a message. Raises the errors of msgspec for a value that cannot be encoded."""
    return _encoder.encode(message)


def decode(body: bytes) -> AnyMessage | None:
    """The message in a body, None if this node cannot decode it."""
    try:
        return _message_decoder.decode(body)
    except _DECODE_ERRORS:
        return None


def with_length(payload: bytes) -> bytes:
    """A payload with its length in front."""
    return _length_format.pack(len(payload)) + payload


def challenge(nonce: bytes, node: str, fleet: str) -> bytes:
    """The bytes that an accepting node sends first."""
    return with_length(_encoder.encode(Challenge(MAGIC, VERSION, nonce, node, fleet)))


def read_challenge(payload: bytes) -> Challenge | None:
    """The challenge in a payload, or None if it is not valid."""
    try:
        found = _challenge_decoder.decode(payload)
    except _DECODE_ERRORS:
        return None
    return found if found.magic == MAGIC and len(found.nonce) == NONCE_BYTES else None


def read_hello(frame: bytes) -> Hello | None:
    """The greeting in frame 0, not yet authenticated. None if the frame is not a valid greeting."""
    try:
        return (
            _hello_decoder.decode(frame[NUMBER_BYTES:-TAG_BYTES])
            if frame[:NUMBER_BYTES] == _number_format.pack(0)
            else None
        )
    except _DECODE_ERRORS:
        return None


def ack(number: int) -> bytes:
    """The bytes by which an accepting node acknowledges all frames up to this number."""
    return with_length(_number_format.pack(number))


def read_ack(payload: bytes) -> int | None:
    """The number in an acknowledgement, or None if it is not valid."""
    return int(_number_format.unpack(payload)[0]) if len(payload) == NUMBER_BYTES else None


def derive_key(secret: bytes) -> bytes:
    """The key derived from a secret of any length."""
    return hashlib.blake2b(secret, digest_size=64, person=b"oatlink fleet 1").digest()


class Seal:
    """Seals the frames of one sender on one connection, and verifies them."""

    def __init__(self, key: bytes, nonce: bytes, node: str, incarnation: int) -> None:
        name = node.encode("utf-8", "surrogatepass")
        # Each part has its length in front or has a fixed length, so that two senders never produce the same input.
        self._keyed_hash = hashlib.blake2b(key=key, digest_size=TAG_BYTES)
        self._keyed_hash.update(nonce + with_length(name) + with_length(str(incarnation).encode()))

    def _tag(self, numbered: bytes) -> bytes:
        digest = self._keyed_hash.copy()
        digest.update(numbered)
        return digest.digest()

    def seal(self, number: int, body: bytes) -> bytes:
        """A complete frame, ready to be sent."""
        numbered = _number_format.pack(number) + body
        return with_length(numbered + self._tag(numbered))

    def open(self, frame: bytes) -> tuple[int, bytes] | None:
        """The number and body of a frame without its length. None if the tag is not that of this sender."""
        if len(frame) < MIN_FRAME_BYTES or not hmac.compare_digest(self._tag(frame[:-TAG_BYTES]), frame[-TAG_BYTES:]):
            return None
        return int(_number_format.unpack_from(frame)[0]), frame[NUMBER_BYTES:-TAG_BYTES]


class Reader:
    """Splits a stream of bytes into frames.

    Once all complete frames are taken, it buffers less than one more: `max_bytes` and a length. `broken`: a length was
    over `max_bytes`. From then on nothing is buffered and no frame is returned.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.broken = False
        self._buffer = bytearray()

    def __len__(self) -> int:
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add received bytes. Take all frames before adding more."""
        if not self.broken:
            self._buffer += data

    def take(self) -> bytes | None:
        """The next complete frame without its length. None until there is one."""
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int(_length_format.unpack_from(self._buffer)[0])
        if length > self.max_bytes:
            # Prevents buffering up to 4 GB for a frame whose length announces it.
            self.broken = True
            self._buffer.clear()
            return None
        if len(self._buffer) - LENGTH_BYTES < length:
            return None
        frame = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + length])
        del self._buffer[: LENGTH_BYTES + length]
        return frame
