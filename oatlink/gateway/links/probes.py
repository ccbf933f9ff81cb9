"""Asking a box what it is, over a connection of its own for each address.

What may live here: the connections of probes, and which answers are awaited. What an answer means is the engine's.
"""

from tornado.iostream import StreamBufferFullError, StreamClosedError

from oatlink.gateway.clock import patience
from oatlink.gateway.links.connection import ASK, Connection, Owner
from oatlink.gateway.links.dialling import DialError, connect
from oatlink.gateway.links.link_config import Facts
from oatlink.gateway.links.tasks import Tasks
from oatlink.protocols.resp import ProtocolError


class Probes:
    """All probes of a link."""

    def __init__(self, facts: Facts, owner: Owner, tasks: Tasks) -> None:
        self._facts, self._owner, self._tasks = facts, owner, tasks
        self._reports = owner.reports
        self._open: dict[str, Connection] = {}
        self._asking: set[str] = set()  # addresses over which a probe is awaited

    @property
    def open(self) -> list[Connection]:
        """Connections over which probes go."""
        return list(self._open.values())

    @property
    def awaited(self) -> bool:
        """Whether the answer to a probe is awaited."""
        return bool(self._asking)

    def probe(self, address: str) -> None:
        """Carry out `Probe`; one that is under way over the same address serves for both."""
        address = address or next(iter(self._facts.ways))
        if address not in self._asking:
            self._asking.add(address)
            self._tasks.spawn(self._ask(address))

    async def _ask(self, address: str) -> None:
        asked_us = self._reports.now()
        info, how = b"", "reply"
        connection = None
        way, settings = self._facts.ways.get(address), self._facts.settings
        dial_s = ((way.connect_timeout_ms if way is not None else 0) or settings.connect_timeout_ms) / 1000
        try:
            async with patience(settings.probe_timeout_ms / 1000):
                connection = self._open.get(address)
                if connection is None:
                    stream = await connect(address, dial_s, self._reports.marks)
                    connection = Connection(self._owner, stream, 2, address)
                    self._open[address] = connection
                    asked_us = self._reports.now()
                    info = await connection.greet(self._facts.settings.user, self._facts.settings.password)
                else:
                    await connection.stream.write(ASK)
                    info = await connection.info(2)
        except TimeoutError:
            how = "late"
        except DialError as error:
            how = str(error)
        except (StreamClosedError, StreamBufferFullError):
            how = "reset"
        except ProtocolError:
            how = "bad reply"
        except Exception as error:  # a probe that never ends would leave its box unasked for ever
            how = "reset"
            self._reports.wrong(f"probe of {self._facts.name}: {type(error).__name__}: {error}")
        if how != "reply":
            info = b""
            if connection is not None:
                connection.close("reset")
        self._asking.discard(address)
        took_us = self._reports.now() - asked_us
        if how == "reply" and connection is not None and connection.stream.ready_us > asked_us:
            took_us = connection.stream.ready_us - asked_us
        with self._reports.turn():
            self._reports.probed(how, asked_us, took_us, info, address)

    def lost(self, connection: Connection) -> None:
        """A connection has closed."""
        if self._open.get(connection.address) is connection:
            del self._open[connection.address]

    def shun(self, address: str) -> None:
        """End the connection over an address."""
        connection = self._open.get(address)
        if connection is not None:
            connection.close("reset")
