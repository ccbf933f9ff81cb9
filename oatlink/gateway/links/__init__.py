"""Connections to one box: pooled, pipelined and bounded; a broken connection fails only the requests that were on it.

The package carries out the engine's effects for a box and reports how each of them ended. It handles connections within
the limits of the settings and never chooses which box gets a request. `Link` is the interface that the gateway uses;
each of the other modules owns one kind of state.
"""

from oatlink.gateway.links.connection import (
    READ_CHUNK_BYTES,
    Connection,
    PendingRequest,
    consume_write_error,
)
from oatlink.gateway.links.dialling import DialError, connect
from oatlink.gateway.links.gateway_interface import Flushable, FlushBatch, GatewayInterface
from oatlink.gateway.links.link import Link

__all__ = [
    "READ_CHUNK_BYTES",
    "Connection",
    "DialError",
    "FlushBatch",
    "Flushable",
    "GatewayInterface",
    "Link",
    "PendingRequest",
    "connect",
    "consume_write_error",
]
