"""Clients that cost a gateway memory or time: `python -m tests.flood_clients PORT KIND COUNT`, a process of its own.

Each runs until it is killed, and comes again as soon as its connection ends. `KINDS` says what each kind sends.
"""

import asyncio
import itertools
import os
import struct
import sys
from collections.abc import Callable, Coroutine, Iterator

from oatlink.protocols import pgwire as pg

VALUE_BYTES = 64 * 1024  # the longest value that the protocol allows
STARTUP = pg.make_startup({"user": "backend", "database": "store"}).encode()
PIECE_BYTES = 4_096
SLOW_PAUSE_S = 0.02
BATCH_REQUESTS = 64
UNREAD_REQUESTS = 200

Flood = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]
NUMBERS = itertools.count(os.getpid() << 24)


def write_request(number: int, value_bytes: int = 2) -> bytes:
    """A valid write under a name of its own."""
    comment = f"/* id={number:016x},c=post,d=1500,k={number:x},cluster=1 */"
    insert = f"{comment} INSERT INTO kv (name, content) VALUES ('{number:x}', "
    return pg.make_query(insert.encode() + b"'\\x" + b"9f" * value_bytes + b"') RETURNING content").encode()


def read_request(number: int, request_class: str = "view") -> bytes:
    """A small read under a name of its own; of a class that does not exist, it is unsound."""
    text = f"/* id={number:016x},c={request_class},d=1500,cluster=1 */ SELECT content FROM kv WHERE name = '{number:x}'"
    return pg.make_query(text.encode()).encode()


async def stop_half_way(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send most of a large request, and no more."""
    writer.write(STARTUP + write_request(next(NUMBERS), VALUE_BYTES)[:-2_000])
    await read_to_end(reader)


async def write_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send large requests in small pieces."""
    reading = asyncio.ensure_future(read_to_end(reader))
    writer.write(STARTUP)
    while not reading.done():
        request = write_request(next(NUMBERS), VALUE_BYTES)
        for start in range(0, len(request), PIECE_BYTES):
            if reading.done():
                return
            writer.write(request[start : start + PIECE_BYTES])
            await asyncio.sleep(SLOW_PAUSE_S)


async def send_many_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send startups of very many short fields, all but the end at first."""
    body = struct.pack("!i", pg.PROTOCOL) + b"user\0u\0" + b"a\0\0" * 3_300 + b"\0"
    startup = struct.pack("!i", len(body) + 4) + body
    writer.write(startup[:-1])
    await asyncio.sleep(SLOW_PAUSE_S)
    writer.write(startup[-1:])
    await read_to_end(reader)


async def write_at_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send large writes one behind the other, as fast as they are read."""
    reading = asyncio.ensure_future(read_to_end(reader))
    writer.write(STARTUP)
    while not reading.done():
        writer.write(write_request(next(NUMBERS), VALUE_BYTES))
        await writer.drain()


async def read_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send reads and take no answer."""
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(STARTUP)
    for _ in range(UNREAD_REQUESTS):
        writer.write(read_request(next(NUMBERS)))
        await asyncio.sleep(SLOW_PAUSE_S)


def batches(make_request: Callable[[int], bytes]) -> Iterator[bytes]:
    while True:
        yield b"".join(make_request(next(NUMBERS)) for _ in range(BATCH_REQUESTS))


def send_fast(pieces: Callable[[], Iterator[bytes]]) -> Flood:
    """Send pieces at full speed on one connection, and read what comes."""

    async def flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reading = asyncio.ensure_future(read_to_end(reader))
        writer.write(STARTUP)
        for piece in pieces():
            if reading.done():
                break
            writer.write(piece)
            await writer.drain()

    return flood


KINDS: dict[str, Flood] = {
    "stopped": stop_half_way,
    "slow": write_slowly,
    "fields": send_many_fields,
    "writes": write_at_once,
    "unread": read_nothing,
    "small reads": send_fast(lambda: batches(read_request)),
    "new names": send_fast(lambda: batches(write_request)),
    "unsound": send_fast(lambda: batches(lambda number: read_request(number, f"none{number}"))),
    "empty": send_fast(lambda: itertools.repeat(pg.make_query(b"").encode() * BATCH_REQUESTS)),
}


async def read_to_end(reader: asyncio.StreamReader) -> None:
    """Read and discard until the connection ends."""
    try:
        while await reader.read(65_536):
            pass
    except ConnectionError:
        pass


async def come_again_and_again(port: int, flood: Flood) -> None:
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=65_536)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        try:
            await flood(reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()


async def main(port: int, kind: str, count: int) -> None:
    """Run `count` clients of a kind."""
    await asyncio.gather(*(come_again_and_again(port, KINDS[kind]) for _ in range(count)))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3])))
