"""The connections that are one client's own, for WATCH: one unit each, and what waits for one.

What may live here: whose connection is whose, from the first request for it to its last answer after the release.
"""

from collections import deque

from tornado.ioloop import IOLoop

from oatlink.core import messages as m
from oatlink.gateway.links.connection import Connection
from oatlink.gateway.links.dial_requests import Want, Wants
from oatlink.gateway.links.link_config import Facts
from oatlink.gateway.links.reports import Reports


class Leases:
    """All leases of a link."""

    def __init__(self, facts: Facts, reports: Reports, wants: Wants) -> None:
        self._facts, self._reports, self._wants = facts, reports, wants
        self._open: dict[int, Connection] = {}
        self.waiting: dict[int, deque[m.Send]] = {}
        self._lost: set[int] = set()  # of clients that do not know it yet
        self._released: set[Connection] = set()  # were a client's own, and still owe answers

    def __len__(self) -> int:
        return len(self._open)

    @property
    def open(self) -> list[Connection]:
        """Connections that clients have now."""
        return list(self._open.values())

    @property
    def released(self) -> list[Connection]:
        """Connections that were a client's own and still owe answers."""
        return list(self._released)

    def has(self, connection: Connection) -> bool:
        """Whether a client has it now."""
        return connection in self._open.values()

    def send(self, send: m.Send) -> None:
        """Put a request on its client's own connection, or let it wait for one."""
        if send.lease in self._open or send.lease in self._lost:
            self._give(send)
            return
        waiting = self.waiting.get(send.lease)
        if waiting is not None:
            waiting.append(send)
            return
        if len(self._open) + len(self.waiting) >= self._facts.settings.exclusive_connections:
            self._reports.ended(send, "no room", self._reports.now(), [], b"")
            return
        if self._facts.closed or not self._reports.may_write(send):
            self._reports.withdraw(send)
            return
        self.waiting[send.lease] = deque([send])
        self._wants.add(Want(send.protocol, send.lease), send.address)

    def _give(self, send: m.Send) -> None:
        """Threat: EXEC without the WATCH before it, which was not written or was on a connection that has ended.

        So a lease is one unit: what may be written goes on its one connection in order; from the first that may not
        on nothing does, and no second connection is made for it. The engine then knows that nothing is watched.
        """
        connection = self._open.get(send.lease)
        if connection is not None and self._reports.may_write(send):
            if not connection.offer(send):
                self._lose(send.lease)
            return
        self._reports.withdraw(send)
        self._lose(send.lease)

    def _lose(self, lease: int) -> None:
        self._lost.add(lease)
        self._end(lease)

    def release(self, lease: int) -> None:
        """Carry out `Release`: the connection ends once what is on it has ended."""
        self._lost.discard(lease)
        self._end(lease)

    def _end(self, lease: int) -> None:
        """What waits is not written; the client's own connection ends once what is on it has ended."""
        for send in self.waiting.pop(lease, ()):
            self._reports.withdraw(send)
        connection = self._open.pop(lease, None)
        if connection is None:
            return
        if connection.pending:
            self._released.add(connection)
            reply_s = self._facts.settings.reply_timeout_ms / 1000
            IOLoop.current().call_later(reply_s, connection.close, "reset")
        else:
            connection.close("reset")

    # ---- What connections report ----

    def lost(self, connection: Connection) -> None:
        """A connection has closed."""
        for lease, one in list(self._open.items()):
            if one is connection:
                del self._open[lease]
                self._lost.add(lease)
        self._released.discard(connection)

    def freed(self, connection: Connection) -> bool:
        """Close a connection that has been released and owes nothing any more. Whether it was one."""
        if connection in self._released and not connection.pending:
            connection.close("reset")
            return True
        return False

    # ---- What the engine has chosen ----

    def use(self, lease: int, connection: Connection) -> bool:
        """What waited goes on this connection. False, and it is closed, where the lease was released meanwhile."""
        waiting = self.waiting.pop(lease, None)
        if waiting is None:
            connection.close("reset")
            return False
        self._open[lease] = connection
        for send in waiting:
            self._give(send)
        return True

    def no_path(self, lease: int) -> deque[m.Send]:
        """No connection could be made. What waited for it, and ends."""
        return self.waiting.pop(lease, deque())

    # ---- What waits ----

    def review(self) -> None:
        """A lease of which something may not be written any more is lost."""
        for lease, waiting in list(self.waiting.items()):
            if not all(self._reports.may_write(one) for one in waiting):
                self._lose(lease)

    def take_waiting(self) -> list[m.Send]:
        """What waits, which waits no longer."""
        waiting = [send for sends in self.waiting.values() for send in sends]
        self.waiting.clear()
        return waiting
