"""Paths to a box: their order, when a path is left and used again, and what a lost request proves about the box."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.core.addresses import (
    MAX_LOSSES,
    MAX_RETRY_US,
    MAX_SILENCE_US,
    MIN_EXCLUSION_US,
    MIN_RETRY_US,
    MIN_RETURN_DELAY_US,
    MIN_SILENCE_US,
    SILENCE_CONFIRM_US,
    Path,
    Paths,
    State,
    kind_of,
)

UNIX, IPV6, IPV4, NAME = "unix:/run/box", "[2001:db8::1]:6379", "192.0.2.1:6379", "box.example:6379"
STAGGER_US = 25_000


def new_paths(*addresses: str, seed: int = 1) -> Paths:
    return Paths("a", STAGGER_US, 2, seed, [Path(address) for address in addresses or (IPV4, IPV6, UNIX)])


def mark_good(paths: Paths, now: int, *addresses: str) -> None:
    for address in addresses:
        paths.record_contact(paths.index_of(address), 500, now, "run", probe=True)


def two_good_paths() -> Paths:
    paths = new_paths(UNIX, IPV4)
    mark_good(paths, 0, UNIX, IPV4)
    return paths


@pytest.fixture
def paths() -> Paths:
    return two_good_paths()


def current_address(paths: Paths, now: int) -> str:
    return paths.paths[paths.choose(now)].address


def test_the_kind_of_an_address_is_how_it_is_written() -> None:
    assert [kind_of(address) for address in (UNIX, IPV6, IPV4, NAME)] == ["unix", "ipv6", "ipv4", "name"]
    assert kind_of("1.2.3:80") == "name"


def test_the_order_is_state_then_nearness_then_kind_then_the_list() -> None:
    paths = new_paths(NAME, IPV4, "192.0.2.2:1", IPV6, UNIX)
    assert [paths.paths[index].address for index in paths.order(0)] == [UNIX, IPV6, IPV4, "192.0.2.2:1", NAME]
    paths.paths[paths.index_of("192.0.2.2:1")].hall = "a"  # in the gateway's own hall
    assert [paths.paths[index].address for index in paths.order(0)][:2] == [UNIX, "192.0.2.2:1"]
    paths.record_failure(paths.index_of(UNIX), "refused", 0)
    assert UNIX not in [paths.paths[index].address for index in paths.order(1)]
    assert [paths.paths[index].address for index in paths.order(10 * MIN_RETRY_US)][-1] == UNIX


def test_a_path_that_lags_comes_after_those_that_do_not(paths: Paths) -> None:
    for _ in range(20):
        paths.record_contact(0, 30_000, 1, "run", probe=True)
    assert [paths.paths[index].address for index in paths.order(2)] == [IPV4, UNIX]
    # A few hundred microseconds of lag are no reason to leave a Unix socket.
    for _ in range(40):
        paths.record_contact(0, 1_200, 3, "run", probe=True)
    assert [paths.paths[index].address for index in paths.order(4)] == [UNIX, IPV4]


def test_attempts_are_staggered_and_a_failure_lets_the_next_begin_at_once() -> None:
    paths = new_paths()
    race = paths.new_race(0)
    assert paths.start_due(race, 0) == [UNIX] and paths.start_due(race, STAGGER_US - 1) == []
    assert paths.start_due(race, STAGGER_US) == [IPV6]
    race.running.remove(UNIX)
    race.running.remove(IPV6)  # both have failed
    assert paths.start_due(race, STAGGER_US + 1) == [IPV4] and not race.queue
    # A path that usually answers within a millisecond delays the next attempt by the minimum only.
    mark_good(paths, 0, UNIX)
    race = paths.new_race(0)
    paths.start_due(race, 0)
    assert race.next_start_us == 10_000


def test_the_address_that_is_wanted_goes_first_unless_it_is_known_to_be_bad() -> None:
    paths = new_paths()
    assert paths.new_race(0, IPV4).queue == [IPV4, UNIX, IPV6]
    paths.paths[paths.index_of(IPV4)].state = State.SUSPECT
    assert paths.new_race(0, IPV4).queue == [UNIX, IPV6, IPV4]


def test_a_bad_path_is_left_at_once_and_used_again_after_growing_delays() -> None:
    paths = new_paths(UNIX, IPV4)
    now = 1_000_000
    mark_good(paths, now, UNIX, IPV4)
    assert current_address(paths, now) == UNIX
    delays = []
    for _ in range(4):
        paths.record_failure(0, "refused", now)
        assert current_address(paths, now) == IPV4
        now += 1_000_000
        mark_good(paths, now, UNIX)
        good_again_us = now
        while current_address(paths, now) == IPV4:
            now += 50_000
            mark_good(paths, now, IPV4)
        delays.append(now - good_again_us)
    # The growing delay prevents a flapping path from taking the requests with it at each failure.
    assert delays[0] >= MIN_RETURN_DELAY_US and all(
        later >= 1.8 * before for before, later in zip(delays, delays[1:], strict=False)
    )
    # A path that then stays good for long is trusted as before.
    now += 31_000_000
    assert current_address(paths, now) == UNIX and paths.paths[0].unstable_returns == 0


def test_where_all_have_failed_the_one_due_next_is_tried_and_no_more_than_it() -> None:
    paths = new_paths()
    for index in range(3):
        for _ in range(index + 1):
            paths.record_failure(index, "refused", 0)
    race = paths.new_race(1)
    assert race.queue == [IPV4]  # IPV4 has failed once, the others more often


@given(st.integers(0, 1000), st.integers(1, 40))
def test_pauses_grow_are_spread_and_bounded(seed: int, failures: int) -> None:
    paths = new_paths(seed=seed)
    for _ in range(failures):
        paths.record_failure(0, "refused", 0)
    assert paths.paths[0].retry_us <= 1.5 * MAX_RETRY_US
    assert paths.paths[0].retry_us >= min(0.5 * MIN_RETRY_US * 2 ** (failures - 1), 0.5 * MAX_RETRY_US) - 1


def test_a_reset_is_a_fault_of_its_path_only_if_another_path_is_alive() -> None:
    paths = new_paths(UNIX, IPV4)
    mark_good(paths, 1_000, UNIX)
    paths.record_sent(0, 2_000)
    assert not paths.is_path_fault(0, "reset", 2_000, 9_000)  # nothing is known about the other path
    mark_good(paths, 5_000, IPV4)
    assert paths.is_path_fault(0, "reset", 2_000, 9_000) and not paths.is_path_fault(0, "late", 2_000, 9_000)
    # An old answer does not show that the box is alive, nor does an answer on a path that has failed since.
    assert not paths.is_path_fault(0, "reset", 3_000_000, 3_000_001)
    paths.record_unanswered(0, "reset", 2_000, 9_000)
    assert paths.paths[0].state is State.SUSPECT and current_address(paths, 9_001) == IPV4
    alone = new_paths(IPV4)
    mark_good(alone, 0, IPV4)
    assert not alone.is_path_fault(0, "reset", 1, 2)


def test_a_silent_path_is_probed_then_closed_and_that_of_a_slow_box_stays_open(paths: Paths) -> None:
    first_us = paths.record_sent(0, 1_000)
    assert first_us == 1_000 + MIN_SILENCE_US
    probed, is_silent, second_us = paths.check_silence(0, first_us)
    assert probed == [0, 1] and not is_silent
    # Only the other path answers, so the fault is in this path.
    mark_good(paths, first_us + 500, IPV4)
    probed, is_silent, third_us = paths.check_silence(0, second_us)
    assert not is_silent and not probed and third_us == second_us + SILENCE_CONFIRM_US
    probed, is_silent, next_us = paths.check_silence(0, third_us)
    assert is_silent and not probed and next_us == 0
    paths.record_failure(0, "silent", third_us)
    assert paths.paths[0].state is State.FAILED and current_address(paths, third_us) == IPV4

    slow_box = two_good_paths()
    check_us, probes_us = slow_box.record_sent(0, 1_000), []
    while check_us < 3_000_000:
        probed, is_silent, next_us = slow_box.check_silence(0, check_us)
        assert not is_silent
        if probed:
            probes_us.append(check_us)
            mark_good(slow_box, check_us + 300, UNIX, IPV4)  # both answer: the box is busy with its requests
        check_us = next_us
    gaps = [after - before for before, after in zip(probes_us, probes_us[1:], strict=False)]
    assert len(probes_us) < 10 and gaps[-1] > 4 * gaps[0]

    hung_box = two_good_paths()
    check_us = hung_box.record_sent(0, 1_000)
    for _ in range(20):
        _, is_silent, check_us = hung_box.check_silence(0, check_us)
        assert not is_silent  # no path answers: the box may have failed, which the error rules decide


def test_a_process_that_was_delayed_itself_closes_no_path(paths: Paths) -> None:
    _, _, check_us = paths.check_silence(0, paths.record_sent(0, 1_000))
    # The process stood still for a second: both paths have answered, and the other path's answer is read first.
    now = check_us + 1_000_000
    mark_good(paths, now, IPV4)
    _, is_silent, last_us = paths.check_silence(0, now + 50)
    assert not is_silent
    paths.record_answer(0, 500, now + 100)
    paths.record_sent(0, now + 200)
    _, is_silent, _ = paths.check_silence(0, last_us)
    assert not is_silent and paths.paths[0].state is State.GOOD


def test_a_path_that_delivers_answers_is_not_silent_however_many_requests_are_open(paths: Paths) -> None:
    check_us = paths.record_sent(0, 0)
    for step in range(1, 400):
        now = step * 1_000
        paths.record_sent(0, now)
        if step % 3 == 0:
            paths.record_answer(0, 3_000, now)
        if now >= check_us:
            probed, is_silent, check_us = paths.check_silence(0, now)
            assert not probed and not is_silent and check_us <= now + MAX_SILENCE_US


def test_a_path_that_answers_probes_and_loses_requests_is_excluded(paths: Paths) -> None:
    now, exclusions_us = 0, []
    for _ in range(4):
        for _ in range(MAX_LOSSES):
            now += 100_000
            paths.record_sent(0, now - 50_000)
            mark_good(paths, now, UNIX, IPV4)  # probes are answered throughout
            paths.record_unanswered(0, "late", now - 50_000, now)
        mark_good(paths, now + 1, UNIX)
        assert paths.paths[0].state is State.FAILED  # an answered probe alone does not end the exclusion
        exclusions_us.append(paths.paths[0].retry_us - now)
        now = paths.paths[0].retry_us
        mark_good(paths, now, UNIX, IPV4)
        assert paths.paths[0].usable  # on trial
    assert len(exclusions_us) == 4 and exclusions_us[0] >= 0.75 * MIN_EXCLUSION_US
    paths.record_answer(0, 500, now)
    assert paths.paths[0].losses == 0


def test_one_break_is_one_loss_however_many_requests_it_ends(paths: Paths) -> None:
    for number in range(50):
        paths.record_sent(0, 1_000 + number)
    for number in range(50):
        paths.record_unanswered(0, "reset", 1_000 + number, 5_000 + number)
    assert paths.paths[0].losses == 1 and paths.paths[0].state is State.SUSPECT and paths.paths[0].open_requests == 0


def test_another_list_keeps_what_is_known_of_the_addresses_that_stay(paths: Paths) -> None:
    paths.choose(0)
    paths.update_addresses([(IPV6, "", 0), (UNIX, "b", 100)])
    assert [path.address for path in paths.paths] == [IPV6, UNIX] and paths.paths[1].state is State.GOOD
    assert current_address(paths, 1) == UNIX and paths.paths[1].connect_timeout_us == 100
    paths.update_addresses([(IPV6, "", 0)])
    assert current_address(paths, 2) == IPV6


def test_unused_paths_are_probed_now_and_then_and_bad_ones_when_due() -> None:
    paths = new_paths(UNIX, IPV4, IPV6)
    mark_good(paths, 0, UNIX)
    paths.choose(0)
    assert paths.due_for_upkeep(0) == [1, 2] and paths.due_for_upkeep(1_000) == []
    paths.record_failure(1, "refused", 2_000)
    assert paths.due_for_upkeep(paths.paths[1].retry_us) == [1] and paths.next_upkeep_us(0) <= 12_000_000


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 2), st.integers(1, 300_000)), max_size=120))
def test_any_history_leaves_a_path_to_use_and_counts_that_hold(steps: list[tuple[int, int, int]]) -> None:
    paths, now, open_requests = new_paths(), 0, [0, 0, 0]
    rng = random.Random(len(steps))
    for action, index, passed in steps:
        now += passed
        if action < 3:
            index = paths.choose(now)
            paths.record_sent(index, now)
            open_requests[index] += 1
        elif action < 5 and open_requests[index]:
            paths.record_answer(index, passed, now)
            open_requests[index] -= 1
        elif action < 7 and open_requests[index]:
            paths.record_unanswered(index, rng.choice(["reset", "late", "unsent"]), now - passed, now)
            open_requests[index] -= 1
        elif action == 7:
            paths.record_failure(index, "refused", now)
        elif action == 8:
            paths.record_contact(index, passed, now, "run", probe=True)
        else:
            _, is_silent, _ = paths.check_silence(index, now)
            if is_silent:
                paths.record_failure(index, "silent", now)
                open_requests[index] = 0
        chosen = paths.choose(now)
        # New requests never use a path that is known to be bad while another one may be used.
        assert paths.paths[chosen].usable or not any(path.usable for path in paths.paths)
        assert [path.open_requests for path in paths.paths] == open_requests
        assert paths.order(now) and len(set(paths.order(now))) == len(paths.order(now)) and paths.new_race(now).queue
