"""A node's life in a fleet of real processes: it joins, leaves, dies, stands still, is cut off, is another's double.

`life_world.lived` says of every scene: no fault in a log, no wrong answer, never more admitted than the quota allows.
"""

import asyncio
import os
import random
import resource
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from oatlink.fleet import envelope
from oatlink.fleet import messages as m
from oatlink.fleet.shell.files import NAME
from tests.fleet import life_world
from tests.fleet.life_strangers import Stranger, Tap, Witness
from tests.fleet.life_world import HOME, World, home, home_of, lived, others, own_over, until
from tests.scenes import scene

VOTING = "votes"


# ---- Life and death ----


@scene(lived)
async def test_a_node_joins_under_load_and_what_it_holds_goes_back_when_it_leaves(world: World) -> None:
    three = await world.started(0, 1, 2)
    load = world.load(*three, world.gateway(3))
    await load.goes_on("g0", "g1", "g2")
    joined = await world.made[-1].start()
    await until(lambda: own_over(load, "g3") > 0)
    assert await joined.end() == 0 and ("stopped", "") in joined.lines
    witness = Witness(world, HOME).start()
    for _ in range(3):  # on a machine that stands still a release may be lost, and then a term is waited for
        leaver = await home(three)
        assert await leaver.end() == 0
        left = others(three, leaver)
        assert (await home(left, leaver.name)) is not leaver
        await load.goes_on(*(one.name for one in left))
        if (leaver.name, True) in witness.leases:
            break
        await leaver.start()
    await witness.stop()
    assert (leaver.name, True) in witness.leases


@scene(lived)
async def test_a_killed_node_votes_at_once_with_its_file_and_after_copying_without_it(world: World) -> None:
    three = await world.started(0, 1, 2)
    load = world.load(*three)
    killed = await home(three)
    number = three.index(killed)
    await killed.end(signal.SIGKILL)
    # Cut off it can copy from nobody, so what it says now is what it has from its file.
    world.wires.cut((number,), out=True, into=True)
    await killed.start()
    assert (await killed.rows())["keeper"] == VOTING
    await killed.end(signal.SIGKILL)
    shutil.rmtree(killed.state)
    await killed.start()
    for _ in range(3):
        assert (await killed.rows())["keeper"] == "does not vote yet"
        await load.goes_on(killed.name, more=2)  # its floor
    world.wires.heal()
    await killed.shows(lambda rows: rows["keeper"] == VOTING)
    assert len(await killed.told("keeper_votes", 2)) == 2 and not killed.said("keeper off")
    await load.goes_on("g0", "g1", "g2")
    # What it has copied suffices with one of the others: the third goes.
    last = others(three, killed)[0]
    assert await last.end() == 0
    await home(others(three, last), last.name)
    await until(lambda: own_over(load, killed.name) > 0)


@scene(lived)
async def test_others_take_over_from_one_that_stands_still_and_it_goes_on_afterwards(world: World) -> None:
    three = await world.started(0, 1, 2)
    load = world.load(*three)
    still = await home(three)
    await load.goes_on("g0", "g1", "g2")
    still.send(signal.SIGSTOP)
    stopped = asyncio.ensure_future(asyncio.sleep(3))
    left = others(three, still)
    new = await home(left, still.name)
    await load.goes_on(*(one.name for one in left))
    await stopped
    still.send(signal.SIGCONT)
    await still.shows(lambda rows: home_of(rows) == new.name)
    await load.goes_on("g0", "g1", "g2")
    assert (await still.rows())["keeper"] == VOTING


@scene(lived)
async def test_without_a_keeper_the_floor_is_served_and_the_rest_is_told_when_to_come_back(world: World) -> None:
    world.wires.cut((2,), out=True, into=True)
    both = await world.started(2, 3)
    load = world.load(*both)
    await load.goes_on("g2", "g3", more=25)
    for one in both:
        assert own_over(load, one.name) <= 0
        refused = sum(not each.admitted for each in load.served if each.node == one.name)
        rows = await one.rows()
        assert refused and home_of(rows) == "unknown" and rows["links up"] == one.name
        assert not one.said("keeper_votes")
    assert (await both[0].rows())["keeper"] == "does not vote yet" and "keeper" not in await both[1].rows()


