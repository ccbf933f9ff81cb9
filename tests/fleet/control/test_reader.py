"""Readers and relays before two scripted sources, on links that lose, hold and play again; see `reader_world`."""

import msgspec
import pytest

from oatlink.fleet.control import downstream, feed
from oatlink.fleet.control.age import AGE_BOUND_US, Age
from oatlink.fleet.control.reader import Reader
from oatlink.fleet.control.upstream import WINDOW_PER_READER_US
from oatlink.fleet.messages import control as c
from oatlink.fleet.messages.effects import Tell
from tests.fleet.control.reader_world import DRIFT, MS, SECOND, Process, World

ROUND_US = 40 * SECOND  # a whole window, two sources asked, a snapshot


def process(world: World, name: str) -> Process:
    one = world.nodes[name]
    assert isinstance(one, Process)
    return one


def started(seed: int, **more: float) -> World:
    world = World(seed, **more)  # type: ignore[arg-type]
    world.commit_random(60)
    world.run_until_current(ROUND_US)
    return world


@pytest.mark.parametrize("seed", range(6))
def test_only_whole_versions_are_in_force_through_crashes_and_cuts_and_then_the_newest(seed: int) -> None:
    world = World(seed, fault_rate=0.05, kept_bytes=1_500)
    draw = world.draw
    for _ in range(60):
        world.commit_random(draw.randrange(4))
        names = list(world.nodes)
        one, other = draw.choice(names), draw.choice(names)
        what = draw.randrange(8)
        if what == 0 and one.startswith("re"):
            world.kill(one)
        elif what == 1:
            world.is_cut = lambda a, b, x=one, y=other: (a, b) == (x, y)  # type: ignore[misc]
        elif what == 2:
            world.is_cut = lambda a, b, x=one: x in (a, b)  # type: ignore[misc]
        elif what == 3 and one.startswith("re") and world.nodes[one].is_up:
            near = process(world, one)
            near.carry_out(near.core.link_failed(other, near.clock()))
        for name in names:
            if not world.nodes[name].is_up and draw.random() < 0.3:
                process(world, name).start()
        world.run_in_steps(2 * SECOND)
    world.is_cut, world.fault_rate = (lambda a, b: False), 0.0
    for name in world.nodes:
        if not world.nodes[name].is_up:
            process(world, name).start()
    world.run_until_current(ROUND_US)
    world.run(downstream.CHILD_TIMEOUT_US + 8 * SECOND)  # a child that went elsewhere unheard counts until then
    assert all(world.source(0).sums.lag(s).behind + world.source(1).sums.lag(s).behind == 0 for s in world.history)


@pytest.mark.parametrize("seed", [1, 7, 19, 86])  # 7, 19, 86: seats taken while a relay had no word itself yet
def test_a_relay_killed_in_the_middle_of_a_change_costs_less_than_the_stated_bound(seed: int) -> None:
    world = started(seed)
    world.run(2 * SECOND)
    upstreams = {one.core.rows(0)[0][1].split("upstream ")[1].split(",")[0] for one in world.processes()[2:]}
    world.commit("all", c.Entry("urgent", b"1"))
    world.run(2 * MS)  # half of it may be on the way
    world.kill(sorted(upstreams)[0])
    world.commit("all", c.Entry("urgent", b"2"))
    assert world.run_until_current(AGE_BOUND_US) <= AGE_BOUND_US


def test_restarting_all_relays_of_a_zone_of_a_hundred_does_not_overload_the_sources() -> None:
    world = World(1, readers=92, relays=8, groups=False)
    world.commit("all", c.Entry("scope/zone/r/z", b"100"))
    world.run_until_current(ROUND_US)
    for phase in range(2):
        if phase:
            for n in range(8):
                world.kill(f"relay-{n}")
            world.run(5 * SECOND)
            for n in range(8):
                process(world, f"relay-{n}").start()
        world.commit_random(20)
        world.run_until_current(25 * SECOND)
        assert max(world.joins.values()) <= 1.5 * SECOND / WINDOW_PER_READER_US
        assert max(count for (name, _), count in world.message_counts.items() if "source" in name) <= 150


