"""Tests which names are given, kept and removed, and when."""

from oatlink.fleet.control import members, names
from oatlink.fleet.control.members import Members
from oatlink.fleet.messages import control as c
from tests.fleet.control.source_world import MS, SECOND, World

ALIVE_US, GONE_US, CUT_OFF_US = names.ALIVE_US, names.GONE_US, members.CUT_OFF_US


def members_with(*process_names: str, zone: str = "z", incarnation: int = 1, now_us: int = 0) -> Members:
    """Return members with these names agreed, as if by the log."""
    known_members = Members(1)
    for name in process_names:
        assert known_members.request_name(name, c.Join(incarnation, "r", zone, f"{name}:1"), True, now_us) == "waits"
    agree(known_members, now_us, f"names/r/{zone}")
    return known_members


def agree(known_members: Members, now_us: int, scope: str = "names/r/z", hears_majority: bool = True) -> list[str]:
    """Agree on the next change and return its keys."""
    entries, _ = known_members.next_change(scope, hears_majority, now_us)
    known_members.names.apply(scope, entries, now_us)
    known_members.take_named(scope, now_us)
    known_members.change_finished(scope, now_us)
    return [entry.key for entry in entries]


def test_a_name_stays_with_its_process_while_that_is_heard() -> None:
    known_members = members_with("a")
    second = c.Join(2, "r", "z", "b:1")
    assert known_members.request_name("a", second, True, ALIVE_US) == "twice"
    assert known_members.names.mark_heard("a", 1, ALIVE_US)
    assert known_members.request_name("a", second, True, 2 * ALIVE_US) == "twice"
    assert known_members.request_name("a", second, False, 2 * ALIVE_US + 1) == "twice", (
        "a source that is cut off does not know which processes are silent"
    )
    assert known_members.request_name("a", second, True, 2 * ALIVE_US + 1) == "waits"
    assert agree(known_members, 2 * ALIVE_US + 1) == ["a"]
    assert known_members.request_name("a", c.Join(1, "r", "z", "a:1"), True, 9 * ALIVE_US) == "twice", (
        "an old process came back"
    )
    assert not known_members.names.mark_heard("a", 1, 9 * ALIVE_US)


def test_a_process_with_the_address_of_the_one_before_gets_the_name_at_once() -> None:
    known_members = members_with("a")
    assert known_members.request_name("a", c.Join(2, "r", "z", "a:1"), False, 0) == "waits"
    assert agree(known_members, 0) == ["a"]
    assert known_members.request_name("a", c.Join(1, "r", "z", "a:1"), True, 0) == "twice", (
        "the process before is not gone after all"
    )


def test_the_same_incarnation_elsewhere_is_another_process() -> None:
    known_members = members_with("a")
    assert known_members.request_name("a", c.Join(1, "r", "z", "b:1"), True, 0) == "twice"
    assert known_members.request_name("a", c.Join(1, "r", "y", "a:1"), True, 9 * ALIVE_US) == "twice"


def test_a_process_that_leaves_frees_its_name_at_once() -> None:
    known_members = members_with("a")
    known_members.leave("a", 1, 0)
    assert known_members.request_name("a", c.Join(2, "r", "z", "a:1"), False, 0) == "waits"
    assert agree(known_members, 0) == ["a"]
    known_members.leave("a", 1, 0)  # a late message of the one before
    assert agree(known_members, 0) == []
    known_members.leave("a", 2, 0)
    assert agree(known_members, 0) == ["a"] and len(known_members.names) == 0


def test_a_name_in_two_zones_belongs_to_the_higher_incarnation_in_either_order() -> None:
    for order in (("y", "z"), ("z", "y")):
        known_members = Members(1)
        for zone in order:
            incarnation = 2 if zone == "z" else 1
            known_members.names.apply(f"names/r/{zone}", [names.entry_of("a", names.Named(incarnation, "a:1"))], 0)
        known = known_members.names.get("a")
        assert known is not None and known.scope == "names/r/z"
        known_members.schedule_change("names/r/y", 0)
        assert agree(known_members, 0, "names/r/y") == ["a"]
        assert known_members.names.get("a") is known and not known_members.names.zone("names/r/y").stale


def test_joins_are_batched_into_changes_that_fit() -> None:
    known_members = members_with(*(f"gateway-{number:04}.region.example" for number in range(190)))
    assert 50 < len(known_members.names) < 190
    assert known_members.due_scopes(0) == ["names/r/z"]
    while len(known_members.names) < 190:
        assert agree(known_members, 0)
    for number in range(2 * members.MAX_PENDING_JOINS):
        outcome = known_members.request_name(f"n{number}", c.Join(1, "r", "z", "a:1"), True, 0)
        assert outcome == ("waits" if number < members.MAX_PENDING_JOINS else "full")


