"""Runs a gateway process from reading its configuration to its exit. Signals are blocked when it begins."""

import asyncio
import gc
import logging
import socket
import sys

import uvloop

from oatlink.platform.config import Config, ConfigError, load
from oatlink.platform.gateway import Gateway
from oatlink.platform.lines import LogRateLimit


def open_listener(config: Config) -> socket.socket:
    """Bind the socket that the gateway will listen on. Raises `OSError`."""
    family = socket.AF_INET6 if ":" in config.listen[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(config.listen)
    sock.setblocking(False)
    return sock


async def serve(config: Config, sock: socket.socket) -> None:
    """Run the gateway until an orderly shutdown."""
    await Gateway(config, sock).run()


def run() -> int:
    """Run until an orderly shutdown. Returns the exit code: 2 if the configuration is wrong or the listener fails."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", "%H:%M:%S"))
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    logging.getLogger("tornado").setLevel(logging.ERROR)
    try:
        config = load()
        sock = open_listener(config)
    except ConfigError as problem:
        print(f"oatlink: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"oatlink: listen: {problem.strerror}", file=sys.stderr)
        return 2
    # Connections and requests are freed by reference counts; this bounds what any other cycles hold. The garbage
    # collector scans its oldest generation only once that has grown by a quarter, so cycles would pile up while a
    # quarter of all imported objects is a large number. Freezing the imported objects keeps that quarter small; the
    # second collection resets the collector's count.
    gc.collect()
    gc.freeze()
    gc.collect()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(config, sock))
    return 0
