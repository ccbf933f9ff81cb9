"""Which settings may change by a reload, and why the others may not. No I/O.

A reload is all or nothing: one objection keeps all of the old settings. Open requests keep the class with which they
arrived; later ones get the new class.
"""

from collections.abc import Iterator

import msgspec

from oatlink.settings.model import Settings

FIXED_SETTINGS = {
    "listen": "its sockets are bound at the start",
    "metrics_listen": "its socket is bound at the start",
    "admin_listen": "its socket is bound at the start",
    "admin_beyond_loopback": "its socket is bound at the start",
    "workers": "processes are started once",
    "seed": "random draws before and after it would not belong together",
    "roster_file": "the gateway would alternate between two rosters",
    "record": "an operator starts and stops the recording in service",
    "record_file": "a recording stays where it was begun",
    "record_max_bytes": "a recording keeps the bound it was begun with",
    "record_ring_bytes": "a recording keeps the bound it was begun with",
    "record_parts": "a recording keeps the bound it was begun with",
    "record_redact": "one part of a recording would hold what the rest must not",
    "snapshot_file": "a later start would look for it elsewhere",
    "fleet": "its nodes have agreed on what they were started with",
    # The setting decides how sessions are named. A renamed session would forget its own write and read older data.
    "sessions": "sessions would no longer find their own writes",
}


def objections(old: Settings, new: Settings) -> Iterator[str]:
    """Each change that needs a new process, as `path: expected ...`; without any, `new` may be used."""
    for name, why in FIXED_SETTINGS.items():
        if getattr(old, name) != getattr(new, name):
            yield f"{name}: expected as at the start, {why}"
    if [bank.name for bank in old.banks] != [bank.name for bank in new.banks]:
        yield "banks: expected the same banks in the same order, pending requests refer to them"
        return
    for index, (old_bank, new_bank) in enumerate(zip(old.banks, new.banks, strict=True)):
        # Prevents a key from moving to another bank without its data, where its sessions would not find their writes.
        if sorted(old_bank.slots) != sorted(new_bank.slots):
            yield f"banks[{index}].slots: expected as at the start, the data would not move with them"


def changes(old: Settings, new: Settings) -> list[str]:
    """The names of the settings that differ, for the log."""
    return [name for name in msgspec.structs.asdict(old) if getattr(old, name) != getattr(new, name)]
