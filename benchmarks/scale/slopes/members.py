"""The platform's gateway by its list of members, no connections: list, change, sweeps, line of state, memory."""

import asyncio
import logging
import socket
import time
import tracemalloc

from benchmarks.scale.lists import change, page
from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.site import settings
from oatlink.platform import discovery
from oatlink.platform.config import Config, Limits
from oatlink.platform.gateway import SWEEP_S, Gateway

PEERS = 3_600
TURNS = 9


class _Lines(logging.Handler):
    bytes = 0

    def emit(self, record: logging.LogRecord) -> None:
        self.bytes = len(record.getMessage())


def _note(_text: str) -> None:
    raise AssertionError(_text)


def _middle(times: list[float]) -> float:
    return 1000 * sorted(times)[len(times) // 2]


async def _measure(members: int) -> Values:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    config = Config(
        "gw", ("127.0.0.1", 0), ("127.0.0.1", 9), Limits(1, 0, 65_536), b"", settings(PEERS, 500_000), 2.5, 0.25, 15
    )
    whole = page(members)
    tracemalloc.start()
    gateway = Gateway(config, sock)
    before, _ = tracemalloc.get_traced_memory()
    gateway._on_news(discovery.read(whole, False, _note))
    kept, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    fresh = Gateway(config, sock)
    began = time.process_time()
    fresh._on_news(discovery.read(whole, False, _note))
    first = 1000 * (time.process_time() - began)
    again, one, sweeps, states, dials = [], [], [], [], []
    lines = _Lines()
    log = logging.getLogger("oatlink.platform")
    level, carries = log.level, log.propagate
    log.setLevel(logging.INFO)
    log.propagate = False
    log.addHandler(lines)
    for turn in range(TURNS):
        began = time.process_time()
        gateway._on_news(discovery.read(whole, False, _note))
        again.append(time.process_time() - began)
        text = change(turn, 2 + turn)
        began = time.process_time()
        gateway._on_news(discovery.read(text, False, _note))
        one.append(time.process_time() - began)
        began = time.process_time()
        gateway._servers.sweep()
        sweeps.append(time.process_time() - began)
        began = time.process_time()
        gateway._servers.may_dial()
        dials.append(time.process_time() - began)
        began = time.process_time()
        gateway._log_state()
        states.append(time.process_time() - began)
    log.removeHandler(lines)
    log.setLevel(level)
    log.propagate = carries
    sock.close()
    return {
        "list_bytes": len(whole),
        "first_ms": first,
        "again_ms": _middle(again),
        "change_ms": _middle(one),
        "change_bytes": len(change(0, 2)),
        "kept_kb": (kept - before) / 1000,
        "peak_kb": (most - before) / 1000,
        "sweep_cpu_ms_per_s": _middle(sweeps) / SWEEP_S,
        "may_dial_ms": _middle(dials),
        "state_line_bytes": lines.bytes,
        "state_line_ms": _middle(states),
    }


def _run(members: int) -> Values:
    return asyncio.run(_measure(members))


MEASUREMENT = Measurement(
    "members", "the platform's gateway by members, no connections", "members", (600, 1_200, 2_400, 4_800, 7_200), _run
)
