"""The form of the keeper's file, and what a file found on disk still proves. No I/O.

The file: a block with magic, form, the node's name and `life` (a number drawn when the file was made); two blocks with
marks; then records, only ever added, each chained to the one before by its checksum.

A *mark* (serial, end) says that all up to `end` is on disk. It is written after the records before it are surely
there, and nothing is answered before the mark is surely there too. Marks take turns in their two blocks, so that one
half written leaves the other.

Hence what `replay` can tell apart:
- records before the newest mark were promised: anything wrong there, the last of them included, a file that ends too
  early, or another node's file, is damage, and is refused;
- records after it were never answered for: the whole ones are taken, from the first that is not whole on all is torn,
  and cut off;
- one mark that cannot be read was being written when the node fell, and the records it speaks of were on disk by then.
  So all to the end of the file must be whole; where it is not, the file is refused. Two such marks are refused.

What it cannot tell: a whole older copy of the file, put in its place, or a disk that says that it has written and has
not, for the records and their mark alike (who holds a `life` and a fence of others may notice); and a mark damaged in
the same way as the promised end was lost, at the bound of a record.
"""

import struct

import msgspec
import xxhash

MAGIC = b"OATKEEP\n"
FORM = 1
BLOCK = 4_096  # one that is half written leaves the others
BEGIN = 3 * BLOCK  # where records begin
MOST_RECORD = 1 << 20  # bytes

_head = struct.Struct(">8sII")
_mark = struct.Struct(">QQQ")  # serial, end, checksum of both
_frame = struct.Struct(">IQ")  # length, checksum of the one before, the length and the record


class DamageError(Exception):
    """A file that must not be taken for what was promised; the text says what was expected."""


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One record: the newest of a kind and key holds."""

    kind: str
    key: str
    payload: bytes


class _Owner(msgspec.Struct, frozen=True, array_like=True):
    node: str
    life: int


class History(msgspec.Struct, frozen=True):
    """What a file holds: the newest payload by kind and key, where its whole records end, and its newest mark."""

    life: int
    rows: dict[tuple[str, str], bytes]
    end: int
    chain: int  # checksum of the last record
    serial: int


_rows = msgspec.msgpack.Decoder(Row)
_owners = msgspec.msgpack.Decoder(_Owner)


def head(node: str, life: int) -> bytes:
    """The first block."""
    owner = msgspec.msgpack.encode(_Owner(node, life))
    block = (_head.pack(MAGIC, FORM, len(owner)) + owner).ljust(BLOCK - 8, b"\0")
    return block + struct.pack(">Q", xxhash.xxh64_intdigest(block))


def first_chain(node: str, life: int) -> int:
    """What the first record is chained to."""
    return int(xxhash.xxh64_intdigest(head(node, life)))


def mark(serial: int, end: int) -> tuple[int, bytes]:
    """Where a mark stands, and its bytes."""
    return BLOCK * (1 + serial % 2), _mark.pack(serial, end, _sum_of_mark(serial, end))


def _sum_of_mark(serial: int, end: int) -> int:
    return int(xxhash.xxh64_intdigest(struct.pack(">QQ", serial, end), seed=1))


def frames(rows: list[Row], chain: int) -> tuple[bytes, int]:
    """The bytes of records after the one whose checksum is `chain`, and the checksum of the last."""
    parts = []
    for row in rows:
        body = msgspec.msgpack.encode(row)
        chain = _sum_of(body, chain)
        parts.append(_frame.pack(len(body), chain) + body)
    return b"".join(parts), chain


def _sum_of(body: bytes | memoryview, chain: int) -> int:
    one = xxhash.xxh64(struct.pack(">QI", chain, len(body)))
    one.update(body)
    return int(one.intdigest())


def replay(data: bytes, node: str) -> History:
    """What a file's bytes prove. Raises `DamageError`."""
    life = _life(data, node)
    serial, promised, both = _newest_mark(data)
    if len(data) < promised:
        raise DamageError(f"expected {promised} bytes that were promised, got {len(data)}")
    rows: dict[tuple[str, str], bytes] = {}
    at, chain, view = BEGIN, first_chain(node, life), memoryview(data)
    while (found := _next(view, at, chain)) is not None:
        row, at, chain = found
        rows[row.kind, row.key] = row.payload
    if at < promised:
        raise DamageError(f"byte {at}: expected a record that was promised, got damage")
    if not both and at < len(data):
        raise DamageError(f"byte {at}: expected a record, as one of the two marks cannot be read")
    return History(life, rows, at, chain, serial)


def _life(data: bytes, node: str) -> int:
    block = data[:BLOCK]
    if len(block) < BLOCK or xxhash.xxh64_intdigest(block[:-8]) != struct.unpack(">Q", block[-8:])[0]:
        raise DamageError("expected a keeper's file, got a damaged one or one of a newer form")
    magic, form, length = _head.unpack_from(block)
    if magic != MAGIC or form != FORM:
        raise DamageError(f"expected a keeper's file of form {FORM}, got form {form}")
    try:
        owner = _owners.decode(block[_head.size : _head.size + length])
    except (msgspec.MsgspecError, ValueError):
        raise DamageError("expected a node's name, got damage") from None
    if owner.node != node:
        raise DamageError(f"expected the file of {node!r}, got that of {owner.node!r}")
    return owner.life


def _newest_mark(data: bytes) -> tuple[int, int, bool]:
    """The serial and end of the newest mark, and whether both can be read."""
    found = []
    for slot in (1, 2):
        if len(data) >= BLOCK * slot + _mark.size:
            serial, end, checksum = _mark.unpack_from(data, BLOCK * slot)
            if checksum == _sum_of_mark(serial, end) and serial % 2 == slot - 1 and end >= BEGIN:
                found.append((serial, end))
    found.sort()
    if not found or (len(found) == 2 and (found[0][0] + 1 != found[1][0] or found[0][1] > found[1][1])):
        raise DamageError("expected two marks of what was promised, got damage")
    return *found[-1], len(found) == 2


def _next(view: memoryview, at: int, chain: int) -> tuple[Row, int, int] | None:
    """The record at a place, where the next one is, and its checksum; None where none is whole."""
    if len(view) - at < _frame.size:
        return None
    length, checksum = _frame.unpack_from(view, at)
    body = view[at + _frame.size : at + _frame.size + length]
    if length > MOST_RECORD or len(body) < length or _sum_of(body, chain) != checksum:
        return None
    try:
        return _rows.decode(body), at + _frame.size + length, checksum
    except (msgspec.MsgspecError, ValueError):
        return None
