"""Rules of the Router for what the fleet tells it: suspected members, and positions that a request needs.

A suspicion makes the Router check the member at once, and use it only after the others until the member answers or the
suspicion ends.
"""

import random

import pytest

from oatlink import interface as api
from oatlink.core.positions import Positions
from oatlink.interface import Outcome, Role
from oatlink.rules import cold
from tests.conftest import Driver, member, of_type, sends


def send_doubt(driver: Driver, number: int, at_us: int, until_us: int) -> list[api.Action]:
    return driver.roster(member(number, suspicion=(at_us, until_us)), kind=api.RosterKind.CHANGES)


def count_reads(driver: Driver, number: int, reads: int = 20) -> int:
    """The number of reads that a member gets, when each read is answered at once."""
    count = 0
    for _ in range(reads):
        (send,) = sends(driver.arrive("any"))
        count += send.member == number
        driver.now += 1_000
        driver.ended(send, Outcome.SERVED, answer=api.Report())
    return count


def test_a_doubt_checks_the_member_once_and_at_once(driver: Driver) -> None:
    driver.skip(1_000)
    assert [check.member for check in of_type(api.Check, send_doubt(driver, 2, driver.now, 0))] == [2]
    assert not of_type(api.Check, send_doubt(driver, 2, driver.now, 0))


def test_a_doubt_older_than_the_last_report_checks_nothing(driver: Driver) -> None:
    assert not of_type(api.Check, send_doubt(driver, 2, driver.now - 1, 0))


def test_a_doubted_member_is_used_last_until_it_answers_or_the_doubt_ends(driver: Driver) -> None:
    assert 5 <= count_reads(driver, 2) <= 15
    driver.skip(1_000)
    send_doubt(driver, 2, driver.now, driver.now + 2_000_000)
    driver.checked(2, Role.REPLICA)
    assert count_reads(driver, 2) == 0
    driver.skip(2_000_000)
    assert count_reads(driver, 2) >= 5


def test_a_doubted_member_is_used_if_it_is_the_only_one() -> None:
    driver = Driver()
    driver.roster(member(1), member(2))
    driver.arrive("any")
    for number, role in ((2, Role.REPLICA), (1, Role.PRIMARY)):
        for send in sends(driver.checked(number, role)):
            driver.ended(send, Outcome.SERVED)
    send_doubt(driver, 2, driver.now + 1, driver.now + 2_000_000)
    driver.checked(2, Role.REPLICA)
    assert [send.member for send in sends(driver.arrive("any"))] == [2]


@pytest.mark.parametrize("name", ["any", "view", "own"])
def test_a_needed_position_excludes_older_replicas(driver: Driver, name: str) -> None:
    driver.now += 200_000
    (send,) = sends(driver.arrive(name, min_position_us=driver.now - 200_000))
    assert send.member in (2, 3)
    actions = driver.arrive(name, min_position_us=driver.now - 199_999)
    assert all(send.member == 1 for send in sends(actions))
    later_sends = [send for number in (2, 3) for send in sends(driver.checked(number, Role.REPLICA, age=199_998))]
    all_sends = sends(actions) + later_sends
    assert len(all_sends) == 1 and all_sends[0].member in (1, 2, 3)


def test_the_budget_of_a_cold_member_does_not_divide_by_zero_at_its_start() -> None:
    driver = Driver(peers=200, fall_us=2_000_000)
    driver.ready()
    driver.roster(member(2, started_us=driver.now), kind=api.RosterKind.CHANGES)
    state = driver.router.state
    group = state.groups[1]
    group.primary_known_us, group.primary_lost_us = 0, 2_000_000
    driver.arrive("post")
    request = next(iter(state.requests.values()))
    request.is_primary_only = True
    assert cold.within_budget(state, state.members[2], 1.0, request) is False


def test_a_member_at_the_position_of_an_offset_has_the_offset() -> None:
    rng = random.Random(5)
    for _ in range(200):
        positions, now, offset, replid, parent, join = Positions(), 1_000, 0, "h0", None, -1
        for number in range(rng.randrange(1, 60)):
            now, offset = now + rng.randrange(1, 50), offset + rng.randrange(0, 20)
            if rng.random() < 0.05:
                parent, join, replid = replid, offset + 1, f"h{number + 1}"
            positions.sample(replid, offset, now, now + 1, parent=parent, join=join)
        marker = rng.randrange(offset + 30)
        for history in (replid, parent or "none"):
            needed = positions.reached_us(history, marker)
            for member_offset in range(0, offset + 40, 3):
                # Offsets of the parent history past the join never belonged to the present history.
                member_us = positions.time_of(replid, member_offset)
                if needed is not None and member_us is not None and member_us >= needed:
                    assert member_offset >= marker
        assert positions.reached_us("unknown", marker) is None
