"""All connections of a gateway to one box.

`Link` passes each effect and event to the part of the link that it is for, and does what concerns all parts at once.
The parts own the state.
"""

from oatlink.core import messages as m
from oatlink.gateway.links.connection import Connection
from oatlink.gateway.links.dial_requests import DialRequests
from oatlink.gateway.links.gateway_interface import GatewayInterface
from oatlink.gateway.links.leases import Leases
from oatlink.gateway.links.link_config import LinkConfig
from oatlink.gateway.links.pool import Pool
from oatlink.gateway.links.probes import Probes
from oatlink.gateway.links.reports import Reports
from oatlink.gateway.links.tasks import Tasks
from oatlink.protocols.resp import Limits
from oatlink.settings.model import Links

RESP_VERSIONS = (2, 3)


class Link:
    """The connections to one box."""

    def __init__(
        self, name: str, paths: tuple[m.Way, ...], settings: Links, limits: Limits, gateway: GatewayInterface
    ) -> None:
        self.limits = limits
        self.reports = Reports(name, gateway)
        self._config = LinkConfig(name, {path.address: path for path in paths}, settings)
        self._tasks = Tasks()
        self._dial_requests = DialRequests(self._config, self, self._tasks)
        self._pools = {
            version: Pool(version, self._config, self.reports, self._dial_requests) for version in RESP_VERSIONS
        }
        self._leases = Leases(self._config, self.reports, self._dial_requests)
        self._probes = Probes(self._config, self, self._tasks)

    @property
    def paths(self) -> dict[str, m.Way]:
        """The box's addresses with their settings."""
        return self._config.paths

    def set_paths(self, paths: tuple[m.Way, ...]) -> None:
        """Use other addresses; connections over an address that was removed are closed."""
        addresses = {path.address for path in paths}
        removed = [address for address in self.paths if address not in addresses]
        self._config.paths = {path.address: path for path in paths}
        for address in removed:
            self.close_address(address)

    def reload(self, settings: Links) -> None:
        """Use other settings."""
        self._config.settings = settings

    # ---- Events of connections ----

    def connection_closed(self, connection: Connection) -> None:
        """Notify all parts that a connection has closed."""
        for pool in self._pools.values():
            pool.connection_closed(connection)
        self._leases.connection_closed(connection)
        self._probes.connection_closed(connection)

    def reply_completed(self, connection: Connection) -> None:
        """Queue waiting requests on a connection on which a request has ended, or close it if it was released."""
        if not self._leases.close_if_released(connection):
            self._pools[connection.protocol].reply_completed(connection)

    # ---- Effects ----

    def execute(self, effect: m.AnyEffect) -> None:
        """Carry out any effect for this box except `Send`."""
        if isinstance(effect, m.Probe):
            self._probes.probe(effect.address)
        elif isinstance(effect, m.Dial):
            self._dial_requests.dial(effect)
        elif isinstance(effect, m.Use):
            self.use(effect)
        elif isinstance(effect, m.Discard):
            self._dial_requests.discard(effect)
        elif isinstance(effect, m.NoPath):
            self.no_path(effect)
        elif isinstance(effect, m.ClosePath):
            self.close_address(effect.address)
        elif isinstance(effect, m.DropIdle):
            for pool in self._pools.values():
                pool.close_idle()
        elif isinstance(effect, m.Release):
            self._leases.release(effect.lease)

    def send(self, send: m.Send) -> None:
        """Carry out `Send`."""
        if send.lease:
            self._leases.send(send)
            return
        pool = self._pools[send.protocol]
        if pool.send(send):
            return
        self.review()  # prevents a queue that is full of requests whose clients have left from refusing others
        if not pool.wait(send):
            self.reports.ended(send, "no room", self.reports.now(), [], b"")

    def use(self, effect: m.Use) -> None:
        """Carry out `Use`: the waiting requests go on this connection."""
        request = self._dial_requests.take(effect.dial)
        connection = request.connections.pop(effect.address, None) if request is not None else None
        if request is None or connection is None:
            return
        request.close()
        if request.lease:
            if not self._leases.use(request.lease, connection):
                return
        else:
            self._pools[request.protocol].use(connection)
        self._tasks.spawn(connection.run())

    def no_path(self, effect: m.NoPath) -> None:
        """Carry out `NoPath`: the waiting requests that have no other connection end."""
        request = self._dial_requests.take(effect.dial)
        if request is None:
            return
        request.close()
        waiting = self._leases.no_path(request.lease) if request.lease else self._pools[request.protocol].no_path()
        for send in waiting:
            self.reports.ended(send, effect.how, self.reports.now(), [], b"")

    def close_address(self, address: str) -> None:
        """Close all connections over an address, as `ClosePath` requests."""
        with self.reports.batch():
            for connection in self._connections():
                if connection.address == address:
                    connection.close("reset")
            self._probes.close_address(address)

    def _connections(self) -> list[Connection]:
        """All connections except those of probes and released ones."""
        return [connection for pool in self._pools.values() for connection in pool.open] + self._leases.open

    # ---- Upkeep ----

    def review(self) -> None:
        """Withdraw the waiting requests that may not be written any more."""
        for pool in self._pools.values():
            pool.review()
        self._leases.review()

    def sweep(self) -> None:
        """Close connections that were idle, or waited for an answer, for longer than the settings allow."""
        now, settings = self.reports.now(), self._config.settings
        for connection in self._connections():
            if (
                connection.pending
                and now - connection.pending[0].sent_us > settings.reply_timeout_ms * 1000
                or (
                    not connection.pending
                    and now - connection.idle_since_us > settings.idle_close_ms * 1000
                    and not self._leases.has(connection)
                )
            ):
                connection.close("reset")

    @property
    def is_probing(self) -> bool:
        """Whether the answer to a probe is awaited."""
        return self._probes.is_awaited

    @property
    def size(self) -> int:
        """The number of open connections."""
        return sum(len(pool.open) for pool in self._pools.values()) + len(self._leases)

    def stop_dialling(self) -> None:
        """Open no connection any more. Requests on open connections, and waiting ones, end at `close`."""
        self._config.is_closed = True
        with self.reports.batch():
            self._dial_requests.end_all()

    def close(self) -> None:
        """Close all connections and withdraw all waiting requests."""
        self.stop_dialling()
        with self.reports.batch():
            for connection in [*self._connections(), *self._leases.released, *self._probes.open]:
                connection.close("reset")
            waiting = [send for pool in self._pools.values() for send in pool.take_waiting()]
            for send in [*waiting, *self._leases.take_waiting()]:
                self.reports.withdraw(send)
        self._tasks.cancel()
