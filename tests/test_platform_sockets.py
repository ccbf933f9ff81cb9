"""The platform gateway as a process between clients, servers and a discovery, all on loopback."""

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
from tests.platform_world import PATIENCE_S, ROOT, Client, Discovery, World, in_a_place, play, world
from tests.scenes import scene

COUNT = iter(range(1, 1 << 30))


def read_statement(key: str = "7f3a", wait_ms: int = 1_900, name: str = "view", ident: str = "") -> bytes:
    ident = ident or f"{next(COUNT):016x}"
    return f"/* id={ident},c={name},d={wait_ms},cluster=1 */ SELECT content FROM kv WHERE name = '{key}'".encode()


def write_statement(wait_ms: int = 2_900) -> bytes:
    return (
        f"/* id={next(COUNT):016x},c=post,d={wait_ms},k=5c0f,cluster=1 */ INSERT INTO kv (name, content) "
        "VALUES ('7f3a', '\\x9f03') RETURNING content"
    ).encode()


def served_value(answer: list[pg.Message]) -> bytes | None:
    """What was served, if it was."""
    if [one.kind for one in answer] != [b"T", b"D", b"C"]:
        return None
    return pg.row(answer[1])[0]


def sqlstate(answer: list[pg.Message]) -> str:
    (one,) = answer
    return pg.fields(one)["C"]


async def ready_client(one: World) -> Client:
    """A client, once the gateway knows its servers' roles."""
    client = await one.client()
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
    assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
    return client


@scene(in_a_place)
async def test_requests_are_served_and_only_their_wait_is_rewritten(one: World) -> None:
    client = await one.connect()
    ask = read_statement("abc", wait_ms=1_800)
    # SSL is declined; then the startup, an empty query and the first one come in one piece.
    client.writer.write(pg.make_request(pg.SSL).encode())
    assert await client.reader.readexactly(1) == b"N"
    client.writer.write(
        pg.make_startup({"user": "backend", "database": "store"}).encode()
        + pg.make_query(b"").encode()
        + pg.make_query(ask).encode()
    )
    await client.until_ready()
    assert [got.kind for got in await client.until_ready()] == [b"I"]
    assert served_value(await client.until_ready()) == b"value of abc"
    got = [text for server in one.servers for text in server.statements]
    assert len(got) == 1
    before, _, behind = got[0].partition(b",d=")
    wait, _, behind = behind.partition(b",")
    assert before + b",d=1800," + behind == ask and 0 < int(wait) <= 1_800
    written = write_statement()
    assert served_value(await client.ask(written)) == b"value of 7f3a"
    assert one.servers[0].statements[-1].startswith(written[:20])
    assert sum(server.connections for server in one.servers) <= 8


def test_a_client_library_goes_through_unchanged(tmp_path: Path) -> None:
    def use(address: tuple[str, int]) -> None:
        where = f"host={address[0]} port={address[1]} user=backend dbname=store sslmode=prefer gssencmode=disable"
        with psycopg.connect(where, autocommit=True, connect_timeout=10) as connection:
            for number in range(20):
                cursor = connection.execute(read_statement(f"k{number}").decode())
                (found,) = cursor.fetchall()
                assert bytes(found[0]) == f"value of k{number}".encode() or found[0] == f"value of k{number}"
            with pytest.raises(psycopg.errors.SyntaxError):
                connection.execute("SELECT 1, 2")
            assert connection.execute(read_statement().decode()).fetchone() is not None

    async def scene() -> None:
        async with world(tmp_path) as one:
            await ready_client(one)
            await asyncio.to_thread(use, one.address)

    play(scene())


