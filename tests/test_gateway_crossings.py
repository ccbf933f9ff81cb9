"""What two peers of the RESP gateway do in the same instant, each crossing forced by scripted peers, in both orders."""

import asyncio
import contextlib
import math
import socket
import struct
from collections.abc import AsyncIterator, Callable

import msgspec
import pytest

from oatlink.core import messages as m
from oatlink.gateway.links import Link
from oatlink.gateway.listeners import boxes_of
from oatlink.gateway.server import Gateway
from oatlink.protocols import resp
from oatlink.settings import load_text
from tests.gateways import Wire, record_inputs, start_gateway
from tests.scenes import scene

PATIENCE_S = 20.0
OK, PONG = resp.Simple(b"OK"), resp.Simple(b"PONG")
JUNK = resp.command("PING") * 10_000  # more than one read takes


class Box:
    """A scripted primary: it greets when it is told to, and answers when it is told to."""

    def __init__(self, run: str) -> None:
        self.run = run
        self.greets, self.answers = asyncio.Event(), asyncio.Event()
        self.greets.set()
        self.answers.set()
        self.commands: list[str] = []
        self.held = 0  # connections that wait for their greeting
        self.open: list[asyncio.StreamWriter] = []
        self.last: asyncio.StreamWriter | None = None  # the connection of the newest command

    async def __aenter__(self) -> "Box":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.greets.set()
        self.answers.set()
        self._server.close()
        for one in self.open:
            one.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.append(writer)
        with contextlib.suppress(ConnectionError, resp.ProtocolError):
            if not self.greets.is_set():
                self.held += 1
                await self.greets.wait()
                self.held -= 1
            await self._talk(reader, writer)
        self.open.remove(writer)
        writer.close()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        commands, queued = resp.CommandReader(), False
        info = f"run_id:{self.run} uptime_in_seconds:999 role:master master_replid:h master_repl_offset:5 "
        while data := await reader.read(65_536):
            commands.feed(data)
            while (args := commands.take()) is not None:
                name = args[0].decode()
                if name == "INFO":
                    writer.write(resp.bulk(info.replace(" ", "\r\n").encode()))
                    continue
                self.commands.append(name)
                self.last = writer
                await self.answers.wait()
                queued = name != "EXEC" and (queued or name == "MULTI")
                said = b"+QUEUED" if queued and name != "MULTI" else b"*1\r\n+OK" if name == "EXEC" else b"+OK"
                writer.write(said + b"\r\n")


class World:
    """A gateway before a scripted box."""

    def __init__(self, gateway: Gateway, box: Box, port: int) -> None:
        self.gateway, self.box, self.port = gateway, box, port
        self.wires: list[Wire] = []
        self.clients: list[socket.socket] = []

    @property
    def link(self) -> Link:
        return self.gateway._links["p"]

    def list(self, **changes: object) -> None:
        self.gateway.list(tuple(msgspec.structs.replace(one, **changes) for one in boxes_of(self.gateway.settings)))

    def connect(self, *commands: bytes) -> socket.socket:
        """A connection that has sent something already, in the kernel's queue: no turn of the loop in between."""
        one = socket.create_connection(("127.0.0.1", self.port))
        one.sendall(b"".join(commands))
        one.setblocking(False)
        self.clients.append(one)
        return one

    async def wire(self, *words: str) -> Wire:
        """A client that waits for its answers; it has asked this, and the answer was OK."""
        self.wires.append(await Wire.open(self.port))
        assert not words or await self.wires[-1].ask(*words) == OK
        return self.wires[-1]

    async def serves(self, *commands: str) -> None:
        """Another client is served, and these are all commands that the box ever got."""
        await self.wire("GET", "k")
        assert self.box.commands == list(commands)

    async def sees_leave(self, client: socket.socket) -> None:
        client.close()
        await until(lambda: not self.gateway._clients)

    async def has_gone(self) -> None:
        await until(lambda: not self.gateway._clients and not self.gateway._ending and not self.gateway._tasks)


async def until(state: Callable[[], object]) -> None:
    """Wait for a state, looked at in each turn of the loop."""
    async with asyncio.timeout(PATIENCE_S):
        while not state():
            await asyncio.sleep(0)


async def read(one: socket.socket, lines: float = math.inf) -> bytes:
    """So many lines, or all until the peer's orderly end. Raises `ConnectionResetError` where it was a reset."""
    got = b""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(PATIENCE_S):
        while got.count(b"\r\n") < lines and (data := await loop.sock_recv(one, 1 << 20)):
            got += data
    return got


@contextlib.asynccontextmanager
async def world(more: str = "{}", **links: int) -> AsyncIterator[World]:
    async with Box("one") as box:
        settings = load_text(
            f"{{ listen: ['127.0.0.1:0'], logs: {{ level: 'error' }}, classes: [],"
            f" banks: [{{ name: 'b', slots: [[0, 16383]], members: [{{ name: 'p', address: '{box.address}' }}] }}] }}"
            f" + {more}",
            "test",
        )
        gateway, port = start_gateway(settings, **links)
        one = World(gateway, box, port)
        try:
            await until(lambda: not gateway.engine.without_primary)
            yield one
        finally:
            for client in one.clients:
                client.close()
            await gateway.stop()


