"""No case: a gateway stands still for 1.2 s, and a drain is written to its watch meanwhile.

It then finds all that came meanwhile: requests, and the news. Does it send anything new to the draining server, more
than the grace after it was told?
"""

import asyncio
import os
import signal
from pathlib import Path

import world2 as world

GRACE_S = 0.25  # `drain_grace_ms` of offshore-grand-baie
SLACK_S = 0.05  # PROTOCOL.md: every time limit is extended by 50 ms
STALL_S = 1.2  # the brief (later, part 3): 830 to 1,500 ms
REQUESTS_PER_S = 50


async def case(record: world.Record, folder: str) -> bool:
    """Return whether the rule held."""
    primary = world.Server(record, "s-primary", True)
    replicas = [world.Server(record, f"s-replica{number}", False) for number in (1, 2, 3)]
    draining = replicas[0]
    discovery = world.Discovery(record, [primary, *replicas])
    async with world.running(primary, *replicas, discovery):
        config = {"discovery": f"127.0.0.1:{discovery.port}", "known": discovery.whole()}
        config["settings"] = world.offshore_grand_baie()
        gateway = world.Gateway(record, folder, config)
        await gateway.start()
        try:
            await gateway.wait_until_ready()
            clients = [world.Client(record, f"client{number:02}", gateway.port) for number in range(80)]
            for client in clients:
                await client.connect()
            load = asyncio.ensure_future(send_steadily(record, clients, record.now_s + 5))
            await asyncio.sleep(1)
            stall(record, gateway, signal.SIGSTOP)
            await asyncio.sleep(STALL_S / 2)
            discovery.set_state(draining, "terminating")
            draining.mode = "drains"
            await asyncio.sleep(STALL_S / 2)
            stall(record, gateway, signal.SIGCONT)
            await load
        finally:
            await gateway.end()
    told_at_s = min(at_s for at_s, version in discovery.written if version >= 2)
    late = [(at_s, request) for at_s, request in draining.sends if at_s > told_at_s + GRACE_S + SLACK_S]
    record.add("case", f"told at {told_at_s:.3f}; sends to s-replica1 after the grace: {len(late)}")
    return not late


def stall(record: world.Record, gateway: world.Gateway, number: signal.Signals) -> None:
    """Stop the gateway or let it go on."""
    if world.TROUBLE:
        os.kill(gateway.process.pid, number)
        record.add("gateway", f"gets {number.name}")


async def send_steadily(record: world.Record, clients: list[world.Client], end_s: float) -> None:
    """Send a read each 20 ms, on the next free connection."""
    free, asks = list(clients), []

    async def ask(client: world.Client) -> None:
        await client.ask(world.select("history-pull", 2500), 3.5)
        free.append(client)

    while record.now_s < end_s:
        if free:
            asks.append(asyncio.ensure_future(ask(free.pop(0))))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*asks)
    for client in clients:
        client.close()


if __name__ == "__main__":
    world.run_case(Path(__file__).parent, case, "stalled_drain-record.txt")
