"""Discovery is crowded: each call waits almost as long as a call may wait, and is answered then.

A server begins to drain. Does the gateway stop sending to it within the grace after it counts as told?
"""

import asyncio
from pathlib import Path

import world2 as world

GRACE_S = 1.0  # `drain_grace_ms` of nav-history-moka
SLACK_S = 0.05  # PROTOCOL.md: every time limit is extended by 50 ms
TOLD_AFTER_S = 6.0  # FLEET.md: at the latest 6 s after discovery had it and could be reached
TIMEOUT_S = 2.0  # `timeout_ms` of nav-history-moka: discovery turns a call away if its answer would take longer
CALL_S = 0.05  # discovery's time for a call


async def wait_in_line() -> bool:
    """Wait for discovery's turn, behind the calls of other gateways.

    Those come faster than they are answered, so the line is as long as discovery lets it become: a call that is not
    turned away is answered just within its time.
    """
    await asyncio.sleep(TIMEOUT_S - CALL_S)
    return True


async def case(record: world.Record, folder: str) -> bool:
    """Return whether the rule held."""
    primary = world.Server(record, "s-primary", True)
    replicas = [world.Server(record, f"s-replica{number}", False) for number in (1, 2, 3)]
    draining = replicas[0]
    discovery = world.Discovery(record, [primary, *replicas])
    async with world.running(primary, *replicas, discovery):
        discovery.admit = wait_in_line if world.TROUBLE else None
        address = f"127.0.0.1:{discovery.port}"
        config = {"discovery": address, "known": discovery.whole(), "settings": world.nav_history_moka()}
        gateway = world.Gateway(record, folder, config)
        await gateway.start()
        try:
            await gateway.wait_until_ready()
            end_s = record.now_s + 20
            clients = [asyncio.ensure_future(ask_all(record, number, gateway.port, end_s)) for number in range(6)]
            await asyncio.sleep(3)
            drains_at_s = discovery.set_state(draining, "terminating")
            draining.mode = "drains"
            await asyncio.gather(*clients)
        finally:
            await gateway.end()
    written = [at_s for at_s, version in discovery.written if version >= 2]
    told_at_s = min([drains_at_s + TOLD_AFTER_S, *written])
    late = [(at_s, request) for at_s, request in draining.sends if at_s > told_at_s + GRACE_S + SLACK_S]
    record.add("case", f"told at {told_at_s:.3f} at the latest; sends to s-replica1 after the grace: {len(late)}")
    return not late


async def ask_all(record: world.Record, number: int, port: int, end_s: float) -> None:
    """Send reads, one after the other, until the end."""
    client = world.Client(record, f"client{number}", port)
    while record.now_s < end_s:
        await client.ask(world.select("history-pull", 1000), 2.0)
        await asyncio.sleep(0.1)
    client.close()


if __name__ == "__main__":
    world.run_case(Path(__file__).parent, case)