# ---- The end of a client's connection ----


@pytest.mark.parametrize("last", [resp.command("QUIT"), b"*1\r\n:5\r\n"], ids=["quit", "protocol error"])
@scene(world)
async def test_a_last_answer_is_not_reset_by_what_its_client_sends_meanwhile(one: World, last: bytes) -> None:
    client = one.connect(resp.command("PING") + last + JUNK)
    got = await read(client)
    assert got.startswith(b"+PONG\r\n") and got.count(b"\r\n") == 2
    client.close()
    await one.has_gone()


@scene(world)
async def test_a_client_that_leaves_before_its_last_answer_leaves_nothing_behind(one: World) -> None:
    for _ in range(20):
        one.connect(resp.command("QUIT") + JUNK).close()
    await until(lambda: one.gateway._last_client == 20)
    await one.has_gone()


@scene(world, "{ limits+: { clients: 1 } }")
async def test_one_client_too_many_reads_its_refusal_over_what_it_has_sent(one: World) -> None:
    wire = await one.wire()
    assert await wire.ask("PING") == PONG
    assert (await read(one.connect(resp.command("PING")))).startswith(b"-ERR max number of clients")
    assert await wire.ask("PING") == PONG
    # A connection that has had its last answer takes no place.
    for _ in range(3):
        one.connect()
    await until(lambda: len(one.gateway._ending) == 4)
    wire.writer.close()
    await until(lambda: not one.gateway._clients)
    assert await (await one.wire()).ask("PING") == PONG


@scene(world)
async def test_what_waits_in_the_listen_queue_at_an_orderly_end_is_answered(one: World) -> None:
    clients = [one.connect(resp.command("PING") + resp.command("GET", "k")) for _ in range(3)]
    ending = asyncio.ensure_future(one.gateway.stop())
    for client in clients:
        got = await read(client)
        assert got.startswith(b"+PONG\r\n-TRYAGAIN "), got
        client.close()
    await ending
    with pytest.raises(ConnectionRefusedError):
        one.connect()


@scene(world)
async def test_an_orderly_end_takes_no_answer_that_is_not_handed_over_yet(one: World) -> None:
    client = one.connect()
    text = "x" * 100_000
    await asyncio.get_running_loop().sock_sendall(client, resp.command("ECHO", text) * 60)
    await until(lambda: one.gateway._clients and next(iter(one.gateway._clients.values())).unsent > 1_000_000)
    ending = asyncio.ensure_future(one.gateway.stop())
    await until(lambda: one.gateway.stopping)
    assert (await read(client)).count(resp.bulk(text.encode())) == 60
    client.close()
    await ending


@scene(world, "{ drain_ms: 100 }")
async def test_an_orderly_end_waits_for_no_client_longer_than_its_time(one: World) -> None:
    one.box.answers.clear()
    owed, idle = one.connect(resp.command("SET", "k", 1)), one.connect()
    await until(lambda: one.box.commands == ["SET"])
    began = asyncio.get_running_loop().time()
    await one.gateway.stop()
    assert asyncio.get_running_loop().time() - began < 3.5
    for client in (owed, idle):
        assert await read(client) == b""
        client.close()


@scene(world)
async def test_of_a_client_that_has_gone_only_what_was_taken_is_done(one: World) -> None:
    one.box.answers.clear()
    client = one.connect(b"".join(resp.command("SET", f"k{number}", 1) for number in range(500)))
    await until(lambda: one.gateway._clients and next(iter(one.gateway._clients.values())).unanswered == 64)
    await until(lambda: one.box.commands)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()  # a reset
    one.box.answers.set()
    await until(lambda: not one.gateway._clients)
    await one.wire("GET", "k")
    assert len(one.box.commands) <= 64 + 1  # what was held is not even begun


# ---- The write is the commitment ----


Words = tuple[str | int, ...]
SHARED_AND_LEASED = pytest.mark.parametrize("words", [("SET", "k", 1), ("WATCH", "k")], ids=["shared", "leased"])


async def waits(one: World, *words: str | int) -> socket.socket:
    """A client whose command waits for a connection, the box not greeting yet."""
    one.box.greets.clear()
    client = one.connect(resp.command(*words))
    await until(lambda: one.box.held == 1)
    return client


@SHARED_AND_LEASED
@scene(world)
async def test_a_command_whose_client_left_before_its_connection_came_up_is_not_written(
    one: World, words: Words
) -> None:
    ends = record_inputs(one.gateway, m.Ended)
    await one.sees_leave(await waits(one, *words))
    assert [each.how for each in ends] == ["withdrawn"]  # at once, and the box is not blamed for it
    one.box.greets.set()
    await one.serves("GET")


