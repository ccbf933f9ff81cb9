"""Client connections: startup, then queries, taken side by side, each answered once and in order."""

from oatlink.platform.clients.connection import Asker, Client, Query
from oatlink.platform.clients.listener import Clients
from oatlink.platform.clients.pipeline import Room

__all__ = ["Asker", "Client", "Clients", "Query", "Room"]
