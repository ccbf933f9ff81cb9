"""What clients have sent is not executed after they have left, and not a second time when it comes again."""

import asyncio

from oatlink.platform.statement import MAX_QUERY_BYTES
from oatlink.protocols import pgwire as pg
from tests.client_world import ListenerWorld, listener_world, query
from tests.platform_world import World, temporary_world
from tests.scenes import scene
from tests.test_adapter import OPTIONS
from tests.test_platform_sockets import served_value, sqlstate

UNSAFE_OPTIONS = OPTIONS | {"Classes": [OPTIONS["Classes"][0] | {"Effect": "at_most_once"}, *OPTIONS["Classes"][1:]]}


# Guards against requests that are sent on after their client has left: its close lay behind input that was not read.
@scene(listener_world, sweeping=True)
async def test_what_a_client_has_sent_is_not_executed_after_its_close_behind_much_unread_input(
    world: ListenerWorld,
) -> None:
    world.handler.pipeline_limits.per_connection = 3
    peer, client = await world.start_client()
    peer.send(query(b"hangs") + query(b"second!#key") + query(b"third!#key"))
    await world.until_submitted(2)
    behind = query(b"behind".ljust(10_000)) * 400
    sending = asyncio.ensure_future(asyncio.get_running_loop().sock_sendall(peer.sock, behind))
    await asyncio.wait([sending], timeout=1.0)
    if not sending.done():  # the gateway takes no more: the close follows what the kernel holds
        sending.cancel()
        await asyncio.wait([sending])
    peer.sock.close()
    await asyncio.sleep(0.1)  # what begins later is sent for a client that has left
    if not client.closed:
        world.handler.answer(b"second!#key")  # the third waited for it
    await world.until(lambda: client.closed)
    assert world.handler.submitted == [b"hangs", b"second!#key"]
    assert world.held.used == 0


@scene(listener_world)
async def test_what_is_refused_for_its_length_is_answered_in_order(world: ListenerWorld) -> None:
    peer, client = await world.start_client()
    peer.send(query(b"first"))
    await world.until_submitted(1)
    count = MAX_QUERY_BYTES // 10_000 + 20
    for _ in range(count):
        peer.send(query(b"behind".ljust(10_000)))
        await asyncio.sleep(0)
    await world.until(lambda: MAX_QUERY_BYTES - 10_100 < client.input.pending <= MAX_QUERY_BYTES)
    world.handler.answer(b"first")
    world.handler.answers_at_once = True
    answers = [await peer.answer() for _ in range(count + 1)]
    assert answers[0] == "value of first"
    refused_count = answers.count("53300")
    assert answers[1 : 1 + refused_count] == ["53300"] * refused_count and refused_count >= 15
    assert all((answer or "").startswith("value of behind") for answer in answers[1 + refused_count :])


def unsafe_write(ident: str) -> bytes:
    comment = f"/* id={ident},c=post,d=1900,cluster=1 */"
    return f"{comment} INSERT INTO kv (name, content) VALUES ('7f3a', '\\x9f03') RETURNING content".encode()


# Guards against an id that runs twice: it came again on another connection after its client had left.
@scene(temporary_world, replicas=0, settings=UNSAFE_OPTIONS)
async def test_a_request_that_may_have_run_is_not_run_again_when_it_comes_after_its_client_has_left(
    gateway: World,
) -> None:
    other = await gateway.client()
    assert served_value(await other.ask(unsafe_write("warm"))) is not None
    server = gateway.servers[0]
    server.statements.clear()
    server.mode = ["held"]
    first = await gateway.client()
    first.writer.write(pg.make_query(unsafe_write("feed")).encode())
    await gateway.until(lambda: len(server.statements) == 1)
    first.writer.close()
    while (code := sqlstate(await other.ask(unsafe_write("feed")))) == "42710":
        await asyncio.sleep(0.2)  # the gateway has not noticed the close yet; a pause follows each mistake
        other = await gateway.client()
    assert code == "58000"
    server.release.set()
    await gateway.until(lambda: server.open > 0)
    assert sqlstate(await other.ask(unsafe_write("feed"))) == "58000", "also once it has ended"
    assert len(server.statements) == 1
    assert served_value(await other.ask(unsafe_write("other"))) is not None
