"""The list of database servers, from the platform's discovery: the whole list, or a watch that follows it.

A shell: each answer is news, each failure is told; when to ask again is the Router's. One bad entry harms only itself.
"""

import asyncio
import ipaddress
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from oatlink.interface import Listing, RosterKind

MOST_BYTES = 4 * 1024 * 1024
CALL_S = 1.8  # an answer takes no longer, after what a watch waits: 0.2 s less than until its news counts as told
LISTINGS = {"in_service": Listing.READY, "terminating": Listing.TERMINATING, "terminated": Listing.GONE}


class Entry(msgspec.Struct):
    """One server as discovery writes it."""

    id: str
    state: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    started_ms: float = 0
    recovery: str = ""


class Page(msgspec.Struct):
    """An answer of discovery; each entry is read on its own."""

    version: int
    servers: list[msgspec.Raw]
    full: bool = False


class Named(msgspec.Struct):
    """Whose entry it is, where no more of it can be read."""

    id: str


@dataclass(frozen=True, slots=True)
class Server:
    """An entry that makes sense."""

    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    group: int
    listing: Listing
    primary: bool
    started_ms: float


@dataclass(frozen=True, slots=True)
class News:
    """What an answer says. `unread`: servers that are there, of which nothing else could be read."""

    version: int
    kind: RosterKind
    servers: tuple[Server, ...]
    unread: tuple[str, ...] = ()


class ListError(Exception):
    """A list that cannot be read."""


def server_of(entry: Entry) -> Server:
    """An entry's server. Raises `ListError` saying what was expected."""
    listing = LISTINGS.get(entry.state)
    if listing is None:
        raise ListError(f"state: expected one of {', '.join(LISTINGS)}")
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
    """The news of an answer. Raises `ListError` where nothing of it can be read."""
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
                unread.append(msgspec.json.decode(raw, type=Named).id)
            except (msgspec.DecodeError, UnicodeDecodeError):
                continue
    kind = RosterKind.SAVED if saved else RosterKind.WHOLE if page.full else RosterKind.CHANGES
    return News(page.version, kind, tuple(servers), tuple(unread))


class Discovery:
    """Calls to one discovery service at a time."""

    def __init__(
        self, address: tuple[str, int], wait_s: float, told: Callable[[News | None], None], note: Callable[[str], None]
    ) -> None:
        """`told`: news, or None for a call that failed. `wait_s`: how long a watch may wait for something new."""
        self.address, self._wait_s, self._told, self._note = address, wait_s, told, note
        self.version = 0
        self._http: SimpleAsyncHTTPClient | None = None
        self._watch: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._moves = 0

    def wait(self, wait_s: float) -> None:
        """A watch waits so long from its next call on."""
        self._wait_s = wait_s

    def follow(self) -> None:
        """Watch from now on, unless that is under way."""
        if self._watch is None or self._watch.done():
            self._watch = asyncio.ensure_future(self._follow())

    def fetch(self) -> None:
        """Ask for the whole list, unless that is under way."""
        if self._fetch is None or self._fetch.done():
            self._fetch = asyncio.ensure_future(self._fetch_once())

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on: watched there at once, the old calls are let go."""
        self.close()
        self.address = address
        self.follow()

    def close(self) -> None:
        """Let go of what is under way: it ends in its own time, and whatever it brings is not told."""
        self._moves += 1
        if self._http is not None:
            self._http.close()
        self._http = self._watch = self._fetch = None

    async def _follow(self) -> None:
        # The first call does not wait: whether the watch stands, and what was missed, is known at once.
        wait_ms = 1
        while True:
            news = await self._call(f"/v1/endpoints?since={self.version}&timeout_ms={wait_ms}", wait_ms / 1000)
            if news is None:
                return
            wait_ms = round(self._wait_s * 1000)

    async def _fetch_once(self) -> None:
        await self._call("/v1/endpoints", 0.0)

    async def _call(self, path: str, wait_s: float) -> News | None:
        host, port = self.address
        if self._http is None:
            self._http = SimpleAsyncHTTPClient(
                force_instance=True, max_body_size=MOST_BYTES, max_buffer_size=MOST_BYTES + 65_536
            )
        news: News | None = None
        moves, problem = self._moves, ""
        try:
            where = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
            answer = await self._http.fetch(
                f"http://{where}{path}", connect_timeout=CALL_S, request_timeout=wait_s + CALL_S, follow_redirects=False
            )
            news = read(answer.body, False, self._note)
            if news.kind is RosterKind.CHANGES and news.version < self.version:
                raise ListError(f"version {news.version} after {self.version}")
        except Exception as error:  # Threat: a watch that ends unseen, by what a peer sent; drains are missed then
            problem = str(error)[:200] or type(error).__name__
        if moves != self._moves:
            return None
        if problem:
            news = None
            self._note(f"discovery: {path}: {problem}")
        if news is not None:
            self.version = news.version
        self._told(news)
        return news
