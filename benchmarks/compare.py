"""Gateway against a bare relay, to the same stand-in, in the same run: `python -m benchmarks.compare`.

One stand-in bank in a process of its own, the relay and the gateway each in one, 32 connections from this one at
depth 1 and 16, in turns. Prints requests a second, p50 and p99, CPU a request, and the ratio of the rates.
"""

import asyncio
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
import uvloop

from oatlink.lab.embedded import CLASSES, port_of, reserve
from oatlink.protocols.resp import command


async def client(port: int, depth: int, end: float, payload: bytes, answer: bytes, times: list[float]) -> int:
    """Closed loop on one connection; returns how many were answered. An answer that is an error ends the run."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    done, size = 0, len(answer)
    batch = payload * depth
    while True:
        began = time.perf_counter()
        if began >= end:
            break
        writer.write(batch)
        got = await reader.readexactly(size * depth)
        if got != answer * depth:
            raise RuntimeError(f"refused at depth {depth}: {got[:80]!r}")
        times.append(time.perf_counter() - began)
        done += depth
    writer.close()
    return done


def cpu(pid: int) -> float:
    """CPU seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(port: int, pid: int, depth: int, seconds: float, payload: bytes, answer: bytes) -> dict[str, float]:
    """One run at one depth."""
    times: list[float] = []
    before = cpu(pid)
    began = time.perf_counter()
    counts = await asyncio.gather(*[client(port, depth, began + seconds, payload, answer, times) for _ in range(32)])
    took, total = time.perf_counter() - began, sum(counts)
    times.sort()
    return {
        "rate": total / took,
        "p50_ms": 1000 * statistics.median(times),
        "p99_ms": 1000 * times[int(len(times) * 0.99)],
        "cpu_us": 1e6 * (cpu(pid) - before) / total,
    }


@click.command()
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--depths", default="1,16", show_default=True)
@click.option("--same-loop", is_flag=True, help="The relay on uvloop as well, as the gateway is.")
@click.option("--profile", default="", help="Write a cProfile of the gateway to this file.")
def main(seconds: float, rounds: int, depths: str, same_loop: bool, profile: str) -> None:
    """Measure and print a table."""
    uvloop.install()
    processes: list[subprocess.Popen[str]] = []

    def start(*words: str) -> subprocess.Popen[str]:
        process = subprocess.Popen([sys.executable, *words], stdout=subprocess.PIPE, text=True)
        processes.append(process)
        return process

    try:
        with tempfile.TemporaryDirectory() as folder:
            bank = start("-m", "oatlink", "bank", "--banks", "1", "--members", "2")
            assert bank.stdout is not None
            boxes = json.loads(bank.stdout.readline())["banks"]["bank-0"]
            members = [{"name": name, "address": address} for name, address in boxes.items()]
            target = int(members[1]["address"].rsplit(":")[-1])
            held = reserve(), reserve()
            ports = port_of(held[0]), port_of(held[1])
            relay = start("-m", "benchmarks.relay", str(ports[0]), str(target), *(["--uvloop"] if same_loop else []))
            assert relay.stdout is not None
            relay.stdout.readline()
            path = Path(folder) / "gateway.jsonnet"
            path.write_text(
                f"{{ listen: ['127.0.0.1:{ports[1]}'], classes: {CLASSES % {'wait': 0}},\n"
                f"  banks: [{{ name: 'bank-0', slots: [[0, 16383]], members: {json.dumps(members)} }}] }}"
            )
            extra = ("-m", "cProfile", "-o", profile) if profile else ()
            gateway = start(*extra, "-m", "oatlink", "gateway", str(path))
            assert gateway.stdout is not None
            gateway.stdout.readline()
            time.sleep(0.5)
            payload, answer = command("GET", "view:1"), b"$-1\r\n"
            rows: dict[tuple[str, int], list[dict[str, float]]] = {}
            for _ in range(rounds):
                for depth in map(int, depths.split(",")):
                    for name, port, pid in (("relay", ports[0], relay.pid), ("gateway", ports[1], gateway.pid)):
                        found = asyncio.run(measure(port, pid, depth, seconds, payload, answer))
                        rows.setdefault((name, depth), []).append(found)
            click.echo("| depth | through | requests/s | p50 ms | p99 ms | CPU us/request |")
            click.echo("| --- | --- | --- | --- | --- | --- |")
            for depth in map(int, depths.split(",")):
                middle = {}
                for name in ("relay", "gateway"):
                    one = {
                        key: statistics.median(row[key] for row in rows[name, depth]) for key in rows[name, depth][0]
                    }
                    middle[name] = one["rate"]
                    click.echo(
                        f"| {depth} | {name} | {one['rate']:.0f} | {one['p50_ms']:.2f} | {one['p99_ms']:.2f} "
                        f"| {one['cpu_us']:.0f} |"
                    )
                click.echo(f"ratio at depth {depth}: {middle['gateway'] / middle['relay']:.3f}")
    finally:
        for process in reversed(processes):
            process.send_signal(signal.SIGINT)
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()


if __name__ == "__main__":
    main()
