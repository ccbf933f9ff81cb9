"""The newest terms of the page, each forced at a whole gateway on loopback sockets."""

import asyncio
import random
import resource
import signal
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from oatlink import interface as api
from oatlink.interface import Outcome
from oatlink.platform import config
from oatlink.platform.gateway import Gateway
from oatlink.rules import Router
from tests.client_world import STARTUP, Peer, query
from tests.platform_world import PATIENCE_S, Discovery, World, in_a_place, play, world
from tests.scenes import scene
from tests.test_platform_sockets import post, settled, value, view
from tests.test_terms_discovery import read

GOOD = b"value of 7f3a"


async def stopped(one: World) -> None:
    """Stop the gateway's process, and wait until it stands still."""
    one.signal(signal.SIGSTOP)
    state = Path(f"/proc/{one.process.pid}/stat")
    await one.until(lambda: state.read_text().rpartition(")")[2].split()[0] == "T")


@scene(in_a_place, replicas=0)
@pytest.mark.parametrize("behind", [0, 3], ids=["seen", "behind unread bytes"])
@pytest.mark.parametrize("stands", [True, False], ids=["at a standstill", "at work"])
async def test_no_further_attempt_for_a_client_that_has_closed(one: World, behind: int, stands: bool) -> None:
    """At a standstill the end of the first attempt, which sets the further one off, is there before the close."""
    await settled(one)
    server, peer = one.servers[0], Peer(one.address)
    server.statements.clear()
    server.mode = ["hang up"]
    peer.send(STARTUP + query(post()))
    await one.until(lambda: len(server.statements) == 1)
    await asyncio.get_running_loop().sock_sendall(peer.sock, behind * query(b" " * 60_000))
    if stands:
        await stopped(one)
        server.release.set()
        await one.until(lambda: server.open == 0)
    peer.sock.shutdown(socket.SHUT_RDWR)
    server.release.set()
    one.signal(signal.SIGCONT)
    assert value(await (await one.client()).ask(post())) == GOOD
    assert len(server.statements) == 2, "the first attempt, and the other client's"


@scene(in_a_place, replicas=0)
async def test_no_attempt_for_a_held_request_whose_client_closed_at_a_standstill(one: World) -> None:
    """The pause behind a refusal ends at the standstill: its timer comes before what the sockets have."""
    await settled(one)
    server, peer = one.servers[0], Peer(one.address)
    server.statements.clear()
    server.mode = ["full"] * 100
    peer.send(STARTUP + query(post()))
    await one.until(lambda: bool(server.statements))
    await stopped(one)
    await asyncio.sleep(0.2)  # the standstill itself, longer than the pause
    sent, server.mode = len(server.statements), "good"
    peer.sock.shutdown(socket.SHUT_RDWR)
    one.signal(signal.SIGCONT)
    assert value(await (await one.client()).ask(post())) == GOOD
    assert len(server.statements) == sent + 1, "the other client's"


@scene(in_a_place, replicas=0)
async def test_a_further_attempt_is_told_what_is_left_at_its_write(one: World) -> None:
    client, server = await settled(one), one.servers[0]
    server.statements.clear()
    server.mode = ["hang up"]
    client.writer.write(query(post(wait_ms=2_900)))
    await one.until(lambda: len(server.statements) == 1)
    began_s = time.monotonic()
    await one.until(lambda: time.monotonic() > began_s + 0.4)
    server.release.set()
    await one.until(lambda: len(server.statements) == 2)
    first, further = (int(text.split(b",d=")[1].split(b",")[0]) for text in server.statements)
    assert further <= first - 399 and first <= 2_900  # on a slow machine less, never more
    assert value(await client.until_ready()) == GOOD


