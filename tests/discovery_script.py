"""A scripted discovery that answers only what a test writes, and the gateway's calls to it."""

import asyncio
import contextlib
import json
import socket
import struct
from dataclasses import dataclass

from oatlink.interface import Listing
from oatlink.platform.discovery import Discovery, News

PATIENCE_S = 20.0
WHOLE = "/v1/endpoints"


def page(version: int, full: bool = True, indent: int | None = None, **states: str) -> bytes:
    """Return an answer's body; `states` maps server ids to their states."""
    entries = [{"id": name, "addr": "127.0.0.1:6432", "state": state} for name, state in states.items()]
    return json.dumps({"version": version, "full": full, "servers": entries}, indent=indent).encode()


def answer(body: bytes, status: str = "200 OK", length: int | None = None) -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body) if length is None else length}\r\n\r\n".encode() + body


def unbounded(body: bytes) -> bytes:
    """Return an answer without a length: it ends with the connection."""
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body


def whole(version: int, **states: str) -> bytes:
    return answer(page(version, True, None, **states))


def changes(version: int, **states: str) -> bytes:
    return answer(page(version, False, None, **states))


@dataclass(eq=False)
class Call:
    """A call that discovery has received."""

    path: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def end(self, data: bytes = b"") -> None:
        """Write the data and close the connection in an orderly way."""
        self.writer.write(data)
        self.writer.close()
        with contextlib.suppress(ConnectionError):
            await self.writer.wait_closed()

    def reset(self) -> None:
        """Close the connection with a reset, behind what was written before."""
        sock: socket.socket = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the gateway has closed the connection."""
        with contextlib.suppress(ConnectionError):
            await asyncio.wait_for(self.reader.read(), PATIENCE_S)


class Script:
    """A discovery that does nothing by itself, the client under test, and the news that the client passes on."""

    def __init__(self, wait_s: float = PATIENCE_S, call_s: float = PATIENCE_S) -> None:
        self._calls: asyncio.Queue[Call] = asyncio.Queue()
        self._open: list[asyncio.StreamWriter] = []
        self.news: asyncio.Queue[News | None] = asyncio.Queue()
        self.lines: list[str] = []
        self.client = Discovery(("127.0.0.1", 1), wait_s, self.news.put_nowait, self.lines.append, call_s)

    async def __aenter__(self) -> "Script":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.client.address = self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        self._server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"GET ") and b"\r\nConnection: close\r\n" in head
            self._calls.put_nowait(Call(head.split()[1].decode(), reader, writer))

    async def call(self) -> Call:
        """Return the next call."""
        return await asyncio.wait_for(self._calls.get(), PATIENCE_S)

    @property
    def has_no_calls(self) -> bool:
        """Whether there is no call but those that the test has taken."""
        return self._calls.empty()

    async def follow(self, version: int = 0, fetch: bool = False) -> Call:
        """Start a watch, from `version` on if given, and with `fetch` a whole-list call; return the first call."""
        self.client.version = version or self.client.version
        self.client.follow()
        if fetch:
            self.client.fetch()
        return await self.call()

    async def follow_and_fetch(self, version: int = 0) -> tuple[Call, Call]:
        """Start a watch from `version` on and a whole-list call at once; return the calls in this order."""
        first, second = await self.follow(version, fetch=True), await self.call()
        return (second, first) if first.path == WHOLE else (first, second)

    async def fetch(self) -> Call:
        """Start a whole-list call and return it."""
        self.client.fetch()
        return await self.call()

    async def next_news(self, call: Call | None = None, data: bytes = b"") -> tuple[int, set[str]] | None:
        """Return the next news as its version and the ids of draining servers; None for a failed call.

        If a call is given, it is ended with `data` first.
        """
        if call is not None:
            await call.end(data)
        self.last = await asyncio.wait_for(self.news.get(), PATIENCE_S)
        if self.last is None:
            return None
        return self.last.version, {server.id for server in self.last.servers if server.listing is Listing.TERMINATING}

    async def wait_for_line(self, text: str) -> None:
        """Wait for a log line that contains a text."""
        async with asyncio.timeout(PATIENCE_S):
            while not any(text in line for line in self.lines):
                await asyncio.sleep(0.005)
