"""Stand-ins of the review: database servers, discovery, clients and the gateway as a process, all on loopback.

Standard library only, so that a case runs on a machine without a network after the deploy file's build. Every
stand-in follows PROTOCOL.md; what a case changes about one is told in its own folder.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
SELECT = re.compile(rb"/\* (.*?) \*/ SELECT content FROM kv WHERE name = '(.*)'")
INSERT = re.compile(rb"/\* (.*?) \*/ INSERT INTO kv \(name, content\) VALUES \('(.*)', '\\x(.*)'\) RETURNING content")


class CannotRunError(Exception):
    """The case could not be brought about; says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start in milliseconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.start = time.time()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{(time.time() - self.start) * 1000:10.1f} {text}\n")
        self._file.flush()


def shown(value: bytes) -> str:
    """A value as it stands in the record."""
    return value.decode() if len(value) < 40 else f"({len(value)} bytes)"


def now_ms() -> int:
    """The Unix time in milliseconds, which is the clock of all positions."""
    return int(time.time() * 1000)


# ---- Messages ----


def message(kind: bytes, body: bytes) -> bytes:
    """Encode one message."""
    return kind + struct.pack("!i", len(body) + 4) + body


def status(name: str, value: str) -> bytes:
    """Encode a ParameterStatus."""
    return message(b"S", f"{name}\0{value}\0".encode())


def error(code: str, text: str) -> bytes:
    """Encode an ErrorResponse."""
    return message(b"E", f"SERROR\0VERROR\0C{code}\0M{text}\0\0".encode())


def row(value: bytes, tag: bytes) -> bytes:
    """Encode a row of one value, with its description and completion."""
    columns = struct.pack("!h", 1) + b"content\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 0)
    data = struct.pack("!hi", 1, len(value)) + value
    return message(b"T", columns) + message(b"D", data) + message(b"C", tag + b"\0")


READY = message(b"Z", b"I")
PARAMETERS = b"user\0backend\0database\0store\0\0"
STARTUP = struct.pack("!ii", 8 + len(PARAMETERS), 196608) + PARAMETERS


def select(fields: str, name: str) -> str:
    """A read, in the form of PROTOCOL.md."""
    return f"/* {fields} */ SELECT content FROM kv WHERE name = '{name}'"


