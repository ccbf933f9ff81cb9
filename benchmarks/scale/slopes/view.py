"""Who is there, by values: membership's tick, a message taken in, the message's bytes, and the state's memory."""

import random
import time
import tracemalloc

from benchmarks.scale.measure import Measurement, Values
from oatlink.fleet.envelope import LENGTH_BYTES, MIN_FRAME_BYTES, encode
from oatlink.fleet.membership.view import ALIVE_US, FAN_OUT, MAX_HEARD, View, patience_us
from oatlink.fleet.messages import Alive, Tell

TURNS = 60


def _run(nodes: int) -> Values:
    names = tuple(f"gw-{at:05}" for at in range(nodes))
    draw = random.Random(5)
    tracemalloc.start()
    view = View(names[0], 1 << 40, names, 1, 0.001, 0)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    now, sizes, ticks, takes, alives = 0, [], [], [], []
    for _ in range(TURNS):
        now += ALIVE_US * 11 // 10
        for _ in range(FAN_OUT):
            sender = draw.randrange(1, nodes)
            words = tuple((one, draw.randrange(20_000)) for one in draw.sample(range(nodes), min(MAX_HEARD, nodes)))
            began = time.process_time()
            view.receive(names[sender], Alive((1 << 40) + sender, False, words), now)
            takes.append(time.process_time() - began)
        began = time.process_time()
        effects = view.tick(now)
        ticks.append(time.process_time() - began)
        began = time.process_time()
        view.alive(now)  # asked for at each tick of the verdicts' part
        alives.append(time.process_time() - began)
        sizes += [LENGTH_BYTES + MIN_FRAME_BYTES + len(encode(one.message)) for one in effects if isinstance(one, Tell)]
    middle = TURNS // 2
    return {
        "tick_ms": 1000 * sorted(ticks)[middle],
        "alive_ms": 1000 * sorted(alives)[middle],
        "take_ms": 1000 * sorted(takes)[len(takes) // 2],
        "message_bytes": sum(sizes[-30:]) / 30,
        "memory_kb": memory / 1000,
        "patience_s": patience_us(nodes) / 1e6,
    }


MEASUREMENT = Measurement(
    "view",
    "membership's view of one node by values, every one heard of",
    "nodes",
    (300, 600, 1_200, 2_400, 3_600),
    _run,
)
