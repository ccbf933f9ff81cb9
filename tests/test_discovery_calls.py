"""One call to discovery: where its answer ends, what bounds it, and a call that crosses a move or a close."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest

from oatlink.gateway.clock import TurnClock
from oatlink.platform import discovery as disco
from oatlink.platform.discovery import Discovery, News, calls
from tests.discovery_script import PATIENCE_S, WHOLE, Script, answer, changes, page, unbounded, whole
from tests.scenes import scene

WAIT_S = 0.05

# ---- The end of an answer ----


@pytest.mark.parametrize(
    ("text", "turns", "version"),
    [(unbounded, None, 7), (unbounded, 0, 0), (unbounded, 20, 0), (answer, 0, 7)],
    ids=["in order", "reset at once", "reset some turns later", "reset after the length"],
)
@scene(Script)
async def test_a_list_without_a_length_ends_with_an_orderly_close_and_no_reset(
    at: Script, text: Callable[[bytes], bytes], turns: int | None, version: int
) -> None:
    """Reset, it may lack entries and yet read as whole. One with a length counts whatever ends its connection."""
    call = await at.fetches()
    call.writer.write(text(page(7, a="in_service")))
    for _ in range(turns or 0):  # most likely it is read by then: one that is not has to come to the same
        await asyncio.sleep(0)
    await call.end() if turns is None else call.reset()
    assert await at.hears() == ((version, set()) if version else None) and at.one.version == version


BODY = page(7, a="in_service", b="terminating")
HALF = len(BODY) // 2
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


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
    "half a head": OK + b"Content-Le",
    "503": answer(b"", "503 Service Unavailable"),
    "503 with a list": answer(BODY, "503 Service Unavailable"),
    "204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "redirect": answer(BODY, "302 Found"),
    "cut": answer(BODY, length=len(BODY) + 1),
    "cut chunk": chunks(BODY[:HALF]) + b"ff\r\n" + BODY[HALF:],
    "no last chunk": chunks(BODY),
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n" + BODY,
    "noise": b"\x16\x03\x01\x02\x00" * 5,
    "not a list": answer(b'{"version": 7}'),
    "half a list": unbounded(BODY[:HALF]),
    "deep": answer(b"[" * 100_000),
}


@pytest.mark.parametrize("pieces", [False, True], ids=["at once", "byte by byte"])
@pytest.mark.parametrize("name", WHOLE_ANSWERS)
@scene(Script)
async def test_whole_answers_are_read(at: Script, name: str, pieces: bool) -> None:
    call, text = await at.fetches(), WHOLE_ANSWERS[name]
    call.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for number in range(len(text)) if pieces else ():
        call.writer.write(text[number : number + 1])
        await asyncio.sleep(0)
    assert await at.hears(call, b"" if pieces else text) == (7, {"b"}), at.lines


@pytest.mark.parametrize("name", BROKEN_ANSWERS)
@scene(Script)
async def test_broken_answers_are_failed_calls_and_the_watch_ends(at: Script, name: str) -> None:
    assert await at.hears(await at.follows(), BROKEN_ANSWERS[name]) is None
    assert await at.hears(await at.follows(), WHOLE_ANSWERS["length"]) == (7, {"b"}), "asked again, it goes on"


@scene(Script)
async def test_a_refused_connection_is_a_failed_call(at: Script) -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))  # and does not listen
        at.one.move(sock.getsockname())
        assert await at.hears() is None and "refused" in at.lines[-1]


# ---- Bounds ----

ENDLESS = {  # how it begins, and what comes again and again
    "body": (OK + b"\r\n", b" " * 65_536),
    "length": (OK + b"Content-Length: 99999999999\r\n\r\n", b" " * 65_536),
    "chunks": (CHUNKED, b"10000\r\n" + b" " * 65_536 + b"\r\n"),
    "headers": (OK, b"X-More: and more\r\n" * 1_000),
    "one header": (OK + b"X: ", b"x" * 65_536),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: and more\r\n" * 1_000),
    "frames": (CHUNKED, b"1;" + b"x" * 10_000 + b"\r\n \r\n"),
}


@pytest.mark.parametrize(("head", "more"), ENDLESS.values(), ids=ENDLESS)
@scene(Script)
async def test_an_answer_without_end_is_bounded(at: Script, head: bytes, more: bytes) -> None:
    call, sent = await at.fetches(), 0
    call.writer.write(head)
    with contextlib.suppress(ConnectionError):
        while at.news.empty():
            call.writer.write(more)
            sent += len(more)
            await call.writer.drain()
            await asyncio.sleep(0)
            assert sent < 5 * disco.MOST_BYTES
    assert await at.hears() is None


@scene(Script, WAIT_S, WAIT_S)
async def test_a_silent_discovery_is_a_failed_call_after_its_time(at: Script) -> None:
    assert await at.hears(await at.follows(), whole(7)) == (7, set())
    began = asyncio.get_running_loop().time()
    second = await at.call()
    assert second.path.endswith("?since=7&timeout_ms=50")
    assert await at.hears() is None
    assert asyncio.get_running_loop().time() - began >= 1.5 * WAIT_S, "its wait and an answer's time"
    await second.let_go()


@scene(Script, WAIT_S, WAIT_S)
async def test_a_trickle_does_not_make_a_call_longer(at: Script) -> None:
    """Were the time counted from the last byte, it would never end."""
    call = await at.fetches()
    call.writer.write(OK + b"\r\n")
    async with asyncio.timeout(PATIENCE_S):
        with contextlib.suppress(ConnectionError):
            while at.news.empty():
                call.writer.write(b" ")
                await asyncio.sleep(WAIT_S / 10)
    assert await at.hears() is None


def test_a_connection_that_hangs_is_known_before_a_watchs_wait_is_over() -> None:
    with socket.socket() as sock, contextlib.ExitStack() as held:
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)
        # A full queue of connections that nobody takes: the next one's first packet is dropped.
        for _ in range(8):
            one = held.enter_context(socket.socket())
            one.setblocking(False)
            one.connect_ex(sock.getsockname())
        call = calls.get(sock.getsockname(), WHOLE, WAIT_S, 2 * PATIENCE_S, TurnClock())
        with pytest.raises(calls.CallError, match="time"):
            asyncio.run(asyncio.wait_for(call, PATIENCE_S))


@scene(Script, 1.5)
async def test_a_new_wait_is_used_from_the_next_call_on(at: Script) -> None:
    first = await at.follows()
    assert first.path == f"{WHOLE}?since=0&timeout_ms=1"
    await first.end(whole(7))
    second = await at.call()
    assert second.path == f"{WHOLE}?since=7&timeout_ms=1500"
    at.one.wait(2.5)
    await second.end(changes(8))
    assert (await at.call()).path == f"{WHOLE}?since=8&timeout_ms=2500"


# ---- A call and a move ----


@pytest.mark.parametrize("length", [True, False])
@scene(Script)
async def test_what_an_old_discovery_writes_after_a_move_is_not_told(at: Script, length: bool) -> None:
    late = whole(99) if length else unbounded(page(99))
    async with Script() as other:
        calls_there = await at.both()
        for call in calls_there:
            call.writer.write(OK)
        at.one.move(other.address)
        for call in calls_there:
            with contextlib.suppress(ConnectionError):
                await call.end(late.partition(b"\n")[2])
            await call.let_go()
        assert await at.hears(await other.call(), whole(7)) == (7, set())
        assert at.news.empty() and at.quiet


@scene(Script)
async def test_an_answer_that_came_in_the_moment_of_a_close_is_not_told(at: Script) -> None:
    call = await at.follows()
    await call.end(whole(7))
    at.one.close()
    await call.let_go()
    assert at.news.empty() and not at.lines and at.quiet


@scene(Script)
async def test_who_hears_news_may_close(at: Script) -> None:
    done = asyncio.Event()

    def told(news: News | None) -> None:
        one.close()
        done.set()

    one = Discovery(at.address, WAIT_S, told, lambda line: None)
    one.fetch()
    call = await at.call()
    await call.end(whole(7))
    await asyncio.wait_for(done.wait(), PATIENCE_S)
    await call.let_go()
    assert at.quiet
