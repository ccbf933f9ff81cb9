"""What a client and the gateway do in the same instant, each order forced: answers, shutdowns, requests, leavings.

Nothing here waits for a time: a crossing is made by what is in the sockets before the gateway has its turn.
"""

import asyncio
import contextlib

import pytest

from oatlink.platform.clients import connection, listener
from oatlink.platform.statement import MAX_QUERY_BYTES
from oatlink.transport import ending
from oatlink.transport.closing import State
from tests.client_world import STARTUP, Home, Peer, home, query
from tests.scenes import scene

BIG = 60_000  # an answer that small sockets do not take at once
REFUSED = "53300"


@pytest.mark.parametrize("how", ["end", "drain"])
@scene(home, watched=True)
async def test_an_answer_and_a_close_in_one_turn_over_unread_bytes_arrive_both(one: Home, how: str) -> None:
    peer, client = await one.client()
    one.asker.size = BIG
    peer.send(query(b"a"))
    await one.asked(1)
    peer.send(query(b"b"), query(b"c"))  # in the gateway's socket, unread
    one.asker.answer(client)
    client.end(b"") if how == "end" else client.drain()
    peer.send(query(b"d"))  # what comes after the shutdown, if it was shut down
    found = await peer.answers()
    assert found[0] == "value of a", "whole, then the end, no reset"
    assert found[1:] == ([] if how == "end" else [REFUSED] * (len(found) - 1)) and len(found) <= 4
    assert one.asker.texts == [b"a"], "what came by the end is never asked"
    await one.left(peer, client)


@scene(home)
async def test_a_request_just_before_the_drain_is_refused_and_the_connection_ends(one: Home) -> None:
    peer, client = await one.client()
    peer.send(query(b"a"))
    one.clients.stop()
    assert client.ending.state is State.DRAINING, "a request lies there: nothing is shut down over it"
    await one.until(lambda: client.is_ending, sweeps=True)
    assert await peer.answers() == [REFUSED]
    assert not one.asker.texts


@scene(home)
async def test_a_request_just_after_the_shutdown_is_never_asked_and_its_client_sees_the_end(one: Home) -> None:
    peer, client = await one.client()
    one.clients.stop()
    assert client.ending.state is State.HALF_CLOSED
    peer.send(query(b"a"), query(b"b"))
    assert await peer.answers() == []
    await one.until(lambda: client.ending._closing.discarded_bytes > 0)
    await one.left(peer, client)
    assert not one.asker.texts


