"""Client connections of the platform gateway in this process: listener, scripted query handler, byte-level peers."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any

from oatlink.gateway.clock import TurnClock
from oatlink.interface import Effect, Freshness, RequestClass
from oatlink.platform.clients import Client, Clients, PipelineLimits, Query
from oatlink.platform.memory import HeldBytes
from oatlink.platform.requests import Final
from oatlink.platform.statement import Statement, StatementError
from oatlink.protocols import pgwire as pg

TIMEOUT_S = 20.0
STARTUP = pg.make_startup({"user": "backend", "database": "store"}).encode()


def query(text: bytes) -> bytes:
    return pg.make_query(text).encode()


def served(text: bytes, size: int = 0) -> Final:
    """The answer to a statement, padded to at least `size` bytes of content."""
    content = b"value of " + text.ljust(size, b".")
    row = pg.make_columns((b"content",), (17,)).encode() + pg.make_row((content,)).encode()
    return Final(row + pg.make_complete(b"SELECT 1").encode())


READ_CLASS = RequestClass("view", Freshness.ANY, Effect.IDEMPOTENT, 200_000, 400_000, 1.0)
WRITE_CLASS = RequestClass("post", Freshness.WRITE, Effect.KEYED, 400_000, 800_000, 3.0)


class ScriptedHandler:
    """Keeps submitted queries open until the test answers them, or answers each at once.

    A query's text is its id: a name, `!` if it writes, and `#` with a key, as in `a!#k`.
    """

    def __init__(self) -> None:
        self.submitted: list[bytes] = []
        self.open: dict[Query, bytes] = {}
        self.abandoned: list[bytes] = []
        self.expedited: list[bytes] = []
        self.answers_at_once = False
        self.answer_bytes = 0
        self.pipeline_limits = PipelineLimits(1, 1 << 20)  # one open query per connection

    def parse_query(self, text: bytes) -> Statement:
        name, _, key = text.partition(b"#")
        request_class = WRITE_CLASS if b"!" in text else READ_CLASS
        return Statement(text, request_class, 400, 0, name.rstrip(b"!").decode(), None, key, b"", b"")

    def submit_query(self, query: Query) -> None:
        if b"bad" in query.statement.id:
            raise StatementError("42710", "not now")
        self.submitted.append(query.statement.id)
        self.open[query] = query.statement.id
        if self.answers_at_once:
            self.answer(query)

    def expedite_query(self, query: Query) -> None:
        self.expedited.append(query.statement.id)

    def abandon_query(self, query: Query) -> None:
        if query in self.open:
            self.abandoned.append(self.open.pop(query))

    def answer(self, target: Client | Query | bytes) -> None:
        """Answer a query, the query with this text, or the first one of a client."""
        query = next(query for query, text in self.open.items() if target in (query, text, query.client))
        query.answered(served(self.open.pop(query), self.answer_bytes))


class Peer:
    """The client's side of a connection on a plain socket, so that it sees what the kernel reports, such as a reset."""

    def __init__(self, address: Any, small: bool = False) -> None:
        self.sock, self.data = socket.socket(), bytearray()
        if small:  # the kernel buffers only a few thousand bytes for this peer
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.sock.connect(address)
        self.sock.setblocking(False)

    def send(self, *parts: bytes) -> None:
        """Send without waiting; on loopback the bytes are in the gateway's socket when this returns."""
        for part in parts:
            assert self.sock.send(part) == len(part), "the kernel's send buffer is full"

    async def message(self) -> pg.Message | None:
        """The next message, None at the end. Raises `ConnectionError` on a reset, `EOFError` on a truncated message."""
        while len(self.data) < 5 or len(self.data) < 1 + struct.unpack_from("!i", self.data, 1)[0]:
            async with asyncio.timeout(TIMEOUT_S):
                received = await asyncio.get_running_loop().sock_recv(self.sock, 1 << 16)
            self.data += received
            if not received and self.data:
                raise EOFError("the connection ended within a message")
            if not received:
                return None
        (size,) = struct.unpack_from("!i", self.data, 1)
        message = pg.Message(bytes(self.data[:1]), bytes(self.data[5 : 1 + size]))
        del self.data[: 1 + size]
        return message

    async def answer(self) -> str | None:
        """The next answer: its content, or the error's code; None at the end of the connection."""
        parts: list[str] = []
        while (message := await self.message()) is not None:
            if message.kind == b"D":
                parts.append(str((pg.row(message)[0] or b"").decode()).rstrip("."))
            elif message.kind == b"E":
                fields = pg.fields(message)
                parts.append(fields["C"])
                if fields["S"] == "FATAL":
                    break
            elif message.kind == b"Z":
                break
        else:
            assert not parts, "the connection ended within an answer"
            return None
        return parts[0] if parts else ""

    async def answers(self) -> list[str]:
        """All answers up to an orderly end of the connection."""
        received: list[str] = []
        while (answer := await self.answer()) is not None:
            received.append(answer)
        return received

    def reset(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class ListenerWorld:
    """A listener with its connections, its handler and its peers."""

    def __init__(self, max_descriptors: int, small: bool) -> None:
        self.handler = ScriptedHandler()
        self.faults: list[Any] = []
        self.tasks: set[asyncio.Future[None]] = set()
        self.peers: list[Peer] = []
        self.small = small
        sock = socket.socket()
        if small:  # the kernel buffers only a few thousand bytes of an answer
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.bind(("127.0.0.1", 0))
        sock.listen(512)
        sock.setblocking(False)
        self.held = HeldBytes(None)
        self.clients = Clients(
            sock, max_descriptors, self.handler, TurnClock(), self._track_task, lambda text: None, self.held
        )
        self.address = sock.getsockname()
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: self.faults.append(context))

    def _track_task(self, task: "asyncio.Future[None]") -> None:
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Future[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self.faults.append(fault)

    def connect(self, *parts: bytes) -> Peer:
        """Open a connection that waits in the listener's queue and send its first bytes, before the gateway runs."""
        self.peers.append(Peer(self.address, self.small))
        self.peers[-1].send(*parts)
        return self.peers[-1]

    async def start_client(self) -> tuple[Peer, Client]:
        """A connection after its startup: the peer, and the gateway's side of it."""
        before = set(self.clients.active)
        peer = self.connect(STARTUP)
        assert await peer.answer() == ""
        (client,) = set(self.clients.active) - before
        await self.until(lambda: client.idle_since_us() is not None)
        return peer, client

    async def until(self, condition: Callable[[], bool], sweeps: bool = False) -> None:
        """Wait until a condition is true; with `sweeps`, call the listener's sweep meanwhile."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                if sweeps:
                    self.clients.sweep()
                await asyncio.sleep(0.002)

    async def disconnect(self, peer: Peer, client: Client) -> None:
        """Close the peer's side, and wait for the gateway to close its own."""
        peer.sock.close()
        await self.until(lambda: client.closed)

    async def until_submitted(self, count: int) -> None:
        """Wait until `count` queries were submitted."""
        await self.until(lambda: len(self.handler.submitted) >= count)

    async def sweep_periodically(self) -> None:
        """Sweep at short intervals, as the gateway does."""
        while True:
            (self.clients.stop if self.clients.stopping else self.clients.sweep)()
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def listener_world(
    max_descriptors: int = 64, small: bool = False, sweeping: bool = False
) -> AsyncIterator[ListenerWorld]:
    """A listener with at most `max_descriptors`; no task may have failed at its end. `small`: small kernel buffers."""
    world = ListenerWorld(max_descriptors, small)
    world.clients.listen()
    sweeps = asyncio.ensure_future(world.sweep_periodically()) if sweeping else None
    try:
        yield world
    finally:
        if sweeps is not None:
            sweeps.cancel()
        for peer in world.peers:
            peer.sock.close()
        world.clients.stop()
        for client in list(world.clients.active):
            client.close()
        await world.until(lambda: not world.tasks)
        asyncio.get_running_loop().set_exception_handler(None)
    assert not world.faults, world.faults
