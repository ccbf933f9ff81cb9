"""Connections to one box: pooled and pipelined, bounded, each broken one failing only what was on it.

A shell: it carries out `Send`, `Probe`, `DropIdle` and `Release` and reports how each ended. What may live here
is plumbing within the bounds of the settings; which box gets a request is never chosen here.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from tornado.ioloop import IOLoop
from tornado.iostream import StreamBufferFullError, StreamClosedError
from tornado.netutil import Resolver

from oatlink.core import messages as m
from oatlink.core.reports import parse_info
from oatlink.gateway.clock import Marks, Stream, patience
from oatlink.protocols.resp import Limits, ProtocolError, ReplyReader, command, decode
from oatlink.settings.model import Links
from oatlink.settings.parts import address_fits

ASK = command("INFO", "server") + command("INFO", "replication")
ASK_BEHIND = command("INFO", "replication")
CHUNK = 262_144  # bytes read at once


class DialError(Exception):
    """No connection; the text is a word of `outcomes.ENDINGS`."""


async def connect(address: str, timeout_s: float, marks: Marks | None = None, keepalive_s: int = 0) -> Stream:
    """A stream to host:port or unix:PATH. Raises `DialError`.

    `keepalive_s` above 0: the kernel asks an idle peer so often, and ends the connection after three silences.
    """
    assert address_fits(address)
    stream: Stream | None = None
    marks = marks or Marks()
    try:
        async with patience(timeout_s):
            if address.startswith("unix:"):
                stream = Stream(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), marks, max_buffer_size=1 << 30)
                await stream.connect(address[5:])
                return stream
            host, _, port = address.rpartition(":")
            found = await Resolver().resolve(host.strip("[]"), int(port))
            family, where = found[0]
            stream = Stream(socket.socket(family, socket.SOCK_STREAM), marks, max_buffer_size=1 << 30)
            stream.set_nodelay(True)
            if keepalive_s:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
                for option in ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT"):
                    if hasattr(socket, option):
                        value = 3 if option == "TCP_KEEPCNT" else keepalive_s
                        stream.socket.setsockopt(socket.IPPROTO_TCP, getattr(socket, option), value)
            await stream.connect(where)
            return stream
    except TimeoutError:
        if stream is not None:
            stream.close()
        raise DialError("no connection in time") from None
    except (OSError, StreamClosedError):
        if stream is not None:
            stream.close()
        raise DialError("refused") from None


@dataclass(slots=True)
class Pending:
    """A request on a connection: its frames come in order."""

    send: m.Send
    sent_us: int
    wants: int
    runs_from: int  # before so many bytes of the connection have been handed over, nothing of it can have run
    flushed_us: int = 0
    frames: list[bytes] = field(default_factory=list)


class Connection:
    """One connection to a box, from its greeting to its end. Closing is idempotent; everything on it is told."""

    def __init__(self, link: "Link", stream: Stream, protocol: int, address: str) -> None:
        self.link, self.stream, self.protocol, self.address = link, stream, protocol, address
        self.given = 0  # bytes put on it since its greeting
        self.greeted = 0  # bytes of the greeting
        self.reader = ReplyReader(link.limits)
        self.pending: deque[Pending] = deque()
        self.out: list[bytes] = []
        self.unflushed: list[Pending] = []
        self.run_id = ""
        self.alone = False
        self.idle_since_us = link.now()
        self.closed = False

    async def frame(self) -> bytes:
        """The next whole reply, while greeting. Raises `StreamClosedError` or `ProtocolError`."""
        while (found := self.reader.take()) is None:
            self.reader.feed(await self.stream.read_bytes(CHUNK, partial=True))
        return found

    async def greet(self, user: str, password: str) -> bytes:
        """Authenticate, choose the protocol, learn whom this connection reaches. Raises `DialError`."""
        words: list[bytes] = []
        if password:
            words.append(command("AUTH", user or "default", password))
        if self.protocol == 3:
            words.append(command("HELLO", 3))
        try:
            await self.stream.write(b"".join(words) + ASK)
            for _ in words:
                if (await self.frame())[:1] == b"-":
                    raise DialError("refused")
            info = await self.info(2)
        except (StreamClosedError, ProtocolError):
            raise DialError("refused") from None
        self.run_id = parse_info(info).run_id
        self.greeted = self.stream.handed
        return info

    async def info(self, count: int) -> bytes:
        """So many INFO answers, put together. Raises `DialError` where one is an error."""
        parts = []
        for _ in range(count):
            text = info_text(await self.frame())
            if text is None:
                raise DialError("refused")
            parts.append(text)
        return b"".join(parts)

    def give(self, send: m.Send) -> None:
        """Put a request on the connection; it is written at the end of this turn."""
        wants = send.replies + send.ask
        runs_from = self.given + (send.runs_from or len(send.payload))
        self.pending.append(Pending(send, self.link.now(), wants, runs_from))
        self.given += len(send.payload)
        self.unflushed.append(self.pending[-1])
        self.alone = self.alone or send.alone
        self.out.append(send.payload)
        if send.ask:
            self.out.append(ASK_BEHIND)
            self.given += len(ASK_BEHIND)
        self.link.dirty(self)

    def flush(self) -> None:
        """Hand over what was put on the connection."""
        if not self.out or self.closed:
            return
        data, self.out = (self.out[0] if len(self.out) == 1 else b"".join(self.out)), []
        now = self.link.now()
        for one in self.unflushed:
            one.flushed_us = now
        self.unflushed.clear()
        try:
            self.stream.write(data).add_done_callback(swallow)
        except (StreamClosedError, StreamBufferFullError):
            self.close("reset")

    async def run(self) -> None:
        """Read replies until the connection ends."""
        how = "reset"
        try:
            while True:
                data = await self.stream.read_bytes(CHUNK, partial=True)
                self.reader.feed(data)
                with self.link.turn():
                    self._take_all()
        except ProtocolError:
            how = "bad reply"
        except StreamClosedError:
            pass
        self.close(how)

    def _take_all(self) -> None:
        """All whole replies of one read. Raises `ProtocolError` once those before it are told."""
        problem = None
        more = False
        frame = self.reader.take()
        while frame is not None:
            try:
                following = self.reader.take()
            except ProtocolError as found:
                following, problem = None, found
            if frame[:1] != b">":  # out of band data that nobody asked for is passed over
                if not self.pending:
                    problem, following = ProtocolError("a reply that nothing was sent for"), None
                else:
                    more = self._take(frame, following is not None, more)
            frame = following
        if more:  # more replies were announced, and none of them ended a request
            self.link.settle()
        if problem is not None:
            raise problem

    def _take(self, frame: bytes, follows: bool, more: bool) -> bool:
        """One reply; whether the engine has been told that more follow."""
        head = self.pending[0]
        head.frames.append(frame)
        if len(head.frames) < head.wants:
            return more
        self.pending.popleft()
        info = b""
        if head.send.ask:
            info = info_text(head.frames.pop()) or b""
        if not self.pending:
            self.alone = False
            self.idle_since_us = self.link.now()
        now, ready = self.link.now(), self.stream.ready_us
        # How long the answer had lain here is the gateway's own lateness, not the box's time.
        took = max(0, (ready if ready > head.flushed_us else now) - head.flushed_us)
        self.link.replied(head, took, info, follows, self.address)
        self.link.freed(self)
        return follows

    def close(self, how: str) -> None:
        """End the connection; each request on it ends the same way."""
        if self.closed:
            return
        self.closed = True
        self.stream.close()
        self.link.lost(self)
        pending, self.pending = list(self.pending), deque()
        handed = self.stream.handed - self.greeted
        with self.link.turn():
            for one in pending:
                # A server runs a command once it has all of it (redis.io, protocol specification: arrays of bulk
                # strings), and a transaction at EXEC: what the socket never took whole has not run and will not.
                whole = handed >= one.runs_from
                self.link.ended(one.send, how if whole else "unsent", one.sent_us, [], b"", self.address)


def swallow(future: "asyncio.Future[None]") -> None:
    """A write that failed is told by its stream's end; the future need not be asked."""
    if not future.cancelled():
        future.exception()


