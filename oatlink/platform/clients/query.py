"""A query of a client, and the interface of what executes it. No I/O."""

from typing import Protocol

from oatlink.gateway.clock import Stream
from oatlink.platform.clients.pipeline import Command, PipelineLimits
from oatlink.platform.memory import HeldRequest
from oatlink.platform.requests import Final
from oatlink.platform.statement import Statement


class QueryClient(Protocol):
    """The client connection of a query."""

    stream: Stream

    def answered(self, query: "Query", final: Final) -> None:
        """Send a query's final answer."""
        ...

    def close(self) -> None:
        """Close at once, and abandon unanswered queries. Idempotent."""
        ...


class QueryHandler(Protocol):
    """Parses and executes queries."""

    def parse_query(self, text: bytes) -> Statement:
        """Parse a query's text. Raises `StatementError`."""
        ...

    def submit_query(self, query: "Query") -> None:
        """Execute a query; it is answered once, at once or later. Raises `StatementError` if it cannot be executed."""
        ...

    def expedite_query(self, query: "Query") -> None:
        """Answer a query earlier, by its `early_us`, since other queries of its connection now wait behind it."""
        ...

    def abandon_query(self, query: "Query") -> None:
        """Handle that the client of an unanswered query has left or was disconnected."""
        ...

    @property
    def pipeline_limits(self) -> PipelineLimits:
        """How many queries connections may have open."""
        ...


class Query(Command):
    """A query of a client, from its last byte to its answer."""

    __slots__ = ("client", "statement", "_held")

    def __init__(self, client: QueryClient, statement: Statement, arrived_us: int, held: HeldRequest) -> None:
        resources = (b"name " + statement.session.encode(), b"key " + statement.key if statement.key else b"")
        super().__init__(arrived_us, tuple(filter(None, resources)), statement.is_write)
        self.client, self.statement, self._held = client, statement, held

    def answered(self, final: Final) -> None:
        """See `requests.Owner`."""
        self.client.answered(self, final)
