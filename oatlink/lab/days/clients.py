"""The clients of a day: open-loop ones, those of a crowd that ask at one instant, floods, and operators."""

import asyncio
import contextlib
import itertools
import random
import time

from tornado.iostream import IOStream, StreamClosedError

from oatlink.gateway.links import connect
from oatlink.lab.days.commands import Commands
from oatlink.lab.days.world import World, now_us
from oatlink.protocols.resp import ReplyReader, command

SHARES = (("view", 0.62, 4), ("check", 0.1, 2), ("own", 0.14, 3), ("post", 0.14, 3))
"""Kind, its share of the rate, its clients at each gateway."""


class Clients:
    """All clients; every byte of theirs is kept."""

    def __init__(self, world: World, commands: Commands) -> None:
        self._world, self._commands = world, commands
        self._crowds: list[asyncio.Task[None]] = []

    def begin(self) -> list["asyncio.Task[None]"]:
        """Begin the open-loop clients; each task ends with its client."""
        scenario = self._world.scenario
        rate = scenario.rate / scenario.gateways
        return [
            asyncio.ensure_future(self._client(f"client-{kind}-{at}-{number}", kind, port, rate * share / count))
            for at, port in enumerate(self._world.ports)
            for kind, share, count in SHARES
            for number in range(count)
        ]

    async def over(self) -> None:
        """Until the last of the crowds has gone."""
        await asyncio.gather(*self._crowds)

    async def _client(self, place: str, kind: str, port: int, rate: float) -> None:
        """An open-loop client: it sends when it is time to, whatever is still unanswered, at most 32 at once."""
        world, rng = self._world, random.Random(f"{self._world.seed}/{place}")
        stream = await connect(f"127.0.0.1:{port}", 5)
        reader, owed = ReplyReader(), 0
        room = asyncio.Event()

        async def receive() -> None:
            nonlocal owed
            with contextlib.suppress(StreamClosedError):
                while True:
                    reader.feed(await world.hear(place, stream))
                    while reader.take() is not None:
                        owed -= 1
                        room.set()

        async def send(data: bytes) -> None:
            nonlocal owed
            owed += 1
            await world.say(place, stream, data)

        receiver = asyncio.ensure_future(receive())
        await send(command("CLIENT", "SETNAME", f"{kind}-{place.split('-', 2)[2]}"))
        due = time.monotonic() + rng.expovariate(rate)
        try:
            while due < world.end_s:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                while owed >= 32 and not stream.closed():
                    room.clear()
                    await room.wait()
                await send(self._commands.next(kind, place, rng))
                due += rng.expovariate(rate)
            end = time.monotonic() + 3.5
            while owed > 0 and time.monotonic() < end and not stream.closed():
                await asyncio.sleep(0.02)
        except StreamClosedError:
            pass
        await asyncio.sleep(0.1)  # an answer too many would still be seen
        receiver.cancel()
        stream.close()

    # ---- Crowds and floods ----

    async def gather_crowd(self, number: int, size: int) -> None:
        """Connect them all beforehand; then they ask at once."""
        start, kinds = asyncio.Event(), ("view", "view", "view", "check", "own", "post")
        for at in range(size):
            place = f"client-{kinds[at % 6]}-{at % len(self._world.ports)}-crowd{number}.{at}"
            self._crowds.append(asyncio.ensure_future(self._one_of_crowd(place, at, start)))
        await asyncio.sleep(size / 2_000)
        start.set()

    def flood(self, number: int, depth: int, seconds: float) -> None:
        """Eight connections of one client, with so many commands out on each all the while."""
        end_s = time.monotonic() + seconds
        for at in range(8):
            place = f"client-view-{at % len(self._world.ports)}-flood{number}.{at}"
            self._crowds.append(asyncio.ensure_future(self._flood(place, at, depth, end_s)))

    async def _one_of_crowd(self, place: str, at: int, start: asyncio.Event) -> None:
        world = self._world
        kind, rng = place.split("-")[1], random.Random(f"{world.seed}/{place}")
        await asyncio.sleep(at / 3_000)
        with contextlib.suppress(StreamClosedError):
            stream = await connect(f"127.0.0.1:{world.ports[at % len(world.ports)]}", 5)
            reader = ReplyReader()
            await world.say(place, stream, command("CLIENT", "SETNAME", f"{kind}-{place.split('-', 2)[2]}"))
            await self._hear(place, stream, reader, 1)
            await start.wait()
            await world.say(place, stream, self._commands.next(kind, place, rng))
            await self._hear(place, stream, reader, 1)
            await asyncio.sleep(0.2)
            stream.close()

    async def _flood(self, place: str, at: int, depth: int, end_s: float) -> None:
        world = self._world
        rng = random.Random(f"{world.seed}/{place}")
        with contextlib.suppress(StreamClosedError):
            stream = await connect(f"127.0.0.1:{world.ports[at % len(world.ports)]}", 5)
            reader = ReplyReader()
            await world.say(place, stream, command("CLIENT", "SETNAME", f"view-{place.split('-', 2)[2]}"))
            await self._hear(place, stream, reader, 1)
            while time.monotonic() < end_s:
                await world.say(place, stream, b"".join(self._commands.next("view", place, rng) for _ in range(depth)))
                await self._hear(place, stream, reader, depth)
            stream.close()

    async def _hear(self, place: str, stream: IOStream, reader: ReplyReader, count: int) -> None:
        """Read so many replies, or as many as come within 5 s."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5):
                while count:
                    while count and reader.take() is not None:
                        count -= 1
                    if count:
                        reader.feed(await self._world.hear(place, stream))


async def operate(port: int, every_s: float) -> None:
    """One who asks a gateway again and again what it believes, until cancelled."""
    stream = await connect(f"127.0.0.1:{port}", 5)
    reader = ReplyReader()
    try:
        for number in itertools.count():
            await stream.write(command(("MEMBERS", "BANKS", "SESSIONS", "ELECTIONS")[number % 4]))
            while reader.take() is None:
                reader.feed(await stream.read_bytes(65_536, partial=True))
            await asyncio.sleep(every_s)
    finally:
        stream.close()


class Watch:
    """How late this process runs: a harness that is itself too slow must say so."""

    def __init__(self) -> None:
        self.worst_ms = 0.0
        self.times: list[tuple[int, float]] = []  # when it was late by more than 20 ms, and by how much

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.02)
            late_ms = (time.monotonic() - at - 0.02) * 1000
            self.worst_ms = max(self.worst_ms, late_ms)
            if late_ms > 20 and len(self.times) < 10_000:
                self.times.append((now_us(), late_ms))