@scene(lived)
async def test_a_minority_serves_its_floors_while_cut_off_and_has_grants_again(world: World) -> None:
    three = await world.started(0, 1, 2)
    load = world.load(*three)
    lone = await home(three)
    await until(lambda: own_over(load, lone.name) > 0)
    world.wires.cut((three.index(lone),), out=True, into=True)
    cut = time.monotonic()  # nothing that it asks for from now on is answered
    left = others(three, lone)
    await home(left, lone.name)
    await lone.shows(lambda rows: home_of(rows) == "unknown")
    ended = cut + 2.01  # its lease's term by its clock, renewed before the cut; its grants end earlier
    await until(lambda: time.monotonic() > ended)
    await load.goes_on(lone.name)
    assert own_over(load, lone.name, ended) <= 0
    await until(lambda: all(own_over(load, one.name, ended) > 0 for one in left))
    world.wires.heal()
    healed = time.monotonic()
    await until(lambda: own_over(load, lone.name, healed) > 0)
    assert home_of(await lone.rows()) in {one.name for one in left}


# ---- Another's name, another's settings ----


@scene(lived)
async def test_a_second_process_of_one_name_has_no_share_of_anything(world: World) -> None:
    three = await world.started(0, 1, 2)
    load = world.load(*three)
    await load.goes_on("g0", more=3)
    before, file = [list(one.lines) for one in three], (three[0].state / NAME).stat().st_ino
    second = await world.gateway(0, spare=True).start()
    at_second = world.load(second)
    await until(lambda: len(at_second.served) > 60 and at_second.free["g0"] > 15)
    assert at_second.admitted() == 0
    off = await second.told("fleet off")
    assert len(off) == 1 and off[0].startswith(f"127.0.0.1:{world.ports[0]}: ")
    assert await second.rows() == {"node": "off"}
    await load.goes_on("g0", "g1", "g2")
    assert await second.end() == 0
    # The same name at another address: to the others its list is another fleet's.
    nodes = world.part(0)["nodes"]
    nodes[0]["address"] = f"127.0.0.1:{world.more_port}"
    state = str(world.folder / "state-other")
    other = await world.gateway(0, spare=True, nodes=nodes, state_dir=state).start()
    await other.counts(dropped_challenge=6)
    text = "its settings' fleet part differs from ours"
    assert sorted(await other.told("fleet peer not as expected", 2)) == [f"g1: {text}", f"g2: {text}"]
    rows = await other.rows()
    assert rows["keeper"] == "does not vote yet" and rows["links up"] == "g0" and home_of(rows) == "unknown"
    await load.goes_on("g0", "g1", "g2")
    assert [one.lines for one in three] == before and (three[0].state / NAME).stat().st_ino == file
    assert (await three[0].rows())["keeper"] == VOTING


@scene(lived)
async def test_peers_of_a_newer_version_or_another_name_are_counted_and_disturb_nobody(world: World) -> None:
    three = await world.started(0, 1, 2)
    load, port = world.load(*three, clients=2), world.ports[0]
    for _ in range(3):
        newer = await Stranger.at(port)
        newer.send(newer.hello("g3", version=m.VERSION + 1))
        await newer.closed()
    for _ in range(2):
        double = await Stranger.at(port)
        await double.send(double.hello("g1")).closed()
    unlisted = await Stranger.at(port)
    await unlisted.send(unlisted.hello("g9")).closed()
    known = await Stranger.at(port)
    known.send(known.hello("g3")).send(known.frame(envelope.encode(Unheard(1))))
    await three[0].counts(dropped_unknown=1)
    known.send(known.frame(envelope.encode(Unheard(2))))  # the connection still stands
    counts = await three[0].counts(dropped_unknown=2)
    known.close()
    assert counts["dropped_version"] == 3 and counts["dropped_twice"] == 2 and counts["dropped_name"] == 1
    assert sorted(await three[0].told("fleet peer refused", 3)) == [
        "a name that is not in fleet.nodes",
        "g1: another process has this name, and is alive",
        f"g3: version {m.VERSION + 1}, this node knows {m.VERSION}",
    ]
    assert {"g0", "g1", "g2"} <= {*(await three[0].rows())["links up"].split()}
    await load.goes_on("g0", "g1", "g2")


