"""A discovery that answers nothing but what a test writes, and a gateway's calls to it."""

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
    """An answer's body; a server's state by its name."""
    entries = [{"id": name, "addr": "127.0.0.1:6432", "state": state} for name, state in states.items()]
    return json.dumps({"version": version, "full": full, "servers": entries}, indent=indent).encode()


def answer(body: bytes, status: str = "200 OK", length: int | None = None) -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body) if length is None else length}\r\n\r\n".encode() + body


def unbounded(body: bytes) -> bytes:
    """An answer that only the connection's end ends."""
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body


def whole(version: int, **states: str) -> bytes:
    return answer(page(version, True, None, **states))


def changes(version: int, **states: str) -> bytes:
    return answer(page(version, False, None, **states))


@dataclass(eq=False)
class Call:
    """A call that discovery has got."""

    path: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def end(self, data: bytes = b"") -> None:
        """Write and close in order."""
        self.writer.write(data)
        self.writer.close()
        with contextlib.suppress(ConnectionError):
            await self.writer.wait_closed()

    def reset(self) -> None:
        """Close with a reset: what was written before is on its way."""
        sock: socket.socket = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def let_go(self) -> None:
        """Wait until the other side has closed."""
        with contextlib.suppress(ConnectionError):
            await asyncio.wait_for(self.reader.read(), PATIENCE_S)


class Script:
    """A discovery that does nothing by itself, a gateway's calls to it, and what the gateway hears."""

    def __init__(self, wait_s: float = PATIENCE_S, call_s: float = PATIENCE_S) -> None:
        self._calls: asyncio.Queue[Call] = asyncio.Queue()
        self._open: list[asyncio.StreamWriter] = []
        self.news: asyncio.Queue[News | None] = asyncio.Queue()
        self.lines: list[str] = []
        self.one = Discovery(("127.0.0.1", 1), wait_s, self.news.put_nowait, self.lines.append, call_s)

    async def __aenter__(self) -> "Script":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.one.address = self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.one.close()
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
        """The next call."""
        return await asyncio.wait_for(self._calls.get(), PATIENCE_S)

    @property
    def quiet(self) -> bool:
        """No call but those the test has taken."""
        return self._calls.empty()

    async def follows(self, version: int = 0, fetch: bool = False) -> Call:
        """The first call of a watch from this version on, if there is one; asking for the whole list, too."""
        self.one.version = version or self.one.version
        self.one.follow()
        if fetch:
            self.one.fetch()
        return await self.call()

    async def both(self, version: int = 0) -> tuple[Call, Call]:
        """Two calls asked for at once: the first of a watch from this version on, and that for the whole list."""
        one, other = await self.follows(version, fetch=True), await self.call()
        return (other, one) if one.path == WHOLE else (one, other)

    async def fetches(self) -> Call:
        """The call for the whole list."""
        self.one.fetch()
        return await self.call()

    async def hears(self, call: Call | None = None, data: bytes = b"") -> tuple[int, set[str]] | None:
        """The version and who drains by what is heard next, after this end of a call; None: a call has failed."""
        if call is not None:
            await call.end(data)
        self.last = await asyncio.wait_for(self.news.get(), PATIENCE_S)
        if self.last is None:
            return None
        return self.last.version, {one.id for one in self.last.servers if one.listing is Listing.TERMINATING}

    async def noted(self, text: str) -> None:
        """Wait for a line of the log."""
        async with asyncio.timeout(PATIENCE_S):
            while not any(text in line for line in self.lines):
                await asyncio.sleep(0.005)
