"""The running tasks of a link.

All tasks of a link are in one set, so that the event loop does not drop its last reference to one and so that none
outlives the link.
"""

import asyncio
from collections.abc import Coroutine


class Tasks:
    """Keeps a reference to each task until it is done."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._running):
            task.cancel()
