"""The clients of a scenario: open-loop clients, crowds that send at one instant, floods, and polling operators."""

import asyncio
import contextlib
import itertools
import random
import time

from tornado.iostream import IOStream, StreamClosedError

from oatlink.gateway.links import connect
from oatlink.lab.days.commands import CommandFactory
from oatlink.lab.days.world import World, now_us
from oatlink.protocols.resp import ReplyReader, command

SHARES = (("view", 0.62, 4), ("check", 0.1, 2), ("own", 0.14, 3), ("post", 0.14, 3))
"""Kind of client, its share of the request rate, and its number of clients at each gateway."""
MAX_PENDING = 32  # requests of one open-loop client


class Clients:
    """Runs all clients; every byte that they send or receive is recorded."""

    def __init__(self, world: World, commands: CommandFactory) -> None:
        self._world, self._commands = world, commands
        self._burst_tasks: list[asyncio.Task[None]] = []

    def start(self) -> list["asyncio.Task[None]"]:
        """Start the open-loop clients; each task ends when its client does."""
        scenario = self._world.scenario
        rate = scenario.rate / scenario.gateways
        return [
            asyncio.ensure_future(
                self._run_open_loop_client(f"client-{kind}-{gateway}-{number}", kind, port, rate * share / count)
            )
            for gateway, port in enumerate(self._world.ports)
            for kind, share, count in SHARES
            for number in range(count)
        ]

    async def wait_for_bursts(self) -> None:
        """Wait until all clients of crowds and floods have ended."""
        await asyncio.gather(*self._burst_tasks)

    async def _run_open_loop_client(self, place: str, kind: str, port: int, rate: float) -> None:
        """Send at random times whether or not replies are pending, with at most `MAX_PENDING` requests pending."""
        world, rng = self._world, random.Random(f"{self._world.seed}/{place}")
        stream = await connect(f"127.0.0.1:{port}", 5)
        reader, pending = ReplyReader(), 0
        replied = asyncio.Event()

        async def receive() -> None:
            nonlocal pending
            with contextlib.suppress(StreamClosedError):
                while True:
                    reader.feed(await world.receive(place, stream))
                    while reader.take() is not None:
                        pending -= 1
                        replied.set()

        async def send(data: bytes) -> None:
            nonlocal pending
            pending += 1
            await world.send(place, stream, data)

        receiver = asyncio.ensure_future(receive())
        await send(command("CLIENT", "SETNAME", f"{kind}-{place.split('-', 2)[2]}"))
        due_s = time.monotonic() + rng.expovariate(rate)
        try:
            while due_s < world.end_s:
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                while pending >= MAX_PENDING and not stream.closed():
                    replied.clear()
                    await replied.wait()
                await send(self._commands.next_command(kind, place, rng))
                due_s += rng.expovariate(rate)
            deadline_s = time.monotonic() + 3.5
            while pending > 0 and time.monotonic() < deadline_s and not stream.closed():
                await asyncio.sleep(0.02)
        except StreamClosedError:
            pass
        await asyncio.sleep(0.1)  # so that a surplus reply would still be recorded
        receiver.cancel()
        stream.close()

    # ---- Crowds and floods ----

    async def start_crowd(self, number: int, size: int) -> None:
        """Connect `size` clients, then let all of them send one request at the same instant."""
        go, kinds = asyncio.Event(), ("view", "view", "view", "check", "own", "post")
        for index in range(size):
            place = f"client-{kinds[index % 6]}-{index % len(self._world.ports)}-crowd{number}.{index}"
            self._burst_tasks.append(asyncio.ensure_future(self._run_crowd_client(place, index, go)))
        await asyncio.sleep(size / 2_000)
        go.set()

    def start_flood(self, number: int, depth: int, seconds: float) -> None:
        """Keep `depth` commands pending on each of eight connections of one client."""
        end_s = time.monotonic() + seconds
        for index in range(8):
            place = f"client-view-{index % len(self._world.ports)}-flood{number}.{index}"
            self._burst_tasks.append(asyncio.ensure_future(self._run_flood_client(place, index, depth, end_s)))

    async def _run_crowd_client(self, place: str, index: int, go: asyncio.Event) -> None:
        world = self._world
        kind, rng = place.split("-")[1], random.Random(f"{world.seed}/{place}")
        await asyncio.sleep(index / 3_000)
        with contextlib.suppress(StreamClosedError):
            stream = await connect(f"127.0.0.1:{world.ports[index % len(world.ports)]}", 5)
            reader = ReplyReader()
            await world.send(place, stream, command("CLIENT", "SETNAME", f"{kind}-{place.split('-', 2)[2]}"))
            await self._read_replies(place, stream, reader, 1)
            await go.wait()
            await world.send(place, stream, self._commands.next_command(kind, place, rng))
            await self._read_replies(place, stream, reader, 1)
            await asyncio.sleep(0.2)
            stream.close()

    async def _run_flood_client(self, place: str, index: int, depth: int, end_s: float) -> None:
        world = self._world
        rng = random.Random(f"{world.seed}/{place}")
        with contextlib.suppress(StreamClosedError):
            stream = await connect(f"127.0.0.1:{world.ports[index % len(world.ports)]}", 5)
            reader = ReplyReader()
            await world.send(place, stream, command("CLIENT", "SETNAME", f"view-{place.split('-', 2)[2]}"))
            await self._read_replies(place, stream, reader, 1)
            while time.monotonic() < end_s:
                await world.send(
                    place, stream, b"".join(self._commands.next_command("view", place, rng) for _ in range(depth))
                )
                await self._read_replies(place, stream, reader, depth)
            stream.close()

    async def _read_replies(self, place: str, stream: IOStream, reader: ReplyReader, count: int) -> None:
        """Read `count` replies, or those that arrive within 5 s."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5):
                while count:
                    while count and reader.take() is not None:
                        count -= 1
                    if count:
                        reader.feed(await self._world.receive(place, stream))


async def poll_gateway(port: int, interval_s: float) -> None:
    """Poll the status commands of a gateway in turn, as an operator does, until cancelled."""
    stream = await connect(f"127.0.0.1:{port}", 5)
    reader = ReplyReader()
    try:
        for number in itertools.count():
            await stream.write(command(("MEMBERS", "BANKS", "SESSIONS", "ELECTIONS")[number % 4]))
            while reader.take() is None:
                reader.feed(await stream.read_bytes(65_536, partial=True))
            await asyncio.sleep(interval_s)
    finally:
        stream.close()


class LagMonitor:
    """Measures how late this process runs, so that a report shows when the harness itself was too slow."""

    def __init__(self) -> None:
        self.worst_ms = 0.0
        self.lags: list[tuple[int, float]] = []  # time in microseconds, and the lag if above 20 ms

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            start_s = time.monotonic()
            await asyncio.sleep(0.02)
            lag_ms = (time.monotonic() - start_s - 0.02) * 1000
            self.worst_ms = max(self.worst_ms, lag_ms)
            if lag_ms > 20 and len(self.lags) < 10_000:
                self.lags.append((now_us(), lag_ms))
