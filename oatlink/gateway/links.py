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
from oatlink.settings.model import Links, address_fits

ASK = command("INFO", "server") + command("INFO", "replication")
ASK_BEHIND = command("INFO", "replication")
CHUNK = 262_144  # bytes read at once


class DialError(Exception):
    """No connection; the text is a word of `outcomes.ENDINGS`."""


async def connect(address: str, timeout_s: float, marks: Marks | None = None) -> Stream:
    """A stream to host:port or unix:PATH. Raises `DialError`."""
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
    flushed_us: int = 0
    frames: list[bytes] = field(default_factory=list)


class Connection:
    """One connection to a box, from its greeting to its end. Closing is idempotent; everything on it is told."""

    def __init__(self, link: "Link", stream: Stream, protocol: int) -> None:
        self.link, self.stream, self.protocol = link, stream, protocol
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
        self.pending.append(Pending(send, self.link.now(), wants))
        self.unflushed.append(self.pending[-1])
        self.alone = self.alone or send.alone
        self.out.append(send.payload)
        if send.ask:
            self.out.append(ASK_BEHIND)
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
        self.link.replied(head, took, info, follows)
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
        with self.link.turn():
            for one in pending:
                self.link.ended(one.send, how, one.sent_us, [], b"")


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
    """The shared connections of one protocol and what waits for one."""

    open: list[Connection] = field(default_factory=list)
    dialing: int = 0
    waiting: deque[m.Send] = field(default_factory=deque)