def info_text(frame: bytes) -> bytes | None:
    """The text of an INFO answer, whichever string type carries it."""
    value = decode(frame)
    if isinstance(value, bytes):
        return value
    return getattr(value, "data", None)


@dataclass(slots=True)
class Pool:
    """The shared connections of one protocol, over all addresses, and what waits for one."""

    open: list[Connection] = field(default_factory=list)
    dialing: str = ""  # the address for whose sake one more is being dialled
    waiting: deque[m.Send] = field(default_factory=deque)


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


class Link:
    """All connections of a gateway to one box."""

    def __init__(self, name: str, ways: tuple[m.Way, ...], settings: Links, limits: Limits, shell: "Shell") -> None:
        self.name, self.settings, self.limits = name, settings, limits
        self.ways = {one.address: one for one in ways}
        self._shell = shell
        self._pools = {2: Pool(), 3: Pool()}
        self._leases: dict[int, Connection] = {}
        self._lease_waiting: dict[int, deque[m.Send]] = {}
        self._lost_leases: set[int] = set()  # of clients that do not know it yet
        self._released: set[Connection] = set()  # were a client's own, and still owe answers
        self._wants: dict[int, Want] = {}
        self._last_want = 0
        self._probes: dict[str, Connection] = {}
        self._asking: set[str] = set()  # addresses over which a probe is awaited
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.now, self.turn, self.dirty = shell.now, shell.turn, shell.dirty

    def relist(self, ways: tuple[m.Way, ...]) -> None:
        """Use other addresses; what runs over one that has gone ends there."""
        gone = [one for one in self.ways if one not in {way.address for way in ways}]
        self.ways = {one.address: one for one in ways}
        for address in gone:
            self.shun(address)

    # ---- What connections report ----

    def ended(
        self, send: m.Send, how: str, sent_us: int, frames: list[bytes], info: bytes, address: str = ""
    ) -> None:
        """A request has ended."""
        now = self.now()
        self._shell.feed(
            m.Ended(send.request, send.attempt, self.name, how, now - sent_us, sent_us, frames, info, False, address)
        )

    def replied(self, one: Pending, took_us: int, info: bytes, more: bool, address: str) -> None:
        """A request has its replies."""
        send = one.send
        self._shell.feed(
            m.Ended(
                send.request, send.attempt, self.name, "reply", took_us, one.sent_us, one.frames, info, more, address
            )
        )

    def settle(self) -> None:
        """Nothing follows the replies told so far."""
        self._shell.feed(m.Ticked())

    def lost(self, connection: Connection) -> None:
        """A connection has closed."""
        for protocol, pool in self._pools.items():
            if connection in pool.open:
                pool.open.remove(connection)
                if pool.waiting and not pool.open:
                    # Threat: what waited for room on the last connection waits for its deadline.
                    self._dial(pool, protocol, pool.waiting[0].address)
        for lease, one in list(self._leases.items()):
            if one is connection:
                del self._leases[lease]
                self._lost_leases.add(lease)
        self._released.discard(connection)
        if self._probes.get(connection.address) is connection:
            del self._probes[connection.address]

    def freed(self, connection: Connection) -> None:
        """A connection has room: what waits goes on it."""
        if connection in self._released and not connection.pending:
            connection.close("reset")
            return
        pool = self._pools[connection.protocol]
        if pool.waiting and connection in pool.open:
            self._place_waiting(pool, anywhere=not pool.dialing)

    def review(self) -> None:
        """What waits and may not be written any more ends, and makes room for what may."""
        for pool in self._pools.values():
            for send in [one for one in pool.waiting if not self._may_write(one)]:
                if send in pool.waiting:
                    pool.waiting.remove(send)
                    self._withdraw(send)
        for lease, waiting in list(self._lease_waiting.items()):
            if not all(self._may_write(one) for one in waiting):
                self._lose_lease(lease)

    def _place_waiting(self, pool: Pool, anywhere: bool) -> None:
        while pool.waiting:
            send = pool.waiting.popleft()
            if not self._place(pool, send, anywhere):
                pool.waiting.appendleft(send)
                break

    # ---- Effects ----

    def carry_out(self, effect: m.AnyEffect) -> None:
        """Any effect for this box but `Send`."""
        if isinstance(effect, m.Probe):
            self.probe(effect.address)
        elif isinstance(effect, m.Dial):
            self.dial(effect)
        elif isinstance(effect, m.Use):
            self.use(effect)
        elif isinstance(effect, m.Discard):
            self.discard(effect)
        elif isinstance(effect, m.NoPath):
            self.no_path(effect)
        elif isinstance(effect, m.Shun):
            self.shun(effect.address)
        elif isinstance(effect, m.DropIdle):
            self.drop_idle()
        elif isinstance(effect, m.Release):
            self.release(effect.lease)

    def send(self, send: m.Send) -> None:
        """Carry out `Send`."""
        if send.lease:
            self._send_leased(send)
            return
        pool = self._pools[send.protocol]
        if pool.waiting or not self._place(pool, send):
            if len(pool.waiting) >= self.settings.pipeline:
                self.review()  # Threat: what is left of clients that have gone fills the queue
            if len(pool.waiting) >= self.settings.pipeline:
                self.ended(send, "no room", self.now(), [], b"")
                return
            pool.waiting.append(send)
            self._dial(pool, send.protocol, send.address)

    def _place(self, pool: Pool, send: m.Send, anywhere: bool = False) -> bool:
        """Put a request on an open connection, if one has room; a new one is dialled where all are busy.

        One over another address than the request's is used only `anywhere`: where no better one can be had.
        """
        if not self._may_write(send):
            self._withdraw(send)
            return True
        best = None
        there = False  # a connection over the address asked for
        for one in pool.open:
            right = one.address == send.address
            if one.alone or (there and not right):
                continue
            if best is None or (right and not there) or len(one.pending) < len(best.pending):
                best, there = one, right
                if right and not one.pending:
                    break
        if best is None or (send.alone and best.pending):
            return False
        if len(best.pending) >= self.settings.pipeline:
            return False
        if not there and not anywhere and (pool.dialing or self._may_dial(pool, send.address)):
            return False
        more = bool(best.pending) or not there
        self._give(best, send)
        if more:  # only now: a connection that is idle may have to make room
            self._dial(pool, send.protocol, send.address)
        return True

    def _may_write(self, send: m.Send) -> bool:
        """The last look at a request. Its write commits it; until then it may be taken back.

        Threat: a request that has waited for a connection while its client left, its time ended or its box began to
        drain, moved or left the list.
        """
        return self.now() < send.until_us and self._shell.may_write(send)

    def _withdraw(self, send: m.Send) -> None:
        self.ended(send, "withdrawn", self.now(), [], b"")

    def _give(self, connection: Connection, send: m.Send) -> bool:
        """Put a request on a connection, if that reaches the run of the box that the request was sent to."""
        if send.run_id and connection.run_id != send.run_id:
            self.ended(send, "stranger", self.now(), [], b"")
            if not connection.pending:
                connection.close("reset")
            return False
        connection.give(send)
        return True

    def _dial(self, pool: Pool, protocol: int, address: str) -> None:
        """One more shared connection, one at a time, within the bound over all addresses."""
        if pool.dialing or not self._may_dial(pool, address):
            return
        if self._full(pool):
            spare = self._spare(pool, address)
            if spare is not None:
                spare.close("reset")
        pool.dialing = address or self.name
        self._want(Want(protocol), address)

    def _full(self, pool: Pool) -> bool:
        alone = sum(one.alone for one in pool.open)
        return len(pool.open) >= self.settings.connections + min(alone, self.settings.exclusive_connections)

    def _may_dial(self, pool: Pool, address: str) -> bool:
        return not self.closed and (not self._full(pool) or self._spare(pool, address) is not None)

    def _spare(self, pool: Pool, address: str) -> Connection | None:
        """Threat: a bound filled by connections over a path that was left, so that none is made over the other."""
        if not address or any(one.address == address for one in pool.open):
            return None
        return next((one for one in pool.open if not one.pending), None)

    def _want(self, want: Want, address: str) -> None:
        self._last_want += 1
        self._wants[self._last_want] = want
        self._shell.feed(m.Wanted(self.name, self._last_want, address))

    def dial(self, effect: m.Dial) -> None:
        """Carry out `Dial`."""
        want = self._wants.get(effect.dial)
        if want is None or self.closed:
            self._dialled(effect, "refused", self.now(), b"")
            return
        want.out.add(effect.address)
        self._spawn(self._attempt(effect, want))

    async def _attempt(self, effect: m.Dial, want: Want) -> None:
        """Dial and greet within the time allowed, and tell."""
        asked_us = self.now()
        info, how = b"", "reply"
        try:
            connection = await self._open(effect, want.protocol)
            info = await self._greet(connection, effect.timeout_us / 1e6)
            want.made[effect.address] = connection
        except DialError as error:
            how = str(error)
        except Exception as error:  # an attempt that never ends would be counted as out for ever
            how = "refused"
            self._shell.wrong(f"dial of {self.name} at {effect.address}: {type(error).__name__}: {error}")
        want.out.discard(effect.address)
        with self.turn():
            self._dialled(effect, how, asked_us, info)

    def _dialled(self, effect: m.Dial, how: str, asked_us: int, info: bytes) -> None:
        took_us = self.now() - asked_us
        self._shell.feed(m.Dialled(self.name, effect.dial, effect.address, how, asked_us, took_us, info))

    async def _open(self, effect: m.Dial, protocol: int) -> Connection:
        """A connection that has said nothing yet. Raises `DialError`."""
        way = self.ways.get(effect.address)
        keepalive_s = (way.keepalive_s if way is not None else 0) or self.settings.keepalive_s
        stream = await connect(effect.address, effect.timeout_us / 1e6, self._shell.marks, keepalive_s)
        return Connection(self, stream, protocol, effect.address)

    async def _greet(self, connection: Connection, timeout_s: float) -> bytes:
        """What the box says of itself on a new connection. Raises `DialError`."""
        try:
            async with patience(timeout_s):
                info = await connection.greet(self.settings.user, self.settings.password)
        except TimeoutError:
            connection.close("reset")
            raise DialError("no connection in time") from None
        except DialError:
            connection.close("reset")
            raise
        if self.closed:
            connection.close("reset")
            raise DialError("refused")
        return info

    def use(self, effect: m.Use) -> None:
        """Carry out `Use`: what waited goes on this connection."""
        want = self._wants.pop(effect.dial, None)
        connection = want.made.pop(effect.address, None) if want is not None else None
        if want is None or connection is None:
            return
        want.close()
        if want.lease:
            waiting = self._lease_waiting.pop(want.lease, None)
            if waiting is None:  # released meanwhile
                connection.close("reset")
                return
            self._leases[want.lease] = connection
            for send in waiting:
                self._give_leased(send)
        else:
            pool = self._pools[want.protocol]
            pool.dialing = ""
            pool.open.append(connection)
            self._place_waiting(pool, anywhere=True)
            if pool.waiting:
                self._dial(pool, want.protocol, pool.waiting[0].address)
        self._spawn(connection.run())

    def discard(self, effect: m.Discard) -> None:
        """Carry out `Discard`."""
        want = self._wants.get(effect.dial)
        connection = want.made.pop(effect.address, None) if want is not None else None
        if connection is not None:
            connection.close("reset")

    def no_path(self, effect: m.NoPath) -> None:
        """Carry out `NoPath`: what has no other connection to wait for ends."""
        want = self._wants.pop(effect.dial, None)
        if want is None:
            return
        want.close()
        if want.lease:
            waiting = self._lease_waiting.pop(want.lease, deque())
        else:
            pool = self._pools[want.protocol]
            pool.dialing = ""
            if pool.open:
                self._place_waiting(pool, anywhere=True)
                return
            waiting, pool.waiting = pool.waiting, deque()
        for send in waiting:
            self.ended(send, effect.how, self.now(), [], b"")

    def shun(self, address: str) -> None:
        """Carry out `Shun`."""
        with self.turn():
            for one in self._all():
                if one.address == address:
                    one.close("reset")
            probe = self._probes.get(address)
            if probe is not None:
                probe.close("reset")

    def _all(self) -> list[Connection]:
        return [one for pool in self._pools.values() for one in pool.open] + list(self._leases.values())

    # ---- Leases ----

    def _send_leased(self, send: m.Send) -> None:
        if send.lease in self._leases or send.lease in self._lost_leases:
            self._give_leased(send)
            return
        waiting = self._lease_waiting.get(send.lease)
        if waiting is not None:
            waiting.append(send)
            return
        if len(self._leases) + len(self._lease_waiting) >= self.settings.exclusive_connections:
            self.ended(send, "no room", self.now(), [], b"")
            return
        if self.closed or not self._may_write(send):
            self._withdraw(send)
            return
        self._lease_waiting[send.lease] = deque([send])
        self._want(Want(send.protocol, send.lease), send.address)

    def _give_leased(self, send: m.Send) -> None:
        """Threat: EXEC without the WATCH before it, which was not written or was on a connection that has ended.

        So a lease is one unit: what may be written goes on its one connection in order; from the first that may not
        on nothing does, and no second connection is made for it. The engine then knows that nothing is watched.
        """
        connection = self._leases.get(send.lease)
        if connection is not None and self._may_write(send):
            if not self._give(connection, send):
                self._lose_lease(send.lease)
            return
        self._withdraw(send)
        self._lose_lease(send.lease)

    def _lose_lease(self, lease: int) -> None:
        self._lost_leases.add(lease)
        for send in self._lease_waiting.pop(lease, ()):
            self._withdraw(send)
        self._let_go(self._leases.pop(lease, None))

    def _let_go(self, connection: Connection | None) -> None:
        """A client's own connection ends once what is on it has ended."""
        if connection is None:
            return
        if connection.pending:
            self._released.add(connection)
            IOLoop.current().call_later(self.settings.reply_timeout_ms / 1000, connection.close, "reset")
        else:
            connection.close("reset")

    def release(self, lease: int) -> None:
        """Carry out `Release`: the connection ends once what is on it has ended."""
        self._lost_leases.discard(lease)
        for send in self._lease_waiting.pop(lease, ()):
            self._withdraw(send)
        self._let_go(self._leases.pop(lease, None))

    # ---- Probes ----

    def probe(self, address: str) -> None:
        """Carry out `Probe`; one that is under way over the same address serves for both."""
        address = address or next(iter(self.ways))
        if address not in self._asking:
            self._asking.add(address)
            self._spawn(self._ask(address))

    async def _ask(self, address: str) -> None:
        asked_us = self.now()
        info, how = b"", "reply"
        connection = None
        way = self.ways.get(address)
        dial_s = ((way.connect_timeout_ms if way is not None else 0) or self.settings.connect_timeout_ms) / 1000
        try:
            async with patience(self.settings.probe_timeout_ms / 1000):
                connection = self._probes.get(address)
                if connection is None:
                    stream = await connect(address, dial_s, self._shell.marks)
                    connection = Connection(self, stream, 2, address)
                    self._probes[address] = connection
                    asked_us = self.now()
                    info = await connection.greet(self.settings.user, self.settings.password)
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
            self._shell.wrong(f"probe of {self.name}: {type(error).__name__}: {error}")
        if how != "reply":
            info = b""
            if connection is not None:
                connection.close("reset")
        self._asking.discard(address)
        took_us = self.now() - asked_us
        if how == "reply" and connection is not None and connection.stream.ready_us > asked_us:
            took_us = connection.stream.ready_us - asked_us
        with self.turn():
            self._shell.feed(m.Probed(self.name, how, asked_us, took_us, info, address))

    # ---- Upkeep ----

    def drop_idle(self) -> None:
        """Carry out `DropIdle`."""
        for pool in self._pools.values():
            for one in [one for one in pool.open if not one.pending]:
                one.close("reset")

    def sweep(self) -> None:
        """Close what has been idle for long and what has not answered for too long."""
        now, settings = self.now(), self.settings
        for one in self._all():
            if (
                one.pending
                and now - one.pending[0].sent_us > settings.reply_timeout_ms * 1000
                or (
                    not one.pending
                    and now - one.idle_since_us > settings.idle_close_ms * 1000
                    and one not in self._leases.values()
                )
            ):
                one.close("reset")

    @property
    def probing(self) -> bool:
        """Whether the answer to a probe is awaited."""
        return bool(self._asking)

    @property
    def size(self) -> int:
        """Open connections."""
        return sum(len(pool.open) for pool in self._pools.values()) + len(self._leases)

    def leave(self) -> None:
        """Make no connection any more. What is on one, or waits, ends at `close`."""
        self.closed = True
        with self.turn():
            for dial, want in list(self._wants.items()):
                for address in sorted(want.out):  # the engine counts what is out
                    self._shell.feed(m.Dialled(self.name, dial, address, "refused", self.now(), 0))
                want.close()
            self._wants.clear()

    def close(self) -> None:
        """End all connections, and all that waits for one."""
        self.leave()
        with self.turn():
            for one in [*self._all(), *self._released, *self._probes.values()]:
                one.close("reset")
            waiting = [send for pool in self._pools.values() for send in pool.waiting]
            waiting += [send for sends in self._lease_waiting.values() for send in sends]
            for pool in self._pools.values():
                pool.waiting.clear()
            self._lease_waiting.clear()
            for send in waiting:
                self._withdraw(send)
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class Shell:
    """What a link needs of its gateway."""

    now: Callable[[], int]
    marks: Marks

    def feed(self, given: m.AnyInput) -> None:
        """Hand the engine an input."""
        raise NotImplementedError

    def wrong(self, text: str) -> None:
        """A defect of ours that must not stop the gateway: told to the people on call."""
        raise NotImplementedError

    def may_write(self, send: m.Send) -> bool:
        """Whether a request that waited may still be written; nothing changes."""
        raise NotImplementedError

    def turn(self) -> "Turn":
        """A stretch of work at whose end everything written is flushed."""
        raise NotImplementedError

    def dirty(self, connection: Connection) -> None:
        """A connection has something to flush."""
        raise NotImplementedError


class Turn:
    """Counts nested stretches of work; the outermost flushes."""

    def __init__(self, flush: Callable[[], None]) -> None:
        self._flush = flush
        self.depth = 0

    def __enter__(self) -> None:
        self.depth += 1

    def __exit__(self, *_: object) -> None:
        self.depth -= 1
        if self.depth == 0:
            self._flush()
