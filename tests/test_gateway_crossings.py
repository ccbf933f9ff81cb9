"""What two peers of the RESP gateway do in the same instant, each crossing forced by scripted peers, in both orders."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine

import msgspec
import pytest

from oatlink.core import messages as m
from oatlink.gateway.links import Link
from oatlink.gateway.listeners import boxes_of, listen
from oatlink.gateway.server import Gateway
from oatlink.protocols import resp
from oatlink.settings import load_text
from tests.test_standins import Wire

PATIENCE_S = 20.0
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
        info = (
            f"run_id:{self.run}\r\nuptime_in_seconds:999\r\nrole:master\r\n"
            "master_replid:h\r\nmaster_repl_offset:5\r\n"
        )
        while data := await reader.read(65_536):
            commands.feed(data)
            while (args := commands.take()) is not None:
                name = args[0].decode()
                if name == "INFO":
                    writer.write(resp.bulk(info.encode()))
                    continue
                self.commands.append(name)
                self.last = writer
                await self.answers.wait()
                queued = name != "EXEC" and (queued or name == "MULTI")
                writer.write(
                    b"*1\r\n+OK\r\n" if name == "EXEC" else b"+QUEUED\r\n" if queued and name != "MULTI" else b"+OK\r\n"
                )


class World:
    """A gateway before scripted boxes."""

    def __init__(self, gateway: Gateway, boxes: dict[str, Box], port: int) -> None:
        self.gateway, self.boxes, self.port = gateway, boxes, port

    @property
    def box(self) -> Box:
        return next(iter(self.boxes.values()))

    @property
    def link(self) -> Link:
        return self.gateway._links["p"]

    def list(self, **changes: object) -> None:
        self.gateway.list(tuple(msgspec.structs.replace(one, **changes) for one in boxes_of(self.gateway.settings)))

    def connect(self, *commands: bytes) -> socket.socket:
        """A connection that has sent something already, in the kernel's queue: no turn of the loop in between."""
        one = socket.create_connection(("127.0.0.1", self.port))
        for each in commands:
            one.sendall(each)
        one.setblocking(False)
        return one

    async def has_gone(self) -> None:
        await until(lambda: not self.gateway._clients and not self.gateway._ending and not self.gateway._tasks)


async def until(state: Callable[[], object]) -> None:
    """Wait for a state, looked at in each turn of the loop."""
    async with asyncio.timeout(PATIENCE_S):
        while not state():
            await asyncio.sleep(0)


async def read_to_end(one: socket.socket) -> bytes:
    """All that comes until the peer's orderly end. Raises `ConnectionResetError` where it was a reset."""
    got = b""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(PATIENCE_S):
        while data := await loop.sock_recv(one, 1 << 20):
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
        settings = msgspec.structs.replace(settings, links=msgspec.structs.replace(settings.links, **links))
        sockets = listen("127.0.0.1:0")
        gateway = Gateway(settings)
        gateway.start(sockets)
        try:
            await until(lambda: not gateway.engine.without_primary)
            yield World(gateway, {"p": box}, sockets[0].getsockname()[1])
        finally:
            await gateway.stop()


def play(scene: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(scene, 60))


# ---- The end of a client's connection ----


@pytest.mark.parametrize("last", [resp.command("QUIT"), b"*1\r\n:5\r\n"], ids=["quit", "protocol error"])
def test_a_last_answer_is_not_reset_by_what_its_client_sends_meanwhile(last: bytes) -> None:
    async def scene() -> None:
        async with world() as one:
            client = one.connect(resp.command("PING") + last + JUNK)
            got = await read_to_end(client)
            assert got.startswith(b"+PONG\r\n") and got.count(b"\r\n") == 2
            client.close()
            await one.has_gone()

    play(scene())