@pytest.mark.parametrize("how", ["make room", "relieve"])
@scene(home, most=16)
async def test_a_request_between_the_look_and_the_drain_is_answered_and_its_connection_does_not_stay(
    one: Home, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Found by reading: it was kept with those that end, where nobody looked again, refusing each request for good."""
    monkeypatch.setattr(listener, "IDLE_US", 0)
    for number in range(13):  # with one more, the bound; all but the last have a query open
        (await one.client())[0].send(query(b"q%d" % number))
    await one.asked(13)
    peer, client = await one.client()
    look = client.idle_since_us

    def crossed() -> int | None:
        found = look()
        peer.send(query(b"crossing"))
        monkeypatch.undo()
        return found

    monkeypatch.setattr(client, "idle_since_us", crossed)
    if how == "make room":
        one.knock(STARTUP)
        await one.until(lambda: len(one.clients.active) + len(one.clients._ending) > 14)
    else:
        one.clients.sweep()
    assert client.ending.state is State.DRAINING
    assert await peer.answer() == REFUSED
    await one.until(lambda: client.is_ending, sweeps=True)
    assert await peer.answers() == []
    assert b"crossing" not in one.asker.texts


@scene(home, most=16)
async def test_one_past_the_bound_is_refused_in_words_whatever_it_has_sent_already(one: Home) -> None:
    for number in range(14):
        (await one.client())[0].send(query(b"q%d" % number))
    await one.asked(14)
    peer = one.knock(STARTUP + query(b"one too many"), query(b"and more"))
    assert await peer.answers() == [REFUSED]
    silent = [one.knock(STARTUP) for _ in range(60)]  # they never end their side
    for each in silent[:-2]:  # the oldest go hard, for they hold descriptors
        with contextlib.suppress(ConnectionError):
            assert await each.answers() in ([REFUSED], [])
        assert one.clients.open_count <= 16
    for each in silent[-2:]:
        assert await each.answers() == [REFUSED]
    assert len(one.asker.texts) == 14 and len(one.clients.active) == 14
    one.asker.answer(next(iter(one.clients.active)))
    assert await one.peers[0].answer() == "value of q0", "those inside are served"


@scene(home, watched=True)
async def test_a_client_that_asks_without_a_pause_gets_one_answer_for_each_and_an_end(one: Home) -> None:
    one.asker.at_once = True
    peer, client = await one.client()
    loop = asyncio.get_running_loop()

    async def flood() -> None:
        number = 0
        while True:
            await loop.sock_sendall(peer.sock, query(b"k%d" % number))
            number += 1
            await asyncio.sleep(0)

    flooding = asyncio.ensure_future(flood())
    found = [await peer.answer() for _ in range(20)]
    one.clients.stop()
    found += await peer.answers()
    flooding.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await flooding
    asked = len(one.asker.texts)
    assert found[:asked] == [f"value of k{number}" for number in range(asked)]
    assert len(found) > asked and set(found[asked:]) == {REFUSED}, "one answer each, in order"
    await one.left(peer, client)


@pytest.mark.parametrize("goes_on", [True, False])
@scene(home, watched=True)
async def test_half_a_message_at_the_drain_is_answered_if_it_comes_whole_else_ended(one: Home, goes_on: bool) -> None:
    peer, client = await one.client()
    text = query(b"a query")
    peer.send(text[:7])
    await one.until(lambda: client._reader.pending == 7)
    one.clients.stop()
    assert client.ending.state is State.DRAINING
    if goes_on:
        peer.send(text[7:])
    assert await peer.answers() == ([REFUSED] if goes_on else [])
    assert not one.asker.texts
    await one.left(peer, client)


@scene(home, watched=True)
async def test_what_waits_in_the_listeners_queue_at_the_end_is_not_reset(one: Home) -> None:
    sent = [STARTUP + query(b"a")] * 20 + [STARTUP] * 20 + [b""] * 5
    peers = [one.knock(text) for text in sent]
    one.clients.stop()
    assert [await each.answers() for each in peers] == [["", REFUSED]] * 20 + [[""]] * 20 + [[]] * 5
    assert not one.asker.texts


@pytest.mark.parametrize("is_answered", [False, True])
@scene(home)
async def test_a_client_that_leaves_behind_more_than_is_read_is_noticed(one: Home, is_answered: bool) -> None:
    peer, client = await one.client()
    peer.send(query(b"first"))
    await one.asked(1)
    pile = query(b"behind".ljust(10_000))
    for _ in range(MAX_QUERY_BYTES // len(pile) + 6):
        peer.send(pile)
        await asyncio.sleep(0)
    await one.until(lambda: client._reader.pending > MAX_QUERY_BYTES)
    peer.sock.close()
    if is_answered:  # before anybody has looked
        one.asker.answer(client)
    await one.until(lambda: client.closed, sweeps=not is_answered)
    assert one.asker.texts == [b"first"]
    assert one.asker.gone == ([] if is_answered else [b"first"])
    assert client not in one.clients.active


async def unread(one: Home, behind: bytes = b"") -> tuple[Peer, connection.Client]:
    """A client whose big answer the kernel does not take whole, with what it has sent behind its query."""
    one.asker.size, one.asker.at_once = BIG, True
    peer, client = await one.client()
    peer.send(query(b"a") + behind)
    await one.until(lambda: client.stream.writing())
    return peer, client


@scene(home, small=True)
async def test_a_client_that_never_reads_holds_one_answer(one: Home, monkeypatch: pytest.MonkeyPatch) -> None:
    peer, client = await unread(one, query(b"b") * 50)
    held = client.stream._write_buffer
    for _ in range(20):
        one.clients.sweep()
        await asyncio.sleep(0)
        assert one.asker.texts == [b"a"] and len(held) <= BIG + 200, "the next waits for the last one's taking"
    monkeypatch.setattr(connection, "HALF_US", 0)
    await one.until(lambda: client.closed, sweeps=True)
    assert one.asker.texts == [b"a"] and not one.clients.open_count
    with pytest.raises((ConnectionError, EOFError)):  # cut short, and to be recognised as such
        await peer.answer()


@scene(home, small=True)
async def test_a_client_that_reads_late_gets_all_in_order(one: Home) -> None:
    peer, _ = await unread(one, query(b"b") + query(b"c"))
    assert one.asker.texts == [b"a"]
    assert [await peer.answer() for _ in range(3)] == ["value of a", "value of b", "value of c"]


@scene(home, small=True)
async def test_one_whose_answer_is_still_being_written_does_not_idle(one: Home) -> None:
    peer, client = await unread(one)
    assert client.stream.is_idle() and client.idle_since_us() is None
    assert await peer.answer() == "value of a"
    await one.until(lambda: client.idle_since_us() is not None)


@scene(home, small=True, watched=True)
async def test_an_answer_that_is_still_being_written_at_the_end_is_taken_whole(one: Home) -> None:
    peer, client = await unread(one)
    one.clients.stop()
    assert client.ending.state is State.DRAINING
    assert await peer.answers() == ["value of a"]
    peer.sock.close()
    await one.until(lambda: not one.clients.open_count)


@scene(home, small=True, watched=True)
async def test_a_peer_that_takes_its_last_answer_late_and_never_ends_its_side_is_closed(
    one: Home, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ending, "LINGER_S", 0.5)
    peer, client = await unread(one)
    one.clients.stop()  # its time to take the answer runs
    assert await peer.answers() == ["value of a"]
    await one.until(lambda: client.closed)  # its time to end came after, and was looked for again
    assert not one.clients.open_count


@pytest.mark.parametrize("how", ["reset", "close"])
@pytest.mark.parametrize("behind", [b"", query(b"b".ljust(10_000)) * (MAX_QUERY_BYTES // 10_000 + 6)], ids=["", "pile"])
@scene(home, small=True)
async def test_a_client_that_goes_while_its_answer_is_written(one: Home, how: str, behind: bytes) -> None:
    """With more behind its query than is read, its reader waits: the write alone sees that it has gone."""
    one.asker.size = BIG
    peer, client = await one.client()
    peer.send(query(b"a"))
    await one.asked(1)
    loop = asyncio.get_running_loop()
    await asyncio.wait_for(loop.sock_sendall(peer.sock, behind), 10)
    await one.until(lambda: (client._reader.pending > MAX_QUERY_BYTES) == bool(behind))
    one.asker.answer(client)
    assert client.stream.writing()
    peer.reset() if how == "reset" else peer.sock.close()
    await one.until(lambda: client not in one.clients.active)
    assert client.closed and not one.asker.gone, "it was answered"
    assert one.asker.texts == [b"a"]


@scene(home, most=64, watched=True)
async def test_silent_and_slow_connections_without_number_are_bounded_and_others_are_served(
    one: Home, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection, "SILENT_US", 200_000)
    one.asker.at_once = True
    usual, _ = await one.client()
    usual.send(query(b"before"))
    assert await usual.answer() == "value of before"
    slow = [one.knock(STARTUP[: number % 4]) for number in range(300)]  # none, or a few bytes, and no more
    await one.until(lambda: len(one.clients.active) > 50)
    for number in range(50):
        usual.send(query(b"k%d" % number))
        assert await usual.answer() == f"value of k{number}"
        for each in slow[number::50]:
            with contextlib.suppress(OSError):  # it has been sent away
                each.send(STARTUP[4:5])
        assert one.clients.open_count <= 64
    while await (fresh := one.knock(STARTUP)).answer() != "":
        pass  # one that is sent away comes again
    fresh.send(query(b"fresh"))
    assert await fresh.answer() == "value of fresh"
    await one.until(lambda: len(one.clients.active) <= 2)
