"""A planned day of trouble: gateways in processes of their own, stand-ins and clients here, all on loopback.

The clients and the stand-ins record every byte on their sockets; `oatlink.audit` judges from that alone. A
schedule is data: `{at: share of the day, do: what, ...}`, so that any sort of trouble can be pushed through.
"""

import asyncio
import contextlib
import itertools
import os
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta
from tornado.iostream import IOStream, StreamClosedError

from oatlink.audit.capture import Capture
from oatlink.audit.judge import Judge, Terms, Verdict
from oatlink.gateway.links import connect
from oatlink.lab.embedded import HALLS, Embedded, port_of, reserve
from oatlink.protocols.resp import Array, ReplyReader, command, decode
from oatlink.settings.load import decode_file
from oatlink.standins.box import Box, PathFaults, Work

COLD_SHARE, WARM_S = 0.2, 3.0
STALENESS_MS = 500
GRACE_US = 2_000_000
KEYS = 24


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One thing that happens. `box` may be a name, `primary:BANK` or `replica:BANK`; `hall` a number.

    `crowd`: `value` connections at all gateways together ask at the same instant, each once, over all classes.
    From `silence` on, what happens happens to one address of the box, `path`: see `standins.box.PathFaults`.
    `flood`: one client with eight connections, `value` commands out on each all the while, until `back` has passed.
    """

    at: Annotated[float, Meta(ge=0, le=1)]
    do: Literal[
        "lag",
        "hang",
        "slow",
        "cut",
        "die_on_write",
        "crash",
        "start",
        "drain",
        "ready",
        "remove",
        "hand_over",
        "lose_hall",
        "return_hall",
        "crowd",
        "flood",
        "silence",
        "deafen",
        "refuse",
        "slow_path",
        "lose_answers",
        "reset_requests",
        "reset_replies",
    ]
    box: str = ""
    path: str = ""  # which of the box's addresses: `unix`, `ipv6`, or empty for its first
    bank: int = 0
    hall: int = 0
    value: float = 0.0
    back: float = 0.0  # share of the day after which it is undone; 0: not


PATHS = ("silence", "deafen", "refuse", "slow_path", "lose_answers", "reset_requests", "reset_replies")


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A schedule, the fleet and the load it is played with."""

    steps: tuple[Step, ...]
    banks: Annotated[int, Meta(gt=0, le=16)] = 2
    members: Annotated[int, Meta(gt=0, le=16)] = 3
    gateways: Annotated[int, Meta(gt=0, le=16)] = 2
    rate: Annotated[float, Meta(gt=0)] = 160.0
    work_ms: Annotated[float, Meta(gt=0)] = 4.0
    paths: bool = False  # boxes are also reached by Unix sockets and IPv6


def _losses() -> tuple[Step, ...]:
    """The address in use, lost in every way, again and again, at primaries and replicas."""
    steps = []
    for at in range(12):
        box = ("primary:0", "replica:0", "primary:1")[at % 3]
        do, value, back = (("silence", 0.0, 0.035), ("reset_replies", 3.0, 0.0))[at % 2]
        steps.append(Step(0.06 + 0.06 * at, do, box=box, path="unix", value=value, back=back))  # type: ignore[arg-type]
    steps.append(Step(0.80, "deafen", box="primary:0", path="unix", back=0.05))
    steps.append(Step(0.84, "lose_answers", box="primary:1", path="unix", back=0.05))
    steps.append(Step(0.90, "refuse", box="replica:0", path="unix", back=0.04))
    return tuple(steps)


