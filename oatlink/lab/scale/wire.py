"""How many bytes things have on the wire, by the codecs that write them. Without TCP's own."""

import msgspec

from oatlink.fleet import envelope, messages
from oatlink.fleet.messages import VERSION
from oatlink.platform.discovery.lists import Entry
from oatlink.platform.servers.connection import CHECK
from oatlink.protocols import pgwire as pg

NONCE = bytes(envelope.NONCE_BYTES)
HASH = "0" * 16  # a fleet's, in each greeting
NAME = "gateway-0000"
ACK = len(envelope.ack(0))


def check_bytes() -> int:
    """A question for a load report and its answer, as the platform's gateway asks it."""
    report = b"x0=1767225600.123,x1=0"
    answer = [
        pg.make_columns((b"health",), (25,)),
        pg.make_row((report,)),
        pg.Message(b"C", b"SHOW\0"),
        pg.make_ready(),
    ]
    return len(CHECK) + sum(len(one.encode()) for one in answer)


def entry_bytes(member: int) -> int:
    """A server in discovery's list, and its comma."""
    entry = Entry(f"db-{member:05d}", "in_service", f"10.{member >> 8 & 255}.{member & 255}.7:5432", "zone-07", "db")
    return len(msgspec.json.encode(entry)) + 1


def list_bytes(members: int) -> int:
    """Discovery's whole list of so many members."""
    return members * entry_bytes(members // 2) + len(b'{"version":123456,"full":true,"servers":[]}')


def frame_bytes(message: messages.Message) -> int:
    """A frame of a node's connection to another: length, number, body, tag."""
    return envelope.LENGTH_BYTES + envelope.NUMBER_BYTES + len(envelope.encode(message)) + envelope.TAG_BYTES


def hello_bytes(name: str = NAME) -> int:
    """What a dialler writes first, where names are as long as this one."""
    hello = envelope.Hello(VERSION, name, 1 << 47, HASH, name)
    return envelope.LENGTH_BYTES + envelope.NUMBER_BYTES + len(envelope.encode(hello)) + envelope.TAG_BYTES


def challenge_bytes() -> int:
    """What an acceptor writes first."""
    return len(envelope.challenge(NONCE, NAME, HASH))
