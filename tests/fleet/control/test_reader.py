"""Tests readers and relays with two scripted sources; see `reader_world`.

The links lose, delay and replay messages.
"""

import msgspec
import pytest

from oatlink.fleet.control import downstream, feed
from oatlink.fleet.control.age import AGE_BOUND_US, Age
from oatlink.fleet.control.reader import Reader
from oatlink.fleet.control.upstream import WINDOW_PER_READER_US
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.effects import Tell
from tests.fleet.control.reader_world import DRIFT, MS, SECOND, Process, World

RECOVERY_US = 40 * SECOND  # a whole window, two questions to sources, a snapshot


def process(world: World, name: str) -> Process:
    node = world.nodes[name]
    assert isinstance(node, Process)
    return node


def started(seed: int, **more: float) -> World:
    world = World(seed, **more)  # type: ignore[arg-type]
    world.commit_random(60)
    world.run_until_current(RECOVERY_US)
    return world


@pytest.mark.parametrize("seed", range(6))
def test_only_whole_versions_are_in_force_through_crashes_and_cuts_and_then_the_newest(seed: int) -> None:
    world = World(seed, fault_rate=0.05, kept_bytes=1_500)
    draw = world.draw
    for _ in range(60):
        world.commit_random(draw.randrange(4))
        names = list(world.nodes)
        name_a, name_b = draw.choice(names), draw.choice(names)
        event = draw.randrange(8)
        if event == 0 and name_a.startswith("re"):
            world.kill(name_a)
        elif event == 1:
            world.is_cut = lambda sender, receiver, cut_name=name_a, cut_receiver=name_b: (
                (sender, receiver) == (cut_name, cut_receiver)
            )  # type: ignore[misc]
        elif event == 2:
            world.is_cut = lambda sender, receiver, cut_name=name_a: cut_name in (sender, receiver)  # type: ignore[misc]
        elif event == 3 and name_a.startswith("re") and world.nodes[name_a].is_up:
            reader = process(world, name_a)
            reader.carry_out(reader.core.link_failed(name_b, reader.clock()))
        for name in names:
            if not world.nodes[name].is_up and draw.random() < 0.3:
                process(world, name).start()
        world.run_in_steps(2 * SECOND)
    world.is_cut, world.fault_rate = (lambda sender, receiver: False), 0.0
    for name in world.nodes:
        if not world.nodes[name].is_up:
            process(world, name).start()
    world.run_until_current(RECOVERY_US)
    world.run(downstream.CHILD_TIMEOUT_US + 8 * SECOND)  # a child that went elsewhere without a word counts until then
    assert all(
        world.source(0).sums.lag(scope).behind + world.source(1).sums.lag(scope).behind == 0 for scope in world.history
    )


@pytest.mark.parametrize("seed", [1, 7, 19, 86])  # 7, 19, 86: seats are taken while a relay has no data itself yet
def test_a_relay_killed_in_the_middle_of_a_change_costs_less_than_the_stated_bound(seed: int) -> None:
    world = started(seed)
    world.run(2 * SECOND)
    upstreams = {process.core.rows(0)[0][1].split("upstream ")[1].split(",")[0] for process in world.processes()[2:]}
    world.commit("all", c.Entry("urgent", b"1"))
    world.run(2 * MS)  # half of the messages may be on the way
    world.kill(sorted(upstreams)[0])
    world.commit("all", c.Entry("urgent", b"2"))
    assert world.run_until_current(AGE_BOUND_US) <= AGE_BOUND_US


def test_restarting_all_relays_of_a_zone_of_a_hundred_does_not_overload_the_sources() -> None:
    world = World(1, readers=92, relays=8, groups=False)
    world.commit("all", c.Entry("scope/zone/r/z", b"100"))
    world.run_until_current(RECOVERY_US)
    for phase in range(2):
        if phase:
            for number in range(8):
                world.kill(f"relay-{number}")
            world.run(5 * SECOND)
            for number in range(8):
                process(world, f"relay-{number}").start()
        world.commit_random(20)
        world.run_until_current(25 * SECOND)
        assert max(world.joins.values()) <= 1.5 * SECOND / WINDOW_PER_READER_US
        assert max(count for (name, _), count in world.message_counts.items() if "source" in name) <= 150


