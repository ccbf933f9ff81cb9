"""Gateways before stand-ins, all in this process, and plain clients: what tests on sockets open."""

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from oatlink.core import messages as m
from oatlink.gateway.listeners import listen
from oatlink.gateway.server import Gateway
from oatlink.lab.embedded import Embedded
from oatlink.protocols import resp
from oatlink.settings import Settings
from oatlink.standins.box import Box, WorkProfile


class Wire:
    """A plain client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.replies = reader, writer, resp.ReplyReader()

    @classmethod
    async def open(cls, port: int) -> "Wire":
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def ask(self, *words: str | int) -> resp.Value:
        self.writer.write(resp.command(*words))
        return await self.reply()

    async def reply(self) -> resp.Value:
        """The next answer."""
        while (frame := self.replies.take()) is None:
            data = await self.reader.read(65_536)
            if not data:
                raise ConnectionError
            self.replies.feed(data)
        return resp.decode(frame)


def started(settings: Settings, **links: int) -> tuple[Gateway, int]:
    """A gateway on a free port, and the port."""
    settings = msgspec.structs.replace(settings, links=msgspec.structs.replace(settings.links, **links))
    sockets = listen("127.0.0.1:0")
    one = Gateway(settings)
    one.start(sockets)
    return one, sockets[0].getsockname()[1]


Input = TypeVar("Input")


def given_to(gateway: Gateway, kind: type[Input]) -> list[Input]:
    """Every input of a kind that the gateway is fed from now on."""
    found, feed = list[Input](), gateway.feed

    def watched(given: m.AnyInput) -> None:
        if isinstance(given, kind):
            found.append(given)
        feed(given)

    gateway.feed = watched  # type: ignore[method-assign]
    return found


def program(*words: str) -> tuple[subprocess.Popen[str], str]:
    """`oatlink` in a process of its own, and the first line that it says."""
    process = subprocess.Popen(
        [sys.executable, "-m", "oatlink", *words], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    assert process.stdout is not None
    return process, process.stdout.readline()


@dataclass
class Served:
    """A gateway before stand-ins."""

    embedded: Embedded
    gateway: Gateway
    port: int

    @property
    def primary(self) -> Box:
        return self.embedded.boxes["box-0-0"]

    async def wire(self) -> Wire:
        return await Wire.open(self.port)


@contextlib.asynccontextmanager
async def served(
    members: int,
    *,
    paths: bool = False,
    work: WorkProfile | None = None,
    before: Callable[[Embedded], None] = lambda _: None,
    links: dict[str, int] | None = None,
) -> AsyncIterator[Served]:
    """One bank of so many boxes; what is done `before` the gateway starts; changes to the gateway's links."""
    embedded = Embedded(1, members, 1, work=work, paths=paths)
    end = await embedded.start()
    before(embedded)
    gateway, port = started(embedded.settings(0, log_level="error"), **(links or {}))
    try:
        yield Served(embedded, gateway, port)
    finally:
        await gateway.stop()
        end()