def test_a_region_cut_off_for_an_hour_reports_its_age_and_comes_back_without_overload() -> None:
    world = started(1)
    state = {one.name: dict(one.core.entries("all")) for one in world.processes()}
    world.is_cut = lambda a, b: a.startswith("source") or b.startswith("source")
    began = world.now
    for _ in range(60):
        world.commit_random(10)
        world.run(60 * SECOND)
        for one in world.processes():
            assert one.age() >= world.now - began and "behind" in one.core.rows(one.clock())[0][1]
            assert one.age() <= (world.now - began) * (1 + 4 * DRIFT) + 3 * SECOND
    assert all(dict(one.core.entries("all")) == state[one.name] for one in world.processes())
    quiet = sum(count for (name, _), count in world.message_counts.items() if name == "reader-0") / (world.now / SECOND)
    assert quiet < 1  # a report each 5 s, a question each 17 s
    world.is_cut, healed = (lambda a, b: False), world.now // SECOND
    world.joins.clear()
    world.run_until_current(ROUND_US)
    assert max(world.joins.values()) <= len(world.processes()) / 2
    worst = max(
        count for (name, second), count in world.message_counts.items() if second >= healed and "source" in name
    )
    assert worst <= 60  # words of one source in one second: beats of 8 children, 600 changes by pages of 8 KB
    assert not any("behind" in one.core.rows(one.clock())[0][1] for one in world.processes())


def test_a_replayed_old_stream_changes_nothing() -> None:
    world = started(2)
    world.commit_random(100)
    world.run_until_current(ROUND_US)
    old = [one for one in world.sent if one[1].startswith("re")]
    world.is_cut = lambda a, b: True
    world.run(20 * SECOND)
    for name in ("reader-0", "relay-0"):
        one, node = process(world, name).core, process(world, name)
        before = one.rows(node.clock())[0][1].split(", upstream")[0], [one.head(s) for s in node.scopes()]
        for sender, to, message in old:
            if to == name or sender.startswith("source"):
                node.receive(sender, message)
        assert [one.head(s) for s in node.scopes()] == before[1]
        assert one.rows(node.clock())[0][1].split(", upstream")[0] == before[0] and "behind" in before[0]
        assert "dropped nothing" not in one.rows(node.clock())[0][1]


def test_a_link_that_delays_messages_more_and_more_never_lowers_an_age() -> None:
    world = started(3)
    began = world.now
    world.delay_us = lambda a, b: (world.now - began) // 3 if a.startswith("source") else 0
    for _ in range(120):
        world.commit_random()
        world.run_in_steps(500 * MS)  # the world's judge looks at each age
    assert any(one.age() > AGE_BOUND_US for one in world.processes())


def test_laggards_are_known_at_the_source_by_name_and_number() -> None:
    world = started(4, groups=False)
    deaf = "reader-2"
    world.is_cut = lambda a, b: b == deaf  # it reports, and hears nothing
    world.commit("all", c.Entry("a", b"1"))
    world.run(4 * SECOND)
    lags = [world.source(n).sums.lag("all") for n in (0, 1)]
    assert sum(one.readers for one in lags) >= 6
    assert [name for one in lags for name in one.named] == [deaf] and sum(one.behind for one in lags) == 1
    world.is_cut = lambda a, b: False
    world.run_until_current(ROUND_US)
    world.run(7 * SECOND)
    lags = [world.source(n).sums.lag("all") for n in (0, 1)]
    assert all(one.behind == 0 and one.least == one.head.version for one in lags)


def test_relays_that_hear_each_other_and_no_source_recover() -> None:
    world = started(5, relays=3, readers=3)
    world.is_cut = lambda a, b: "source" in a + b
    relays = [process(world, f"relay-{n}") for n in range(3)]
    for n, one in enumerate(relays):  # as if a source had seated them on one another, in a ring
        up = one.core._upstream
        up.current, up.spare, up._heard_us = c.Place(f"relay-{(n + 1) % 3}", "a"), None, one.clock()
        up.request_resubscribe(one.clock())
        one.known_peers[up.peer] = None
        one.wake()
    world.run(20 * SECOND)
    assert all(one.age() > 15 * SECOND for one in relays)
    world.is_cut = lambda a, b: False
    world.commit_random(5)
    world.run_until_current(ROUND_US)