def test_a_region_cut_off_for_an_hour_reports_its_age_and_comes_back_without_overload() -> None:
    world = started(1)
    state = {process.name: dict(process.core.entries("all")) for process in world.processes()}
    world.is_cut = lambda sender, receiver: sender.startswith("source") or receiver.startswith("source")
    cut_at_us = world.now
    for _ in range(60):
        world.commit_random(10)
        world.run(60 * SECOND)
        for process in world.processes():
            assert process.age() >= world.now - cut_at_us and "behind" in process.core.rows(process.clock())[0][1]
            assert process.age() <= (world.now - cut_at_us) * (1 + 4 * DRIFT) + 3 * SECOND
    assert all(dict(process.core.entries("all")) == state[process.name] for process in world.processes())
    rate = sum(count for (name, _), count in world.message_counts.items() if name == "reader-0") / (world.now / SECOND)
    assert rate < 1  # a report each 5 s and a question each 17 s
    world.is_cut, healed_s = (lambda sender, receiver: False), world.now // SECOND
    world.joins.clear()
    world.run_until_current(RECOVERY_US)
    assert max(world.joins.values()) <= len(world.processes()) / 2
    worst = max(
        count for (name, second), count in world.message_counts.items() if second >= healed_s and "source" in name
    )
    assert worst <= 60  # messages of one source in one second: beats of 8 children, 600 changes by pages of 8 KB
    assert not any("behind" in process.core.rows(process.clock())[0][1] for process in world.processes())


def test_a_replayed_old_stream_changes_nothing() -> None:
    world = started(2)
    world.commit_random(100)
    world.run_until_current(RECOVERY_US)
    recorded = [entry for entry in world.sent if entry[1].startswith("re")]
    world.is_cut = lambda a, b: True
    world.run(20 * SECOND)
    for name in ("reader-0", "relay-0"):
        entry, node = process(world, name).core, process(world, name)
        before = entry.rows(node.clock())[0][1].split(", upstream")[0], [entry.head(s) for s in node.scopes()]
        for sender, to, message in recorded:
            if to == name or sender.startswith("source"):
                node.receive(sender, message)
        assert [entry.head(s) for s in node.scopes()] == before[1]
        assert entry.rows(node.clock())[0][1].split(", upstream")[0] == before[0] and "behind" in before[0]
        assert "dropped nothing" not in entry.rows(node.clock())[0][1]


def test_a_link_that_delays_messages_more_and_more_never_lowers_an_age() -> None:
    world = started(3)
    start_us = world.now
    world.delay_us = lambda sender, receiver: (world.now - start_us) // 3 if sender.startswith("source") else 0
    for _ in range(120):
        world.commit_random()
        world.run_in_steps(500 * MS)  # the world checks each age
    assert any(process.age() > AGE_BOUND_US for process in world.processes())


def test_laggards_are_known_at_the_source_by_name_and_number() -> None:
    world = started(4, groups=False)
    laggard = "reader-2"
    world.is_cut = lambda sender, receiver: receiver == laggard  # it sends reports and receives nothing
    world.commit("all", c.Entry("a", b"1"))
    world.run(4 * SECOND)
    lags = [world.source(number).sums.lag("all") for number in (0, 1)]
    assert sum(lag.readers for lag in lags) >= 6
    assert [name for lag in lags for name in lag.named] == [laggard] and sum(lag.behind for lag in lags) == 1
    world.is_cut = lambda sender, receiver: False
    world.run_until_current(RECOVERY_US)
    world.run(7 * SECOND)
    lags = [world.source(number).sums.lag("all") for number in (0, 1)]
    assert all(lag.behind == 0 and lag.least == lag.head.version for lag in lags)


def test_relays_that_hear_each_other_and_no_source_recover() -> None:
    world = started(5, relays=3, readers=3)
    world.is_cut = lambda sender, receiver: "source" in sender + receiver
    relays = [process(world, f"relay-{number}") for number in range(3)]
    for number, relay in enumerate(relays):  # as if a source had seated them at one another, in a ring
        upstream = relay.core._upstream
        upstream.current, upstream.spare, upstream._heard_us = (
            c.Place(f"relay-{(number + 1) % 3}", "a"),
            None,
            relay.clock(),
        )
        upstream.request_resubscribe(relay.clock())
        relay.known_peers[upstream.peer] = None
        relay.wake()
    world.run(20 * SECOND)
    assert all(relay.age() > 15 * SECOND for relay in relays)
    world.is_cut = lambda sender, receiver: False
    world.commit_random(5)
    world.run_until_current(RECOVERY_US)


