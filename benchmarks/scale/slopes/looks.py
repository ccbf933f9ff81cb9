"""What one look at a register costs a keeper, by values and with its codec, by the registers that it keeps."""

import time

from benchmarks.scale.measure import Measurement, Values
from benchmarks.scale.wire import wire_us
from oatlink.fleet.messages import Ballot, Keep, Kept, Look, Looked, Record, Standing, Tell
from oatlink.fleet.registers.acceptor import Acceptor

TURNS = 5_000
LEASE = bytes(80)


def _run(registers: int) -> Values:
    ballot = Ballot(7, "gw-00003", 1 << 40)
    kept = [Kept(f"limits/{at}", ballot, ballot, Record(9, "gw-00003/7", LEASE)) for at in range(registers)]
    keeper = Acceptor("gw-00000", tuple(f"gw-{at:05}" for at in range(5)), kept, Standing(1 << 40, True), 1)
    assert keeper.begun
    looks = [Look(f"limits/{at % registers}", Ballot(at + 1, "gw-00009", 1)) for at in range(TURNS)]
    began = time.process_time()
    for one in looks:
        told = keeper.receive("gw-00009", one, 1)
    took = time.process_time() - began
    (keep,) = told
    assert isinstance(keep, Keep)
    (effect,) = keep.then
    assert isinstance(effect, Tell) and isinstance(effect.message, Looked) and effect.message.record.value == LEASE
    return {"us_per_look": 1e6 * took / TURNS, "wire_us": wire_us(looks[0], effect.message)}


MEASUREMENT = Measurement(
    "looks", "one look at a register of a keeper, by values and its codec", "registers", (5, 50, 200, 1_000), _run
)
