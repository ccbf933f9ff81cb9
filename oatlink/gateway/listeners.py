"""What a gateway starts with: the roster of its settings, and bound sockets."""

import socket

from tornado.netutil import bind_sockets, bind_unix_socket

from oatlink.core import messages as m
from oatlink.settings.model import Settings

LISTEN_BACKLOG = 1024


def boxes_of(settings: Settings) -> tuple[m.Box, ...]:
    """The roster that the settings name."""
    return tuple(
        m.Box(
            member.name,
            bank_number,
            member.address,
            member.hall,
            member.kind,
            member.state,
            member.primary,
            tuple(m.Way(path.address, path.hall, path.connect_timeout_ms, path.keepalive_s) for path in member.paths),
        )
        for bank_number, bank in enumerate(settings.banks)
        for member in bank.members
    )


def listen(address: str, reuse_port: bool = False) -> list[socket.socket]:
    """Bind sockets for host:port (port 0: any free one) or unix:PATH. Raises `OSError`."""
    if address.startswith("unix:"):
        return [bind_unix_socket(address[5:], mode=0o600)]
    host, _, port = address.rpartition(":")
    return bind_sockets(int(port), host.strip("[]"), backlog=LISTEN_BACKLOG, reuse_port=reuse_port)
