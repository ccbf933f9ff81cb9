"""What sealing, opening, encoding and decoding messages costs, without sockets."""

import time

from oatlink.fleet.envelope import LENGTH_BYTES, Seal, decode, derive_key, encode
from oatlink.fleet.messages import AnyMessage

TURNS = 2_000


def wire_us(question: AnyMessage, answer: AnyMessage) -> float:
    """Microseconds of processor time, at who answers, for one question opened and its answer sealed."""
    theirs, ours = (Seal(derive_key(b"secret"), bytes(16), node, 1 << 40) for node in ("gw-00001", "gw-00002"))
    frames = [theirs.seal(at, encode(question))[LENGTH_BYTES:] for at in range(TURNS)]
    began = time.process_time()
    for at, frame in enumerate(frames):
        found = theirs.open(frame)
        assert found is not None and decode(found[1]) == question
        ours.seal(at, encode(answer))
    return 1e6 * (time.process_time() - began) / TURNS
