"""Decodes discovery's list of database servers from the bytes of an answer, without I/O.

A bad entry affects no other entry. The JSON may be indented.
"""

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from oatlink.interface import Listing, RosterEntry, RosterKind

LISTING_BY_STATE = {"in_service": Listing.READY, "terminating": Listing.TERMINATING, "terminated": Listing.GONE}


class Entry(msgspec.Struct):
    """One server as discovery encodes it."""

    id: str
    state: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    started_ms: float = 0
    recovery: str = ""


class Page(msgspec.Struct):
    """An answer of discovery; each entry is decoded separately."""

    version: int
    servers: list[msgspec.Raw]
    full: bool = False


class EntryId(msgspec.Struct):
    """The id of an entry of which nothing else can be decoded."""

    id: str


@dataclass(frozen=True, slots=True)
class Server:
    """A validated entry."""

    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    group: int
    listing: Listing
    primary: bool
    started_ms: float

    def entry(self, number: int, started_us: int) -> RosterEntry:
        """The Router's entry for this server, with its local number and its start on the Router's clock."""
        return RosterEntry(number, self.group, self.zone, self.kind, self.listing, self.primary, started_us)


@dataclass(frozen=True, slots=True)
class News:
    """The content of an answer. `unread` holds the ids of listed servers whose entries could not be decoded."""

    version: int
    kind: RosterKind
    servers: tuple[Server, ...]
    unread: tuple[str, ...] = ()


class ListError(Exception):
    """A list or an entry cannot be read."""


def server_of(entry: Entry) -> Server:
    """Validate an entry. Raises `ListError` saying what was expected."""
    listing = LISTING_BY_STATE.get(entry.state)
    if listing is None:
        raise ListError(f"state: expected one of {', '.join(LISTING_BY_STATE)}")
    host, _, port = entry.addr.rpartition(":")
    host = host.strip("[]")
    if listing is not Listing.GONE or entry.addr:
        try:
            ipaddress.ip_address(host)
        except ValueError:
            raise ListError("addr: expected ADDRESS:PORT") from None
        if not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
            raise ListError("addr: expected a port of 1 to 65535")
    if not 0 <= entry.started_ms < 1 << 46:
        raise ListError("started_ms: expected a Unix time in milliseconds")
    address = (host, int(port or 0))
    return Server(
        entry.id, address, entry.zone, entry.kind, entry.cell, listing, entry.recovery == "off", entry.started_ms
    )


def read(text: bytes, saved: bool, note: Callable[[str], None]) -> News:
    """Decode an answer; bad entries are passed to `note`. Raises `ListError` if nothing of it can be read."""
    try:
        page = msgspec.json.decode(text, type=Page)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ListError(str(problem)) from None
    servers, unread = [], []
    for raw in page.servers:
        try:
            servers.append(server_of(msgspec.json.decode(raw, type=Entry)))
        except (msgspec.DecodeError, UnicodeDecodeError, ListError) as problem:
            note(f"discovery: entry {bytes(raw)[:80]!r}: {problem}")
            try:
                unread.append(msgspec.json.decode(raw, type=EntryId).id)
            except (msgspec.DecodeError, UnicodeDecodeError):
                continue
    kind = RosterKind.SAVED if saved else RosterKind.WHOLE if page.full else RosterKind.CHANGES
    return News(page.version, kind, tuple(servers), tuple(unread))
