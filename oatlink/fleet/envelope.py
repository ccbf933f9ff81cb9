"""What crosses a link between two nodes: frames, how a connection begins, and who has said what. No I/O.

What may live here: bytes to frames with bounded memory, and the proof that a frame is a listed node's, said on this
connection, for this node, in this order. What becomes of it is the shell's.

A connection carries messages one way, from the node that dialled it:

- the acceptor writes a `Challenge` at once: its name, the fleet's hash and 16 random bytes, drawn anew each time;
- the dialler writes a `Hello` as its frame 0, and messages as the frames 1, 2, ...;
- the acceptor writes back now and then the number of the newest frame that it has taken.

A frame is its length (4 bytes, of what follows), its number (8), a body, and a tag (16): keyed BLAKE2b over the
challenge's bytes, the sender's name and incarnation, the number and the body.

Threats, and what stands against each: a frame made up or changed (the tag); one recorded and played on another
connection (the challenge's bytes); one doubled or taken out of order on its own (the number); a node that is led to
another than it dialled, which passes its words on (`Hello.to`). Acks and challenges bear no tag: whoever forges them
can make a dialler wait or dial again, and so can whoever cuts the link. Nothing here is secret.
"""

import hashlib
import hmac
import struct

import msgspec

from oatlink.fleet.messages import VERSION, AnyMessage

MAGIC = b"OATFLEET"
NONCE_BYTES = 16
TAG_BYTES = 16
LENGTH_BYTES = 4  # bytes of a length
NUMBER_BYTES = 8
MIN_FRAME_BYTES = NUMBER_BYTES + TAG_BYTES  # bytes of a frame without a body
MAX_GREETING_BYTES = 512  # bytes of a frame from somebody who has proved nothing, and of all that an acceptor writes

_length = struct.Struct(">I")
_number = struct.Struct(">Q")


class Challenge(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor begins with."""

    magic: bytes
    version: int
    nonce: bytes
    node: str
    fleet: str


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """What a dialler says of itself; `to` is whom it means, `address` where it listens, if that is to be known."""

    version: int
    node: str
    incarnation: int
    fleet: str
    to: str
    address: str = ""


_encoder = msgspec.msgpack.Encoder()
_messages: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)
_challenges = msgspec.msgpack.Decoder(Challenge)
_hellos = msgspec.msgpack.Decoder(Hello)
_BAD = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)  # too deep, too large, not UTF-8, ...


def encode(message: msgspec.Struct) -> bytes:
    """The body of a message. Raises what msgspec raises for a value that no message can carry."""
    return _encoder.encode(message)


def decode(body: bytes) -> AnyMessage | None:
    """The message of a body; None where this node knows none such."""
    try:
        return _messages.decode(body)
    except _BAD:
        return None


def with_length(payload: bytes) -> bytes:
    """A payload behind its length."""
    return _length.pack(len(payload)) + payload


def challenge(nonce: bytes, node: str, fleet: str) -> bytes:
    """What an acceptor writes first."""
    return with_length(_encoder.encode(Challenge(MAGIC, VERSION, nonce, node, fleet)))


def read_challenge(payload: bytes) -> Challenge | None:
    """A challenge, or None where this is none."""
    try:
        one = _challenges.decode(payload)
    except _BAD:
        return None
    return one if one.magic == MAGIC and len(one.nonce) == NONCE_BYTES else None


def read_hello(frame: bytes) -> Hello | None:
    """What frame 0 says, before it is proved; None where it says nothing."""
    try:
        return _hellos.decode(frame[NUMBER_BYTES:-TAG_BYTES]) if frame[:NUMBER_BYTES] == _number.pack(0) else None
    except _BAD:
        return None


def ack(number: int) -> bytes:
    """What an acceptor writes of the newest frame that it has taken."""
    return with_length(_number.pack(number))


def read_ack(payload: bytes) -> int | None:
    """The number in an ack, or None where this is none."""
    return int(_number.unpack(payload)[0]) if len(payload) == NUMBER_BYTES else None


def derive_key(secret: bytes) -> bytes:
    """The key that a secret of any length stands for."""
    return hashlib.blake2b(secret, digest_size=64, person=b"oatlink fleet 1").digest()


class Seal:
    """One sender on one connection: makes its frames and checks them."""

    def __init__(self, key: bytes, nonce: bytes, node: str, incarnation: int) -> None:
        name = node.encode("utf-8", "surrogatepass")
        # Each part has its length before it or is of fixed length, so that no two senders' texts can be the same.
        self._base = hashlib.blake2b(key=key, digest_size=TAG_BYTES)
        self._base.update(nonce + with_length(name) + with_length(str(incarnation).encode()))

    def _tag(self, numbered: bytes) -> bytes:
        one = self._base.copy()
        one.update(numbered)
        return one.digest()

    def seal(self, number: int, body: bytes) -> bytes:
        """A whole frame, ready to be written."""
        numbered = _number.pack(number) + body
        return with_length(numbered + self._tag(numbered))

    def opened(self, frame: bytes) -> tuple[int, bytes] | None:
        """The number and body of a frame without its length; None where the tag is not this sender's."""
        if len(frame) < MIN_FRAME_BYTES or not hmac.compare_digest(self._tag(frame[:-TAG_BYTES]), frame[-TAG_BYTES:]):
            return None
        return int(_number.unpack_from(frame)[0]), frame[NUMBER_BYTES:-TAG_BYTES]


class Reader:
    """Bytes to frames. Once all whole ones are taken it holds less than one more: `most` bytes and a length.

    `broken`: a length was over `most`. Nothing is held or found from then on.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.broken = False
        self._held = bytearray()

    def __len__(self) -> int:
        return len(self._held)

    def feed(self, data: bytes) -> None:
        """Bytes have come; take all frames before the next ones."""
        if not self.broken:
            self._held += data

    def take(self) -> bytes | None:
        """The next whole frame without its length; None until there is one."""
        if len(self._held) < LENGTH_BYTES:
            return None
        length = int(_length.unpack_from(self._held)[0])
        if length > self.most:
            # Threat: a length of 4 GB. What it announces is never waited for.
            self.broken = True
            self._held.clear()
            return None
        if len(self._held) - LENGTH_BYTES < length:
            return None
        frame = bytes(self._held[LENGTH_BYTES : LENGTH_BYTES + length])
        del self._held[: LENGTH_BYTES + length]
        return frame
