"""No case: a new process serves by its old list while discovery is slow, where lists are pushed (see REPORT.md)."""

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
        si.class_of("price-lookup", "idempotent", 1500, 500, 1.0),
        si.class_of("price-submit", "at_most_once", 3000, 750, 3.0, LateWorth=0.5),
    ],
    {
        "AnswersStamped": True,
        "Freshness": ["recent", "update"],
        "LagAllowedUs": [300000, 0],
        "ServerChecks": "off",
        "SessionMarks": "client",
    },
    Discovery="push",
    Obligations={"StopSendingWithinUs": 250000, "FallUs": 3000000, "OverloadFactor": 3.0},
)
GRACE_S = 0.25 + 0.05  # the grace of the settings, and the 50 ms of every time limit
CALL_S = 1.0  # what each call takes at discovery
LASTS_S = 3.0
CLIENTS = 4


async def ask_on(number: int, address: tuple[str, int], until: float) -> None:
    """Read every 30 ms."""
    client = si.Client(lambda _: None, f"client {number}")
    await client.open(address)
    count = 0
    while time.time() < until:
        count += 1
        ident = f"r{number}x{count}"
        how, _ = await client.ask(ident, si.select(f"id={ident},c=price-lookup,d=1500,cluster=3", "fund-0"), 3.0)
        if how == "closed":
            await client.open(address)
        await asyncio.sleep(0.03)


async def play(record: si.Record, folder: Path) -> int:
    """Play it and return the exit code."""
    bank = si.Bank(3, record, is_quiet=True)
    servers = [si.Database(bank, f"s-{number}", "a") for number in range(3)]
    bank.primary, servers[0].listed_role = servers[0], "off"
    for server in servers:
        await server.open()
    discovery = si.Discovery(record)
    await discovery.open()
    discovery.publish(*servers)
    gateway = si.Gateway(record, folder, "g0", SETTINGS, discovery)
    gateway.known = discovery.whole()  # the list as this gateway had it before its restart
    drained = servers[2]
    drained.state = "terminating"
    discovery.publish(drained)
    discovery.delay_s = CALL_S if TROUBLE else 0.0
    try:
        started = time.time()
        await gateway.launch()
        await gateway.wait_until_ready()
        until = time.time() + LASTS_S
        await asyncio.gather(*(ask_on(number, gateway.address, until) for number in range(CLIENTS)))
        late = [at - started for at, _ in drained.attempts if at - started > GRACE_S]
        record(
            f"{len(late)} requests went to s-2 over {GRACE_S} s after the start, the last {max(late, default=0):.2f} s"
        )
        return si.BROKEN if late else si.HELD
    finally:
        await gateway.kill()


if __name__ == "__main__":
    sys.exit(si.run_case(play, HERE, "pushed_list-record.txt"))
