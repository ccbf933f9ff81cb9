"""What a link has running.

What may live here: the one set of its tasks, so that none is forgotten by the loop or outlives the link.
"""

import asyncio
from collections.abc import Coroutine


class Tasks:
    """Holds each task until it is done."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run it."""
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def cancel(self) -> None:
        """End all."""
        for task in list(self._running):
            task.cancel()