@pytest.mark.parametrize("mode", ["noise", "huge", "two rows", "no columns", "negative", "break", "error"])
@scene(in_a_place, replicas=1)
async def test_a_spoilt_answer_is_a_failed_attempt_and_nothing_of_it_is_passed_on(one: World, mode: str) -> None:
    client = await ready_client(one)
    # The attempt may have run; a read goes again, a write within its window at its group's primary.
    one.servers[1].mode = spoilt = [mode]
    while spoilt:
        assert served_value(await client.ask(read_statement("abc"))) == b"value of abc"
    one.servers[0].statements.clear()
    one.servers[0].mode = [mode]
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
    assert len(one.servers[0].statements) == 2


@pytest.mark.parametrize("mode", ["behind", "twice"])
@scene(in_a_place, replicas=1)
async def test_a_good_answer_with_more_behind_it_is_good_and_its_connection_is_dropped(one: World, mode: str) -> None:
    client = await ready_client(one)
    for server in one.servers:
        server.mode = mode
    for number in range(10):
        assert served_value(await client.ask(read_statement(f"k{number}"))) == f"value of k{number}".encode()
    await one.until(lambda: sum(server.connections for server in one.servers) >= 10)


@scene(in_a_place, replicas=1)
async def test_misses_and_refusals_of_servers_are_the_routers_and_never_relayed(one: World) -> None:
    client = await ready_client(one)
    one.servers[0].primary, one.servers[1].primary = False, True
    one.servers[0].mode = ["miss"]
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a", "held until the new primary is known"
    for server in one.servers:
        server.mode = "error"
    assert sqlstate(await client.ask(write_statement())) == "58000", "it may have run"
    assert sqlstate(await client.ask(read_statement())) == "53300", "a read is harmless to try again"
    for server in one.servers:
        server.mode = "full"
    refused = await client.ask(read_statement(wait_ms=300))
    fields = pg.fields(refused[0])
    assert fields["C"] == "53300" and fields["M"] == "refused, try again" and int(fields["D"]) > 0


@scene(in_a_place, replicas=0)
async def test_a_hung_server_costs_the_request_its_time_and_its_connection_is_closed(one: World) -> None:
    client = await ready_client(one)
    one.servers[0].mode = ["hang"]
    assert sqlstate(await client.ask(write_statement(wait_ms=400))) == "58000", "it may have run: failed, not refused"
    await one.until(lambda: one.servers[0].open <= 1)
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"


@scene(in_a_place, replicas=0)
async def test_a_server_that_accepts_and_never_greets_could_not_connect(one: World) -> None:
    one.servers[0].greets = False
    client = await one.client()
    assert sqlstate(await client.ask(write_statement(wait_ms=700))) == "53300", (
        "nothing was sent: trying again is harmless"
    )
    assert not one.servers[0].statements
    one.servers[0].greets = True
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"


@scene(in_a_place)
async def test_queries_of_a_connection_are_answered_in_order_and_a_close_ends_them(one: World) -> None:
    client = await ready_client(one)
    client.writer.write(b"".join(pg.make_query(read_statement(f"k{number}")).encode() for number in range(300)))
    for number in range(300):
        assert served_value(await client.until_ready()) == f"value of k{number}".encode()
    for server in one.servers:
        server.mode = "hang"
    client.writer.write(pg.make_query(read_statement(ident="feed")).encode())
    other = await one.client()
    await one.until(lambda: any(b"id=feed" in text for server in one.servers for text in server.statements))
    assert sqlstate(await other.ask(read_statement(ident="feed"))) == "42710"
    client.writer.close()
    for server in one.servers:
        server.mode = "good"
    again = await other.ask(read_statement(ident="feed"))
    while served_value(again) is None:  # the close is seen in a turn of its own
        assert sqlstate(again) == "42710"
        other = await one.client()
        again = await other.ask(read_statement(ident="feed"))


