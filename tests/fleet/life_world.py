"""A small fleet for tests of whole lives: gateways are real processes, the stand-in banks and all links are here.

Verdicts never rest on how fast the machine is. What must come about is waited for, with a limit that only a fault
reaches; what must never be (more admitted than was allowed) is reckoned from moments on either side of each act.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from bisect import insort
from collections.abc import AsyncIterator, Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from oatlink.fleet.limits.shards import shard_of
from oatlink.fleet.shell.files import NAME
from oatlink.fleet.shell.history import BEGIN
from oatlink.lab.embedded import Embedded, port_of, reserve
from oatlink.lab.fleet.links import Links
from oatlink.protocols.resp import ReplyReader, command, decode
from oatlink.settings.fleet import Fleet

PATIENCE_S = 60.0
RATE, BURST, FLOOR, DRIFT = 200.0, 60.0, 0.3, 0.001
TENANT = "shop"
HOME = f"limits/{shard_of(f'tenant/{TENANT}')}"  # the register of the home's lease, and its row
SECRET = b"f" * 40
FAIR = (b"$", b"-TRYAGAIN ", b"-ERR failed: ")  # of a gateway that ends, has stood still, or has too much to do
SABOTAGE = Path(__file__).with_name("life_sabotage.py")


async def until(done: Callable[[], bool]) -> None:
    """Wait for it. Raises `TimeoutError`."""
    async with asyncio.timeout(PATIENCE_S):
        while not done():
            await asyncio.sleep(0.05)


class Client:
    """One connection to a gateway: a client's, or an operator's."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._from, self._to, self._reader = reader, writer, ReplyReader()

    @classmethod
    async def to(cls, port: int, name: str = "") -> "Client":
        one = cls(*await asyncio.open_connection("127.0.0.1", port))
        if name:
            await one.ask("CLIENT", "SETNAME", name)
        return one

    async def ask(self, *words: str) -> bytes:
        """One command and its whole answer. Raises `OSError` where the gateway has gone."""
        self._to.write(command(*words))
        async with asyncio.timeout(PATIENCE_S):
            while (frame := self._reader.take()) is None:
                if not (data := await self._from.read(65_536)):
                    raise ConnectionResetError
                self._reader.feed(data)
        return bytes(frame)

    def close(self) -> None:
        self._to.transport.abort()


class Served(NamedTuple):
    """One request of the tenant: asked for and answered when, in seconds, by which gateway, and whether admitted."""

    sent: float
    got: float
    node: str
    admitted: bool