def test_a_child_that_is_dropped_as_an_upstream_stays_a_known_peer() -> None:
    world = started(11)
    reader = process(world, "reader-0")
    relay = process(world, reader.core._upstream.peer)
    relay.core._upstream.spare = c.Place("reader-0", "a")
    relay.carry_out(relay.core.link_failed(relay.core._upstream.peer, relay.clock()))
    assert relay.core._upstream.peer == "reader-0" in relay.core._downstream
    relay.receive("reader-0", c.Refused(1, "bad"))
    assert relay.core._upstream.peer != "reader-0" in relay.core._downstream and "reader-0" in relay.known_peers
    world.run(2 * SECOND)  # told to leave, it goes elsewhere
    assert "reader-0" not in relay.core._downstream and "reader-0" not in relay.known_peers
    world.run_until_current(ROUND_US)


def test_a_child_that_asks_for_an_unknown_scope_does_not_cost_its_relay_the_upstream() -> None:
    world = started(6)
    relay = process(world, "relay-0")
    for n in range(40):
        relay.receive(f"odd-{n}", c.Subscribe(1, (c.Head(f"group/none-{n}"),)))
        relay.receive(f"odd-{n}", c.Leave(1))
        world.run(200 * MS)
    assert relay.core._upstream.peer and len(relay.core._tables) <= c.MOST_SCOPES
    relay.receive("odd", c.Subscribe(1, tuple(c.Head(f"group/many-{n}") for n in range(16))))
    assert "odd" not in relay.core._downstream  # more than it can take for anybody
    relay.receive("odd", c.Subscribe(1, (c.Head("names/r/z"),)))
    assert "odd" not in relay.core._downstream
    world.run_until_current(ROUND_US)


def test_only_possible_messages_of_the_upstream_are_applied_and_a_gap_is_requested() -> None:
    world = started(9, groups=False)
    one = process(world, "reader-0")
    core, up, at = one.core, one.core._upstream, one.core.head("all").version
    other = next(name for name in world.nodes if name not in ("reader-0", up.peer))
    one.receive(other, c.Changes("all", (c.Delta(0, at + 1, (c.Entry("k", b"1"),)),)))
    small = tuple(c.Entry(f"k{n}", bytes(4_000)) for n in range(4))
    for odd in (
        c.Changes("all", ()),
        c.Changes("all", (c.Delta(0, at + 1, small),)),
        c.Changes("all", (c.Delta(-1, at + 1, ()),)),
        c.Page("all", 0, at + 9, at + 9, at, "", (c.Entry("b", b"1"), c.Entry("a", b"1")), True),
        c.Page("all", 0, at + 9, at + 9, at, "", small, True),
        c.Page("all", 0, at + 9, at + 9, at, "", (), False),
        c.Changes("group/other", (c.Delta(0, 1, ()),)),
    ):
        one.receive(up.peer, odd)
    assert core.head("all").version == at and not core._tables["all"].snapshot_progress
    counts = core._drops.counts
    assert (counts["impossible changes"], counts["impossible page"], counts["scope not taken"]) == (3, 3, 1)
    assert len([note for note in one.notes if "impossible" in note.text]) == 2  # a line a reason, once a minute
    world.run(2 * SECOND)
    (beat_us,) = (up._resubscribe_us,)
    one.receive(up.peer, c.Changes("all", (c.Delta(0, at + 2, ()),)))
    assert beat_us > one.clock() and up._subscribed_us == one.clock()  # at once, by the gap and not by a beat later
    one.receive(up.peer, c.Page("all", 0, at + 9, at + 9, at, "", (c.Entry("a", b"1"),)))
    for _ in range(4):  # another upstream is behind: its snapshots begin before the one under way
        assert core._tables["all"].snapshot_progress
        one.receive(up.peer, c.Page("all", 0, at + 8, at + 8, at, "", (c.Entry("a", b"1"),)))
    assert not core._tables["all"].snapshot_progress
    relay = process(world, "relay-0")
    peer, child = relay.core._upstream.peer, c.Subscribe(1, (c.Head("all"),))
    (refused,) = [e.message for e in relay.core.receive(peer, child, relay.clock()) if isinstance(e, Tell)]
    assert isinstance(refused, c.Refused) and refused.reason == "bad"  # two that hear each other and no source


