from oatlink.fleet.control import members, names
from oatlink.fleet.control.members import Members
from oatlink.fleet.messages import control as c
from tests.fleet.control.source_world import MS, SECOND, World

ALIVE, GONE, CUT = names.ALIVE_US, names.GONE_US, members.CUT_OFF_US


def joined(*given: str, zone: str = "z", born: int = 1, now: int = 0) -> Members:
    """Names that are agreed, as if by the log."""
    one = Members(1)
    for name in given:
        assert one.request_name(name, c.Join(born, "r", zone, f"{name}:1"), True, now) == "waits"
    agree(one, now, f"names/r/{zone}")
    return one


def agree(one: Members, now: int, scope: str = "names/r/z", reach: bool = True) -> list[str]:
    """The next change is agreed: its keys."""
    entries, _ = one.next_change(scope, reach, now)
    one.names.apply(scope, entries, now)
    one.take_named(scope, now)
    one.change_finished(scope, now)
    return [entry.key for entry in entries]


def test_a_name_stays_with_its_process_while_that_is_heard() -> None:
    one = joined("a")
    second = c.Join(2, "r", "z", "b:1")
    assert one.request_name("a", second, True, ALIVE) == "twice"
    assert one.names.mark_heard("a", 1, ALIVE)
    assert one.request_name("a", second, True, 2 * ALIVE) == "twice"
    assert one.request_name("a", second, False, 2 * ALIVE + 1) == "twice", (
        "a source cut off does not know who is silent"
    )
    assert one.request_name("a", second, True, 2 * ALIVE + 1) == "waits"
    assert agree(one, 2 * ALIVE + 1) == ["a"]
    assert one.request_name("a", c.Join(1, "r", "z", "a:1"), True, 9 * ALIVE) == "twice", "an old one came back"
    assert not one.names.mark_heard("a", 1, 9 * ALIVE)


def test_a_process_with_the_address_of_the_one_before_gets_the_name_at_once() -> None:
    one = joined("a")
    assert one.request_name("a", c.Join(2, "r", "z", "a:1"), False, 0) == "waits"
    assert agree(one, 0) == ["a"]
    assert one.request_name("a", c.Join(1, "r", "z", "a:1"), True, 0) == "twice", "the one before is not gone after all"


def test_the_same_incarnation_elsewhere_is_another_process() -> None:
    one = joined("a")
    assert one.request_name("a", c.Join(1, "r", "z", "b:1"), True, 0) == "twice"
    assert one.request_name("a", c.Join(1, "r", "y", "a:1"), True, 9 * ALIVE) == "twice"


def test_a_process_that_leaves_frees_its_name_at_once() -> None:
    one = joined("a")
    one.leave("a", 1, 0)
    assert one.request_name("a", c.Join(2, "r", "z", "a:1"), False, 0) == "waits"
    assert agree(one, 0) == ["a"]
    one.leave("a", 1, 0)  # a late word of the one before
    assert agree(one, 0) == []
    one.leave("a", 2, 0)
    assert agree(one, 0) == ["a"] and len(one.names) == 0


def test_a_name_in_two_zones_belongs_to_the_higher_incarnation_in_either_order() -> None:
    for order in (("y", "z"), ("z", "y")):
        one = Members(1)
        for zone in order:
            born = 2 if zone == "z" else 1
            one.names.apply(f"names/r/{zone}", [names.entry_of("a", names.Named(born, "a:1"))], 0)
        found = one.names.get("a")
        assert found is not None and found.scope == "names/r/z"
        one.schedule_change("names/r/y", 0)
        assert agree(one, 0, "names/r/y") == ["a"]
        assert one.names.get("a") is found and not one.names.zone("names/r/y").stale


def test_joins_are_batched_into_changes_that_fit() -> None:
    one = joined(*(f"gateway-{number:04}.region.example" for number in range(190)))
    assert 50 < len(one.names) < 190
    assert one.due_scopes(0) == ["names/r/z"]
    while len(one.names) < 190:
        assert agree(one, 0)
    for number in range(2 * members.MAX_PENDING_JOINS):
        said = one.request_name(f"n{number}", c.Join(1, "r", "z", "a:1"), True, 0)
        assert said == ("waits" if number < members.MAX_PENDING_JOINS else "full")


def test_silent_processes_are_removed_at_a_bounded_rate_and_only_with_a_majority_heard() -> None:
    one = joined(*(f"n{number}" for number in range(100)))
    while one.pending_count:
        agree(one, 0)
    for number in range(20, 100):
        one.names.mark_heard(f"n{number}", 1, GONE)
    one.sweep(True, GONE - 1)
    assert agree(one, GONE) == []
    one.sweep(False, GONE)
    assert agree(one, GONE) == [], "most sources are not heard"
    one.sweep(True, GONE)
    back = next(iter(one.names.zone("names/r/z").silent))
    one.names.mark_heard(back, 1, GONE)
    gone = agree(one, GONE)
    assert len(gone) == members.MAX_REMOVALS - 1 and back not in gone
    one.sweep(True, GONE)
    assert len(agree(one, GONE)) == members.MAX_REMOVALS
    one.sweep(True, GONE)
    assert agree(one, GONE) == []
    assert len(one.names) == 81


def test_a_zone_that_is_cut_off_is_not_emptied() -> None:
    one = joined(*(f"n{number}" for number in range(40)))
    for number in range(11, 40):
        one.names.mark_heard(f"n{number}", 1, GONE)
    one.sweep(True, GONE)
    assert agree(one, GONE) == [], "11 of 40 are more than a quarter"
    for number in range(11, 40):
        one.names.mark_heard(f"n{number}", 1, CUT)
    one.sweep(True, CUT)
    assert len(agree(one, CUT)) == members.MAX_REMOVALS


# ---- Over sources ----


def test_of_two_processes_that_join_at_two_sources_at_once_one_is_refused() -> None:
    world = World(1, 3).run(SECOND)
    world.join("g", "s0", incarnation=1)
    world.join("g", "s1", incarnation=2)
    world.run(3 * SECOND)
    seats = [one for one in world.messages_to("g") if isinstance(one, c.Seat)]
    refused = [one for one in world.messages_to("g") if isinstance(one, c.Refused)]
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
    assert [one.incarnation for one in world.messages_to("g") if isinstance(one, c.Seat)] == [1]
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
    found = dict(world.cores["s0"].entries("all"))
    assert found == {"readers/r0": b"30", "readers/r0/y": b"15", "readers/r0/z": b"15"}
    assert world.cores["s0"].head("all").version <= 3
    world.offer("s1", 1, "zone/r0/y", ("k", b"x"))
    world.run(SECOND)
    assert world.replies[1] == "zone/r0/y is at version 1"