SCENARIOS = {
    "quiet": Scenario(()),
    "trouble": Scenario(
        (
            Step(0.06, "lag", box="replica:0", value=1_500, back=0.2),
            Step(0.15, "die_on_write", box="primary:1", back=0.15),
            Step(0.36, "hang", box="primary:0", back=0.12),
            Step(0.52, "drain", box="replica:1", back=0.14),
            Step(0.58, "crash", box="replica:0", back=0.02),
            Step(0.68, "lose_hall", hall=1, back=0.08),
            Step(0.80, "cut", box="replica:0", value=2),
            Step(0.82, "cut", box="primary:1", value=2),
            Step(0.86, "hand_over", bank=0),
            Step(0.90, "slow", box="replica:1", value=4, back=0.08),
        )
    ),
    "lag": Scenario(
        (
            Step(0.1, "lag", box="replica:0", value=2_000, back=0.7),
            Step(0.2, "lag", box="replica:1", value=900, back=0.6),
        )
    ),
    "elections": Scenario(
        (
            Step(0.1, "die_on_write", box="primary:0", back=0.2),
            Step(0.2, "die_on_write", box="primary:1", back=0.2),
            Step(0.5, "hand_over", bank=0),
            Step(0.6, "hand_over", bank=1),
            Step(0.7, "hang", box="primary:0", back=0.15),
        )
    ),
    "drains": Scenario(
        (
            Step(0.1, "drain", box="replica:0", back=0.3),
            Step(0.2, "drain", box="primary:1", back=0.4),
            Step(0.6, "remove", box="replica:0", back=0.3),
        )
    ),
    "crowd": Scenario(
        (
            Step(0.08, "crowd", value=600),
            Step(0.20, "lag", box="replica:0", value=1_500, back=0.5),
            Step(0.24, "crowd", value=1_200),
            Step(0.40, "die_on_write", box="primary:1", back=0.2),
            Step(0.42, "crowd", value=1_200),
            Step(0.46, "flood", value=24, back=0.2),
            Step(0.52, "crowd", value=1_000),
            Step(0.72, "hand_over", bank=0),
            Step(0.73, "crowd", value=1_200),
        ),
        work_ms=2.0,
    ),
    "lost-address": Scenario(_losses(), paths=True),
    "cold": Scenario(
        (
            Step(0.1, "crash", box="replica:0", back=0.04),
            Step(0.4, "crash", box="replica:1", back=0.04),
            Step(0.6, "lose_hall", hall=2, back=0.05),
        ),
        rate=260.0,
    ),
}


def load_scenario(name: str) -> Scenario:
    """A built-in scenario by name, else a Jsonnet file. Raises `SettingsError`."""
    return SCENARIOS[name] if name in SCENARIOS else decode_file(name, Scenario)


@dataclass(slots=True)
class Report:
    """What came of a day."""

    verdict: Verdict
    elections: int = 0
    steps: list[str] = field(default_factory=list)
    gateway_codes: list[int] = field(default_factory=list)
    lag_of_harness_ms: float = 0.0

    def as_json(self) -> dict[str, object]:
        """The documented JSON."""
        verdict = self.verdict
        share = verdict.bounded_at_replicas / verdict.bounded_reads if verdict.bounded_reads else 0.0
        return {
            "requests": verdict.requests,
            "served": verdict.served,
            "refused": verdict.refused,
            "failed": verdict.failed,
            "unanswered": verdict.unanswered,
            "answered_twice": verdict.answered_twice,
            "ran_twice": verdict.ran_twice,
            "stale_reads": verdict.stale_reads,
            "stalest_us": verdict.stalest_us,
            "late": verdict.late,
            "bounded_reads": verdict.bounded_reads,
            "bounded_at_replicas": round(share, 3),
            "slowest_served_post_us": verdict.slowest_served_post_us,
            "in_time": {name: round(verdict.in_time[name] / count, 3) for name, count in verdict.asked.items()},
            "elections": self.elections,
            "steps": self.steps,
            "harness_lag_ms": round(self.lag_of_harness_ms, 1),
            "gateway_exit_codes": self.gateway_codes,
            "violations": verdict.violations(),
            "examples": {rule: found[:3] for rule, found in verdict.broken.items() if found},
        }


def _now() -> int:
    return time.monotonic_ns() // 1000


