"""Reads the data that the banks hold at the end of a run, over sockets."""

import asyncio
import time

from oatlink.gateway.links import connect
from oatlink.lab.embedded import Embedded
from oatlink.protocols.resp import Array, ReplyReader, command, decode
from oatlink.standins.box import PathFaults


async def read_final_tokens(embedded: Embedded) -> dict[bytes, list[bytes]]:
    """Clear all faults, then return the tokens stored under each key, read from the primary of each bank."""
    for box in embedded.boxes.values():
        box.faults.hang, box.faults.lag_ms, box.faults.die_on_write, box.faults.cut_replies = False, 0, False, 0
        box.faults.slow = 1.0
        for name in box.paths:
            box.paths[name] = PathFaults()
        if not box.running:
            box.start()
    deadline_s = time.monotonic() + 8
    tokens: dict[bytes, list[bytes]] = {}
    for bank in embedded.banks:
        while bank.primary is None and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)
        primary = bank.primary
        if primary is None:
            raise RuntimeError(f"{bank.name} has no primary at the end")
        stream = await connect(f"127.0.0.1:{primary.port}", 2)
        reader = ReplyReader()

        async def request(data: bytes, stream: "object" = stream, reader: ReplyReader = reader) -> Array:
            await stream.write(data)  # type: ignore[attr-defined]
            while (frame := reader.take()) is None:
                reader.feed(await stream.read_bytes(1 << 20, partial=True))  # type: ignore[attr-defined]
            value = decode(frame)
            assert isinstance(value, Array)
            return value

        for key in (await request(command("KEYS", "*"))).items:
            assert isinstance(key, bytes)
            if key.startswith((b"layout:", b"oatlink:")):
                continue  # written by a layout change
            if key.startswith(b"log:"):
                rows = await request(command("LRANGE", key, 0, -1))
                tokens[key] = [item for item in rows.items if isinstance(item, bytes)]
            else:
                rows = await request(command("XRANGE", key, "-", "+"))
                tokens[key] = [_token(entry) for entry in rows.items]
        stream.close()
    return tokens


def _token(entry: object) -> bytes:
    assert isinstance(entry, Array) and isinstance(entry.items[1], Array)
    token = entry.items[1].items[1]
    assert isinstance(token, bytes)
    return token
