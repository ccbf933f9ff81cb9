"""Whoever else may come to a node's fleet port: those with a wrong word, and one who looks at the registers."""

import asyncio
import contextlib
import os
from typing import Self

import msgspec

from oatlink.fleet import envelope
from oatlink.fleet import messages as m
from oatlink.fleet.leases.observer import Lease
from oatlink.fleet.shell.transport import Transport
from tests.fleet.life_world import SECRET, World

KEY = envelope.derive_key(SECRET)


class Stranger:
    """A connection to a fleet port that has its challenge, and has said nothing yet."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, met: envelope.Challenge) -> None:
        self.reader, self.writer, self.met = reader, writer, met
        self._seal: envelope.Seal | None = None
        self._frames = 0

    @classmethod
    async def at(cls, port: int) -> Self:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        size = int.from_bytes(await reader.readexactly(4), "big")
        met = envelope.read_challenge(await reader.readexactly(size))
        assert met is not None
        return cls(reader, writer, met)

    def send(self, data: bytes) -> "Stranger":
        self.writer.write(data)
        return self

    def hello(self, node: str, version: int = m.VERSION, key: bytes = KEY, incarnation: int = 77) -> bytes:
        """A greeting, right but for what is given."""
        self._seal = envelope.Seal(key, self.met.nonce, node, incarnation)
        return self.frame(envelope.encode(envelope.Hello(version, node, incarnation, self.met.fleet, self.met.node)))

    def frame(self, body: bytes) -> bytes:
        """The next frame."""
        assert self._seal is not None
        self._frames += 1
        return self._seal.seal(self._frames - 1, body)

    async def closed(self, dribble: bytes = b"") -> None:
        """Wait until the other end has closed; meanwhile say `dribble`, a byte a second."""
        end = asyncio.ensure_future(self._end())
        try:
            async with asyncio.timeout(60):
                for at in range(len(dribble)):
                    if end.done():
                        break
                    self.writer.write(dribble[at : at + 1])
                    await asyncio.wait({end}, timeout=1)
                await end
        finally:
            end.cancel()
            self.close()

    async def _end(self) -> None:
        with contextlib.suppress(OSError):
            while await self.reader.read(4_096):
                pass

    def close(self) -> None:
        self.writer.transport.abort()


class Tap:
    """A way to a node's fleet port that keeps what went in on its first connection."""

    def __init__(self, target: int) -> None:
        self._target = target
        self.taken = bytearray()
        self._first = True
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """The port by which it is reached."""
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.transport.abort()
            return
        keeps, self._first = self._first, False

        async def one_way(source: asyncio.StreamReader, sink: asyncio.StreamWriter, keep: bool) -> None:
            while data := await source.read(16_384):
                if keep:
                    self.taken += data
                sink.write(data)
            sink.transport.abort()

        with contextlib.suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(one_way(reader, back, keeps), one_way(there, writer, False))
        for one in (writer, back):
            one.transport.abort()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class Witness:
    """Takes the place of the node `g3` and looks at one register again and again."""

    def __init__(self, world: World, key: str) -> None:
        self._key = key
        self._keepers = world.fleet(3).keepers
        self._incarnation = int.from_bytes(os.urandom(6), "big")
        self._links = Transport(world.fleet(3), self._incarnation, self._heard, lambda event, text: None, 3)
        self._looking: asyncio.Task[None] | None = None
        self.leases: dict[tuple[str, bool], int] = {}  # all that was seen: the node, and whether it had given it back

    def start(self) -> "Witness":
        self._links.bind()
        self._links.start()
        self._looking = asyncio.ensure_future(self._look())
        return self

    async def _look(self) -> None:
        number = 0
        while True:
            number += 1
            for one in self._keepers:
                self._links.send(one, m.Look(self._key, m.Ballot(number, "g3", self._incarnation)))
            await asyncio.sleep(0.02)

    def _heard(self, sender: str, message: m.AnyMessage) -> None:
        if isinstance(message, m.Looked) and message.record.value:
            lease = msgspec.msgpack.decode(message.record.value, type=Lease)
            seen = lease.node, lease.released
            self.leases[seen] = max(message.record.fence, self.leases.get(seen, 0))

    async def stop(self) -> None:
        if self._looking is not None:
            self._looking.cancel()
        await self._links.close()
