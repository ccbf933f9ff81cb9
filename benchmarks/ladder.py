"""Goodput as requests in flight grow: classes x connections x depth x workers, against a bare relay in the same run.

`python -m benchmarks.ladder --out docs/measurements/ladder` writes a table (Markdown) and a plot (SVG). Closed loop:
each connection keeps `depth` commands out; with `--obey` a refused one comes again when its refusal says, else at
once. The bank, the relay, the gateway and each process of clients are processes of their own.
"""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import cast

import click
import msgspec
import uvloop

from benchmarks.compare import cpu
from oatlink.lab.embedded import CLASSES, port_of, reserve
from oatlink.protocols.resp import ReplyReader, command

COMMANDS = {
    "session": command("GET", "none"),
    "bounded": command("GET", "view:1"),
    "latest": command("XREVRANGE", "nav:1", "+", "-", "COUNT", 1),
    "write": command("SET", "k", "v"),
}
CLIENTS = 2  # processes of clients
RELAY_MOST = 4_096  # connections: the relay needs two descriptors for each
RETRY = re.compile(rb"retry after (\d+) ms")


class Row(msgspec.Struct):
    """One step of the ladder. Times in milliseconds, CPU in microseconds of the gateway's processes."""

    through: str
    kind: str
    connections: int
    depth: int
    workers: int
    served_s: float = 0.0
    refused_s: float = 0.0
    failed_s: float = 0.0
    lost: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    refused_p50_ms: float = 0.0
    cpu_us: float = 0.0
    memory_mb: float = 0.0


# ---- Clients ----


@dataclass(slots=True)
class Tally:
    """What one process of clients saw inside the measured window."""

    begin: float
    end: float
    served: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    failed: int = 0
    lost: int = 0