class Unheard(m.Message, frozen=True):
    """What a later version may say."""

    number: int


# ---- What comes from outside ----


@pytest.fixture
def many_files() -> Iterator[None]:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8_192), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@scene(lived)
async def test_bad_input_at_the_fleets_port_costs_nobody_anything(world: World, many_files: None) -> None:
    tap, port, rng = Tap(world.ports[0]), world.ports[0], random.Random(7)
    world.changed[1] = {"routes": {**world.part(1)["routes"], "g0": f"127.0.0.1:{await tap.start()}"}}
    three = await world.started(0, 1, 2)
    load = world.load(*three)
    await load.goes_on("g0", "g1", "g2")
    dribbler, half = await Stranger.at(port), await Stranger.at(port)
    slow = asyncio.gather(dribbler.closed(dribbler.hello("g3")), half.send(half.hello("g3")[:30]).closed())
    for junk in (rng.randbytes(65_536), b"\xff\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n", b"\0" * 4_096):
        await (await Stranger.at(port)).send(junk).closed()
    for _ in range(20):
        await (await Stranger.at(port)).send(envelope.with_length(rng.randbytes(rng.randrange(512)))).closed()
    wrong = await Stranger.at(port)
    await wrong.send(wrong.hello("g1", key=envelope.derive_key(b"w" * 40))).closed()
    assert len(tap.taken) > 1_000
    for _ in range(3):  # all that g1 has said to g0 so far, once more
        await (await Stranger.at(port)).send(bytes(tap.taken)).closed()
    liar = await Stranger.at(port)
    liar.send(liar.hello("g3")).send(liar.frame(b"x" * 40)).send(envelope.with_length(b"\0" * 8 + b"y" * 40))
    await liar.closed()
    await slow
    mute = await asyncio.gather(*(asyncio.open_connection("127.0.0.1", port) for _ in range(2_000)))
    counts = await three[0].counts(dropped_crowd=1_900)
    await load.goes_on("g0", "g1", "g2")
    for _, writer in mute:
        writer.transport.abort()
    assert counts["dropped_long"] >= 3 and counts["dropped_hello"] >= 20 and counts["dropped_unknown"] == 1
    assert counts["dropped_unproved"] >= 2 and counts["dropped_tag"] == 5, counts
    # Each frame of g1's, twice on its own connection.
    world.wires.links[2, 0].duplicate = 1.0
    await three[0].counts(dropped_replay=5)
    await load.goes_on("g0", "g1", "g2")
    tap.stop()


# ---- The keeper's file ----


def cut_at_its_end(at: life_world.Gateway) -> None:
    os.truncate(at.state / NAME, (at.state / NAME).stat().st_size - 1)


