"""The shared connections to a box with one protocol version, over all addresses, and the requests that wait for one.

The module decides on which shared connection a request goes and when one more is requested, within the limits on both.
"""

from collections import deque

from oatlink.core import messages as m
from oatlink.gateway.links.connection import Connection
from oatlink.gateway.links.dial_requests import DialRequest, DialRequests
from oatlink.gateway.links.link_config import LinkConfig
from oatlink.gateway.links.reports import Reports


class Pool:
    """The shared connections of a link with one protocol version."""

    def __init__(self, protocol: int, config: LinkConfig, reports: Reports, dial_requests: DialRequests) -> None:
        self._protocol, self._config, self._reports = protocol, config, reports
        self._dial_requests = dial_requests
        self.open: list[Connection] = []
        self._dialled_address = ""  # the address for which one more connection is requested; empty if there is none
        self.waiting: deque[m.Send] = deque()

    def send(self, send: m.Send) -> bool:
        """Queue a request on a connection, or let it wait for one. Returns False if the queue is full."""
        return (not self.waiting and self._place(send)) or self.wait(send)

    def wait(self, send: m.Send) -> bool:
        """Let a request wait for a connection. Returns False if the queue is full."""
        if len(self.waiting) >= self._config.settings.pipeline:
            return False
        self.waiting.append(send)
        self._dial(send.address)
        return True

    # ---- Events of connections ----

    def connection_closed(self, connection: Connection) -> None:
        """Remove a connection that has closed."""
        if connection in self.open:
            self.open.remove(connection)
            if self.waiting and not self.open:
                # Prevents requests from waiting until their deadline when the last connection closes.
                self._dial(self.waiting[0].address)

    def reply_completed(self, connection: Connection) -> None:
        """Queue waiting requests on a connection on which a request has ended."""
        if self.waiting and connection in self.open:
            self._place_waiting(any_address=not self._dialled_address)

    # ---- Decisions of the engine ----

    def use(self, connection: Connection) -> None:
        """Queue the waiting requests on this connection, which was opened for them."""
        self._dialled_address = ""
        self.open.append(connection)
        self._place_waiting(any_address=True)
        if self.waiting:
            self._dial(self.waiting[0].address)

    def no_path(self) -> deque[m.Send]:
        """No connection could be opened. Returns the requests that have no other connection and end."""
        self._dialled_address = ""
        if self.open:
            self._place_waiting(any_address=True)
            return deque()
        return self.take_waiting()

    # ---- Waiting requests ----

    def review(self) -> None:
        """Withdraw the waiting requests that may not be written any more, which frees places in the queue."""
        for send in [send for send in self.waiting if not self._reports.may_write(send)]:
            if send in self.waiting:
                self.waiting.remove(send)
                self._reports.withdraw(send)

    def take_waiting(self) -> deque[m.Send]:
        """Remove and return all waiting requests."""
        waiting, self.waiting = self.waiting, deque()
        return waiting

    def _place_waiting(self, any_address: bool) -> None:
        while self.waiting:
            send = self.waiting.popleft()
            if not self._place(send, any_address):
                self.waiting.appendleft(send)
                break

    def _place(self, send: m.Send, any_address: bool = False) -> bool:
        """Queue a request on an open connection that is not full; a new one is dialled where all are busy.

        A connection over another address than the request's is used if `any_address` is set or if none can be dialled
        over the request's address. Returns False if the request has to wait.
        """
        if not self._reports.may_write(send):
            self._reports.withdraw(send)
            return True
        best = None
        best_has_address = False  # whether the best connection goes over the request's address
        for connection in self.open:
            has_address = connection.address == send.address
            if connection.is_exclusive or (best_has_address and not has_address):
                continue
            if best is None or (has_address and not best_has_address) or len(connection.pending) < len(best.pending):
                best, best_has_address = connection, has_address
                if has_address and not connection.pending:
                    break
        if best is None or (send.alone and best.pending):
            return False
        if len(best.pending) >= self._config.settings.pipeline:
            return False
        if not best_has_address and not any_address and (self._dialled_address or self._may_dial(send.address)):
            return False
        needs_another = bool(best.pending) or not best_has_address
        best.enqueue_if_same_run(send)
        if needs_another:  # only after the request is queued: an idle connection may be closed for the new one
            self._dial(send.address)
        return True

    # ---- New connections ----

    def _dial(self, address: str) -> None:
        """Request one more shared connection, one at a time, within the limit over all addresses."""
        if self._dialled_address or not self._may_dial(address):
            return
        if self._is_full():
            replaceable = self._replaceable(address)
            if replaceable is not None:
                replaceable.close("reset")
        self._dialled_address = address or self._config.name
        self._dial_requests.add(DialRequest(self._protocol), address)

    def _is_full(self) -> bool:
        exclusive_count = sum(connection.is_exclusive for connection in self.open)
        settings = self._config.settings
        return len(self.open) >= settings.connections + min(exclusive_count, settings.exclusive_connections)

    def _may_dial(self, address: str) -> bool:
        return not self._config.is_closed and (not self._is_full() or self._replaceable(address) is not None)

    def _replaceable(self, address: str) -> Connection | None:
        """An idle connection that may be closed for one over an address that has none.

        Prevents connections over an abandoned path from using up the limit, so that none is opened over the other path.
        """
        if not address or any(connection.address == address for connection in self.open):
            return None
        return next((connection for connection in self.open if not connection.pending), None)

    def close_idle(self) -> None:
        """Carry out `DropIdle`."""
        for connection in [connection for connection in self.open if not connection.pending]:
            connection.close("reset")
