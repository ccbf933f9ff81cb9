"""Races between a client and the gateway: answers, shutdowns, requests and disconnects, in each order.

The order does not depend on time: the tests fill the sockets before the event loop runs the gateway.
"""

import asyncio
import contextlib
import socket

import pytest

from oatlink.gateway import clients as gateway_clients
from oatlink.platform.clients import connection, listener
from oatlink.platform.statement import MAX_QUERY_BYTES
from oatlink.transport import ending
from oatlink.transport.closing import State
from tests.client_world import STARTUP, ListenerWorld, Peer, listener_world, query
from tests.scenes import scene

BIG_ANSWER_BYTES = 60_000  # more than small sockets accept at once
REFUSED = "53300"


@pytest.mark.parametrize("how", ["end", "drain"])
@scene(listener_world, sweeping=True)
async def test_answer_and_close_in_one_turn_with_unread_input_both_arrive(world: ListenerWorld, how: str) -> None:
    peer, client = await world.start_client()
    world.handler.answer_bytes = BIG_ANSWER_BYTES
    peer.send(query(b"a"))
    await world.until_submitted(1)
    peer.send(query(b"b"), query(b"c"))  # unread in the gateway's socket
    world.handler.answer(client)
    client.end(b"") if how == "end" else client.drain()
    peer.send(query(b"d"))  # arrives after the shutdown, if there was one
    answers = await peer.answers()
    assert answers[0] == "value of a", "whole, then an orderly end without a reset"
    assert answers[1:] == ([] if how == "end" else [REFUSED] * (len(answers) - 1)) and len(answers) <= 4
    assert world.handler.submitted == [b"a"], "queries that arrive during the end are never submitted"
    await world.disconnect(peer, client)


@scene(listener_world)
async def test_a_request_just_before_the_drain_is_refused_and_the_connection_ends(world: ListenerWorld) -> None:
    peer, client = await world.start_client()
    peer.send(query(b"a"))
    world.clients.stop()
    assert client.ending.state is State.DRAINING, "a request is unread, so our side is not shut down yet"
    await world.until(lambda: client.is_ending, sweeps=True)
    assert await peer.answers() == [REFUSED]
    assert not world.handler.submitted


@scene(listener_world)
async def test_a_request_just_after_the_shutdown_is_never_submitted_and_its_client_sees_the_end(
    world: ListenerWorld,
) -> None:
    peer, client = await world.start_client()
    world.clients.stop()
    assert client.ending.state is State.HALF_CLOSED
    peer.send(query(b"a"), query(b"b"))
    assert await peer.answers() == []
    await world.until(lambda: client.ending._closing.discarded_bytes > 0)
    await world.disconnect(peer, client)
    assert not world.handler.submitted


