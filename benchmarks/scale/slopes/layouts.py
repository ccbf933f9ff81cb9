"""Layouts by shards: the register that holds the change's state, and what a sequencer answers each node."""

import time

from benchmarks.scale.measure import Measurement, Values
from oatlink.fleet.envelope import LENGTH_BYTES, MIN_FRAME_BYTES, encode
from oatlink.fleet.messages import MAX_VALUE_BYTES, Adopt, Adopted
from oatlink.fleet.versions import state as states
from oatlink.fleet.versions.asking import ASK_US
from oatlink.fleet.versions.ledger import Ledger

TERM_US = 8_000_000
NODES = 3_600
TURNS = 200


def _run(shards: int) -> Values:
    banks = tuple(f"bank-{at:04}" for at in range(shards))
    step = states.Step("expand", 2, 7, True, "a" * 40, 123_456_789)
    state = states.State(1, (1, 2), 2, "moved", 2, "f" * 16, shards, 3, dict.fromkeys(banks, states.Shard((step,), 1)))
    ledger = Ledger(0.001, 3_000_000, TERM_US)
    ledger.began(0)
    size = LENGTH_BYTES + MIN_FRAME_BYTES + len(encode(Adopt(1 << 40, 3, (), 1 << 40, 1 << 40)))
    began = time.process_time()
    for at in range(TURNS):
        ledger.record_status(f"gw-{at:05}", 1, 0, (), at)
        ledger.record_grant(f"gw-{at:05}", 1, at, state.served, TERM_US, at)
        told = Adopted(at, 3, TERM_US, state.served, 2, tuple(states.offer(state, bank) for bank in banks))
        body = encode(told)
    took = time.process_time() - began
    return {
        "state_bytes": states.max_encoded_bytes(state, banks, 2),
        "state_share": states.max_encoded_bytes(state, banks, 2) / MAX_VALUE_BYTES,
        "answer_bytes": LENGTH_BYTES + MIN_FRAME_BYTES + len(body),
        "ask_bytes": size,
        "us_per_answer": 1e6 * took / TURNS,
        "asks_per_s_a_node": 1e6 / ASK_US,
    }


MEASUREMENT = Measurement(
    "layouts",
    "versions over shards: register and a sequencer's answer, during a change",
    "shards",
    (5, 25, 100, 300, 600),
    _run,
)
