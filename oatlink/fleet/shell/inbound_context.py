"""What all accepted connections of a node share, and the interfaces between a connection and its listener. No I/O."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from oatlink.fleet import envelope


class InboundContext:
    """Shared state of all inbound connections of a node. `receive` is called with sender and body of each message."""

    def __init__(
        self, node: str, fleet: str, max_frame_bytes: int, receive: Callable[[str, bytes], None], counters: Counter[str]
    ) -> None:
        self.node, self.fleet, self.max_frame_bytes = node, fleet, max_frame_bytes
        self.receive, self.counters = receive, counters
        self.ticks = 0  # timeouts count ticks: after a pause of the process, its peers do not count as silent


class PeerConnection(Protocol):
    """An accepted connection: the authenticated name of its sender, and the tick of its last valid frame."""

    name: str
    incarnation: int
    nonce: bytes
    last_heard_tick: int
    address: str  # where the sender listens, according to its greeting; empty if not given

    def acknowledge(self) -> None:
        """Acknowledge the frames accepted so far to the sender."""
        ...

    def close(self) -> None:
        """Close the connection at once, without reading more from it."""
        ...


class ConnectionOwner(Protocol):
    """Authenticates connections, and is notified when they end."""

    def authenticate(self, connection: PeerConnection, frame: bytes) -> envelope.Seal | None:
        """Check frame 0: the seal of the sender, or None if the connection is to be closed."""
        ...

    def gone(self, connection: PeerConnection) -> None:
        """A connection has ended."""
        ...
