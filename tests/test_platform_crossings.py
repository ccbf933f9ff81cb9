"""Races between two events at a whole gateway: its clients, servers and server list, on loopback sockets."""

import asyncio
import signal
from typing import Any

from oatlink.protocols import pgwire as pg
from tests.platform_world import PATIENCE_S, Discovery, Server, World, temporary_world
from tests.scenes import scene
from tests.test_adapter import OPTIONS
from tests.test_platform_sockets import read_statement, ready_client, served_value, sqlstate, write_statement

# Dialling may take as long as a test delays a server's greeting.
SLOW_DIAL_OPTIONS = OPTIONS | {"Limits": OPTIONS["Limits"] | {"DialTimeoutUs": round(4 * PATIENCE_S * 1e6)}}
LONG_LIMITS = SLOW_DIAL_OPTIONS["Limits"] | {"KeepaliveUs": round(1e6 * 3600)}


async def client_waiting_for_dial(gateway: World, statement: bytes, number: int = 0) -> Any:
    """Return a client whose statement waits for a connection to a server, while the gateway dials that server."""
    client, server = await ready_client(gateway), gateway.servers[number]
    before = server.connections
    server.statements.clear()
    server.hang_up()
    client.writer.write(pg.make_query(statement).encode())
    await gateway.until(lambda: server.connections > before)
    return client


def greet(server: Server) -> None:
    """Let a server send its greetings, including the delayed ones."""
    server.greets = True
    server.release.set()


async def reload(gateway: World, discovery: str, settings: dict[str, Any] = OPTIONS) -> None:
    gateway.write(discovery, settings=settings)
    gateway.signal(signal.SIGHUP)
    await gateway.wait_for_line("reload: ")


@scene(temporary_world, replicas=0, settings=SLOW_DIAL_OPTIONS)
async def test_a_client_leaves_while_its_request_waits_for_a_connection(gateway: World) -> None:
    client, server = await client_waiting_for_dial(gateway, write_statement()), gateway.servers[0]
    client.writer.close()
    # The startup of another client gives the gateway the time to notice the disconnect.
    other = await gateway.client()
    greet(server)
    assert served_value(await other.ask(write_statement())) == b"value of 7f3a"
    assert len(server.statements) == 1, "a request that no client waits for was not forwarded"


@scene(temporary_world, replicas=0, settings=SLOW_DIAL_OPTIONS)
async def test_a_drain_is_announced_while_a_request_waits_for_a_connection(gateway: World) -> None:
    client, server = await client_waiting_for_dial(gateway, write_statement(wait_ms=60_000)), gateway.servers[0]
    entries = gateway.entries()
    entries[0]["state"] = "terminating"
    gateway.discovery.publish(entries)
    await gateway.wait_until_following()
    greet(server)
    await gateway.until(lambda: server.open > 0)
    gateway.discovery.publish(entries)
    await gateway.wait_until_following()
    # The request waits until the server is back in service, and is sent only then.
    assert not server.statements
    gateway.discovery.publish(gateway.entries())
    assert served_value(await client.until_ready()) == b"value of 7f3a"
    assert len(server.statements) == 1


@scene(temporary_world, replicas=0, settings=SLOW_DIAL_OPTIONS)
async def test_a_server_moves_while_a_request_waits_for_a_connection_to_its_old_address(gateway: World) -> None:
    async with Server(True) as moved:
        client = await client_waiting_for_dial(gateway, write_statement(wait_ms=60_000))
        gateway.discovery.publish([gateway.entries()[0] | {"addr": f"127.0.0.1:{moved.port}"}])
        assert served_value(await client.until_ready()) == b"value of 7f3a"
        greet(gateway.servers[0])
        await gateway.until(lambda: gateway.servers[0].open == 0)
        assert not gateway.servers[0].statements and len(moved.statements) == 1


@scene(temporary_world)
async def test_settings_change_while_a_request_of_a_removed_class_is_open(gateway: World) -> None:
    client, other = await ready_client(gateway), await gateway.client()
    for server in gateway.servers:
        server.mode = "hang"
    client.writer.write(pg.make_query(read_statement(wait_ms=60_000)).encode())
    await gateway.until(lambda: any(server.statements[-1:] for server in gateway.servers[1:]))
    classes = [OPTIONS["Classes"][0], OPTIONS["Classes"][1] | {"Name": "look"}]
    limits = OPTIONS["Limits"] | {"MaxOpen": 1}
    await reload(gateway, gateway.discovery.address, OPTIONS | {"Classes": classes, "Limits": limits})
    assert sqlstate(await other.ask(read_statement())) == "22023", "the class was removed"
    for _ in range(6):  # a refusal does not count as a mistake of the client
        assert sqlstate(await other.ask(read_statement(name="look"))) == "53300", "one request may be open, and one is"
    for server in gateway.servers:
        server.mode = "good"
        server.hang_up()
        server.greets = True
    assert len(await client.until_ready()) in (1, 3), "a request from before is answered by its own class"
    assert served_value(await other.ask(read_statement(name="look"))) == b"value of 7f3a"


