"""What a request costs the platform's gateway: processor time, latency and memory, for several checkouts in turn.

    python -m benchmarks.platform_cost . ../other-checkout --rounds 3

Each round starts the gateway of each checkout before the same stand-ins and sends it the same steady load of reads and
writes. Prints one line of medians for each checkout.
"""

import asyncio
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click

from tests import platform_world

WORK_S = 0.02
WARM_UP_REQUESTS = 200
TICKS_PER_S = 100


@dataclass(frozen=True)
class Cost:
    """One run of a gateway."""

    cpu_us: float  # of processor time, for each request
    median_ms: float
    p99_ms: float
    memory_mb: float
    connections: int  # made to database servers


def cpu_s(process_id: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def peak_memory_mb(process_id: int) -> float:
    """Return the largest resident size of a process so far."""
    status = Path(f"/proc/{process_id}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def statement(number: int) -> bytes:
    """Return a read, or a write as every sixth statement."""
    comment = f"id={number:016x},d=1900,cluster=1"
    if number % 6:
        return f"/* {comment},c=view */ SELECT content FROM kv WHERE name = '{number % 97:x}'".encode()
    value = f"INSERT INTO kv (name, content) VALUES ('{number % 97:x}', '\\x9f03') RETURNING content"
    return f"/* {comment},c=post,k={number:x} */ {value}".encode()


async def measure(checkout: Path, request_count: int, rate_per_s: float) -> Cost:
    """Run the gateway of a checkout under load."""
    platform_world.ROOT = checkout.resolve()
    with tempfile.TemporaryDirectory() as folder:
        async with platform_world.open_world(Path(folder)) as world:
            for server in world.servers:
                server.work_s = WORK_S
            await send(world, 0, WARM_UP_REQUESTS, rate_per_s)
            process_id = world.process.pid
            cpu_before_s = cpu_s(process_id)
            times_ms = await send(world, WARM_UP_REQUESTS, request_count, rate_per_s)
            return Cost(
                (cpu_s(process_id) - cpu_before_s) / request_count * 1e6,
                statistics.median(times_ms),
                statistics.quantiles(times_ms, n=100)[-1],
                peak_memory_mb(process_id),
                sum(server.connections for server in world.servers),
            )


async def send(world: platform_world.World, first: int, count: int, rate_per_s: float) -> list[float]:
    """Send requests at a steady rate, each on a free connection; return how long each took, in milliseconds."""
    free: list[platform_world.Client] = []
    times_ms: list[float] = []

    async def ask(number: int) -> None:
        client = free.pop() if free else await world.client()
        began_s = time.monotonic()
        messages = await client.ask(statement(number))
        times_ms.append((time.monotonic() - began_s) * 1e3)
        assert [message.kind for message in messages] == [b"T", b"D", b"C"], messages
        free.append(client)

    began_s = time.monotonic()
    tasks = []
    for number in range(count):
        tasks.append(asyncio.ensure_future(ask(first + number)))
        await asyncio.sleep(max(0.0, began_s + number / rate_per_s - time.monotonic()))
    await asyncio.gather(*tasks)
    for client in free:
        client.writer.close()
    return times_ms


@click.command()
@click.argument("checkouts", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--rounds", default=3, show_default=True)
@click.option("--requests", "request_count", default=3_000, show_default=True)
@click.option("--rate", "rate_per_s", default=300.0, show_default=True, help="Requests a second.")
def main(checkouts: tuple[Path, ...], rounds: int, request_count: int, rate_per_s: float) -> None:
    """Measure the gateways of CHECKOUTS side by side."""
    costs: dict[Path, list[Cost]] = {checkout: [] for checkout in checkouts}
    for _ in range(rounds):
        for checkout in checkouts:
            costs[checkout].append(asyncio.run(measure(checkout, request_count, rate_per_s)))
    for checkout, runs in costs.items():
        print(
            f"{checkout}: {statistics.median(run.cpu_us for run in runs):.0f} us a request, median "
            f"{statistics.median(run.median_ms for run in runs):.2f} ms, p99 "
            f"{statistics.median(run.p99_ms for run in runs):.2f} ms, peak "
            f"{statistics.median(run.memory_mb for run in runs):.1f} MB, connections to servers "
            f"{statistics.median(run.connections for run in runs):g}"
        )


if __name__ == "__main__":
    main()
