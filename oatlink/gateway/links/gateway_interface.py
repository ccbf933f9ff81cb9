"""The interface of the gateway to its links and to the readers of client connections, and batches of writes.

This module contains only what links and readers need of the gateway. It knows nothing of links, connections or boxes.
"""

from collections.abc import Callable
from typing import Protocol

from oatlink.core import messages as m
from oatlink.gateway.clock import TurnClock
from oatlink.transport.turns import InputTurns


class Flushable(Protocol):
    """Something that is written at the end of a batch."""

    def flush(self) -> None:
        """Write what was queued on it."""


class GatewayInterface:
    """What a link, or the reader of a client connection, needs of the gateway."""

    now: Callable[[], int]
    turn_clock: TurnClock
    input_turns: InputTurns

    def feed(self, event: m.AnyInput, /) -> None:
        """Hand an input to the engine."""
        raise NotImplementedError

    def report_fault(self, text: str) -> None:
        """Log a defect of the program that must not stop the gateway, for the people on call."""
        raise NotImplementedError

    def may_write(self, send: m.Send) -> bool:
        """Whether a request that waited may still be written. This changes no state."""
        raise NotImplementedError

    def batch(self) -> "FlushBatch":
        """A context at whose end everything that was queued is flushed."""
        raise NotImplementedError

    def schedule_flush(self, connection: Flushable) -> None:
        """Flush a connection at the end of the present batch."""
        raise NotImplementedError


class FlushBatch:
    """A context that may be nested; the end of the outermost one flushes."""

    def __init__(self, flush: Callable[[], None]) -> None:
        self._flush = flush
        self.depth = 0

    def __enter__(self) -> None:
        self.depth += 1

    def __exit__(self, *_: object) -> None:
        self.depth -= 1
        if self.depth == 0:
            self._flush()
