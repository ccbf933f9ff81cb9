"""Discovery's answers where two events cross: a change and a list, an answer's end and a reset, a call and a move."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any
from unittest import mock
from urllib.parse import parse_qs, urlsplit

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatlink.gateway.clock import Marks
from oatlink.interface import Listing, RosterKind
from oatlink.platform import discovery as disco
from oatlink.platform.discovery import Discovery, News, calls
from oatlink.platform.discovery.order import Order, Verdict
from tests.platform_world import PATIENCE_S, play

WAIT_S = 0.05
WHOLE = "/v1/endpoints"


def page(version: int, full: bool = True, indent: int | None = None, **states: str) -> bytes:
    """An answer's body; a server's state by its name."""
    entries = [{"id": name, "addr": "127.0.0.1:6432", "state": state} for name, state in states.items()]
    return json.dumps({"version": version, "full": full, "servers": entries}, indent=indent).encode()


def answer(body: bytes, status: str = "200 OK", length: int | None = None) -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body) if length is None else length}\r\n\r\n".encode() + body


def unbounded(body: bytes) -> bytes:
    """An answer that only the connection's end ends."""
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body


def good(version: int, full: bool = True, **states: str) -> bytes:
    return answer(page(version, full, None, **states))


@dataclass(eq=False)
class Call:
    """A call that discovery has got; nothing is answered but by the test."""

    path: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def end(self, data: bytes = b"") -> None:
        """Write and close in order."""
        self.writer.write(data)
        self.writer.close()
        with contextlib.suppress(ConnectionError):
            await self.writer.wait_closed()

    def reset(self) -> None:
        """Close with a reset: what was written before is on its way."""
        sock: socket.socket = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def let_go(self) -> None:
        """Wait until the other side has closed."""
        async with asyncio.timeout(PATIENCE_S):
            with contextlib.suppress(ConnectionError):
                while await self.reader.read(1024):
                    pass


class Script:
    """A discovery that does nothing by itself."""

    def __init__(self) -> None:
        self._calls: asyncio.Queue[Call] = asyncio.Queue()
        self._open: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> "Script":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address: tuple[str, int] = self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"GET ") and b"\r\nConnection: close\r\n" in head
            self._calls.put_nowait(Call(head.split()[1].decode(), reader, writer))

    async def call(self) -> Call:
        """The next call."""
        async with asyncio.timeout(PATIENCE_S):
            return await self._calls.get()

    async def both(self) -> tuple[Call, Call]:
        """The two calls under way: the watch's and that for the whole list."""
        one, other = await self.call(), await self.call()
        return (other, one) if one.path == WHOLE else (one, other)

    @property
    def quiet(self) -> bool:
        """No call but those the test has taken."""
        return self._calls.empty()


@dataclass
class Told:
    """What a gateway hears, and what it believes by it."""

    news: asyncio.Queue[News | None] = field(default_factory=asyncio.Queue)
    lines: list[str] = field(default_factory=list)

    async def next(self) -> News | None:
        async with asyncio.timeout(PATIENCE_S):
            return await self.news.get()

    async def version(self) -> int:
        news = await self.next()
        assert news is not None, self.lines
        return news.version

    async def noted(self, text: str) -> None:
        """Wait for a line of the log."""
        async with asyncio.timeout(PATIENCE_S):
            while not any(text in line for line in self.lines):
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def watched(
    wait_s: float = PATIENCE_S, call_s: float = PATIENCE_S
) -> AsyncIterator[tuple[Script, Told, Discovery]]:
    """A discovery of the test's, and the calls to it."""
    async with Script() as script:
        told = Told()
        one = Discovery(script.address, wait_s, told.news.put_nowait, told.lines.append, call_s)
        try:
            yield script, told, one
        finally:
            one.close()


def draining(news: News | None) -> set[str]:
    assert news is not None
    return {one.id for one in news.servers if one.listing is Listing.TERMINATING}


# ---- The end of an answer ----


def test_a_list_without_a_length_ends_with_an_orderly_close() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.fetch()
            call = await script.call()
            await call.end(unbounded(page(7, a="in_service")))
            assert await told.version() == 7

    play(scene())


@pytest.mark.parametrize("seen", [False, True], ids=["at once", "some turns later"])
def test_a_reset_is_no_end_of_a_list_without_a_length(seen: bool) -> None:
    """A list of which some entries never came, and that reads as whole."""

    async def scene() -> None:
        async with watched() as (script, told, one):
            one.fetch()
            call = await script.call()
            call.write(unbounded(page(7, a="in_service")))
            if seen:  # most likely: a call that has not read yet has to come to the same
                for _ in range(20):
                    await asyncio.sleep(0)
            call.reset()
            assert await told.next() is None
            assert one.version == 0

    play(scene())


