"""Races between two peers of the RESP gateway, each one forced by scripted peers, in both orders."""

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
UNREAD_INPUT = resp.command("PING") * 10_000  # more than the gateway takes in one read


class Box:
    """A scripted primary that does the handshake, and answers, only while the test allows it."""

    def __init__(self, run_id: str) -> None:
        self.run_id = run_id
        self.may_greet, self.may_answer = asyncio.Event(), asyncio.Event()
        self.may_greet.set()
        self.may_answer.set()
        self.commands: list[str] = []
        self.waiting_count = 0  # connections that wait for the handshake
        self.open: list[asyncio.StreamWriter] = []
        self.last_writer: asyncio.StreamWriter | None = None  # the connection of the newest command

    async def __aenter__(self) -> "Box":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.may_greet.set()
        self.may_answer.set()
        self._server.close()
        for writer in self.open:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.append(writer)
        with contextlib.suppress(ConnectionError, resp.ProtocolError):
            if not self.may_greet.is_set():
                self.waiting_count += 1
                await self.may_greet.wait()
                self.waiting_count -= 1
            await self._answer_commands(reader, writer)
        self.open.remove(writer)
        writer.close()

    async def _answer_commands(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        commands, is_queueing = resp.CommandReader(), False
        info = f"run_id:{self.run_id} uptime_in_seconds:999 role:master master_replid:h master_repl_offset:5 "
        while data := await reader.read(65_536):
            commands.feed(data)
            while (args := commands.take()) is not None:
                name = args[0].decode()
                if name == "INFO":
                    writer.write(resp.bulk(info.replace(" ", "\r\n").encode()))
                    continue
                self.commands.append(name)
                self.last_writer = writer
                await self.may_answer.wait()
                is_queueing = name != "EXEC" and (is_queueing or name == "MULTI")
                answer = b"+QUEUED" if is_queueing and name != "MULTI" else b"*1\r\n+OK" if name == "EXEC" else b"+OK"
                writer.write(answer + b"\r\n")


class World:
    """A gateway in front of a scripted box, and its clients."""

    def __init__(self, gateway: Gateway, box: Box, port: int) -> None:
        self.gateway, self.box, self.port = gateway, box, port
        self.wires: list[Wire] = []
        self.clients: list[socket.socket] = []

    @property
    def link(self) -> Link:
        return self.gateway._links["p"]

    def apply_roster(self, **changes: object) -> None:
        self.gateway.apply_roster(
            tuple(msgspec.structs.replace(box, **changes) for box in boxes_of(self.gateway.settings))
        )

    def connect(self, *commands: bytes) -> socket.socket:
        """Open a connection and send commands, so that both wait in the kernel before the event loop runs again."""
        client = socket.create_connection(("127.0.0.1", self.port))
        client.sendall(b"".join(commands))
        client.setblocking(False)
        self.clients.append(client)
        return client

    async def wire(self, *words: str) -> Wire:
        """Open a client that waits for its answers. If `words` are given, it sends them first and expects OK."""
        self.wires.append(await Wire.open(self.port))
        assert not words or await self.wires[-1].ask(*words) == OK
        return self.wires[-1]

    async def assert_served(self, *commands: str) -> None:
        """Check that another client's GET is served and that the box has received exactly these commands."""
        await self.wire("GET", "k")
        assert self.box.commands == list(commands)

    async def close_and_wait(self, client: socket.socket) -> None:
        client.close()
        await until(lambda: not self.gateway._clients)

    async def wait_until_all_ended(self) -> None:
        await until(lambda: not self.gateway._clients and not self.gateway._ending and not self.gateway._tasks)


async def until(condition: Callable[[], object]) -> None:
    """Wait for a condition, checked in each turn of the event loop."""
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0)


async def read_lines(client: socket.socket, count: float = math.inf) -> bytes:
    """Read `count` lines, or all until the peer closes in order. Raises `ConnectionResetError` after a reset."""
    received = b""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(PATIENCE_S):
        while received.count(b"\r\n") < count and (data := await loop.sock_recv(client, 1 << 20)):
            received += data
    return received


@contextlib.asynccontextmanager
async def open_world(more: str = "{}", **links: int) -> AsyncIterator[World]:
    async with Box("one") as box:
        settings = load_text(
            f"{{ listen: ['127.0.0.1:0'], logs: {{ level: 'error' }}, classes: [],"
            f" banks: [{{ name: 'b', slots: [[0, 16383]], members: [{{ name: 'p', address: '{box.address}' }}] }}] }}"
            f" + {more}",
            "test",
        )
        gateway, port = start_gateway(settings, **links)
        opened = World(gateway, box, port)
        try:
            await until(lambda: not gateway.engine.without_primary)
            yield opened
        finally:
            for client in opened.clients:
                client.close()
            await gateway.stop()


# ---- The end of a client's connection ----


