"""Two events that cross at a whole gateway: its clients, servers and list, on loopback sockets."""

import asyncio
import signal
from typing import Any

from oatlink.protocols import pgwire as pg
from tests.platform_world import PATIENCE_S, Discovery, Server, World, in_a_place
from tests.scenes import scene
from tests.test_adapter import OPTIONS
from tests.test_platform_sockets import read_statement, ready_client, served_value, sqlstate, write_statement

# Connections may take as long as a test holds them.
SLOW_DIAL_OPTIONS = OPTIONS | {"Limits": OPTIONS["Limits"] | {"DialTimeoutUs": round(4 * PATIENCE_S * 1e6)}}
LONG = SLOW_DIAL_OPTIONS["Limits"] | {"KeepaliveUs": round(1e6 * 3600)}


async def waiting(one: World, ask: bytes, number: int = 0) -> Any:
    """A client whose request waits for a connection to a server, and the server's dial that is under way."""
    client, server = await ready_client(one), one.servers[number]
    before = server.connections
    server.statements.clear()
    server.hang_up()
    client.writer.write(pg.make_query(ask).encode())
    await one.until(lambda: server.connections > before)
    return client


def greet(server: Server) -> None:
    server.greets = True
    server.release.set()


async def reload(one: World, discovery: str, settings: dict[str, Any] = OPTIONS) -> None:
    one.write(discovery, settings=settings)
    one.signal(signal.SIGHUP)
    await one.logged("reload: ")


@scene(in_a_place, replicas=0, settings=SLOW_DIAL_OPTIONS)
async def test_a_client_leaves_while_its_request_waits_for_a_connection(one: World) -> None:
    client, server = await waiting(one, write_statement()), one.servers[0]
    client.writer.close()
    # The gateway has seen it go once the id is free again, whoever asks by it next.
    other = await one.client()
    greet(server)
    assert served_value(await other.ask(write_statement())) == b"value of 7f3a"
    assert len(server.statements) == 1, "what nobody waits for was not sent on"


@scene(in_a_place, replicas=0, settings=SLOW_DIAL_OPTIONS)
async def test_a_drain_is_told_while_a_request_waits_for_a_connection(one: World) -> None:
    client, server = await waiting(one, write_statement(wait_ms=60_000)), one.servers[0]
    entries = one.entries()
    entries[0]["state"] = "terminating"
    one.discovery.tell(entries)
    await one.follows()
    greet(server)
    await one.until(lambda: server.open > 0)
    one.discovery.tell(entries)
    await one.follows()
    # It comes back into service: held until then, and sent only then.
    assert not server.statements
    one.discovery.tell(one.entries())
    assert served_value(await client.until_ready()) == b"value of 7f3a"
    assert len(server.statements) == 1


@scene(in_a_place, replicas=0, settings=SLOW_DIAL_OPTIONS)
async def test_a_server_moves_while_a_request_waits_for_a_connection_to_its_old_address(one: World) -> None:
    async with Server(True) as moved:
        client = await waiting(one, write_statement(wait_ms=60_000))
        one.discovery.tell([one.entries()[0] | {"addr": f"127.0.0.1:{moved.port}"}])
        assert served_value(await client.until_ready()) == b"value of 7f3a"
        greet(one.servers[0])
        await one.until(lambda: one.servers[0].open == 0)
        assert not one.servers[0].statements and len(moved.statements) == 1


@scene(in_a_place)
async def test_settings_change_while_a_request_of_a_removed_class_is_open(one: World) -> None:
    client, other = await ready_client(one), await one.client()
    for server in one.servers:
        server.mode = "hang"
    client.writer.write(pg.make_query(read_statement(wait_ms=60_000)).encode())
    await one.until(lambda: any(server.statements[-1:] for server in one.servers[1:]))
    classes = [OPTIONS["Classes"][0], OPTIONS["Classes"][1] | {"Name": "look"}]
    limits = OPTIONS["Limits"] | {"MaxOpen": 1}
    await reload(one, one.discovery.address, OPTIONS | {"Classes": classes, "Limits": limits})
    assert sqlstate(await other.ask(read_statement())) == "22023", "the class is no more"
    for _ in range(6):  # a refusal is no mistake of the client's
        assert sqlstate(await other.ask(read_statement(name="look"))) == "53300", "one may be open now, and one is"
    for server in one.servers:
        server.mode = "good"
        server.hang_up()
        server.greets = True
    assert len(await client.until_ready()) in (1, 3), "what came before is answered by its own class"
    assert served_value(await other.ask(read_statement(name="look"))) == b"value of 7f3a"


