"""Reads the configuration file again on SIGHUP and passes the result to `apply`.

This module decides only when the file is read and how often an unreadable file is retried.
"""

import asyncio
import logging
from collections.abc import Callable

from oatlink.platform.config import Config, ConfigError, load

LOG = logging.getLogger("oatlink.platform")
RETRY_DELAYS_S = (0.1, 0.3, 1.0, 3.0)  # between the attempts to read a file that cannot be read


class Reload:
    """Reads the file, at most once at a time: a new signal cancels a read in progress and starts another one."""

    def __init__(self, apply: Callable[[Config], None], track_task: Callable[["asyncio.Future[None]"], None]) -> None:
        self._apply, self._track_task = apply, track_task
        self._reading: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to read the file again."""
        if self._reading is not None:
            self._reading.cancel()
        self._reading = asyncio.ensure_future(self._read())
        self._track_task(self._reading)

    async def _read(self) -> None:
        """Read and apply the file. While it cannot be read, the old settings stay and the reading is retried.

        The retries prevent a reload from being lost when the file is only half written at the time of the signal.
        """
        for delay_s in (*RETRY_DELAYS_S, None):
            try:
                config = load()
            except ConfigError as problem:
                LOG.warning("reload: %s", problem)
                if delay_s is None:
                    return
                await asyncio.sleep(delay_s)
                continue
            self._apply(config)
            return
