"""What a gateway is to its links and its clients' readers, and its turns.

What may live here: what links and readers ask of whoever has them. Nothing here knows of links, connections or boxes.
"""

from collections.abc import Callable
from typing import Protocol

from oatlink.core import messages as m
from oatlink.gateway.clock import Marks


class Flushed(Protocol):
    """Something that is written at the end of a turn."""

    def flush(self) -> None:
        """Hand over what was put on it."""


class Shell:
    """What a link, or who reads a client, needs of the gateway."""

    now: Callable[[], int]
    marks: Marks

    def feed(self, given: m.AnyInput) -> None:
        """Hand the engine an input."""
        raise NotImplementedError

    def wrong(self, text: str) -> None:
        """A defect of ours that must not stop the gateway: told to the people on call."""
        raise NotImplementedError

    def may_write(self, send: m.Send) -> bool:
        """Whether a request that waited may still be written; nothing changes."""
        raise NotImplementedError

    def turn(self) -> "Turn":
        """A stretch of work at whose end everything written is flushed."""
        raise NotImplementedError

    def dirty(self, connection: Flushed) -> None:
        """A connection has something to flush."""
        raise NotImplementedError


class Turn:
    """Counts nested stretches of work; the outermost flushes."""

    def __init__(self, flush: Callable[[], None]) -> None:
        self._flush = flush
        self.depth = 0

    def __enter__(self) -> None:
        self.depth += 1

    def __exit__(self, *_: object) -> None:
        self.depth -= 1
        if self.depth == 0:
            self._flush()