def test_a_child_that_is_dropped_as_an_upstream_stays_a_known_peer() -> None:
    world = started(11)
    reader = process(world, "reader-0")
    relay = process(world, reader.core._upstream.peer)
    relay.core._upstream.spare = c.Place("reader-0", "a")
    relay.carry_out(relay.core.link_failed(relay.core._upstream.peer, relay.clock()))
    assert relay.core._upstream.peer == "reader-0" in relay.core._downstream
    relay.receive("reader-0", c.Refused(1, "bad"))
    assert relay.core._upstream.peer != "reader-0" in relay.core._downstream and "reader-0" in relay.known_peers
    world.run(2 * SECOND)  # it was told to leave and goes elsewhere
    assert "reader-0" not in relay.core._downstream and "reader-0" not in relay.known_peers
    world.run_until_current(RECOVERY_US)


def test_a_child_that_asks_for_an_unknown_scope_does_not_cost_its_relay_the_upstream() -> None:
    world = started(6)
    relay = process(world, "relay-0")
    for number in range(40):
        relay.receive(f"odd-{number}", c.Subscribe(1, (c.Head(f"group/none-{number}"),)))
        relay.receive(f"odd-{number}", c.Leave(1))
        world.run(200 * MS)
    assert relay.core._upstream.peer and len(relay.core._tables) <= c.MAX_SCOPES_PER_READER
    relay.receive("odd", c.Subscribe(1, tuple(c.Head(f"group/many-{number}") for number in range(16))))
    assert "odd" not in relay.core._downstream  # more than it can take for any child
    relay.receive("odd", c.Subscribe(1, (c.Head("names/r/z"),)))
    assert "odd" not in relay.core._downstream
    world.run_until_current(RECOVERY_US)


def test_only_possible_messages_of_the_upstream_are_applied_and_a_gap_is_requested() -> None:
    world = started(9, groups=False)
    reader = process(world, "reader-0")
    core, upstream, version = reader.core, reader.core._upstream, reader.core.head("all").version
    other = next(name for name in world.nodes if name not in ("reader-0", upstream.peer))
    reader.receive(other, c.Changes("all", (c.Delta(0, version + 1, (c.Entry("k", b"1"),)),)))
    large_entries = tuple(c.Entry(f"k{number}", bytes(4_000)) for number in range(4))
    for impossible in (
        c.Changes("all", ()),
        c.Changes("all", (c.Delta(0, version + 1, large_entries),)),
        c.Changes("all", (c.Delta(-1, version + 1, ()),)),
        c.Page("all", 0, version + 9, version + 9, version, "", (c.Entry("b", b"1"), c.Entry("a", b"1")), True),
        c.Page("all", 0, version + 9, version + 9, version, "", large_entries, True),
        c.Page("all", 0, version + 9, version + 9, version, "", (), False),
        c.Changes("group/other", (c.Delta(0, 1, ()),)),
    ):
        reader.receive(upstream.peer, impossible)
    assert core.head("all").version == version and not core._tables["all"].snapshot_progress
    counts = core._drops.counts
    assert (counts["impossible changes"], counts["impossible page"], counts["scope not taken"]) == (3, 3, 1)
    assert len([note for note in reader.notes if "impossible" in note.text]) == 2  # one line per reason and minute
    world.run(2 * SECOND)
    (beat_us,) = (upstream._resubscribe_us,)
    reader.receive(upstream.peer, c.Changes("all", (c.Delta(0, version + 2, ()),)))
    assert (
        beat_us > reader.clock() and upstream._subscribed_us == reader.clock()
    )  # at once because of the gap, not by a later beat
    reader.receive(upstream.peer, c.Page("all", 0, version + 9, version + 9, version, "", (c.Entry("a", b"1"),)))
    for _ in range(4):  # another upstream is behind: its snapshots begin before the one under way
        assert core._tables["all"].snapshot_progress
        reader.receive(upstream.peer, c.Page("all", 0, version + 8, version + 8, version, "", (c.Entry("a", b"1"),)))
    assert not core._tables["all"].snapshot_progress
    relay = process(world, "relay-0")
    peer, child = relay.core._upstream.peer, c.Subscribe(1, (c.Head("all"),))
    (refused,) = [
        effect.message for effect in relay.core.receive(peer, child, relay.clock()) if isinstance(effect, Tell)
    ]
    assert (
        isinstance(refused, c.Refused) and refused.reason == "bad"
    )  # no two processes may hear each other and no source


