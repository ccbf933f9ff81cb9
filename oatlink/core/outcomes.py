"""Maps the end of an attempt to an outcome of the Router, by how it ended or by the first bytes of the reply.

The error prefixes are those of the specification (redis.io: error replies of the commands, replication,
cluster specification). Those marked "not run" prove that the command had no effect.
"""

from oatlink.interface import Outcome

ENDINGS = {
    "refused": Outcome.NO_CONNECTION,  # connect refused, unreachable, or `max number of clients reached`
    "no connection in time": Outcome.NO_CONNECTION,  # nothing was written
    "stranger": Outcome.NO_CONNECTION,  # the connection reached another run of the box; nothing was written
    "unsent": Outcome.NO_CONNECTION,  # the connection ended before the first byte was written to it
    "withdrawn": Outcome.WITHDRAWN,  # cancelled before its write, because the reason to send it no longer held
    "no room": Outcome.FULL,  # every queue of the gateway to the box is full; nothing was written
    "reset": Outcome.RESET,  # ended after at least one byte may have been sent: it may have run
    "late": Outcome.LATE,  # no answer before the request's deadline: it may have run
    "bad reply": Outcome.RESET,  # the reply violated the protocol: the connection is closed, it may have run
}
"""Outcomes by how an attempt ended."""

ERRORS = {
    b"READONLY": Outcome.MISS,  # a replica: not, or no longer, the primary; not run
    b"MOVED": Outcome.MISS,  # another group has the slot; not run
    b"ASK": Outcome.MISS,  # the slot is being moved away; not run
    b"MASTERDOWN": Outcome.MISS,  # a replica that may not answer without its primary; not run
    b"LOADING": Outcome.MISS,  # not ready; not run
    b"BUSY": Outcome.FULL,  # a script blocks the server; not run
    b"OOM": Outcome.FULL,  # no memory for writes; not run
    b"NOREPLICAS": Outcome.FULL,  # too few good replicas for a write; not run
    b"CLUSTERDOWN": Outcome.FULL,  # not run
    b"TRYAGAIN": Outcome.FULL,  # not run
    b"MISCONF": Outcome.FULL,  # snapshots fail, writes are stopped; not run
    b"UNBLOCKED": Outcome.ERROR,  # lost its role while the command waited; it may have run
}
"""Outcomes by an error's prefix. Any other error is the command's own answer and is passed to the client unchanged."""


def of_reply(frames: list[bytes], transaction: bool) -> Outcome:
    """The outcome of complete replies. If EXEC failed, an error from queueing one of its commands gives the reason."""
    if transaction:
        if frames[-1][:1] != b"-":
            return Outcome.SERVED
        for frame in frames:
            if frame[:1] == b"-":
                outcome = ERRORS.get(_prefix(frame))
                if outcome is not None:
                    return outcome
        return Outcome.SERVED
    first = frames[0]
    if first[:1] != b"-":
        return Outcome.SERVED
    return ERRORS.get(_prefix(first), Outcome.SERVED)


def _prefix(frame: bytes) -> bytes:
    return frame[1:32].split(b" ", 1)[0].rstrip(b"\r\n")


def enough_replicas(frame: bytes, required_count: int) -> bool:
    """Whether the answer to WAIT reports at least the required number of replicas."""
    text = frame[1:-2]
    return frame[:1] == b":" and text.isdigit() and int(text) >= required_count