class Link:
    """All connections of a gateway to one box."""

    def __init__(self, name: str, address: str, settings: Links, limits: Limits, shell: "Shell") -> None:
        self.name, self.address, self.settings, self.limits = name, address, settings, limits
        self._shell = shell
        self._pools = {2: Pool(), 3: Pool()}
        self._leases: dict[int, Connection] = {}
        self._lease_waiting: dict[int, deque[m.Send]] = {}
        self._probe: Connection | None = None
        self.probes = 0  # how many are awaited
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.now, self.turn, self.dirty = shell.now, shell.turn, shell.dirty

    # ---- What connections report ----

    def ended(self, send: m.Send, how: str, sent_us: int, frames: list[bytes], info: bytes) -> None:
        """A request has ended."""
        now = self.now()
        self._shell.feed(m.Ended(send.request, send.attempt, self.name, how, now - sent_us, sent_us, frames, info))

    def replied(self, one: Pending, took_us: int, info: bytes, more: bool) -> None:
        """A request has its replies."""
        send = one.send
        self._shell.feed(
            m.Ended(send.request, send.attempt, self.name, "reply", took_us, one.sent_us, one.frames, info, more)
        )

    def settle(self) -> None:
        """Nothing follows the replies told so far."""
        self._shell.feed(m.Ticked())

    def lost(self, connection: Connection) -> None:
        """A connection has closed."""
        for pool in self._pools.values():
            if connection in pool.open:
                pool.open.remove(connection)
        for lease, one in list(self._leases.items()):
            if one is connection:
                del self._leases[lease]
        if self._probe is connection:
            self._probe = None

    def freed(self, connection: Connection) -> None:
        """A connection has room: what waits goes on it."""
        pool = self._pools[connection.protocol]
        if not pool.waiting or connection not in pool.open:
            return
        waiting = pool.waiting
        for _ in range(len(waiting)):
            send = waiting.popleft()
            if not self._place(pool, send):
                waiting.append(send)
                break

    # ---- Effects ----

    def send(self, send: m.Send) -> None:
        """Carry out `Send`."""
        if send.lease:
            self._send_leased(send)
            return
        pool = self._pools[send.protocol]
        if pool.waiting or not self._place(pool, send):
            if len(pool.waiting) >= self.settings.pipeline:
                self.ended(send, "no room", self.now(), [], b"")
                return
            pool.waiting.append(send)
            self._dial(pool, send.protocol)

    def _place(self, pool: Pool, send: m.Send) -> bool:
        """Put a request on an open connection, if one has room; a new one is dialled where all are busy."""
        if self._too_late(send):
            return True
        best = None
        for one in pool.open:
            if not one.alone and (best is None or len(one.pending) < len(best.pending)):
                best = one
                if not one.pending:
                    break
        if best is None or (send.alone and best.pending):
            return False
        if len(best.pending) >= self.settings.pipeline:
            return False
        if best.pending:
            self._dial(pool, send.protocol)
        self._give(best, send)
        return True

    def _too_late(self, send: m.Send) -> bool:
        if self.now() < send.until_us:
            return False
        self.ended(send, "unsent", self.now(), [], b"")
        return True

    def _give(self, connection: Connection, send: m.Send) -> None:
        if send.run_id and connection.run_id != send.run_id:
            self.ended(send, "stranger", self.now(), [], b"")
            if not connection.pending:
                connection.close("reset")
            return
        connection.give(send)

    def _dial(self, pool: Pool, protocol: int) -> None:
        """One more shared connection, one at a time, within the bound."""
        alone = sum(one.alone for one in pool.open)
        most = self.settings.connections + min(alone, self.settings.exclusive_connections)
        if self.closed or pool.dialing or len(pool.open) >= most:
            return
        pool.dialing = 1
        self._spawn(self._grow(pool, protocol))

    async def _grow(self, pool: Pool, protocol: int) -> None:
        try:
            connection = await self._open(protocol)
        except DialError as error:
            pool.dialing = 0
            if not pool.open:
                waiting, pool.waiting = list(pool.waiting), deque()
                with self.turn():
                    for send in waiting:
                        self.ended(send, str(error), self.now(), [], b"")
            return
        pool.dialing = 0
        pool.open.append(connection)
        with self.turn():
            self.freed(connection)
            if pool.waiting:
                self._dial(pool, protocol)
        await connection.run()

    async def _open(self, protocol: int) -> Connection:
        """Dial and greet within the time allowed. Raises `DialError`."""
        timeout_s = self.settings.connect_timeout_ms / 1000
        asked_us = self.now()
        stream = await connect(self.address, timeout_s, self._shell.marks)
        connection = Connection(self, stream, protocol)
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
        with self.turn():
            self._shell.feed(m.Met(self.name, info, asked_us))
        return connection

    # ---- Leases ----

    def _send_leased(self, send: m.Send) -> None:
        connection = self._leases.get(send.lease)
        if connection is not None:
            if not self._too_late(send):
                self._give(connection, send)
            return
        waiting = self._lease_waiting.get(send.lease)
        if waiting is not None:
            waiting.append(send)
            return
        if len(self._leases) + len(self._lease_waiting) >= self.settings.exclusive_connections:
            self.ended(send, "no room", self.now(), [], b"")
            return
        self._lease_waiting[send.lease] = deque([send])
        self._spawn(self._lease(send.lease, send.protocol))

    async def _lease(self, lease: int, protocol: int) -> None:
        try:
            connection = await self._open(protocol)
        except DialError as error:
            with self.turn():
                for send in self._lease_waiting.pop(lease, ()):
                    self.ended(send, str(error), self.now(), [], b"")
            return
        waiting = self._lease_waiting.pop(lease, None)
        if waiting is None:  # released meanwhile
            connection.close("reset")
            return
        self._leases[lease] = connection
        with self.turn():
            for send in waiting:
                if not self._too_late(send):
                    self._give(connection, send)
        await connection.run()

    def release(self, lease: int) -> None:
        """Carry out `Release`: the connection ends once what is on it has ended."""
        for send in self._lease_waiting.pop(lease, ()):
            self.ended(send, "unsent", self.now(), [], b"")
        connection = self._leases.pop(lease, None)
        if connection is not None:
            if connection.pending:
                IOLoop.current().call_later(self.settings.reply_timeout_ms / 1000, connection.close, "reset")
            else:
                connection.close("reset")

    # ---- Probes ----

    def probe(self) -> None:
        """Carry out `Probe`."""
        self.probes += 1
        self._spawn(self._ask())

    async def _ask(self) -> None:
        asked_us = self.now()
        info, how = b"", "reply"
        try:
            async with patience(self.settings.probe_timeout_ms / 1000):
                connection = self._probe
                if connection is None:
                    stream = await connect(self.address, self.settings.connect_timeout_ms / 1000, self._shell.marks)
                    connection = self._probe = Connection(self, stream, 2)
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
            if self._probe is not None:
                self._probe.close("reset")
        self.probes -= 1
        took_us = self.now() - asked_us
        if how == "reply" and self._probe is not None and self._probe.stream.ready_us > asked_us:
            took_us = self._probe.stream.ready_us - asked_us
        with self.turn():
            self._shell.feed(m.Probed(self.name, how, asked_us, took_us, info))

    # ---- Upkeep ----

    def drop_idle(self) -> None:
        """Carry out `DropIdle`."""
        for pool in self._pools.values():
            for one in [one for one in pool.open if not one.pending]:
                one.close("reset")

    def sweep(self) -> None:
        """Close what has been idle for long and what has not answered for too long."""
        now, settings = self.now(), self.settings
        connections = [one for pool in self._pools.values() for one in pool.open] + list(self._leases.values())
        for one in connections:
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
    def size(self) -> int:
        """Open connections."""
        return sum(len(pool.open) for pool in self._pools.values()) + len(self._leases)

    def close(self) -> None:
        """End all connections."""
        self.closed = True
        with self.turn():
            for pool in self._pools.values():
                for one in list(pool.open):
                    one.close("reset")
                for send in pool.waiting:
                    self.ended(send, "unsent", self.now(), [], b"")
                pool.waiting.clear()
            for one in list(self._leases.values()):
                one.close("reset")
            if self._probe is not None:
                self._probe.close("reset")
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
