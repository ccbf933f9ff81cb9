"""Links between nodes, through real sockets: bad links lose messages, bad peers cost little, nobody speaks for another.

Waits are for conditions, with a limit that only a fault reaches.
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

PATIENCE_S = 30.0
SECRET = b"s" * 40


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while not done():
            await asyncio.sleep(0.002)


class Node:
    """One node's transport, and what it has heard."""

    def __init__(self, fleet: Fleet, incarnation: int, unlisted: int = 0) -> None:
        self.heard: list[tuple[str, int]] = []
        self.lines: list[str] = []
        self.failed: list[str] = []
        self.transport = Transport(
            fleet, incarnation, self.hear, lambda _, text: self.lines.append(text), 5, self.failed.append, unlisted
        )
        self.counters = self.transport.counters

    def hear(self, sender: str, message: m.AnyMessage) -> None:
        if isinstance(message, m.Alive):
            self.heard.append((sender, message.incarnation))
        else:
            raise RuntimeError("a core that cannot take this")

    def say(self, to: str, *numbers: int) -> bool:
        for number in numbers:
            self.transport.send(to, m.Alive(number))
        return False

    def start(self) -> "Node":
        self.transport.bind()
        self.transport.start()
        return self


class Place:
    """A fleet of `a`, `b` and `c` on loopback; each is made when it is asked for."""

    def __init__(self, folder: str) -> None:
        self.reserved = {name: reserve() for name in "abc"}
        self.key = Path(folder, "key")
        self.key.write_bytes(SECRET + b"\n")
        self.key.chmod(0o600)
        nodes = tuple(FleetNode(name, f"127.0.0.1:{port_of(one)}", True) for name, one in self.reserved.items())
        self.fleet = Fleet("a", nodes, (str(self.key),), folder)
        self.made: list[Node] = []
        self.links: list[LinkProxy] = []

    def port(self, name: str) -> int:
        return port_of(self.reserved[name])

    def node(self, name: str, incarnation: int = 1, unlisted: int = 0, **more: Any) -> Node:
        self.made.append(Node(msgspec.structs.replace(self.fleet, node=name, **more), incarnation, unlisted))
        return self.made[-1]

    def lone(self, name: str, unlisted: int) -> Node:
        """A node whose settings list no other that is there."""
        control = Control(tuple(FleetNode(f"s{at}", f"127.0.0.1:{at}", True) for at in (1, 2, 3)), "r", "z")
        own = tuple(one for one in self.fleet.nodes if one.name == name)
        fleet = msgspec.structs.replace(self.fleet, nodes=(msgspec.structs.replace(own[0], keeper=False),))
        self.like = msgspec.structs.replace(fleet, control=control)
        return self.node(name, 1, unlisted, nodes=self.like.nodes, control=control).start()

    async def link(self, to: str) -> tuple[LinkProxy, dict[str, str]]:
        """A link to a node that can be made bad, and the routes that lead over it."""
        one = LinkProxy(("127.0.0.1", self.port(to)), 3)
        await one.start()
        self.links.append(one)
        return one, {to: f"127.0.0.1:{one.port}"}


@contextlib.asynccontextmanager
async def placed() -> AsyncIterator[Place]:
    with tempfile.TemporaryDirectory() as folder:
        place = Place(folder)
        try:
            yield place
        finally:
            await asyncio.gather(*(one.transport.close() for one in place.made), *(one.close() for one in place.links))
            for one in place.reserved.values():
                one.close()


async def reaches(one: Node, to: str, other: Node, number: int) -> None:
    """Say it again and again until it is heard: a link may lose what it will."""
    async with asyncio.timeout(PATIENCE_S):
        while (one.transport._node, number) not in other.heard:
            one.say(to, number)
            await asyncio.sleep(0.02)


