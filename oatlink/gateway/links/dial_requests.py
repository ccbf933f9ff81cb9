"""Connections that have been asked for: the engine says over which addresses, and which one is used.

What may live here: attempts until one is used or given up. What the connection was for is its asker's.
"""

from dataclasses import dataclass, field

from oatlink.core import messages as m
from oatlink.gateway.clock import patience
from oatlink.gateway.links.connection import Connection, Owner
from oatlink.gateway.links.dialling import DialError, connect
from oatlink.gateway.links.link_config import Facts
from oatlink.gateway.links.tasks import Tasks


@dataclass(slots=True)
class Want:
    """A connection that has been asked for: for a pool, or (`lease`) for one client."""

    protocol: int
    lease: int = 0
    made: dict[str, Connection] = field(default_factory=dict)  # by address, until the engine has chosen
    out: set[str] = field(default_factory=set)

    def close(self) -> None:
        """End what has been made and not used."""
        for one in list(self.made.values()):
            one.close("reset")


class Wants:
    """All wants of a link."""

    def __init__(self, facts: Facts, owner: Owner, tasks: Tasks) -> None:
        self._facts, self._owner, self._tasks = facts, owner, tasks
        self._reports = owner.reports
        self._open: dict[int, Want] = {}
        self._last = 0

    def add(self, want: Want, address: str) -> None:
        """Ask the engine for a connection."""
        self._last += 1
        self._open[self._last] = want
        self._reports.wanted(self._last, address)

    def take(self, dial: int) -> Want | None:
        """A want that the engine has decided on."""
        return self._open.pop(dial, None)

    def dial(self, effect: m.Dial) -> None:
        """Carry out `Dial`."""
        want = self._open.get(effect.dial)
        if want is None or self._facts.closed:
            self._dialled(effect, "refused", self._reports.now(), b"")
            return
        want.out.add(effect.address)
        self._tasks.spawn(self._attempt(effect, want))

    async def _attempt(self, effect: m.Dial, want: Want) -> None:
        """Dial and greet within the time allowed, and tell."""
        asked_us = self._reports.now()
        info, how = b"", "reply"
        try:
            connection = await self._connect(effect, want.protocol)
            info = await self._greet(connection, effect.timeout_us / 1e6)
            want.made[effect.address] = connection
        except DialError as error:
            how = str(error)
        except Exception as error:  # an attempt that never ends would be counted as out for ever
            how = "refused"
            self._reports.wrong(f"dial of {self._facts.name} at {effect.address}: {type(error).__name__}: {error}")
        want.out.discard(effect.address)
        with self._reports.turn():
            self._dialled(effect, how, asked_us, info)

    def _dialled(self, effect: m.Dial, how: str, asked_us: int, info: bytes) -> None:
        took_us = self._reports.now() - asked_us
        self._reports.dialled(effect.dial, effect.address, how, asked_us, took_us, info)

    async def _connect(self, effect: m.Dial, protocol: int) -> Connection:
        """A connection that has said nothing yet. Raises `DialError`."""
        way = self._facts.ways.get(effect.address)
        keepalive_s = (way.keepalive_s if way is not None else 0) or self._facts.settings.keepalive_s
        stream = await connect(effect.address, effect.timeout_us / 1e6, self._reports.marks, keepalive_s)
        return Connection(self._owner, stream, protocol, effect.address)

    async def _greet(self, connection: Connection, timeout_s: float) -> bytes:
        """What the box says of itself on a new connection. Raises `DialError`."""
        try:
            async with patience(timeout_s):
                info = await connection.greet(self._facts.settings.user, self._facts.settings.password)
        except TimeoutError:
            connection.close("reset")
            raise DialError("no connection in time") from None
        except DialError:
            connection.close("reset")
            raise
        if self._facts.closed:
            connection.close("reset")
            raise DialError("refused")
        return info

    def discard(self, effect: m.Discard) -> None:
        """Carry out `Discard`."""
        want = self._open.get(effect.dial)
        connection = want.made.pop(effect.address, None) if want is not None else None
        if connection is not None:
            connection.close("reset")

    def leave(self) -> None:
        """End all; none begins any more."""
        for dial, want in list(self._open.items()):
            for address in sorted(want.out):  # the engine counts what is out
                self._reports.dialled(dial, address, "refused", self._reports.now(), 0)
            want.close()
        self._open.clear()
