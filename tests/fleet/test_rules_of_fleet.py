"""What the fleet adds to the Router: a doubt (a check now, a turn later), a position that a request needs."""

import random

import pytest

from oatlink import interface as api
from oatlink.core.positions import Positions
from oatlink.interface import Outcome, Role
from oatlink.rules import cold
from tests.conftest import Driver, member, of_type, sends


def doubted(driver: Driver, number: int, at_us: int, until_us: int) -> list[api.Action]:
    return driver.roster(member(number, suspicion=(at_us, until_us)), kind=api.RosterKind.CHANGES)


def share_of(driver: Driver, number: int, reads: int = 20) -> int:
    """How many of so many reads, each answered at once, a member gets."""
    got = 0
    for _ in range(reads):
        (send,) = sends(driver.arrive("any"))
        got += send.member == number
        driver.now += 1_000
        driver.ended(send, Outcome.SERVED, answer=api.Report())
    return got


def test_a_doubt_asks_the_member_at_once_and_once(driver: Driver) -> None:
    driver.skip(1_000)
    assert [one.member for one in of_type(api.Check, doubted(driver, 2, driver.now, 0))] == [2]
    assert not of_type(api.Check, doubted(driver, 2, driver.now, 0))


def test_a_doubt_older_than_what_was_heard_here_asks_nothing(driver: Driver) -> None:
    assert not of_type(api.Check, doubted(driver, 2, driver.now - 1, 0))


def test_a_doubted_member_comes_later_until_it_answers_or_the_time_is_over(driver: Driver) -> None:
    assert 5 <= share_of(driver, 2) <= 15
    driver.skip(1_000)
    doubted(driver, 2, driver.now, driver.now + 2_000_000)
    driver.checked(2, Role.REPLICA)
    assert share_of(driver, 2) == 0
    driver.skip(2_000_000)
    assert share_of(driver, 2) >= 5


def test_a_doubted_member_is_not_left_out_where_it_is_the_only_one() -> None:
    driver = Driver()
    driver.roster(member(1), member(2))
    driver.arrive("any")
    for number, role in ((2, Role.REPLICA), (1, Role.PRIMARY)):
        for send in sends(driver.checked(number, role)):
            driver.ended(send, Outcome.SERVED)
    doubted(driver, 2, driver.now + 1, driver.now + 2_000_000)
    driver.checked(2, Role.REPLICA)
    assert [one.member for one in sends(driver.arrive("any"))] == [2]


@pytest.mark.parametrize("name", ["any", "view", "own"])
def test_a_position_that_is_needed_keeps_older_replicas_out(driver: Driver, name: str) -> None:
    driver.now += 200_000
    (send,) = sends(driver.arrive(name, min_position_us=driver.now - 200_000))
    assert send.member in (2, 3)
    asked = driver.arrive(name, min_position_us=driver.now - 199_999)
    assert all(one.member == 1 for one in sends(asked))
    late = [one for number in (2, 3) for one in sends(driver.checked(number, Role.REPLICA, age=199_998))]
    assert [one.member for one in sends(asked) + late][0] in (1, 2, 3) and len(sends(asked) + late) == 1


def test_a_cold_member_asked_in_the_very_instant_does_not_divide_by_nothing() -> None:
    driver = Driver(peers=200, fall_us=2_000_000)
    driver.ready()
    driver.roster(member(2, started_us=driver.now), kind=api.RosterKind.CHANGES)
    book = driver.router.state
    group = book.groups[1]
    group.primary_known_us, group.primary_lost_us = 0, 2_000_000
    driver.arrive("post")
    request = next(iter(book.requests.values()))
    request.is_primary_only = True
    assert cold.within_budget(book, book.members[2], 1.0, request) is False


def test_a_position_that_proves_an_offset_is_the_first_that_does() -> None:
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
            for held in range(0, offset + 40, 3):
                # Of the marker's own history what lies past the join was never in the present one.
                shown = positions.time_of(replid, held)
                if needed is not None and shown is not None and shown >= needed:
                    assert held >= marker
        assert positions.reached_us("unheard", marker) is None
