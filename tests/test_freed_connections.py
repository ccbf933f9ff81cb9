"""What a closed connection held is freed when it closes, not at some later run of the garbage collector.

The collector counts objects, not bytes: a few hundred closed connections in reference cycles are too few objects for a
run of it, and tens of megabytes. All tests here run with the collector switched off.
"""

import asyncio
import contextlib
import gc
import socket
import struct
import sys
import weakref
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace
from typing import Any

import h11
import pytest

from oatlink.gateway import clients as gateway_clients
from oatlink.gateway.clock import Stream, TurnClock
from oatlink.gateway.links.connection import Connection as LinkConnection
from oatlink.platform import requests
from oatlink.platform.clients import Client, Query, connection
from oatlink.platform.config import load
from oatlink.platform.discovery import calls
from oatlink.platform.gateway import Gateway
from oatlink.platform.jobs import AttemptJob, CheckJob
from oatlink.platform.servers.connection import Connection
from oatlink.protocols import pgwire as pg
from oatlink.protocols import resp
from oatlink.transport.turns import InputTurns
from tests.client_world import Peer, query
from tests.gateways import Served, served
from tests.platform_world import Discovery, Server, World, run_scenario
from tests.scenes import scene
from tests.test_platform_sockets import read_statement, write_statement

STARTUP = pg.make_startup({"user": "backend", "database": "store"}).encode()
LONG_TEXT = b"/* " + b"x" * 100_000
REPEATS = 5
TRANSFER_TIMEOUT_US = 100_000
REQUESTS = (Query, requests.Open, requests.Attempt, AttemptJob, CheckJob)
CONNECTIONS = (Client, Connection, Stream)