def test_a_client_that_leaves_before_its_last_answer_leaves_nothing_behind() -> None:
    async def scene() -> None:
        async with world() as one:
            for _ in range(20):
                one.connect(resp.command("QUIT") + JUNK).close()
            await until(lambda: one.gateway._last_client == 20)
            await one.has_gone()

    play(scene())


def test_one_client_too_many_reads_its_refusal_over_what_it_has_sent() -> None:
    async def scene() -> None:
        async with world("{ limits+: { clients: 1 } }") as one:
            wire = await Wire.open(one.port)
            assert await wire.ask("PING") == resp.Simple(b"PONG")
            over = one.connect(resp.command("PING"))
            assert (await read_to_end(over)).startswith(b"-ERR max number of clients")
            assert await wire.ask("PING") == resp.Simple(b"PONG")
            # A connection that has had its last answer takes no place.
            lingers = [one.connect() for _ in range(3)]
            await until(lambda: len(one.gateway._ending) == 4)
            wire.writer.close()
            await until(lambda: not one.gateway._clients)
            wire = await Wire.open(one.port)
            assert await wire.ask("PING") == resp.Simple(b"PONG")
            for each in (over, *lingers):
                each.close()

    play(scene())


def test_what_waits_in_the_listen_queue_at_an_orderly_end_is_answered() -> None:
    async def scene() -> None:
        async with world() as one:
            clients = [one.connect(resp.command("PING") + resp.command("GET", "k")) for _ in range(3)]
            ending = asyncio.ensure_future(one.gateway.stop())
            for client in clients:
                got = await read_to_end(client)
                assert got.startswith(b"+PONG\r\n-TRYAGAIN "), got
                client.close()
            await ending
            with pytest.raises(ConnectionRefusedError):
                one.connect()

    play(scene())


def test_an_orderly_end_takes_no_answer_that_is_not_handed_over_yet() -> None:
    async def scene() -> None:
        async with world() as one:
            client = one.connect()
            loop = asyncio.get_running_loop()
            text = "x" * 100_000
            await loop.sock_sendall(client, resp.command("ECHO", text) * 60)
            await until(lambda: one.gateway._clients and next(iter(one.gateway._clients.values())).unsent > 1_000_000)
            ending = asyncio.ensure_future(one.gateway.stop())
            await until(lambda: one.gateway.stopping)
            got = await read_to_end(client)
            assert got.count(resp.bulk(text.encode())) == 60
            client.close()
            await ending

    play(scene())


def test_an_orderly_end_waits_for_no_client_longer_than_its_time() -> None:
    async def scene() -> None:
        async with world("{ drain_ms: 100 }") as one:
            one.box.answers.clear()
            owed, idle = one.connect(resp.command("SET", "k", 1)), one.connect()
            await until(lambda: one.box.commands == ["SET"])
            began = asyncio.get_running_loop().time()
            await one.gateway.stop()
            assert asyncio.get_running_loop().time() - began < 3.5
            for client in (owed, idle):
                assert await read_to_end(client) == b""
                client.close()

    play(scene())


def test_of_a_client_that_has_gone_only_what_was_taken_is_done() -> None:
    async def scene() -> None:
        async with world() as one:
            one.box.answers.clear()
            client = one.connect(b"".join(resp.command("SET", f"k{number}", 1) for number in range(500)))
            await until(lambda: one.gateway._clients and next(iter(one.gateway._clients.values())).unanswered == 64)
            await until(lambda: one.box.commands)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()  # a reset
            one.box.answers.set()
            await until(lambda: not one.gateway._clients)
            wire = await Wire.open(one.port)
            assert await wire.ask("GET", "k") == resp.Simple(b"OK")
            assert len(one.box.commands) <= 64 + 1  # what was held is not even begun

    play(scene())


# ---- The write is the commitment ----


async def waits(one: World, *words: str | int) -> socket.socket:
    """A client whose command waits for a connection, the box not greeting yet."""
    one.box.greets.clear()
    client = one.connect(resp.command(*words))
    await until(lambda: one.box.held == 1)
    return client