class Client(asyncio.Protocol):
    """One connection in a closed loop."""

    def __init__(self, payload: bytes, depth: int, obey: bool, tally: Tally) -> None:
        self._payload, self._depth, self._obey, self._tally = payload, depth, obey, tally
        self._reader = ReplyReader()
        self._sent: list[float] = []
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by descent
        self._ask(self._depth)

    def _ask(self, count: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._sent += [time.perf_counter()] * count
            self._transport.write(self._payload * count)

    def data_received(self, data: bytes) -> None:
        """Count what was answered and ask as much again."""
        self._reader.feed(data)
        now, tally = time.perf_counter(), self._tally
        again = done = 0
        while (frame := self._reader.take()) is not None:
            took = now - self._sent[done]
            done += 1
            counts = tally.begin <= now < tally.end
            wait = RETRY.search(frame) if frame[:1] == b"-" else None
            if frame[:1] != b"-":
                if counts:
                    tally.served.append(took)
            elif wait is not None:
                if counts:
                    tally.refused.append(took)
                if self._obey:
                    asyncio.get_running_loop().call_later(int(wait[1]) / 1000, self._ask, 1)
                    continue
            else:
                tally.failed += counts
            again += 1
        del self._sent[:done]
        if again and now < tally.end:
            self._ask(again)

    def connection_lost(self, problem: Exception | None) -> None:
        """A connection that ends in the window was cut off."""
        if time.perf_counter() < self._tally.end - 0.05:
            self._tally.lost += 1


async def clients(port: int, kind: str, connections: int, depth: int, warm: float, seconds: float, obey: bool) -> Tally:
    """So many closed loops for so long; what is counted begins after `warm` seconds."""
    loop = asyncio.get_running_loop()
    tally = Tally(float("inf"), float("inf"))
    made = []
    for at in range(connections):
        made.append(await loop.create_connection(lambda: Client(COMMANDS[kind], depth, obey, tally), "127.0.0.1", port))
        if at % 200 == 199:
            await asyncio.sleep(0.01)
    tally.begin = time.perf_counter() + warm
    tally.end = tally.begin + seconds
    await asyncio.sleep(warm + seconds)
    for transport, _ in made:
        transport.abort()
    await asyncio.sleep(0.05)
    return tally


def as_client(words: list[str]) -> None:
    """A process of clients: `port kind connections depth warm seconds obey file`; the file gets JSON."""
    port, kind, connections, depth, warm, seconds, obey, path = words
    found = uvloop.run(clients(int(port), kind, int(connections), int(depth), float(warm), float(seconds), obey == "1"))
    Path(path).write_text(json.dumps([found.served, found.refused, found.failed, found.lost]))


def part(times: list[float], share: float) -> float:
    """A quantile in milliseconds."""
    return round(1000 * sorted(times)[int(len(times) * share)], 2) if times else 0.0


def drive(port: int, pids: list[int], row: Row, warm: float, seconds: float, obey: bool) -> Row:
    """One step: clients in processes of their own, and the CPU of `pids` meanwhile."""
    processes = []
    folder = tempfile.TemporaryDirectory()
    count = min(CLIENTS, row.connections)
    for at in range(count):
        share = row.connections * (at + 1) // count - row.connections * at // count
        words = [str(port), row.kind, str(share), str(row.depth), str(warm), str(seconds), str(int(obey))]
        words.append(f"{folder.name}/{at}")
        processes.append(subprocess.Popen([sys.executable, "-m", "benchmarks.ladder", "client", *words]))
    time.sleep(1.0)
    before, began = sum(map(cpu, pids)), time.perf_counter()
    served: list[float] = []
    refused: list[float] = []
    failed = 0
    row.memory_mb = 0.0
    for at, process in enumerate(processes):
        process.wait(60 + warm + seconds)
        if not at:
            used, took = sum(map(cpu, pids)) - before, time.perf_counter() - began
            row.memory_mb = round(sum(map(memory, pids)), 1)
        one_served, one_refused, one_failed, lost = json.loads(Path(f"{folder.name}/{at}").read_text())
        served += one_served
        refused += one_refused
        failed += one_failed
        row.lost += lost
    folder.cleanup()
    row.served_s, row.refused_s, row.failed_s = (
        round(len(served) / seconds),
        round(len(refused) / seconds),
        round(failed / seconds),
    )
    row.p50_ms, row.p99_ms = part(served, 0.5), part(served, 0.99)
    row.refused_p50_ms = part(refused, 0.5)
    row.cpu_us = round(1e6 * used / took / max(1.0, row.served_s))
    return row


def memory(pid: int) -> float:
    """Resident memory of a process in MiB."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024  # type: ignore[index]


def family(pid: int) -> list[int]:
    """A process and its children."""
    text = Path(f"/proc/{pid}/task/{pid}/children").read_text()
    return [pid, *map(int, text.split())]


# ---- The site ----


class Site:
    """A bank, a relay and gateways, each a process; ended by `close`."""

    def __init__(self, members: int, workers: list[int], more: str = "", profile: str = "") -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._processes: list[subprocess.Popen[str]] = []
        said, _ = self.start("-m", "oatlink", "bank", "--banks", "1", "--members", str(members))
        boxes = json.loads(said)["banks"]["bank-0"]
        rows = [{"name": name, "address": address} for name, address in boxes.items()]
        held = [reserve() for _ in range(len(workers) + 1)]
        self.relay_port = port_of(held[0])
        target = rows[0]["address"].rsplit(":")[-1]
        _, relay = self.start("-m", "benchmarks.relay", str(self.relay_port), target, "--uvloop")
        self.relay_pids = [relay.pid]
        self.gateways: dict[int, tuple[int, list[int]]] = {}
        for at, count in enumerate(workers):
            port = port_of(held[at + 1])
            path = Path(self._folder.name) / f"gateway-{at}.jsonnet"
            path.write_text(
                f"{{ listen: ['127.0.0.1:{port}'], workers: {count}, classes: {CLASSES % {'wait': 0}},\n"
                f"  limits: {{ clients: 12000 }}, logs: {{ level: 'warning' }},\n"
                f"  banks: [{{ name: 'bank-0', slots: [[0, 16383]], members: {json.dumps(rows)} }}] }}\n"
                f" + {{ {more} }}"
            )
            profiled = ("-m", "cProfile", "-o", profile) if profile else ()
            _, process = self.start(*profiled, "-m", "oatlink", "gateway", str(path))
            self.gateways[count] = port, family(process.pid)
        for one in held:
            one.close()
        time.sleep(0.5)

    def start(self, *words: str) -> tuple[str, subprocess.Popen[str]]:
        """Start a process; its first line and itself."""
        process = subprocess.Popen([sys.executable, *words], stdout=subprocess.PIPE, text=True)
        self._processes.append(process)
        assert process.stdout is not None
        return process.stdout.readline(), process

    def close(self) -> None:
        """End all."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGINT)
        for process in self._processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
        self._folder.cleanup()


COLUMNS = (
    "through",
    "kind",
    "workers",
    "connections",
    "depth",
    "served_s",
    "refused_s",
    "failed_s",
    "lost",
    "p50_ms",
    "p99_ms",
    "refused_p50_ms",
    "cpu_us",
    "memory_mb",
)


def line(row: Row) -> str:
    """A row of the table."""
    return "| " + " | ".join(str(getattr(row, name)) for name in COLUMNS) + " |"


@click.command()
@click.option("--kinds", default=",".join(COMMANDS), show_default=True)
@click.option("--connections", default="32,128,512,2048,10000", show_default=True)
@click.option("--depths", default="1,16", show_default=True, help="16 only up to 512 connections.")
@click.option("--workers", default="1", show_default=True)
@click.option("--members", default=3, show_default=True)
@click.option("--warm", default=2.0, show_default=True, help="Seconds not counted, a step.")
@click.option("--seconds", default=3.0, show_default=True, help="Seconds counted, a step.")
@click.option("--obey", is_flag=True, help="Clients come again when a refusal says, not at once.")
@click.option("--relay/--no-relay", default=True)
@click.option("--more", default="", help="More settings of the gateways, Jsonnet fields.")
@click.option("--profile", default="", help="Write a cProfile of the gateway to this file; its figures mean nothing.")
@click.option("--out", default="", help="Write PATH.md, PATH.json and PATH.svg.")
def main(
    kinds: str,
    connections: str,
    depths: str,
    workers: str,
    members: int,
    warm: float,
    seconds: float,
    obey: bool,
    relay: bool,
    more: str,
    profile: str,
    out: str,
) -> None:
    """Measure and print a table."""
    counts = [int(one) for one in workers.split(",")]
    head = "| " + " | ".join(COLUMNS) + " |\n|" + " --- |" * len(COLUMNS)
    click.echo(head)
    rows: list[Row] = []
    site = Site(members, counts, more, profile)
    try:
        for depth in map(int, depths.split(",")):
            for number in map(int, connections.split(",")):
                if depth > 1 and number > 512:
                    continue
                for kind in kinds.split(","):
                    if relay and kind == kinds.split(",")[0] and number <= RELAY_MOST:
                        row = Row("relay", kind, number, depth, 1)
                        rows.append(drive(site.relay_port, site.relay_pids, row, warm, seconds, obey))
                        click.echo(line(row))
                    for count, (port, pids) in site.gateways.items():
                        row = Row("gateway", kind, number, depth, count)
                        rows.append(drive(port, pids, row, warm, seconds, obey))
                        click.echo(line(row))
    finally:
        site.close()
    if out:
        Path(f"{out}.md").write_text(head + "\n" + "\n".join(map(line, rows)) + "\n")
        Path(f"{out}.json").write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=1))
        plot(rows, f"{out}.svg")


def plot(rows: list[Row], path: str) -> None:
    """Served a second over connections, a line for each class, depth and count of workers."""
    import matplotlib  # noqa: PLC0415 - only a run that draws needs it

    matplotlib.use("svg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(figsize=(9, 5))
    lines: dict[tuple[str, str, int, int], list[tuple[int, float]]] = {}
    for row in rows:
        lines.setdefault((row.through, row.kind, row.depth, row.workers), []).append((row.connections, row.served_s))
    for (through, kind, depth, count), points in lines.items():
        name = "relay" if through == "relay" else f"{kind}, {count} worker{'s' * (count > 1)}"
        axes.plot(
            *zip(*points, strict=True),
            marker="o",
            linestyle="--" if through == "relay" else "-",
            label=f"{name}, depth {depth}",
        )
    axes.set(xscale="log", ylim=(0, None), xlabel="connections", ylabel="served a second")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    if sys.argv[1:2] == ["client"]:
        as_client(sys.argv[2:])
    else:
        main()
