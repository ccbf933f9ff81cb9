"""What a silenced address costs: the same load with every box's Unix socket silent for a while, and without.

`python -m benchmarks.lost_path --out FILE.md` runs closed loops over all classes, first undisturbed, then with the
path in use silenced again and again at all boxes at once, other paths alive. The gateway is a process of its own; the
stand-ins and the clients share this one, so rates are theirs as much as the gateway's: compare the two columns.
"""

import asyncio
import random
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

import click
import msgspec
import uvloop

from benchmarks.ladder import RETRY
from oatlink.lab.embedded import Embedded, port_of, reserve
from oatlink.protocols.resp import ReplyReader, command

SILENT = 0.3  # of the time


class Row(msgspec.Struct):
    """One step; times in milliseconds."""

    kind: str
    clients: int
    silenced: bool
    served_s: float = 0.0
    refused: int = 0
    failed: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    gaps_ms: list[float] = []  # after each silence: until answers came over another path


def words(kind: str, number: int, at: int) -> bytes:
    """A command of a class; writes of price-post carry a key of their own."""
    if kind == "price-post":
        return command("XADD", f"nav:{at % 24}", "IDMP", f"c{at}", f"t{number}", "MAXLEN", 100, "*", "n", number)
    if kind == "price-check":
        return command("XREVRANGE", f"nav:{at % 24}", "+", "-", "COUNT", 1)
    return command("GET", f"view:{at % 24}" if kind == "price-view" else f"own:{at}")


async def client(port: int, kind: str, at: int, end: float, row: Row, took: list[tuple[float, float]]) -> None:
    """A closed loop that obeys refusals."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    replies, number = ReplyReader(), 0
    while time.perf_counter() < end:
        number += 1
        began = time.perf_counter()
        writer.write(words(kind, number, at))
        while (frame := replies.take()) is None:
            replies.feed(await reader.read(65_536))
        now = time.perf_counter()
        wait = RETRY.search(frame) if frame[:1] == b"-" else None
        if wait is not None:
            row.refused += 1
            await asyncio.sleep(int(wait[1]) / 1000)
        elif frame[:1] == b"-":
            row.failed += 1
        else:
            took.append((now, now - began))
    writer.close()


async def trouble(embedded: Embedded, end: float, every: float, silences: list[float]) -> None:
    """Every box's Unix socket falls silent, speaks again, and so on."""
    while time.perf_counter() + every < end:
        await asyncio.sleep((1 - SILENT) * every)
        for box in embedded.boxes.values():
            box.paths["unix"].holds_replies = True
        silences.append(time.perf_counter())
        await asyncio.sleep(SILENT * every)
        for box in embedded.boxes.values():
            box.release_replies("unix")


async def step(row: Row, seconds: float, every: float, folder: Path) -> Row:
    """One load, with or without silences."""
    embedded = Embedded(1, 3, 1, paths=True)
    stop = await embedded.start()
    held = reserve()
    file = folder / "gateway.jsonnet"
    file.write_text(embedded.template(port_of(held), log_level="error", more="{ limits+: { clients: 20000 } }"))
    gateway = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oatlink", "gateway", str(file), stdout=asyncio.subprocess.PIPE
    )
    assert gateway.stdout is not None
    await gateway.stdout.readline()
    kinds = ["price-view", "price-check", "own-read", "price-post"] if row.kind == "all" else [row.kind]
    took: list[tuple[float, float]] = []
    silences: list[float] = []
    begin = time.perf_counter() + 0.5 + row.clients / 4_000
    end = begin + seconds
    rng = random.Random(1)
    tasks = []
    for at in range(row.clients):
        tasks.append(asyncio.ensure_future(client(port_of(held), kinds[at % len(kinds)], at, end, row, took)))
        if at % 100 == 99:
            await asyncio.sleep(0.02 + 0.001 * rng.random())
    await asyncio.sleep(max(0.0, begin - time.perf_counter()))
    if row.silenced:
        tasks.append(asyncio.ensure_future(trouble(embedded, end, every, silences)))
    await asyncio.gather(*tasks)
    gateway.send_signal(signal.SIGTERM)
    await gateway.wait()
    stop()
    held.close()
    counted = sorted(seconds_ for at, seconds_ in took if at >= begin)
    row.served_s = len(counted) / seconds
    if counted:
        row.p50_ms = 1000 * counted[len(counted) // 2]
        row.p99_ms = 1000 * counted[int(0.99 * len(counted))]
    for silence in silences:
        # What was asked after the path fell silent and has been answered all the same.
        asked_after = [at for at, seconds_ in took if at - seconds_ > silence]
        row.gaps_ms.append(1000 * (min(asked_after, default=end) - silence))
    return row


def table(rows: list[Row]) -> str:
    """Markdown."""
    lines = [
        "| class | clients | path | served/s | refused | failed | p50 ms | p99 ms | off the path, ms (median, worst) |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        gaps = sorted(row.gaps_ms)
        moved = f"{statistics.median(gaps):.0f}, {gaps[-1]:.0f} of {len(gaps)}" if gaps else ""
        path = "silenced" if row.silenced else "good"
        lines.append(
            f"| {row.kind} | {row.clients} | {path} | {row.served_s:.0f} | {row.refused} | {row.failed} "
            f"| {row.p50_ms:.1f} | {row.p99_ms:.0f} | {moved} |"
        )
    return "\n".join(lines) + "\n"


@click.command()
@click.option("--kinds", default="price-view,price-check,own-read,price-post,all", show_default=True)
@click.option("--clients", "counts", default="32,512,2048", show_default=True)
@click.option("--seconds", default=9.0, show_default=True)
@click.option("--every", default=2.0, show_default=True, help="Seconds from one silence to the next.")
@click.option("--out", default="", help="Write the table to this file.")
def main(kinds: str, counts: str, seconds: float, every: float, out: str) -> None:
    """Measure and print the table."""
    rows = []
    with tempfile.TemporaryDirectory(prefix="oatlink-lost-") as folder:
        for kind in kinds.split(","):
            for count in counts.split(","):
                for silenced in (False, True):
                    rows.append(uvloop.run(step(Row(kind, int(count), silenced), seconds, every, Path(folder))))
                    click.echo(table(rows[-1:]).splitlines()[-1])
    if out:
        Path(out).write_text(table(rows))


if __name__ == "__main__":
    main()