def test_a_whole_answer_counts_whatever_ends_its_connection() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.fetch()
            call = await script.call()
            call.write(good(7, a="in_service"))
            call.reset()
            assert await told.version() == 7

    play(scene())


BODY = page(7, a="in_service", b="terminating")
HALF = len(BODY) // 2
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(*parts: bytes) -> bytes:
    return CHUNKED + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


WHOLE_ANSWERS = {
    "length": answer(BODY),
    "chunked": chunks(BODY[:HALF], BODY[HALF:], b""),
    "neither": unbounded(BODY),
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + answer(BODY),
    "old": b"HTTP/1.0 200 OK\r\n\r\n" + BODY,
    "indented": answer(page(7, indent=4, a="in_service", b="terminating")),
}
BROKEN_ANSWERS = {
    "nothing": b"",
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "503": answer(b"", "503 Service Unavailable"),
    "503 with a list": answer(BODY, "503 Service Unavailable"),
    "204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "redirect": answer(BODY, "302 Found"),
    "cut": answer(BODY, length=len(BODY) + 1),
    "cut chunk": chunks(BODY[:HALF]) + b"ff\r\n" + BODY[HALF:],
    "no last chunk": chunks(BODY),
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n" + BODY,
    "noise": b"\x16\x03\x01\x02\x00" * 5,
    "not a list": answer(b'{"version": 7}'),
    "half a list": unbounded(BODY[:HALF]),
    "deep": answer(b"[" * 100_000),
}


@pytest.mark.parametrize("pieces", [False, True], ids=["at once", "byte by byte"])
@pytest.mark.parametrize("name", WHOLE_ANSWERS)
def test_whole_answers_are_read(name: str, pieces: bool) -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.fetch()
            call = await script.call()
            text = WHOLE_ANSWERS[name]
            call.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for number in range(len(text)) if pieces else ():
                call.write(text[number : number + 1])
                await asyncio.sleep(0)
            await call.end(b"" if pieces else text)
            news = await told.next()
            assert news is not None and news.version == 7 and draining(news) == {"b"}, told.lines

    play(scene())


@pytest.mark.parametrize("name", BROKEN_ANSWERS)
def test_broken_answers_are_failed_calls_and_the_watch_ends(name: str) -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.follow()
            await (await script.call()).end(BROKEN_ANSWERS[name])
            assert await told.next() is None
            one.follow()
            await (await script.call()).end(WHOLE_ANSWERS["length"])
            assert await told.version() == 7, "asked again, it goes on"

    play(scene())


def test_a_refused_connection_is_a_failed_call() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))  # and does not listen
                one.move(sock.getsockname())
                assert await told.next() is None
                assert "refused" in told.lines[-1]

    play(scene())


# ---- Bounds ----


@pytest.mark.parametrize(
    ("head", "more"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b" " * 65_536),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b" " * 65_536),
        (CHUNKED, b"10000\r\n" + b" " * 65_536 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: and more\r\n" * 1_000),
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 65_536),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000),
        (CHUNKED + b"0\r\n", b"X-More: and more\r\n" * 1_000),
        (CHUNKED, b"1;" + b"x" * 10_000 + b"\r\n \r\n"),
    ],
    ids=["body", "length", "chunks", "headers", "one header", "interim", "trailers", "frames"],
)
def test_an_answer_without_end_is_bounded(head: bytes, more: bytes) -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.fetch()
            call = await script.call()
            call.write(head)
            sent = 0
            with contextlib.suppress(ConnectionError):
                while told.news.empty():
                    call.write(more)
                    sent += len(more)
                    await call.writer.drain()
                    await asyncio.sleep(0)
                    assert sent < 5 * disco.MOST_BYTES
            assert await told.next() is None

    play(scene())


def test_a_silent_discovery_is_a_failed_call_after_its_time() -> None:
    async def scene() -> None:
        async with watched(WAIT_S, WAIT_S) as (script, told, one):
            one.follow()
            first = await script.call()
            await first.end(good(7))
            assert await told.version() == 7
            began = asyncio.get_running_loop().time()
            second = await script.call()
            assert second.path.endswith("?since=7&timeout_ms=50")
            assert await told.next() is None
            assert asyncio.get_running_loop().time() - began >= 1.5 * WAIT_S, "its wait and an answer's time"
            await second.let_go()

    play(scene())