BAD = {
    "noise": b"\xff\xfe\x00noise" * 10,
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "negative startup": struct.pack("!i", -5) + b"x" * 50,
    "huge startup": struct.pack("!i", 1 << 30),
    "old protocol": pg.make_startup({"user": "u"}, 2 << 16).encode(),
}
STARTED = {
    "unknown kind": b"?\0\0\0\x04",
    "negative length": b"Q\xff\xff\xff\xff",
    "60 MB": b"Q" + struct.pack("!i", 60_000_000) + b"x" * 1_000_000,
    "short length": b"Q\0\0\0\x01",
    "no end": pg.Message(b"Q", b"SELECT").encode(),
    "half and silence": pg.make_query(read_statement()).encode()[:-9],
    "half a head": b"Q\0",
    "too many mistakes": pg.make_query(b"SELECT 1").encode() * 300,
    "extended": pg.make_parse(pg.Parse(b"", b"SELECT 1", ())).encode(),
    "silence": b"",
}


def test_bad_clients_get_an_error_or_a_close_and_disturb_nobody(tmp_path: Path) -> None:
    async def bad(one: World, data: bytes, started: bool) -> None:
        client = await (one.client() if started else one.connect())
        client.writer.write(data)
        first = asyncio.ensure_future(client.reader.read(1))
        async with asyncio.timeout(PATIENCE_S):
            try:
                got = await first
            except ConnectionError:
                got = b""
        assert got in (b"", b"E"), "neither served nor refused"
        client.writer.close()

    async def scene() -> None:
        async with world(tmp_path) as one:
            client = await ready_client(one)
            before = sum(len(server.statements) for server in one.servers)
            tasks = [bad(one, data, False) for data in [*BAD.values(), b""]]
            tasks += [bad(one, data, True) for data in STARTED.values()]
            waiting = asyncio.gather(*tasks)
            for number in range(50):
                assert served_value(await client.ask(read_statement(f"k{number}"))) == f"value of k{number}".encode()
            await waiting
            assert sum(len(server.statements) for server in one.servers) == before + 50, "nothing bad reached a server"
            for text in (b"SELECT 1", read_statement(name="none"), read_statement(wait_ms=0)):
                assert sqlstate(await client.ask(text)) in ("42601", "22023")
            assert served_value(await client.ask(read_statement())) == b"value of 7f3a", (
                "a mistake does not end a connection"
            )

    play(scene())


@scene(in_a_place, sockets=64)
async def test_silent_clients_do_not_keep_others_out(one: World) -> None:
    await ready_client(one)
    silent = [await one.connect() for _ in range(100)]
    for each in silent[::2]:  # an empty query asks nothing, either
        each.writer.write(pg.make_startup({"user": "u"}).encode() + pg.make_query(b"").encode())
    client = await one.client()
    assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
    for each in silent:
        assert await each.closed()


def entries_without(one: World, number: int) -> list[dict[str, object]]:
    return [entry for entry in one.entries() if entry["id"] != f"s-{number}"]


@scene(in_a_place)
async def test_the_list_is_followed_through_drains_failures_and_new_addresses(one: World) -> None:
    client = await ready_client(one)
    entries = one.entries()
    entries[1]["state"] = "terminating"
    one.discovery.tell(entries)
    await one.follows()
    one.servers[1].statements.clear()
    for mode in ("noise", "503", "good"):
        one.discovery.mode = mode
        one.discovery.tell(entries)
        failed = len(one.lines)
        await one.until(lambda failed=failed, mode=mode: mode == "good" or len(one.lines) > failed)  # type: ignore[misc]
        for _ in range(10):
            assert served_value(await client.ask(read_statement())) == b"value of 7f3a", "the list it had stands"
    assert not one.servers[1].statements, "nothing is sent to what drains"
    # The two that are left go; the one that drained comes back, as primary, under a new address.
    one.servers[1].primary = True
    one.discovery.tell([one.entries()[1] | {"id": "s-new"}])
    await one.follows()
    assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
    assert len(one.servers[1].statements) == 1


