"""A fleet's settings with N names: the file's bytes, to read, check and hash it, and the memory it keeps."""

import time
import tracemalloc

import msgspec

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.slopes.node import fleet_of
from oatlink.settings.fleet import Fleet, check_fleet, fleet_hash


def _run(nodes: int) -> Values:
    text = msgspec.json.encode(fleet_of(nodes))
    times = []
    for _ in range(5):
        began = time.process_time()
        fleet = msgspec.json.decode(text, type=Fleet)
        assert not list(check_fleet(fleet))
        fleet_hash(fleet)
        times.append(time.process_time() - began)
    tracemalloc.start()
    kept = msgspec.json.decode(text, type=Fleet)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept == fleet
    return {"file_bytes": len(text), "read_ms": 1000 * sorted(times)[2], "memory_kb": memory / 1000}


MEASUREMENT = Measurement(
    "settings",
    "the fleet's part of a settings file, which every node has whole",
    "nodes",
    (450, 900, 1_800, 3_600),
    _run,
)
