"""Clients that stop in the middle of a request and come again: the gateway's memory against its limit."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins as si  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTINGS = si.settings(
    [
        si.class_of("price-view", "idempotent", 2000, 600, 2.0),
        si.class_of("price-check", "idempotent", 1500, 600, 1.0, LateWorth=0.2),
        si.class_of("price-post", "deduplicated", 3000, 1000, 6.0, Group="cell", WindowUs=2000000, LateWorth=0.3),
    ],
    {
        "AnswersStamped": False,
        "Freshness": ["recent", "latest", "update"],
        "LagAllowedUs": [500000, 0, 0],
        "ServerChecks": "off",
        "SessionMarks": "client",
    },
)
MEMORY_MB = 192  # the most that a page gives a gateway on any scored day
BAD_CLIENTS = 400
USUAL_CLIENTS = 20
VALUE_BYTES = 64 * 1024  # the largest value of the protocol
LASTS_S = 60.0


def memory_mb(pid: int) -> float:
    """The memory that belongs to a process alone: neither its program's files nor what it shares counts here."""
    text = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("RssAnon:"))
    return int(line.split()[1]) / 1024


async def stop_in_the_middle(record: si.Record, number: int, address: tuple[str, int], comes: list[int]) -> None:
    """Send all but the end of a write, wait for the gateway's error or close, and come again."""
    name, content = f"fund-{number}", os.urandom(VALUE_BYTES)
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            comes[0] += 1
            ident = f"bad{number}x{comes[0]}"
            text = si.insert(f"id={ident},c=price-post,d=3000,k=k{ident},cluster=3", name, content)
            began = time.time()
            writer.write(si.STARTUP + si.message(b"Q", text.encode() + b"\0")[:-100])
            told = b""
            while data := await reader.read(65536):
                told = (told + data)[-200:]
            if number == 0:
                record(f"bad client 0: after {time.time() - began:.2f} s ended with {told[-90:]!r}")
            writer.close()
        await asyncio.sleep(0.05)


async def ask_on(record: si.Record, number: int, address: tuple[str, int], counts: dict[str, int]) -> None:
    """A usual client: a read every 100 ms."""
    client = si.Client(lambda _: None, f"usual {number}")
    await client.open(address)
    count = 0
    while True:
        count += 1
        ident = f"u{number}x{count}"
        how, _ = await client.ask(ident, si.select(f"id={ident},c=price-view,d=2000,cluster=3", "fund-0"), 3.0)
        counts[how] = counts.get(how, 0) + 1
        if how == "closed":
            await client.open(address)
        await asyncio.sleep(0.1)


async def play(record: si.Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    bank = si.Bank(3, record, is_quiet=True)
    servers = [si.Database(bank, f"s-{number}", "a") for number in range(3)]
    bank.primary, servers[0].listed_role = servers[0], "off"
    for server in servers:
        await server.open()
    discovery = si.Discovery(record)
    await discovery.open()
    discovery.publish(*servers)
    gateway = si.Gateway(record, folder, "g0", SETTINGS, discovery)
    gateway.limits["memory_mb"] = MEMORY_MB
    tasks: list[asyncio.Task[None]] = []
    counts: dict[str, int] = {}
    comes = [0]
    try:
        await gateway.launch()
        await gateway.wait_until_ready()
        assert gateway.process is not None
        pid = gateway.process.pid
        tasks += [asyncio.create_task(ask_on(record, each, gateway.address, counts)) for each in range(USUAL_CLIENTS)]
        if TROUBLE:
            record(f"{BAD_CLIENTS} clients begin to stop in the middle of a write of {VALUE_BYTES} bytes")
            for number in range(BAD_CLIENTS):
                tasks.append(asyncio.create_task(stop_in_the_middle(record, number, gateway.address, comes)))
        began = next_line = time.time()
        while time.time() < began + LASTS_S:
            await asyncio.sleep(0.1)
            if gateway.process.returncode is not None:
                record(f"the gateway has ended by itself with {gateway.process.returncode}")
                return si.BROKEN
            used_mb = memory_mb(pid)
            if time.time() >= next_line or used_mb > MEMORY_MB:
                next_line += 1.0
                record(f"memory {used_mb:.0f} of {MEMORY_MB} MB; bad clients came {comes[0]} times; usual: {counts}")
            if used_mb > MEMORY_MB:
                record("the platform kills the gateway: it is over memory_mb")
                gateway.signal(signal.SIGKILL)
                return si.BROKEN
        if not counts.get("served"):
            raise si.CannotRunError("no usual client was served")
        return si.HELD
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await gateway.kill()


if __name__ == "__main__":
    sys.exit(si.run_case(play, HERE))
