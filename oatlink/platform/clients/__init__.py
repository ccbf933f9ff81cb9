"""Client connections: startup, then queries, executed concurrently, each answered once and in order."""

from oatlink.platform.clients.connection import Client
from oatlink.platform.clients.listener import Clients
from oatlink.platform.clients.pipeline import PipelineLimits
from oatlink.platform.clients.query import Query, QueryHandler

__all__ = ["QueryHandler", "Client", "Clients", "Query", "PipelineLimits"]