@pytest.mark.parametrize("last", [resp.command("QUIT"), b"*1\r\n:5\r\n"], ids=["quit", "protocol error"])
@scene(open_world)
async def test_a_last_answer_is_not_reset_by_what_its_client_sends_meanwhile(world: World, last: bytes) -> None:
    client = world.connect(resp.command("PING") + last + UNREAD_INPUT)
    received = await read_lines(client)
    assert received.startswith(b"+PONG\r\n") and received.count(b"\r\n") == 2
    client.close()
    await world.wait_until_all_ended()


@scene(open_world)
async def test_a_client_that_leaves_before_its_last_answer_leaves_nothing_behind(world: World) -> None:
    for _ in range(20):
        world.connect(resp.command("QUIT") + UNREAD_INPUT).close()
    await until(lambda: world.gateway._last_client == 20)
    await world.wait_until_all_ended()


@scene(open_world, "{ limits+: { clients: 1 } }")
async def test_a_client_above_the_limit_reads_its_refusal_although_it_has_sent_commands(world: World) -> None:
    wire = await world.wire()
    assert await wire.ask("PING") == PONG
    assert (await read_lines(world.connect(resp.command("PING")))).startswith(b"-ERR max number of clients")
    assert await wire.ask("PING") == PONG
    # A connection that has had its last answer does not count towards the limit of clients.
    for _ in range(3):
        world.connect()
    await until(lambda: len(world.gateway._ending) == 4)
    wire.writer.close()
    await until(lambda: not world.gateway._clients)
    assert await (await world.wire()).ask("PING") == PONG


@scene(open_world)
async def test_clients_in_the_listen_queue_are_answered_at_an_orderly_end(world: World) -> None:
    clients = [world.connect(resp.command("PING") + resp.command("GET", "k")) for _ in range(3)]
    stopping = asyncio.ensure_future(world.gateway.stop())
    for client in clients:
        received = await read_lines(client)
        assert received.startswith(b"+PONG\r\n-TRYAGAIN "), received
        client.close()
    await stopping
    with pytest.raises(ConnectionRefusedError):
        world.connect()


@scene(open_world)
async def test_an_orderly_end_loses_no_answer_that_is_not_handed_over_yet(world: World) -> None:
    client = world.connect()
    text = "x" * 100_000
    await asyncio.get_running_loop().sock_sendall(client, resp.command("ECHO", text) * 60)
    await until(lambda: world.gateway._clients and next(iter(world.gateway._clients.values())).unsent_bytes > 1_000_000)
    stopping = asyncio.ensure_future(world.gateway.stop())
    await until(lambda: world.gateway.is_stopping)
    assert (await read_lines(client)).count(resp.bulk(text.encode())) == 60
    client.close()
    await stopping


@scene(open_world, "{ drain_ms: 100 }")
async def test_an_orderly_end_waits_for_clients_no_longer_than_drain_ms(world: World) -> None:
    world.box.may_answer.clear()
    unanswered, idle = world.connect(resp.command("SET", "k", 1)), world.connect()
    await until(lambda: world.box.commands == ["SET"])
    began = asyncio.get_running_loop().time()
    await world.gateway.stop()
    assert asyncio.get_running_loop().time() - began < 3.5
    for client in (unanswered, idle):
        assert await read_lines(client) == b""
        client.close()


@scene(open_world)
async def test_only_commands_that_were_read_are_carried_out_for_a_client_that_has_left(world: World) -> None:
    world.box.may_answer.clear()
    client = world.connect(b"".join(resp.command("SET", f"k{number}", 1) for number in range(500)))
    await until(lambda: world.gateway._clients and next(iter(world.gateway._clients.values())).unanswered == 64)
    await until(lambda: world.box.commands)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()  # a reset
    world.box.may_answer.set()
    await until(lambda: not world.gateway._clients)
    await world.wire("GET", "k")
    assert len(world.box.commands) <= 64 + 1  # commands behind the full pipeline were not begun


# ---- A request is committed by its write ----


CommandWords = tuple[str | int, ...]
SHARED_AND_LEASED = pytest.mark.parametrize("words", [("SET", "k", 1), ("WATCH", "k")], ids=["shared", "leased"])


async def send_waiting_command(world: World, *words: str | int) -> socket.socket:
    """Send a command that waits for a connection, because the box does not do the handshake yet."""
    world.box.may_greet.clear()
    client = world.connect(resp.command(*words))
    await until(lambda: world.box.waiting_count == 1)
    return client


@SHARED_AND_LEASED
@scene(open_world)
async def test_a_command_whose_client_left_before_its_connection_came_up_is_not_written(
    world: World, words: CommandWords
) -> None:
    ended = record_inputs(world.gateway, m.Ended)
    await world.close_and_wait(await send_waiting_command(world, *words))
    assert [event.how for event in ended] == ["withdrawn"]  # ended at once, and not counted as a failure of the box
    world.box.may_greet.set()
    await world.assert_served("GET")


@scene(open_world)
async def test_a_command_that_was_written_before_its_client_left_is_done_once(world: World) -> None:
    world.box.may_answer.clear()
    client = await send_waiting_command(world, "SET", "k", 1)
    world.box.may_greet.set()
    await until(lambda: world.box.commands)
    await world.close_and_wait(client)
    world.box.may_answer.set()
    await world.assert_served("SET", "GET")