@pytest.mark.parametrize("how", ["make room", "relieve pressure"])
@scene(listener_world, max_descriptors=16)
async def test_a_request_between_idle_check_and_drain_is_answered_and_its_connection_ends(
    world: ListenerWorld, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Such a connection counted as ending, so no sweep checked it any more, and it refused every further request."""
    monkeypatch.setattr(listener, "MIN_IDLE_US", 0)
    for number in range(13):  # one below the limit; each of these has an open query
        (await world.start_client())[0].send(query(b"q%d" % number))
    await world.until_submitted(13)
    peer, client = await world.start_client()
    check_idle = client.idle_since_us

    def send_after_check() -> int | None:
        idle_since_us = check_idle()
        peer.send(query(b"racing"))
        monkeypatch.undo()
        return idle_since_us

    monkeypatch.setattr(client, "idle_since_us", send_after_check)
    if how == "make room":
        world.connect(STARTUP)
        await world.until(lambda: len(world.clients.active) + len(world.clients._ending) > 14)
    else:
        world.clients.sweep()
    assert client.ending.state is State.DRAINING
    assert await peer.answer() == REFUSED
    await world.until(lambda: client.is_ending, sweeps=True)
    assert await peer.answers() == []
    assert b"racing" not in world.handler.submitted


@scene(listener_world, max_descriptors=16)
async def test_a_connection_beyond_the_limit_gets_an_error_whatever_it_has_sent(world: ListenerWorld) -> None:
    for number in range(14):
        (await world.start_client())[0].send(query(b"q%d" % number))
    await world.until_submitted(14)
    peer = world.connect(STARTUP + query(b"one too many"), query(b"and more"))
    assert await peer.answers() == [REFUSED]
    silent = [world.connect(STARTUP) for _ in range(60)]  # these peers never close their side
    for silent_peer in silent[:-2]:  # the oldest may be reset, because they occupy descriptors
        with contextlib.suppress(ConnectionError):
            assert await silent_peer.answers() in ([REFUSED], [])
        assert world.clients.open_count <= 16
    for silent_peer in silent[-2:]:
        assert await silent_peer.answers() == [REFUSED]
    assert len(world.handler.submitted) == 14 and len(world.clients.active) == 14
    world.handler.answer(next(iter(world.clients.active)))
    assert await world.peers[0].answer() == "value of q0", "accepted clients are served"


@scene(listener_world, sweeping=True)
async def test_a_client_that_sends_without_a_pause_gets_one_answer_for_each_and_an_end(world: ListenerWorld) -> None:
    world.handler.answers_at_once = True
    peer, client = await world.start_client()
    loop = asyncio.get_running_loop()

    async def flood() -> None:
        number = 0
        while True:
            await loop.sock_sendall(peer.sock, query(b"k%d" % number))
            number += 1
            await asyncio.sleep(0)

    flooding = asyncio.ensure_future(flood())
    answers = [await peer.answer() for _ in range(20)]
    world.clients.stop()
    answers += await peer.answers()
    flooding.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await flooding
    count = len(world.handler.submitted)
    assert answers[:count] == [f"value of k{number}" for number in range(count)]
    assert len(answers) > count and set(answers[count:]) == {REFUSED}, "one answer each, in order"
    await world.disconnect(peer, client)


@pytest.mark.parametrize("is_completed", [True, False])
@scene(listener_world, sweeping=True)
async def test_a_partial_message_at_the_drain_is_answered_if_completed_or_else_the_connection_ends(
    world: ListenerWorld, is_completed: bool
) -> None:
    peer, client = await world.start_client()
    text = query(b"a query")
    peer.send(text[:7])
    await world.until(lambda: client.input.pending == 7)
    world.clients.stop()
    assert client.ending.state is State.DRAINING
    if is_completed:
        peer.send(text[7:])
    assert await peer.answers() == ([REFUSED] if is_completed else [])
    assert not world.handler.submitted
    await world.disconnect(peer, client)


@scene(listener_world, sweeping=True)
async def test_connections_in_the_listen_queue_at_the_stop_are_not_reset(world: ListenerWorld) -> None:
    sent = [STARTUP + query(b"a")] * 20 + [STARTUP] * 20 + [b""] * 5
    peers = [world.connect(text) for text in sent]
    world.clients.stop()
    assert [await peer.answers() for peer in peers] == [["", REFUSED]] * 20 + [[""]] * 20 + [[]] * 5
    assert not world.handler.submitted


@scene(listener_world)
async def test_a_stop_takes_the_connections_that_wait_and_no_others(
    world: ListenerWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients that come again at once: a stop took them without end (review, seen-2/stop_flood.py)."""
    taken: list[connection.Client] = []
    add_client = listener.Clients._add_client

    def come_again(clients: listener.Clients, sock: socket.socket) -> connection.Client:
        if len(taken) < 3 * listener.BACKLOG:
            world.connect()
        taken.append(add_client(clients, sock))
        return taken[-1]

    monkeypatch.setattr(listener, "BACKLOG", 20)
    monkeypatch.setattr(listener.Clients, "_add_client", come_again)
    world.connect()
    world.clients.stop()
    assert world.clients.stopping and 0 < len(taken) <= listener.BACKLOG + 1


def test_the_resp_gateway_takes_as_many_connections_at_its_stop_as_may_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the RESP gateway against the same: here one connection comes for each that is taken."""
    monkeypatch.setattr(gateway_clients, "LISTEN_BACKLOG", 3)
    taken: list[socket.socket] = []
    with socket.create_server(("127.0.0.1", 0), backlog=10) as server, contextlib.ExitStack() as sockets:
        server.setblocking(False)

        def come() -> None:
            sockets.enter_context(socket.create_connection(server.getsockname()))

        def accept(sock: socket.socket, _: object) -> None:
            taken.append(sockets.enter_context(sock))
            if len(taken) < 20:
                come()

        come()
        gateway_clients.accept_queued(server, accept)
    assert len(taken) == 3 + 1


@pytest.mark.parametrize("is_answered", [False, True])
@scene(listener_world)
async def test_a_client_that_leaves_behind_more_input_than_is_read_is_noticed(
    world: ListenerWorld, is_answered: bool
) -> None:
    peer, client = await world.start_client()
    peer.send(query(b"first"))
    await world.until_submitted(1)
    big_query = query(b"behind".ljust(10_000))
    for _ in range(MAX_QUERY_BYTES // len(big_query) + 6):
        peer.send(big_query)
        await asyncio.sleep(0)
    await world.until(lambda: client.input.pending > MAX_QUERY_BYTES - len(big_query))
    peer.sock.close()
    if is_answered:  # before any sweep
        world.handler.answer(client)
    await world.until(lambda: client.closed, sweeps=not is_answered)
    assert world.handler.submitted == [b"first"]
    assert world.handler.abandoned == ([] if is_answered else [b"first"])
    assert client not in world.clients.active


async def unread(world: ListenerWorld, behind: bytes = b"") -> tuple[Peer, connection.Client]:
    """Start a client whose answer does not fit into the kernel's buffers; `behind` is sent behind its query."""
    world.handler.answer_bytes, world.handler.answers_at_once = BIG_ANSWER_BYTES, True
    peer, client = await world.start_client()
    peer.send(query(b"a") + behind)
    await world.until(lambda: client.stream.writing())
    return peer, client


@scene(listener_world, small=True)
async def test_a_client_that_never_reads_holds_one_answer(
    world: ListenerWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    peer, client = await unread(world, query(b"b") * 50)
    write_buffer = client.stream._write_buffer
    for _ in range(20):
        world.clients.sweep()
        await asyncio.sleep(0)
        assert world.handler.submitted == [b"a"] and len(write_buffer) <= BIG_ANSWER_BYTES + 200, (
            "the next query waits until the last answer is taken"
        )
    monkeypatch.setattr(connection, "TRANSFER_TIMEOUT_US", 0)
    await world.until(lambda: client.closed, sweeps=True)
    assert world.handler.submitted == [b"a"] and not world.clients.open_count
    with pytest.raises((ConnectionError, EOFError)):  # the answer is truncated, and the client can tell
        await peer.answer()


@scene(listener_world, small=True)
async def test_a_client_that_reads_late_gets_all_in_order(world: ListenerWorld) -> None:
    peer, _ = await unread(world, query(b"b") + query(b"c"))
    assert world.handler.submitted == [b"a"]
    assert [await peer.answer() for _ in range(3)] == ["value of a", "value of b", "value of c"]


@scene(listener_world, small=True)
async def test_a_client_whose_answer_is_still_being_written_is_not_idle(world: ListenerWorld) -> None:
    peer, client = await unread(world)
    assert client.stream.is_idle() and client.idle_since_us() is None
    assert await peer.answer() == "value of a"
    await world.until(lambda: client.idle_since_us() is not None)


@scene(listener_world, small=True, sweeping=True)
async def test_an_answer_that_is_still_being_written_at_the_stop_is_received_whole(world: ListenerWorld) -> None:
    peer, client = await unread(world)
    world.clients.stop()
    assert client.ending.state is State.DRAINING
    assert await peer.answers() == ["value of a"]
    peer.sock.close()
    await world.until(lambda: not world.clients.open_count)


@scene(listener_world, small=True, sweeping=True)
async def test_a_peer_that_takes_its_last_answer_late_and_never_closes_its_side_is_closed(
    world: ListenerWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ending, "LINGER_S", 0.5)
    peer, client = await unread(world)
    world.clients.stop()  # starts the time limit for taking the answer
    assert await peer.answers() == ["value of a"]
    await world.until(lambda: client.closed)  # the limit for closing its side begins afterwards, with a new timer
    assert not world.clients.open_count


@pytest.mark.parametrize("how", ["reset", "close"])
@pytest.mark.parametrize(
    "behind", [b"", query(b"b".ljust(10_000)) * (MAX_QUERY_BYTES // 10_000 + 6)], ids=["", "much behind"]
)
@scene(listener_world, small=True)
async def test_a_client_that_goes_while_its_answer_is_written(world: ListenerWorld, how: str, behind: bytes) -> None:
    """If much input is behind the query, the gateway refuses what it does not hold, so that it reads on."""
    world.handler.answer_bytes = BIG_ANSWER_BYTES
    peer, client = await world.start_client()
    peer.send(query(b"a"))
    await world.until_submitted(1)
    loop = asyncio.get_running_loop()
    await asyncio.wait_for(loop.sock_sendall(peer.sock, behind), 10)
    await world.until(lambda: (client.input.pending > MAX_QUERY_BYTES - 10_100) == bool(behind))
    world.handler.answer(client)
    assert client.stream.writing()
    peer.reset() if how == "reset" else peer.sock.close()
    await world.until(lambda: client not in world.clients.active)
    assert client.closed and not world.handler.abandoned, "it was answered"
    assert world.handler.submitted == [b"a"]


@scene(listener_world, max_descriptors=64, sweeping=True)
async def test_many_silent_and_slow_connections_are_bounded_and_others_are_served(
    world: ListenerWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection, "SILENT_TIMEOUT_US", 200_000)
    world.handler.answers_at_once = True
    active, _ = await world.start_client()
    active.send(query(b"before"))
    assert await active.answer() == "value of before"
    slow = [world.connect(STARTUP[: number % 4]) for number in range(300)]  # up to three bytes, then nothing more
    await world.until(lambda: len(world.clients.active) > 50)
    for number in range(50):
        active.send(query(b"k%d" % number))
        assert await active.answer() == f"value of k{number}"
        for slow_peer in slow[number::50]:
            with contextlib.suppress(OSError):  # the gateway has closed it
                slow_peer.send(STARTUP[4:5])
        assert world.clients.open_count <= 64
    while await (fresh := world.connect(STARTUP)).answer() != "":
        pass  # a client that is refused connects again
    fresh.send(query(b"fresh"))
    assert await fresh.answer() == "value of fresh"
    await world.until(lambda: len(world.clients.active) <= 2)
