"""Ballot numbers, and the bounds of what a register may contain. No state.

A ballot is (counter, node, incarnation), compared in this order. A proposer has one counter for all its keys, which
never goes down, and its incarnation is never used again. So no ballot is used for two rounds, whatever was forgotten.
"""

from oatlink.fleet.messages import MAX_KEY_BYTES, MAX_VALUE_BYTES, Ballot, Record

NO_BALLOT = Ballot()
MAX_COUNTER = 2**60  # prevents one wrong counter from leaving no ballot above it for ever
MAX_WRITER_BYTES = 256
MAX_FENCE = 2**60


def next_ballot(counter: int, node: str, incarnation: int) -> Ballot:
    """Return a proposer's lowest ballot that is above all ballots with this counter."""
    return Ballot(min(counter, MAX_COUNTER - 1) + 1, node, incarnation)


def is_valid_ballot(ballot: Ballot) -> bool:
    """Whether a round may have this ballot."""
    return 0 < ballot.counter <= MAX_COUNTER


def is_valid_record(record: Record) -> bool:
    """Whether an acceptor may store this record."""
    return (
        0 <= record.fence <= MAX_FENCE
        and len(record.value) <= MAX_VALUE_BYTES
        and len(record.writer) <= MAX_WRITER_BYTES
        and len(record.writer.encode(errors="replace")) <= MAX_WRITER_BYTES
    )


def is_valid_key(key: str) -> bool:
    """Whether this may be the name of a register."""
    return 0 < len(key) <= MAX_KEY_BYTES and len(key.encode(errors="replace")) <= MAX_KEY_BYTES
