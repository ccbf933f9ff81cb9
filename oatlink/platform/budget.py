"""Divides the gateway's descriptors and memory between its connections to clients and to servers. No I/O."""

from dataclasses import dataclass

from oatlink.platform.clients.pipeline import PipelineLimits
from oatlink.platform.config import Limits
from oatlink.platform.memory import REQUEST_COPIES
from oatlink.platform.statement import MAX_QUERY_BYTES, MAX_VALUE_BYTES

RESERVED_DESCRIPTORS = 24  # for the log, the event loop, the listener, signals and calls to discovery
SERVER_DESCRIPTOR_SHARE = 0.45  # of the other descriptors; the rest are for clients
ANSWER_MEMORY_SHARE = 0.125  # of the memory: for answers that wait for earlier ones on their connections
CONNECTION_BYTES = 16_384  # that one connection needs without what it carries
HELD_MEMORY_SHARE = 0.5  # of what is left then: for what connections carry; the rest for copies and fragmentation
MIN_HELD_BYTES = 4 * REQUEST_COPIES * MAX_QUERY_BYTES


@dataclass(frozen=True, slots=True)
class Budget:
    """What the limits of the machine leave to the connections; None for what is not limited, as memory is not."""

    server_connections: int
    client_connections: int
    answers: int | None  # of the longest kind, that may wait in memory for earlier ones
    held_bytes: int | None  # that all connections together may hold

    @classmethod
    def of(cls, limits: Limits, resting_bytes: int) -> "Budget":
        """Divide the machine's limits; `resting_bytes` is what the process uses without any connection."""
        available = limits.sockets - RESERVED_DESCRIPTORS
        server_connections = round(available * SERVER_DESCRIPTOR_SHARE)
        answer_bytes = limits.memory_mb * 1024 * 1024 * ANSWER_MEMORY_SHARE
        answers = round(answer_bytes / MAX_VALUE_BYTES) if answer_bytes else None
        held_bytes = None
        if limits.memory_mb:
            used_bytes = resting_bytes + answer_bytes + limits.sockets * CONNECTION_BYTES
            left_bytes = limits.memory_mb * 1024 * 1024 - used_bytes
            held_bytes = max(MIN_HELD_BYTES, round(left_bytes * HELD_MEMORY_SHARE))
        return cls(server_connections, available - server_connections, answers, held_bytes)

    def update_pipeline(self, limits: PipelineLimits, max_open: int) -> None:
        """Set how many requests client connections may have open, of `max_open` for the whole gateway.

        Each connection may have its share of these. The memory for answers, if it is limited, bounds the requests of
        all connections beyond the first of each.
        """
        limits.per_connection = max(1, max_open // self.client_connections)
        limits.shared = max_open if self.answers is None else self.answers
