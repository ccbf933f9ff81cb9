"""Client connections of the platform's gateway, idle after one query: memory, descriptors, processor time."""

import socket

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.slopes.child import Child
from oatlink.protocols import pgwire as pg

STARTUP = pg.make_startup({"user": "app", "database": "store"}).encode()
QUERY = pg.make_query(b"SELECT 1").encode()
IDLE_S = 5


def _ask(one: socket.socket) -> None:
    """Start up, ask once and take the answer: who has asked nothing is closed."""
    one.sendall(STARTUP + QUERY)
    readys, kept = 0, b""
    while readys < 2:
        data = one.recv(4_096)
        assert data, "closed"
        kept += data
        readys = kept.count(b"Z\x00\x00\x00\x05I")


def _run(clients: int) -> Values:
    child = Child()
    socks: list[socket.socket] = []
    try:
        for _ in range(50):  # what the first ones bring with them is the process's, not theirs
            with socket.create_connection(("127.0.0.1", child.port)) as one:
                _ask(one)
        before = child.ask("wait", 1)
        quiet = child.ask("wait", IDLE_S)
        for _ in range(clients):
            one = socket.create_connection(("127.0.0.1", child.port))
            socks.append(one)
            _ask(one)
        after = child.ask("wait", 1)
        idle = child.ask("wait", IDLE_S)
        assert idle["open"] == clients, idle
    finally:
        for one in socks:
            one.close()
        child.close()
    return {
        "kept_kb": after["kept_kb"] - before["kept_kb"],
        "descriptors": after["descriptors"] - before["descriptors"],
        "idle_cpu_ms_per_s": 1000 * (idle["cpu_s"] - quiet["cpu_s"]) / IDLE_S,
    }


MEASUREMENT = Measurement(
    "clients",
    "client connections of the platform's gateway, idle after one query",
    "clients",
    (100, 200, 400, 800),
    _run,
)
