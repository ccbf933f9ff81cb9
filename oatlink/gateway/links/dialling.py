"""A stream to an address, within its time.

What may live here: what the kernel is asked for a connection, and the words for not getting one. No state, no protocol.
"""

import socket

from tornado.iostream import StreamClosedError
from tornado.netutil import Resolver

from oatlink.gateway.clock import Stream, TurnClock, timeout_excluding_stalls
from oatlink.settings.parts import is_address


class DialError(Exception):
    """No connection; the text is a word of `outcomes.ENDINGS`."""


async def connect(address: str, timeout_s: float, turn_clock: TurnClock | None = None, keepalive_s: int = 0) -> Stream:
    """A stream to host:port or unix:PATH. Raises `DialError`.

    `keepalive_s` above 0: the kernel asks an idle peer so often, and ends the connection after three silences.
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
            found = await Resolver().resolve(host.strip("[]"), int(port))
            family, where = found[0]
            stream = Stream(socket.socket(family, socket.SOCK_STREAM), turn_clock, max_buffer_size=1 << 30)
            stream.set_nodelay(True)
            if keepalive_s:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
                for option in ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT"):
                    if hasattr(socket, option):
                        value = 3 if option == "TCP_KEEPCNT" else keepalive_s
                        stream.socket.setsockopt(socket.IPPROTO_TCP, getattr(socket, option), value)
            await stream.connect(where)
            return stream
    except TimeoutError:
        if stream is not None:
            stream.close()
        raise DialError("no connection in time") from None
    except (OSError, StreamClosedError):
        if stream is not None:
            stream.close()
        raise DialError("refused") from None
