"""The numbers of tries, and what of a register fits. No state.

A ballot is (counter, node, incarnation), compared in this order. A proposer counts over all its keys and never down,
and its incarnation is never used again, so no ballot is ever used for two tries, whatever was forgotten.
"""

from oatlink.fleet.messages import MAX_KEY_BYTES, MAX_VALUE_BYTES, Ballot, Record

NOTHING = Ballot()
MAX_COUNTER = 2**60  # threat: one wrong counter that leaves no room above it, for ever
MAX_WRITER_BYTES = 256  # bytes
MAX_FENCE = 2**60


def above(counter: int, node: str, incarnation: int) -> Ballot:
    """The lowest ballot of a proposer that is higher than all with this counter."""
    return Ballot(min(counter, MAX_COUNTER - 1) + 1, node, incarnation)


def usable(ballot: Ballot) -> bool:
    """Whether a try may bear this ballot."""
    return 0 < ballot.counter <= MAX_COUNTER


def fits(record: Record) -> bool:
    """Whether a keeper may be asked to hold this record."""
    return (
        0 <= record.fence <= MAX_FENCE
        and len(record.value) <= MAX_VALUE_BYTES
        and len(record.writer) <= MAX_WRITER_BYTES
        and len(record.writer.encode(errors="replace")) <= MAX_WRITER_BYTES
    )


def names(key: str) -> bool:
    """Whether this may be a register's name."""
    return 0 < len(key) <= MAX_KEY_BYTES and len(key.encode(errors="replace")) <= MAX_KEY_BYTES
