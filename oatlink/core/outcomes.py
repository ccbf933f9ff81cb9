"""How an attempt ended, in the Router's words. Tables only, and the one reading of a reply's first bytes.

The error prefixes are those of the specification (redis.io: error replies of the commands, replication,
cluster specification). `NOT_RUN` ones prove that the command had no effect.
"""

from oatlink.interface import Outcome

ENDINGS = {
    "refused": Outcome.NO_CONNECTION,  # connect refused, unreachable, or `max number of clients reached`
    "no connection in time": Outcome.NO_CONNECTION,  # nothing was written
    "stranger": Outcome.NO_CONNECTION,  # the connection reached another run of the box; nothing was written
    "unsent": Outcome.NO_CONNECTION,  # the connection ended before the first byte was handed to it
    "withdrawn": Outcome.WITHDRAWN,  # taken back before its write: what it was sent by holds no more
    "no room": Outcome.FULL,  # every queue of the gateway to the box is at its bound; nothing was written
    "reset": Outcome.RESET,  # ended after at least one byte may have been handed over: it may have run
    "late": Outcome.LATE,  # no answer before the request's time was up: it may have run
    "bad reply": Outcome.RESET,  # bytes outside the protocol: the connection is closed, it may have run
}

ERRORS = {
    b"READONLY": Outcome.MISS,  # a replica: not the primary (any more); not run
    b"MOVED": Outcome.MISS,  # another group has the slot; not run
    b"ASK": Outcome.MISS,  # the slot is leaving; not run
    b"MASTERDOWN": Outcome.MISS,  # a replica that may not answer without its primary; not run
    b"LOADING": Outcome.MISS,  # not ready; not run
    b"BUSY": Outcome.FULL,  # a script holds the server; not run
    b"OOM": Outcome.FULL,  # no memory for writes; not run
    b"NOREPLICAS": Outcome.FULL,  # too few good replicas for a write; not run
    b"CLUSTERDOWN": Outcome.FULL,  # not run
    b"TRYAGAIN": Outcome.FULL,  # not run
    b"MISCONF": Outcome.FULL,  # snapshots fail, writes are stopped; not run
    b"UNBLOCKED": Outcome.ERROR,  # lost its role while the command waited; it may have run
}
"""By an error's prefix. Every other error is the command's own answer and goes to the client as it is."""


def of_reply(frames: list[bytes], transaction: bool) -> Outcome:
    """The outcome of whole replies. In a transaction an error at queueing time tells why EXEC was given up."""
    if transaction:
        if frames[-1][:1] != b"-":
            return Outcome.SERVED
        for frame in frames:
            if frame[:1] == b"-":
                found = ERRORS.get(_prefix(frame))
                if found is not None:
                    return found
        return Outcome.SERVED
    first = frames[0]
    if first[:1] != b"-":
        return Outcome.SERVED
    return ERRORS.get(_prefix(first), Outcome.SERVED)


def _prefix(frame: bytes) -> bytes:
    return frame[1:32].split(b" ", 1)[0].rstrip(b"\r\n")


def enough_replicas(frame: bytes, wanted: int) -> bool:
    """Whether the answer to WAIT names at least as many replicas as were asked for."""
    text = frame[1:-2]
    return frame[:1] == b":" and text.isdigit() and int(text) >= wanted