def test_a_trickle_does_not_make_a_call_longer() -> None:
    """Were the time counted from the last byte, it would never end."""

    async def scene() -> None:
        async with watched(WAIT_S, WAIT_S) as (script, told, one):
            one.fetch()
            call = await script.call()
            call.write(b"HTTP/1.1 200 OK\r\n\r\n")
            async with asyncio.timeout(PATIENCE_S):
                with contextlib.suppress(ConnectionError):
                    while told.news.empty():
                        call.write(b" ")
                        await asyncio.sleep(WAIT_S / 10)
            assert await told.next() is None

    play(scene())


def test_a_connection_that_hangs_is_known_before_a_watchs_wait_is_over() -> None:
    async def scene() -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.listen(0)
            held = []
            # A full queue of connections that nobody takes: the next one's first packet is dropped.
            for _ in range(8):
                one = socket.socket()
                one.setblocking(False)
                one.connect_ex(sock.getsockname())
                held.append(one)
            with pytest.raises(calls.CallError, match="time"):
                await calls.get(sock.getsockname(), WHOLE, WAIT_S, 2 * PATIENCE_S, Marks())
            for one in held:
                one.close()

    play(scene())


def test_a_new_wait_is_used_from_the_next_call_on() -> None:
    async def scene() -> None:
        async with watched(1.5) as (script, told, one):
            one.follow()
            first = await script.call()
            assert first.path == f"{WHOLE}?since=0&timeout_ms=1"
            await first.end(good(7))
            second = await script.call()
            assert second.path == f"{WHOLE}?since=7&timeout_ms=1500"
            one.wait(2.5)
            await second.end(good(8, full=False))
            assert (await script.call()).path == f"{WHOLE}?since=8&timeout_ms=2500"

    play(scene())


# ---- Two answers that cross ----


def test_a_whole_list_overtaken_by_a_change_undoes_nothing() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.version = 6
            one.follow()
            one.fetch()
            watch, fetch = await script.both()
            await watch.end(good(8, full=False, a="terminating"))
            assert draining(await told.next()) == {"a"}
            watch = await script.call()
            await fetch.end(good(7, a="in_service"))  # written before the change, read after it
            await told.noted("version 7 was overtaken by 8")
            assert told.news.empty() and one.version == 8
            await watch.end(good(9, full=False, b="terminating"))
            assert draining(await told.next()) == {"b"}, "the watch goes on"

    play(scene())


def test_a_whole_list_before_a_change_is_taken_and_then_the_change() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.version = 6
            one.follow()
            one.fetch()
            watch, fetch = await script.both()
            await fetch.end(good(7, a="in_service"))
            assert await told.version() == 7
            await watch.end(good(8, full=False, a="terminating"))
            assert draining(await told.next()) == {"a"}
            assert (await script.call()).path.startswith(f"{WHOLE}?since=8&")

    play(scene())


def test_changes_overtaken_by_a_whole_list_are_no_failure() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.version = 6
            one.follow()
            one.fetch()
            watch, fetch = await script.both()
            await fetch.end(good(9, a="terminating"))
            assert draining(await told.next()) == {"a"}
            await watch.end(good(7, full=False, a="in_service"))
            watch = await script.call()
            assert watch.path.startswith(f"{WHOLE}?since=9&"), "it goes on from the newest"
            assert told.news.empty()
            await watch.end(good(10, full=False, b="terminating"))
            assert draining(await told.next()) == {"b"}

    play(scene())


def test_a_watch_that_failed_during_a_fetch_is_opened_again_by_its_news() -> None:
    """News is a sign of life: after it nobody asks the calls to follow again."""

    async def scene() -> None:
        async with watched() as (script, told, one):
            one.follow()
            one.fetch()
            watch, fetch = await script.both()
            watch.reset()
            assert await told.next() is None
            await fetch.end(good(7, a="in_service"))
            assert await told.version() == 7
            assert (await script.call()).path == f"{WHOLE}?since=7&timeout_ms=1"

    play(scene())


# ---- Discovery goes back ----


def test_a_discovery_that_went_back_is_followed_from_its_whole_list() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.version = 50
            one.follow()
            await (await script.call()).end(good(3, full=False))
            whole = await script.call()
            assert whole.path == WHOLE and told.news.empty()
            await whole.end(good(3, a="terminating", b="in_service"))
            news = await told.next()
            assert draining(news) == {"a"} and news is not None and news.kind is RosterKind.WHOLE
            watch = await script.call()
            assert watch.path.startswith(f"{WHOLE}?since=3&")
            await watch.end(good(4, full=False, b="terminating"))
            assert draining(await told.next()) == {"b"}

    play(scene())