def test_a_scope_taken_again_is_not_covered_by_the_earlier_age() -> None:
    world = started(10, groups=False)
    relay = process(world, "relay-0")
    relay.receive("child", c.Subscribe(1, (c.Head("group/g"),)))
    world.run(4 * SECOND)
    assert relay.core._updates.covers("group/g")
    relay.receive("child", c.Leave(1))
    relay.core._add_scopes(tuple(f"group/{number}" for number in range(13)))  # there is only room in its place
    relay.core._drop_unknown_scopes(relay.clock())
    assert relay.core._add_scopes(("group/g",)) and not relay.core._updates.covers("group/g")
    heads = tuple(table.head for table in relay.core._tables.values())
    relay.receive(relay.core._upstream.peer, c.Beat(60_000, heads, relay.core._age._last_mark))
    assert not relay.core._updates.covers("group/g")  # older than what the reader's age says
    relay.receive(relay.core._upstream.peer, c.Beat(0, heads, relay.core._age._last_mark, 1 << 30))
    assert relay.core._updates.covers("group/g")


def test_a_scope_that_the_upstream_does_not_name_is_requested_again() -> None:
    world = started(12, groups=False)
    relay = process(world, "relay-0")
    core, heads = relay.core, tuple(relay.core.head(scope) for scope in relay.scopes())
    core._add_scopes(("group/g",))  # and the subscription for it is lost
    peer, mark = core._upstream.peer, core._age._last_mark
    effects = [
        effect
        for _ in range(3)
        for effect in core.receive(peer, c.Beat(0, heads, mark, 1 << 30), relay.clock() + SECOND)
    ]
    assert [
        len(effect.message.heads)
        for effect in effects
        if isinstance(effect, Tell) and isinstance(effect.message, c.Subscribe)
    ] == [4]


def test_an_age_is_not_raised_by_an_older_report() -> None:
    age = Age(DRIFT, 1)
    age.update(100, 0)
    age.update(9 * SECOND, SECOND)
    assert SECOND < age.age_us(SECOND) < 1.01 * SECOND and not age.is_behind(SECOND) and age.is_behind(6 * SECOND)


def test_the_bounds_of_a_reader_and_its_orderly_end() -> None:
    place = c.Place("x", "a")
    with pytest.raises(ValueError, match="17 scopes"):
        Reader(place, "r", "z", tuple(map(str, range(14))), 1, (place,), 0, DRIFT, 1, 0)
    world = started(7)
    relay = process(world, "relay-1")
    farewells = [(effect.to, effect.message) for effect in relay.core.leave(relay.clock()) if isinstance(effect, Tell)]
    assert len(farewells) == 1 + len(relay.core._downstream) and all(message == c.Leave(1) for _, message in farewells)
    assert not relay.core.tick(relay.clock() + SECOND)
    reader = process(world, "reader-0")
    (refused,) = [
        effect.message
        for effect in reader.core.receive("y", c.Subscribe(1, (c.Head("all"),)), reader.clock())
        if isinstance(effect, Tell)
    ]
    assert isinstance(refused, c.Refused) and refused.reason == "full"


def test_a_reader_costs_what_the_design_page_states() -> None:
    world = started(8, readers=6, relays=2, groups=False)
    world.run(60 * SECOND)
    sent = [(sender, receiver, len(msgspec.msgpack.encode(message))) for sender, receiver, message in world.sent]
    began = len(sent)
    world.run(60 * SECOND)
    sent = [(sender, receiver, len(msgspec.msgpack.encode(message))) for sender, receiver, message in world.sent][
        began:
    ]
    sizes = [size for sender, receiver, size in sent if "reader-0" in (sender, receiver)]
    assert 60 <= len(sizes) <= 80 and sum(sizes) / 60 <= 100
    assert feed.CATCH_UP_BYTES_PER_S == 131_072 and downstream.CHILD_TIMEOUT_US == 15 * SECOND


def test_a_relay_subscribes_again_for_a_childs_scope_when_its_message_was_lost() -> None:
    world = World(5, readers=0, relays=1)
    world.run_until_current(30 * SECOND)
    original, until_us = world.send, world.now + 20 * SECOND

    def send(sender: str, tell: Tell) -> None:
        message = tell.message
        of_groups = isinstance(message, c.Subscribe) and any(head.scope.startswith("group/") for head in message.heads)
        if not (sender == "relay-0" and of_groups and world.now < until_us):
            original(sender, tell)

    world.send = send  # type: ignore[method-assign]
    world.nodes["reader-0"] = Process(world, "reader-0", 0, ("g",))
    world.commit("group/g", c.Entry("k", b"1"))
    world.run(20 * SECOND)
    world.run_until_current(20 * SECOND)
