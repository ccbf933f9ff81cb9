"""What of the settings may change in service, and why the rest may not. No I/O.

A reload is all or nothing: with one objection the old settings stay, whole. What is already on its way keeps the
class it came with; what comes later has the new one.
"""

from collections.abc import Iterator

import msgspec

from oatlink.settings.model import Settings

FIXED = {
    "listen": "its sockets are bound at the start",
    "metrics_listen": "its socket is bound at the start",
    "admin_listen": "its socket is bound at the start",
    "admin_beyond_loopback": "its socket is bound at the start",
    "workers": "processes are started once",
    "seed": "what was drawn so far would not fit what comes",
    "roster_file": "two rosters would be believed in turns",
    "record": "an operator starts and stops the recording in service",
    "record_file": "a recording stays where it was begun",
    "record_max_bytes": "a recording keeps the bound it was begun with",
    "record_ring_bytes": "a recording keeps the bound it was begun with",
    "record_parts": "a recording keeps the bound it was begun with",
    "record_redact": "half a recording would hold what the other half must not",
    "snapshot_file": "a later start would look for it elsewhere",
    "fleet": "its nodes have agreed on what they were started with",
    # Threat: a session whose name changes with its kind forgets its own write, and reads older data.
    "sessions": "sessions would no longer find their own writes",
}


def objections(old: Settings, new: Settings) -> Iterator[str]:
    """Each change that needs a new process, as `path: expected ...`; none means that `new` may be used."""
    for name, why in FIXED.items():
        if getattr(old, name) != getattr(new, name):
            yield f"{name}: expected as at the start, {why}"
    if [one.name for one in old.banks] != [one.name for one in new.banks]:
        yield "banks: expected the same banks in the same order, requests are held for them"
        return
    for at, (mine, theirs) in enumerate(zip(old.banks, new.banks, strict=True)):
        # Threat: a key that moves without its data: its session reads what was never written there.
        if sorted(mine.slots) != sorted(theirs.slots):
            yield f"banks[{at}].slots: expected as at the start, the data would not move with them"


def changes(old: Settings, new: Settings) -> list[str]:
    """The names of what differs, for people."""
    return [name for name in msgspec.structs.asdict(old) if getattr(old, name) != getattr(new, name)]
