"""The platform gateway as a process between clients, servers and discovery, all on loopback."""

import asyncio
import signal
import socket
import struct
import subprocess
import sys
from pathlib import Path

import psycopg
import pytest
from tornado.iostream import StreamClosedError

from oatlink.gateway.clock import Stream, TurnClock
from oatlink.platform.discovery import Discovery as Calls
from oatlink.platform.discovery import News
from oatlink.protocols import pgwire as pg
from tests.platform_world import PATIENCE_S, ROOT, Client, Discovery, World, open_world, run_scenario, temporary_world
from tests.scenes import scene

REQUEST_NUMBERS = iter(range(1, 1 << 30))


def read_statement(key: str = "7f3a", wait_ms: int = 1_900, name: str = "view", ident: str = "") -> bytes:
    ident = ident or f"{next(REQUEST_NUMBERS):016x}"
    return f"/* id={ident},c={name},d={wait_ms},cluster=1 */ SELECT content FROM kv WHERE name = '{key}'".encode()


def write_statement(wait_ms: int = 2_900) -> bytes:
    return (
        f"/* id={next(REQUEST_NUMBERS):016x},c=post,d={wait_ms},k=5c0f,cluster=1 */ INSERT INTO kv (name, content) "
        "VALUES ('7f3a', '\\x9f03') RETURNING content"
    ).encode()


def served_value(answer: list[pg.Message]) -> bytes | None:
    """The value that was served; None if the answer is not a served value."""
    if [message.kind for message in answer] != [b"T", b"D", b"C"]:
        return None
    return pg.row(answer[1])[0]


def sqlstate(answer: list[pg.Message]) -> str:
    (message,) = answer
    return pg.fields(message)["C"]


async def ready_client(gateway: World) -> Client:
    """Connect a client, and wait until the gateway knows the roles of its servers."""
    client = await gateway.client()
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
    assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
    return client


@scene(temporary_world)
async def test_requests_are_served_and_only_their_wait_is_rewritten(gateway: World) -> None:
    client = await gateway.connect()
    statement = read_statement("abc", wait_ms=1_800)
    # SSL is declined; then the startup, an empty query and the first statement arrive in one piece.
    client.writer.write(pg.make_request(pg.SSL).encode())
    assert await client.reader.readexactly(1) == b"N"
    client.writer.write(
        pg.make_startup({"user": "backend", "database": "store"}).encode()
        + pg.make_query(b"").encode()
        + pg.make_query(statement).encode()
    )
    await client.until_ready()
    assert [message.kind for message in await client.until_ready()] == [b"I"]
    assert served_value(await client.until_ready()) == b"value of abc"
    received = [text for server in gateway.servers for text in server.statements]
    assert len(received) == 1
    prefix, _, rest = received[0].partition(b",d=")
    wait, _, suffix = rest.partition(b",")
    assert prefix + b",d=1800," + suffix == statement and 0 < int(wait) <= 1_800
    written = write_statement()
    assert served_value(await client.ask(written)) == b"value of 7f3a"
    assert gateway.servers[0].statements[-1].startswith(written[:20])
    assert sum(server.connections for server in gateway.servers) <= 8


def test_a_client_library_goes_through_unchanged(tmp_path: Path) -> None:
    def use_library(address: tuple[str, int]) -> None:
        connection_string = (
            f"host={address[0]} port={address[1]} user=backend dbname=store sslmode=prefer gssencmode=disable"
        )
        with psycopg.connect(connection_string, autocommit=True, connect_timeout=10) as connection:
            for number in range(20):
                cursor = connection.execute(read_statement(f"k{number}").decode())
                (row,) = cursor.fetchall()
                assert bytes(row[0]) == f"value of k{number}".encode() or row[0] == f"value of k{number}"
            with pytest.raises(psycopg.errors.SyntaxError):
                connection.execute("SELECT 1, 2")
            assert connection.execute(read_statement().decode()).fetchone() is not None

    async def scene() -> None:
        async with open_world(tmp_path) as gateway:
            await ready_client(gateway)
            await asyncio.to_thread(use_library, gateway.address)

    run_scenario(scene())


