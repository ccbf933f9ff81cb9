"""Hundreds of bad clients send a startup message that can't be read, and come again as soon as they are turned away.

Does each usual request get its final answer half a second after its client's time at the latest?
"""

import asyncio
import contextlib
import sys
from pathlib import Path

import world2 as world

PROCESSES, CLIENTS = 3, 200  # 600 bad clients: DAYS: "Others connect by hundreds", "at full speed"
DESCRIPTORS = 1024  # DAYS: 256 to 1,024
USUAL_CLIENTS = 20
WAIT_S = 0.4  # `d`: a try is given up after 40 to 100% of the class's give-up time, 1 s
LATE_S = 0.5  # FLEET.md: up to half a second after its time an answer only earns nothing; later it is lost
SLACK_S = 0.05  # PROTOCOL.md: every time limit is extended by 50 ms
WORK_S = 0.06  # of history-pull: 45 to 78 ms
SECONDS = 10.0
OWN_LATENESS_S = 0.2  # the case could not run if this process itself was late by more


async def case(record: world.Record, folder: str) -> bool:
    """Return whether the rule held."""
    primary = world.Server(record, "s-primary", True, WORK_S)
    replicas = [world.Server(record, f"s-replica{number}", False, WORK_S) for number in (1, 2, 3)]
    discovery = world.Discovery(record, [primary, *replicas])
    async with world.running(primary, *replicas, discovery):
        config = {"discovery": f"127.0.0.1:{discovery.port}", "known": discovery.whole()}
        config["settings"] = world.nav_history_moka()
        config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS}
        gateway = world.Gateway(record, folder, config)
        await gateway.start()
        bad: list[asyncio.subprocess.Process] = []
        lost: list[str] = []
        try:
            await gateway.wait_until_ready()
            end_s = record.now_s + SECONDS
            lateness = asyncio.ensure_future(measure_lateness(record, end_s))
            names = [f"client{number:02}" for number in range(USUAL_CLIENTS)]
            clients = [asyncio.ensure_future(ask_all(record, name, gateway.port, end_s, lost)) for name in names]
            await asyncio.sleep(1)
            if world.TROUBLE:
                record.add("bad clients", f"{PROCESSES * CLIENTS} of them come")
                program = str(Path(__file__).with_name("bad_clients.py"))
                for _ in range(PROCESSES):
                    process = await asyncio.create_subprocess_exec(
                        sys.executable, program, str(gateway.port), str(CLIENTS)
                    )
                    bad.append(process)
            await asyncio.gather(*clients)
            own_s = await lateness
        finally:
            for process in bad:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            await gateway.end()
    record.add("case", f"requests lost: {len(lost)}; this process was late by {own_s:.3f} s at most")
    if own_s > OWN_LATENESS_S:
        raise world.CannotRunError(f"this process was late by {own_s:.3f} s")
    return not lost


async def measure_lateness(record: world.Record, end_s: float) -> float:
    """How late this process itself is at most, in seconds."""
    worst_s = 0.0
    while record.now_s < end_s:
        due_s = record.now_s + 0.02
        await asyncio.sleep(0.02)
        worst_s = max(worst_s, record.now_s - due_s)
    return worst_s


async def ask_all(record: world.Record, name: str, port: int, end_s: float, lost: list[str]) -> None:
    """Send reads as a usual client, one after the other, until the end."""
    client = world.Client(record, name, port)
    while record.now_s < end_s:
        text = world.select("history-pull", round(WAIT_S * 1000))
        await client.connect()
        sent_at_s = record.now_s
        outcome, _ = await client.ask(text, 8.0)
        took_s = record.now_s - sent_at_s
        if outcome == "none" or took_s > WAIT_S + LATE_S + SLACK_S:
            lost.append(world.comment_fields(text)["id"])
            record.add("case", f"LOST: id={lost[-1]}: {outcome} after {took_s:.3f} s")
        await asyncio.sleep(0.1)
    client.close()


if __name__ == "__main__":
    world.run_case(Path(__file__).parent, case)
