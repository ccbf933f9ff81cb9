"""A TCP proxy between two nodes whose network faults can be set while it runs: one for each directed pair of nodes.

This module knows network faults and frame boundaries, and nothing else of the traffic. Memory is bounded, because a
proxy stops reading from a direction that is cut or slow.
"""

import asyncio
import random
from collections.abc import Callable

CHUNK_BYTES = 16_384
MAX_QUEUED_CHUNKS = 64  # for each direction of a connection
MAX_CONNECTIONS = 256
MAX_FRAME_BYTES = 1 << 21
POLL_S = 0.005  # interval at which a changed fault is noticed


class LinkProxy:
    """A listening loopback port that forwards to a target, with faults that may be set at any time.

    `cut_forward`, `cut_back`: bytes and ends of connections are held back in this direction while it is set. While
    either is set, a new connection is accepted but not forwarded. `refuse`: all connections are closed, new ones at
    once. `delay_ms` and `rate_bytes_s` (0: unlimited) apply to each direction. `duplicate`: the probability that a
    frame of the forward direction is sent twice; the first frame (a Hello) never is.
    """

    def __init__(self, target: tuple[str, int], seed: int = 0) -> None:
        self.target = target
        self.cut_forward = self.cut_back = False
        self.delay_ms = 0.0
        self.rate_bytes_s = 0
        self.duplicate = 0.0
        self.port = 0
        self.doubled = 0  # frames that were sent twice
        self._refuse = False
        self._rng = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def refuse(self) -> bool:
        """Whether all connections are closed and new ones refused."""
        return self._refuse

    @refuse.setter
    def refuse(self, refuse: bool) -> None:
        self._refuse = refuse
        if refuse:
            self.reset()

    def draw_duplicate(self) -> bool:
        """Draw whether the next frame is sent twice."""
        is_duplicated = self._rng.random() < self.duplicate
        self.doubled += is_duplicated
        return is_duplicated

    async def start(self) -> None:
        """Listen on a free port, which is then in `port`."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, limit=CHUNK_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Abort all connections; the faults stay as they are."""
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._refuse or len(self._tasks) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        task = asyncio.get_running_loop().create_task(self._forward_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until both directions have ended or one has failed."""
        writers = [writer]
        try:
            while self.cut_forward or self.cut_back:
                await asyncio.sleep(POLL_S)
            target_reader, target_writer = await asyncio.open_connection(*self.target, limit=CHUNK_BYTES)
            writers.append(target_writer)
            async with asyncio.TaskGroup() as directions:
                directions.create_task(
                    self._forward(reader, target_writer, lambda: self.cut_forward, FrameDuplicator(self))
                )
                directions.create_task(self._forward(target_reader, writer, lambda: self.cut_back, None))
        except* OSError:
            pass
        finally:
            for end in writers:
                end.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_cut: Callable[[], bool],
        duplicator: "FrameDuplicator | None",
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        loop = asyncio.get_running_loop()

        async def read() -> None:
            data = b"-"
            while data:
                try:
                    data = await reader.read(CHUNK_BYTES)
                except OSError:
                    data = b""
                await queue.put((loop.time() + self.delay_ms / 1000, data))

        async def write() -> None:
            data = b"-"
            while data:
                due_s, data = await queue.get()
                while loop.time() < due_s or is_cut():
                    await asyncio.sleep(POLL_S)
                out = data if duplicator is None else duplicator.process(data)
                if out:
                    writer.write(out)
                    await writer.drain()
                    if self.rate_bytes_s:
                        await asyncio.sleep(len(out) / self.rate_bytes_s)
            if writer.can_write_eof():
                writer.write_eof()

        async with asyncio.TaskGroup() as directions:
            directions.create_task(read())
            directions.create_task(write())


class FrameDuplicator:
    """Splits a byte stream into frames and repeats some of them."""

    def __init__(self, link: LinkProxy) -> None:
        self._link = link
        self._buffer = bytearray()
        self._frame_count = 0
        self._is_raw = False  # the stream has no frames, so all bytes pass unchanged

    def process(self, data: bytes) -> bytes:
        """Return the bytes to write for these; empty input is the end of the stream and flushes the buffer."""
        self._buffer += data
        out = bytearray()
        while len(self._buffer) >= 4 and not self._is_raw:
            size = 4 + int.from_bytes(self._buffer[:4], "big")
            self._is_raw = size > MAX_FRAME_BYTES
            if self._is_raw or len(self._buffer) < size:
                break
            frame = bytes(self._buffer[:size])
            del self._buffer[:size]
            out += frame
            if self._frame_count and self._link.draw_duplicate():
                out += frame
            self._frame_count += 1
        if self._is_raw or not data:
            out += self._buffer
            self._buffer.clear()
        return bytes(out)
