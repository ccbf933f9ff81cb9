"""Clients that may lose their gateway: they go to another one, and come back when a refusal says so."""

import asyncio
import contextlib
import random
import re
import time
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError

from oatlink.gateway.links import DialError, connect
from oatlink.lab.days.world import World
from oatlink.lab.fleet.parts import node_name
from oatlink.protocols.resp import ReplyReader, command

BACK = re.compile(rb"retry after (\d+) ms")
MOST_OUT = 4  # replies owed at most, before the next command is sent
BEHIND_S = 2.0  # what it would have sent longer ago, while it waited to come back, is given up
Where = Callable[[], int]
"""At which gateway a client would be now."""


class Spread:
    """An uneven spread of clients over the gateways that is another one in each phase."""

    def __init__(self, seed: int, gateways: int, phase_s: float) -> None:
        self._seed, self._gateways, self._phase_s = seed, gateways, phase_s
        self._begin_s = time.monotonic()
        self._found: dict[str, tuple[int, int]] = {}  # client: phase, gateway

    def where(self, client: str) -> int:
        """The gateway of a client now."""
        phase = int((time.monotonic() - self._begin_s) / self._phase_s)
        known = self._found.get(client)
        if known is not None and known[0] == phase:
            return known[1]
        order = list(range(self._gateways))
        random.Random(f"{self._seed}/phase/{phase}").shuffle(order)
        weights = [1 / (rank + 1) for rank in range(self._gateways)]
        gateway = random.Random(f"{self._seed}/{client}/{phase}").choices(order, weights)[0]
        self._found[client] = phase, gateway
        return gateway


@dataclass(frozen=True, slots=True)
class Batch:
    """What is sent at once, and how many replies come."""

    data: bytes
    replies: int = 1


Next = Callable[[str, random.Random], Batch]
"""The next thing that a client at a place asks for."""


class Roamer:
    """One client: open-loop at `rate` a second but for refusals, a place of its own for each connection."""

    def __init__(self, world: World, base: str, name: str, rate: float, where: Where, ask: Next) -> None:
        """`base`: `client-KIND-...`; `name`: what it calls itself."""
        self._world, self._base, self._name, self._rate = world, base, name, rate
        self._where, self._ask = where, ask
        self._rng = random.Random(f"{world.seed}/{base}")
        self.end_s = float("inf")  # leaves then, where the day has not ended before
        self._number = 0
        self._due = self._back = 0.0
        self._owed = 0
        self._room = asyncio.Event()

    async def run(self) -> None:
        """Until the day ends."""
        self._due = time.monotonic() + self._rng.expovariate(self._rate)
        world, count = self._world, len(self._world.ports)
        self.end_s = min(self.end_s, world.end_s)
        while time.monotonic() < self.end_s:
            wanted = self._where()
            for offset in range(count):
                at = (wanted + offset) % count
                try:
                    stream = await connect(f"127.0.0.1:{world.ports[at]}", 2)
                except DialError:
                    continue
                self._number += 1
                place = f"{self._base}.{self._number}"
                world.capture.set_gateway(place, 1, node_name(at))
                receiver = asyncio.ensure_future(self._receive(place, stream))
                try:
                    await self._talk(place, stream, wanted)
                except StreamClosedError:
                    await asyncio.sleep(0.05)
                finally:
                    receiver.cancel()
                    stream.close()
                break
            else:
                await asyncio.sleep(0.1)

    async def _talk(self, place: str, stream: IOStream, wanted: int) -> None:
        """Ask until the day ends, the stream does, or it is time to be elsewhere. Raises `StreamClosedError`."""
        rng = self._rng
        self._owed = 0
        await self._send(place, stream, Batch(command("CLIENT", "SETNAME", self._name)))
        while self._due < self.end_s and self._where() == wanted:
            now = time.monotonic()
            self._due = max(self._due, now - BEHIND_S)
            wait = min(max(self._due, self._back), self.end_s) - now
            if wait > 0:
                await asyncio.sleep(min(wait, 0.25))
            elif self._owed >= MOST_OUT:
                self._room.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.25):
                        await self._room.wait()
            else:
                await self._send(place, stream, self._ask(place, rng))
                self._due += rng.expovariate(self._rate)
            if stream.closed():
                raise StreamClosedError
        # It leaves only what owes it nothing; a gateway that stands still is waited for.
        end = time.monotonic() + 8
        while self._owed > 0 and time.monotonic() < end and not stream.closed():
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.05)  # an answer too many would still be seen

    async def _send(self, place: str, stream: IOStream, batch: Batch) -> None:
        self._owed += batch.replies
        await self._world.send(place, stream, batch.data)

    async def _receive(self, place: str, stream: IOStream) -> None:
        reader = ReplyReader()
        with contextlib.suppress(StreamClosedError):
            while True:
                reader.feed(await self._world.receive(place, stream))
                while (frame := reader.take()) is not None:
                    self._owed -= 1
                    self._room.set()
                    if frame.startswith(b"-") and (back := BACK.search(frame)):
                        self._back = max(self._back, time.monotonic() + int(back[1]) / 1000)
