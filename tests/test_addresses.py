"""Paths to a box: their order, when one is left and returned to, and what a lost request says of the box."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.core.addresses import (
    AGAIN_US,
    FIRST_PAUSE_US,
    HELD_OUT_US,
    HUSH_LEAST_US,
    HUSH_MOST_US,
    LONGEST_PAUSE_US,
    LOST_MOST,
    SETTLE_US,
    Path,
    Paths,
    State,
    kind_of,
)

UNIX, SIX, FOUR, NAME = "unix:/run/box", "[2001:db8::1]:6379", "192.0.2.1:6379", "box.example:6379"
STAGGER_US = 25_000


def paths(*addresses: str, seed: int = 1) -> Paths:
    return Paths("a", STAGGER_US, 2, seed, [Path(one) for one in addresses or (FOUR, SIX, UNIX)])


def good(one: Paths, now: int, *addresses: str) -> None:
    for address in addresses:
        one.reached(one.at(address), 500, now, "run", probe=True)


def both_good() -> Paths:
    one = paths(UNIX, FOUR)
    good(one, 0, UNIX, FOUR)
    return one


@pytest.fixture
def one() -> Paths:
    return both_good()


def current(one: Paths, now: int) -> str:
    return one.paths[one.choose(now)].address


def test_the_kind_of_an_address_is_how_it_is_written() -> None:
    assert [kind_of(one) for one in (UNIX, SIX, FOUR, NAME)] == ["unix", "ipv6", "ipv4", "name"]
    assert kind_of("1.2.3:80") == "name"


def test_the_order_is_state_then_nearness_then_kind_then_the_list() -> None:
    one = paths(NAME, FOUR, "192.0.2.2:1", SIX, UNIX)
    assert [one.paths[at].address for at in one.order(0)] == [UNIX, SIX, FOUR, "192.0.2.2:1", NAME]
    one.paths[one.at("192.0.2.2:1")].hall = "a"  # in the gateway's own hall
    assert [one.paths[at].address for at in one.order(0)][:2] == [UNIX, "192.0.2.2:1"]
    one.failed(one.at(UNIX), "refused", 0)
    assert UNIX not in [one.paths[at].address for at in one.order(1)]
    assert [one.paths[at].address for at in one.order(10 * FIRST_PAUSE_US)][-1] == UNIX


def test_a_path_that_lags_comes_after_those_that_do_not(one: Paths) -> None:
    for _ in range(20):
        one.reached(0, 30_000, 1, "run", probe=True)
    assert [one.paths[at].address for at in one.order(2)] == [FOUR, UNIX]
    # A few hundred microseconds more are no reason to leave a Unix socket.
    for _ in range(40):
        one.reached(0, 1_200, 3, "run", probe=True)
    assert [one.paths[at].address for at in one.order(4)] == [UNIX, FOUR]


def test_attempts_are_staggered_and_a_failure_lets_the_next_begin_at_once() -> None:
    one = paths()
    race = one.race(0)
    assert one.begin(race, 0) == [UNIX] and one.begin(race, STAGGER_US - 1) == []
    assert one.begin(race, STAGGER_US) == [SIX]
    race.out.remove(UNIX)
    race.out.remove(SIX)  # both have failed
    assert one.begin(race, STAGGER_US + 1) == [FOUR] and not race.queue
    # A path that usually leads there within a millisecond is waited for no longer than the least delay.
    good(one, 0, UNIX)
    race = one.race(0)
    one.begin(race, 0)
    assert race.next_us == 10_000


def test_the_address_that_is_wanted_goes_first_unless_it_is_known_to_be_bad() -> None:
    one = paths()
    assert one.race(0, FOUR).queue == [FOUR, UNIX, SIX]
    one.paths[one.at(FOUR)].state = State.SUSPECT
    assert one.race(0, FOUR).queue == [UNIX, SIX, FOUR]


def test_a_bad_path_is_left_at_once_and_returned_to_late_and_ever_later() -> None:
    one = paths(UNIX, FOUR)
    now = 1_000_000
    good(one, now, UNIX, FOUR)
    assert current(one, now) == UNIX
    stays = []
    for _ in range(4):
        one.failed(0, "refused", now)
        assert current(one, now) == FOUR
        now += 1_000_000
        good(one, now, UNIX)
        back = now
        while current(one, now) == FOUR:
            now += 50_000
            good(one, now, FOUR)
        stays.append(now - back)
    # Threat: a path that comes and goes and takes the work with it each time.
    assert stays[0] >= SETTLE_US and all(later >= 1.8 * before for before, later in zip(stays, stays[1:], strict=False))
    # One that then holds for long is trusted as before.
    now += 31_000_000
    assert current(one, now) == UNIX and one.paths[0].left == 0


def test_where_all_have_failed_the_one_due_next_is_tried_and_no_more_than_it() -> None:
    one = paths()
    for at in range(3):
        for _ in range(at + 1):
            one.failed(at, "refused", 0)
    race = one.race(1)
    assert race.queue == [FOUR]  # failed once; the others more often


@given(st.integers(0, 1000), st.integers(1, 40))
def test_pauses_grow_are_spread_and_bounded(seed: int, failures: int) -> None:
    one = paths(seed=seed)
    for _ in range(failures):
        one.failed(0, "refused", 0)
    assert one.paths[0].next_us <= 1.5 * LONGEST_PAUSE_US
    assert one.paths[0].next_us >= min(0.5 * FIRST_PAUSE_US * 2 ** (failures - 1), 0.5 * LONGEST_PAUSE_US) - 1


def test_a_reset_speaks_of_its_path_alone_where_another_lives() -> None:
    one = paths(UNIX, FOUR)
    good(one, 1_000, UNIX)
    one.handed(0, 2_000)
    assert not one.only_the_path(0, "reset", 2_000, 9_000)  # nothing is known of the other
    good(one, 5_000, FOUR)
    assert one.only_the_path(0, "reset", 2_000, 9_000) and not one.only_the_path(0, "late", 2_000, 9_000)
    # An answer from long ago is no sign of life, nor is one on a path that has gone bad since.
    assert not one.only_the_path(0, "reset", 3_000_000, 3_000_001)
    one.ended(0, "reset", 2_000, 9_000)
    assert one.paths[0].state is State.SUSPECT and current(one, 9_001) == FOUR
    alone = paths(FOUR)
    good(alone, 0, FOUR)
    assert not alone.only_the_path(0, "reset", 1, 2)


def test_a_silent_path_is_asked_then_cut_and_a_slow_box_is_neither(one: Paths) -> None:
    look = one.handed(0, 1_000)
    assert look == 1_000 + HUSH_LEAST_US
    asked, cut, again = one.look(0, look)
    assert asked == [0, 1] and not cut
    # The other answers, this one does not: it is the path.
    good(one, look + 500, FOUR)
    asked, cut, last = one.look(0, again)
    assert not cut and not asked and last == again + AGAIN_US
    asked, cut, later = one.look(0, last)
    assert cut and not asked and later == 0
    one.failed(0, "silent", last)
    assert one.paths[0].state is State.FAILED and current(one, last) == FOUR

    slow = both_good()
    look, hushes = slow.handed(0, 1_000), []
    while look < 3_000_000:
        asked, cut, again = slow.look(0, look)
        assert not cut
        if asked:
            hushes.append(look)
            good(slow, look + 300, UNIX, FOUR)  # both answer: the box is at work on what it has
        look = again
    gaps = [after - before for before, after in zip(hushes, hushes[1:], strict=False)]
    assert len(hushes) < 10 and gaps[-1] > 4 * gaps[0]

    hung = both_good()
    look = hung.handed(0, 1_000)
    for _ in range(20):
        _, cut, look = hung.look(0, look)
        assert not cut  # nobody answers: it may be the box, and the error rules have the word


def test_a_process_that_is_late_itself_cuts_nothing(one: Paths) -> None:
    _, _, again = one.look(0, one.handed(0, 1_000))
    # The process stood still for a second: both paths have answered, and the other one's is read first.
    now = again + 1_000_000
    good(one, now, FOUR)
    _, cut, last = one.look(0, now + 50)
    assert not cut
    one.answered(0, 500, now + 100)
    one.handed(0, now + 200)
    _, cut, _ = one.look(0, last)
    assert not cut and one.paths[0].state is State.GOOD


def test_what_came_over_a_path_counts_as_life_however_much_is_out(one: Paths) -> None:
    look = one.handed(0, 0)
    for turn in range(1, 400):
        one.handed(0, turn * 1_000)
        if turn % 3 == 0:
            one.answered(0, 3_000, turn * 1_000)
        if turn * 1_000 >= look:
            asked, cut, look = one.look(0, turn * 1_000)
            assert not asked and not cut and look <= turn * 1_000 + HUSH_MOST_US


def test_a_path_that_answers_probes_and_loses_requests_is_held_out(one: Paths) -> None:
    now, held = 0, []
    for _ in range(4):
        for _ in range(LOST_MOST):
            now += 100_000
            one.handed(0, now - 50_000)
            good(one, now, UNIX, FOUR)  # probes are answered all the while
            one.ended(0, "late", now - 50_000, now)
        good(one, now + 1, UNIX)
        assert one.paths[0].state is State.FAILED  # a probe alone does not bring it back
        held.append(one.paths[0].next_us - now)
        now = one.paths[0].next_us
        good(one, now, UNIX, FOUR)
        assert one.paths[0].usable  # on trial
    assert len(held) == 4 and held[0] >= 0.75 * HELD_OUT_US
    one.answered(0, 500, now)
    assert one.paths[0].lost == 0


def test_one_break_is_one_loss_however_much_was_on_it(one: Paths) -> None:
    for at in range(50):
        one.handed(0, 1_000 + at)
    for at in range(50):
        one.ended(0, "reset", 1_000 + at, 5_000 + at)
    assert one.paths[0].lost == 1 and one.paths[0].state is State.SUSPECT and one.paths[0].out == 0


def test_another_list_keeps_what_is_known_of_the_addresses_that_stay(one: Paths) -> None:
    one.choose(0)
    one.relisted([(SIX, "", 0), (UNIX, "b", 100)])
    assert [path.address for path in one.paths] == [SIX, UNIX] and one.paths[1].state is State.GOOD
    assert current(one, 1) == UNIX and one.paths[1].timeout_us == 100
    one.relisted([(SIX, "", 0)])
    assert current(one, 2) == SIX


def test_unused_paths_are_looked_at_now_and_then_and_bad_ones_when_due() -> None:
    one = paths(UNIX, FOUR, SIX)
    good(one, 0, UNIX)
    one.choose(0)
    assert one.to_look_at(0) == [1, 2] and one.to_look_at(1_000) == []
    one.failed(1, "refused", 2_000)
    assert one.to_look_at(one.paths[1].next_us) == [1] and one.next_look_us(0) <= 12_000_000


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 2), st.integers(1, 300_000)), max_size=120))
def test_any_history_leaves_a_path_to_use_and_counts_that_hold(steps: list[tuple[int, int, int]]) -> None:
    one, now, out = paths(), 0, [0, 0, 0]
    rng = random.Random(len(steps))
    for what, at, passed in steps:
        now += passed
        if what < 3:
            at = one.choose(now)
            one.handed(at, now)
            out[at] += 1
        elif what < 5 and out[at]:
            one.answered(at, passed, now)
            out[at] -= 1
        elif what < 7 and out[at]:
            one.ended(at, rng.choice(["reset", "late", "unsent"]), now - passed, now)
            out[at] -= 1
        elif what == 7:
            one.failed(at, "refused", now)
        elif what == 8:
            one.reached(at, passed, now, "run", probe=True)
        else:
            _, cut, _ = one.look(at, now)
            if cut:
                one.failed(at, "silent", now)
                out[at] = 0
        chosen = one.choose(now)
        # New work is never on a path known to be bad while another may be used.
        assert one.paths[chosen].usable or not any(path.usable for path in one.paths)
        assert [path.out for path in one.paths] == out
        assert one.order(now) and len(set(one.order(now))) == len(one.order(now)) and one.race(now).queue
