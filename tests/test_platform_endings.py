"""The platform gateway's process at its start and end: signals, the last answers, and clients that cross."""

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from oatlink.protocols import pgwire as pg
from tests.client_world import STARTUP, Peer, query
from tests.platform_world import PATIENCE_S, Client, World, in_a_place, play, world
from tests.scenes import scene
from tests.test_platform_sockets import read_statement, ready_client, served_value, sqlstate

# Loaded in the place of a library: it waits at a gate in the midst of the imports, then loads the library itself.
GATE = """import sys
with open({gate!r}) as gate:
    gate.read()
sys.path.remove({place!r})
del sys.modules["uvloop"]
import uvloop
"""


async def ended(one: World, client: Client | None = None) -> None:
    """Wait for the process to end, in order, and its client's connection before it."""
    if client is not None:
        assert await client.closed()
        client.writer.close()
    async with asyncio.timeout(PATIENCE_S):
        code = await one.process.wait()
        await one._reading
    assert code == 0, one.lines
    assert not [line for line in one.lines if "Traceback" in line or "fault" in line], one.lines


@contextlib.asynccontextmanager
async def starting(place: Path, where: str) -> AsyncIterator[World]:
    """A gateway that stands still in its start, at its imports or at its configuration; behind the body it goes on."""
    async with world(place, replicas=0, running=False) as one:
        gate, stub = place / "gate" if where == "imports" else one.path, place / "stub"
        gate.unlink(missing_ok=True)
        os.mkfifo(gate)
        stub.mkdir()
        if where == "imports":
            (stub / "uvloop.py").write_text(GATE.format(gate=str(gate), place=str(stub)))
        await one.launch(PYTHONPATH=str(stub))
        writing = await asyncio.to_thread(os.open, gate, os.O_WRONLY)
        try:
            yield one
            one.write(one.discovery.address)
            if where == "configuration":
                os.write(writing, one.path.read_bytes())
            os.close(writing)
            await ended(one)
        finally:
            await one.stop()


@pytest.mark.parametrize("where", ["imports", "configuration"])
def test_sigterm_during_the_start_ends_it_in_order(tmp_path: Path, where: str) -> None:
    async def scene() -> None:
        async with starting(tmp_path, where) as one:
            one.signal(signal.SIGTERM)
        assert any("stopping" in line for line in one.lines)

    play(scene())


@pytest.mark.parametrize("where", ["imports", "configuration"])
def test_sighup_during_the_start_is_taken_once_it_serves(tmp_path: Path, where: str) -> None:
    async def scene() -> None:
        async with starting(tmp_path, where) as one:
            one.signal(signal.SIGHUP)
            follow = asyncio.ensure_future(then(one))
        await follow

    async def then(one: World) -> None:
        await one.serves()
        await one.logged("reload: discovery at")
        await ready_client(one)
        one.signal(signal.SIGTERM)

    play(scene())


@scene(in_a_place, replicas=0)
async def test_sigterm_again_and_again_up_to_the_last_moment_changes_nothing(one: World) -> None:
    client = await ready_client(one)
    one.servers[0].mode = "held"
    client.writer.write(pg.make_query(read_statement()).encode())
    seen = len(one.servers[0].statements)
    await one.until(lambda: len(one.servers[0].statements) > seen)
    one.signal(signal.SIGTERM)
    await one.logged("stopping")

    async def again() -> None:
        # Not by the process's own method, which would take its end from under its watcher.
        while one.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(one.process.pid, signal.SIGTERM)
                os.kill(one.process.pid, signal.SIGINT)
            await asyncio.sleep(0)

    storm = asyncio.ensure_future(again())
    one.servers[0].release.set()
    assert served_value(await client.until_ready()) == b"value of 7f3a"
    await ended(one, client)
    await storm
    assert sum("stopping" in line for line in one.lines) == 1


@scene(in_a_place, replicas=0)
async def test_sigterm_while_a_half_written_file_is_looked_at_again(one: World) -> None:
    client = await ready_client(one)
    one.path.write_text('{"name": "n0", "list')
    one.signal(signal.SIGHUP)
    await one.logged("reload: ")
    one.signal(signal.SIGTERM)
    assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
    await ended(one, client)


@scene(in_a_place, replicas=0)
async def test_a_client_that_reads_only_after_the_process_has_ended_finds_all_its_answers(one: World) -> None:
    await ready_client(one)
    peer, server = Peer(one.address, small=True), one.servers[0]
    server.mode = "held"
    seen = len(server.statements)
    peer.send(STARTUP + query(read_statement("k0")))
    await one.until(lambda: len(server.statements) > seen)
    one.signal(signal.SIGTERM)
    await one.logged("stopping")
    peer.send(query(read_statement("k1")), query(read_statement("k2")))
    server.release.set()
    await ended(one)
    found = await peer.answers()
    assert found[:2] == ["", "value of k0"], "taken before, read whole after"
    assert found[2:] in (["value of k1", "value of k2"], ["value of k1", "53300"], ["53300", "53300"])
    peer.sock.close()


@scene(in_a_place, replicas=0)
async def test_an_id_that_is_asked_again_elsewhere_is_answered_by_its_own_servers_answer(one: World) -> None:
    """The first client has left; both of the server's answers come together."""
    await ready_client(one)
    server = one.servers[0]
    server.statements.clear()
    server.mode = "held"
    first = await one.client()
    first.writer.write(pg.make_query(read_statement("first", ident="feed")).encode())
    await one.until(lambda: len(server.statements) == 1)
    first.writer.close()
    while True:
        second = await one.client()
        second.writer.write(pg.make_query(read_statement("second", ident="feed")).encode())
        answer = asyncio.ensure_future(second.until_ready())
        await one.until(lambda answer=answer: answer.done() or len(server.statements) > 1)  # type: ignore[misc]
        if not answer.done():
            break
        assert sqlstate(answer.result()) == "42710", "the close has not been seen yet"
        second.writer.close()
    server.release.set()
    assert served_value(await answer) == b"value of second"
    assert served_value(await second.ask(read_statement("third", ident="feed"))) == b"value of third", "and once"
    assert [text.split(b"'")[1] for text in server.statements] == [b"first", b"second", b"third"]
