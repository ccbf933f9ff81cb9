"""Requests for new connections: the engine decides which addresses are dialled and which connection is used.

The module owns the attempts for each request until the engine has chosen one or given up. What the connection is used
for is known to the part of the link that requested it.
"""

from dataclasses import dataclass, field

from oatlink.core import messages as m
from oatlink.gateway.clock import timeout_excluding_stalls
from oatlink.gateway.links.connection import Connection, ConnectionOwner
from oatlink.gateway.links.dialling import DialError, connect
from oatlink.gateway.links.link_config import LinkConfig
from oatlink.gateway.links.tasks import Tasks


@dataclass(slots=True)
class DialRequest:
    """A request for a connection: for a pool, or for one client where `lease` is set."""

    protocol: int
    lease: int = 0
    connections: dict[str, Connection] = field(default_factory=dict)  # by address, until the engine has chosen
    dialled_addresses: set[str] = field(default_factory=set)  # attempts that have not ended

    def close(self) -> None:
        """Close the connections that were opened for it and not used."""
        for connection in list(self.connections.values()):
            connection.close("reset")


class DialRequests:
    """All requests of a link for new connections."""

    def __init__(self, config: LinkConfig, owner: ConnectionOwner, tasks: Tasks) -> None:
        self._config, self._owner, self._tasks = config, owner, tasks
        self._reports = owner.reports
        self._open: dict[int, DialRequest] = {}
        self._last_number = 0

    def add(self, request: DialRequest, address: str) -> None:
        """Ask the engine for a connection."""
        self._last_number += 1
        self._open[self._last_number] = request
        self._reports.wanted(self._last_number, address)

    def take(self, dial: int) -> DialRequest | None:
        """Remove and return a request that the engine has decided on."""
        return self._open.pop(dial, None)

    def dial(self, effect: m.Dial) -> None:
        """Carry out `Dial`."""
        request = self._open.get(effect.dial)
        if request is None or self._config.is_closed:
            self._report(effect, "refused", self._reports.now(), b"")
            return
        request.dialled_addresses.add(effect.address)
        self._tasks.spawn(self._attempt(effect, request))

    async def _attempt(self, effect: m.Dial, request: DialRequest) -> None:
        """Dial, do the handshake within the time allowed, and report the outcome."""
        asked_us = self._reports.now()
        info, how = b"", "reply"
        try:
            connection = await self._connect(effect, request.protocol)
            info = await self._handshake(connection, effect.timeout_us / 1e6)
            request.connections[effect.address] = connection
        except DialError as error:
            how = str(error)
        except Exception as error:  # if an attempt never ended, the engine would count it as under way for ever
            how = "refused"
            self._reports.report_fault(
                f"dial of {self._config.name} at {effect.address}: {type(error).__name__}: {error}"
            )
        request.dialled_addresses.discard(effect.address)
        with self._reports.batch():
            self._report(effect, how, asked_us, info)

    def _report(self, effect: m.Dial, how: str, asked_us: int, info: bytes) -> None:
        took_us = self._reports.now() - asked_us
        self._reports.dialled(effect.dial, effect.address, how, asked_us, took_us, info)

    async def _connect(self, effect: m.Dial, protocol: int) -> Connection:
        """Open a connection, before its handshake. Raises `DialError`."""
        path = self._config.paths.get(effect.address)
        keepalive_s = (path.keepalive_s if path is not None else 0) or self._config.settings.keepalive_s
        stream = await connect(effect.address, effect.timeout_us / 1e6, self._reports.turn_clock, keepalive_s)
        return Connection(self._owner, stream, protocol, effect.address)

    async def _handshake(self, connection: Connection, timeout_s: float) -> bytes:
        """Do the handshake; returns what the box reports about itself. Raises `DialError`."""
        try:
            async with timeout_excluding_stalls(timeout_s):
                info = await connection.handshake(self._config.settings.user, self._config.settings.password)
        except TimeoutError:
            connection.close("reset")
            raise DialError("no connection in time") from None
        except DialError:
            connection.close("reset")
            raise
        if self._config.is_closed:
            connection.close("reset")
            raise DialError("refused")
        return info

    def discard(self, effect: m.Discard) -> None:
        """Carry out `Discard`."""
        request = self._open.get(effect.dial)
        connection = request.connections.pop(effect.address, None) if request is not None else None
        if connection is not None:
            connection.close("reset")

    def end_all(self) -> None:
        """End all requests."""
        for dial, request in list(self._open.items()):
            for address in sorted(request.dialled_addresses):  # the engine counts the attempts that are under way
                self._reports.dialled(dial, address, "refused", self._reports.now(), 0)
            request.close()
        self._open.clear()
