"""A gateway's process from its configuration to its end; signals are held when it begins."""

import asyncio
import gc
import logging
import socket
import sys

import uvloop

from oatlink.platform.config import Config, ConfigError, read
from oatlink.platform.gateway import Gateway
from oatlink.platform.lines import LogRateLimit

BACKLOG = 512


def bound(config: Config) -> socket.socket:
    """The listening socket. Raises `OSError`."""
    family = socket.AF_INET6 if ":" in config.listen[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(config.listen)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


async def serve(config: Config, sock: socket.socket) -> None:
    """Run the gateway."""
    await Gateway(config, sock).run()


def run() -> int:
    """Run until an orderly end; 2 where the configuration is wrong."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", "%H:%M:%S"))
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    logging.getLogger("tornado").setLevel(logging.ERROR)
    try:
        config = read()
        sock = bound(config)
    except ConfigError as problem:
        print(f"oatlink: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"oatlink: listen: {problem.strerror}", file=sys.stderr)
        return 2
    # Threat: closed connections are cycles, and the collector looks at its oldest generation only once it has grown by
    # a quarter. Without what was imported, a quarter is little; the second collection makes it count anew.
    gc.collect()
    gc.freeze()
    gc.collect()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(config, sock))
    return 0
