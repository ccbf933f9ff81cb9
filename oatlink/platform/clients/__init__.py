"""Client connections: startup, one query after the other, each answered once and in order."""

from oatlink.platform.clients.answers import error, refusal
from oatlink.platform.clients.connection import Asker, Client
from oatlink.platform.clients.listener import Clients

__all__ = ["Asker", "Client", "Clients", "error", "refusal"]