def insert(fields: str, name: str, value: bytes) -> str:
    """A write, in the form of PROTOCOL.md."""
    return f"/* {fields} */ INSERT INTO kv (name, content) VALUES ('{name}', '\\x{value.hex()}') RETURNING content"


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read one message. Raises `asyncio.IncompleteReadError` or `ConnectionError` at the end."""
    kind = await reader.readexactly(1)
    (size,) = struct.unpack("!i", await reader.readexactly(4))
    return kind, await reader.readexactly(size - 4)


# ---- Database servers ----


class Bank:
    """One group: its commits and which of its servers is the primary."""

    def __init__(
        self, number: int, record: Record, ship_ms: int = 10, work_ms: int = 20, is_quiet: bool = False
    ) -> None:
        self.number, self.ship_ms, self.work_ms = number, ship_ms, work_ms
        self.record: Callable[[str], None] = (lambda _: None) if is_quiet else record
        self.commits: list[tuple[int, str, bytes]] = []
        self.servers: list[Database] = []
        self.primary: Database | None = None

    def commit(self, name: str, value: bytes) -> int:
        """Commit a write and return its position."""
        at_ms = now_ms() + 1
        self.commits.append((at_ms, name, value))
        return at_ms

    def value_at(self, name: str, position_ms: int) -> bytes:
        """The value of a name as of a position."""
        values = [value for at_ms, known, value in self.commits if known == name and at_ms <= position_ms]
        return values[-1] if values else b""


class Database:
    """A database server. While `hangs` it takes connections and statements and answers nothing."""

    def __init__(self, bank: Bank, ident: str, zone: str) -> None:
        self.bank, self.ident, self.zone = bank, ident, zone
        self.state, self.listed_role, self.started_ms = "in_service", "on", 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.frozen_ms: int | None = None  # the position at which it stands still
        self.unreadable_reports = 0  # so many of its next load reports can't be read
        self.report_delay_s = 0.0
        self.attempts: list[tuple[float, str]] = []  # when each arrived, and its id
        self.told_at: list[float] = []  # when an answer told the gateway that this is no primary
        self.port = 0
        self._server: asyncio.Server | None = None
        bank.servers.append(self)

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def is_primary(self) -> bool:
        """Whether it is its group's primary."""
        return self.bank.primary is self

    def position_ms(self) -> int:
        """The time up to which it has applied all commits."""
        if self.frozen_ms is not None:
            return self.frozen_ms
        return now_ms() - (0 if self.is_primary else self.bank.ship_ms)

    def entry(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "id": self.ident,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "kind": "fast-4",
            "cell": self.bank.number,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
            "recovery": self.listed_role,
        }

    def attempt_at(self, ident: str) -> float:
        """When the first attempt of a request arrived here; 0 if none did."""
        return next((at for at, known in self.attempts if known == ident), 0.0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            (size,) = struct.unpack("!i", await reader.readexactly(4))
            await reader.readexactly(size - 4)
            await self.may_answer.wait()
            writer.write(message(b"R", struct.pack("!i", 0)) + READY)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    break
                if not self.may_answer.is_set():
                    self.bank.record(f"{self.ident}: hangs, and has received {body[:60]!r}")
                    await self.may_answer.wait()
                writer.write(await self._answer(body[:-1]))
        with contextlib.suppress(Exception):
            writer.close()

    async def _answer(self, text: bytes) -> bytes:
        if text == b"SHOW health":
            return await self._report()
        role = status("recovery", "off" if self.is_primary else "on")
        if matched := INSERT.fullmatch(text):
            ident = self._took(matched, "write")
            name, value = matched[2].decode(), bytes.fromhex(matched[3].decode())
            if not self.is_primary:
                self._ended(ident, "25006: this is no primary, recovery=on")
                self.told_at.append(time.time())
                return error("25006", "this is no primary") + role + READY
            await asyncio.sleep(self.bank.work_ms / 1000)
            await self.may_answer.wait()
            at_ms = self.bank.commit(name, value)
            self._ended(ident, f"committed {name}={shown(value)} at {at_ms}")
            return row(value, b"INSERT 0 1") + status("lsn_ms", str(at_ms)) + role + READY
        if matched := SELECT.fullmatch(text):
            ident = self._took(matched, "read")
            await asyncio.sleep(self.bank.work_ms / 1000)
            await self.may_answer.wait()
            position_ms, name = self.position_ms(), matched[2].decode()
            value = self.bank.value_at(name, position_ms)
            self._ended(ident, f"read {name}={shown(value)} at position {position_ms}")
            return row(value, b"SELECT 1") + role + READY
        if not text.strip(b"; \t\r\n"):
            return message(b"I", b"") + READY
        self.bank.record(f"{self.ident}: a statement that no client sent: {text[:100]!r}")
        return error("08P01", "no such statement") + READY

    async def _report(self) -> bytes:
        await asyncio.sleep(self.report_delay_s)
        report = f"x0={self.position_ms() / 1000:.3f},x1={int(self.is_primary)}"
        if self.unreadable_reports:
            self.unreadable_reports -= 1
            report = "x0=?,x1=#"
        self.bank.record(f"{self.ident}: report {report}")
        return row(report.encode(), b"SELECT 1") + READY

    def _took(self, matched: re.Match[bytes], what: str) -> str:
        fields = dict(pair.split("=", 1) for pair in matched[1].decode().split(","))
        self.bank.record(f"{self.ident}: takes {what} id={fields['id']} d={fields['d']}")
        self.attempts.append((time.time(), fields["id"]))
        return fields["id"]

    def _ended(self, ident: str, how: str) -> None:
        self.bank.record(f"{self.ident}: id={ident} {how}")


# ---- Discovery ----


class Discovery:
    """Discovery: the whole list, and the watch on its changes."""

    def __init__(self, record: Record) -> None:
        self.record, self.version, self.delay_s = record, 1, 0.0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self._news = asyncio.Event()
        self._turn = asyncio.Lock()
        self.address = ""

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def publish(self, *servers: Database) -> None:
        """Publish the present entries of these servers as one new version."""
        self.version += 1
        for server in servers:
            self.entries[server.ident] = server.entry()
            self.changed_at[server.ident] = self.version
            self.record(f"discovery: version {self.version}: {server.ident} {server.state} {server.listed_role}")
        self._news.set()
        self._news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """The whole list, in the form of an answer."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split()[1].decode()
            query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
            if self.delay_s:
                async with self._turn:  # calls are handled one after another
                    await asyncio.sleep(self.delay_s)
            since = int(query.get("since", 0))
            if query and since >= self.version:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._news.wait(), int(query["timeout_ms"]) / 1000)
            answer = self.whole()
            if query:
                changed = [entry for ident, entry in self.entries.items() if self.changed_at[ident] > since]
                answer = {"version": self.version, "full": False, "servers": changed}
            body = json.dumps(answer).encode()
            self.record(f"discovery: answers {path} with version {self.version}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
            writer.write(f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
        with contextlib.suppress(Exception):
            writer.close()


# ---- Clients ----


class Client:
    """A client connection. Answers are read by `answer`, one call for each command, in order."""

    def __init__(self, record: Callable[[str], None], name: str) -> None:
        self.record, self.name = record, name

    async def open(self, address: tuple[str, int]) -> None:
        """Connect and complete the startup."""
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.writer.write(STARTUP)
        await self._until_ready()

    def send(self, text: str) -> None:
        """Send a command."""
        self.record(f"{self.name}: sends {text[:160]}")
        self.writer.write(message(b"Q", text.encode() + b"\0"))

    async def _until_ready(self) -> list[tuple[bytes, bytes]]:
        messages = []
        while True:
            kind, body = await read_message(self.reader)
            if kind == b"Z":
                return messages
            messages.append((kind, body))

    async def answer(self, ident: str, wait_s: float) -> tuple[str, bytes]:
        """How a command ended: `served` with its value, `refused`, `failed`, `closed` or `nothing` in this time."""
        how, value = "served", b""
        try:
            async with asyncio.timeout(wait_s):
                for kind, body in await self._until_ready():
                    if kind == b"D":
                        value = body[6:]
                    elif kind == b"E":
                        code = next(part[1:] for part in body.split(b"\0") if part[:1] == b"C")
                        how, value = ("refused" if code in (b"53300", b"57P03") else "failed"), code
        except TimeoutError:
            how = "nothing"
        except (ConnectionError, asyncio.IncompleteReadError):
            how = "closed"
        self.record(f"{self.name}: id={ident} {how} {value.decode(errors='replace')}")
        return how, value

    async def ask(self, ident: str, text: str, wait_s: float) -> tuple[str, bytes]:
        """Send a command and return how it ended."""
        self.send(text)
        return await self.answer(ident, wait_s)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(Exception):
            self.writer.close()


# ---- The gateway ----


def free_port() -> int:
    """A port of 127.0.0.1 that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Gateway:
    """One gateway, started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, settings: dict[str, Any], discovery: Discovery) -> None:
        self.record, self.folder, self.name = record, folder, name
        self.settings, self.discovery = settings, discovery
        self.address = ("127.0.0.1", free_port())
        self.known: dict[str, Any] | None = None
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> Path:
        """Write its configuration file, whole or not at all."""
        listen = f"127.0.0.1:{self.address[1]}"
        config = {
            "name": self.name,
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.known or self.discovery.whole(),
            "settings": self.settings,
        }
        path = self.folder / f"{self.name}.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").replace(path)
        return path

    async def launch(self) -> None:
        """Start its process."""
        path = self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / f"{self.name}.tmp"
        scratch.mkdir(exist_ok=True)
        told = {
            "GW_NAME": self.name,
            "GW_LISTEN": f"127.0.0.1:{self.address[1]}",
            "GW_DISCOVERY": self.discovery.address,
            "GW_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=os.environ | told, stdout=log, stderr=log
            )
        self.record(f"{self.name}: started, process {self.process.pid}")

    async def wait_until_ready(self, wait_s: float = 30.0) -> None:
        """Wait until it answers an empty query, as the platform's front does."""
        give_up = time.time() + wait_s
        while time.time() < give_up:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                client = Client(self.record, f"{self.name}'s front")
                async with asyncio.timeout(2.0):
                    await client.open(self.address)
                    client.writer.write(message(b"Q", b"\0"))
                    kinds = [kind for kind, _ in await client._until_ready()]
                client.close()
                if kinds == [b"I"]:
                    self.record(f"{self.name}: ready")
                    return
            await asyncio.sleep(0.01)
        raise CannotRunError("the gateway was not ready in 30 s")

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal."""
        assert self.process is not None
        self.record(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill its process if it still runs, and keep its log in the record."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        for line in (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines():
            self.record(f"{self.name} log: {line}")
        self.process = None


async def until(condition: Callable[[], bool], wait_s: float, what: str) -> None:
    """Wait for a condition. Raises `CannotRunError` if it does not come about."""
    give_up = time.time() + wait_s
    while not condition():
        if time.time() > give_up:
            raise CannotRunError(what)
        await asyncio.sleep(0.01)


def settings(classes: list[dict[str, Any]], family: dict[str, Any], **more: dict[str, Any]) -> dict[str, Any]:
    """The settings object of a small deployment, in the names of WIRE; `more` adds to its parts."""
    limits = {
        "Cancel": True,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 110751,
        "DialTimeoutUs": 250000,
        "KeepaliveUs": 15000000,
        "MaxAttempts": 6,
        "MaxOpen": 22150,
        "MaxRetryAfterUs": 2000000,
        "MayProbe": True,
        "MayTell": False,
        "Multiplex": 1,
        "RetryAfter": True,
        "SecondCopies": True,
    }
    obligations = {
        "AnswerSlackUs": 20000,
        "AskWithinUs": 10000000,
        "ColdShare": 0.17,
        "FallUs": 2000000,
        "OverloadFactor": 4.0,
        "StopSendingWithinUs": 2000000,
        "WarmAfterUs": 17000000,
    }
    whole: dict[str, Any] = {
        "PeersTotal": 3,
        "Classes": classes,
        "Callers": {"MarksRetry": True},
        "Discovery": "ask",
        "ServiceType": "replicas",
        "FamilyInfo": {"BaseTimeUs": 0, "PatienceUs": 0, "RoleInList": "delayed", "Sync": True, **family},
        "Kinds": ["fast-4"],
        "Limits": limits | more.pop("Limits", {}),
        "Obligations": obligations | more.pop("Obligations", {}),
        "OverShareWorth": 0.1,
        "SlotNo": 0,
        "Stage": 0,
        "Stats": {"Fields": ["x0", "x1"], "Via": "on_probe"},
        "StepUs": 5000,
        "Tenants": [],
        "ValueBy": "request",
        "Weights": "rough",
        "Zone": "a",
        "Zones": ["a"],
    }
    return whole | more


def class_of(name: str, effect: str, deadline_ms: int, aim_ms: int, gain: float, **more: Any) -> dict[str, Any]:
    """A request class in the names of WIRE."""
    usual = {"Group": "all", "LateWorth": 0.0, "Stream": False, "WindowUs": 5000000}
    times = {"DeadlineUs": deadline_ms * 1000, "GoalTimeUs": aim_ms * 1000}
    return {"Name": name, "Effect": effect, "Gain": gain} | times | usual | more


def run_case(
    play: Callable[[Record, Path], Coroutine[Any, Any, int]], here: Path, record_name: str = "record.txt"
) -> int:
    """Play a case in a temporary folder, write its record, and return its exit code."""
    record = Record(here / record_name)
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(asyncio.wait_for(play(record, Path(folder)), 100))
        except (CannotRunError, TimeoutError, OSError) as problem:
            record(f"the case could not run: {problem!r}")
            code = NOT_RUN
    record(f"exit code {code}")
    return code
