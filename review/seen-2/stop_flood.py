"""No case: a planned restart, while bad clients connect and come again as soon as they are turned away.

Does each usual request get its final answer in time, although the gateway was told to end?
"""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import world2 as world

PROCESSES, CLIENTS = 2, 150  # 300 bad clients: DAYS: "Others connect by hundreds and say nothing"
WAIT_S = 1.0  # `d` of the reads: the class's deadline
LATE_S = 0.5  # FLEET.md: up to half a second after its time an answer only earns nothing; later it is lost
SLACK_S = 0.05  # PROTOCOL.md: every time limit is extended by 50 ms
KILL_S = 3.0 + 0.7  # PROTOCOL.md: SIGKILL arrives no earlier than this after SIGTERM


async def case(record: world.Record, folder: str) -> bool:
    """Return whether the rule held."""
    primary = world.Server(record, "s-primary", True)
    replicas = [world.Server(record, f"s-replica{number}", False) for number in (1, 2, 3)]
    discovery = world.Discovery(record, [primary, *replicas])
    async with world.running(primary, *replicas, discovery):
        config = {"discovery": f"127.0.0.1:{discovery.port}", "known": discovery.whole()}
        config["settings"] = world.nav_history_moka()
        config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
        gateway = world.Gateway(record, folder, config)
        await gateway.start()
        bad: list[asyncio.subprocess.Process] = []
        lost: list[str] = []
        try:
            await gateway.wait_until_ready()
            end_s = record.now_s + 20
            clients = [asyncio.ensure_future(ask_all(record, number, gateway, end_s, lost)) for number in range(6)]
            await asyncio.sleep(1)
            if world.TROUBLE:
                record.add("bad clients", f"{PROCESSES * CLIENTS} of them connect and say nothing")
                for _ in range(PROCESSES):
                    program = str(Path(__file__).with_name("bad_clients.py"))
                    bad.append(
                        await asyncio.create_subprocess_exec(sys.executable, program, str(gateway.port), str(CLIENTS))
                    )
            await asyncio.sleep(3)
            gateway.process.send_signal(signal.SIGTERM)
            record.add("gateway", "gets SIGTERM")
            try:
                await asyncio.wait_for(gateway.process.wait(), KILL_S)
                record.add("gateway", f"has ended with {gateway.process.returncode}")
            except TimeoutError:
                gateway.process.kill()
                record.add("gateway", "gets SIGKILL")
            await asyncio.gather(*clients)
        finally:
            for process in bad:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            await gateway.end()
    record.add("case", f"lost requests: {len(lost)} {lost}")
    return not lost


async def ask_all(record: world.Record, number: int, gateway: world.Gateway, end_s: float, lost: list[str]) -> None:
    """Send reads as a usual client until the gateway takes no connection any more."""
    client = world.Client(record, f"client{number}", gateway.port)
    is_resting = False  # whether the connection has carried a request before
    while record.now_s < end_s:
        text = world.select("history-pull", round(WAIT_S * 1000))
        request = world.comment_fields(text)["id"]
        try:
            await client.connect()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        sent_at_s = record.now_s
        outcome, why = await client.ask(text, 6.0)
        took_s = record.now_s - sent_at_s
        if (outcome, why) == ("none", "connection ended") and took_s < 0.1 and is_resting:
            return  # the gateway has closed a resting connection: the client would go to another gateway
        if outcome == "none" or took_s > WAIT_S + LATE_S + SLACK_S:
            record.add(client.name, f"LOST id={request}: {outcome} after {took_s:.3f} s")
            lost.append(request)
        is_resting = True
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    world.run_case(Path(__file__).parent, case, "stop_flood-record.txt")
