"""Single calls to discovery: where an answer ends, its limits, and races of a call with a move or a close."""

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
    script: Script, text: Callable[[bytes], bytes], turns: int | None, version: int
) -> None:
    """After a reset, a list without a length may lack entries and still decode. A list with a length always counts."""
    call = await script.fetch()
    call.writer.write(text(page(7, a="in_service")))
    for _ in range(turns or 0):  # by then the answer has most likely been read; if not, the result must be the same
        await asyncio.sleep(0)
    await call.end() if turns is None else call.reset()
    assert await script.next_news() == ((version, set()) if version else None) and script.client.version == version


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


@pytest.mark.parametrize("is_split", [False, True], ids=["at once", "byte by byte"])
@pytest.mark.parametrize("name", WHOLE_ANSWERS)
@scene(Script)
async def test_whole_answers_are_read(script: Script, name: str, is_split: bool) -> None:
    call, text = await script.fetch(), WHOLE_ANSWERS[name]
    call.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for offset in range(len(text)) if is_split else ():
        call.writer.write(text[offset : offset + 1])
        await asyncio.sleep(0)
    assert await script.next_news(call, b"" if is_split else text) == (7, {"b"}), script.lines


@pytest.mark.parametrize("name", BROKEN_ANSWERS)
@scene(Script)
async def test_broken_answers_are_failed_calls_and_the_watch_ends(script: Script, name: str) -> None:
    assert await script.next_news(await script.follow(), BROKEN_ANSWERS[name]) is None
    assert await script.next_news(await script.follow(), WHOLE_ANSWERS["length"]) == (7, {"b"}), "a new watch succeeds"


@scene(Script)
async def test_a_refused_connection_is_a_failed_call(script: Script) -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))  # without listening
        script.client.move(sock.getsockname())
        assert await script.next_news() is None and "refused" in script.lines[-1]


# ---- Bounds ----

ENDLESS = {  # the beginning of each answer, and what is repeated without end
    "body": (OK + b"\r\n", b" " * 65_536),
    "length": (OK + b"Content-Length: 99999999999\r\n\r\n", b" " * 65_536),
    "chunks": (CHUNKED, b"10000\r\n" + b" " * 65_536 + b"\r\n"),
    "headers": (OK, b"X-More: and more\r\n" * 1_000),
    "one header": (OK + b"X: ", b"x" * 65_536),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: and more\r\n" * 1_000),
    "frames": (CHUNKED, b"1;" + b"x" * 10_000 + b"\r\n \r\n"),
}


@pytest.mark.parametrize(("head", "repeated"), ENDLESS.values(), ids=ENDLESS)
@scene(Script)
async def test_an_answer_without_end_is_bounded(script: Script, head: bytes, repeated: bytes) -> None:
    call, sent = await script.fetch(), 0
    call.writer.write(head)
    with contextlib.suppress(ConnectionError):
        while script.news.empty():
            call.writer.write(repeated)
            sent += len(repeated)
            await call.writer.drain()
            await asyncio.sleep(0)
            assert sent < 5 * disco.MOST_BYTES
    assert await script.next_news() is None


@scene(Script, WAIT_S, WAIT_S)
async def test_a_silent_discovery_is_a_failed_call_after_its_time(script: Script) -> None:
    assert await script.next_news(await script.follow(), whole(7)) == (7, set())
    began = asyncio.get_running_loop().time()
    second = await script.call()
    assert second.path.endswith("?since=7&timeout_ms=50")
    assert await script.next_news() is None
    assert asyncio.get_running_loop().time() - began >= 1.5 * WAIT_S, (
        "the wait of a watch and the time limit of an answer"
    )
    await second.wait_closed()


@scene(Script, WAIT_S, WAIT_S)
async def test_an_overdue_call_is_reported_and_its_late_answer_is_used(script: Script) -> None:
    """Guards against calls that are given up just before a crowded discovery answers them (review, case 10)."""
    watch = await script.follow()
    assert await script.next_news() is None, "it is overdue"
    assert await script.next_news(watch, whole(7, a="terminating")) == (7, {"a"})
    watch = await script.call()
    assert watch.path == f"{WHOLE}?since=7&timeout_ms=50", "the same watch continues"
    assert await script.next_news(watch, changes(8)) == (8, set())


@scene(Script, PATIENCE_S, WAIT_S)
async def test_beside_an_overdue_call_one_other_may_be_made_and_one_watch_goes_on(script: Script) -> None:
    overdue = await script.follow()
    assert await script.next_news() is None
    other = await script.follow()
    assert await script.next_news(overdue, whole(7, a="terminating")) == (7, {"a"})
    assert await script.next_news(other, whole(7, a="terminating")) == (7, {"a"})
    assert (await script.call()).path.startswith(f"{WHOLE}?since=7&")
    await asyncio.sleep(2 * WAIT_S)
    assert script.has_no_calls, "the watch that was overtaken has ended"


