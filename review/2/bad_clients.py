"""The bad clients of this case, in a process of their own: each sends all its commands at once and reads on."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import standins as si  # noqa: E402

EMPTY_ANSWER_BYTES = 5 + 6  # EmptyQueryResponse and ReadyForQuery


async def send_at_once(address: tuple[str, int], commands: int, times: list[float]) -> None:
    """Connect, send empty queries at once, and read the answers as they come."""
    with contextlib.suppress(OSError):
        began = time.time()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(si.STARTUP + si.message(b"Q", b"\0") * commands)
        received = 0
        while received < commands * EMPTY_ANSWER_BYTES and (data := await reader.read(262144)):
            received += len(data)
        if received >= commands * EMPTY_ANSWER_BYTES:
            times.append(time.time() - began)
        writer.close()


async def main(port: int, clients: int, commands: int) -> None:
    """Run all clients and print how many had all their answers, and when the last one had them."""
    times: list[float] = []
    await asyncio.gather(*(send_at_once(("127.0.0.1", port), commands, times) for _ in range(clients)))
    print(f"{len(times)} bad clients had all their answers, the last after {max(times, default=0):.2f} s")


if __name__ == "__main__":
    asyncio.run(main(*(int(each) for each in sys.argv[1:])))
