"""No case: a gateway is killed and starts again while discovery has too many callers and turns its first calls away.

Lists are pushed, so what discovery has counts as told from the process's first moment on. A server has been draining
since before that moment. Does the gateway send anything new to it?
"""

import asyncio
import os
import time
from pathlib import Path

import world2 as world

GRACE_S = 0.25  # `drain_grace_ms` of offshore-grand-baie
SLACK_S = 0.05  # PROTOCOL.md: every time limit is extended by 50 ms
CROWDED_S = 2.0  # BENCH: discovery needs 2 to 8 s to take one call from every gateway (`all_call_s`)


async def case(record: world.Record, folder: str) -> bool:
    """Return whether the rule held."""
    primary = world.Server(record, "s-primary", True)
    replicas = [world.Server(record, f"s-replica{number}", False) for number in (1, 2, 3)]
    draining = replicas[0]
    discovery = world.Discovery(record, [primary, *replicas])
    async with world.running(primary, *replicas, discovery):
        config = {"discovery": f"127.0.0.1:{discovery.port}", "known": discovery.whole()}
        config["settings"] = world.offshore_grand_baie()
        for life in ("first", "second"):
            os.mkdir(f"{folder}/{life}")
        first = world.Gateway(record, f"{folder}/first", config)
        await first.start()
        try:
            await first.wait_until_ready()
            await load(record, first.port, 2.0)
        finally:
            await first.end()
        record.add("gateway", "was killed")
        discovery.set_state(draining, "terminating")
        draining.mode = "drains"
        await asyncio.sleep(2.0)

        crowded_until_s = time.monotonic() + (CROWDED_S if world.TROUBLE else 0.0)

        async def admit() -> bool:
            return time.monotonic() >= crowded_until_s

        discovery.admit = admit
        second = world.Gateway(record, f"{folder}/second", config)
        started_at_s = record.now_s
        await second.start()
        try:
            await second.wait_until_ready()
            await load(record, second.port, 4.0)
        finally:
            await second.end()
    late = [(at_s, request) for at_s, request in draining.sends if at_s > started_at_s + GRACE_S + SLACK_S]
    record.add("case", f"told at {started_at_s:.3f}; sends to s-replica1 after the grace: {len(late)}")
    return not late


async def load(record: world.Record, port: int, seconds: float) -> None:
    """Send reads from six clients."""
    end_s = record.now_s + seconds
    await asyncio.gather(*(ask_all(record, number, port, end_s) for number in range(6)))


async def ask_all(record: world.Record, number: int, port: int, end_s: float) -> None:
    """Send reads, one after the other, until the end."""
    client = world.Client(record, f"client{number}", port)
    while record.now_s < end_s:
        await client.ask(world.select("history-pull", 2500), 3.5)
        await asyncio.sleep(0.1)
    client.close()


if __name__ == "__main__":
    world.run_case(Path(__file__).parent, case, "restarted_drain-record.txt")
