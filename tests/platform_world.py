"""Test doubles of database servers and discovery on loopback, and the gateway as a process of its own."""

import asyncio
import contextlib
import json
import os
import shlex
import signal
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

from oatlink.protocols import pgwire as pg
from tests.test_adapter import OPTIONS

ROOT = Path(__file__).parents[1]
READY = pg.make_ready().encode()
COLUMNS = pg.make_columns((b"content",), (17,)).encode()
DONE = pg.make_complete(b"SELECT 1").encode()
EMPTY = pg.Message(b"I", b"").encode()
PATIENCE_S = 20.0


def row(value: bytes) -> bytes:
    return COLUMNS + pg.make_row((value,)).encode() + DONE


class Server:
    """A database server.

    `mode` is how it answers a statement: a key of `answers` below, or "held", "hang", "hang up", "huge" or "break".
    A list gives one mode for each statement, then "good". While `greets` is False, a new connection gets no answer to
    its startup until `release` is set. `answers_empty`: whether it answers empty queries, as the protocol demands.
    With `copies` each answer is sent a second time, `copy_delay_s` later; with None for that, when the next input has
    arrived, as it appears to a gateway that writes while the copy is on its way.
    """

    def __init__(self, primary: bool) -> None:
        self.primary = primary
        self.mode: str | list[str] = "good"
        self.greets = self.answers_empty = True
        self.copies = False
        self.copy_delay_s: float | None = None
        self.work_s = 0.0
        self.value_bytes = 0  # values are padded to this length
        self.statements: list[bytes] = []
        self.checks = self.connections = self.open = 0
        self.release = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self._last_answers: dict[asyncio.StreamWriter, bytes] = {}
        self.port = 0

    async def __aenter__(self) -> "Server":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.release.set()
        self._server.close()

    def hang_up(self) -> None:
        """Close all connections; new ones get no answer to their startup until `release` is set."""
        self.greets = False
        for writer in self.writers:
            writer.close()

    def _next_mode(self) -> str:
        if isinstance(self.mode, list):
            return self.mode.pop(0) if self.mode else "good"
        return self.mode

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            (size,) = struct.unpack("!i", await reader.readexactly(4))
            await reader.readexactly(size - 4)
            if not self.greets:
                await self.release.wait()
            writer.write(pg.make_authentication(0).encode() + READY)
            self._last_answers[writer] = b""
            while True:
                kind = await reader.readexactly(1)
                (size,) = struct.unpack("!i", await reader.readexactly(4))
                text = (await reader.readexactly(size - 4))[:-1]
                if self.copies and self.copy_delay_s is None:
                    writer.write(self._last_answers[writer])
                    self._last_answers[writer] = b""
                if kind != b"Q" or not await self._answer(text, reader, writer):
                    break
        self.open -= 1
        self.writers.discard(writer)
        self._last_answers.pop(writer, None)
        writer.close()

    def _write_copy(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Send a second copy of an answer later."""
        self._last_answers[writer] = answer
        if self.copies and self.copy_delay_s is not None:
            asyncio.get_running_loop().call_later(self.copy_delay_s, writer.write, answer)

    async def _hang(self, reader: asyncio.StreamReader) -> None:
        """Wait until `release` is set or the gateway has closed the connection."""
        tasks = [asyncio.ensure_future(self.release.wait()), asyncio.ensure_future(reader.read(1))]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)  # otherwise the next read of this connection would overlap with this one

    async def _answer(self, text: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        role_status = pg.make_status("recovery", "off" if self.primary else "on").encode()
        if not text:
            if self.answers_empty:
                writer.write(EMPTY + READY)
            return True
        if text == b"SHOW health":
            self.checks += 1
            report = b"x0=%.3f,x1=%d" % (time.time(), self.primary)
            writer.write(row(report) + READY)
            return True
        self.statements.append(text)
        mode = self._next_mode()
        good = (
            row((b"value of " + text.split(b"'")[1]).ljust(self.value_bytes, b"."))
            + role_status
            + pg.make_status("lsn_ms", "17").encode()
            + READY
        )
        await asyncio.sleep(self.work_s)
        if mode == "held":  # answered once `release` is set
            await self.release.wait()
            mode = "good"
        if mode in ("hang", "hang up"):
            await self._hang(reader)
            return mode == "hang"
        if mode == "huge":
            writer.write(COLUMNS + b"D" + struct.pack("!i", 2_000_000_000) + b"\0\x01" + b"x" * 100_000)
            await self._hang(reader)
        elif mode == "break":
            writer.write(good[:40])
            return False
        else:
            answers = {
                "good": good,
                "behind": good + b"noise",
                "twice": good + good,
                "noise": b"\x01\x02\x03noise\xff" * 5,
                "two rows": COLUMNS + pg.make_row((b"a",)).encode() * 2 + DONE + READY,
                "no columns": good[len(COLUMNS) :],
                "negative": COLUMNS + b"D\xff\xff\xff\x00" + DONE + READY,
                "miss": pg.make_error("25006", "read only").encode() + role_status + READY,
                "full": pg.make_error("53300", "full").encode() + READY,
                "error": pg.make_error("XX000", "internal").encode() + READY,
            }
            writer.write(answers[mode])
            self._write_copy(writer, answers[mode])
        return True


class Discovery:
    """Discovery: the list and its watch.

    `mode` is how it answers a call: "good", "hang" (far too late), "crowded" (after 1.2 s, as if behind a queue), "503"
    or "noise".
    """

    def __init__(self) -> None:
        self.mode = "good"
        self.entries: list[dict[str, Any]] = []
        self.version = 1
        self.calls: list[str] = []
        self.changed = asyncio.Event()

    async def __aenter__(self) -> "Discovery":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self.changed.set()

    def publish(self, entries: list[dict[str, Any]]) -> None:
        """Publish a new list, which answers the waiting watch calls."""
        self.entries, self.version = entries, self.version + 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split()[1].decode()
            self.calls.append(path)
            query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
            if self.mode in ("hang", "crowded"):
                await asyncio.sleep(PATIENCE_S if self.mode == "hang" else 1.2)
            if query and int(query["since"]) >= self.version:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(query["timeout_ms"]) / 1000)
            body = json.dumps({"version": self.version, "full": True, "servers": self.entries}).encode()
            status = "200 OK"
            if self.mode == "503":
                status, body = "503 Service Unavailable", b""
            elif self.mode == "noise":
                body = b"{not json"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
        writer.close()


class Client:
    """A client that sends and receives protocol messages as bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def message(self) -> pg.Message:
        """Read a message. Raises `asyncio.IncompleteReadError` at the end, `TimeoutError` if nothing comes."""
        async with asyncio.timeout(PATIENCE_S):
            kind = await self.reader.readexactly(1)
            (size,) = struct.unpack("!i", await self.reader.readexactly(4))
            return pg.Message(kind, await self.reader.readexactly(size - 4))

    async def until_ready(self) -> list[pg.Message]:
        """Read all messages up to ReadyForQuery, and return them without it."""
        messages: list[pg.Message] = []
        while (message := await self.message()).kind != b"Z":
            messages.append(message)
        return messages

    async def ask(self, text: bytes) -> list[pg.Message]:
        """Send a query and return its answer."""
        self.writer.write(pg.make_query(text).encode())
        return await self.until_ready()

    async def closed(self) -> bool:
        """Wait until the gateway has closed the connection, and discard what still comes."""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE_S):
                await self.reader.read()
        return True