def test_a_watch_that_waits_above_a_restored_version_is_opened_anew() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.version = 50
            one.follow()
            one.fetch()
            watch, fetch = await script.both()
            await fetch.end(good(3, a="terminating"))
            assert draining(await told.next()) == {"a"}
            assert (await script.call()).path == f"{WHOLE}?since=3&timeout_ms=1"
            await watch.let_go()
            assert told.news.empty()

    play(scene())


def test_an_answer_from_before_discovery_went_back_undoes_nothing() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.version = 50
            one.follow()
            one.fetch()
            watch, fetch = await script.both()
            await watch.end(good(3, a="terminating"))
            assert draining(await told.next()) == {"a"}
            await fetch.end(good(51, a="in_service"))
            await told.noted("version 51 was overtaken by 3")
            assert told.news.empty() and one.version == 3

    play(scene())


def test_a_discovery_that_goes_back_again_and_again_is_not_asked_without_a_pause() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.version = 50
            one.follow()
            await (await script.call()).end(good(3, full=False))
            await (await script.call()).end(good(50))
            assert await told.version() == 50
            await (await script.call()).end(good(3, full=False))
            assert await told.next() is None
            assert script.quiet

    play(scene())


@pytest.mark.parametrize("full", [False, None], ids=["changes", "failure"])
def test_a_whole_list_that_does_not_come_is_one_failure(full: bool | None) -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.version = 50
            one.follow()
            await (await script.call()).end(good(3, full=False))
            await (await script.call()).end(b"" if full is None else good(3, full=full))
            assert await told.next() is None
            assert told.news.empty() and script.quiet and one.version == 50

    play(scene())


# ---- A call and a move ----


@pytest.mark.parametrize("length", [True, False])
def test_what_an_old_discovery_writes_after_a_move_is_not_told(length: bool) -> None:
    async def scene() -> None:
        async with watched() as (script, told, one), Script() as other:
            one.follow()
            one.fetch()
            late = good(99) if length else unbounded(page(99))
            calls_there = await script.both()
            for call in calls_there:
                call.write(b"HTTP/1.1 200 OK\r\n")
            one.move(other.address)
            for call in calls_there:
                with contextlib.suppress(ConnectionError):
                    await call.end(late.partition(b"\n")[2])
                await call.let_go()
            await (await other.call()).end(good(7))
            assert await told.version() == 7 and told.news.empty() and script.quiet

    play(scene())


def test_an_answer_that_came_in_the_moment_of_a_close_is_not_told() -> None:
    async def scene() -> None:
        async with watched() as (script, told, one):
            one.follow()
            call = await script.call()
            await call.end(good(7))
            one.close()
            await call.let_go()
            assert told.news.empty() and not told.lines and script.quiet

    play(scene())


def test_who_hears_news_may_close() -> None:
    async def scene() -> None:
        async with Script() as script:
            done = asyncio.Event()

            def told(news: News | None) -> None:
                one.close()
                done.set()

            one = Discovery(script.address, WAIT_S, told, lambda line: None)
            one.fetch()
            call = await script.call()
            await call.end(good(7))
            async with asyncio.timeout(PATIENCE_S):
                await done.wait()
            await call.let_go()
            assert script.quiet

    play(scene())


# ---- Any order ----


@pytest.mark.parametrize(
    ("version", "full", "crossed", "verdict"),
    [
        (6, True, False, Verdict.TAKEN),
        (5, False, True, Verdict.TAKEN),
        (4, True, True, Verdict.STALE),
        (4, False, True, Verdict.STALE),
        (4, True, False, Verdict.RESTORED),
        (4, False, False, Verdict.BACK),
    ],
)
def test_an_answers_verdict(version: int, full: bool, crossed: bool, verdict: Verdict) -> None:
    order = Order()
    order.known(4)
    began = order.begin()
    order.judge(began, disco.read(page(5), False, print))
    if not crossed:
        began = order.begin()
    assert order.judge(began, disco.read(page(version, full), False, print)) is verdict
    counts = verdict in (Verdict.TAKEN, Verdict.RESTORED)
    assert order.version == (version if counts else 5) and order.begin() == 2 + counts


NAMES = "ab"


@dataclass(eq=False)
class Pending:
    """A call under way; its answer is written at one moment and comes at another."""

    path: str
    came: "asyncio.Future[bytes]"
    written: bytes = b""