@pytest.mark.parametrize("mode", ["noise", "huge", "two rows", "no columns", "negative", "break", "error"])
@scene(temporary_world, replicas=1)
async def test_an_invalid_reply_is_a_failed_attempt_and_no_part_of_it_is_forwarded(gateway: World, mode: str) -> None:
    client = await ready_client(gateway)
    # The attempt may have run. A read is repeated; a write is repeated within its window at the primary of its group.
    gateway.servers[1].mode = remaining = [mode]
    while remaining:
        assert served_value(await client.ask(read_statement("abc"))) == b"value of abc"
    gateway.servers[0].statements.clear()
    gateway.servers[0].mode = [mode]
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
    assert len(gateway.servers[0].statements) == 2


@pytest.mark.parametrize("mode", ["behind", "twice"])
@scene(temporary_world, replicas=1)
async def test_a_valid_answer_with_more_bytes_behind_it_is_served_and_its_connection_is_closed(
    gateway: World, mode: str
) -> None:
    client = await ready_client(gateway)
    for server in gateway.servers:
        server.mode = mode
    for number in range(10):
        assert served_value(await client.ask(read_statement(f"k{number}"))) == f"value of k{number}".encode()
    await gateway.until(lambda: sum(server.connections for server in gateway.servers) >= 10)


@scene(temporary_world, replicas=1)
async def test_misses_and_refusals_of_servers_are_handled_by_the_router_and_never_forwarded(gateway: World) -> None:
    client = await ready_client(gateway)
    gateway.servers[0].primary, gateway.servers[1].primary = False, True
    gateway.servers[0].mode = ["miss"]
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a", (
        "the write waits until the new primary is known"
    )
    for server in gateway.servers:
        server.mode = "error"
    assert sqlstate(await client.ask(write_statement())) == "58000", "it may have run"
    assert sqlstate(await client.ask(read_statement())) == "53300", "a read is harmless to retry"
    for server in gateway.servers:
        server.mode = "full"
    refused = await client.ask(read_statement(wait_ms=300))
    fields = pg.fields(refused[0])
    assert fields["C"] == "53300" and fields["M"] == "refused, try again" and int(fields["D"]) > 0


@scene(temporary_world, replicas=0)
async def test_a_request_at_a_hung_server_fails_at_its_deadline_and_the_connection_is_closed(gateway: World) -> None:
    client = await ready_client(gateway)
    gateway.servers[0].mode = ["hang"]
    assert sqlstate(await client.ask(write_statement(wait_ms=400))) == "58000", "it may have run: failed, not refused"
    await gateway.until(lambda: gateway.servers[0].open <= 1)
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"


@scene(temporary_world, replicas=0)
async def test_a_server_that_accepts_and_never_sends_its_greeting_counts_as_unreachable(gateway: World) -> None:
    gateway.servers[0].greets = False
    client = await gateway.client()
    assert sqlstate(await client.ask(write_statement(wait_ms=700))) == "53300", (
        "nothing was sent: trying again is harmless"
    )
    assert not gateway.servers[0].statements
    gateway.servers[0].greets = True
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"


@scene(temporary_world)
async def test_queries_of_a_connection_are_answered_in_order_and_a_close_ends_them(gateway: World) -> None:
    client = await ready_client(gateway)
    client.writer.write(b"".join(pg.make_query(read_statement(f"k{number}")).encode() for number in range(300)))
    for number in range(300):
        assert served_value(await client.until_ready()) == f"value of k{number}".encode()
    for server in gateway.servers:
        server.mode = "hang"
    client.writer.write(pg.make_query(read_statement(ident="feed")).encode())
    other = await gateway.client()
    await gateway.until(lambda: any(b"id=feed" in text for server in gateway.servers for text in server.statements))
    assert sqlstate(await other.ask(read_statement(ident="feed"))) == "42710"
    client.writer.close()
    for server in gateway.servers:
        server.mode = "good"
    again = await other.ask(read_statement(ident="feed"))
    while served_value(again) is None:  # the gateway notices the close in a later turn of its loop
        assert sqlstate(again) == "42710"
        other = await gateway.client()
        again = await other.ask(read_statement(ident="feed"))


