"""Connections that belong to one client each, for WATCH, and the requests that wait for one.

The module knows which connection belongs to which client, from the first request for it to the last answer after its
release.
"""

from collections import deque

from tornado.ioloop import IOLoop

from oatlink.core import messages as m
from oatlink.gateway.links.connection import Connection
from oatlink.gateway.links.dial_requests import DialRequest, DialRequests
from oatlink.gateway.links.link_config import LinkConfig
from oatlink.gateway.links.reports import Reports


class Leases:
    """All leases of a link."""

    def __init__(self, config: LinkConfig, reports: Reports, dial_requests: DialRequests) -> None:
        self._config, self._reports, self._dial_requests = config, reports, dial_requests
        self._open: dict[int, Connection] = {}
        self.waiting: dict[int, deque[m.Send]] = {}
        self._lost: set[int] = set()  # leases whose client has not been notified of the loss yet
        self._released: set[Connection] = set()  # released connections with pending requests

    def __len__(self) -> int:
        return len(self._open)

    @property
    def open(self) -> list[Connection]:
        """Connections that belong to a client now."""
        return list(self._open.values())

    @property
    def released(self) -> list[Connection]:
        """Connections that were released and still have pending requests."""
        return list(self._released)

    def has(self, connection: Connection) -> bool:
        """Whether a connection belongs to a client now."""
        return connection in self._open.values()

    def send(self, send: m.Send) -> None:
        """Queue a request on its client's own connection, or let it wait for one."""
        if send.lease in self._open or send.lease in self._lost:
            self._enqueue(send)
            return
        waiting = self.waiting.get(send.lease)
        if waiting is not None:
            waiting.append(send)
            return
        if len(self._open) + len(self.waiting) >= self._config.settings.exclusive_connections:
            self._reports.ended(send, "no room", self._reports.now(), [], b"")
            return
        if self._config.is_closed or not self._reports.may_write(send):
            self._reports.withdraw(send)
            return
        self.waiting[send.lease] = deque([send])
        self._dial_requests.add(DialRequest(send.protocol, send.lease), send.address)

    def _enqueue(self, send: m.Send) -> None:
        """Queue a request on its client's own connection, or lose the lease.

        Prevents an EXEC from running without the WATCH before it when the WATCH was not written or was on a connection
        that has ended. A lease is therefore one unit: its requests go on its one connection in order, none is written
        after one that may not be written, and no second connection is opened. The engine then knows that nothing is
        watched.
        """
        connection = self._open.get(send.lease)
        if connection is not None and self._reports.may_write(send):
            if not connection.enqueue_if_same_run(send):
                self._lose(send.lease)
            return
        self._reports.withdraw(send)
        self._lose(send.lease)

    def _lose(self, lease: int) -> None:
        self._lost.add(lease)
        self._end(lease)

    def release(self, lease: int) -> None:
        """Carry out `Release`: the connection closes once the requests on it have ended."""
        self._lost.discard(lease)
        self._end(lease)

    def _end(self, lease: int) -> None:
        """Withdraw the waiting requests; the client's connection closes once the requests on it have ended."""
        for send in self.waiting.pop(lease, ()):
            self._reports.withdraw(send)
        connection = self._open.pop(lease, None)
        if connection is None:
            return
        if connection.pending:
            self._released.add(connection)
            reply_timeout_s = self._config.settings.reply_timeout_ms / 1000
            IOLoop.current().call_later(reply_timeout_s, connection.close, "reset")
        else:
            connection.close("reset")

    # ---- Events of connections ----

    def connection_closed(self, connection: Connection) -> None:
        """Mark the lease of a connection that has closed as lost."""
        for lease, leased in list(self._open.items()):
            if leased is connection:
                del self._open[lease]
                self._lost.add(lease)
        self._released.discard(connection)

    def close_if_released(self, connection: Connection) -> bool:
        """Close a released connection without pending requests. Returns whether it was one."""
        if connection in self._released and not connection.pending:
            connection.close("reset")
            return True
        return False

    # ---- Decisions of the engine ----

    def use(self, lease: int, connection: Connection) -> bool:
        """Queue the waiting requests on this connection.

        Closes the connection and returns False where the lease was released meanwhile.
        """
        waiting = self.waiting.pop(lease, None)
        if waiting is None:
            connection.close("reset")
            return False
        self._open[lease] = connection
        for send in waiting:
            self._enqueue(send)
        return True

    def no_path(self, lease: int) -> deque[m.Send]:
        """No connection could be opened. Returns the requests that waited for it and end."""
        return self.waiting.pop(lease, deque())

    # ---- Waiting requests ----

    def review(self) -> None:
        """Lose each lease for which some waiting request may not be written any more."""
        for lease, waiting in list(self.waiting.items()):
            if not all(self._reports.may_write(send) for send in waiting):
                self._lose(lease)

    def take_waiting(self) -> list[m.Send]:
        """Remove and return all waiting requests."""
        waiting = [send for sends in self.waiting.values() for send in sends]
        self.waiting.clear()
        return waiting