class Model:
    """A discovery that changes and is put back, calls whose answers come in any order, and a gateway's belief.

    An entry's `cell` says when it was written, its `zone` how often discovery had been put back by then. Versions alone
    do not show that discovery was put back and has changed as often since: so while the gateway has not seen that it
    was put back, it stays below the gateway's version.
    """

    def __init__(self) -> None:
        self.now = self.put_back = 0
        self.behind = False  # the gateway has to see that discovery was put back
        self.undone: list[str] = []  # by an older answer
        self.log: list[str] = []  # the server that turned with each version
        self.calls: list[Pending] = []
        self.belief = {name: (Listing.READY, 0) for name in NAMES}
        self.one = Discovery(("127.0.0.1", 1), 1.0, self.told, lambda line: None)

    async def get(self, address: tuple[str, int], path: str, dial_s: float, most_s: float, marks: Marks) -> bytes:
        """In place of a call over the network."""
        call = Pending(path, asyncio.get_running_loop().create_future())
        self.calls.append(call)
        try:
            return await call.came
        finally:
            self.calls.remove(call)

    def state(self, name: str) -> str:
        return "terminating" if self.log.count(name) % 2 else "in_service"

    def change(self, name: str) -> None:
        if not self.behind or len(self.log) + 1 < self.one.version:
            self.log.append(name)

    def put_back_by(self, steps: int) -> None:
        if 0 < steps <= len(self.log) and self.put_back < 2:
            self.put_back += 1
            del self.log[-steps:]
            self.behind = len(self.log) < self.one.version
            if not self.behind:
                for call in self.calls:
                    self.fail(call)

    def write(self, call: Pending, full: bool) -> None:
        """Discovery answers; the answer is on its way."""
        if call.written:
            return
        self.now += 1
        query = parse_qs(urlsplit(call.path).query)
        since = int(query["since"][0]) if query else 0
        names = set(NAMES) if full or not query else set(self.log[since:])
        zone = str(self.put_back)
        entries: list[dict[str, Any]] = [
            {"id": name, "addr": "127.0.0.1:1", "state": self.state(name), "cell": self.now, "zone": zone}
            for name in sorted(names)
        ]
        text = {"version": len(self.log), "full": full or not query, "servers": entries}
        call.written = json.dumps(text).encode()

    def come(self, call: Pending) -> None:
        if call.written and not call.came.done():
            call.came.set_result(call.written)

    def fail(self, call: Pending) -> None:
        if not call.came.done():
            call.came.set_exception(calls.CallError("reset"))

    def told(self, news: News | None) -> None:
        if news is None:
            return
        if any(server.zone == str(self.put_back) for server in news.servers):
            self.behind = False
        for server in news.servers:
            had = self.belief[server.id]
            if had[0] is not server.listing and server.group <= had[1]:
                self.undone.append(server.id)  # nobody hears what is raised here
            self.belief[server.id] = (server.listing, max(server.group, had[1]))

    async def settle(self) -> None:
        """Everything that follows from what has happened."""
        for _ in range(12):
            await asyncio.sleep(0)

    async def step(self, what: int, which: int) -> None:
        call = self.calls[which % len(self.calls)] if self.calls else None
        if what == 0:
            self.change(NAMES[which % len(NAMES)])
        elif what == 1:
            self.put_back_by(which)
        elif call is not None:
            if what in (2, 3):
                self.write(call, what == 3)
            elif what == 4:
                self.come(call)
            else:
                self.fail(call)
        self.one.follow()
        self.one.fetch()
        await self.settle()

    async def rest(self) -> None:
        """From here on nothing changes, and every call is answered at once."""
        for _ in range(8):
            self.one.follow()
            await self.settle()
            for call in list(self.calls):
                self.write(call, False)
                self.come(call)
            await self.settle()


STEPS = st.lists(st.tuples(st.sampled_from([0, 0, 1, 2, 2, 3, 4, 4, 4, 5]), st.integers(0, 3)), max_size=60)


@settings(max_examples=400, deadline=None)
@given(STEPS)
def test_in_any_order_no_older_answer_undoes_a_newer_one_and_the_version_followed_is_discoverys(
    steps: list[tuple[int, int]],
) -> None:
    async def scene() -> None:
        one = Model()
        with mock.patch.object(calls, "get", one.get):
            for what, which in steps:
                await one.step(what, which)
            await one.rest()
            one.one.close()
            await one.settle()
        assert not one.undone
        assert one.one.version <= len(one.log)
        if one.put_back < 2:
            assert {name: one.belief[name][0].value for name in NAMES} == {
                name: Listing.TERMINATING.value if one.state(name) == "terminating" else Listing.READY.value
                for name in NAMES
            }

    asyncio.run(scene())
