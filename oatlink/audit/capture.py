"""Recorded traffic with times, and the external events that the checkers need to know. No I/O.

A capture identifies bytes by place (a client or a box), connection at that place, and direction as seen from the
place. An event records what was done to the system and when: a box was started, the roster announced a drain, a
gateway was killed.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from oatlink.protocols.resp import CommandReader, ProtocolError, ReplyReader


@dataclass(slots=True)
class Call:
    """One command on one connection and its reply; times in microseconds, -1 where there was no reply."""

    place: str
    connection: int
    args: list[bytes]
    sent_us: int
    reply: bytes = b""
    replied_us: int = -1


@dataclass(slots=True)
class Chunk:
    """Bytes and the time at which they were recorded; `out` means that the place itself wrote them."""

    at_us: int
    out: bool
    data: bytes


@dataclass(frozen=True, slots=True)
class Event:
    """An action on a box or a gateway.

    `what` is started, stopped, draining, ready or gone for a box, and killed, ending, halted or resumed for a gateway.
    """

    at_us: int
    target: str  # a box or a gateway
    what: str


@dataclass(frozen=True, slots=True)
class Applied:
    """A command that changed a box's data, at a primary or from its log. FLUSHALL means that all data were dropped."""

    at_us: int
    box: str
    args: list[bytes]


@dataclass(slots=True)
class Capture:
    """All traffic of one run."""

    chunks: dict[tuple[str, int], list[Chunk]] = field(default_factory=lambda: defaultdict(list))
    events: list[Event] = field(default_factory=list)
    gateways: dict[tuple[str, int], str] = field(default_factory=dict)  # by client connection: the gateway it is to
    applied: list[Applied] = field(default_factory=list)  # only the commands that a checker needs
    bytes_kept: int = 0

    def add(self, at_us: int, place: str, connection: int, out: bool, data: bytes) -> None:
        """Record bytes."""
        self.chunks[place, connection].append(Chunk(at_us, out, data))
        self.bytes_kept += len(data)

    def set_gateway(self, place: str, connection: int, gateway: str) -> None:
        """Record which gateway a client's connection is to; only needed where that gateway may be killed."""
        self.gateways[place, connection] = gateway

    def add_applied(self, at_us: int, box: str, args: list[bytes]) -> None:
        """Record that a box has applied a command."""
        self.applied.append(Applied(at_us, box, args))

    def add_event(self, at_us: int, target: str, what: str) -> None:
        """Record an event."""
        self.events.append(Event(at_us, target, what))


@dataclass(slots=True)
class ParsedConnection:
    """One connection's calls in order, and its replies that belong to no call."""

    calls: list[Call]
    unexpected_replies: int = 0
    has_protocol_error: bool = False
    is_replication: bool = False


def parse_connection(place: str, number: int, chunks: list[Chunk], commands_out: bool) -> ParsedConnection:
    """The calls of one connection. `commands_out`: the place wrote the commands (a client), else it read them."""
    commands, replies = CommandReader(), ReplyReader()
    parsed = ParsedConnection([])
    reply_count = 0
    for chunk in chunks:
        try:
            if chunk.out is commands_out:
                commands.feed(chunk.data)
                while (args := commands.take()) is not None:
                    parsed.calls.append(Call(place, number, args, chunk.at_us))
                    if args[0].upper() == b"PSYNC":
                        parsed.is_replication = True
                        return parsed
            else:
                replies.feed(chunk.data)
                while (frame := replies.take()) is not None:
                    if reply_count < len(parsed.calls):
                        call = parsed.calls[reply_count]
                        call.reply, call.replied_us = frame, chunk.at_us
                        reply_count += 1
                    else:
                        parsed.unexpected_replies += 1
        except ProtocolError:
            parsed.has_protocol_error = True
            return parsed
    return parsed
