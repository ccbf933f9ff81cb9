"""A box's report about itself, parsed from INFO and ROLE. No I/O; source: the INFO and ROLE pages of redis.io."""

import msgspec

MAX_INFO_BYTES = 65_536  # what is parsed of an INFO answer: bounds the work that a box can cause at a gateway


class BoxReport(msgspec.Struct, frozen=True, gc=False):
    """A box's report about itself. `offset` is what it has applied, in bytes of the replication stream `replid`."""

    role: str = ""
    replid: str = ""
    offset: int = -1
    replid2: str = ""
    second_offset: int = -1
    run_id: str = ""
    uptime_s: int = -1
    loading: bool = False
    link_up: bool = True
    draining: bool = False


NO_ID = "0" * 40


def parse_info(text: bytes) -> BoxReport:
    """Parse one INFO answer, or several joined ones. Unknown lines and malformed values are ignored."""
    values: dict[bytes, bytes] = {}
    for line in text[:MAX_INFO_BYTES].split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon:
            values[name] = value.strip()

    def number(name: bytes) -> int:
        value = values.get(name, b"")
        digits = value[1:] if value[:1] == b"-" else value
        return int(value) if digits.isdigit() and len(digits) < 20 else -1

    def word(name: bytes) -> str:
        return values.get(name, b"").decode("ascii", "replace")[:64]

    role = {"master": "primary", "slave": "replica"}.get(word(b"role"), "")
    offset = number(b"slave_repl_offset" if role == "replica" else b"master_repl_offset")
    replid2 = word(b"master_replid2")
    return BoxReport(
        role=role,
        replid=word(b"master_replid"),
        offset=offset,
        replid2="" if replid2 == NO_ID else replid2,
        second_offset=number(b"second_repl_offset"),
        run_id=word(b"run_id"),
        uptime_s=number(b"uptime_in_seconds"),
        loading=word(b"loading") == "1" or word(b"master_sync_in_progress") == "1",
        link_up=word(b"master_link_status") != "down",
    )
