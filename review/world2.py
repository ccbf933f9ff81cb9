"""Stand-ins of the second review: clients, database servers and discovery, and the gateway as a process of its own.

They do what the platform's pages say (PROTOCOL.md, DEPLOY.md) and no more. All addresses are loopback addresses with
free ports. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_S = 30.0  # a gateway that is not ready by then has failed to start


class CannotRunError(Exception):
    """The case could not run; nothing is known of the rule."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, file: TextIO) -> None:
        self._file, self._began_s = file, time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began_s

    def add(self, who: str, what: str) -> float:
        """Write a line; return its time."""
        at_s = self.now_s
        self._file.write(f"{at_s:9.4f}  {who:<12}  {what}\n")
        self._file.flush()
        return at_s


def unix_ms() -> float:
    """The time of every machine."""
    return time.time() * 1000


# ---- PostgreSQL's protocol, as far as the platform uses it ----


def message(kind: bytes, body: bytes) -> bytes:
    """Encode a message."""
    return kind + struct.pack("!i", len(body) + 4) + body


def parameter(name: str, value: str) -> bytes:
    """Encode a ParameterStatus."""
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error(code: str, text: str) -> bytes:
    """Encode an ErrorResponse."""
    return message(b"E", b"SERROR\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0")


def row(value: bytes) -> bytes:
    """Encode a row of one binary value, with its description and completion."""
    column = b"content\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
    return (
        message(b"T", struct.pack("!h", 1) + column)
        + message(b"D", struct.pack("!hi", 1, len(value)) + value)
        + message(b"C", b"SELECT 1\0")
    )


READY = message(b"Z", b"I")


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read one message; `IncompleteReadError` or `ConnectionError` at the end of the connection."""
    head = await reader.readexactly(5)
    (length,) = struct.unpack("!i", head[1:])
    return head[:1], await reader.readexactly(length - 4)


def comment_fields(text: str) -> dict[str, str]:
    """Return the names and values in a statement's comment."""
    inner = text[text.index("/*") + 2 : text.index("*/")].strip()
    return dict(pair.split("=", 1) for pair in inner.split(","))


# ---- Database servers ----


