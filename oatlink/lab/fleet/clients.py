"""Clients that change gateways: when theirs is lost or the spread changes. They obey the retry times of refusals."""

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
from oatlink.lab.fleet.settings import node_name
from oatlink.protocols.resp import ReplyReader, command

RETRY_AFTER = re.compile(rb"retry after (\d+) ms")
MAX_PENDING = 4  # replies that may be pending when the next batch is sent
MAX_BEHIND_S = 2.0  # requests that fell due longer ago, while a retry time was obeyed, are dropped
ChooseGateway = Callable[[], int]
"""Returns the gateway that a client prefers now."""


class ClientSpread:
    """An uneven spread of clients over the gateways, which is drawn anew in each phase."""

    def __init__(self, seed: int, gateways: int, phase_s: float) -> None:
        self._seed, self._gateways, self._phase_s = seed, gateways, phase_s
        self._start_s = time.monotonic()
        self._choices: dict[str, tuple[int, int]] = {}  # client: phase, gateway

    def gateway_of(self, client: str) -> int:
        """Return the present gateway of a client."""
        phase = int((time.monotonic() - self._start_s) / self._phase_s)
        choice = self._choices.get(client)
        if choice is not None and choice[0] == phase:
            return choice[1]
        order = list(range(self._gateways))
        random.Random(f"{self._seed}/phase/{phase}").shuffle(order)
        weights = [1 / (rank + 1) for rank in range(self._gateways)]
        gateway = random.Random(f"{self._seed}/{client}/{phase}").choices(order, weights)[0]
        self._choices[client] = phase, gateway
        return gateway


@dataclass(frozen=True, slots=True)
class Batch:
    """Commands that are sent at once, and the number of their replies."""

    data: bytes
    replies: int = 1


MakeBatch = Callable[[str, random.Random], Batch]
"""Returns the next batch of the client with this place."""


class RoamingClient:
    """An open-loop client with `rate` batches a second, except while it obeys a refusal's retry time.

    Each of its connections has a place of its own.
    """

    def __init__(
        self, world: World, base: str, name: str, rate: float, choose_gateway: ChooseGateway, make_batch: MakeBatch
    ) -> None:
        """`base` is `client-KIND-...`, the prefix of its places; `name` is the client name that it sends."""
        self._world, self._base, self._name, self._rate = world, base, name, rate
        self._choose_gateway, self._make_batch = choose_gateway, make_batch
        self._rng = random.Random(f"{world.seed}/{base}")
        self.end_s = float("inf")  # monotonic time of its end, if the run does not end before
        self._connection_count = 0
        self._due_s = self._retry_at_s = 0.0
        self._pending = 0
        self._replied = asyncio.Event()

    async def run(self) -> None:
        """Run until the end of the run or of this client."""
        self._due_s = time.monotonic() + self._rng.expovariate(self._rate)
        world, count = self._world, len(self._world.ports)
        self.end_s = min(self.end_s, world.end_s)
        while time.monotonic() < self.end_s:
            preferred = self._choose_gateway()
            for offset in range(count):
                gateway = (preferred + offset) % count
                try:
                    stream = await connect(f"127.0.0.1:{world.ports[gateway]}", 2)
                except DialError:
                    continue
                self._connection_count += 1
                place = f"{self._base}.{self._connection_count}"
                world.capture.set_gateway(place, 1, node_name(gateway))
                receiver = asyncio.ensure_future(self._receive(place, stream))
                try:
                    await self._send_batches(place, stream, preferred)
                except StreamClosedError:
                    await asyncio.sleep(0.05)
                finally:
                    receiver.cancel()
                    stream.close()
                break
            else:
                await asyncio.sleep(0.1)

    async def _send_batches(self, place: str, stream: IOStream, preferred: int) -> None:
        """Send batches until the end, or until another gateway is preferred. Raises `StreamClosedError`."""
        rng = self._rng
        self._pending = 0
        await self._send(place, stream, Batch(command("CLIENT", "SETNAME", self._name)))
        while self._due_s < self.end_s and self._choose_gateway() == preferred:
            now = time.monotonic()
            self._due_s = max(self._due_s, now - MAX_BEHIND_S)
            wait = min(max(self._due_s, self._retry_at_s), self.end_s) - now
            if wait > 0:
                await asyncio.sleep(min(wait, 0.25))
            elif self._pending >= MAX_PENDING:
                self._replied.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.25):
                        await self._replied.wait()
            else:
                await self._send(place, stream, self._make_batch(place, rng))
                self._due_s += rng.expovariate(self._rate)
            if stream.closed():
                raise StreamClosedError
        # Waits for the pending replies before it disconnects, also from a gateway that is halted.
        deadline_s = time.monotonic() + 8
        while self._pending > 0 and time.monotonic() < deadline_s and not stream.closed():
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.05)  # so that a surplus reply would still be recorded

    async def _send(self, place: str, stream: IOStream, batch: Batch) -> None:
        self._pending += batch.replies
        await self._world.send(place, stream, batch.data)

    async def _receive(self, place: str, stream: IOStream) -> None:
        reader = ReplyReader()
        with contextlib.suppress(StreamClosedError):
            while True:
                reader.feed(await self._world.receive(place, stream))
                while (frame := reader.take()) is not None:
                    self._pending -= 1
                    self._replied.set()
                    if frame.startswith(b"-") and (retry_after := RETRY_AFTER.search(frame)):
                        self._retry_at_s = max(self._retry_at_s, time.monotonic() + int(retry_after[1]) / 1000)
