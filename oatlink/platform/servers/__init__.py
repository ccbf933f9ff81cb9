"""Connections to database servers: one request at a time on each, pooled by server, most recently used first.

This package does I/O and makes no decisions: it carries out attempts and checks and reports how each ended by the
platform's table. A job that was not written whole counts as `NO_CONNECTION`; what breaks after that is a `RESET`.
"""

from oatlink.platform.servers.connection import CHECK
from oatlink.platform.servers.pool import Bounds, Pool, Servers

__all__ = ["CHECK", "Bounds", "Pool", "Servers"]
