"""Opens a stream to an address within a time limit.

The module sets the socket options of a connection and names the reasons for which there is none. It has no state and
knows no protocol.
"""

import socket

from tornado.iostream import StreamClosedError
from tornado.netutil import Resolver

from oatlink.gateway.clock import Stream, TurnClock, timeout_excluding_stalls
from oatlink.settings.parts import is_address

UNANSWERED_KEEPALIVES = 3  # the kernel ends a connection after this many


class DialError(Exception):
    """No connection could be opened; the text is one of `outcomes.ENDINGS`."""


async def connect(address: str, timeout_s: float, turn_clock: TurnClock | None = None, keepalive_s: int = 0) -> Stream:
    """Open a stream to host:port or unix:PATH. Raises `DialError`.

    With `keepalive_s` above 0, the kernel probes an idle peer at that interval and ends the connection after three
    probes without an answer.
    """
    assert is_address(address)
    stream: Stream | None = None
    turn_clock = turn_clock or TurnClock()
    try:
        async with timeout_excluding_stalls(timeout_s):
            if address.startswith("unix:"):
                stream = Stream(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), turn_clock, max_buffer_size=1 << 30)
                await stream.connect(address[5:])
                return stream
            host, _, port = address.rpartition(":")
            resolved = await Resolver().resolve(host.strip("[]"), int(port))
            family, socket_address = resolved[0]
            stream = Stream(socket.socket(family, socket.SOCK_STREAM), turn_clock, max_buffer_size=1 << 30)
            stream.set_nodelay(True)
            if keepalive_s:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
                for option in ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT"):
                    if hasattr(socket, option):
                        value = UNANSWERED_KEEPALIVES if option == "TCP_KEEPCNT" else keepalive_s
                        stream.socket.setsockopt(socket.IPPROTO_TCP, getattr(socket, option), value)
            await stream.connect(socket_address)
            return stream
    except TimeoutError:
        if stream is not None:
            stream.close()
        raise DialError("no connection in time") from None
    except (OSError, StreamClosedError):
        if stream is not None:
            stream.close()
        raise DialError("refused") from None