@pytest.mark.parametrize("words", [("SET", "k", 1), ("WATCH", "k")], ids=["shared", "leased"])
def test_a_command_whose_client_left_before_its_connection_came_up_is_not_written(words: tuple[str | int, ...]) -> None:
    async def scene() -> None:
        async with world() as one:
            ends: list[str] = []
            feed = one.gateway.feed

            def watched(given: m.AnyInput) -> None:
                if isinstance(given, m.Ended):
                    ends.append(given.how)
                feed(given)

            one.gateway.feed = watched  # type: ignore[method-assign]
            client = await waits(one, *words)
            client.close()
            await until(lambda: not one.gateway._clients)
            assert ends == ["withdrawn"]  # at once, and the box is not blamed for it
            one.box.greets.set()
            wire = await Wire.open(one.port)
            assert await wire.ask("GET", "k") == resp.Simple(b"OK")
            assert one.box.commands == ["GET"]

    play(scene())


def test_a_command_that_was_written_before_its_client_left_is_done_once() -> None:
    async def scene() -> None:
        async with world() as one:
            one.box.answers.clear()
            client = await waits(one, "SET", "k", 1)
            one.box.greets.set()
            await until(lambda: one.box.commands)
            client.close()
            await until(lambda: not one.gateway._clients)
            one.box.answers.set()
            wire = await Wire.open(one.port)
            assert await wire.ask("GET", "k") == resp.Simple(b"OK")
            assert one.box.commands == ["SET", "GET"]

    play(scene())


def test_a_command_that_waits_as_its_box_begins_to_drain_is_not_written_there() -> None:
    async def scene() -> None:
        async with world() as one:
            client = await waits(one, "SET", "k", 1)
            one.list(state="terminating")
            one.box.greets.set()
            await until(lambda: one.link._pools[2].open)
            client.close()
            await until(lambda: not one.gateway._clients)
            one.list()
            wire = await Wire.open(one.port)
            assert await wire.ask("GET", "k") == resp.Simple(b"OK")
            assert one.box.commands == ["GET"]

    play(scene())


def test_a_command_that_waits_as_its_box_leaves_the_list_is_told_at_once() -> None:
    async def scene() -> None:
        async with world() as one:
            client = await waits(one, "SET", "k", 1)
            link = one.link
            one.gateway.list(())
            assert not link._pools[2].waiting and not one.gateway._links
            one.box.greets.set()
            assert not one.box.commands
            client.close()

    play(scene())


@pytest.mark.parametrize("words", [("SET", "k", 1), ("WATCH", "k")], ids=["shared", "leased"])
def test_a_command_that_waits_as_its_box_moves_is_done_at_the_new_address(words: tuple[str | int, ...]) -> None:
    async def scene() -> None:
        async with world() as one, Box("two") as moved:
            client = await waits(one, *words)
            one.list(address=moved.address)
            got = b""
            while not got.endswith(b"\r\n"):
                got += await asyncio.get_running_loop().sock_recv(client, 1_000)
            assert got == b"+OK\r\n"
            one.box.greets.set()
            assert not one.box.commands and moved.commands in (["SET"], [])
            client.close()

    play(scene())


def test_a_command_on_its_way_as_its_box_moves_is_told_and_the_next_goes_to_the_new_address() -> None:
    async def scene() -> None:
        async with world() as one, Box("two") as moved:
            one.box.answers.clear()
            first = await Wire.open(one.port)
            asked = asyncio.ensure_future(first.ask("GET", "k"))
            await until(lambda: one.box.commands == ["GET"])
            one.list(address=moved.address)
            assert await asked == resp.Simple(b"OK") and moved.commands == ["GET"]

    play(scene())