@scene(temporary_world, replicas=0, settings=SLOW_DIAL_OPTIONS | {"Limits": LONG_LIMITS})
async def test_dial_and_idle_times_of_a_new_configuration_apply_at_once(gateway: World) -> None:
    client = await client_waiting_for_dial(gateway, write_statement(wait_ms=60_000))
    await reload(gateway, gateway.discovery.address)  # with a dial timeout of a quarter of a second
    assert sqlstate(await client.until_ready()) == "53300", "the wait is shorter than the old dial timeout"
    greet(gateway.servers[0])
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
    gateway.write(gateway.discovery.address, settings=OPTIONS | {"Limits": LONG_LIMITS | {"KeepaliveUs": 100_000}})
    gateway.signal(signal.SIGHUP)
    await gateway.until(lambda: gateway.servers[0].open == 0)


@scene(temporary_world, replicas=0)
async def test_a_server_closes_its_idle_connections_just_as_requests_arrive(gateway: World) -> None:
    """A request that finds its connection closed uses another one; one written to a closing connection may have run."""
    client, server = await ready_client(gateway), gateway.servers[0]
    for _ in range(20):
        for writer in list(server.writers):
            writer.close()
        answer = await client.ask(write_statement())
        assert served_value(answer) == b"value of 7f3a" or sqlstate(answer) in ("58000", "53300")
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"


@scene(temporary_world, replicas=0)
async def test_a_request_behind_an_open_one_is_not_forwarded_once_its_client_has_gone(gateway: World) -> None:
    client, server = await ready_client(gateway), gateway.servers[0]
    server.statements.clear()
    server.mode = ["hang"]
    client.writer.write(pg.make_query(write_statement()).encode() + pg.make_query(write_statement()).encode())
    await gateway.until(lambda: len(server.statements) == 1)
    client.writer.close()
    await client.writer.wait_closed()
    other = await gateway.client()
    assert served_value(await other.ask(write_statement())) == b"value of 7f3a"
    server.release.set()
    assert served_value(await other.ask(write_statement())) == b"value of 7f3a"
    assert len(server.statements) == 3
    async with asyncio.timeout(PATIENCE_S):
        gateway.signal(signal.SIGTERM)
        assert await other.closed()
        assert await gateway.process.wait() == 0


@scene(temporary_world, replicas=1, running=False)
async def test_discovery_is_down_at_the_start_and_at_sighup_and_its_list_applies_once_it_returns(
    gateway: World,
) -> None:
    async with Discovery() as dead, Discovery() as later:
        dead._server.close()
        later._server.close()
        gateway.write(dead.address)
        await gateway.start()
        try:
            client = await ready_client(gateway)
            await gateway.wait_for_line("discovery: /v1/endpoints")
            await reload(gateway, later.address)
            assert served_value(await client.ask(read_statement())) == b"value of 7f3a", (
                "the previous list stays in force"
            )
            later.entries, later.version = [entry | {"state": "terminating"} for entry in gateway.entries()[1:]], 7
            later.entries += gateway.entries()[:1]
            host, _, port = later.address.rpartition(":")
            later._server = await asyncio.start_server(later._serve, host, int(port))
            await gateway.until(lambda: any("since=7&" in call for call in later.calls))
            gateway.servers[1].statements.clear()
            for _ in range(10):
                assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
            assert not gateway.servers[1].statements, "the server is draining"
        finally:
            await gateway.stop()


@scene(temporary_world, running=False)
async def test_a_sighup_in_the_first_moment_of_the_process_does_not_kill_it(gateway: World) -> None:
    """A gateway that was just starting was killed by the SIGHUP that announced a new configuration to the fleet.

    The interpreter starts for about 85 ms before any line of this program runs, and a SIGHUP during that time ends the
    process by signal 1 without a line in the log. Ignoring it loses nothing, since the configuration is read later.
    """
    await gateway.launch_as_deployed()
    try:
        gateway.signal(signal.SIGHUP)
        await gateway.wait_until_ready()
        client = await gateway.client()
        client.writer.close()
    finally:
        await gateway.stop()
