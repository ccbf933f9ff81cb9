"""One call to discovery: a GET over a connection of its own, from the first packet to the last byte of the answer."""

import asyncio
import socket

import h11
from tornado.iostream import StreamClosedError

from oatlink.gateway.clock import Stream, TurnClock, timeout_excluding_stalls

MOST_BYTES = 4 * 1024 * 1024  # of a body
MOST_AROUND = 65_536  # of all that is not body: status lines, headers, the frames of chunks
MOST_HEAD = 16_384  # of a head that is not whole yet
CHUNK = 16_384  # bytes read at once


class CallError(Exception):
    """A call that brought no whole answer; says why."""


async def get(address: tuple[str, int], path: str, dial_s: float, most_s: float, turn_clock: TurnClock) -> bytes:
    """The body of a good answer. Ends with its last byte, or `most_s` after it began, whatever trickles in by then.

    Raises `CallError` where no connection comes up within `dial_s`, where the answer is not whole in time or over its
    bounds, and for any status but 200. However it ends, and when it is cancelled, its socket is closed.
    """
    stream: Stream | None = None
    try:
        async with timeout_excluding_stalls(most_s):
            host, port = address
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            stream = Stream(
                socket.socket(family, socket.SOCK_STREAM), turn_clock, max_buffer_size=2 * CHUNK, read_chunk_size=CHUNK
            )
            stream.set_nodelay(True)
            # A connection that hangs is known as such before a watch's wait is over.
            async with timeout_excluding_stalls(dial_s):
                await stream.connect(address)
            where = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
            return await _exchange(stream, where, path)
    except TimeoutError:
        raise CallError("no whole answer in time") from None
    except h11.ProtocolError as problem:
        raise CallError(f"answer: {problem}") from None
    except OSError as problem:
        cause = (stream.error if stream is not None else None) or problem
        raise CallError(str(cause) or type(cause).__name__) from None
    finally:
        if stream is not None:
            stream.close()


async def _exchange(stream: Stream, where: str, path: str) -> bytes:
    """Ask and read the answer. Raises `CallError`, `h11.ProtocolError` or `StreamClosedError`."""
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
    headers = [("Host", where), ("Accept", "application/json"), ("Connection", "close")]
    ask = http.send(h11.Request(method="GET", target=path, headers=headers)) or b""
    await stream.write(ask + (http.send(h11.EndOfMessage()) or b""))
    body = bytearray()
    came = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await _more(stream)
            came += len(data)
            # Threat: a peer that never ends its chunks' frames or its interim answers; no body grows by them.
            if came > MOST_BYTES + MOST_AROUND:
                raise CallError("answer: too much around its body")
            http.receive_data(data)
        elif isinstance(event, h11.Response):
            if event.status_code != 200:
                raise CallError(f"status {event.status_code}")
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MOST_BYTES:
                raise CallError(f"answer: over {MOST_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        elif not isinstance(event, h11.InformationalResponse):
            raise CallError("answer: ended before it began")


async def _more(stream: Stream) -> bytes:
    """What came next; nothing where the peer has ended in order. Raises `StreamClosedError` for any other end."""
    # Threat: a flood is read without a pause, and neither requests nor time-outs get their turn.
    await asyncio.sleep(0)
    try:
        return await stream.read_bytes(CHUNK, partial=True)
    except StreamClosedError:
        # Threat: an answer without a length whose connection is reset on the way. What came of it may read as a whole
        # list, but only a peer that closes in order says that this was all: a reset is no end.
        if stream.error is not None:
            raise
        return b""
