"""The RESP gateway by its list of members, no connections: the settings' file, memory, a sweep a second."""

import json
import time
import tracemalloc

from tornado.ioloop import IOLoop

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.site import GROUP
from oatlink.core.commands import SLOTS
from oatlink.gateway.listeners import boxes_of
from oatlink.gateway.server import Gateway
from oatlink.lab.embedded import CLASSES
from oatlink.settings import load_text

TURNS = 5


def text_of(members: int) -> str:
    """The settings of a gateway before so many members."""
    groups = members // GROUP
    ends = [SLOTS * at // groups for at in range(groups + 1)]
    banks = [
        {
            "name": f"bank-{at:04}",
            "slots": [[ends[at], ends[at + 1] - 1]],
            "members": [
                {"name": f"db-{at:04}-{one:02}", "address": f"10.{at >> 8}.{at & 255}.{one}:6379"}
                for one in range(GROUP)
            ],
        }
        for at in range(groups)
    ]
    return f"{{ banks: {json.dumps(banks)}, classes: {CLASSES % {'wait': 0}} }}"


async def _measure(members: int) -> Values:
    text = text_of(members)
    began = time.process_time()
    settings = load_text(text, "file")
    read = time.process_time() - began
    tracemalloc.start()
    gateway = Gateway(settings)
    boxes = boxes_of(settings)
    gateway.apply_roster(boxes)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    fresh = Gateway(settings)
    began = time.process_time()
    fresh.apply_roster(boxes)
    first = time.process_time() - began
    sweeps = []
    for _ in range(TURNS):
        began = time.process_time()
        gateway._sweep()
        sweeps.append(time.process_time() - began)
    return {
        "file_bytes": len(text),
        "read_ms": 1000 * read,
        "first_ms": 1000 * first,
        "kept_kb": kept / 1000,
        "sweep_cpu_ms_per_s": 1000 * sorted(sweeps)[TURNS // 2],
    }


def _run(members: int) -> Values:
    found: Values = IOLoop().run_sync(lambda: _measure(members))
    return found


MEASUREMENT = Measurement(
    "resp", "the RESP gateway by members, no connections", "members", (600, 1_200, 2_400, 4_800, 7_200), _run
)
