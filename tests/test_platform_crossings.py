"""Two events that cross at a whole gateway: its clients, servers and list, on loopback sockets."""

import asyncio
import signal
from pathlib import Path
from typing import Any

from oatlink.protocols import pgwire as pg
from tests.platform_world import PATIENCE_S, World, play, world
from tests.test_adapter import OPTIONS
from tests.test_platform_sockets import post, settled, sqlstate, value, view

# Connections may take as long as a test holds them.
SLOW = OPTIONS | {"Limits": OPTIONS["Limits"] | {"DialTimeoutUs": round(4 * PATIENCE_S * 1e6)}}


async def waiting(one: World, ask: bytes, number: int = 0) -> Any:
    """A client whose request waits for a connection to a server, and the server's dial that is under way."""
    client = await settled(one)
    server = one.servers[number]
    before = server.connections
    server.statements.clear()
    server.hang_up()
    client.writer.write(pg.make_query(ask).encode())
    await one.until(lambda: server.connections > before)
    return client


def test_a_client_leaves_while_its_request_waits_for_a_connection(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, replicas=0, settings=SLOW) as one:
            client = await waiting(one, post())
            server = one.servers[0]
            client.writer.close()
            # The gateway has seen it go once the id is free again, whoever asks by it next.
            other = await one.client()
            server.greets = True
            server.release.set()
            assert value(await other.ask(post())) == b"value of 7f3a"
            assert len(server.statements) == 1, "what nobody waits for was not sent on"

    play(scene())


def test_a_drain_is_told_while_a_request_waits_for_a_connection(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, replicas=0, settings=SLOW) as one:
            client = await waiting(one, post(wait_ms=60_000))
            server = one.servers[0]
            entries = one.entries()
            entries[0]["state"] = "terminating"
            one.discovery.tell(entries)
            await one.follows()
            server.greets = True
            server.release.set()
            await one.until(lambda: server.open > 0)
            one.discovery.tell(entries)
            await one.follows()
            # It comes back into service: held until then, and sent only then.
            assert not server.statements
            one.discovery.tell(one.entries())
            assert value(await client.until_ready()) == b"value of 7f3a"
            assert len(server.statements) == 1

    play(scene())


def test_a_server_moves_while_a_request_waits_for_a_connection_to_its_old_address(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, replicas=0, settings=SLOW) as one, type(one.servers[0])(True) as moved:
            client = await waiting(one, post(wait_ms=60_000))
            one.discovery.tell([one.entries()[0] | {"addr": f"127.0.0.1:{moved.port}"}])
            assert value(await client.until_ready()) == b"value of 7f3a"
            one.servers[0].greets = True
            one.servers[0].release.set()
            await one.until(lambda: one.servers[0].open == 0)
            assert not one.servers[0].statements and len(moved.statements) == 1

    play(scene())


def test_settings_change_while_a_request_of_a_removed_class_is_open(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path) as one:
            client, other = await settled(one), await one.client()
            for server in one.servers:
                server.mode = "hang"
            client.writer.write(pg.make_query(view(wait_ms=60_000)).encode())
            await one.until(lambda: any(server.statements[-1:] for server in one.servers[1:]))
            classes = [OPTIONS["Classes"][0], OPTIONS["Classes"][1] | {"Name": "look"}]
            limits = OPTIONS["Limits"] | {"MaxOpen": 1}
            one.write(one.discovery.address, settings=OPTIONS | {"Classes": classes, "Limits": limits})
            one.signal(signal.SIGHUP)
            await one.logged("reload: ")
            assert sqlstate(await other.ask(view())) == "22023", "the class is no more"
            for _ in range(6):  # a refusal is no mistake of the client's
                assert sqlstate(await other.ask(view(name="look"))) == "53300", "one may be open now, and one is"
            for server in one.servers:
                server.mode = "good"
                server.hang_up()
                server.greets = True
            assert len(await client.until_ready()) in (1, 3), "what came before is answered by its own class"
            assert value(await other.ask(view(name="look"))) == b"value of 7f3a"

    play(scene())


def test_dial_and_idle_times_of_a_new_configuration_count_at_once(tmp_path: Path) -> None:
    limits = SLOW["Limits"] | {"KeepaliveUs": round(1e6 * 3600)}

    async def scene() -> None:
        async with world(tmp_path, replicas=0, settings=SLOW | {"Limits": limits}) as one:
            client = await waiting(one, post(wait_ms=60_000))
            one.write(one.discovery.address, settings=OPTIONS)  # a quarter of a second
            one.signal(signal.SIGHUP)
            await one.logged("reload: ")
            assert sqlstate(await client.until_ready()) == "53300", "not waited for as long as the old figure says"
            one.servers[0].greets = True
            one.servers[0].release.set()
            assert value(await client.ask(post())) == b"value of 7f3a"
            one.write(one.discovery.address, settings=OPTIONS | {"Limits": limits | {"KeepaliveUs": 100_000}})
            one.signal(signal.SIGHUP)
            await one.until(lambda: one.servers[0].open == 0)

    play(scene())


def test_a_server_closes_its_resting_connections_just_as_requests_come(tmp_path: Path) -> None:
    """What finds its connection closed goes on another; what was written on one that closes may have run."""

    async def scene() -> None:
        async with world(tmp_path, replicas=0) as one:
            client = await settled(one)
            server = one.servers[0]
            for _ in range(20):
                for writer in list(server.writers):
                    writer.close()
                answer = await client.ask(post())
                assert value(answer) == b"value of 7f3a" or sqlstate(answer) in ("58000", "53300")
            assert value(await client.ask(post())) == b"value of 7f3a"

    play(scene())


def test_a_request_behind_one_that_is_open_is_not_sent_on_once_its_client_has_gone(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, replicas=0) as one:
            client = await settled(one)
            server = one.servers[0]
            server.statements.clear()
            server.mode = ["hang"]
            client.writer.write(pg.make_query(post()).encode() + pg.make_query(post()).encode())
            await one.until(lambda: len(server.statements) == 1)
            client.writer.close()
            await client.writer.wait_closed()
            other = await one.client()
            assert value(await other.ask(post())) == b"value of 7f3a"
            server.release.set()
            assert value(await other.ask(post())) == b"value of 7f3a"
            assert len(server.statements) == 3
            async with asyncio.timeout(PATIENCE_S):
                one.signal(signal.SIGTERM)
                assert await other.closed()
                assert await one.process.wait() == 0

    play(scene())
