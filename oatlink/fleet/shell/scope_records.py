"""A source's scopes as records of the keeper's file. No I/O.

What may live here: which records a version becomes, and what records found on disk still prove. A scope's version is a
mark of what is begun, its entries, and its head; the three lie in the file in this order. A process that falls between
them leaves a mark above the head: that scope is not restored, and is taken from the registers or another source anew,
so that there is never half a version in force.
"""

from collections.abc import Mapping

import msgspec

from oatlink.fleet.messages.control import Head, InForce
from oatlink.fleet.shell.history import Row

BEGUN, HEAD, ENTRY = "begun", "head", "entry/"  # kinds; that of an entry has its scope's name behind it

Records = Mapping[tuple[str, str], bytes]


class ScopeRecords:
    """Which keys of each scope are on disk, or on their way there."""

    def __init__(self, records: Records) -> None:
        self._keys: dict[str, set[str]] = {}
        for (kind, key), payload in records.items():
            if kind.startswith(ENTRY) and payload:
                self._keys.setdefault(kind.removeprefix(ENTRY), set()).add(key)

    def rows(self, news: InForce) -> list[Row]:
        """What a version becomes. A key that is taken out has an empty record."""
        scope, mark = news.head.scope, msgspec.msgpack.encode(news.head)
        keys = self._keys.setdefault(scope, set())
        kind = ENTRY + scope
        rows = [Row(BEGUN, scope, mark)]
        if news.whole:
            there = {one.key for one in news.entries}
            rows += [Row(kind, key, b"") for key in sorted(keys - there)]
            keys &= there
        for one in news.entries:
            rows.append(Row(kind, one.key, one.value))
            (keys.add if one.value else keys.discard)(one.key)
        return [*rows, Row(HEAD, scope, mark)]


def found_in(records: Records) -> list[tuple[Head, dict[str, bytes]]]:
    """The scopes among records whose last version is whole. Raises `ValueError` for a head that is none."""
    found: dict[str, tuple[Head, dict[str, bytes]]] = {}
    for (kind, scope), payload in records.items():
        if kind == HEAD and records.get((BEGUN, scope)) == payload:
            found[scope] = msgspec.msgpack.decode(payload, type=Head), {}
    for (kind, key), payload in records.items():
        scope = kind.removeprefix(ENTRY)
        if kind.startswith(ENTRY) and payload and scope in found:
            found[scope][1][key] = payload
    return list(found.values())
