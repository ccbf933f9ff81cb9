"""A node of a fleet by values: what its tick costs, which the shell calls ten times a second even when idle."""

import random
import time
import tracemalloc

from benchmarks.scale.measure import Measurement, Values
from oatlink.fleet.membership.view import FAN_OUT, MAX_HEARD
from oatlink.fleet.messages import Alive
from oatlink.fleet.node import Node
from oatlink.settings.fleet import Fleet, FleetNode

LOOK_US = 100_000  # of the shell
SECONDS = 20


def fleet_of(nodes: int) -> Fleet:
    """The fleet's part of the settings of the first node."""
    listed = tuple(
        FleetNode(f"gw-{at:05}", f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:7400", at < 5) for at in range(nodes)
    )
    return Fleet("gw-00007", listed, ("/etc/oatlink/fleet.key",), "/var/lib/oatlink")


def _run(nodes: int) -> Values:
    fleet, draw = fleet_of(nodes), random.Random(3)
    names = [one.name for one in fleet.nodes]
    members = {f"box-{at}": f"bank-{at // 12}" for at in range(1_200)}
    tracemalloc.start()
    node = Node(fleet, members, 3_000_000, 1 << 40, 9, 0)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    now, took, took_in, messages = 0, 0.0, 0.0, 0
    for _ in range(SECONDS * 1_000_000 // LOOK_US):
        now += LOOK_US
        began = time.process_time()
        messages += len(node.tick((), (), now))
        took += time.process_time() - began
        if draw.random() < FAN_OUT / 20:  # as many come in as go out: three in two seconds
            sender = draw.randrange(8, nodes)
            words = tuple((one, draw.randrange(20_000)) for one in draw.sample(range(nodes), min(MAX_HEARD, nodes)))
            began = time.process_time()
            node.receive(names[sender], Alive((1 << 40) + sender, False, words), now)
            took_in += time.process_time() - began
    return {
        "tick_cpu_ms_per_s": 1000 * took / SECONDS,
        "take_cpu_ms_per_s": 1000 * took_in / SECONDS,
        "messages_per_s": messages / SECONDS,
        "memory_kb": memory / 1000,
    }


MEASUREMENT = Measurement(
    "node",
    "an idle node of a fleet by values, ten ticks a second, no sockets",
    "nodes",
    (300, 600, 1_200, 2_400, 3_600),
    _run,
)
