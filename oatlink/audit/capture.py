"""What crossed the sockets, with times, and the facts of the world that the judge needs. No I/O.

A capture names a place (a client or a box), a connection there, a direction seen from that place, and bytes.
Notices are what was done to the world at a time: a box started, the roster told of a drain, a gateway killed.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from oatlink.protocols.resp import CommandReader, ProtocolError, ReplyReader


@dataclass(slots=True)
class Call:
    """One command on one connection and what came back; times in microseconds, -1 for never."""

    place: str
    connection: int
    args: list[bytes]
    sent_us: int
    reply: bytes = b""
    replied_us: int = -1


@dataclass(slots=True)
class Chunk:
    """Bytes at a time; `out` means written by the place's own end."""

    at_us: int
    out: bool
    data: bytes


@dataclass(frozen=True, slots=True)
class Event:
    """A fact: `what` is started, stopped, draining, ready or gone; of a gateway killed, ending, halted or resumed."""

    at_us: int
    target: str  # a box or a gateway
    what: str


@dataclass(frozen=True, slots=True)
class Applied:
    """A command that a box's data have taken, at a primary or from its log; FLUSHALL: all was let go."""

    at_us: int
    box: str
    args: list[bytes]


@dataclass(slots=True)
class Capture:
    """All traffic of one run."""

    chunks: dict[tuple[str, int], list[Chunk]] = field(default_factory=lambda: defaultdict(list))
    events: list[Event] = field(default_factory=list)
    gateways: dict[tuple[str, int], str] = field(default_factory=dict)  # the gateway at a client connection's other end
    applied: list[Applied] = field(default_factory=list)  # of what a judge wants to know, not all
    bytes_kept: int = 0

    def add(self, at_us: int, place: str, connection: int, out: bool, data: bytes) -> None:
        """Keep bytes."""
        self.chunks[place, connection].append(Chunk(at_us, out, data))
        self.bytes_kept += len(data)

    def set_gateway(self, place: str, connection: int, gateway: str) -> None:
        """Keep which gateway a client's connection is to; only where that may be killed need it be known."""
        self.gateways[place, connection] = gateway

    def add_applied(self, at_us: int, box: str, args: list[bytes]) -> None:
        """Keep that a box has applied a command."""
        self.applied.append(Applied(at_us, box, args))

    def add_event(self, at_us: int, box: str, what: str) -> None:
        """Keep a fact."""
        self.events.append(Event(at_us, box, what))


@dataclass(slots=True)
class Line:
    """One connection read back: its calls in order, and replies that nothing asked for."""

    calls: list[Call]
    extra: int = 0
    broken: bool = False
    replication: bool = False


def read_line(place: str, number: int, chunks: list[Chunk], commands_out: bool) -> Line:
    """The calls of one connection. `commands_out`: this end wrote the commands (a client), else it read them."""
    commands, replies = CommandReader(), ReplyReader()
    line = Line([])
    answered = 0
    for chunk in chunks:
        try:
            if chunk.out is commands_out:
                commands.feed(chunk.data)
                while (args := commands.take()) is not None:
                    line.calls.append(Call(place, number, args, chunk.at_us))
                    if args[0].upper() == b"PSYNC":
                        line.replication = True
                        return line
            else:
                replies.feed(chunk.data)
                while (frame := replies.take()) is not None:
                    if answered < len(line.calls):
                        line.calls[answered].reply, line.calls[answered].replied_us = frame, chunk.at_us
                        answered += 1
                    else:
                        line.extra += 1
        except ProtocolError:
            line.broken = True
            return line
    return line