@scene(in_a_place, sockets=64, running=False)
async def test_clients_that_fill_the_descriptors_keep_it_neither_from_discovery_nor_from_servers(one: World) -> None:
    """The process is held to its descriptors, all of clients' taken while discovery is down."""
    one.discovery._server.close()
    await one.start()
    try:
        resource.prlimit(one.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        client = await settled(one)
        idle = []
        for _ in range(40):
            idle.append(await one.connect())
            idle[-1].writer.write(STARTUP + query(view()))
            await idle[-1].message()  # those that have asked are not closed for others
        await one.logged("clients turned away")
        entries = one.entries()
        entries[1]["state"] = "terminating"
        one.discovery.tell(entries)
        host, _, port = one.discovery.address.rpartition(":")
        one.discovery._server = await asyncio.start_server(one.discovery._serve, host, int(port))
        await one.follows()
        one.servers[1].statements.clear()
        for server in one.servers[2:]:
            server.hang_up()
            server.greets = True  # the next request has to dial
        for _ in range(4):
            if client.reader.at_eof():
                client = await one.client()
            assert value(await client.ask(view())) == GOOD
        assert not one.servers[1].statements, "it drains"
        assert not any("Too many open files" in line for line in one.lines)
    finally:
        await one.stop()


@scene(in_a_place)
@pytest.mark.parametrize("mode", ["hang", "503", "noise"])
async def test_a_reload_that_moves_discovery_and_a_drain_right_behind_it(one: World, mode: str) -> None:
    """The old one fails, the new one answers its second call only."""
    client = await settled(one)
    one.discovery.mode = "503"
    one.discovery.tell(one.entries())
    await one.logged("status 503")
    async with Discovery() as later:
        later.entries, later.version, later.mode = one.entries(), 7, mode
        one.write(later.address)
        one.signal(signal.SIGHUP)
        await one.until(lambda: bool(later.calls))
        later.mode = "good"
        later.entries[1]["state"] = "terminating"
        later.tell(later.entries)
        await one.until(lambda: any("since=8&" in call for call in later.calls))
        one.servers[1].statements.clear()
        for _ in range(10):
            assert value(await client.ask(view())) == GOOD
        assert not one.servers[1].statements, "it drains"


def test_the_pauses_of_an_old_discovery_do_not_hold_for_the_one_after_a_reload(tmp_path: Path) -> None:
    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            gateway = Gateway(read(tmp_path), sock)
            book = gateway._router.state
            for _ in range(9):
                gateway._told(None)
            assert book.roster_request_us - book.now_us > config.TOLD_US / 8, "long by now"
            gateway._apply(replace(gateway._config, discovery=("127.0.0.1", 9)))
            gateway._told(None)
            assert book.roster_request_us - book.now_us <= 1.5 * config.TOLD_US / 32
            gateway._discovery.close()

    play(scene())


@scene(in_a_place, replicas=1)
async def test_a_kill_right_after_an_accept_and_a_start_on_the_same_port(one: World) -> None:
    """SIGKILL with connections that are taken and not yet read; what began before is no hindrance to the next."""
    await settled(one)
    one.write(one.discovery.address)
    peers = [Peer(one.address) for _ in range(5)]
    for peer in peers:
        peer.send(STARTUP + query(view()))
    await one.stop()
    one.lines.clear()
    await one.start()
    assert value(await (await one.client()).ask(view())) == GOOD


@scene(in_a_place, replicas=1)
async def test_sigterm_right_after_an_accept_loses_nothing(one: World) -> None:
    await settled(one)
    await stopped(one)  # all that comes now is accepted in the turn in which the signal is seen
    peers = [Peer(one.address) for _ in range(20)]
    for peer in peers:
        peer.send(STARTUP + query(view()))
    one.signal(signal.SIGTERM)
    one.signal(signal.SIGCONT)
    for peer in peers:
        assert (await peer.answers())[:2] == ["", "value of 7f3a"]
        peer.sock.close()
    async with asyncio.timeout(PATIENCE_S):
        assert await one.process.wait() == 0


@scene(in_a_place, replicas=1)
async def test_requests_in_pieces_are_the_same_requests(one: World) -> None:
    """Byte by byte, or cut at any places: four messages, some of them in the same piece."""
    await settled(one)
    whole = [STARTUP + query(b"") + query(view("k0")) + query(view("k1")) for _ in range(40)]
    for number, text in enumerate(whole):
        peer, draw = Peer(one.address), random.Random(number)
        cuts = range(1, len(text)) if number == 0 else sorted(draw.sample(range(1, len(text)), draw.choice([1, 2, 9])))
        for start, end in zip([0, *cuts], [*cuts, len(text)], strict=True):
            peer.send(text[start:end])
            await asyncio.sleep(0.001)  # else they may come as one
        assert [await peer.answer() for _ in range(4)] == ["", "", "value of k0", "value of k1"]
        peer.sock.close()


@scene(in_a_place)
async def test_after_a_standstill_with_discovery_away_it_sends_on_at_once(one: World) -> None:
    client = await settled(one)
    one.discovery.mode = "503"
    one.discovery.tell(one.entries())
    await one.logged("status 503")
    await stopped(one)
    await asyncio.sleep(0.5)  # the standstill itself
    client.writer.write(query(view()))
    one.signal(signal.SIGCONT)
    assert value(await client.until_ready()) == GOOD


class Full:
    """A Router of a big fleet with three servers that have been full for 3 s; each answer comes at once."""

    def __init__(self, settings: api.Settings) -> None:
        self.router, self.now_us, self.sent, self.outcome = Router(settings), 1_000_000, 0, Outcome.FULL
        self.do(api.Start())
        entries = [api.RosterEntry(one, 1, "a", "k", api.Listing.READY, one == 1, 0) for one in (1, 2, 3)]
        self.do(api.Roster(api.RosterKind.WHOLE, tuple(entries)))
        self.ask(range(30), 100_000)

    def ask(self, numbers: range, every_us: int) -> None:
        for number in numbers:
            self.now_us += every_us
            self.do(api.Arrival(str(number), "view", 1, 2_000_000, None, None))
            self.do(api.TimerFired("due"))

    def do(self, event: api.Event) -> None:
        for action in self.router.handle(event, self.now_us):
            match action:
                case api.Check():
                    report = api.Report(self.now_us, api.Role.PRIMARY if action.member == 1 else api.Role.REPLICA)
                    self.do(api.Checked(action.member, Outcome.SERVED, 1_000, report))
                case api.Send():
                    request = self.router.state.requests[action.request]
                    number, over = len(request.attempts) - 1, self.outcome is Outcome.SERVED
                    self.sent += 1
                    self.do(api.AttemptEnded(action.request, number, action.member, self.outcome, 10_000, over, None))


def test_a_gateway_whose_servers_live_does_not_turn_all_away_for_4_s(tmp_path: Path) -> None:
    """Its servers were full, and are not any more: of 16 requests in 4 s one is sent on at nine in ten gateways."""
    silent = 0
    for seed in range(40):
        full = Full(replace(read(tmp_path).settings, seed=seed))
        full.outcome, full.sent, full.now_us = Outcome.SERVED, 0, full.now_us + 1_000_000
        full.ask(range(100, 116), 250_000)
        silent += full.sent == 0
    assert silent <= 4, "one in ten"


def test_thirty_started_at_once_are_all_ready(tmp_path: Path) -> None:
    """Their time is measured by hand; here all of them come up and serve."""

    async def scene() -> None:
        async with world(tmp_path, running=False) as one:
            homes = [World(tmp_path, one.servers, one.discovery) for _ in range(30)]
            began_s = time.monotonic()
            try:
                await asyncio.gather(*(home.start() for home in homes))
                print(f"ready: {time.monotonic() - began_s:.1f} s")
                assert all([value(await (await home.client()).ask(view())) == GOOD for home in homes])
            finally:
                for home in homes:
                    await home.stop()

    play(scene())
