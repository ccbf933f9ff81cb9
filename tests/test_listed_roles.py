"""The role that discovery lists counts only until a member has told its own."""

import pytest

from oatlink import interface as api
from oatlink.core.snapshot import _Reader, _Writer
from oatlink.interface import Outcome, Role
from oatlink.rules.parameters import LISTED_ROLE_MAX_DELAY_US
from tests.conftest import Driver, member, only_send, sends

DENIALS = [None, api.Report(None, Role.REPLICA)]
NO_ROLE = [None, api.Report(None, Role.UNKNOWN)]


def driver_with_listed_primary(**changes: object) -> Driver:
    """Member 1 is listed as primary, and was."""
    driver = Driver(**changes)
    driver.roster(member(1, primary=True), member(2), member(3))
    driver.arrive("any")
    for number, role in ((2, Role.REPLICA), (3, Role.REPLICA), (1, Role.PRIMARY)):
        for send in sends(driver.checked(number, role)):
            driver.ended(send, Outcome.SERVED)
    return driver


def deny(driver: Driver, answer: api.Report | None) -> None:
    """Let member 1 turn a write away."""
    driver.skip(300_000)
    send = only_send(driver.arrive("submit", expires=8_000_000))
    assert send.member == 1
    assert not sends(driver.ended(send, Outcome.MISS, answer=answer))


def answer_check_without_role(driver: Driver, report: api.Report | None) -> list[api.Action]:
    return driver.handle(api.Checked(1, Outcome.SERVED, 2_000, report))


@pytest.mark.parametrize("denial", DENIALS)
@pytest.mark.parametrize("report", NO_ROLE)
def test_a_late_list_does_not_make_a_member_primary_that_has_denied_it(
    denial: api.Report | None, report: api.Report | None
) -> None:
    """Guards against a stale read: a replaced primary that had said so got reads that must be current (review, 3)."""
    driver = driver_with_listed_primary()
    deny(driver, denial)
    read = driver.arrive("check", expires=8_000_000)
    assert not sends(read) and not sends(answer_check_without_role(driver, report))
    driver.roster(member(1, primary=True), member(2), member(3))  # the same late list again
    assert not sends(answer_check_without_role(driver, report))
    assert {send.member for send in sends(driver.checked(2, Role.PRIMARY))} == {2}


@pytest.mark.parametrize("report", NO_ROLE)
def test_a_reset_after_a_denial_does_not_bring_the_listed_role_back(report: api.Report | None) -> None:
    driver = driver_with_listed_primary()
    deny(driver, None)
    driver.check_failed(1)
    driver.arrive("check", expires=8_000_000)
    assert not sends(answer_check_without_role(driver, report))


def test_how_often_lists_are_asked_for_does_not_say_how_late_they_name_a_primary() -> None:
    driver = driver_with_listed_primary(ask_within_us=250_000, must_ask_roster=True)
    deny(driver, None)
    driver.wait(LISTED_ROLE_MAX_DELAY_US // 2)
    driver.arrive("check", expires=1_500_000)
    assert not sends(answer_check_without_role(driver, None))


def test_a_list_that_names_a_member_as_primary_anew_counts_again() -> None:
    driver = driver_with_listed_primary()
    deny(driver, None)
    driver.roster(member(1), member(2, primary=True), member(3))
    driver.roster(member(1, primary=True), member(2), member(3))
    assert {send.member for send in sends(answer_check_without_role(driver, None))} == {1}


def test_a_list_counts_again_once_it_must_be_newer_than_the_denial() -> None:
    driver = driver_with_listed_primary()
    deny(driver, None)
    driver.wait(LISTED_ROLE_MAX_DELAY_US + 1)
    send = driver.arrive("submit", expires=2_000_000)
    assert not sends(send)
    assert {each.member for each in sends(answer_check_without_role(driver, None))} == {1}


def test_a_member_that_tells_that_it_is_primary_is_believed_at_once() -> None:
    driver = driver_with_listed_primary()
    deny(driver, None)
    assert {send.member for send in sends(driver.checked(1, Role.PRIMARY))} == {1}


def test_a_denial_is_kept_by_a_snapshot_and_a_member_without_one_is_stored_as_before() -> None:
    driver = driver_with_listed_primary()
    before = _Writer().encode(driver.router.state.members[1])
    deny(driver, None)
    stored = _Writer().encode(driver.router.state.members[1])
    assert len(stored[3]) == len(before[3]) + 1
    for fields in (before, stored):
        restored = _Reader().decode(fields)
        assert _Writer().encode(restored) == fields
    assert restored.denied_primary_us == driver.router.state.members[1].denied_primary_us == driver.now
