"""A single call to discovery: one GET request over a connection of its own."""

import asyncio
import socket

import h11
from tornado.iostream import StreamClosedError

from oatlink.gateway.clock import Stream, TurnClock, timeout_excluding_stalls

MOST_BYTES = 4 * 1024 * 1024  # limit of an answer's body
MAX_OVERHEAD_BYTES = 65_536  # of everything but the body: status lines, headers, chunk framing
MAX_PARTIAL_HEAD_BYTES = 16_384  # of a response head that is not complete yet
READ_CHUNK_BYTES = 16_384


class CallError(Exception):
    """A call failed to bring a complete answer; the message says why."""


async def get(
    address: tuple[str, int], path: str, dial_timeout_s: float, timeout_s: float, turn_clock: TurnClock
) -> bytes:
    """Request `path` and return the body of the answer.

    The call takes at most `timeout_s`, however slowly bytes keep coming in. Raises `CallError` if no connection is
    established within `dial_timeout_s`, if the answer is not complete in time or exceeds its limits, and for any status
    but 200. The socket is closed in every case, also when the call is cancelled.
    """
    stream: Stream | None = None
    try:
        async with timeout_excluding_stalls(timeout_s):
            host, port = address
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            stream = Stream(
                socket.socket(family, socket.SOCK_STREAM),
                turn_clock,
                max_buffer_size=2 * READ_CHUNK_BYTES,
                read_chunk_size=READ_CHUNK_BYTES,
            )
            stream.set_nodelay(True)
            # Detects a connection attempt that hangs before the wait of a watch is over.
            async with timeout_excluding_stalls(dial_timeout_s):
                await stream.connect(address)
            host_header = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
            return await _exchange(stream, host_header, path)
    except TimeoutError:
        raise CallError("no whole answer in time") from None
    except h11.ProtocolError as problem:
        problem.__traceback__ = None  # h11 raises it in a method of its own, whose frame and the error are a cycle
        raise CallError(f"answer: {problem}") from None
    except OSError as problem:
        raise CallError(_reason(stream, problem)) from None
    finally:
        if stream is not None:
            stream.close()


def _reason(stream: Stream | None, problem: OSError) -> str:
    """Why a call failed: the error of its socket, if there is one."""
    cause = (stream.error if stream is not None else None) or problem
    return str(cause) or type(cause).__name__


async def _exchange(stream: Stream, host_header: str, path: str) -> bytes:
    """Send the request and read the answer. Raises `CallError`, `h11.ProtocolError` or `StreamClosedError`."""
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_PARTIAL_HEAD_BYTES)
    headers = [("Host", host_header), ("Accept", "application/json"), ("Connection", "close")]
    request = http.send(h11.Request(method="GET", target=path, headers=headers)) or b""
    await stream.write(request + (http.send(h11.EndOfMessage()) or b""))
    body = bytearray()
    received_bytes = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await _read_chunk(stream)
            received_bytes += len(data)
            # Bounds a peer that sends chunk framing or interim responses without end, which do not grow the body.
            if received_bytes > MOST_BYTES + MAX_OVERHEAD_BYTES:
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


async def _read_chunk(stream: Stream) -> bytes:
    """Return the next bytes; none if the peer closed in order. Raises `StreamClosedError` for any other end."""
    # Yields to the loop, so that a peer that floods the connection does not starve requests and timeouts.
    await asyncio.sleep(0)
    try:
        return await stream.read_bytes(READ_CHUNK_BYTES, partial=True)
    except StreamClosedError:
        # An answer without a length ends only with an orderly close. After a reset, the part that was received could be
        # mistaken for a complete list, so a reset is an error.
        if stream.error is not None:
            raise
        return b""
