"""Asks a box for a report about itself, over a separate connection for each address.

The module owns the connections of probes and knows which answers are awaited. The engine interprets the answers.
"""

from tornado.iostream import StreamBufferFullError, StreamClosedError

from oatlink.gateway.clock import timeout_excluding_stalls
from oatlink.gateway.links.connection import INFO_COMMAND_COUNT, INFO_COMMANDS, Connection, ConnectionOwner
from oatlink.gateway.links.dialling import DialError, connect
from oatlink.gateway.links.link_config import LinkConfig
from oatlink.gateway.links.tasks import Tasks
from oatlink.protocols.resp import ProtocolError

PROBE_PROTOCOL = 2


class Probes:
    """All probes of a link."""

    def __init__(self, config: LinkConfig, owner: ConnectionOwner, tasks: Tasks) -> None:
        self._config, self._owner, self._tasks = config, owner, tasks
        self._reports = owner.reports
        self._open: dict[str, Connection] = {}
        self._awaited_addresses: set[str] = set()

    @property
    def open(self) -> list[Connection]:
        """The open connections of probes."""
        return list(self._open.values())

    @property
    def is_awaited(self) -> bool:
        """Whether the answer to a probe is awaited."""
        return bool(self._awaited_addresses)

    def probe(self, address: str) -> None:
        """Carry out `Probe`; a probe that is under way over the same address serves both."""
        address = address or next(iter(self._config.paths))
        if address not in self._awaited_addresses:
            self._awaited_addresses.add(address)
            self._tasks.spawn(self._run_probe(address))

    async def _run_probe(self, address: str) -> None:
        asked_us = self._reports.now()
        info, how = b"", "reply"
        connection = None
        path, settings = self._config.paths.get(address), self._config.settings
        dial_s = ((path.connect_timeout_ms if path is not None else 0) or settings.connect_timeout_ms) / 1000
        try:
            async with timeout_excluding_stalls(settings.probe_timeout_ms / 1000):
                connection = self._open.get(address)
                if connection is None:
                    stream = await connect(address, dial_s, self._reports.turn_clock)
                    connection = Connection(self._owner, stream, PROBE_PROTOCOL, address)
                    self._open[address] = connection
                    asked_us = self._reports.now()
                    info = await connection.handshake(self._config.settings.user, self._config.settings.password)
                else:
                    await connection.stream.write(INFO_COMMANDS)
                    info = await connection.read_info(INFO_COMMAND_COUNT)
        except TimeoutError:
            how = "late"
        except DialError as error:
            how = str(error)
        except (StreamClosedError, StreamBufferFullError):
            how = "reset"
        except ProtocolError:
            how = "bad reply"
        except Exception as error:  # if a probe never ended, its box would never be probed again
            how = "reset"
            self._reports.report_fault(f"probe of {self._config.name}: {type(error).__name__}: {error}")
        if how != "reply":
            info = b""
            if connection is not None:
                connection.close("reset")
        self._awaited_addresses.discard(address)
        took_us = self._reports.now() - asked_us
        if how == "reply" and connection is not None and connection.stream.arrived_by_us > asked_us:
            took_us = connection.stream.arrived_by_us - asked_us
        with self._reports.batch():
            self._reports.probed(how, asked_us, took_us, info, address)

    def connection_closed(self, connection: Connection) -> None:
        """Forget a connection that has closed."""
        if self._open.get(connection.address) is connection:
            del self._open[connection.address]

    def close_address(self, address: str) -> None:
        """Close the connection over an address."""
        connection = self._open.get(address)
        if connection is not None:
            connection.close("reset")
