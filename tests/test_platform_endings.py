"""The platform gateway's process at its start and end: signals, last answers, and races with clients."""

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from oatlink.protocols import pgwire as pg
from tests.client_world import STARTUP, Peer, query
from tests.platform_world import PATIENCE_S, Client, World, open_world, run_scenario, temporary_world
from tests.scenes import scene
from tests.test_platform_sockets import read_statement, ready_client, served_value, sqlstate

# Imported in place of uvloop: it blocks on a named pipe during the imports, then imports the real uvloop.
BLOCKING_UVLOOP = """import sys
with open({gate!r}) as gate:
    gate.read()
sys.path.remove({place!r})
del sys.modules["uvloop"]
import uvloop
"""


async def wait_for_end(gateway: World, client: Client | None = None) -> None:
    """Wait for the orderly end of the process, and before it for the end of the client's connection."""
    if client is not None:
        assert await client.closed()
        client.writer.close()
    async with asyncio.timeout(PATIENCE_S):
        code = await gateway.process.wait()
        await gateway._reading
    assert code == 0, gateway.lines
    assert not [line for line in gateway.lines if "Traceback" in line or "fault" in line], gateway.lines


@contextlib.asynccontextmanager
async def blocked_start(place: Path, where: str) -> AsyncIterator[World]:
    """Start a gateway that blocks in its imports or at reading its configuration until the body has run."""
    async with open_world(place, replicas=0, running=False) as gateway:
        gate, stub = place / "gate" if where == "imports" else gateway.path, place / "stub"
        gate.unlink(missing_ok=True)
        os.mkfifo(gate)
        stub.mkdir()
        if where == "imports":
            (stub / "uvloop.py").write_text(BLOCKING_UVLOOP.format(gate=str(gate), place=str(stub)))
        await gateway.launch(PYTHONPATH=str(stub))
        writing = await asyncio.to_thread(os.open, gate, os.O_WRONLY)
        try:
            yield gateway
            gateway.write(gateway.discovery.address)
            if where == "configuration":
                os.write(writing, gateway.path.read_bytes())
            os.close(writing)
            await wait_for_end(gateway)
        finally:
            await gateway.stop()


@pytest.mark.parametrize("where", ["imports", "configuration"])
def test_sigterm_during_the_start_ends_the_process_in_order(tmp_path: Path, where: str) -> None:
    async def scene() -> None:
        async with blocked_start(tmp_path, where) as gateway:
            gateway.signal(signal.SIGTERM)
        assert any("stopping" in line for line in gateway.lines)

    run_scenario(scene())


@pytest.mark.parametrize("where", ["imports", "configuration"])
def test_sighup_during_the_start_is_handled_once_the_gateway_serves(tmp_path: Path, where: str) -> None:
    async def scene() -> None:
        async with blocked_start(tmp_path, where) as gateway:
            gateway.signal(signal.SIGHUP)
            following = asyncio.ensure_future(check_reload_and_stop(gateway))
        await following

    async def check_reload_and_stop(gateway: World) -> None:
        await gateway.wait_until_ready()
        await gateway.wait_for_line("reload: discovery at")
        await ready_client(gateway)
        gateway.signal(signal.SIGTERM)

    run_scenario(scene())


@scene(temporary_world, replicas=0)
async def test_repeated_sigterm_up_to_the_last_moment_changes_nothing(gateway: World) -> None:
    client = await ready_client(gateway)
    gateway.servers[0].mode = "held"
    client.writer.write(pg.make_query(read_statement()).encode())
    seen = len(gateway.servers[0].statements)
    await gateway.until(lambda: len(gateway.servers[0].statements) > seen)
    gateway.signal(signal.SIGTERM)
    await gateway.wait_for_line("stopping")

    async def repeat_signals() -> None:
        # Process.send_signal would reap the process before asyncio's watcher does.
        while gateway.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(gateway.process.pid, signal.SIGTERM)
                os.kill(gateway.process.pid, signal.SIGINT)
            await asyncio.sleep(0)

    repeating = asyncio.ensure_future(repeat_signals())
    gateway.servers[0].release.set()
    assert served_value(await client.until_ready()) == b"value of 7f3a"
    await wait_for_end(gateway, client)
    await repeating
    assert sum("stopping" in line for line in gateway.lines) == 1


@scene(temporary_world, replicas=0)
async def test_sigterm_while_a_half_written_file_is_being_reread(gateway: World) -> None:
    client = await ready_client(gateway)
    gateway.path.write_text('{"name": "n0", "list')
    gateway.signal(signal.SIGHUP)
    await gateway.wait_for_line("reload: ")
    gateway.signal(signal.SIGTERM)
    assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
    await wait_for_end(gateway, client)


@scene(temporary_world, replicas=0)
async def test_a_client_that_reads_only_after_the_process_has_ended_receives_all_its_answers(gateway: World) -> None:
    await ready_client(gateway)
    peer, server = Peer(gateway.address, small=True), gateway.servers[0]
    server.mode = "held"
    seen = len(server.statements)
    peer.send(STARTUP + query(read_statement("k0")))
    await gateway.until(lambda: len(server.statements) > seen)
    gateway.signal(signal.SIGTERM)
    await gateway.wait_for_line("stopping")
    peer.send(query(read_statement("k1")), query(read_statement("k2")))
    server.release.set()
    await wait_for_end(gateway)
    answers = await peer.answers()
    assert answers[:2] == ["", "value of k0"], "accepted before the end, read whole after it"
    assert answers[2:] in (["value of k1", "value of k2"], ["value of k1", "53300"], ["53300", "53300"])
    peer.sock.close()


@scene(temporary_world, replicas=0)
async def test_an_id_that_is_reused_by_another_client_gets_the_answer_to_its_own_statement(gateway: World) -> None:
    """The first client has left when the server sends both of its answers together."""
    await ready_client(gateway)
    server = gateway.servers[0]
    server.statements.clear()
    server.mode = "held"
    first = await gateway.client()
    first.writer.write(pg.make_query(read_statement("first", ident="feed")).encode())
    await gateway.until(lambda: len(server.statements) == 1)
    first.writer.close()
    while True:
        second = await gateway.client()
        second.writer.write(pg.make_query(read_statement("second", ident="feed")).encode())
        answer = asyncio.ensure_future(second.until_ready())
        await gateway.until(lambda answer=answer: answer.done() or len(server.statements) > 1)  # type: ignore[misc]
        if not answer.done():
            break
        assert sqlstate(answer.result()) == "42710", "the gateway has not noticed the close yet"
        second.writer.close()
    server.release.set()
    assert served_value(await answer) == b"value of second"
    assert served_value(await second.ask(read_statement("third", ident="feed"))) == b"value of third", "and only once"
    assert [text.split(b"'")[1] for text in server.statements] == [b"first", b"second", b"third"]
