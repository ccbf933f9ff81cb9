"""A link between two nodes that can be made bad while it runs: one proxy for each directed pair.

What may live here: faults of a network, and nothing of what crosses it but where its frames end. Memory is bounded: a
direction that is not let through, or is slow, is not read on.
"""

import asyncio
import random
from collections.abc import Callable

CHUNK = 16_384
MOST_CHUNKS = 64  # under way in one direction of one connection
MOST_CONNECTIONS = 256
MOST_FRAME = 1 << 21
STEP_S = 0.005  # how soon a fault that is set or taken back is noticed


class LinkProxy:
    """One listening port of loopback that leads to a target, with faults that may be set at any time.

    `cut_forward`, `cut_back`: bytes, ends of connections included, stay under way while it is set; with either, no new
    connection comes about, and none is refused. `refuse`: all connections are closed, new ones at once. `delay_ms` and
    `rate_bytes_s` (0: any) hold for each direction. `duplicate`: how probably a whole frame of the forward direction
    comes twice, the first one (a Hello) never.
    """

    def __init__(self, target: tuple[str, int], seed: int = 0) -> None:
        self.target = target
        self.cut_forward = self.cut_back = False
        self.delay_ms = 0.0
        self.rate_bytes_s = 0
        self.duplicate = 0.0
        self.port = 0
        self.doubled = 0  # frames
        self._refuse = False
        self._draws = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def refuse(self) -> bool:
        """Whether connections are closed and refused."""
        return self._refuse

    @refuse.setter
    def refuse(self, on: bool) -> None:
        self._refuse = on
        if on:
            self.reset()

    def draw(self) -> bool:
        """Whether the next frame comes twice."""
        twice = self._draws.random() < self.duplicate
        self.doubled += twice
        return twice

    async def start(self) -> None:
        """Listen; `port` is known from then on."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0, limit=CHUNK)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Close all connections at once; faults stay as they are."""
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._refuse or len(self._tasks) >= MOST_CONNECTIONS:
            writer.transport.abort()
            return
        task = asyncio.get_running_loop().create_task(self._carry(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, until both directions have ended or one has broken."""
        ends = [writer]
        try:
            while self.cut_forward or self.cut_back:
                await asyncio.sleep(STEP_S)
            there, back = await asyncio.open_connection(*self.target, limit=CHUNK)
            ends.append(back)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pass(reader, back, lambda: self.cut_forward, Doubling(self)))
                both.create_task(self._pass(there, writer, lambda: self.cut_back, None))
        except* OSError:
            pass
        finally:
            for one in ends:
                one.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_cut: Callable[[], bool],
        doubling: "Doubling | None",
    ) -> None:
        under_way: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MOST_CHUNKS)
        loop = asyncio.get_running_loop()

        async def take() -> None:
            data = b"-"
            while data:
                try:
                    data = await reader.read(CHUNK)
                except OSError:
                    data = b""
                await under_way.put((loop.time() + self.delay_ms / 1000, data))

        async def give() -> None:
            data = b"-"
            while data:
                due, data = await under_way.get()
                while loop.time() < due or is_cut():
                    await asyncio.sleep(STEP_S)
                out = data if doubling is None else doubling.through(data)
                if out:
                    writer.write(out)
                    await writer.drain()
                    if self.rate_bytes_s:
                        await asyncio.sleep(len(out) / self.rate_bytes_s)
            if writer.can_write_eof():
                writer.write_eof()

        async with asyncio.TaskGroup() as both:
            both.create_task(take())
            both.create_task(give())


class Doubling:
    """Finds where frames end, and lets some of them through twice."""

    def __init__(self, link: LinkProxy) -> None:
        self._link = link
        self._held = bytearray()
        self._frames = 0
        self._raw = False  # no frames: all is let through as it comes

    def through(self, data: bytes) -> bytes:
        """What is written for these bytes; none are the end, where what is held goes too."""
        self._held += data
        out = bytearray()
        while len(self._held) >= 4 and not self._raw:
            size = 4 + int.from_bytes(self._held[:4], "big")
            self._raw = size > MOST_FRAME
            if self._raw or len(self._held) < size:
                break
            frame = bytes(self._held[:size])
            del self._held[:size]
            out += frame
            if self._frames and self._link.draw():
                out += frame
            self._frames += 1
        if self._raw or not data:
            out += self._held
            self._held.clear()
        return bytes(out)