BAD_STARTUPS = {
    "noise": b"\xff\xfe\x00noise" * 10,
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "negative startup": struct.pack("!i", -5) + b"x" * 50,
    "huge startup": struct.pack("!i", 1 << 30),
    "old protocol": pg.make_startup({"user": "u"}, 2 << 16).encode(),
}
BAD_AFTER_STARTUP = {
    "unknown kind": b"?\0\0\0\x04",
    "negative length": b"Q\xff\xff\xff\xff",
    "60 MB": b"Q" + struct.pack("!i", 60_000_000) + b"x" * 1_000_000,
    "short length": b"Q\0\0\0\x01",
    "no end": pg.Message(b"Q", b"SELECT").encode(),
    "partial query and silence": pg.make_query(read_statement()).encode()[:-9],
    "partial header": b"Q\0",
    "too many mistakes": pg.make_query(b"SELECT 1").encode() * 300,
    "extended": pg.make_parse(pg.Parse(b"", b"SELECT 1", ())).encode(),
    "silence": b"",
}


def test_bad_clients_get_an_error_or_a_close_and_disturb_nobody(tmp_path: Path) -> None:
    async def send_bad_input(gateway: World, data: bytes, started: bool) -> None:
        client = await (gateway.client() if started else gateway.connect())
        client.writer.write(data)
        reading = asyncio.ensure_future(client.reader.read(1))
        async with asyncio.timeout(PATIENCE_S):
            try:
                first_byte = await reading
            except ConnectionError:
                first_byte = b""
        assert first_byte in (b"", b"E"), "expected a close or an error"
        client.writer.close()

    async def scene() -> None:
        async with open_world(tmp_path) as gateway:
            client = await ready_client(gateway)
            before = sum(len(server.statements) for server in gateway.servers)
            tasks = [send_bad_input(gateway, data, False) for data in [*BAD_STARTUPS.values(), b""]]
            tasks += [send_bad_input(gateway, data, True) for data in BAD_AFTER_STARTUP.values()]
            waiting = asyncio.gather(*tasks)
            for number in range(50):
                assert served_value(await client.ask(read_statement(f"k{number}"))) == f"value of k{number}".encode()
            await waiting
            assert sum(len(server.statements) for server in gateway.servers) == before + 50, (
                "nothing bad reached a server"
            )
            for text in (b"SELECT 1", read_statement(name="none"), read_statement(wait_ms=0)):
                assert sqlstate(await client.ask(text)) in ("42601", "22023")
            assert served_value(await client.ask(read_statement())) == b"value of 7f3a", (
                "a mistake does not end a connection"
            )

    run_scenario(scene())


@scene(temporary_world, sockets=64)
async def test_silent_clients_do_not_keep_others_out(gateway: World) -> None:
    await ready_client(gateway)
    silent = [await gateway.connect() for _ in range(100)]
    for silent_client in silent[::2]:  # an empty query is no request either
        silent_client.writer.write(pg.make_startup({"user": "u"}).encode() + pg.make_query(b"").encode())
    client = await gateway.client()
    assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
    for silent_client in silent:
        assert await silent_client.closed()


def entries_without(gateway: World, number: int) -> list[dict[str, object]]:
    return [entry for entry in gateway.entries() if entry["id"] != f"s-{number}"]


@scene(temporary_world)
async def test_the_server_list_is_followed_through_drains_failures_and_new_ids(gateway: World) -> None:
    client = await ready_client(gateway)
    entries = gateway.entries()
    entries[1]["state"] = "terminating"
    gateway.discovery.publish(entries)
    await gateway.wait_until_following()
    gateway.servers[1].statements.clear()
    for mode in ("noise", "503", "good"):
        gateway.discovery.mode = mode
        gateway.discovery.publish(entries)
        failed = len(gateway.lines)
        await gateway.until(lambda failed=failed, mode=mode: mode == "good" or len(gateway.lines) > failed)  # type: ignore[misc]
        for _ in range(10):
            assert served_value(await client.ask(read_statement())) == b"value of 7f3a", "the list it had stands"
    assert not gateway.servers[1].statements, "nothing is sent to a draining server"
    # The two remaining servers leave the list; the drained one returns as primary, under a new id.
    gateway.servers[1].primary = True
    gateway.discovery.publish([gateway.entries()[1] | {"id": "s-new"}])
    await gateway.wait_until_following()
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
    assert len(gateway.servers[1].statements) == 1