def most_over(served: Iterable[Served], rate: float, burst: float, looks: int = 40) -> float:
    """By how many requests the worst window is over what was allowed in it; not above 0 where none is.

    An act lies between asking and answer. So what was asked for after `a` and answered before `b` was admitted between
    the two, and `burst + rate (b - a)` bounds it whatever the machine did meanwhile. `looks`: how many `a` are tried.
    """
    done = sorted((one for one in served if one.admitted), reverse=True)  # by when they were asked for
    worst = float("-inf")
    answers: list[float] = []
    for at, one in enumerate(done):
        insort(answers, one.got)
        if at % (len(done) // looks + 1) == 0 or at == len(done) - 1:
            found = (n + 1 - burst - rate * (1 + DRIFT) * (got - one.sent) for n, got in enumerate(answers))
            worst = max(worst, max(found))
    return worst


class Gateway:
    """One gateway, over all the processes that bear its name one after the other."""

    def __init__(self, name: str, port: int, admin: int, file: Path, state: Path) -> None:
        self.name, self.port, self.admin, self.file, self.state = name, port, admin, file, state
        self.lines: list[tuple[str, str]] = []  # event and text of each line in the log
        self.raw: list[str] = []  # whatever else came on stderr
        self.process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    async def start(self, sabotage: str = "") -> "Gateway":
        """Start it, and wait until it serves."""
        words = [str(SABOTAGE), sabotage, str(self.file)] if sabotage else ["-m", "oatlink", "gateway", str(self.file)]
        pipe = asyncio.subprocess.PIPE
        env = dict(os.environ, PYTHONPATH=os.pathsep.join([one for one in sys.path if one] or ["."]))
        self.process = await asyncio.create_subprocess_exec(sys.executable, *words, stdout=pipe, stderr=pipe, env=env)
        assert self.process.stdout is not None and self.process.stderr is not None
        self._reading = asyncio.ensure_future(self._read(self.process.stderr))
        async with asyncio.timeout(PATIENCE_S):
            line = await self.process.stdout.readline()
        assert line.startswith(b"ready "), (line, self.raw)
        return self

    async def _read(self, stderr: asyncio.StreamReader) -> None:
        while line := await stderr.readline():
            try:
                found = json.loads(line)
                self.lines.append((found["event"], found.get("text", "")))
            except ValueError:
                self.raw.append(line.decode("utf-8", "replace"))

    def said(self, event: str) -> list[str]:
        """The texts of all lines on one event."""
        return [text for one, text in self.lines if one == event]

    async def told(self, event: str, least: int = 1) -> list[str]:
        """The same, once there are so many: a line may be read a little later than what came after it."""
        await until(lambda: len(self.said(event)) >= least)
        return self.said(event)

    def send(self, what: signal.Signals) -> None:
        os.kill(self.pid, what)

    async def ended(self) -> int:
        """Its exit code, once it has ended and all that it wrote was read."""
        assert self.process is not None and self._reading is not None
        async with asyncio.timeout(PATIENCE_S):
            code = await self.process.wait()
            await self._reading
        return code

    async def end(self, what: signal.Signals = signal.SIGTERM) -> int:
        self.send(what)
        return await self.ended()

    async def rows(self) -> dict[str, str]:
        """What operators are told of the fleet."""
        one = await Client.to(self.admin)
        try:
            value = decode(await one.ask("FLEET"))
        finally:
            one.close()
        assert isinstance(value, bytes), value
        pairs = (line.partition(": ") for line in value.decode().split("\n"))
        return {name: text for name, _, text in pairs}

    async def shows(self, fits: Callable[[dict[str, str]], bool]) -> dict[str, str]:
        """Wait until its rows are so."""
        async with asyncio.timeout(PATIENCE_S):
            while not fits(rows := await self.rows()):
                await asyncio.sleep(0.02)
        return rows

    async def counts(self, **least: int) -> dict[str, int]:
        """Wait until what its links dropped is at least so much."""
        rows = await self.shows(lambda one: all(counters(one).get(name, 0) >= n for name, n in least.items()))
        return counters(rows)


def counters(rows: dict[str, str]) -> dict[str, int]:
    """What the links of a node did and dropped."""
    return {name: int(n) for name, _, n in (one.partition("=") for one in rows["links"].split())}


class Load:
    """Clients of the tenant at some gateways, each asking again as soon as it may, and one of no tenant at each."""

    def __init__(self, gateways: list[Gateway], clients: int = 4) -> None:
        self.served: list[Served] = []
        self.free: dict[str, int] = {one.name: 0 for one in gateways}  # answers to those of no tenant
        self.wrong: list[tuple[str, bytes]] = []  # answers that nobody should get
        names = ["other", *(f"{TENANT}-{number}" for number in range(1, clients + 1))]
        self._tasks = [asyncio.ensure_future(self._run(one, name)) for one in gateways for name in names]

    async def _run(self, gateway: Gateway, name: str) -> None:
        while True:
            with contextlib.suppress(OSError):
                client = await Client.to(gateway.port, name)
                try:
                    while True:
                        await self._ask(gateway.name, client, name)
                finally:
                    client.close()
            await asyncio.sleep(0.02)  # it is away, or not there yet

    async def _ask(self, node: str, client: Client, name: str) -> None:
        sent = time.monotonic()
        answer = await client.ask("GET", "k")
        got = time.monotonic()
        if not answer.startswith(FAIR) and (name == "other" or not is_refusal(answer)):
            self.wrong.append((node, answer))
        if name == "other":
            self.free[node] += answer[:1] == b"$"
        else:
            self.served.append(Served(sent, got, node, answer[:1] == b"$"))
        await asyncio.sleep(0.012 if answer[:1] == b"$" else 0.03)

    def admitted(self, *nodes: str) -> int:
        """How many requests of the tenant were served, by some gateways or by all."""
        return sum(one.admitted and (not nodes or one.node in nodes) for one in self.served)

    async def goes_on(self, *nodes: str, more: int = 15) -> None:
        """Wait until each of these has served more of both kinds."""
        before = {one: (self.admitted(one), self.free[one]) for one in nodes}
        await until(lambda: all(self.admitted(n) >= a + more and self.free[n] > f for n, (a, f) in before.items()))

    def stop(self) -> None:
        for one in self._tasks:
            one.cancel()


def is_refusal(answer: bytes) -> bool:
    """Whether an answer says no for the quota, and when to come again."""
    head, _, tail = answer.partition(b"retry after ")
    return head.startswith(b"-QUOTA ") and tail.endswith(b" ms\r\n") and 0 < int(tail[:-5]) <= 5_000


class World:
    """Stand-ins, links and gateways: keepers `g0` to `g2`, and a plain node `g3`. A test starts those it needs."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(exist_ok=True)
        self.folder = folder
        self.banks = Embedded(1, 3, 5)
        self._held = [reserve() for _ in range(15)]
        ports = [port_of(one) for one in self._held]
        self.ports, self._spare = ports[:4], ports[12:14]
        self.more_port = ports[14]  # where no node listens
        self.changed: dict[int, dict[str, Any]] = {}  # what is otherwise in the fleet part of some
        self.wires = Links(self.ports, 5)
        self.key = folder / "key"
        self.key.touch(mode=0o600)
        self.key.write_bytes(SECRET)
        self.made: list[Gateway] = []
        self.loads: list[Load] = []
        self._places = list(zip(ports[4:8], ports[8:12], strict=True))

    def part(self, at: int, **more: Any) -> dict[str, Any]:
        """The fleet part of a node's settings."""
        addresses = [f"127.0.0.1:{port}" for port in self.ports]
        nodes = [{"name": f"g{n}", "address": one, "keeper": n < 3} for n, one in enumerate(addresses)]
        tenant = {"name": TENANT, "match": {"client_names": [f"{TENANT}-*"]}}
        return {
            "node": f"g{at}",
            "nodes": nodes,
            "key_files": [str(self.key)],
            "state_dir": str(self.folder / f"state-{at}"),
            "drift": DRIFT,
            "tenants": [{**tenant, "rate": RATE, "burst": BURST, "floor": FLOOR}],
            "routes": {f"g{to}": f"127.0.0.1:{port}" for to, port in self.wires.routes(at).items()},
            **self.changed.get(at, {}),
            **more,
        }

    def fleet(self, at: int) -> Fleet:
        """The same, as the gateway reads it."""
        return msgspec.convert(self.part(at), Fleet)

    def gateway(self, at: int, *, spare: bool = False, fleet: bool = True, **more: Any) -> Gateway:
        """Gateway `at`, not started; `spare`: for clients it listens elsewhere than the one that has the place."""
        port, admin = self._spare if spare else self._places[at]
        file = self.folder / f"gateway-{at}{'-spare' if spare else ''}.jsonnet"
        part = f"fleet: {json.dumps(self.part(at, **more))}" if fleet else ""
        own = f"admin_listen: '127.0.0.1:{admin}', peers: 4, seed: {at + 1}, logs: {{ level: 'info', form: 'json' }}"
        file.write_text(self.banks.template(port, more=f"{{ {own}, {part} }}"))
        self.made.append(Gateway(f"g{at}", port, admin, file, self.folder / f"state-{at}"))
        return self.made[-1]

    async def started(self, *numbers: int, sabotage: str = "") -> list[Gateway]:
        """Gateways that serve; the keepers among them vote, where all three are there."""
        made = [self.gateway(at) for at in numbers]
        found = list(await asyncio.gather(*(one.start(sabotage) for one in made)))
        if {0, 1, 2} <= {*numbers}:
            await asyncio.gather(*(one.shows(lambda rows: rows["keeper"] == "votes") for one in found[:3]))
        return found

    async def stop(self) -> None:
        """End what makes requests, then the gateways."""
        for load in self.loads:
            load.stop()
        for one in self.made:
            if one.process is not None:
                if one.process.returncode is None:
                    one.send(signal.SIGKILL)
                await one.ended()

    def free(self) -> None:
        """Let go of the ports."""
        for one in self._held:
            one.close()

    def load(self, *gateways: Gateway, clients: int = 4) -> Load:
        self.loads.append(Load([*gateways], clients))
        return self.loads[-1]


@contextlib.asynccontextmanager
async def lived() -> AsyncIterator[World]:
    """A world. At its end no gateway has a fault in its log, nothing was over, no answer was wrong."""
    async with contextlib.AsyncExitStack() as at_end:
        world = World(Path(at_end.enter_context(tempfile.TemporaryDirectory())))
        at_end.callback(world.free)
        at_end.callback(await world.banks.start())
        at_end.push_async_callback(world.wires.stop)
        await world.wires.start()
        at_end.push_async_callback(world.stop)
        yield world
        for one in world.made:
            assert not one.raw and not one.said("fault"), (one.name, one.raw, one.said("fault"))
        wrong = [one for load in world.loads for one in load.wrong]
        assert not wrong, wrong[:3]
        over = most_over((one for load in world.loads for one in load.served), RATE, BURST, 400)
        assert over <= 0, f"{over:.1f} requests over the quota"


lived.most_s = 300.0  # type: ignore[attr-defined]  # nodes that begin, end and wait for terms


def home_of(rows: dict[str, str]) -> str:
    """The node that is taken for the home of the tenant's quota, by one node's rows."""
    return rows[HOME]


def own_over(load: Load, node: str, since: float = 0.0) -> float:
    """By how much a node was over its floor in the worst window since then: above 0 it had a grant."""
    own = [one for one in load.served if one.node == node and one.sent >= since]
    return most_over(own, RATE * FLOOR / 4, BURST * FLOOR / 4) if own else 0.0


async def home(gateways: list[Gateway], *but: str) -> Gateway:
    """The gateway that all take for the home of the tenant's quota, once it is none of these."""
    found = ""
    for one in gateways:
        rows = await one.shows(lambda rows: home_of(rows) not in ("unknown", *but))
        found = home_of(rows)
    return next(one for one in gateways if one.name == found)


def others(gateways: list[Gateway], one: Gateway) -> list[Gateway]:
    return [each for each in gateways if each is not one]


def flipped_in_the_middle(at: Gateway) -> None:
    data = bytearray((at.state / NAME).read_bytes())
    data[(BEGIN + len(data)) // 2] ^= 1
    (at.state / NAME).write_bytes(data)