@scene(in_a_place, replicas=0, settings=SLOW_DIAL_OPTIONS | {"Limits": LONG})
async def test_dial_and_idle_times_of_a_new_configuration_count_at_once(one: World) -> None:
    client = await waiting(one, write_statement(wait_ms=60_000))
    await reload(one, one.discovery.address)  # a quarter of a second
    assert sqlstate(await client.until_ready()) == "53300", "not waited for as long as the old figure says"
    greet(one.servers[0])
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
    one.write(one.discovery.address, settings=OPTIONS | {"Limits": LONG | {"KeepaliveUs": 100_000}})
    one.signal(signal.SIGHUP)
    await one.until(lambda: one.servers[0].open == 0)


@scene(in_a_place, replicas=0)
async def test_a_server_closes_its_resting_connections_just_as_requests_come(one: World) -> None:
    """What finds its connection closed goes on another; what was written on one that closes may have run."""
    client, server = await ready_client(one), one.servers[0]
    for _ in range(20):
        for writer in list(server.writers):
            writer.close()
        answer = await client.ask(write_statement())
        assert served_value(answer) == b"value of 7f3a" or sqlstate(answer) in ("58000", "53300")
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"


@scene(in_a_place, replicas=0)
async def test_a_request_behind_one_that_is_open_is_not_sent_on_once_its_client_has_gone(one: World) -> None:
    client, server = await ready_client(one), one.servers[0]
    server.statements.clear()
    server.mode = ["hang"]
    client.writer.write(pg.make_query(write_statement()).encode() + pg.make_query(write_statement()).encode())
    await one.until(lambda: len(server.statements) == 1)
    client.writer.close()
    await client.writer.wait_closed()
    other = await one.client()
    assert served_value(await other.ask(write_statement())) == b"value of 7f3a"
    server.release.set()
    assert served_value(await other.ask(write_statement())) == b"value of 7f3a"
    assert len(server.statements) == 3
    async with asyncio.timeout(PATIENCE_S):
        one.signal(signal.SIGTERM)
        assert await other.closed()
        assert await one.process.wait() == 0


@scene(in_a_place, replicas=1, running=False)
async def test_discovery_is_down_at_the_start_and_at_sighup_and_what_it_says_at_its_return_counts(one: World) -> None:
    async with Discovery() as dead, Discovery() as later:
        dead._server.close()
        later._server.close()
        one.write(dead.address)
        await one.start()
        try:
            client = await ready_client(one)
            await one.logged("discovery: /v1/endpoints")
            await reload(one, later.address)
            assert served_value(await client.ask(read_statement())) == b"value of 7f3a", "the list it had stands"
            later.entries, later.version = [entry | {"state": "terminating"} for entry in one.entries()[1:]], 7
            later.entries += one.entries()[:1]
            host, _, port = later.address.rpartition(":")
            later._server = await asyncio.start_server(later._serve, host, int(port))
            await one.until(lambda: any("since=7&" in call for call in later.calls))
            one.servers[1].statements.clear()
            for _ in range(10):
                assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
            assert not one.servers[1].statements, "it drains"
        finally:
            await one.stop()


@scene(in_a_place, running=False)
async def test_a_new_configuration_in_the_first_moment_of_the_process_kills_nobody(one: World) -> None:
    """A gateway that was just being started died of the SIGHUP that told the fleet of a new configuration.

    For about 85 ms the interpreter starts, before any line of this program runs; a SIGHUP then ends the process.
    Nothing is logged; the process is seen to end by signal 1. The configuration is read later, so nothing is missed.
    """
    await one.launch_as_deployed()
    try:
        one.signal(signal.SIGHUP)
        await one.serves()
        client = await one.client()
        client.writer.close()
    finally:
        await one.stop()
