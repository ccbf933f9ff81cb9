"""Links between nodes over real sockets: faulty links, hostile peers, and authentication of senders.

Tests wait for conditions, with a time limit that is only reached in case of a fault.
"""

import asyncio
import contextlib
import os
import socket
import tempfile
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from oatlink.fleet import envelope
from oatlink.fleet import messages as m
from oatlink.fleet.shell import inbound, listener, outbound, outbound_connection, transport
from oatlink.fleet.shell.keys import FleetError, read_keys
from oatlink.fleet.shell.transport import Transport
from oatlink.lab.embedded import port_of, reserve
from oatlink.lab.fleet.proxy import LinkProxy
from oatlink.settings.fleet import Control, Fleet, FleetNode, fleet_hash
from tests.fleet.life_strangers import Stranger
from tests.scenes import scene

TIMEOUT_S = 30.0
SECRET = b"s" * 40


async def until(done: Callable[[], bool]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(TIMEOUT_S):
        while not done():
            await asyncio.sleep(0.002)


class Node:
    """The transport of one node, and what it has received."""

    def __init__(self, fleet: Fleet, incarnation: int, unlisted: int = 0) -> None:
        self.received: list[tuple[str, int]] = []
        self.lines: list[str] = []
        self.failed: list[str] = []
        self.transport = Transport(
            fleet, incarnation, self.receive, lambda _, text: self.lines.append(text), 5, self.failed.append, unlisted
        )
        self.counters = self.transport.counters

    def receive(self, sender: str, message: m.AnyMessage) -> None:
        if isinstance(message, m.Alive):
            self.received.append((sender, message.incarnation))
        else:
            raise RuntimeError("a core that cannot handle this message")

    def send(self, to: str, *numbers: int) -> bool:
        """Send numbered messages. False, for use within conditions."""
        for number in numbers:
            self.transport.send(to, m.Alive(number))
        return False

    def start(self) -> "Node":
        self.transport.bind()
        self.transport.start()
        return self


class Network:
    """A fleet of `a`, `b` and `c` on loopback. A node is created when a test asks for it."""

    def __init__(self, folder: str) -> None:
        self.reserved = {name: reserve() for name in "abc"}
        self.key = Path(folder, "key")
        self.key.write_bytes(SECRET + b"\n")
        self.key.chmod(0o600)
        nodes = tuple(FleetNode(name, f"127.0.0.1:{port_of(one)}", True) for name, one in self.reserved.items())
        self.fleet = Fleet("a", nodes, (str(self.key),), folder)
        self.nodes: list[Node] = []
        self.links: list[LinkProxy] = []

    def port(self, name: str) -> int:
        return port_of(self.reserved[name])

    def node(self, name: str, incarnation: int = 1, unlisted: int = 0, **more: Any) -> Node:
        self.nodes.append(Node(msgspec.structs.replace(self.fleet, node=name, **more), incarnation, unlisted))
        return self.nodes[-1]

    def unlisted_node(self, name: str, unlisted: int) -> Node:
        """A node whose settings list none of the other nodes here."""
        control = Control(tuple(FleetNode(f"s{at}", f"127.0.0.1:{at}", True) for at in (1, 2, 3)), "r", "z")
        own = tuple(one for one in self.fleet.nodes if one.name == name)
        fleet = msgspec.structs.replace(self.fleet, nodes=(msgspec.structs.replace(own[0], keeper=False),))
        self.control_fleet = msgspec.structs.replace(fleet, control=control)
        return self.node(name, 1, unlisted, nodes=self.control_fleet.nodes, control=control).start()

    async def link(self, to: str) -> tuple[LinkProxy, dict[str, str]]:
        """A link to a node in which faults can be injected, and the routes that use it."""
        link = LinkProxy(("127.0.0.1", self.port(to)), 3)
        await link.start()
        self.links.append(link)
        return link, {to: f"127.0.0.1:{link.port}"}


@contextlib.asynccontextmanager
async def running_network() -> AsyncIterator[Network]:
    with tempfile.TemporaryDirectory() as folder:
        network = Network(folder)
        try:
            yield network
        finally:
            closing = [*(node.transport.close() for node in network.nodes), *(link.close() for link in network.links)]
            await asyncio.gather(*closing)
            for reserved in network.reserved.values():
                reserved.close()


async def reaches(one: Node, to: str, other: Node, number: int) -> None:
    """Repeat a message until it is received, since a link may lose it."""
    async with asyncio.timeout(TIMEOUT_S):
        while (one.transport._node, number) not in other.received:
            one.send(to, number)
            await asyncio.sleep(0.02)


@scene(running_network)
async def test_messages_arrive_once_and_in_order_in_both_directions_and_locally(network: Network) -> None:
    a, b = network.node("a").start(), network.node("b").start()
    a.send("b", *range(200))
    b.send("a", 7)
    a.send("a", 1)
    assert a.received == []  # never within `send`
    await until(lambda: len(b.received) == 200 and len(a.received) == 2)
    assert b.received == [("a", number) for number in range(200)] and sorted(a.received) == [("a", 1), ("b", 7)]
    assert (a.counters["sent"], b.counters["received"], b.counters["sent"]) == (200, 200, 1)
    assert a.transport.is_up("b") and not a.transport.is_up("c")
    a.transport.send("nobody", m.Alive(1))
    a.transport.send("b", m.Alive(2**70))
    a.transport.send("b", m.Accept("k", m.Ballot(), m.Record(1, "a", b"x" * 70_000)))
    assert [a.counters[f"dropped_{why}"] for why in ("name", "encode", "long")] == [1, 1, 1]
    a.transport.send("b", m.Gossip(()))  # an error of a core is logged, and does not close the link
    a.transport.send("b", m.Gossip(()))
    a.send("b", 201)
    await until(lambda: ("a", 201) in b.received)
    assert b.counters["faults"] == 2 and len(b.lines) == 1 and b.counters["accepted"] == 1
    await until(
        lambda: a.transport._links["b"]._failure_count == 0
    )  # acknowledged, so a lost connection is dialled again at once
    with pytest.raises(OSError):
        network.node("a").transport.bind()


@scene(running_network)
async def test_an_orderly_shutdown_sends_first_what_is_queued(
    network: Network, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(transport, "FLUSH_S", TIMEOUT_S)
    a, b = network.node("a").start(), network.node("b").start()
    a.send("b", *range(1_000, 1_200))  # the link is not dialled yet
    await a.transport.close()
    await until(lambda: ("a", 1_199) in b.received)
    a.send("b", 5)
    assert a.counters["dropped_closed"] == 1


@pytest.fixture
def fast_ticks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ticks are ten times as frequent, so that timeouts of seconds take tenths of seconds."""
    monkeypatch.setattr(transport, "TICK_S", 0.025)


@pytest.mark.parametrize("fault", ["cut_forward", "cut_back", "refuse", "delay_ms", "rate_bytes_s"])
@scene(running_network)
async def test_a_link_that_fails_in_one_direction_recovers(network: Network, fault: str, fast_ticks: None) -> None:
    link, routes = await network.link("b")
    a, b = network.node("a", routes=routes).start(), network.node("b").start()
    await reaches(a, "b", b, 1)
    setattr(link, fault, {"delay_ms": 20.0, "rate_bytes_s": 20_000}.get(fault, True))
    a.send("b", 2)
    b.send("a", 3)
    await until(lambda: ("b", 3) in a.received)  # the other direction is another link
    if fault in ("delay_ms", "rate_bytes_s"):
        await until(lambda: ("a", 2) in b.received)
    elif fault == "refuse":
        await until(lambda: a.send("b", 2) or a.counters["dials_failed"] > 2)
    else:
        # A half-open connection is detected although neither end has closed it.
        await until(lambda: a.send("b", 2) or (a.counters["half_open"] > 0 and a.counters["dialled"] > 1))
        assert (("a", 2) in b.received) == (fault == "cut_back")
    setattr(link, fault, False)
    await reaches(a, "b", b, 4)


@scene(running_network)
async def test_a_duplicated_frame_is_received_once(network: Network) -> None:
    link, routes = await network.link("b")
    a, b = network.node("a", routes=routes).start(), network.node("b").start()
    link.duplicate = 0.5
    a.send("b", *range(100))
    await until(lambda: len({*b.received}) == 100)
    await until(lambda: b.counters["dropped_replay"] == link.doubled)
    assert len(b.received) == 100 and link.doubled > 20


# ---- Frames that are refused ----


class Raw(Stranger):
    """A connection whose frames a test writes itself."""

    def frames(self, like: Fleet, *numbers: int, secret: bytes = SECRET, **changes: Any) -> bytes:
        """A Hello of `c` to `b` with changes, and messages with these frame numbers."""
        seal = envelope.Seal(envelope.derive_key(secret), self.met.nonce, changes.get("node", "c"), 9)
        hello = envelope.Hello(1, "c", 9, fleet_hash(like), "b")
        bodies = [(0, msgspec.structs.replace(hello, **changes)), *((number, m.Alive(100)) for number in numbers)]
        return b"".join(seal.seal(number, envelope.encode(body)) for number, body in bodies)


async def attack(network: Network, kind: str) -> None:
    """Send `b` frames of one kind that it must refuse."""
    connection = await Raw.at(network.port("b"))
    hello, good = connection.frames(network.fleet), connection.frames(network.fleet, 1)
    data = {"gap": connection.frames(network.fleet, 2), "changed": good[:-1] + bytes([good[-1] ^ 1]), "half": good[:-1]}
    data |= {"huge": hello + b"\xff\xff\xff\xff" + b"x" * 100, "huge hello": (600).to_bytes(4, "big") + b"x" * 100}
    data |= {"noise": b"\0\0\0\x40" + b"noise" * 100}
    data |= {name: connection.frames(network.fleet, 1, **changes) for name, changes in HELLO_CHANGES.items()}
    # A replay sends the frames of one connection on another.
    target = await Raw.at(network.port("b")) if kind == "replay" else connection
    target.writer.write(data.get(kind, good))
    if kind == "half":
        target.writer.write_eof()


HELLO_CHANGES: dict[str, dict[str, Any]] = {
    "key": {"secret": b"o" * 40},
    "newer": {"version": 2},
    "stranger": {"node": "d"},
}
HELLO_CHANGES |= {"oneself": {"node": "b"}, "misled": {"to": "c"}, "fleet": {"fleet": "other"}}
REASONS = {"replay": "tag", "gap": "gap", "changed": "tag", "huge": "long", "huge hello": "long", "noise": "hello"}
REASONS |= {"key": "tag", "newer": "version", "stranger": "name", "oneself": "name", "misled": "misled"}
REASONS["fleet"] = "fleet"


@pytest.mark.parametrize("kind", [*REASONS, "half"])
@scene(running_network)
async def test_frames_that_are_not_a_listed_nodes_own_are_refused(network: Network, kind: str) -> None:
    a, b = network.node("a").start(), network.node("b").start()
    for _ in range(3):
        await attack(network, kind)
    if kind in REASONS:
        await until(lambda: b.counters["dropped_" + REASONS[kind]] == 3)
        assert len(b.lines) <= 1  # a line a minute
    await reaches(a, "b", b, 1)
    assert all(sender == "a" for sender, _ in b.received)


@pytest.mark.parametrize("guard", ["nonce", "tag", "to", "fleet", "number"])
@scene(running_network)
async def test_each_check_is_needed(network: Network, guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Without any one of the checks, what it prevents is received."""
    kind = {"nonce": "replay", "tag": "key", "to": "misled", "fleet": "fleet", "number": ""}[guard]
    read_hello = envelope.read_hello
    if guard == "nonce":
        monkeypatch.setattr("secrets.token_bytes", bytes)
    elif guard == "tag":
        monkeypatch.setattr("hmac.compare_digest", lambda one, other: True)
    elif guard in ("to", "fleet"):
        expected = {"to": "b"} if guard == "to" else {"fleet": fleet_hash(network.fleet)}

        def read_without_check(frame: bytes) -> envelope.Hello | None:
            hello = read_hello(frame)
            return msgspec.structs.replace(hello, **expected) if hello is not None else None

        monkeypatch.setattr(envelope, "read_hello", read_without_check)
    if guard == "number":
        b = network.node("b")
        link, routes = await network.link("b")
        link.duplicate = 1.0
        a = network.node("a", routes=routes).start()

        def accept_any_number(connection: inbound.InboundConnection, frame: bytes) -> None:
            if connection._seal is not None:
                connection._accepted = int.from_bytes(frame[:8], "big") - 1
            process_frame(connection, frame)

        process_frame = inbound.InboundConnection._frame
        monkeypatch.setattr(inbound.InboundConnection, "_frame", accept_any_number)
        b.start()
        a.send("b", 1)
        await until(lambda: b.received == [("a", 1)] * 2)
        return
    b = network.node("b").start()
    await attack(network, kind)
    await until(lambda: b.received == [("c", 100)])


@scene(running_network)
async def test_of_several_keys_any_verifies_and_the_first_signs(network: Network) -> None:
    new = network.key.with_name("new")
    new.write_bytes(b"n" * 32)
    new.chmod(0o400)
    a, b = network.node("a").start(), network.node("b", key_files=(str(new), str(network.key))).start()
    await reaches(a, "b", b, 1)
    b.send("a", 2)
    await until(lambda: a.counters["dropped_tag"] > 0)
    assert a.received == []


# ---- Two processes with one name ----


@scene(running_network)
async def test_of_two_processes_with_one_name_the_older_is_accepted_while_it_is_alive(
    network: Network, fast_ticks: None
) -> None:
    b = network.node("b").start()
    a, duplicate = network.node("a", 1), network.node("a", 2)
    a.transport.start()  # no node dials these two
    duplicate.transport.start()
    await reaches(a, "b", b, 1)
    await until(lambda: a.send("b", 1) or duplicate.send("b", 2) or b.counters["dropped_twice"] > 0)
    assert ("a", 2) not in b.received and len(b.lines) == 1
    await a.transport.close()
    await reaches(duplicate, "b", b, 2)  # the remaining process takes over the name


@scene(running_network)
async def test_a_restarted_node_is_accepted_and_reached(network: Network) -> None:
    a, b = network.node("a").start(), network.node("b").start()
    await reaches(a, "b", b, 1)
    await reaches(b, "a", a, 1)
    await b.transport.close()
    again = network.node("b", 2).start()
    await reaches(a, "b", again, 2)
    await reaches(again, "a", a, 2)


# ---- Bounded cost of faulty peers ----


@scene(running_network)
async def test_two_thousand_silent_connections_do_not_keep_a_node_out(network: Network) -> None:
    a, b = network.node("a").start(), network.node("b").start()
    socks = [socket.socket() for _ in range(2_000)]
    try:
        for number, one in enumerate(socks):
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", network.port("b")))
            if number % 50 == 0:
                await asyncio.sleep(0)
                assert len(b.transport._listener._unproved) <= listener.MAX_UNPROVED
        await reaches(a, "b", b, 1)
        await until(lambda: b.counters["accepted"] > 2_000)
        assert b.counters["dropped_crowd"] >= 2_000 - listener.MAX_UNPROVED
    finally:
        for one in socks:
            one.close()
    await reaches(a, "b", b, 2)


@scene(running_network)
async def test_a_connection_without_a_greeting_is_closed_and_a_slow_one_is_not(
    network: Network, fast_ticks: None
) -> None:
    b = network.node("b").start()
    silent, slow = await Raw.at(network.port("b")), await Raw.at(network.port("b"))
    whole = slow.frames(network.fleet, 1, 2)
    hello_bytes = len(slow.frames(network.fleet))
    slow.writer.write(whole[:hello_bytes])
    for offset in range(hello_bytes, len(whole)):
        slow.writer.write(whole[offset : offset + 1])
        await asyncio.sleep(0.002)
    await until(lambda: len(b.received) == 2 and b.counters["dropped_unproved"] == 1)
    assert await silent.reader.read() == b""
    # The number of connections of one node is bounded; the newest are kept.
    more = [await Raw.at(network.port("b")) for _ in range(6)]
    for one in more:
        one.writer.write(one.frames(network.fleet, 1))
    await until(lambda: len(b.received) == 8)
    assert len(b.transport._listener._proved["c"]) == listener.MAX_CONNECTIONS_PER_PEER


@contextlib.asynccontextmanager
async def impostor_at_c(network: Network, greeting: bytes) -> AsyncIterator[None]:
    """A server at the address of `c` that sends this greeting and never reads."""
    accepted: list[socket.socket] = []
    network.reserved["c"].listen()
    network.reserved["c"].setblocking(False)

    async def accept() -> None:
        while True:
            one, _ = await asyncio.get_running_loop().sock_accept(network.reserved["c"])
            one.send(greeting)
            accepted.append(one)

    task = asyncio.create_task(accept())
    yield
    task.cancel()
    for one in accepted:
        one.close()


@scene(running_network)
async def test_the_queue_to_a_peer_that_never_reads_is_bounded(network: Network, fast_ticks: None) -> None:
    a, b = network.node("a").start(), network.node("b").start()
    big, fleet_id = m.Accept("k", m.Ballot(), m.Record(1, "a", b"x" * 8_000)), fleet_hash(network.fleet)
    async with impostor_at_c(network, envelope.challenge(bytes(16), "c", fleet_id)), asyncio.timeout(TIMEOUT_S):
        while a.counters["half_open"] < 2 or a.counters["dropped_queue"] < 100:
            for _ in range(100):
                a.transport.send("c", big)
            link = a.transport._links["c"]
            assert len(link._queue) <= outbound.MAX_QUEUED_COUNT and link._queued_bytes <= outbound.MAX_QUEUED_BYTES
            await asyncio.sleep(0.002)
        await reaches(a, "b", b, 1)


@pytest.mark.parametrize("kind", ["ack", "acks", "no ack", "noise", "name", "fleet"])
@scene(running_network)
async def test_a_peer_with_an_invalid_answer_is_sent_nothing_and_dialled_again(network: Network, kind: str) -> None:
    fleet_id = fleet_hash(network.fleet)
    good = envelope.challenge(bytes(16), "c", fleet_id)
    greeting, counter = {
        "ack": (good + envelope.ack(5), "dropped_ack"),
        "acks": (good + b"\xff" * 8, "dials_failed"),
        "no ack": (good + envelope.with_length(b"abc"), "dropped_ack"),
        "noise": (b"\0\0\0\5noise", "dropped_challenge"),
        "name": (envelope.challenge(bytes(16), "b", fleet_id), "dropped_challenge"),
        "fleet": (envelope.challenge(bytes(16), "c", "other"), "dropped_challenge"),
    }[kind]
    a = network.node("a").start()
    async with impostor_at_c(network, greeting):
        await until(lambda: a.send("c", 1) or a.counters["dialled"] > 2)
        assert a.counters[counter] >= 2 and a.counters["sent"] == 0 and len(a.lines) <= 1


@scene(running_network)
async def test_an_idle_link_is_closed_and_opened_again(
    network: Network, fast_ticks: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(outbound_connection, "IDLE_TICKS", 12)
    a, b = network.node("a").start(), network.node("b").start()
    await reaches(a, "b", b, 1)
    await until(lambda: a.counters["idle"] == 1 and not b.transport._listener._proved)
    await reaches(a, "b", b, 2)


# ---- Keys ----


def test_an_invalid_key_file_is_refused_in_one_line(tmp_path: Path) -> None:
    good = tmp_path / "good"
    good.write_bytes(b"  " + b"x" * 32 + b"\n\n")
    good.chmod(0o600)
    assert read_keys((str(good), str(good))) == (envelope.derive_key(b"x" * 32),) * 2
    for content, mode, text in ((b"x" * 31, 0o600, "got 31"), (b"x" * 5_000, 0o600, "got"), (b"x" * 40, 0o640, "0640")):
        bad = tmp_path / "bad"
        bad.write_bytes(content)
        bad.chmod(mode)
        with pytest.raises(FleetError, match=text) as refused:
            read_keys((str(good), str(bad)))
        assert str(refused.value).startswith(str(bad)) and "\n" not in str(refused.value)
    os.mkfifo(tmp_path / "pipe")
    for name, text in (("pipe", "expected a file"), (".", "expected a file"), ("none", "No such file")):
        with pytest.raises(FleetError, match=text):
            read_keys((str(tmp_path / name),))


# ---- Nodes that are not in the settings ----


@scene(running_network)
async def test_an_unlisted_node_is_made_known_and_accepted_by_its_key(network: Network) -> None:
    a, b, c = network.unlisted_node("a", 1), network.unlisted_node("b", 1), network.unlisted_node("c", 1)
    for one in (a, c):
        one.transport.know("b", f"127.0.0.1:{network.port('b')}")
    b.send("a", 1)
    assert b.counters["dropped_name"] == 1
    b.transport.know("a", f"127.0.0.1:{network.port('a')}")
    await reaches(b, "a", a, 2)
    await reaches(a, "b", b, 3)
    # One name above the bound is refused until the first has left, and so is a peer without a valid key.
    await until(lambda: c.send("b", 4) or b.counters["dropped_full"] > 0)
    stranger = await Raw.at(network.port("b"))
    stranger.writer.write(stranger.frames(network.control_fleet, 1, secret=b"o" * 40))
    await until(lambda: b.counters["dropped_tag"] == 1)
    await a.transport.close()
    await reaches(c, "b", b, 5)
    assert {sender for sender, _ in b.received} == {"a", "c"}


@scene(running_network)
async def test_known_addresses_are_bounded_and_the_least_recently_used_is_forgotten(network: Network) -> None:
    a, b = network.unlisted_node("a", 2), network.unlisted_node("b", 2)
    b.transport.know("a", f"127.0.0.1:{network.port('a')}")
    for number in range(50):
        b.send("a", number)
        b.transport.know(f"x{number}", "127.0.0.1:1")
    assert [*b.transport._addresses.known] == ["a", "x49"] and b.counters["dropped_known"] == 49
    b.transport.forget("a")  # what was sent before still goes out
    b.send("a", 50)
    await until(lambda: len(a.received) == 50)
    assert a.received[-1] == ("b", 49) and b.counters["dropped_name"] == 1
    await until(lambda: not b.transport._retired)


@scene(running_network)
async def test_a_node_at_a_new_address_is_found_and_a_broken_link_is_reported(network: Network) -> None:
    b = network.unlisted_node("b", 2)
    b.transport.know("a", f"127.0.0.1:{network.port('c')}")
    b.send("a", 1)
    await until(lambda: "a" in b.failed)
    a = network.unlisted_node("a", 2)
    b.transport.know("a", f"127.0.0.1:{network.port('a')}")
    await reaches(b, "a", a, 2)
    b.failed.clear()
    await a.transport.close()
    await until(lambda: b.failed == ["a"])
