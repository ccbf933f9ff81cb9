"""The scopes of a source as records of the keeper's file. No I/O.

This module converts a version of a scope into records, and records found on disk back into scopes. A version is stored
as a record of the version that is being written, its entries, and its head, in this order. A process that crashes
between them leaves the first one ahead of the head. Such a scope is not restored but read from the registers or from
another source, so that an incomplete version never takes effect.
"""

from collections.abc import Mapping

import msgspec

from oatlink.fleet.messages.control import Head, InForce
from oatlink.fleet.shell.history import Row

BEGUN, HEAD, ENTRY = "begun", "head", "entry/"  # kinds; the kind of an entry ends with the name of its scope

Records = Mapping[tuple[str, str], bytes]


class ScopeRecords:
    """Converts versions into records. It tracks which keys of each scope are on disk or queued for it."""

    def __init__(self, records: Records) -> None:
        self._keys: dict[str, set[str]] = {}
        for (kind, key), payload in records.items():
            if kind.startswith(ENTRY) and payload:
                self._keys.setdefault(kind.removeprefix(ENTRY), set()).add(key)

    def rows(self, version: InForce) -> list[Row]:
        """The records of a version. A key that is deleted has an empty payload."""
        scope, head = version.head.scope, msgspec.msgpack.encode(version.head)
        keys = self._keys.setdefault(scope, set())
        kind = ENTRY + scope
        rows = [Row(BEGUN, scope, head)]
        if version.whole:
            new_keys = {entry.key for entry in version.entries}
            rows += [Row(kind, key, b"") for key in sorted(keys - new_keys)]
            keys &= new_keys
        for entry in version.entries:
            rows.append(Row(kind, entry.key, entry.value))
            (keys.add if entry.value else keys.discard)(entry.key)
        return [*rows, Row(HEAD, scope, head)]


def scopes_in(records: Records) -> list[tuple[Head, dict[str, bytes]]]:
    """The scopes in a set of records whose last version is complete. Raises `ValueError` for an invalid head."""
    scopes: dict[str, tuple[Head, dict[str, bytes]]] = {}
    for (kind, scope), payload in records.items():
        if kind == HEAD and records.get((BEGUN, scope)) == payload:
            scopes[scope] = msgspec.msgpack.decode(payload, type=Head), {}
    for (kind, key), payload in records.items():
        scope = kind.removeprefix(ENTRY)
        if kind.startswith(ENTRY) and payload and scope in scopes:
            scopes[scope][1][key] = payload
    return list(scopes.values())