@contextlib.contextmanager
def collector_off() -> Iterator[None]:
    """Switch the garbage collector off, with nothing left for it from before."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.collect()


def unfreed_counts() -> dict[str, int]:
    """How many closed connections and ended requests there still are in memory, by type."""
    counts: Counter[str] = Counter()
    for each in gc.get_objects():
        is_closed = isinstance(each, CONNECTIONS) and (each.closed() if isinstance(each, Stream) else each.closed)
        if is_closed or isinstance(each, REQUESTS):
            counts[type(each).__name__] += 1
    return dict(counts)


class InProcess(World):
    """A gateway in this process, with its servers and its discovery."""

    gateway: Gateway

    async def start(self) -> None:
        """Start the gateway."""
        sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        sock.setblocking(False)
        self.gateway = Gateway(load({"GW_CONFIG": str(self.path)}), sock)
        self.gateway.start()
        self.address = self.gateway._clients.address
        await self.wait_until_following()

    async def peer(self, *parts: bytes) -> Peer:
        """A client after its startup, which has sent `parts`."""
        peer = Peer(self.address)
        peer.send(STARTUP)
        assert await peer.answer() == ""
        peer.send(*parts)
        return peer

    async def until_no_client(self) -> None:
        """Wait until the gateway has no client connection and nothing of them in the loop."""
        await self.until(lambda: not self.gateway._clients.open_count and not self.gateway._requests._open)
        for _ in range(3):
            await asyncio.sleep(0)

    def stop_in_process(self) -> None:
        """Stop the gateway."""
        self.gateway._clients.stop()
        self.gateway.close()


@contextlib.asynccontextmanager
async def gateway_without_collector() -> AsyncIterator[InProcess]:
    """A gateway in this process whose clients have 0.1 s for a message, with the garbage collector switched off."""
    with TemporaryDirectory() as folder, pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection, "TRANSFER_TIMEOUT_US", TRANSFER_TIMEOUT_US)
        async with Server(True) as primary, Server(False) as replica, Discovery() as discovery:
            world = InProcess(Path(folder), [primary, replica], discovery)
            discovery.entries = world.entries()
            world.write(discovery.address)
            await world.start()
            with collector_off():
                try:
                    yield world
                finally:
                    world.stop_in_process()


async def leave_at_once(world: InProcess) -> None:
    (await world.peer()).sock.close()


async def leave_after_answers(world: InProcess) -> None:
    peer = await world.peer(query(write_statement()), query(read_statement()))
    assert [await peer.answer(), await peer.answer()] == ["value of 7f3a"] * 2
    peer.sock.close()


async def leave_in_a_message(world: InProcess) -> None:
    peer = await world.peer(query(LONG_TEXT)[:-9])
    await asyncio.sleep(0.01)
    peer.sock.close()


async def reset_in_a_message(world: InProcess) -> None:
    peer = await world.peer(query(LONG_TEXT)[:-9])
    await asyncio.sleep(0.01)
    peer.reset()


async def stop_in_a_message(world: InProcess) -> None:
    peer = await world.peer(query(LONG_TEXT)[:-9])
    assert await peer.answer() == "57P05"
    assert await peer.answer() is None
    peer.sock.close()


async def break_the_protocol(world: InProcess) -> None:
    peer = await world.peer(query(LONG_TEXT) + b"\xff" * 99)
    with contextlib.suppress(ConnectionError):
        await peer.answers()
    peer.sock.close()


async def repeat_a_mistake(world: InProcess) -> None:
    peer = await world.peer(*[query(b"SELECT 1")] * 9)
    with contextlib.suppress(ConnectionError):
        await peer.answers()
    peer.sock.close()


async def leave_before_an_answer(world: InProcess) -> None:
    peer = await world.peer(query(write_statement()))
    while await peer.answer() != "value of 7f3a":  # the primary may be in doubt after the last visit
        peer.send(query(write_statement()))
    world.servers[0].mode = ["hang"]
    peer.send(query(write_statement(wait_ms=300)), query(LONG_TEXT)[:-9])
    await world.until(lambda: not world.servers[0].mode)
    peer.sock.close()
    await world.until_no_client()


async def have_a_spoilt_answer(world: InProcess) -> None:
    world.servers[0].mode = ["noise"]
    peer = await world.peer(query(write_statement(wait_ms=300)))
    await peer.answer()
    peer.sock.close()


async def have_a_broken_answer(world: InProcess) -> None:
    world.servers[0].mode = ["break"]
    peer = await world.peer(query(write_statement(wait_ms=300)))
    await peer.answer()
    peer.sock.close()


@pytest.mark.parametrize(
    "visit",
    [
        leave_at_once,
        leave_after_answers,
        leave_in_a_message,
        reset_in_a_message,
        stop_in_a_message,
        break_the_protocol,
        repeat_a_mistake,
        leave_before_an_answer,
        have_a_spoilt_answer,
        have_a_broken_answer,
    ],
)
@scene(gateway_without_collector)
async def test_a_closed_connection_and_its_requests_are_freed_without_the_collector(
    world: InProcess, visit: Callable[[InProcess], Awaitable[None]]
) -> None:
    """Guards against a gateway over its memory limit: closed clients kept what they had received (review, case 1)."""
    for _ in range(REPEATS):
        await visit(world)
    await world.until_no_client()
    assert unfreed_counts() == {}


HALF_A_LIST = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 500_000


@pytest.mark.parametrize("answer", [b"", b"\xff" * 99 + b"\r\n\r\n", HALF_A_LIST])
@pytest.mark.parametrize("ending", ["close", "reset", "hang"])
def test_a_failed_call_to_discovery_is_freed_without_the_collector(answer: bytes, ending: str) -> None:
    """Guards against growth while discovery fails: each call kept its connection, and its half of a list."""
    ended, failures = asyncio.Event(), list[str]()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        if ending == "hang":
            await ended.wait()
        elif ending == "reset":
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    async def check() -> None:
        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            address = server.sockets[0].getsockname()
            for _ in range(REPEATS):
                try:  # `pytest.raises` would keep the traceback, and with it what the call refers to
                    await calls.get(address, "/v1/endpoints", 0.3, 0.3, TurnClock())
                except calls.CallError:
                    failures.append(ending)
            kinds = (Stream, h11.Connection, asyncio.Timeout)
            assert len(failures) == REPEATS
            await asyncio.sleep(0.01)  # callbacks that the loop still has to run
            assert [type(each) for each in gc.get_objects() if isinstance(each, kinds)] == []
            ended.set()

    with collector_off():
        run_scenario(check())


MAX_KEPT_BYTES = 1_000


def kept_bytes() -> int:
    """The size of the largest byte string that a waiting task of a gateway refers to."""
    sizes = [0]
    for task in asyncio.all_tasks():
        coroutine: Any = task.get_coro()
        while (frame := getattr(coroutine, "cr_frame", None)) is not None:
            if "/oatlink/" in frame.f_code.co_filename:
                sizes += [len(each) for each in frame.f_locals.values() if isinstance(each, bytes | bytearray)]
            coroutine = coroutine.cr_await
    return max(sizes)


@pytest.mark.parametrize(
    ("reader", "message"),
    [
        (pg.backend_reader(), pg.make_row((LONG_TEXT,)).encode()),
        (resp.CommandReader(), resp.command("SET", "a", LONG_TEXT)),
        (resp.ReplyReader(), resp.bulk(LONG_TEXT)),
    ],
)
def test_a_reader_keeps_nothing_of_a_message_that_was_taken(reader: Any, message: bytes) -> None:
    """Guards against growth by idle connections: each kept the longest message that it had ever carried."""
    for cut in (len(message), len(message) - 9):
        reader.feed(message[:cut])
        reader.feed(message[cut:])
        assert reader.take() and reader.take() is None
        assert sys.getsizeof(reader._buffer.data) < MAX_KEPT_BYTES


@scene(gateway_without_collector)
async def test_an_idle_client_and_its_servers_keep_nothing_that_they_have_carried(world: InProcess) -> None:
    peer = await world.peer(query(write_statement().replace(b"9f03", b"9f" * 50_000)))
    assert await peer.answer() == "value of 7f3a"
    assert kept_bytes() < MAX_KEPT_BYTES


@scene(served, 1)
async def test_an_idle_resp_client_and_its_links_keep_nothing_that_they_have_carried(world: Served) -> None:
    client = await world.wire()
    while await client.ask("SET", "a", "x" * len(LONG_TEXT)) != resp.Simple(b"OK"):
        await asyncio.sleep(0.05)
    assert await client.ask("GET", "a") == b"x" * len(LONG_TEXT)
    assert kept_bytes() < MAX_KEPT_BYTES


@pytest.mark.parametrize("last", [b"", resp.command("SET", "a", "x")[:-9], b"*1\r\n:5\r\n", resp.command("QUIT")])
@scene(served, 1)
async def test_a_closed_resp_client_is_freed_without_the_collector(world: Served, last: bytes) -> None:
    """Guards the RESP gateway against the growth of review, case 1."""
    with collector_off():
        for _ in range(REPEATS):
            client = await world.wire()
            client.writer.write(resp.command("PING") + last)
            await client.reply()
            client.writer.close()
        while world.gateway._clients or world.gateway._ending:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)  # callbacks that the loop still has to run
        closed = [each for each in gc.get_objects() if isinstance(each, gateway_clients.Client | Stream)]
        assert [each for each in closed if (each if isinstance(each, Stream) else each.stream).closed()] == []


def test_a_link_with_an_invalid_reply_is_freed_without_the_collector() -> None:
    reports = SimpleNamespace(now=lambda: 0, batch=contextlib.nullcontext)
    owner: Any = SimpleNamespace(limits=resp.Limits(), reports=reports)
    stream: Any = SimpleNamespace()
    with collector_off():
        link = LinkConnection(owner, stream, 2, "")
        link.reader.feed(b"+OK\r\n" + LONG_TEXT)
        with contextlib.suppress(resp.ProtocolError):
            link._process_replies()
        freed = weakref.ref(link)
        del link
        assert freed() is None


@pytest.mark.parametrize("has_to_wait", [False, True])
def test_what_fails_in_its_turn_of_the_loop_is_freed_without_the_collector(has_to_wait: bool) -> None:
    class Input:
        def handle(self) -> None:
            raise resp.ProtocolError

    async def fail(input_turns: InputTurns, failing: Input) -> None:
        with contextlib.suppress(resp.ProtocolError):
            await input_turns.wait_until_handled(failing.handle, False)

    async def check() -> None:
        input_turns, failing = InputTurns(TurnClock()), Input()
        if has_to_wait:
            input_turns.run_later(lambda: None, False)
        freed = weakref.ref(failing)
        await fail(input_turns, failing)
        del failing
        await asyncio.sleep(0.01)  # callbacks that the loop still has to run
        assert freed() is None

    with collector_off():
        run_scenario(check())