@scene(Script, PATIENCE_S, WAIT_S)
async def test_an_overdue_watch_goes_on_if_the_one_after_it_has_failed(script: Script) -> None:
    """Guards against a client without any watch: after news the Router does not ask for another one."""
    overdue = await script.follow()
    assert await script.next_news() is None
    other = await script.follow()
    assert await script.next_news(other, answer(b"", "503 Service Unavailable")) is None
    assert await script.next_news(overdue, whole(7, a="terminating")) == (7, {"a"})
    assert (await script.call()).path.startswith(f"{WHOLE}?since=7&")


@pytest.mark.parametrize("data", [b"", answer(b"", "503 Service Unavailable")], ids=["end", "503"])
@scene(Script, WAIT_S, WAIT_S)
async def test_a_call_that_fails_when_it_is_overdue_is_one_failure(script: Script, data: bytes) -> None:
    call = await script.fetch()
    assert await script.next_news() is None
    await call.end(data)
    await script.wait_for_line("the overdue call has ended")
    assert script.news.empty()
    assert await script.next_news(await script.fetch(), whole(7)) == (7, set())


@scene(Script, WAIT_S, WAIT_S)
async def test_an_overdue_call_ends_with_a_close_and_with_a_move(script: Script) -> None:
    call = await script.follow()
    assert await script.next_news() is None
    async with Script() as other:
        script.client.move(other.address)
        await call.wait_closed()
        assert await script.next_news(await other.call(), whole(7)) == (7, set())
    assert script.client.version == 7


@scene(Script, WAIT_S, WAIT_S)
async def test_a_trickle_does_not_make_a_call_longer(script: Script) -> None:
    """The limit counts from the start of the call: counted from the last byte, the call would never end."""
    call = await script.fetch()
    call.writer.write(OK + b"\r\n")
    async with asyncio.timeout(PATIENCE_S):
        with contextlib.suppress(ConnectionError):
            while script.news.empty():
                call.writer.write(b" ")
                await asyncio.sleep(WAIT_S / 10)
    assert await script.next_news() is None


def test_a_connection_that_hangs_is_detected_before_the_wait_of_a_watch_is_over() -> None:
    with socket.socket() as sock, contextlib.ExitStack() as open_sockets:
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)
        # Fills the listener's queue, from which nothing accepts: the first packet of the next connection is dropped.
        for _ in range(8):
            waiting = open_sockets.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(sock.getsockname())
        call = calls.get(sock.getsockname(), WHOLE, WAIT_S, 2 * PATIENCE_S, TurnClock())
        with pytest.raises(calls.CallError, match="time"):
            asyncio.run(asyncio.wait_for(call, PATIENCE_S))


@scene(Script, 1.5)
async def test_a_new_wait_is_used_from_the_next_call_on(script: Script) -> None:
    first = await script.follow()
    assert first.path == f"{WHOLE}?since=0&timeout_ms=1"
    await first.end(whole(7))
    second = await script.call()
    assert second.path == f"{WHOLE}?since=7&timeout_ms=1500"
    script.client.wait(2.5)
    await second.end(changes(8))
    assert (await script.call()).path == f"{WHOLE}?since=8&timeout_ms=2500"


# ---- Calls during a move or a close ----


@pytest.mark.parametrize("has_length", [True, False])
@scene(Script)
async def test_what_an_old_discovery_writes_after_a_move_is_not_passed_on(script: Script, has_length: bool) -> None:
    late_answer = whole(99) if has_length else unbounded(page(99))
    async with Script() as other:
        old_calls = await script.follow_and_fetch()
        for call in old_calls:
            call.writer.write(OK)
        script.client.move(other.address)
        for call in old_calls:
            with contextlib.suppress(ConnectionError):
                await call.end(late_answer.partition(b"\n")[2])
            await call.wait_closed()
        assert await script.next_news(await other.call(), whole(7)) == (7, set())
        assert script.news.empty() and script.has_no_calls


@scene(Script)
async def test_an_answer_that_comes_at_the_moment_of_a_close_is_not_passed_on(script: Script) -> None:
    call = await script.follow()
    await call.end(whole(7))
    script.client.close()
    await call.wait_closed()
    assert script.news.empty() and not script.lines and script.has_no_calls


@scene(Script)
async def test_the_receiver_of_news_may_close_the_client(script: Script) -> None:
    received = asyncio.Event()

    def on_news(news: News | None) -> None:
        client.close()
        received.set()

    client = Discovery(script.address, WAIT_S, on_news, lambda line: None)
    client.fetch()
    call = await script.call()
    await call.end(whole(7))
    await asyncio.wait_for(received.wait(), PATIENCE_S)
    await call.wait_closed()
    assert script.has_no_calls