class Day:
    """One run."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        seconds: float,
        command_line: list[str] | None = None,
        record_to: str = "",
        ask_every_s: float = 0.0,
    ) -> None:
        self._record_to, self._ask_every_s = record_to, ask_every_s
        self.scenario, self.seed, self.seconds = scenario, seed, seconds
        self._command = command_line or [sys.executable, "-m", "oatlink", "gateway"]
        self._random = random.Random(seed)
        self._capture = Capture()
        work_us = int(scenario.work_ms * 1000)
        self._work = Work(work_us, work_us, 4, COLD_SHARE, WARM_S)
        self._embedded = Embedded(
            scenario.banks, scenario.members, seed, work=self._work, tap=self._tap, paths=scenario.paths
        )
        self._reserved = [reserve() for _ in range(2 * scenario.gateways)]
        self._ports = [port_of(one) for one in self._reserved[: scenario.gateways]]
        self._admin_ports = [port_of(one) for one in self._reserved[scenario.gateways :]]
        self._gateways: list[asyncio.subprocess.Process] = []
        self._tokens = 0
        self._crowds: list[asyncio.Task[None]] = []
        self._stop_us = 0
        self._steps: list[str] = []
        self._worst_lag = 0.0

    def _tap(self, box: str, connection: int, way: str, data: bytes) -> None:
        self._capture.add(_now(), box, connection, way == "out", data)

    async def run(self) -> Report:
        """Play the day and judge it."""
        with tempfile.TemporaryDirectory(prefix="oatlink-day-") as folder:
            self._roster = Path(folder) / "roster.json"
            end = await self._embedded.start()
            for box in self._embedded.boxes.values():
                box._started_s -= WARM_S  # the day begins with a warm fleet
            self._write_roster()
            try:
                await self._start_gateways(Path(folder))
                await self._play()
                final = await self._final()
                codes = await self._stop_gateways()
            finally:
                for one in self._gateways:
                    if one.returncode is None:
                        with contextlib.suppress(ProcessLookupError):
                            one.kill()
                for held in self._reserved:
                    held.close()
                end()
        terms = Terms(
            classes={
                "view": ("bounded", 2_000_000, STALENESS_MS * 1000),
                "check": ("latest", 1_500_000, 0),
                "own": ("session", 2_000_000, 0),
                "post": ("latest", 3_000_000, 0),
            },
            harness_us=int(self._worst_lag * 1000),
            grace_us=GRACE_US,
            fall_us=1_000_000,
            factor=4.0,
            work_us=self._work.read_us,
            cores=self._work.cores,
            cold_share=COLD_SHARE,
            warm_us=int(WARM_S * 1e6),
        )
        verdict = Judge(self._capture, terms, self._stop_us).judge(final)
        if any(codes):
            verdict.broken["one_answer"].append(f"gateways ended with {codes}")
        return Report(verdict, sum(one.elections for one in self._embedded.banks), self._steps, codes, self._worst_lag)

    # ---- Gateways ----

    def _template(self, at: int, folder: Path) -> str:
        more = f"""{{
  classes: [
    {{ name: 'price-post', freshness: 'write', effect: 'keyed', aim_ms: 1000, deadline_ms: 3000, worth: 6,
      late_worth: 0.3, repeat_window_ms: 2000, wait_replicas: 1, wait_ms: 500, match: {{ commands: ['xadd'] }} }},
    {{ name: 'price-check', freshness: 'latest', effect: 'idempotent', aim_ms: 600, deadline_ms: 1500, worth: 1,
      late_worth: 0.2, match: {{ client_names: ['check*', 'post*'] }} }},
    {{ name: 'own-read', freshness: 'session', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000, worth: 2,
      match: {{ client_names: ['own*'] }} }},
    {{ name: 'price-view', freshness: 'bounded', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000, worth: 2,
      staleness_ms: {STALENESS_MS}, match: {{ client_names: ['view*'] }} }},
    {{ name: 'log', freshness: 'write', effect: 'unsafe', aim_ms: 1000, deadline_ms: 3000, worth: 3,
      late_worth: 0.5, wait_replicas: 1, wait_ms: 500 }},
  ],
  peers: {self.scenario.gateways}, seed: {self.seed * 100 + at}, hall: '{HALLS[at % 3]}',
  admin_listen: '127.0.0.1:{self._admin_ports[at]}', roster_file: '{self._roster}',
  record_file: '{f"{self._record_to}.{at}" if self._record_to else ""}',
  cold: {{ share: {COLD_SHARE}, warm_after_ms: {int(WARM_S * 1000)}, overload_factor: 4.0, fall_ms: 1000 }},
}}"""
        path = folder / f"gateway-{at}.jsonnet"
        path.write_text(self._embedded.template(self._ports[at], log_level="warning", more=more))
        return str(path)

    async def _start_gateways(self, folder: Path) -> None:
        env = dict(os.environ, PYTHONPATH=os.pathsep.join([p for p in sys.path if p] or ["."]))
        for at in range(self.scenario.gateways):
            process = await asyncio.create_subprocess_exec(
                *self._command, self._template(at, folder), stdout=asyncio.subprocess.PIPE, env=env
            )
            self._gateways.append(process)
        for process in self._gateways:
            assert process.stdout is not None
            async with asyncio.timeout(20):
                line = await process.stdout.readline()
            if not line.startswith(b"ready "):
                raise RuntimeError("a gateway did not start")

    async def _stop_gateways(self) -> list[int]:
        for one in self._gateways:
            if one.returncode is None:
                one.send_signal(signal.SIGTERM)
        codes = []
        for one in self._gateways:
            try:
                async with asyncio.timeout(5):
                    codes.append(await one.wait())
            except TimeoutError:
                codes.append(-1)
        return codes

    def _write_roster(self) -> None:
        text = msgspec.json.encode({"banks": self._embedded.roster()})
        temporary = self._roster.with_suffix(".new")
        temporary.write_bytes(text)
        temporary.rename(self._roster)

    # ---- Clients ----

    async def _play(self) -> None:
        rate = self.scenario.rate / self.scenario.gateways
        shares = (("view", 0.62, 4), ("check", 0.1, 2), ("own", 0.14, 3), ("post", 0.14, 3))
        self._end_s = time.monotonic() + self.seconds
        clients = []
        for at, port in enumerate(self._ports):
            for kind, share, count in shares:
                for number in range(count):
                    place = f"client-{kind}-{at}-{number}"
                    clients.append(asyncio.ensure_future(self._client(place, kind, port, rate * share / count)))
        trouble = asyncio.ensure_future(self._trouble())
        watch = asyncio.ensure_future(self._watch_self())
        operators = [asyncio.ensure_future(self._operator(port)) for port in self._admin_ports if self._ask_every_s]
        await asyncio.gather(*clients)
        await asyncio.gather(*self._crowds)
        self._stop_us = _now()
        for one in operators:
            one.cancel()
        trouble.cancel()
        watch.cancel()

    async def _operator(self, port: int) -> None:
        """One who asks a gateway again and again what it believes."""
        stream = await connect(f"127.0.0.1:{port}", 5)
        reader = ReplyReader()
        try:
            for number in itertools.count():
                await stream.write(command(("MEMBERS", "BANKS", "SESSIONS", "ELECTIONS")[number % 4]))
                while reader.take() is None:
                    reader.feed(await stream.read_bytes(65_536, partial=True))
                await asyncio.sleep(self._ask_every_s)
        finally:
            stream.close()

    async def _watch_self(self) -> None:
        """How late this process runs: a harness that is itself too slow must say so."""
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.02)
            self._worst_lag = max(self._worst_lag, (time.monotonic() - at - 0.02) * 1000)

    async def _client(self, place: str, kind: str, port: int, rate: float) -> None:
        """An open-loop client: it sends when it is time to, whatever is still unanswered, at most 32 at once."""
        rng = random.Random(f"{self.seed}/{place}")
        stream = await connect(f"127.0.0.1:{port}", 5)
        reader, owed = ReplyReader(), 0
        room = asyncio.Event()

        async def receive() -> None:
            nonlocal owed
            with contextlib.suppress(StreamClosedError):
                while True:
                    data = await stream.read_bytes(65_536, partial=True)
                    self._capture.add(_now(), place, 1, False, data)
                    reader.feed(data)
                    while reader.take() is not None:
                        owed -= 1
                        room.set()

        async def send(data: bytes) -> None:
            nonlocal owed
            owed += 1
            self._capture.add(_now(), place, 1, True, data)
            await stream.write(data)

        receiver = asyncio.ensure_future(receive())
        await send(command("CLIENT", "SETNAME", f"{kind}-{place.split('-', 2)[2]}"))
        due = time.monotonic() + rng.expovariate(rate)
        try:
            while due < self._end_s:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                while owed >= 32 and not stream.closed():
                    room.clear()
                    await room.wait()
                await send(self._next(kind, place, rng))
                due += rng.expovariate(rate)
            end = time.monotonic() + 3.5
            while owed > 0 and time.monotonic() < end and not stream.closed():
                await asyncio.sleep(0.02)
        except StreamClosedError:
            pass
        await asyncio.sleep(0.1)  # an answer too many would still be seen
        receiver.cancel()
        stream.close()

    def _next(self, kind: str, place: str, rng: random.Random) -> bytes:
        """The next command of a client."""
        self._tokens += 1
        key = f"nav:{rng.randrange(KEYS)}"
        if kind == "own":
            key = f"own:{place}:{rng.randrange(2)}"
        writes = kind == "post" or (kind == "own" and rng.random() < 0.35)
        if not writes:
            return command("XREVRANGE", key, "+", f"0-{self._tokens}", "COUNT", 1)
        token = f"t{self._tokens}"
        if kind == "post" and rng.random() < 0.2:
            return command("RPUSH", f"log:{key}", token)
        return command("XADD", key, "IDMP", place, token, "*", "n", token)

    # ---- Trouble ----

    async def _trouble(self) -> None:
        begin = time.monotonic()
        plan: list[tuple[float, int, Step, list[Box]]] = []
        for number, step in enumerate(self.scenario.steps):
            plan.append((step.at * self.seconds, number, step, []))
        undo: list[tuple[float, int, Step, list[Box]]] = []
        while plan or undo:
            queue = sorted([(one, 0) for one in plan] + [(one, 1) for one in undo], key=lambda one: one[0][:2])
            (at, number, step, boxes), back = queue[0]
            (undo if back else plan).remove(queue[0][0])
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            if back:
                self._undo(step, boxes)
                continue
            touched = await self._do(step, number)
            self._steps.append(f"{at:.1f}s {step.do} {' '.join(one.name for one in touched)}")
            if step.back:
                undo.append((at + step.back * self.seconds, number, step, touched))

    def _find(self, step: Step) -> list[Box]:
        banks = self._embedded.banks
        if step.do in ("lose_hall", "return_hall"):
            return [box for bank in banks for at, box in enumerate(bank.boxes) if at % 3 == step.hall]
        part, _, number = step.box.partition(":")
        if part == "primary":
            found = banks[int(number)].primary
            return [found] if found is not None else []
        if part == "replica":
            bank = banks[int(number)]
            return [
                one
                for one in bank.boxes
                if one.running and not one.is_primary and self._embedded.states.get(one.name, "ready") == "ready"
            ][:1]
        return [self._embedded.boxes[step.box]] if step.box else []

    async def _gather_crowd(self, number: int, size: int) -> None:
        """Connect them all beforehand; then they ask at once."""
        start, kinds = asyncio.Event(), ("view", "view", "view", "check", "own", "post")
        for at in range(size):
            place = f"client-{kinds[at % 6]}-{at % len(self._ports)}-crowd{number}.{at}"
            self._crowds.append(asyncio.ensure_future(self._one_of_crowd(place, at, start)))
        await asyncio.sleep(size / 2_000)
        start.set()

    async def _one_of_crowd(self, place: str, at: int, start: asyncio.Event) -> None:
        kind, rng = place.split("-")[1], random.Random(f"{self.seed}/{place}")
        await asyncio.sleep(at / 3_000)
        with contextlib.suppress(StreamClosedError):
            stream = await connect(f"127.0.0.1:{self._ports[at % len(self._ports)]}", 5)
            reader = ReplyReader()
            await self._say(place, stream, command("CLIENT", "SETNAME", f"{kind}-{place.split('-', 2)[2]}"))
            await self._hear(place, stream, reader, 1)
            await start.wait()
            await self._say(place, stream, self._next(kind, place, rng))
            await self._hear(place, stream, reader, 1)
            await asyncio.sleep(0.2)
            stream.close()

    async def _flood(self, place: str, at: int, depth: int, end_s: float) -> None:
        rng = random.Random(f"{self.seed}/{place}")
        with contextlib.suppress(StreamClosedError):
            stream = await connect(f"127.0.0.1:{self._ports[at % len(self._ports)]}", 5)
            reader = ReplyReader()
            await self._say(place, stream, command("CLIENT", "SETNAME", f"view-{place.split('-', 2)[2]}"))
            await self._hear(place, stream, reader, 1)
            while time.monotonic() < end_s:
                await self._say(place, stream, b"".join(self._next("view", place, rng) for _ in range(depth)))
                await self._hear(place, stream, reader, depth)
            stream.close()

    async def _say(self, place: str, stream: IOStream, data: bytes) -> None:
        self._capture.add(_now(), place, 1, True, data)
        await stream.write(data)

    async def _hear(self, place: str, stream: IOStream, reader: ReplyReader, count: int) -> None:
        """Read so many replies, or as many as come within 5 s."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5):
                while count:
                    while count and reader.take() is not None:
                        count -= 1
                    if count:
                        data = await stream.read_bytes(65_536, partial=True)
                        self._capture.add(_now(), place, 1, False, data)
                        reader.feed(data)

    async def _do(self, step: Step, number: int) -> list[Box]:
        boxes = self._find(step)
        for box in boxes:
            faults = box.faults
            if step.do == "lag":
                faults.lag_ms = step.value
            elif step.do == "hang":
                faults.hang = True
            elif step.do == "slow":
                faults.slow = step.value
            elif step.do == "cut":
                faults.cut_replies = int(step.value)
            elif step.do == "die_on_write":
                faults.die_on_write = True
            elif step.do in PATHS:
                self._harm(box, step)
            elif step.do in ("crash", "lose_hall"):
                self._capture.notice(_now(), box.name, "stopped")
                box.stop()
            elif step.do in ("start", "return_hall"):
                self._start(box)
            elif step.do in ("drain", "remove", "ready"):
                self._tell(box, {"drain": "terminating", "remove": "gone", "ready": "ready"}[step.do])
                bank = next(one for one in self._embedded.banks if box in one.boxes)
                if step.do == "drain" and box.is_primary:
                    await bank.hand_over()
        if step.do == "crowd":
            await self._gather_crowd(number, int(step.value))
        elif step.do == "flood":
            end_s = time.monotonic() + step.back * self.seconds
            for at in range(8):
                place = f"client-view-{at % len(self._ports)}-flood{number}.{at}"
                self._crowds.append(asyncio.ensure_future(self._flood(place, at, int(step.value), end_s)))
        if step.do == "hand_over":
            chosen = await self._embedded.banks[step.bank].hand_over()
            boxes = [chosen] if chosen is not None else []
        return boxes

    def _harm(self, box: Box, step: Step, back: bool = False) -> None:
        """Something happens to one address, or is over."""
        if step.path not in box.paths:
            return
        faults = box.paths[step.path]
        if step.do == "silence":
            faults.silent = not back
            if back:
                box.speak(step.path)
        elif step.do == "deafen":
            faults.deaf = not back
        elif step.do == "lose_answers":
            faults.loses = not back
            box.cut(step.path)
        elif step.do == "slow_path":
            faults.slow_ms = 0.0 if back else step.value
        elif step.do == "reset_requests":
            faults.reset_requests = int(step.value)
        elif step.do == "reset_replies":
            faults.reset_replies = int(step.value)
        elif back and box.running:
            box.listen(step.path)
        elif not back:
            box.refuse(step.path)
            box.cut(step.path)

    def _tell(self, box: Box, state: str) -> None:
        self._embedded.states[box.name] = state
        self._write_roster()
        self._capture.notice(_now(), box.name, {"terminating": "draining"}.get(state, state))

    def _start(self, box: Box) -> None:
        box.faults.die_on_write = False
        if not box.running:
            self._capture.notice(_now(), box.name, "started")
            box.start()

    def _undo(self, step: Step, boxes: list[Box]) -> None:
        for box in boxes:
            if step.do == "lag":
                box.faults.lag_ms = 0
            elif step.do == "hang":
                box.faults.hang = False
            elif step.do == "slow":
                box.faults.slow = 1.0
            elif step.do in PATHS:
                self._harm(box, step, back=True)
            elif step.do in ("die_on_write", "crash", "lose_hall"):
                self._start(box)
            elif step.do in ("drain", "remove"):
                self._tell(box, "ready")
        self._steps.append(f"back: {step.do} {' '.join(one.name for one in boxes)}")

    # ---- The end ----

    async def _final(self) -> dict[bytes, list[bytes]]:
        """All tokens, read from each bank's primary over a socket once the trouble is over."""
        for box in self._embedded.boxes.values():
            box.faults.hang, box.faults.lag_ms, box.faults.die_on_write, box.faults.cut_replies = False, 0, False, 0
            box.faults.slow = 1.0
            for name in box.paths:
                box.paths[name] = PathFaults()
            if not box.running:
                box.start()
        end = time.monotonic() + 8
        found: dict[bytes, list[bytes]] = {}
        for bank in self._embedded.banks:
            while bank.primary is None and time.monotonic() < end:
                await asyncio.sleep(0.05)
            primary = bank.primary
            if primary is None:
                raise RuntimeError(f"{bank.name} has no primary at the end")
            stream = await connect(f"127.0.0.1:{primary.port}", 2)
            reader = ReplyReader()

            async def ask(words: bytes, stream: "object" = stream, reader: ReplyReader = reader) -> Array:
                await stream.write(words)  # type: ignore[attr-defined]
                while (frame := reader.take()) is None:
                    reader.feed(await stream.read_bytes(1 << 20, partial=True))  # type: ignore[attr-defined]
                value = decode(frame)
                assert isinstance(value, Array)
                return value

            for key in (await ask(command("KEYS", "*"))).items:
                assert isinstance(key, bytes)
                if key.startswith(b"log:"):
                    rows = await ask(command("LRANGE", key, 0, -1))
                    found[key] = [one for one in rows.items if isinstance(one, bytes)]
                else:
                    rows = await ask(command("XRANGE", key, "-", "+"))
                    found[key] = [_token(one) for one in rows.items]
            stream.close()
        return found


def _token(entry: object) -> bytes:
    assert isinstance(entry, Array) and isinstance(entry.items[1], Array)
    token = entry.items[1].items[1]
    assert isinstance(token, bytes)
    return token


def play(
    scenario: Scenario,
    seed: int,
    seconds: float,
    command_line: list[str] | None = None,
    record_to: str = "",
    ask_every_s: float = 0.0,
) -> Report:
    """Play and judge one day; with `record_to`, each gateway's recording is that path and its number.

    With `ask_every_s`, an operator asks each gateway what it believes, so often.
    """
    return asyncio.run(Day(scenario, seed, seconds, command_line, record_to, ask_every_s).run())
