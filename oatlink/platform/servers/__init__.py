"""Connections to database servers: one request each, pooled by server, last used first.

A shell: it carries out attempts and checks and tells how each ended by the platform's table. What was not written
whole could not connect; what breaks later is a reset.
"""

from oatlink.platform.servers.connection import CHECK
from oatlink.platform.servers.pool import Bounds, Pool, Servers

__all__ = ["CHECK", "Bounds", "Pool", "Servers"]
