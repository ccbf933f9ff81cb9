"""Bad clients send hundreds of commands at once, and the gateway does nothing else until it has answered them."""

import asyncio
import os
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
BAD_CLIENTS = 300
COMMANDS = 900  # of each bad client, at once; each is an empty query, which the protocol allows
USUAL_CLIENTS = 20
WAIT_MS = 1000  # what the usual clients state in `d`: half of the class's 2 s (the pages: 40 to 100%)
GRACE_MS = 500 + 50  # "up to half a second after its time it only earns nothing", and the 50 ms of every time limit
QUIET_S, LASTS_S = 2.0, 12.0
MAX_LATENESS_S = 0.2  # of this process; beyond it the case says nothing


async def watch_itself(lateness: list[float]) -> None:
    """Measure how late this process is, since that would make answers look late."""
    while True:
        began = time.time()
        await asyncio.sleep(0.01)
        lateness[0] = max(lateness[0], time.time() - began - 0.01)


async def ask_on(number: int, record: si.Record, address: tuple[str, int], ends: list[tuple[float, str, str]]) -> None:
    """A usual client: a read every 100 ms on its own connection."""
    client = si.Client(lambda _: None, f"usual {number}")
    await client.open(address)
    began, count = time.time(), 0
    while time.time() < began + LASTS_S:
        count += 1
        ident = f"u{number}x{count}"
        text = si.select(f"id={ident},c=price-view,d={WAIT_MS},cluster=3", "fund-0")
        sent = time.time()
        how, _ = await client.ask(ident, text, 20.0)
        took_ms = (time.time() - sent) * 1000
        ends.append((took_ms, how, ident))
        if took_ms > WAIT_MS or how != "served":
            record(f"usual client {number}: id={ident} d={WAIT_MS}: {how} after {took_ms:.0f} ms")
        if how == "closed":
            await client.open(address)
        await asyncio.sleep(0.1)


async def play(record: si.Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    bank = si.Bank(3, record, is_quiet=True)
    servers = [si.Database(bank, f"s-{number}", "a") for number in range(4)]
    bank.primary, servers[0].listed_role = servers[0], "off"
    for server in servers:
        await server.open()
    discovery = si.Discovery(record)
    await discovery.open()
    discovery.publish(*servers)
    gateway = si.Gateway(record, folder, "g0", SETTINGS, discovery)
    ends: list[tuple[float, str, str]] = []
    lateness = [0.0]
    bad: asyncio.subprocess.Process | None = None
    watching = asyncio.create_task(watch_itself(lateness))
    try:
        await gateway.launch()
        await gateway.wait_until_ready()
        usual = [asyncio.create_task(ask_on(number, record, gateway.address, ends)) for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            record(f"{BAD_CLIENTS} clients connect and send {COMMANDS} empty queries each, once")
            bad = await asyncio.create_subprocess_exec(
                sys.executable,
                str(HERE / "bad_clients.py"),
                *(str(each) for each in (gateway.address[1], BAD_CLIENTS, COMMANDS)),
                stdout=asyncio.subprocess.PIPE,
            )
        await asyncio.gather(*usual)
        if bad is not None:
            text, _ = await asyncio.wait_for(bad.communicate(), 20.0)
            record(text.decode().strip())
        record(f"this process was {lateness[0] * 1000:.0f} ms late at most")
        if lateness[0] > MAX_LATENESS_S:
            raise si.CannotRunError("the stand-ins' own process was late")
        counts = {how: sum(1 for _, known, _ in ends if known == how) for _, how, _ in ends}
        slowest_ms, how, ident = max(ends)
        record(f"usual clients: {counts}; the slowest answer: id={ident} {how} after {slowest_ms:.0f} ms")
        lost = [end for end in ends if end[0] > WAIT_MS + GRACE_MS or end[1] in ("nothing", "closed")]
        record(f"{len(lost)} requests of usual clients had no final answer {WAIT_MS + GRACE_MS} ms after their sending")
        if not counts.get("served"):
            raise si.CannotRunError("no usual client was served")
        return si.BROKEN if lost else si.HELD
    finally:
        watching.cancel()
        if bad is not None and bad.returncode is None:
            bad.kill()
            await bad.wait()
        await gateway.kill()


if __name__ == "__main__":
    sys.exit(si.run_case(play, HERE))