@scene(lived)
async def test_a_file_that_cannot_be_kept_or_trusted_ends_the_keeper_and_not_the_gateway(world: World) -> None:
    three = await world.started(0, 1, 2)
    load = world.load(*three, clients=2)
    await load.goes_on("g0", "g1", "g2")
    # The disk of one is full: the two others keep on.
    resource.prlimit(three[0].pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
    await three[0].told("keeper silent")
    await load.goes_on("g0", "g1", "g2")
    assert len(three[0].said("keeper silent")) == 1
    assert (await three[0].rows())["keeper"].startswith("silent") and (await three[1].rows())["keeper"] == VOTING
    assert await asyncio.gather(*(one.end() for one in three)) == [0, 0, 0]
    shutil.copy(three[0].state / NAME, three[2].state / NAME)  # another node's
    cut_at_its_end(three[0])
    life_world.flipped_in_the_middle(three[1])
    await asyncio.gather(*(one.start() for one in three))
    await load.goes_on("g0", "g1", "g2", more=3)  # their floors
    await three[0].end(signal.SIGKILL)
    shutil.rmtree(three[0].state)
    three[0].state.write_text("")  # not a directory
    await three[0].start()
    await load.goes_on("g0", more=3)
    for one, expected in zip(three, (2, 1, 1), strict=True):
        off = await one.told("keeper off", expected)
        assert len(off) == expected and all(str(one.state) in text for text in off), off
        assert "keeper" not in await one.rows() and not one.said("keeper_votes")[1:]


# ---- Settings, and no fleet at all ----


def _two_keepers(world: World) -> None:
    world.changed[0] = {"nodes": [{**one, "keeper": at < 2} for at, one in enumerate(world.part(0)["nodes"])]}


def _floor_over_the_rate(world: World) -> None:
    world.changed[0] = {"tenants": [{**one, "floor": 1.1} for one in world.part(0)["tenants"]]}


MISTAKES: dict[str, tuple[Callable[[World], None], str]] = {
    "keys": (lambda world: world.key.chmod(0o640), "fleet.key_files: "),
    "node": (
        lambda world: world.changed.update({0: {"node": "g7"}}),
        "fleet.node: expected a name in fleet.nodes, got 'g7'",
    ),
    "keepers": (_two_keepers, "fleet.nodes: expected an odd number of keepers, got 2"),
    "floor": (_floor_over_the_rate, "fleet.tenants[0].floor: "),
}


def test_a_mistake_in_the_settings_is_one_line_and_no_gateway(tmp_path: Path) -> None:
    asked = []
    for mistake, (make, text) in MISTAKES.items():
        world = World(tmp_path / mistake)
        make(world)
        file = str(world.gateway(0).file)
        for word in ("gateway", "check-settings"):
            words = [sys.executable, "-m", "oatlink", word, file]
            pipe = subprocess.PIPE
            asked.append((mistake, word, text, subprocess.Popen(words, stdout=pipe, stderr=pipe, text=True)))
        world.free()
    for mistake, word, text, process in asked:
        out, line = process.communicate(timeout=life_world.PATIENCE_S)
        if word == "check-settings" and mistake == "keys":
            assert process.returncode == 0, "settings are checked where their keys need not be"
            continue
        assert process.returncode == 2 and not out, (mistake, word, out, line)
        assert line.startswith("oatlink: ") and text in line and line.count("\n") == 1, (mistake, word, line)


@scene(lived)
async def test_without_a_fleet_part_there_is_nothing_of_it(world: World) -> None:
    plain, part = world.gateway(0, fleet=False), world.gateway(1)
    await asyncio.gather(plain.start(), part.start())
    one = await life_world.Client.to(plain.port, f"{life_world.TENANT}-1")
    for _ in range(300):
        assert (await one.ask("GET", "k"))[:1] == b"$"
    one.close()
    assert listening(plain.pid) == {plain.port, plain.admin}
    assert len(os.listdir(f"/proc/{plain.pid}/task")) == 1
    assert not plain.state.exists()
    operator = await life_world.Client.to(plain.admin)
    assert (await operator.ask("FLEET")).startswith(b"-ERR no fleet")
    operator.close()
    # The same looks find it where there is one.
    assert listening(part.pid) == {part.port, part.admin, world.ports[1]} and part.state.exists()
    await part.shows(lambda rows: rows["keeper"] == "does not vote yet")
    await until(lambda: len(os.listdir(f"/proc/{part.pid}/task")) > 1)


def listening(pid: int) -> set[int]:
    """The TCP ports on which a process listens."""
    inodes = set()
    for one in os.listdir(f"/proc/{pid}/fd"):
        try:
            inodes.add(os.readlink(f"/proc/{pid}/fd/{one}"))
        except FileNotFoundError:
            continue
    found = set()
    for name in ("tcp", "tcp6"):
        for line in Path(f"/proc/{pid}/net/{name}").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] == "0A" and f"socket:[{fields[9]}]" in inodes:
                found.add(int(fields[1].rsplit(":", 1)[1], 16))
    return found
