"""Gateways in front of stand-in servers, all in this process, and plain clients, for tests on sockets."""

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
    """A plain client without a client library."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.replies = reader, writer, resp.ReplyReader()

    @classmethod
    async def open(cls, port: int) -> "Wire":
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def ask(self, *words: str | int) -> resp.Value:
        """Send a command and return its answer."""
        self.writer.write(resp.command(*words))
        return await self.reply()

    async def reply(self) -> resp.Value:
        """Return the next answer."""
        while (frame := self.replies.take()) is None:
            data = await self.reader.read(65_536)
            if not data:
                raise ConnectionError
            self.replies.feed(data)
        return resp.decode(frame)


def start_gateway(settings: Settings, **links: int) -> tuple[Gateway, int]:
    """Start a gateway on a free port, with changed link settings. Returns it and the port."""
    settings = msgspec.structs.replace(settings, links=msgspec.structs.replace(settings.links, **links))
    sockets = listen("127.0.0.1:0")
    gateway = Gateway(settings)
    gateway.start(sockets)
    return gateway, sockets[0].getsockname()[1]


Input = TypeVar("Input")


def record_inputs(gateway: Gateway, kind: type[Input]) -> list[Input]:
    """Return a list that collects every input of one kind that the gateway is fed from now on."""
    inputs, feed = list[Input](), gateway.feed

    def feed_and_record(given: m.AnyInput) -> None:
        if isinstance(given, kind):
            inputs.append(given)
        feed(given)

    gateway.feed = feed_and_record  # type: ignore[method-assign]
    return inputs


def start_program(*words: str) -> tuple[subprocess.Popen[str], str]:
    """Start `oatlink` in its own process. Returns the process and the first line that it prints."""
    process = subprocess.Popen(
        [sys.executable, "-m", "oatlink", *words], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    assert process.stdout is not None
    return process, process.stdout.readline()


@dataclass
class Served:
    """A running gateway in front of stand-in servers."""

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
    """Run a gateway in front of one bank of `members` boxes.

    `before` is called before the gateway starts; `links` changes the gateway's link settings.
    """
    embedded = Embedded(1, members, 1, work=work, paths=paths)
    stop_servers = await embedded.start()
    before(embedded)
    gateway, port = start_gateway(embedded.settings(0, log_level="error"), **(links or {}))
    try:
        yield Served(embedded, gateway, port)
    finally:
        await gateway.stop()
        stop_servers()