class Server:
    """A database server. `mode`: "answers", "hangs" (takes statements and answers nothing) or "drains"."""

    def __init__(self, record: Record, name: str, is_primary: bool, work_s: float = 0.1) -> None:
        self.record, self.name, self.is_primary, self.work_s = record, name, is_primary, work_s
        self.mode = "answers"
        self.lag_ms = 10.0
        self.sends: list[tuple[float, str]] = []  # when the first byte of each statement came, and its request
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    def position_ms(self) -> float:
        """The position: the present at a primary."""
        return unix_ms() - (0.0 if self.is_primary else self.lag_ms)

    def health(self) -> str:
        """The load report."""
        return f"x0={self.position_ms() / 1000:.3f},x1={int(self.is_primary)},queue=0"

    def _status(self) -> bytes:
        return parameter("recovery", "off" if self.is_primary else "on") + parameter(
            "lsn_ms", str(int(self.position_ms()))
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            (length,) = struct.unpack("!i", await reader.readexactly(4))
            await reader.readexactly(length - 4)
            writer.write(message(b"R", struct.pack("!i", 0)) + self._status() + READY)
            while True:
                first = await reader.readexactly(1)
                at_s = self.record.now_s
                (length,) = struct.unpack("!i", await reader.readexactly(4))
                body = await reader.readexactly(length - 4)
                if first != b"Q":
                    return
                await self._answer(body.rstrip(b"\0").decode("latin1"), reader, writer, at_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def write_answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Write the answer of a statement that has run."""
        writer.write(answer)

    async def _answer(self, text: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, at_s: float) -> None:
        if not text.startswith("/*"):
            if text == "SHOW health" and self.mode != "hangs":
                writer.write(row(self.health().encode()) + self._status() + READY)
            return
        fields = comment_fields(text)
        self.sends.append((at_s, fields["id"]))
        self.record.add(self.name, f"gets id={fields['id']} c={fields['c']} d={fields['d']}, first byte at {at_s:.4f}")
        if self.mode == "hangs":
            return
        if self.mode == "drains":
            writer.write(error("53300", "draining") + self._status() + READY)
            self.record.add(self.name, f"turns away id={fields['id']}: 53300")
        elif "INSERT" in text and not self.is_primary:
            writer.write(error("25006", "no primary") + self._status() + READY)
            self.record.add(self.name, f"turns away id={fields['id']}: 25006")
        else:
            await asyncio.sleep(self.work_s)
            self.record.add(self.name, f"has run id={fields['id']}")
            await self.write_answer(reader, writer, row(f"value for {fields['id']}".encode()) + self._status() + READY)


# ---- Discovery ----


class Discovery:
    """Discovery: the whole list, and watches. `admit` is awaited before a call is handled; False turns it away."""

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record = record
        self.version = 1
        self._servers = servers
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}  # the version of an entry's last change
        self._news = asyncio.Event()
        self.admit: Callable[[], Awaitable[bool]] | None = None
        self.written: list[tuple[float, int]] = []  # when an answer was written to a gateway, and its version
        self.port = 0

    @staticmethod
    def _entry(server: Server, state: str) -> dict[str, Any]:
        return {
            "id": server.name,
            "addr": f"127.0.0.1:{server.port}",
            "zone": "a",
            "kind": "m",
            "cell": 3,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
            "recovery": "off" if server.is_primary else "on",
        }

    async def start(self) -> None:
        """List the servers, which have to be started before, and listen on a free port."""
        self.entries = {server.name: self._entry(server, "in_service") for server in self._servers}
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close the listener."""
        self._server.close()

    def set_state(self, server: Server, state: str) -> float:
        """Publish a server's state; return when."""
        self.version += 1
        self.entries[server.name] = self._entry(server, state)
        self._changed[server.name] = self.version
        news, self._news = self._news, asyncio.Event()
        news.set()
        return self.record.add("discovery", f"version {self.version}: {server.name} is {state}")

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def _answer(self, since: int | None) -> dict[str, Any]:
        if since is None or since > self.version or since < 1:
            return self.whole()
        changed = [self.entries[name] for name, version in self._changed.items() if version > since]
        return {"version": self.version, "full": False, "servers": changed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            path = head.split(" ", 2)[1]
            query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
            since = int(query["since"]) if "since" in query else None
            self.record.add("discovery", f"call {path}")
            if self.admit is not None and not await self.admit():
                self.record.add("discovery", f"503 to {path}")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                return
            if since is not None and since == self.version:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._news.wait(), int(query.get("timeout_ms", "0")) / 1000)
            body = json.dumps(self._answer(since)).encode()
            if reader.at_eof():
                self.record.add("discovery", f"the caller of {path} has hung up before its answer")
                return
            head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
            self.written.append((self.record.add("discovery", f"answers {path}: version {self.version}"), self.version))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


# ---- Clients ----


class Client:
    """A client connection of the usual kind; one request at a time."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self.port = record, name, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._is_greeted = False

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect and send the startup message, or return the open connection. Queries may follow directly."""
        if self._streams is None:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            parameters = b"user\0backend\0database\0store\0\0"
            writer.write(struct.pack("!ii", len(parameters) + 8, 3 << 16) + parameters)
            self._streams, self._is_greeted = (reader, writer), False
        return self._streams

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def ask_empty(self) -> None:
        """Ask the empty query, as the front does before it admits a gateway."""
        reader, writer = await self.connect()
        writer.write(message(b"Q", b"\0"))
        while (await read_message(reader))[0] != b"I":
            pass

    async def ask(self, text: str, patience_s: float) -> tuple[str, str]:
        """Send a statement once and wait for its answer.

        Returns "served" and the value, "refused" or "failed" and the code, or "none" and why.
        """
        request = comment_fields(text)["id"]
        reader, writer = await self.connect()
        self.record.add(self.name, f"sends {text[:160]}")
        writer.write(message(b"Q", text.encode() + b"\0"))
        try:
            outcome = await asyncio.wait_for(self._answer(reader), patience_s)
        except TimeoutError:
            outcome = "none", f"nothing for {patience_s} s"
            self.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            outcome = "none", "connection ended"
            self.close()
        self.record.add(self.name, f"gets for id={request}: {outcome[0]}, {outcome[1]}")
        return outcome

    async def _answer(self, reader: asyncio.StreamReader) -> tuple[str, str]:
        value, code = b"", ""
        while True:
            try:
                kind, body = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                if not code:
                    raise
                self.close()  # after a fatal error, no ReadyForQuery is required
                kind = b"Z"
            if kind == b"D":
                value = body[6:]
            elif kind == b"E":
                fields = {part[:1]: part[1:] for part in body.split(b"\0") if part}
                code = fields[b"C"].decode()
            elif kind == b"Z":
                if not self._is_greeted:
                    self._is_greeted = True
                elif not code:
                    return "served", value.decode()
                else:
                    return ("refused" if code in ("53300", "57P03") else "failed"), code


_REQUESTS = 0


def new_id() -> str:
    """A fresh id."""
    global _REQUESTS
    _REQUESTS += 1
    return f"{os.getpid():08x}{_REQUESTS:08x}"


def select(class_name: str, wait_ms: int, extra: str = "") -> str:
    """A read of the group 3."""
    head = f"id={new_id()},c={class_name},d={wait_ms},cluster=3{extra}"
    return f"/* {head} */ SELECT content FROM kv WHERE name = '7f3a9c21e0b4d655'"


def insert(class_name: str, wait_ms: int, extra: str = "") -> str:
    """A write of the group 3."""
    head = f"id={new_id()},c={class_name},d={wait_ms},cluster=3{extra}"
    return f"/* {head} */ INSERT INTO kv (name, content) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING content"


# ---- Settings of small deployments, with the figures of the users' site files ----


def request_class(name: str, aim_ms: int, deadline_ms: int, gain: float, late: float, effect: str) -> dict[str, Any]:
    """One class of the settings."""
    return {
        "Name": name,
        "GoalTimeUs": aim_ms * 1000,
        "DeadlineUs": deadline_ms * 1000,
        "Effect": effect,
        "Gain": gain,
        "Group": "all",
        "LateWorth": late,
        "Stream": False,
        "WindowUs": 5_000_000,
    }


def settings(discovery: str, classes: list[dict[str, Any]], **parts: dict[str, Any]) -> dict[str, Any]:
    """The settings object, with what the deployments have in common."""
    limits = {
        "Cancel": True,
        "DialTimeoutUs": 250_000,
        "KeepaliveUs": 15_000_000,
        "MaxAttempts": 6,
        "MaxOpen": 20_000,
        "MayProbe": True,
        "MayTell": False,
        "Multiplex": 1,
        "RetryAfter": True,
        "SecondCopies": True,
    }
    return {
        "Classes": classes,
        "Discovery": discovery,
        "FamilyInfo": {"AnswersStamped": True, "BaseTimeUs": 0, "RoleInList": "delayed"} | parts["family"],
        "Kinds": ["m"],
        "Limits": limits | parts["limits"],
        "Obligations": {"AnswerSlackUs": 20_000, "AskWithinUs": 10_000_000, "ColdShare": 0.17} | parts["obligations"],
        "OverShareWorth": 0.2,
        "PeersTotal": 3,
        "ServiceType": "replicas",
        "SlotNo": 0,
        "StepUs": 5_000,
        "Tenants": [],
        "Zone": "a",
        "Zones": ["a"],
    }


def nav_history_moka() -> dict[str, Any]:
    """The deployment `nav-history-moka`: discovery is asked, drains are kept within 1 s."""
    return settings(
        "ask",
        [
            request_class("feed-read", 600, 2500, 3.0, 0.0, "idempotent"),
            request_class("desk-check", 500, 1500, 3.0, 0.2, "idempotent"),
            request_class("history-pull", 300, 1000, 1.0, 0.2, "idempotent"),
            request_class("price-post", 1000, 5000, 6.0, 0.5, "at_most_once"),
        ],
        family={
            "Freshness": ["recent", "own_writes", "loose", "update"],
            "LagAllowedUs": [300_000, 0, 0, 0],
            "ServerChecks": "reject",
            "SessionMarks": "client",
        },
        limits={"MaxRetryAfterUs": 500_000},
        obligations={
            "FallUs": 1_000_000,
            "OverloadFactor": 4.0,
            "StopSendingWithinUs": 1_000_000,
            "WarmAfterUs": 18_000_000,
        },
    )


def offshore_grand_baie() -> dict[str, Any]:
    """The deployment `offshore-grand-baie`: discovery pushes, drains are kept within 250 ms."""
    return settings(
        "push",
        [
            request_class("price-lookup", 500, 1500, 1.0, 0.0, "idempotent"),
            request_class("own-entry-check", 800, 2000, 2.0, 0.0, "idempotent"),
            request_class("history-pull", 800, 2500, 1.0, 0.2, "idempotent"),
            request_class("price-submit", 750, 3000, 3.0, 0.5, "at_most_once"),
        ],
        family={
            "Freshness": ["recent", "own_writes", "loose", "update"],
            "LagAllowedUs": [300_000, 0, 0, 0],
            "ServerChecks": "off",
            "SessionMarks": "client",
        },
        limits={"MaxAttempts": 10, "MaxRetryAfterUs": 1_000_000},
        obligations={
            "FallUs": 3_000_000,
            "OverloadFactor": 3.0,
            "StopSendingWithinUs": 250_000,
            "WarmAfterUs": 17_000_000,
        },
    )


# ---- The gateway ----


class Gateway:
    """A gateway, started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: str, config: dict[str, Any]) -> None:
        self.record, self._folder, self._config = record, folder, config
        self.port = 0

    async def start(self) -> None:
        """Start it. It is not ready yet."""
        self.port = free_port()
        listen, discovery = f"127.0.0.1:{self.port}", self._config["discovery"]
        config = {
            "name": "n1",
            "listen": listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        path = Path(self._folder, "config.json")
        path.write_text(json.dumps(config | self._config))
        temporary = Path(self._folder, "tmp")
        temporary.mkdir()
        names = {"GW_NAME": "n1", "GW_LISTEN": listen, "GW_DISCOVERY": discovery, "GW_CONFIG": str(path)}
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self._log = Path(self._folder, "gateway.log").open("wb")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={name: text for name, text in os.environ.items() if name != "PYTHONPATH"}
            | names
            | {"TMPDIR": str(temporary)},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self.record.add("gateway", f"started: {command}")

    async def wait_until_ready(self) -> None:
        """Ask empty queries until one is answered, as the front does."""
        end_s = time.monotonic() + READY_S
        while time.monotonic() < end_s:
            if self.process.returncode is not None:
                raise CannotRunError(f"the gateway ended: {self.process.returncode}")
            client = Client(self.record, "front", self.port)
            try:
                await client.ask_empty()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.02)
                continue
            finally:
                client.close()
            self.record.add("gateway", "ready: an empty query was answered")
            return
        raise CannotRunError("the gateway was not ready in time")

    async def end(self) -> None:
        """End it and copy its log into the record."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        self._log.close()
        for line in Path(self._folder, "gateway.log").read_text().splitlines():
            self.record.add("gateway log", line)


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@contextlib.asynccontextmanager
async def running(*parts: Any) -> AsyncIterator[None]:
    """Start stand-ins, and close them at the end."""
    for part in parts:
        await part.start()
    try:
        yield
    finally:
        for part in parts:
            part.close()


def run_case(folder: Path, case: Callable[[Record, str], Awaitable[bool]], name: str = "record.txt") -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    with (folder / name).open("w") as file, tempfile.TemporaryDirectory() as temporary:
        record = Record(file)
        record.add("case", f"TROUBLE={int(TROUBLE)}")
        try:
            held = asyncio.run(asyncio.wait_for(_awaited(case(record, temporary)), 110))
        except (CannotRunError, OSError, TimeoutError) as problem:
            record.add("case", f"could not run: {problem!r}")
            print(f"could not run: {problem!r}")
            sys.exit(2)
        text = "the rule held" if held else "the rule was BROKEN"
        record.add("case", text)
        print(text)
    sys.exit(0 if held else 1)


async def _awaited(case: Awaitable[bool]) -> bool:
    return await case
