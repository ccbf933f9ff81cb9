"""The format of a keeper's file, and what can be recovered from a file found on disk. No I/O.

A file consists of a block with magic, format, the node's name and its `life` (a random number drawn when the file is
created), two blocks with marks, and then records. Records are only appended, and each is chained to the one before by
its checksum.

A *mark* (serial, end) states that everything up to `end` is on disk. It is written after the records before it are
durable, and no message that depends on these records is sent before the mark is durable too. Marks alternate between
their two blocks, so that a torn mark leaves the other one intact.

From this `replay` can distinguish:
- Records before the newest mark were promised to other nodes. Any error there, including the last record, a file that
  ends too early and a file of another node, is damage, and the file is refused.
- Records after it were never promised. Complete ones are used. From the first incomplete record on, the rest is torn
  and is cut off.
- A single unreadable mark was being written when the node crashed, and the records it covers were on disk by then. So
  everything to the end of the file must be complete, otherwise the file is refused. Two unreadable marks are refused.

It cannot detect an older complete copy of the file that was put in its place, nor a disk that reports a write as done
when it is not, for the records and for their mark (other nodes that know a `life` and a fence may notice). Nor can it
detect that a mark is damaged and the file has lost its promised end at the same time, exactly at the boundary of a
record.
"""

import struct

import msgspec
import xxhash

MAGIC = b"OATKEEP\n"
FORM = 1
BLOCK = 4_096  # bytes; a torn block leaves the others intact
BEGIN = 3 * BLOCK  # offset of the first record
MAX_RECORD_BYTES = 1 << 20

_head_format = struct.Struct(">8sII")
_mark_format = struct.Struct(">QQQ")  # serial, end, checksum of both
_frame_format = struct.Struct(">IQ")  # length, checksum over the previous checksum, the length and the record


class DamageError(Exception):
    """The file may lack something that was promised. The text tells what was expected."""


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One record. The newest record of a kind and key replaces the older ones."""

    kind: str
    key: str
    payload: bytes


class _Owner(msgspec.Struct, frozen=True, array_like=True):
    node: str
    life: int


class History(msgspec.Struct, frozen=True):
    """The content of a file: the newest payload by kind and key, the end of its complete records, its newest mark."""

    life: int
    rows: dict[tuple[str, str], bytes]
    end: int
    chain: int  # checksum of the last record
    serial: int


_row_decoder = msgspec.msgpack.Decoder(Row)
_owner_decoder = msgspec.msgpack.Decoder(_Owner)


def encode_head(node: str, life: int) -> bytes:
    """The first block of a file."""
    owner = msgspec.msgpack.encode(_Owner(node, life))
    block = (_head_format.pack(MAGIC, FORM, len(owner)) + owner).ljust(BLOCK - 8, b"\0")
    return block + struct.pack(">Q", xxhash.xxh64_intdigest(block))


def first_chain(node: str, life: int) -> int:
    """The checksum that the first record is chained to."""
    return int(xxhash.xxh64_intdigest(encode_head(node, life)))


def encode_mark(serial: int, end: int) -> tuple[int, bytes]:
    """The offset of a mark, and its bytes."""
    return BLOCK * (1 + serial % 2), _mark_format.pack(serial, end, _mark_checksum(serial, end))


def _mark_checksum(serial: int, end: int) -> int:
    return int(xxhash.xxh64_intdigest(struct.pack(">QQ", serial, end), seed=1))


def encode_rows(rows: list[Row], chain: int) -> tuple[bytes, int]:
    """The bytes of records after the one whose checksum is `chain`, and the checksum of the last."""
    parts = []
    for row in rows:
        body = msgspec.msgpack.encode(row)
        chain = _checksum(body, chain)
        parts.append(_frame_format.pack(len(body), chain) + body)
    return b"".join(parts), chain


def _checksum(body: bytes | memoryview, chain: int) -> int:
    checksum = xxhash.xxh64(struct.pack(">QI", chain, len(body)))
    checksum.update(body)
    return int(checksum.intdigest())


def replay(data: bytes, node: str) -> History:
    """The content that the bytes of a file prove. Raises `DamageError`."""
    life = _life_of(data, node)
    serial, promised, are_both_readable = _newest_mark(data)
    if len(data) < promised:
        raise DamageError(f"expected {promised} bytes that were promised, got {len(data)}")
    rows: dict[tuple[str, str], bytes] = {}
    offset, chain, view = BEGIN, first_chain(node, life), memoryview(data)
    while (record := _next_record(view, offset, chain)) is not None:
        row, offset, chain = record
        rows[row.kind, row.key] = row.payload
    if offset < promised:
        raise DamageError(f"byte {offset}: expected a record that was promised, got damage")
    if not are_both_readable and offset < len(data):
        raise DamageError(f"byte {offset}: expected a record, as one of the two marks cannot be read")
    return History(life, rows, offset, chain, serial)


def _life_of(data: bytes, node: str) -> int:
    block = data[:BLOCK]
    if len(block) < BLOCK or xxhash.xxh64_intdigest(block[:-8]) != struct.unpack(">Q", block[-8:])[0]:
        raise DamageError("expected a keeper's file, got a damaged one or one of a newer form")
    magic, form, length = _head_format.unpack_from(block)
    if magic != MAGIC or form != FORM:
        raise DamageError(f"expected a keeper's file of form {FORM}, got form {form}")
    try:
        owner = _owner_decoder.decode(block[_head_format.size : _head_format.size + length])
    except (msgspec.MsgspecError, ValueError):
        raise DamageError("expected a node's name, got damage") from None
    if owner.node != node:
        raise DamageError(f"expected the file of {node!r}, got that of {owner.node!r}")
    return owner.life


def _newest_mark(data: bytes) -> tuple[int, int, bool]:
    """The serial and end of the newest mark, and whether both marks can be read."""
    marks = []
    for slot in (1, 2):
        if len(data) >= BLOCK * slot + _mark_format.size:
            serial, end, checksum = _mark_format.unpack_from(data, BLOCK * slot)
            if checksum == _mark_checksum(serial, end) and serial % 2 == slot - 1 and end >= BEGIN:
                marks.append((serial, end))
    marks.sort()
    if not marks or (len(marks) == 2 and (marks[0][0] + 1 != marks[1][0] or marks[0][1] > marks[1][1])):
        raise DamageError("expected two marks of what was promised, got damage")
    return *marks[-1], len(marks) == 2


def _next_record(view: memoryview, offset: int, chain: int) -> tuple[Row, int, int] | None:
    """The record at an offset, the offset of the next one, and its checksum. None if no record there is complete."""
    if len(view) - offset < _frame_format.size:
        return None
    length, checksum = _frame_format.unpack_from(view, offset)
    start = offset + _frame_format.size
    body = view[start : start + length]
    if length > MAX_RECORD_BYTES or len(body) < length or _checksum(body, chain) != checksum:
        return None
    try:
        return _row_decoder.decode(body), start + length, checksum
    except (msgspec.MsgspecError, ValueError):
        return None