@scene(placed)
async def test_messages_arrive_once_and_in_order_both_ways_and_to_oneself(place: Place) -> None:
    a, b = place.node("a").start(), place.node("b").start()
    a.say("b", *range(200))
    b.say("a", 7)
    a.say("a", 1)
    assert a.heard == []  # never within `send`
    await until(lambda: len(b.heard) == 200 and len(a.heard) == 2)
    assert b.heard == [("a", number) for number in range(200)] and sorted(a.heard) == [("a", 1), ("b", 7)]
    assert (a.counters["sent"], b.counters["received"], b.counters["sent"]) == (200, 200, 1)
    assert a.transport.is_up("b") and not a.transport.is_up("c")
    a.transport.send("nobody", m.Alive(1))
    a.transport.send("b", m.Alive(2**70))
    a.transport.send("b", m.Accept("k", m.Ballot(), m.Record(1, "a", b"x" * 70_000)))
    assert [a.counters[f"dropped_{why}"] for why in ("name", "encode", "long")] == [1, 1, 1]
    a.transport.send("b", m.Gossip(()))  # what a core raises is a line, and ends no link
    a.transport.send("b", m.Gossip(()))
    a.say("b", 201)
    await until(lambda: ("a", 201) in b.heard)
    assert b.counters["faults"] == 2 and len(b.lines) == 1 and b.counters["accepted"] == 1
    await until(
        lambda: a.transport._links["b"]._failure_count == 0
    )  # acknowledged: were it lost, it is dialled at once
    with pytest.raises(OSError):
        place.node("a").transport.bind()


@scene(placed)
async def test_an_orderly_end_says_first_what_is_queued(place: Place, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transport, "FLUSH_S", PATIENCE_S)
    a, b = place.node("a").start(), place.node("b").start()
    a.say("b", *range(1_000, 1_200))  # the link is yet to be dialled
    await a.transport.close()
    await until(lambda: ("a", 1_199) in b.heard)
    a.say("b", 5)
    assert a.counters["dropped_closed"] == 1