def test_what_waits_behind_the_last_connection_is_done_once_that_has_gone() -> None:
    async def scene() -> None:
        async with world(connections=1, pipeline=1) as one:
            one.box.answers.clear()
            first, second = one.connect(resp.command("SET", "a", 1)), await Wire.open(one.port)
            await until(lambda: one.box.commands == ["SET"])
            asked = asyncio.ensure_future(second.ask("GET", "b"))
            await until(lambda: one.link._pools[2].waiting)
            assert one.box.last is not None
            one.box.last.transport.abort()
            one.box.answers.set()
            assert await asked == resp.Simple(b"OK")
            first.close()

    play(scene())


# ---- Leases ----


def test_exec_is_not_sent_where_nothing_is_watched_any_more() -> None:
    """The client's own connection ends while nothing is on it: nobody is told by an answer."""

    async def scene() -> None:
        async with world() as one:
            wire = await Wire.open(one.port)
            assert await wire.ask("WATCH", "k") == resp.Simple(b"OK")
            assert one.box.last is not None
            one.box.last.close()
            await until(lambda: not one.link._leases)
            assert await wire.ask("MULTI") == resp.Simple(b"OK")
            assert await wire.ask("SET", "k", 1) == resp.Simple(b"QUEUED")
            assert isinstance(await wire.ask("EXEC"), resp.Null)
            assert one.box.commands == ["WATCH"]
            # A transaction of its own goes on.
            assert await wire.ask("WATCH", "k") == resp.Simple(b"OK")
            assert await wire.ask("MULTI") == resp.Simple(b"OK")
            assert await wire.ask("SET", "k", 1) == resp.Simple(b"QUEUED")
            assert isinstance(await wire.ask("EXEC"), resp.Array | list)

    play(scene())


def test_exec_is_not_sent_to_another_box_of_the_same_name() -> None:
    async def scene() -> None:
        async with world() as one, Box("two") as moved:
            wire = await Wire.open(one.port)
            assert await wire.ask("WATCH", "k") == resp.Simple(b"OK")
            one.list(address=moved.address)
            other = await Wire.open(one.port)
            assert await other.ask("GET", "k") == resp.Simple(b"OK")
            assert await wire.ask("MULTI") == resp.Simple(b"OK")
            assert await wire.ask("SET", "k", 1) == resp.Simple(b"QUEUED")
            assert isinstance(await wire.ask("EXEC"), resp.Null)
            assert one.box.commands == ["WATCH"] and moved.commands == ["GET"]

    play(scene())


def test_of_a_lease_nothing_is_written_behind_what_may_not_be() -> None:
    async def scene() -> None:
        async with world() as one:
            client = await waits(one, "WATCH", "a")
            wait = one.link._lease_waiting
            await asyncio.get_running_loop().sock_sendall(
                client, resp.command("MULTI") + resp.command("SET", "b", 1) + resp.command("EXEC")
            )
            await until(lambda: [len(sends) for sends in wait.values()] == [2])
            watch = next(iter(wait.values()))[0].request
            may_write = one.gateway.may_write
            one.gateway.may_write = lambda send: send.request != watch and may_write(send)  # type: ignore[method-assign]
            one.box.greets.set()
            got = b""
            while got.count(b"\r\n") < 4:
                got += await asyncio.get_running_loop().sock_recv(client, 1_000)
            assert got == b"+OK\r\n+OK\r\n+QUEUED\r\n*-1\r\n" and not one.box.commands
            client.close()

    play(scene())


def test_a_clients_own_connection_ends_once_what_is_on_it_has_ended() -> None:
    async def scene() -> None:
        async with world(reply_timeout_ms=60_000) as one:
            one.box.answers.clear()
            client = one.connect(resp.command("WATCH", "k"))
            await until(lambda: one.box.commands == ["WATCH"])
            own = one.box.last
            client.close()
            await until(lambda: not one.gateway._clients)
            assert own in one.box.open
            one.box.answers.set()
            await until(lambda: own not in one.box.open)

    play(scene())
