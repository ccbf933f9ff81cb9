"""What all connections that a node has accepted share, and whom each of them asks. Values only, no I/O."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from oatlink.fleet import envelope


class InboundContext:
    """What all incoming links of a node share; `take` is told of each message: sender and body."""

    def __init__(
        self, node: str, fleet: str, most_bytes: int, take: Callable[[str, bytes], None], counters: Counter[str]
    ) -> None:
        self.node, self.fleet, self.most_bytes, self.take, self.counters = node, fleet, most_bytes, take, counters
        self.ticks = 0  # time here is counted in them: a process that stood still takes nobody for silent


class PeerConnection(Protocol):
    """A connection, as it is judged: who it says it is once that is proved, and when it was last heard."""

    name: str
    incarnation: int
    nonce: bytes
    heard: int
    address: str  # where it listens, as it says; empty if it does not

    def acknowledge(self) -> None:
        """Tell the sender what has come."""
        ...

    def close(self) -> None:
        """Hear nothing more on it, at once."""
        ...


class ConnectionOwner(Protocol):
    """Who lets a connection in, and wants to know of its end."""

    def prove(self, one: PeerConnection, frame: bytes) -> envelope.Seal | None:
        """Frame 0 has come: the sender's seal, or None where it is not to be heard."""
        ...

    def gone(self, one: PeerConnection) -> None:
        """A connection has ended."""
        ...
