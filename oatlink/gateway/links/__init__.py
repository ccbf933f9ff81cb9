"""Connections to one box: pooled and pipelined, bounded, each broken one failing only what was on it.

A shell: it carries out the engine's effects for a box and reports how each ended. What may live here is plumbing within
the bounds of the settings; which box gets a request is never chosen here. `Link` is what a gateway uses; each other
module owns one kind of its state.
"""

from oatlink.gateway.links.connection import CHUNK, Connection, PendingRequest, swallow
from oatlink.gateway.links.dialling import DialError, connect
from oatlink.gateway.links.gateway_interface import Flushed, Shell, Turn
from oatlink.gateway.links.link import Link

__all__ = [
    "CHUNK",
    "Connection",
    "DialError",
    "Flushed",
    "Link",
    "PendingRequest",
    "Shell",
    "Turn",
    "connect",
    "swallow",
]