class World:
    """A gateway process with its servers (the first is the primary), its discovery and its clients."""

    def __init__(self, folder: Path, servers: list[Server], discovery: Discovery) -> None:
        self.servers, self.discovery = servers, discovery
        self.path = folder / "config.json"
        self.lines: list[str] = []
        self.address = ("127.0.0.1", 0)

    def entries(self) -> list[dict[str, Any]]:
        """Discovery's entries for all servers."""
        return [
            {
                "id": f"s-{number}",
                "addr": f"127.0.0.1:{server.port}",
                "zone": "a",
                "kind": "k",
                "cell": 1,
                "state": "in_service",
                "weight": 1.0,
                "started_ms": 0,
                "recovery": "off" if server.primary else "on",
            }
            for number, server in enumerate(self.servers)
        ]

    def write(
        self, discovery: str, sockets: int = 256, settings: dict[str, Any] = OPTIONS, memory_mb: float = 0.0
    ) -> None:
        """Replace the configuration file atomically."""
        host, port = self.address
        known = {"version": 0, "full": True, "servers": self.entries()}
        text = {
            "name": "n0",
            "listen": f"{host}:{port}",
            "discovery": discovery,
            "seed": "5",
            "limits": {"sockets": sockets, "memory_mb": memory_mb},
            "known": known,
            "settings": settings,
        }
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(text))
        new_path.replace(self.path)

    async def start(self) -> None:
        """Start the gateway and wait until it serves."""
        await self.launch()
        await self.wait_until_ready()

    async def launch(self, **environment: str) -> None:
        """Start the gateway without waiting for it."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oatlink.platform",
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": str(self.path)} | environment,
            stderr=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.ensure_future(self._read())

    async def launch_as_deployed(self) -> None:
        """Start the gateway by the deploy file's command in a shell, and wait until Python has replaced the shell."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        command = deploy["run"].replace(".venv/bin/python", shlex.quote(sys.executable))
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": str(self.path)},
            stderr=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.ensure_future(self._read())
        command_line = Path(f"/proc/{self.process.pid}/cmdline")
        await self.until(lambda: command_line.read_bytes().startswith(os.fsencode(sys.executable) + b"\0"))

    async def wait_until_ready(self) -> None:
        """Wait until the gateway serves."""
        line = await self.wait_for_line("ready: ")
        self.address = ("127.0.0.1", int(line.rpartition(":")[2]))

    async def _read(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.lines.append(line.decode().rstrip())

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds. Raises `TimeoutError`."""
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def wait_until_following(self) -> None:
        """Wait until the gateway has applied the newest list, which shows in its call for what comes after."""
        query = f"since={self.discovery.version}&"
        await self.until(lambda: any(query in call for call in self.discovery.calls))

    async def wait_for_line(self, text: str) -> str:
        """Wait for a log line that contains a text, and return it."""
        await self.until(lambda: any(text in line for line in self.lines) or self.process.returncode is not None)
        return next(line for line in self.lines if text in line)

    async def connect(self) -> Client:
        """Connect a client, without its startup."""
        return Client(*await asyncio.open_connection(*self.address))

    async def client(self) -> Client:
        """Connect a client and complete its startup."""
        client = await self.connect()
        client.writer.write(pg.make_startup({"user": "backend", "database": "store"}).encode())
        await client.until_ready()
        return client

    def signal(self, number: signal.Signals) -> None:
        """Send the gateway a signal."""
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the gateway if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reading


@contextlib.asynccontextmanager
async def open_world(
    folder: Path,
    replicas: int = 2,
    sockets: int = 256,
    running: bool = True,
    settings: dict[str, Any] = OPTIONS,
    memory_mb: float = 0.0,
) -> AsyncIterator[World]:
    """Open a gateway with one primary and `replicas` replicas."""
    async with contextlib.AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Server(number == 0)) for number in range(replicas + 1)]
        discovery = await stack.enter_async_context(Discovery())
        opened = World(folder, servers, discovery)
        discovery.entries = opened.entries()
        opened.write(discovery.address, sockets, settings, memory_mb)
        if running:
            await opened.start()
        try:
            yield opened
        finally:
            if running:
                await opened.stop()


@contextlib.asynccontextmanager
async def temporary_world(**more: Any) -> AsyncIterator[World]:
    """Open a world in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        async with open_world(Path(folder), **more) as opened:
            yield opened


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end in an event loop of its own."""
    asyncio.run(asyncio.wait_for(scenario, 4 * PATIENCE_S))