@pytest.fixture
def hurry(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ticks ten times as often: seconds of silence go by in tenths."""
    monkeypatch.setattr(transport, "TICK_S", 0.025)


@pytest.mark.parametrize("fault", ["cut_forward", "cut_back", "refuse", "delay_ms", "rate_bytes_s"])
@scene(placed)
async def test_a_link_goes_bad_one_way_and_heals(place: Place, fault: str, hurry: None) -> None:
    link, routes = await place.link("b")
    a, b = place.node("a", routes=routes).start(), place.node("b").start()
    await reaches(a, "b", b, 1)
    setattr(link, fault, {"delay_ms": 20.0, "rate_bytes_s": 20_000}.get(fault, True))
    a.say("b", 2)
    b.say("a", 3)
    await until(lambda: ("b", 3) in a.heard)  # the other direction is another link
    if fault in ("delay_ms", "rate_bytes_s"):
        await until(lambda: ("a", 2) in b.heard)
    elif fault == "refuse":
        await until(lambda: a.say("b", 2) or a.counters["dials_failed"] > 2)
    else:
        # Half-open: nobody closed anything, and yet it is noticed.
        await until(lambda: a.say("b", 2) or (a.counters["half_open"] > 0 and a.counters["dialled"] > 1))
        assert (("a", 2) in b.heard) == (fault == "cut_back")
    setattr(link, fault, False)
    await reaches(a, "b", b, 4)


@scene(placed)
async def test_a_doubled_frame_counts_once(place: Place) -> None:
    link, routes = await place.link("b")
    a, b = place.node("a", routes=routes).start(), place.node("b").start()
    link.duplicate = 0.5
    a.say("b", *range(100))
    await until(lambda: len({*b.heard}) == 100)
    await until(lambda: b.counters["dropped_replay"] == link.doubled)
    assert len(b.heard) == 100 and link.doubled > 20


# ---- Who is not heard ----


class Raw(Stranger):
    """A connection by hand."""

    def frames(self, like: Fleet, *numbers: int, secret: bytes = SECRET, **changes: Any) -> bytes:
        """A Hello of `c` to `b`, and messages with these numbers."""
        seal = envelope.Seal(envelope.derive_key(secret), self.met.nonce, changes.get("node", "c"), 9)
        hello = envelope.Hello(1, "c", 9, fleet_hash(like), "b")
        bodies = [(0, msgspec.structs.replace(hello, **changes)), *((number, m.Alive(100)) for number in numbers)]
        return b"".join(seal.seal(number, envelope.encode(body)) for number, body in bodies)


async def attack(place: Place, kind: str) -> None:
    """One thing that `b` must not fall for."""
    one = await Raw.at(place.port("b"))
    hello, good = one.frames(place.fleet), one.frames(place.fleet, 1)
    said = {"gap": one.frames(place.fleet, 2), "changed": good[:-1] + bytes([good[-1] ^ 1]), "half": good[:-1]}
    said |= {"huge": hello + b"\xff\xff\xff\xff" + b"x" * 100, "huge hello": (600).to_bytes(4, "big") + b"x" * 100}
    said |= {"noise": b"\0\0\0\x40" + b"noise" * 100}
    said |= {name: one.frames(place.fleet, 1, **wrong) for name, wrong in WRONG.items()}
    # A replay: what was said on this connection, on another.
    on = await Raw.at(place.port("b")) if kind == "replay" else one
    on.writer.write(said.get(kind, good))
    if kind == "half":
        on.writer.write_eof()


WRONG: dict[str, dict[str, Any]] = {"key": {"secret": b"o" * 40}, "newer": {"version": 2}, "stranger": {"node": "d"}}
WRONG |= {"oneself": {"node": "b"}, "misled": {"to": "c"}, "fleet": {"fleet": "other"}}
REASONS = {"replay": "tag", "gap": "gap", "changed": "tag", "huge": "long", "huge hello": "long", "noise": "hello"}
REASONS |= {"key": "tag", "newer": "version", "stranger": "name", "oneself": "name", "misled": "misled"}
REASONS["fleet"] = "fleet"


@pytest.mark.parametrize("kind", [*REASONS, "half"])
@scene(placed)
async def test_what_is_not_a_listed_nodes_own_word_is_not_heard(place: Place, kind: str) -> None:
    a, b = place.node("a").start(), place.node("b").start()
    for _ in range(3):
        await attack(place, kind)
    if kind in REASONS:
        await until(lambda: b.counters["dropped_" + REASONS[kind]] == 3)
        assert len(b.lines) <= 1  # a line a minute
    await reaches(a, "b", b, 1)
    assert all(sender == "a" for sender, _ in b.heard)


@pytest.mark.parametrize("guard", ["nonce", "tag", "to", "fleet", "number"])
@scene(placed)
async def test_each_guard_is_needed(place: Place, guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """With one of them taken out, what it stands against is heard."""
    kind = {"nonce": "replay", "tag": "key", "to": "misled", "fleet": "fleet", "number": ""}[guard]
    honest = envelope.read_hello
    if guard == "nonce":
        monkeypatch.setattr("secrets.token_bytes", bytes)
    elif guard == "tag":
        monkeypatch.setattr("hmac.compare_digest", lambda one, other: True)
    elif guard in ("to", "fleet"):
        right = {"to": "b"} if guard == "to" else {"fleet": fleet_hash(place.fleet)}

        def careless(frame: bytes) -> envelope.Hello | None:
            hello = honest(frame)
            return msgspec.structs.replace(hello, **right) if hello is not None else None

        monkeypatch.setattr(envelope, "read_hello", careless)
    if guard == "number":
        b = place.node("b")
        link, routes = await place.link("b")
        link.duplicate = 1.0
        a = place.node("a", routes=routes).start()

        def again(conn: inbound.InboundConnection, frame: bytes) -> None:
            if conn._seal is not None:
                conn._accepted = int.from_bytes(frame[:8], "big") - 1
            taken(conn, frame)

        taken = inbound.InboundConnection._frame
        monkeypatch.setattr(inbound.InboundConnection, "_frame", again)
        b.start()
        a.say("b", 1)
        await until(lambda: b.heard == [("a", 1)] * 2)
        return
    b = place.node("b").start()
    await attack(place, kind)
    await until(lambda: b.heard == [("c", 100)])


@scene(placed)
async def test_several_keys_any_may_verify_and_the_first_signs(place: Place) -> None:
    new = place.key.with_name("new")
    new.write_bytes(b"n" * 32)
    new.chmod(0o400)
    a, b = place.node("a").start(), place.node("b", key_files=(str(new), str(place.key))).start()
    await reaches(a, "b", b, 1)
    b.say("a", 2)
    await until(lambda: a.counters["dropped_tag"] > 0)
    assert a.heard == []


# ---- Who has a name ----


@scene(placed)
async def test_of_two_processes_with_one_name_the_older_is_heard_while_it_lives(place: Place, hurry: None) -> None:
    b = place.node("b").start()
    a, twin = place.node("a", 1), place.node("a", 2)
    a.transport.start()  # nobody dials these two
    twin.transport.start()
    await reaches(a, "b", b, 1)
    await until(lambda: a.say("b", 1) or twin.say("b", 2) or b.counters["dropped_twice"] > 0)
    assert ("a", 2) not in b.heard and len(b.lines) == 1
    await a.transport.close()
    await reaches(twin, "b", b, 2)  # the one that is left has the name


@scene(placed)
async def test_a_node_that_began_again_is_heard_and_reached(place: Place) -> None:
    a, b = place.node("a").start(), place.node("b").start()
    await reaches(a, "b", b, 1)
    await reaches(b, "a", a, 1)
    await b.transport.close()
    again = place.node("b", 2).start()
    await reaches(a, "b", again, 2)
    await reaches(again, "a", a, 2)


# ---- Who costs little ----


@scene(placed)
async def test_two_thousand_connections_that_say_nothing(place: Place) -> None:
    a, b = place.node("a").start(), place.node("b").start()
    socks = [socket.socket() for _ in range(2_000)]
    try:
        for number, one in enumerate(socks):
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", place.port("b")))
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


@scene(placed)
async def test_one_that_proves_nothing_in_time_is_closed_and_a_slow_one_is_not(place: Place, hurry: None) -> None:
    b = place.node("b").start()
    mute, slow = await Raw.at(place.port("b")), await Raw.at(place.port("b"))
    whole = slow.frames(place.fleet, 1, 2)
    proof = len(slow.frames(place.fleet))
    slow.writer.write(whole[:proof])
    for at in range(proof, len(whole)):
        slow.writer.write(whole[at : at + 1])
        await asyncio.sleep(0.002)
    await until(lambda: len(b.heard) == 2 and b.counters["dropped_unproved"] == 1)
    assert await mute.reader.read() == b""
    # Of one node there are so many connections at most, the newest.
    more = [await Raw.at(place.port("b")) for _ in range(6)]
    for one in more:
        one.writer.write(one.frames(place.fleet, 1))
    await until(lambda: len(b.heard) == 8)
    assert len(b.transport._listener._proved["c"]) == listener.MAX_CONNECTIONS_PER_PEER


@contextlib.asynccontextmanager
async def somebody_at_c(place: Place, greeting: bytes) -> AsyncIterator[None]:
    """Somebody where `c` should be, who says this and never reads."""
    held: list[socket.socket] = []
    place.reserved["c"].listen()
    place.reserved["c"].setblocking(False)

    async def accept() -> None:
        while True:
            one, _ = await asyncio.get_running_loop().sock_accept(place.reserved["c"])
            one.send(greeting)
            held.append(one)

    task = asyncio.create_task(accept())
    yield
    task.cancel()
    for one in held:
        one.close()


@scene(placed)
async def test_a_peer_that_never_reads_costs_a_bounded_queue(place: Place, hurry: None) -> None:
    a, b = place.node("a").start(), place.node("b").start()
    big, same = m.Accept("k", m.Ballot(), m.Record(1, "a", b"x" * 8_000)), fleet_hash(place.fleet)
    async with somebody_at_c(place, envelope.challenge(bytes(16), "c", same)), asyncio.timeout(PATIENCE_S):
        while a.counters["half_open"] < 2 or a.counters["dropped_queue"] < 100:
            for _ in range(100):
                a.transport.send("c", big)
            link = a.transport._links["c"]
            assert len(link._queue) <= outbound.MAX_QUEUED_COUNT and link._queued_bytes <= outbound.MAX_QUEUED_BYTES
            await asyncio.sleep(0.002)
        await reaches(a, "b", b, 1)


@pytest.mark.parametrize("kind", ["ack", "acks", "no ack", "noise", "name", "fleet"])
@scene(placed)
async def test_a_peer_that_answers_nonsense_is_told_nothing_and_dialled_again(place: Place, kind: str) -> None:
    same = fleet_hash(place.fleet)
    good = envelope.challenge(bytes(16), "c", same)
    greeting, counter = {
        "ack": (good + envelope.ack(5), "dropped_ack"),
        "acks": (good + b"\xff" * 8, "dials_failed"),
        "no ack": (good + envelope.with_length(b"abc"), "dropped_ack"),
        "noise": (b"\0\0\0\5noise", "dropped_challenge"),
        "name": (envelope.challenge(bytes(16), "b", same), "dropped_challenge"),
        "fleet": (envelope.challenge(bytes(16), "c", "other"), "dropped_challenge"),
    }[kind]
    a = place.node("a").start()
    async with somebody_at_c(place, greeting):
        await until(lambda: a.say("c", 1) or a.counters["dialled"] > 2)
        assert a.counters[counter] >= 2 and a.counters["sent"] == 0 and len(a.lines) <= 1


@scene(placed)
async def test_a_link_with_nothing_to_say_is_closed_and_opened_again(
    place: Place, hurry: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(outbound_connection, "IDLE_TICKS", 12)
    a, b = place.node("a").start(), place.node("b").start()
    await reaches(a, "b", b, 1)
    await until(lambda: a.counters["idle"] == 1 and not b.transport._listener._proved)
    await reaches(a, "b", b, 2)


# ---- Keys ----


def test_a_key_file_that_does_not_fit_is_one_line(tmp_path: Path) -> None:
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


# ---- Nodes that the settings do not list ----


@scene(placed)
async def test_a_name_that_is_not_listed_is_known_by_word_and_heard_by_its_key(place: Place) -> None:
    a, b, c = place.lone("a", 1), place.lone("b", 1), place.lone("c", 1)
    for one in (a, c):
        one.transport.know("b", f"127.0.0.1:{place.port('b')}")
    b.say("a", 1)
    assert b.counters["dropped_name"] == 1
    b.transport.know("a", f"127.0.0.1:{place.port('a')}")
    await reaches(b, "a", a, 2)
    await reaches(a, "b", b, 3)
    # One more than it hears at once is refused until the first has gone; so is whoever has no key of ours.
    await until(lambda: c.say("b", 4) or b.counters["dropped_full"] > 0)
    stranger = await Raw.at(place.port("b"))
    stranger.writer.write(stranger.frames(place.like, 1, secret=b"o" * 40))
    await until(lambda: b.counters["dropped_tag"] == 1)
    await a.transport.close()
    await reaches(c, "b", b, 5)
    assert {sender for sender, _ in b.heard} == {"a", "c"}


@scene(placed)
async def test_so_many_are_known_and_the_one_spoken_to_longest_ago_goes_first(place: Place) -> None:
    a, b = place.lone("a", 2), place.lone("b", 2)
    b.transport.know("a", f"127.0.0.1:{place.port('a')}")
    for number in range(50):
        b.say("a", number)
        b.transport.know(f"x{number}", "127.0.0.1:1")
    assert [*b.transport._addresses.known] == ["a", "x49"] and b.counters["dropped_known"] == 49
    b.transport.forget("a")  # what was said before goes out all the same
    b.say("a", 50)
    await until(lambda: len(a.heard) == 50)
    assert a.heard[-1] == ("b", 49) and b.counters["dropped_name"] == 1
    await until(lambda: not b.transport._retired)


@scene(placed)
async def test_a_node_that_has_moved_is_found_and_a_broken_link_is_told(place: Place) -> None:
    b = place.lone("b", 2)
    b.transport.know("a", f"127.0.0.1:{place.port('c')}")
    b.say("a", 1)
    await until(lambda: "a" in b.failed)
    a = place.lone("a", 2)
    b.transport.know("a", f"127.0.0.1:{place.port('a')}")
    await reaches(b, "a", a, 2)
    b.failed.clear()
    await a.transport.close()
    await until(lambda: b.failed == ["a"])
