"""The gateway's client connections alone, in this process: a listener, a scripted asker and peers that speak bytes."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any

from oatlink.gateway.clock import TurnClock
from oatlink.interface import Effect, Freshness, RequestClass
from oatlink.platform.clients import Client, Clients, PipelineLimits, Query
from oatlink.platform.requests import Final
from oatlink.platform.statement import Statement, StatementError
from oatlink.protocols import pgwire as pg

PATIENCE_S = 20.0
STARTUP = pg.make_startup({"user": "backend", "database": "store"}).encode()


def query(text: bytes) -> bytes:
    return pg.make_query(text).encode()


def served(text: bytes, size: int = 0) -> Final:
    """A statement's answer; `size`: as long as that at least."""
    content = b"value of " + text.ljust(size, b".")
    row = pg.make_columns((b"content",), (17,)).encode() + pg.make_row((content,)).encode()
    return Final(row + pg.make_complete(b"SELECT 1").encode())


RULE = RequestClass("view", Freshness.ANY, Effect.IDEMPOTENT, 200_000, 400_000, 1.0)
WRITE = RequestClass("post", Freshness.WRITE, Effect.KEYED, 400_000, 800_000, 3.0)


class Asker:
    """Holds what is asked until the test answers it, or answers each at once.

    A text is an id, a name with `!` if it writes, and `#` with a key: `a!#k`.
    """

    def __init__(self) -> None:
        self.texts: list[bytes] = []
        self.open: dict[Query, bytes] = {}
        self.gone: list[bytes] = []  # of clients that left their query open
        self.hurried: list[bytes] = []
        self.at_once = False
        self.size = 0  # of the answers' contents
        self.pipeline_limits = PipelineLimits(1, 1 << 20)  # one open at once of a connection

    def parse_query(self, text: bytes) -> Statement:
        name, _, key = text.partition(b"#")
        rule = WRITE if b"!" in text else RULE
        return Statement(text, rule, 400, 0, name.rstrip(b"!").decode(), None, key, b"", b"")

    def submit_query(self, query: Query) -> None:
        if b"bad" in query.statement.id:
            raise StatementError("42710", "not now")
        self.texts.append(query.statement.id)
        self.open[query] = query.statement.id
        if self.at_once:
            self.answer(query)

    def expedite_query(self, query: Query) -> None:
        self.hurried.append(query.statement.id)

    def abandon_query(self, query: Query) -> None:
        if query in self.open:
            self.gone.append(self.open.pop(query))

    def answer(self, one: Client | Query | bytes) -> None:
        """A query, the one of this text, or a client's first."""
        query = next(open for open, text in self.open.items() if one in (open, text, open.client))
        query.answered(served(self.open.pop(query), self.size))


class Peer:
    """A client's side, on a socket of its own: what the kernel says is what it sees, a reset above all."""

    def __init__(self, address: Any, small: bool = False) -> None:
        self.sock, self.data = socket.socket(), bytearray()
        if small:  # what the kernel holds for it: a few thousand bytes
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.sock.connect(address)
        self.sock.setblocking(False)

    def send(self, *parts: bytes) -> None:
        """At once: on loopback it lies in the other's socket when this returns."""
        for part in parts:
            assert self.sock.send(part) == len(part), "more than the kernel takes"

    async def message(self) -> pg.Message | None:
        """The next message; None at the end. Raises `ConnectionError` at a reset, `EOFError` where one is cut."""
        while len(self.data) < 5 or len(self.data) < 1 + struct.unpack_from("!i", self.data, 1)[0]:
            async with asyncio.timeout(PATIENCE_S):
                got = await asyncio.get_running_loop().sock_recv(self.sock, 1 << 16)
            self.data += got
            if not got and self.data:
                raise EOFError("the end within a message")
            if not got:
                return None
        (size,) = struct.unpack_from("!i", self.data, 1)
        message = pg.Message(bytes(self.data[:1]), bytes(self.data[5 : 1 + size]))
        del self.data[: 1 + size]
        return message

    async def answer(self) -> str | None:
        """The next answer: its content, or the error's code; None at the end."""
        found: list[str] = []
        while (one := await self.message()) is not None:
            if one.kind == b"D":
                found.append(str((pg.row(one)[0] or b"").decode()).rstrip("."))
            elif one.kind == b"E":
                fields = pg.fields(one)
                found.append(fields["C"])
                if fields["S"] == "FATAL":
                    break
            elif one.kind == b"Z":
                break
        else:
            assert not found, "the end within an answer"
            return None
        return found[0] if found else ""

    async def answers(self) -> list[str]:
        """All up to the orderly end."""
        found: list[str] = []
        while (one := await self.answer()) is not None:
            found.append(one)
        return found

    def reset(self) -> None:
        """Gone without a word."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class Home:
    """The listener, with what is on it."""

    def __init__(self, most: int, small: bool) -> None:
        self.asker = Asker()
        self.faults: list[Any] = []
        self.tasks: set[asyncio.Future[None]] = set()
        self.peers: list[Peer] = []
        self.small = small
        sock = socket.socket()
        if small:  # what the kernel holds of an answer: a few thousand bytes
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.bind(("127.0.0.1", 0))
        sock.listen(512)
        sock.setblocking(False)
        self.clients = Clients(sock, most, self.asker, TurnClock(), self._keep, lambda text: None)
        self.address = sock.getsockname()
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: self.faults.append(context))

    def _keep(self, task: "asyncio.Future[None]") -> None:
        self.tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: "asyncio.Future[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self.faults.append(fault)

    def knock(self, *parts: bytes) -> Peer:
        """A connection in the listener's queue, with what it sends at once; nobody has had a turn yet."""
        self.peers.append(Peer(self.address, self.small))
        self.peers[-1].send(*parts)
        return self.peers[-1]

    async def client(self) -> tuple[Peer, Client]:
        """One that has started up, and the gateway's side of it."""
        before = set(self.clients.active)
        peer = self.knock(STARTUP)
        assert await peer.answer() == ""
        (client,) = set(self.clients.active) - before
        await self.until(lambda: client.idle_since_us() is not None)
        return peer, client

    async def until(self, what: Callable[[], bool], sweeps: bool = False) -> None:
        """Wait for something that comes to be true; `sweeps`: the listener looks around meanwhile, as it is made to."""
        async with asyncio.timeout(PATIENCE_S):
            while not what():
                if sweeps:
                    self.clients.sweep()
                await asyncio.sleep(0.002)

    async def left(self, peer: Peer, client: Client) -> None:
        """The peer ends its side, and the gateway its own."""
        peer.sock.close()
        await self.until(lambda: client.closed)

    async def asked(self, count: int) -> None:
        """Wait for so many queries."""
        await self.until(lambda: len(self.asker.texts) >= count)

    async def watch(self) -> None:
        """Look around again and again, as the gateway does."""
        while True:
            (self.clients.stop if self.clients.stopping else self.clients.sweep)()
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def home(most: int = 64, small: bool = False, watched: bool = False) -> AsyncIterator[Home]:
    """A listener for so many connections. At its end nothing has gone wrong unseen."""
    one = Home(most, small)
    one.clients.listen()
    watching = asyncio.ensure_future(one.watch()) if watched else None
    try:
        yield one
    finally:
        if watching is not None:
            watching.cancel()
        for peer in one.peers:
            peer.sock.close()
        one.clients.stop()
        for client in list(one.clients.active):
            client.close()
        await one.until(lambda: not one.tasks)
        asyncio.get_running_loop().set_exception_handler(None)
    assert not one.faults, one.faults