def test_silent_processes_are_removed_at_a_bounded_rate_and_only_with_a_majority_heard() -> None:
    known_members = members_with(*(f"n{number}" for number in range(100)))
    while known_members.pending_count:
        agree(known_members, 0)
    for number in range(20, 100):
        known_members.names.mark_heard(f"n{number}", 1, GONE_US)
    known_members.sweep(True, GONE_US - 1)
    assert agree(known_members, GONE_US) == []
    known_members.sweep(False, GONE_US)
    assert agree(known_members, GONE_US) == [], "most sources are not heard"
    known_members.sweep(True, GONE_US)
    returned = next(iter(known_members.names.zone("names/r/z").silent))
    known_members.names.mark_heard(returned, 1, GONE_US)
    removed = agree(known_members, GONE_US)
    assert len(removed) == members.MAX_REMOVALS - 1 and returned not in removed
    known_members.sweep(True, GONE_US)
    assert len(agree(known_members, GONE_US)) == members.MAX_REMOVALS
    known_members.sweep(True, GONE_US)
    assert agree(known_members, GONE_US) == []
    assert len(known_members.names) == 81


def test_a_zone_that_is_cut_off_is_not_emptied() -> None:
    known_members = members_with(*(f"n{number}" for number in range(40)))
    for number in range(11, 40):
        known_members.names.mark_heard(f"n{number}", 1, GONE_US)
    known_members.sweep(True, GONE_US)
    assert agree(known_members, GONE_US) == [], "11 of 40 are more than a quarter"
    for number in range(11, 40):
        known_members.names.mark_heard(f"n{number}", 1, CUT_OFF_US)
    known_members.sweep(True, CUT_OFF_US)
    assert len(agree(known_members, CUT_OFF_US)) == members.MAX_REMOVALS


# ---- With several sources ----


def test_of_two_processes_that_join_at_two_sources_at_once_one_is_refused() -> None:
    world = World(1, 3).run(SECOND)
    world.join("g", "s0", incarnation=1)
    world.join("g", "s1", incarnation=2)
    world.run(3 * SECOND)
    seats = [message for message in world.messages_to("g") if isinstance(message, c.Seat)]
    refused = [message for message in world.messages_to("g") if isinstance(message, c.Refused)]
    assert len(seats) == len(refused) == 1 and refused[0].reason == "twice"
    assert seats[0].incarnation + refused[0].incarnation == 3
    assert all(len(core.entries("names/r0/z")) == 1 for core in world.cores.values())


def test_joins_that_come_one_after_the_other_are_batched() -> None:
    world = World(4, 1).run(SECOND)
    for number in range(40):
        world.join(f"g{number}")
        world.run(10 * MS)
    world.run(SECOND)
    assert sum(scope == "names/r0/z" for scope, _, _ in world.written) <= 3
    assert len(world.cores["s0"].entries("names/r0/z")) == 40


def test_a_report_at_one_source_keeps_the_name_at_all_sources() -> None:
    world = World(2, 3).run(SECOND)
    world.join("g")
    world.run(SECOND)
    world.deliver("g", "s0", c.Subscribe(1, (c.Head("all"),)))
    for _ in range(20):
        world.run(5 * SECOND)
        world.deliver("g", "s0", c.Report(1, ()))
        world.join("g", "s2", incarnation=2)
    world.run(SECOND)
    assert [message.incarnation for message in world.messages_to("g") if isinstance(message, c.Seat)] == [1]
    assert all("g" in core.entries("names/r0/z") for core in world.cores.values())
    world.run(70 * SECOND)
    assert not any(core.entries("names/r0/z") for core in world.cores.values())


def test_names_of_a_new_epoch_come_back_by_joins() -> None:
    world = World(5, 2).run(SECOND)
    world.join("g")
    world.run(2 * SECOND)
    world.carry_out("s1", world.cores["s1"].begin_epoch(1, "names/r0/z", (), world.now))
    world.run(SECOND)
    assert world.replies[1] == "names/r0/z is at version 1"
    assert not any(core.entries("names/r0/z") for core in world.cores.values())
    world.join("g")
    world.run(SECOND)
    assert all("g" in core.entries("names/r0/z") for core in world.cores.values())


def test_counts_are_entries_of_all_at_a_bounded_rate() -> None:
    world = World(3, 3).run(SECOND)
    for number in range(30):
        world.join(f"g{number}", f"s{number % 3}", zone="zy"[number % 2])
        world.run(200 * MS)
    world.run(60 * SECOND)
    counts = dict(world.cores["s0"].entries("all"))
    assert counts == {"readers/r0": b"30", "readers/r0/y": b"15", "readers/r0/z": b"15"}
    assert world.cores["s0"].head("all").version <= 3
    world.offer("s1", 1, "zone/r0/y", ("k", b"x"))
    world.run(SECOND)
    assert world.replies[1] == "zone/r0/y is at version 1"
