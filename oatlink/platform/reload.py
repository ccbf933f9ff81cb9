"""SIGHUP: the configuration file is read again. What becomes of it is told by `apply`.

What may live here: when it is read, and how often where it cannot be.
"""

import asyncio
import logging
from collections.abc import Callable

from oatlink.platform.config import Config, ConfigError, load

LOG = logging.getLogger("oatlink.platform")
AGAIN_S = (0.1, 0.3, 1.0, 3.0)  # a file that cannot be read is looked at again


class Reload:
    """The reading that is under way, if any: a newer signal's takes the place of an older one's."""

    def __init__(self, apply: Callable[[Config], None], keep: Callable[["asyncio.Future[None]"], None]) -> None:
        self._apply, self._keep = apply, keep
        self._reading: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Read the file again, from now on."""
        if self._reading is not None:
            self._reading.cancel()
        self._reading = asyncio.ensure_future(self._read())
        self._keep(self._reading)

    async def _read(self) -> None:
        """Threat: a file half written. The old settings stand, and it is looked at again shortly."""
        for wait_s in (*AGAIN_S, None):
            try:
                config = load()
            except ConfigError as problem:
                LOG.warning("reload: %s", problem)
                if wait_s is None:
                    return
                await asyncio.sleep(wait_s)
                continue
            self._apply(config)
            return
