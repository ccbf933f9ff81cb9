"""All connections of a gateway to one box: what the gateway sees of them.

What may live here: which part an effect or an event is for, and what concerns all parts at once. State is the parts'.
"""

from oatlink.core import messages as m
from oatlink.gateway.links.connection import Connection
from oatlink.gateway.links.facts import Facts
from oatlink.gateway.links.leases import Leases
from oatlink.gateway.links.pool import Pool
from oatlink.gateway.links.probes import Probes
from oatlink.gateway.links.reports import Reports
from oatlink.gateway.links.tasks import Tasks
from oatlink.gateway.links.turn import Shell
from oatlink.gateway.links.wants import Wants
from oatlink.protocols.resp import Limits
from oatlink.settings.model import Links


class Link:
    """The connections to one box."""

    def __init__(self, name: str, ways: tuple[m.Way, ...], settings: Links, limits: Limits, shell: Shell) -> None:
        self.limits = limits
        self.reports = Reports(name, shell)
        self._facts = Facts(name, {one.address: one for one in ways}, settings)
        self._tasks = Tasks()
        self._wants = Wants(self._facts, self, self._tasks)
        self._pools = {one: Pool(one, self._facts, self.reports, self._wants) for one in (2, 3)}
        self._leases = Leases(self._facts, self.reports, self._wants)
        self._probes = Probes(self._facts, self, self._tasks)

    @property
    def ways(self) -> dict[str, m.Way]:
        """Its addresses."""
        return self._facts.ways

    def relist(self, ways: tuple[m.Way, ...]) -> None:
        """Use other addresses; what runs over one that has gone ends there."""
        gone = [one for one in self.ways if one not in {way.address for way in ways}]
        self._facts.ways = {one.address: one for one in ways}
        for address in gone:
            self.shun(address)

    def reload(self, settings: Links) -> None:
        """Use other settings."""
        self._facts.settings = settings

    # ---- What connections report ----

    def lost(self, connection: Connection) -> None:
        """A connection has closed."""
        for pool in self._pools.values():
            pool.lost(connection)
        self._leases.lost(connection)
        self._probes.lost(connection)

    def freed(self, connection: Connection) -> None:
        """A connection has room: what waits goes on it."""
        if not self._leases.freed(connection):
            self._pools[connection.protocol].freed(connection)

    # ---- Effects ----

    def carry_out(self, effect: m.AnyEffect) -> None:
        """Any effect for this box but `Send`."""
        if isinstance(effect, m.Probe):
            self._probes.probe(effect.address)
        elif isinstance(effect, m.Dial):
            self._wants.dial(effect)
        elif isinstance(effect, m.Use):
            self.use(effect)
        elif isinstance(effect, m.Discard):
            self._wants.discard(effect)
        elif isinstance(effect, m.NoPath):
            self.no_path(effect)
        elif isinstance(effect, m.ClosePath):
            self.shun(effect.address)
        elif isinstance(effect, m.DropIdle):
            for pool in self._pools.values():
                pool.drop_idle()
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
        self.review()  # Threat: what is left of clients that have gone fills the queue
        if not pool.wait(send):
            self.reports.ended(send, "no room", self.reports.now(), [], b"")

    def use(self, effect: m.Use) -> None:
        """Carry out `Use`: what waited goes on this connection."""
        want = self._wants.take(effect.dial)
        connection = want.made.pop(effect.address, None) if want is not None else None
        if want is None or connection is None:
            return
        want.close()
        if want.lease:
            if not self._leases.use(want.lease, connection):
                return
        else:
            self._pools[want.protocol].use(connection)
        self._tasks.spawn(connection.run())

    def no_path(self, effect: m.NoPath) -> None:
        """Carry out `NoPath`: what has no other connection to wait for ends."""
        want = self._wants.take(effect.dial)
        if want is None:
            return
        want.close()
        waiting = self._leases.no_path(want.lease) if want.lease else self._pools[want.protocol].no_path()
        for send in waiting:
            self.reports.ended(send, effect.how, self.reports.now(), [], b"")

    def shun(self, address: str) -> None:
        """Carry out `ClosePath`."""
        with self.reports.turn():
            for one in self._all():
                if one.address == address:
                    one.close("reset")
            self._probes.shun(address)

    def _all(self) -> list[Connection]:
        return [one for pool in self._pools.values() for one in pool.open] + self._leases.open

    # ---- Upkeep ----

    def review(self) -> None:
        """What waits and may not be written any more ends, and makes room for what may."""
        for pool in self._pools.values():
            pool.review()
        self._leases.review()

    def sweep(self) -> None:
        """Close what has been idle for long and what has not answered for too long."""
        now, settings = self.reports.now(), self._facts.settings
        for one in self._all():
            if (
                one.pending
                and now - one.pending[0].sent_us > settings.reply_timeout_ms * 1000
                or (
                    not one.pending
                    and now - one.idle_since_us > settings.idle_close_ms * 1000
                    and not self._leases.has(one)
                )
            ):
                one.close("reset")

    @property
    def probing(self) -> bool:
        """Whether the answer to a probe is awaited."""
        return self._probes.awaited

    @property
    def size(self) -> int:
        """Open connections."""
        return sum(len(pool.open) for pool in self._pools.values()) + len(self._leases)

    def leave(self) -> None:
        """Make no connection any more. What is on one, or waits, ends at `close`."""
        self._facts.closed = True
        with self.reports.turn():
            self._wants.leave()

    def close(self) -> None:
        """End all connections, and all that waits for one."""
        self.leave()
        with self.reports.turn():
            for one in [*self._all(), *self._leases.released, *self._probes.open]:
                one.close("reset")
            waiting = [send for pool in self._pools.values() for send in pool.take_waiting()]
            for send in [*waiting, *self._leases.take_waiting()]:
                self.reports.withdraw(send)
        self._tasks.cancel()
