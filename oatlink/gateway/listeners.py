"""What a gateway begins with: the roster of its settings, and bound sockets."""

import socket

from tornado.netutil import bind_sockets, bind_unix_socket

from oatlink.core import messages as m
from oatlink.settings.model import Settings


def boxes_of(settings: Settings) -> tuple[m.Box, ...]:
    """The roster that the settings name."""
    return tuple(
        m.Box(
            one.name,
            number,
            one.address,
            one.hall,
            one.kind,
            one.state,
            one.primary,
            tuple(m.Way(way.address, way.hall, way.connect_timeout_ms, way.keepalive_s) for way in one.paths),
        )
        for number, bank in enumerate(settings.banks)
        for one in bank.members
    )


def listen(address: str, reuse_port: bool = False) -> list[socket.socket]:
    """Bound sockets for host:port (port 0: any free one) or unix:PATH. Raises `OSError`."""
    if address.startswith("unix:"):
        return [bind_unix_socket(address[5:], mode=0o600)]
    host, _, port = address.rpartition(":")
    return bind_sockets(int(port), host.strip("[]"), backlog=1024, reuse_port=reuse_port)