@scene(world)
async def test_a_command_that_was_written_before_its_client_left_is_done_once(one: World) -> None:
    one.box.answers.clear()
    client = await waits(one, "SET", "k", 1)
    one.box.greets.set()
    await until(lambda: one.box.commands)
    await one.sees_leave(client)
    one.box.answers.set()
    await one.serves("SET", "GET")


@scene(world)
async def test_a_command_that_waits_as_its_box_begins_to_drain_is_not_written_there(one: World) -> None:
    client = await waits(one, "SET", "k", 1)
    one.list(state="terminating")
    one.box.greets.set()
    await until(lambda: one.link._pools[2].open)
    await one.sees_leave(client)
    one.list()
    await one.serves("GET")


@scene(world)
async def test_a_command_that_waits_as_its_box_leaves_the_list_is_told_at_once(one: World) -> None:
    await waits(one, "SET", "k", 1)
    link = one.link
    one.gateway.list(())
    assert not link._pools[2].waiting and not one.gateway._links
    one.box.greets.set()
    assert not one.box.commands


@SHARED_AND_LEASED
@scene(world)
async def test_a_command_that_waits_as_its_box_moves_is_done_at_the_new_address(one: World, words: Words) -> None:
    async with Box("two") as moved:
        client = await waits(one, *words)
        one.list(address=moved.address)
        assert await read(client, 1) == b"+OK\r\n"
        one.box.greets.set()
        assert not one.box.commands and moved.commands in (["SET"], [])


@scene(world)
async def test_a_command_on_its_way_as_its_box_moves_is_told_and_the_next_goes_to_the_new_address(one: World) -> None:
    async with Box("two") as moved:
        one.box.answers.clear()
        first = await one.wire()
        asked = asyncio.ensure_future(first.ask("GET", "k"))
        await until(lambda: one.box.commands == ["GET"])
        one.list(address=moved.address)
        assert await asked == OK and moved.commands == ["GET"]


@scene(world, connections=1, pipeline=1)
async def test_what_waits_behind_the_last_connection_is_done_once_that_has_gone(one: World) -> None:
    one.box.answers.clear()
    _, second = one.connect(resp.command("SET", "a", 1)), await one.wire()
    await until(lambda: one.box.commands == ["SET"])
    asked = asyncio.ensure_future(second.ask("GET", "b"))
    await until(lambda: one.link._pools[2].waiting)
    assert one.box.last is not None
    one.box.last.transport.abort()
    one.box.answers.set()
    assert await asked == OK


# ---- Leases ----


async def transaction(wire: Wire) -> resp.Value:
    """What EXEC is answered."""
    assert await wire.ask("MULTI") == OK
    assert await wire.ask("SET", "k", 1) == resp.Simple(b"QUEUED")
    return await wire.ask("EXEC")


@scene(world)
async def test_exec_is_not_sent_where_nothing_is_watched_any_more(one: World) -> None:
    """The client's own connection ends while nothing is on it: nobody is told by an answer."""
    wire = await one.wire("WATCH", "k")
    assert one.box.last is not None
    one.box.last.close()
    await until(lambda: not one.link._leases)
    assert isinstance(await transaction(wire), resp.Null)
    assert one.box.commands == ["WATCH"]
    # A transaction of its own goes on.
    assert await wire.ask("WATCH", "k") == OK
    assert isinstance(await transaction(wire), resp.Array | list)


@scene(world)
async def test_exec_is_not_sent_to_another_box_of_the_same_name(one: World) -> None:
    async with Box("two") as moved:
        wire = await one.wire("WATCH", "k")
        one.list(address=moved.address)
        await one.wire("GET", "k")
        assert isinstance(await transaction(wire), resp.Null)
        assert one.box.commands == ["WATCH"] and moved.commands == ["GET"]


@scene(world)
async def test_of_a_lease_nothing_is_written_behind_what_may_not_be(one: World) -> None:
    client = await waits(one, "WATCH", "a")
    wait = one.link._leases.waiting
    rest = resp.command("MULTI") + resp.command("SET", "b", 1) + resp.command("EXEC")
    await asyncio.get_running_loop().sock_sendall(client, rest)
    await until(lambda: [len(sends) for sends in wait.values()] == [2])
    watch = next(iter(wait.values()))[0].request
    may_write = one.gateway.may_write
    one.gateway.may_write = lambda send: send.request != watch and may_write(send)  # type: ignore[method-assign]
    one.box.greets.set()
    assert await read(client, 4) == b"+OK\r\n+OK\r\n+QUEUED\r\n*-1\r\n" and not one.box.commands


@scene(world, reply_timeout_ms=60_000)
async def test_a_clients_own_connection_ends_once_what_is_on_it_has_ended(one: World) -> None:
    one.box.answers.clear()
    client = one.connect(resp.command("WATCH", "k"))
    await until(lambda: one.box.commands == ["WATCH"])
    own = one.box.last
    await one.sees_leave(client)
    assert own in one.box.open
    one.box.answers.set()
    await until(lambda: own not in one.box.open)