def test_a_scope_taken_again_is_not_covered_by_the_earlier_age() -> None:
    world = started(10, groups=False)
    relay = process(world, "relay-0")
    relay.receive("child", c.Subscribe(1, (c.Head("group/g"),)))
    world.run(4 * SECOND)
    assert relay.core._updates.covers("group/g")
    relay.receive("child", c.Leave(1))
    relay.core._add_scopes(tuple(f"group/{n}" for n in range(13)))  # no room but in its place
    relay.core._drop_unknown_scopes(relay.clock())
    assert relay.core._add_scopes(("group/g",)) and not relay.core._updates.covers("group/g")
    heads = tuple(one.head for one in relay.core._tables.values())
    relay.receive(relay.core._upstream.peer, c.Beat(60_000, heads, relay.core._age._last_mark))
    assert not relay.core._updates.covers("group/g")  # older than what our age says
    relay.receive(relay.core._upstream.peer, c.Beat(0, heads, relay.core._age._last_mark, 1 << 30))
    assert relay.core._updates.covers("group/g")


def test_a_scope_that_the_upstream_does_not_name_is_requested_again() -> None:
    world = started(12, groups=False)
    relay = process(world, "relay-0")
    core, heads = relay.core, tuple(relay.core.head(scope) for scope in relay.scopes())
    core._add_scopes(("group/g",))  # and the word that asks for it is lost
    peer, mark = core._upstream.peer, core._age._last_mark
    effects = [e for _ in range(3) for e in core.receive(peer, c.Beat(0, heads, mark, 1 << 30), relay.clock() + SECOND)]
    assert [len(e.message.heads) for e in effects if isinstance(e, Tell) and isinstance(e.message, c.Subscribe)] == [4]


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
    one = process(world, "relay-1")
    ends = [(e.to, e.message) for e in one.core.leave(one.clock()) if isinstance(e, Tell)]
    assert len(ends) == 1 + len(one.core._downstream) and all(message == c.Leave(1) for _, message in ends)
    assert not one.core.tick(one.clock() + SECOND)
    reader = process(world, "reader-0")
    (refused,) = [
        e.message
        for e in reader.core.receive("y", c.Subscribe(1, (c.Head("all"),)), reader.clock())
        if isinstance(e, Tell)
    ]
    assert isinstance(refused, c.Refused) and refused.reason == "full"


def test_a_reader_costs_what_the_design_page_states() -> None:
    world = started(8, readers=6, relays=2, groups=False)
    world.run(60 * SECOND)
    sent = [(a, b, len(msgspec.msgpack.encode(m))) for a, b, m in world.sent]
    began = len(sent)
    world.run(60 * SECOND)
    sent = [(a, b, len(msgspec.msgpack.encode(m))) for a, b, m in world.sent][began:]
    reader = [size for a, b, size in sent if "reader-0" in (a, b)]
    assert 60 <= len(reader) <= 80 and sum(reader) / 60 <= 100
    assert feed.CATCH_UP_BYTES_PER_S == 131_072 and downstream.CHILD_TIMEOUT_US == 15 * SECOND


def test_a_relay_subscribes_again_for_a_childs_scope_when_its_message_was_lost() -> None:
    world = World(5, readers=0, relays=1)
    world.run_until_current(30 * SECOND)
    honest, until_us = world.send, world.now + 20 * SECOND

    def send(sender: str, tell: Tell) -> None:
        message = tell.message
        of_groups = isinstance(message, c.Subscribe) and any(one.scope.startswith("group/") for one in message.heads)
        if not (sender == "relay-0" and of_groups and world.now < until_us):
            honest(sender, tell)

    world.send = send  # type: ignore[method-assign]
    world.nodes["reader-0"] = Process(world, "reader-0", 0, ("g",))
    world.commit("group/g", c.Entry("k", b"1"))
    world.run(20 * SECOND)
    world.run_until_current(20 * SECOND)
