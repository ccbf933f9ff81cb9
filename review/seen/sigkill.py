"""No case: a planned restart while the primary hangs, in a deployment with a deadline of 5 s (see REPORT.md)."""

import asyncio
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
        si.class_of("feed-read", "idempotent", 2500, 600, 3.0),
        si.class_of("price-post", "at_most_once", 5000, 1000, 6.0, LateWorth=0.5),
    ],
    {
        "AnswersStamped": True,
        "Freshness": ["recent", "update"],
        "LagAllowedUs": [300000, 0],
        "ServerChecks": "reject",
        "SessionMarks": "client",
    },
    Obligations={"StopSendingWithinUs": 1000000, "FallUs": 1000000, "WarmAfterUs": 18000000},
    Stats={"Fields": ["x0", "x1"], "Via": "inline"},
)
SIGTERM_AFTER_S = 0.3  # after the write that the primary never answers
READ_AFTER_S = 0.9  # after SIGTERM, so more than 0.7 s
SIGKILL_AFTER_S = 3.0 + 0.7  # after SIGTERM: the least that the protocol page allows where a deadline exceeds 3 s


async def answer_behind(first: "asyncio.Future[tuple[str, bytes]]", client: si.Client) -> tuple[str, bytes]:
    """How the read ended; its answer comes behind that of the write."""
    await first
    return await client.answer("a2", 6.0)


async def play(record: si.Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    bank = si.Bank(3, record)
    servers = [si.Database(bank, f"s-{number}", "a") for number in range(3)]
    bank.primary, servers[0].listed_role = servers[0], "off"
    for server in servers:
        await server.open()
    discovery = si.Discovery(record)
    await discovery.open()
    discovery.publish(*servers)
    gateway = si.Gateway(record, folder, "g0", SETTINGS, discovery)
    try:
        await gateway.launch()
        await gateway.wait_until_ready()
        assert gateway.process is not None
        client = si.Client(record, "client")
        await client.open(gateway.address)
        how, _ = await client.ask("a0", si.insert("id=a0,c=price-post,d=5000,cluster=3", "fund-0", b"100"), 6.0)
        if how != "served":
            raise si.CannotRunError("the first write was not served")
        if TROUBLE:
            record("s-0, the primary, hangs")
            servers[0].may_answer.clear()
        client.send(si.insert("id=a1,c=price-post,d=5000,cluster=3", "fund-1", b"101"))
        first = asyncio.ensure_future(client.answer("a1", 6.0))
        await asyncio.sleep(SIGTERM_AFTER_S)
        gateway.signal(signal.SIGTERM)
        terminated = time.time()
        await asyncio.sleep(READ_AFTER_S)
        second = None
        if client.reader.at_eof():
            record("client: the gateway has ended the connection; nothing more is sent on it")
        else:
            client.send(si.select("id=a2,c=feed-read,d=2500,cluster=3", "fund-2"))
            second = asyncio.ensure_future(answer_behind(first, client))
        try:
            await asyncio.wait_for(gateway.process.wait(), terminated + SIGKILL_AFTER_S - time.time())
            record(f"g0: exited with {gateway.process.returncode}")
        except TimeoutError:
            gateway.signal(signal.SIGKILL)
        how, _ = await first
        record(f"the write a1, sent {SIGTERM_AFTER_S} s before SIGTERM, ended: {how}")
        if second is None:
            return si.HELD if how == "served" else si.NOT_RUN
        how, _ = await second
        record(f"the read a2, sent {READ_AFTER_S} s after SIGTERM on a connection that stayed open, ended: {how}")
        return si.HELD if how in ("served", "refused", "failed") else si.BROKEN
    finally:
        await gateway.kill()


if __name__ == "__main__":
    sys.exit(si.run_case(play, HERE, "sigkill-record.txt"))