def test_a_late_answer_of_an_overloaded_discovery_is_used() -> None:
    """Calls were given up just when discovery answered them, so a drain that it reported was missed."""

    async def scene() -> None:
        async with Discovery() as service:
            service.mode = "crowded"
            host, _, port = service.address.rpartition(":")
            received: asyncio.Queue[News | None] = asyncio.Queue()
            calls = Calls((host, int(port)), 2.5, received.put_nowait, lambda text: None)
            calls.follow()
            news = await received.get()
            calls.close()
            assert news is not None and news.version == 1

    run_scenario(scene())


@scene(temporary_world)
async def test_sighup_switches_to_the_new_discovery_and_a_half_written_file_changes_nothing(gateway: World) -> None:
    client = await ready_client(gateway)
    async with type(gateway.discovery)() as other:
        other.entries, other.version = gateway.entries(), 9
        gateway.path.write_text('{"name": "n0", "list')
        gateway.signal(signal.SIGHUP)
        await gateway.wait_for_line("reload: ")
        assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
        gateway.write(other.address)
        await gateway.until(lambda: bool(other.calls))
        seen = len(gateway.discovery.calls)
        assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
        await gateway.until(lambda: len(other.calls) >= 3)
        assert len(gateway.discovery.calls) == seen, "the old discovery is not called any more"


@scene(temporary_world)
async def test_sigterm_answers_accepted_requests_and_ends(gateway: World) -> None:
    client, idle = await ready_client(gateway), await gateway.client()
    for server in gateway.servers:
        server.mode = "hang"
    client.writer.write(pg.make_query(read_statement()).encode())
    await gateway.until(lambda: sum(server.open for server in gateway.servers) > 0)
    gateway.signal(signal.SIGTERM)
    await gateway.wait_for_line("stopping")
    late = await gateway.client()  # connections are still accepted for a while
    for server in gateway.servers:
        server.mode = "good"
        server.release.set()
    assert served_value(await late.ask(read_statement())) == b"value of 7f3a"
    assert len(await client.until_ready()) in (1, 3), "answered, though its server hung"
    assert await idle.closed() and await client.closed() and await late.closed()
    async with asyncio.timeout(PATIENCE_S):
        assert await gateway.process.wait() == 0


@scene(temporary_world)
async def test_after_a_kill_it_starts_from_its_configuration_file_alone(gateway: World) -> None:
    await ready_client(gateway)
    gateway.write(gateway.discovery.address)
    await gateway.stop()
    gateway.lines.clear()
    gateway.discovery.mode = "hang"
    await gateway.start()
    await ready_client(gateway)


def test_a_stream_is_idle_only_while_nothing_has_arrived_unnoticed() -> None:
    """A connection was closed as idle in the turn of the event loop in which its request had been read."""

    async def scene() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        stream = Stream(ours, TurnClock())
        assert not stream.is_idle(), "no read is waiting"
        reading = asyncio.ensure_future(stream.read_bytes(100, partial=True))
        await asyncio.sleep(0)
        assert stream.is_idle()
        theirs.send(b"x")
        assert not stream.is_idle(), "in the socket"
        while stream.reading():
            await asyncio.sleep(0)
        assert not reading.done() or not stream.is_idle(), "read from the socket, and not delivered yet"
        assert await reading == b"x"
        reading = asyncio.ensure_future(stream.read_bytes(100, partial=True))
        await asyncio.sleep(0)
        assert stream.is_idle()
        theirs.close()
        assert not stream.is_idle(), "closed by its peer"
        stream.close()
        with pytest.raises(StreamClosedError):
            await reading

    run_scenario(scene())


def test_a_wrong_configuration_ends_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text("{}")
    for environment, named in (({}, "GW_CONFIG"), ({"GW_CONFIG": str(tmp_path / "config.json")}, "settings")):
        finished = subprocess.run(
            [sys.executable, "-m", "oatlink.platform"],
            cwd=ROOT,
            env=environment,
            timeout=60,
            capture_output=True,
            text=True,
            check=False,
        )
        assert finished.returncode == 2 and named in finished.stderr and finished.stderr.count("\n") == 1