def test_a_crowded_discoverys_late_answer_is_taken() -> None:
    """Found on a day of the fleet: it had told a drain, to calls that were given up in the same instant."""

    async def scene() -> None:
        async with Discovery() as service:
            service.mode = "crowded"
            host, _, port = service.address.rpartition(":")
            told: asyncio.Queue[News | None] = asyncio.Queue()
            calls = Calls((host, int(port)), 2.5, told.put_nowait, lambda text: None)
            calls.follow()
            news = await told.get()
            calls.close()
            assert news is not None and news.version == 1

    play(scene())


@scene(in_a_place)
async def test_sighup_follows_the_new_discovery_and_a_half_written_file_changes_nothing(one: World) -> None:
    client = await ready_client(one)
    async with type(one.discovery)() as other:
        other.entries, other.version = one.entries(), 9
        one.path.write_text('{"name": "n0", "list')
        one.signal(signal.SIGHUP)
        await one.logged("reload: ")
        assert served_value(await client.ask(read_statement())) == b"value of 7f3a"
        one.write(other.address)
        await one.until(lambda: bool(other.calls))
        seen = len(one.discovery.calls)
        assert served_value(await client.ask(write_statement())) == b"value of 7f3a"
        await one.until(lambda: len(other.calls) >= 3)
        assert len(one.discovery.calls) == seen, "the old one is let go"


@scene(in_a_place)
async def test_sigterm_answers_what_was_taken_and_ends(one: World) -> None:
    client, idle = await ready_client(one), await one.client()
    for server in one.servers:
        server.mode = "hang"
    client.writer.write(pg.make_query(read_statement()).encode())
    await one.until(lambda: sum(server.open for server in one.servers) > 0)
    one.signal(signal.SIGTERM)
    await one.logged("stopping")
    late = await one.client()  # for a while connections still come
    for server in one.servers:
        server.mode = "good"
        server.release.set()
    assert served_value(await late.ask(read_statement())) == b"value of 7f3a"
    assert len(await client.until_ready()) in (1, 3), "answered, though its server hung"
    assert await idle.closed() and await client.closed() and await late.closed()
    async with asyncio.timeout(PATIENCE_S):
        assert await one.process.wait() == 0


@scene(in_a_place)
async def test_after_a_kill_it_starts_from_nothing_but_the_file(one: World) -> None:
    await ready_client(one)
    one.write(one.discovery.address)
    await one.stop()
    one.lines.clear()
    one.discovery.mode = "hang"
    await one.start()
    await ready_client(one)


def test_a_stream_is_at_rest_only_while_nothing_has_come_unseen() -> None:
    """Found on the bench: an idle client was closed in the turn in which its request had been read."""

    async def scene() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        stream = Stream(ours, TurnClock())
        assert not stream.is_idle(), "nobody reads"
        reading = asyncio.ensure_future(stream.read_bytes(100, partial=True))
        await asyncio.sleep(0)
        assert stream.is_idle()
        theirs.send(b"x")
        assert not stream.is_idle(), "in the socket"
        while stream.reading():
            await asyncio.sleep(0)
        assert not reading.done() or not stream.is_idle(), "read, and not handed on yet"
        assert await reading == b"x"
        reading = asyncio.ensure_future(stream.read_bytes(100, partial=True))
        await asyncio.sleep(0)
        assert stream.is_idle()
        theirs.close()
        assert not stream.is_idle(), "closed by its peer"
        stream.close()
        with pytest.raises(StreamClosedError):
            await reading

    play(scene())


def test_a_wrong_configuration_ends_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text("{}")
    for environment, names in (({}, "GW_CONFIG"), ({"GW_CONFIG": str(tmp_path / "config.json")}, "settings")):
        ended = subprocess.run(
            [sys.executable, "-m", "oatlink.platform"],
            cwd=ROOT,
            env=environment,
            timeout=60,
            capture_output=True,
            text=True,
            check=False,
        )
        assert ended.returncode == 2 and names in ended.stderr and ended.stderr.count("\n") == 1
