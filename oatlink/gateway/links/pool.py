"""The shared connections of one protocol to a box, over all addresses, and what waits for one.

What may live here: which shared connection a request goes on, when one more is asked for, and the bounds of both.
"""

from collections import deque

from oatlink.core import messages as m
from oatlink.gateway.links.connection import Connection
from oatlink.gateway.links.dial_requests import Want, Wants
from oatlink.gateway.links.link_config import Facts
from oatlink.gateway.links.reports import Reports


class Pool:
    """See the module."""

    def __init__(self, protocol: int, facts: Facts, reports: Reports, wants: Wants) -> None:
        self._protocol, self._facts, self._reports, self._wants = protocol, facts, reports, wants
        self.open: list[Connection] = []
        self._dialing = ""  # the address for whose sake one more is being dialled
        self.waiting: deque[m.Send] = deque()

    def send(self, send: m.Send) -> bool:
        """Put a request on a connection, or let it wait for one. Whether there was room."""
        return (not self.waiting and self._place(send)) or self.wait(send)

    def wait(self, send: m.Send) -> bool:
        """Let a request wait for a connection. Whether there was room."""
        if len(self.waiting) >= self._facts.settings.pipeline:
            return False
        self.waiting.append(send)
        self._dial(send.address)
        return True

    # ---- What connections report ----

    def lost(self, connection: Connection) -> None:
        """A connection has closed."""
        if connection in self.open:
            self.open.remove(connection)
            if self.waiting and not self.open:
                # Threat: what waited for room on the last connection waits for its deadline.
                self._dial(self.waiting[0].address)

    def freed(self, connection: Connection) -> None:
        """A connection has room: what waits goes on it."""
        if self.waiting and connection in self.open:
            self._place_waiting(anywhere=not self._dialing)

    # ---- What the engine has chosen ----

    def use(self, connection: Connection) -> None:
        """What waited goes on this connection, which has been dialled for it."""
        self._dialing = ""
        self.open.append(connection)
        self._place_waiting(anywhere=True)
        if self.waiting:
            self._dial(self.waiting[0].address)

    def no_path(self) -> deque[m.Send]:
        """No connection could be made. What has no other one to wait for, and ends."""
        self._dialing = ""
        if self.open:
            self._place_waiting(anywhere=True)
            return deque()
        return self.take_waiting()

    # ---- What waits ----

    def review(self) -> None:
        """What waits and may not be written any more ends, and makes room for what may."""
        for send in [one for one in self.waiting if not self._reports.may_write(one)]:
            if send in self.waiting:
                self.waiting.remove(send)
                self._reports.withdraw(send)

    def take_waiting(self) -> deque[m.Send]:
        """What waits, which waits no longer."""
        waiting, self.waiting = self.waiting, deque()
        return waiting

    def _place_waiting(self, anywhere: bool) -> None:
        while self.waiting:
            send = self.waiting.popleft()
            if not self._place(send, anywhere):
                self.waiting.appendleft(send)
                break

    def _place(self, send: m.Send, anywhere: bool = False) -> bool:
        """Put a request on an open connection, if one has room; a new one is dialled where all are busy.

        One over another address than the request's is used only `anywhere`: where no better one can be had.
        """
        if not self._reports.may_write(send):
            self._reports.withdraw(send)
            return True
        best = None
        there = False  # a connection over the address asked for
        for one in self.open:
            right = one.address == send.address
            if one.alone or (there and not right):
                continue
            if best is None or (right and not there) or len(one.pending) < len(best.pending):
                best, there = one, right
                if right and not one.pending:
                    break
        if best is None or (send.alone and best.pending):
            return False
        if len(best.pending) >= self._facts.settings.pipeline:
            return False
        if not there and not anywhere and (self._dialing or self._may_dial(send.address)):
            return False
        more = bool(best.pending) or not there
        best.offer(send)
        if more:  # only now: a connection that is idle may have to make room
            self._dial(send.address)
        return True

    # ---- One more connection ----

    def _dial(self, address: str) -> None:
        """One more shared connection, one at a time, within the bound over all addresses."""
        if self._dialing or not self._may_dial(address):
            return
        if self._is_full():
            spare = self._spare(address)
            if spare is not None:
                spare.close("reset")
        self._dialing = address or self._facts.name
        self._wants.add(Want(self._protocol), address)

    def _is_full(self) -> bool:
        alone, settings = sum(one.alone for one in self.open), self._facts.settings
        return len(self.open) >= settings.connections + min(alone, settings.exclusive_connections)

    def _may_dial(self, address: str) -> bool:
        return not self._facts.closed and (not self._is_full() or self._spare(address) is not None)

    def _spare(self, address: str) -> Connection | None:
        """Threat: a bound filled by connections over a path that was left, so that none is made over the other."""
        if not address or any(one.address == address for one in self.open):
            return None
        return next((one for one in self.open if not one.pending), None)

    def drop_idle(self) -> None:
        """Carry out `DropIdle`."""
        for one in [one for one in self.open if not one.pending]:
            one.close("reset")