@scene(open_world)
async def test_a_command_that_waits_as_its_box_begins_to_drain_is_not_written_there(world: World) -> None:
    client = await send_waiting_command(world, "SET", "k", 1)
    world.apply_roster(state="terminating")
    world.box.may_greet.set()
    await until(lambda: world.link._pools[2].open)
    await world.close_and_wait(client)
    world.apply_roster()
    await world.assert_served("GET")


@scene(open_world)
async def test_a_command_that_waits_as_its_box_leaves_the_roster_ends_at_once(world: World) -> None:
    await send_waiting_command(world, "SET", "k", 1)
    link = world.link
    world.gateway.apply_roster(())
    assert not link._pools[2].waiting and not world.gateway._links
    world.box.may_greet.set()
    assert not world.box.commands


@SHARED_AND_LEASED
@scene(open_world)
async def test_a_command_that_waits_as_its_box_moves_is_done_at_the_new_address(
    world: World, words: CommandWords
) -> None:
    async with Box("two") as moved:
        client = await send_waiting_command(world, *words)
        world.apply_roster(address=moved.address)
        assert await read_lines(client, 1) == b"+OK\r\n"
        world.box.may_greet.set()
        assert not world.box.commands and moved.commands in (["SET"], [])


@scene(open_world)
async def test_a_command_in_flight_as_its_box_moves_is_sent_again_to_the_new_address(world: World) -> None:
    async with Box("two") as moved:
        world.box.may_answer.clear()
        first = await world.wire()
        answer = asyncio.ensure_future(first.ask("GET", "k"))
        await until(lambda: world.box.commands == ["GET"])
        world.apply_roster(address=moved.address)
        assert await answer == OK and moved.commands == ["GET"]


@scene(open_world, connections=1, pipeline=1)
async def test_a_command_that_waits_behind_the_last_connection_is_done_after_that_closes(world: World) -> None:
    world.box.may_answer.clear()
    _, second = world.connect(resp.command("SET", "a", 1)), await world.wire()
    await until(lambda: world.box.commands == ["SET"])
    answer = asyncio.ensure_future(second.ask("GET", "b"))
    await until(lambda: world.link._pools[2].waiting)
    assert world.box.last_writer is not None
    world.box.last_writer.transport.abort()
    world.box.may_answer.set()
    assert await answer == OK


# ---- Leases ----


async def run_transaction(wire: Wire) -> resp.Value:
    """Run a transaction of one SET; returns the answer to EXEC."""
    assert await wire.ask("MULTI") == OK
    assert await wire.ask("SET", "k", 1) == resp.Simple(b"QUEUED")
    return await wire.ask("EXEC")


@scene(open_world)
async def test_exec_is_not_sent_where_nothing_is_watched_any_more(world: World) -> None:
    """The client's own connection closes while it has no pending request, so no answer reports the loss."""
    wire = await world.wire("WATCH", "k")
    assert world.box.last_writer is not None
    world.box.last_writer.close()
    await until(lambda: not world.link._leases)
    assert isinstance(await run_transaction(wire), resp.Null)
    assert world.box.commands == ["WATCH"]
    # A new WATCH opens a new connection, and its transaction runs.
    assert await wire.ask("WATCH", "k") == OK
    assert isinstance(await run_transaction(wire), resp.Array | list)


@scene(open_world)
async def test_exec_is_not_sent_to_another_box_of_the_same_name(world: World) -> None:
    async with Box("two") as moved:
        wire = await world.wire("WATCH", "k")
        world.apply_roster(address=moved.address)
        await world.wire("GET", "k")
        assert isinstance(await run_transaction(wire), resp.Null)
        assert world.box.commands == ["WATCH"] and moved.commands == ["GET"]


@scene(open_world)
async def test_no_request_of_a_lease_is_written_behind_one_that_may_not_be(world: World) -> None:
    client = await send_waiting_command(world, "WATCH", "a")
    waiting = world.link._leases.waiting
    rest = resp.command("MULTI") + resp.command("SET", "b", 1) + resp.command("EXEC")
    await asyncio.get_running_loop().sock_sendall(client, rest)
    await until(lambda: [len(sends) for sends in waiting.values()] == [2])
    watch = next(iter(waiting.values()))[0].request
    may_write = world.gateway.may_write
    world.gateway.may_write = lambda send: send.request != watch and may_write(send)  # type: ignore[method-assign]
    world.box.may_greet.set()
    assert await read_lines(client, 4) == b"+OK\r\n+OK\r\n+QUEUED\r\n*-1\r\n" and not world.box.commands


@scene(open_world, reply_timeout_ms=60_000)
async def test_a_clients_own_connection_closes_once_its_requests_have_ended(world: World) -> None:
    world.box.may_answer.clear()
    client = world.connect(resp.command("WATCH", "k"))
    await until(lambda: world.box.commands == ["WATCH"])
    own_writer = world.box.last_writer
    await world.close_and_wait(client)
    assert own_writer in world.box.open
    world.box.may_answer.set()
    await until(lambda: own_writer not in world.box.open)
