"""The interface of what keeps the client connections."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from oatlink.platform.clients.connection import Client


class ClientOwner(Protocol):
    """Keeps the list of connections."""

    def input_received(self, client: "Client") -> None:
        """Free memory if all connections together hold too much."""
        ...

    def client_closed(self, client: "Client") -> None:
        """Remove a connection that has closed."""
        ...
