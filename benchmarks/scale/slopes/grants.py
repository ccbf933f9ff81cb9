"""A home by values: grants a second of processor time by the number of nodes that ask, four tenants active."""

import time
import tracemalloc

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.wire import wire_us
from oatlink.fleet.envelope import LENGTH_BYTES, MIN_FRAME_BYTES, encode
from oatlink.fleet.limits.coordinator import LimitCoordinator
from oatlink.fleet.limits.requester import ASK_US
from oatlink.fleet.limits.shards import shard_of
from oatlink.fleet.messages import Demand, Effect, Grants, Tell, Want

TENANTS = 4
ROUNDS = 8
LEASE_US = 2**60


def _run(nodes: int) -> Values:
    names = [name for at in range(100) if shard_of(name := f"tenant/{at}") == 0][:TENANTS]
    askers = [f"gw-{at:05}" for at in range(nodes)]
    home_of_all = LimitCoordinator(0, dict.fromkeys(names, (50_000.0, 50_000.0, 0.2)), askers)
    home_of_all.began(1, 1_000_000_000)
    home = LimitCoordinator(0, dict.fromkeys(names, (50_000.0, 50_000.0, 0.2)), askers)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for at, node in enumerate(askers):  # once alone, for what a home keeps of all that ask
        home_of_all.want(node, Want(at, 0, tuple(Demand(name, 1.0) for name in names)), LEASE_US, 1_000_000_000)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    now, ask, asked_bytes, given_bytes = 1_000_000_000, 0, 0, 0
    home.began(1, now)
    serials = dict.fromkeys(((node, name) for node in askers for name in names), 0)
    took = []
    for turn in range(ROUNDS):
        wants = []
        for at, node in enumerate(askers):
            rate = 100_000.0 / nodes * (0.5 + (at + turn) % 3 / 2)
            ask += 1
            wants.append((node, Want(ask, 0, tuple(Demand(name, rate, serials[node, name]) for name in names))))
        effects: list[tuple[str, list[Effect]]] = []
        began = time.process_time()
        for node, want in wants:
            now += ASK_US // nodes
            effects.append((node, home.want(node, want, LEASE_US, now)))
        took.append(time.process_time() - began)
        for node, some in effects:  # one answer to each
            for one in some:
                assert isinstance(one, Tell) and isinstance(one.message, Grants)
                given_bytes = LENGTH_BYTES + MIN_FRAME_BYTES + len(encode(one.message))
                for grant in one.message.grants:
                    serials[node, grant.name] = grant.serial
        asked_bytes = LENGTH_BYTES + MIN_FRAME_BYTES + len(encode(wants[0][1]))
    question, answer = wants[0][1], effects[0][1][0]
    assert isinstance(answer, Tell) and isinstance(answer.message, Grants)
    middle = sorted(took[2:])[(ROUNDS - 2) // 2]
    return {
        "us_per_grant": 1e6 * middle / nodes / TENANTS,
        "grants_per_cpu_s": nodes * TENANTS / middle,
        "wire_us": wire_us(question, answer.message),
        "book_kb": (kept - before) / 1000,
        "asks_per_s": nodes * 1e6 / ASK_US,
        "want_bytes": asked_bytes,
        "grants_bytes": given_bytes,
    }


MEASUREMENT = Measurement(
    "grants", "a home by values, four tenants active at every node", "nodes", (450, 900, 1_800, 3_600), _run
)
