"""A timer of the event loop that can be moved."""

import asyncio
from collections.abc import Callable

from oatlink.gateway.clock import now_us


class Timer:
    """Calls `on_fired` once, at the time that was set last."""

    def __init__(self, on_fired: Callable[[], None]) -> None:
        self._on_fired = on_fired
        self._handle: asyncio.TimerHandle | None = None
        self.at_us: int | None = None  # None while it is not set

    def set(self, at_us: int | None) -> None:
        """Fire at another time, at once if that has passed, or not at all."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self.at_us = at_us
        if at_us is not None:
            wait_s = max(0.0, (at_us - now_us()) / 1e6)
            self._handle = asyncio.get_running_loop().call_later(wait_s, self._fire)

    def _fire(self) -> None:
        self._handle = self.at_us = None
        self._on_fired()
