"""A request is committed at its write: what the Router and the book of requests look at again there."""

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from oatlink import interface as api
from oatlink.interface import Effect, Listing, Outcome, Role, RosterKind
from oatlink.platform import config
from oatlink.platform import requests as req
from oatlink.platform.statement import StatementError, parse
from oatlink.rules import Router
from tests.conftest import POST, SETTINGS, VIEW, Driver, member, of, sends
from tests.test_adapter import OPTIONS
from tests.test_platform_values import READ, WRITE, Asked, World

READ = READ.replace(b"cluster=2,r=1", b"cluster=1")
WRITE = WRITE.replace(b"d=480", b"d=2900").replace(b"cluster=2", b"cluster=1")


def may(driver: Driver, send: api.Send, attempt: int = 0) -> bool:
    return driver.router.may_write(send.request, attempt, driver.now)


# ---- The Router ----


def test_an_attempt_may_be_written_while_nothing_has_changed(driver: Driver) -> None:
    (send,) = sends(driver.arrive("post", expires=3_000_000))
    assert may(driver, send)
    driver.now += 2_900_000
    assert may(driver, send)


def test_not_to_a_server_that_drains_or_has_left_since(driver: Driver) -> None:
    (write,) = sends(driver.arrive("post", expires=3_000_000))
    (read,) = sends(driver.arrive("view"))
    drains = member(write.member, listing=Listing.TERMINATING)
    driver.roster(drains, kind=RosterKind.CHANGES)
    assert not may(driver, write) and may(driver, read)
    driver.roster(*(member(number) for number in (1, 2, 3) if number != read.member))
    assert not may(driver, read), "not listed any more"


@pytest.mark.parametrize(("ahead_us", "written"), [(-5_000, False), (-50_000, True), (10_000_000, True)])
def test_not_to_a_server_that_has_started_anew_since(driver: Driver, ahead_us: int, written: bool) -> None:
    """It is cold now: what it may get is counted anew. One that started before or will start is what it was."""
    (send,) = sends(driver.arrive("post", expires=3_000_000))
    driver.now += 10_000
    driver.roster(member(send.member, started_us=driver.now + ahead_us), kind=RosterKind.CHANGES)
    assert may(driver, send) == written


def test_not_for_a_client_that_has_left_or_has_its_answer_nor_past_its_time(driver: Driver) -> None:
    (left,) = sends(driver.arrive("post", expires=3_000_000))
    (late,) = sends(driver.arrive("post", expires=300_000))
    driver.give(api.Departure(left.request))
    assert not may(driver, left) and may(driver, late)
    driver.now += 300_000
    assert not may(driver, late)


@pytest.mark.parametrize("written_in_time", [True, False])
def test_a_keyed_repeat_is_looked_at_once_more_at_its_write(driver: Driver, written_in_time: bool) -> None:
    """Threat: chosen within the window, written after it by a connection that came up late: an effect twice."""
    (first,) = sends(driver.arrive("post", expires=3_000_000))
    began = driver.now
    driver.now += 1_200_000
    (again,) = sends(driver.ended(first, Outcome.ERROR, duration=1_200_000))
    end = began + POST.repeat_window_us - driver.router.state.margin_us
    driver.now = end - 1 if written_in_time else end
    assert may(driver, again, attempt=1) == written_in_time
    if not written_in_time:
        done = driver.ended(again, Outcome.WITHDRAWN, attempt=1, duration=0)
        assert of(api.Fail, done) and not sends(done), "the first may have run: failed, never sent again"


def test_a_replica_grows_too_old_for_a_read_while_its_connection_is_dialled(driver: Driver) -> None:
    """Threat: a bound counts from the last byte of the send. What was fresh enough when chosen is stale then."""
    (send,) = sends(driver.arrive("view"))
    old = driver.router.state.members[send.member].position_us
    driver.now = old + VIEW.staleness_us
    assert may(driver, send)
    driver.now += 1
    assert not may(driver, send)
    driver.checked(send.member, Role.REPLICA)
    assert may(driver, send), "heard of meanwhile"


def test_a_current_read_is_not_written_to_a_primary_that_is_none_any_more(driver: Driver) -> None:
    driver.now += 20_000
    (send,) = sends(driver.arrive("check"))
    assert may(driver, send)
    driver.now += 20_000
    driver.checked(2, Role.PRIMARY)
    assert not may(driver, send) and driver.router.state.groups[1].primary == 2
    (again,) = sends(driver.ended(send, Outcome.WITHDRAWN, duration=0))
    assert again.member == 2 and may(driver, again, attempt=1)


def test_an_unsafe_write_goes_again_only_where_nothing_can_have_run(driver: Driver) -> None:
    (send,) = sends(driver.arrive("submit", expires=5_000_000))
    (again,) = sends(driver.ended(send, Outcome.WITHDRAWN, duration=0))
    assert again.request == send.request and may(driver, again, attempt=1)
    done = driver.ended(again, Outcome.RESET, attempt=1, duration=5_000)
    assert of(api.Fail, done) and not sends(done)


def test_the_look_at_the_write_changes_nothing(driver: Driver) -> None:
    """Threat: a replay does not ask. What an operator is shown, by the time of the last event, would differ."""
    (send,) = sends(driver.arrive("post", expires=3_000_000))
    before = driver.router.state.now_us
    assert driver.router.may_write(send.request, 0, before + 1_000)
    assert driver.router.state.now_us == before


def test_a_withdrawn_attempt_says_nothing_of_its_server(driver: Driver) -> None:
    before = replace(driver.router.state.members[1])
    (send,) = sends(driver.arrive("post", expires=3_000_000))
    driver.ended(send, Outcome.WITHDRAWN, duration=0)
    after = driver.router.state.members[1]
    unchanged = (before.concurrency_limit, before.refused_connection_count, before.paused_until_us, Role.PRIMARY)
    assert (after.concurrency_limit, after.refused_connection_count, after.paused_until_us, after.role) == unchanged
    assert not Outcome.WITHDRAWN.may_have_run


def test_a_drain_that_was_taken_back_is_not_remembered_when_the_server_is_dropped() -> None:
    """Where only draining binds, one that came back and is dropped later stays open."""
    one = Driver(dropped_stay_open=True).ready()
    (before,) = sends(one.arrive("post", expires=3_000_000))
    one.ended(before, Outcome.SERVED)
    one.roster(member(1, listing=Listing.TERMINATING), kind=RosterKind.CHANGES)
    assert not sends(one.arrive("post", expires=3_000_000))
    one.roster(member(1), member(2), member(3))
    one.checked(1, Role.PRIMARY)
    one.roster(member(2), member(3))
    assert 1 in one.router.state.members and sends(one.arrive("post", expires=3_000_000))
    one.roster(member(1, listing=Listing.TERMINATING), kind=RosterKind.CHANGES)
    one.roster(member(2), member(3))
    assert 1 not in one.router.state.members, "dropped while it drains: bound"


def test_other_settings_bring_other_tenants_and_their_shares() -> None:
    router = Router(replace(SETTINGS, tenant_rates=(("old", 10.0), ("both", 10.0))))
    router.configure(replace(SETTINGS, tenant_rates=(("both", 40.0), ("new", 20.0))))
    assert {one: share[0] for one, share in router.state.tenant_budgets.items()} == {"both": 20.0, "new": 10.0}


# ---- The book of open requests ----


class Desk(World):
    """Requests before a Router that knows a primary and two replicas; a test says itself what is written."""

    def __init__(self) -> None:
        super().__init__(1, Router(SETTINGS))
        self.slow = 1.0
        for number in (1, 2, 3):
            report = api.Report(self.now, Role.PRIMARY if number == 1 else Role.REPLICA)
            self.book.handle(api.Checked(number, Outcome.SERVED, 2_000, report), self.now)

    def asked(self, text: bytes) -> tuple[req.Open, req.Attempt, Asked]:
        self.ask(text, 0x9B1F)
        (attempt,) = [each for each in self.out.values() if each.open is self.open[-1]]
        return self.open[-1], attempt, self.owners[-1]

    def served(self, attempt: req.Attempt, value: bytes) -> list[req.Tell]:
        """Who is told of an attempt's answer."""
        done = self.book.ended(attempt, Outcome.SERVED, self.now, self.now, value)
        return [each for each in done if isinstance(each, req.Tell)]


@pytest.mark.parametrize("written", [True, False])
def test_a_clients_leaving_takes_back_what_is_not_written_and_only_that(written: bool) -> None:
    desk = Desk()
    one, attempt, owner = desk.asked(WRITE)
    attempt.written = written
    assert desk.book.may_write(attempt, desk.now)
    done = desk.book.departed(one, desk.now)
    assert not desk.book.may_write(attempt, desk.now)
    assert any(isinstance(each, req.Abandon) for each in done) == (not written)
    assert attempt.ended == (not written) and not owner.finals
    if written:
        desk.served(attempt, b"value")
    assert not desk.book._open and not owner.finals, "the answer of the one that left is nobody's"


def test_the_same_id_is_free_at_once_when_its_client_has_left() -> None:
    desk = Desk()
    one, attempt, first = desk.asked(READ)
    attempt.written = True
    desk.book.departed(one, desk.now)
    assert not desk.book.is_open(b"9b1f")
    _, again, second = desk.asked(READ)
    assert not desk.served(attempt, b"the first's")
    (told,) = desk.served(again, b"its own")
    assert told.owner is second and told.final.payload == b"its own" and not first.finals


@pytest.mark.parametrize("written", [True, False])
def test_at_its_deadline_only_a_written_attempt_can_have_run(written: bool) -> None:
    desk = Desk()
    _, attempt, _ = desk.asked(WRITE)
    attempt.written = written
    heard: list[api.Event] = []
    handle = desk.book.router.handle

    def noted(event: api.Event, now_us: int) -> list[api.Action]:
        heard.append(event)
        return handle(event, now_us)

    desk.book.router.handle = noted  # type: ignore[method-assign]
    desk.now += 2_900_000
    done = desk.book.expire(desk.now)
    ends = [each.outcome for each in heard if isinstance(each, api.AttemptEnded)]
    assert ends == [Outcome.LATE if written else Outcome.WITHDRAWN]
    (told,) = [each for each in done if isinstance(each, req.Tell)]
    assert told.final == req.FAILED, "its time is up"


# ---- Names and settings ----


@pytest.mark.parametrize("name", ["prix/vue", "éclair", "a@b#c", "x" * 256, "class=1"])
def test_a_class_may_be_named_as_the_settings_like(name: str) -> None:
    rule = replace(VIEW, name=name)
    assert parse(READ.replace(b"c=view", b"c=" + name.encode()), {name: rule}, {1}).rule is rule


@pytest.mark.parametrize("name", [b"a*/b", b"a,b", b"a b", b"a\nb", b"", b"x" * 257])
def test_a_name_that_ends_the_comment_is_a_mistake(name: bytes) -> None:
    with pytest.raises(StatementError):
        parse(READ.replace(b"c=view", b"c=" + name), {"view": VIEW, name.decode(): VIEW}, {1})


def read(place: Path, options: dict[str, Any]) -> config.Config:
    """A configuration with these settings."""
    path = place / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": options}))
    return config.read({"GW_CONFIG": str(path)})


def test_settings_without_their_optional_parts_are_enough(tmp_path: Path) -> None:
    found = read(tmp_path, {name: OPTIONS[name] for name in ("Classes", "FamilyInfo", "Zone")})
    assert [rule.effect for rule in found.settings.classes] == [Effect.KEYED, Effect.IDEMPOTENT]
    assert Router(found.settings).handle(api.Start(), 1)


def test_a_zone_without_a_name_and_tenants_with_long_or_equal_ones_are_taken(tmp_path: Path) -> None:
    tenants = [{"Name": name, "AllowancePerS": 5.0} for name in ("", "t" * 100_000, "same", "same")]
    found = read(tmp_path, OPTIONS | {"Zone": "", "Tenants": tenants})
    assert len(Router(found.settings).state.tenant_budgets) == 3


@pytest.mark.parametrize("names", [("view", "view"), ("view", "")])
def test_classes_with_the_same_name_or_none_are_one_clear_line(tmp_path: Path, names: tuple[str, str]) -> None:
    classes = [OPTIONS["Classes"][0] | {"Name": name} for name in names]
    with pytest.raises(config.ConfigError, match="classes: expected each name once and none empty"):
        read(tmp_path, OPTIONS | {"Classes": classes})


@pytest.mark.parametrize(("mode", "within_us"), [("push", 700_000), ("ask", 6_000_000)])
def test_a_pushed_list_is_asked_for_within_the_time_to_stop_sending(tmp_path: Path, mode: str, within_us: int) -> None:
    """Threat: what the agent has counts as told from a process's first moment, and at once when discovery is back."""
    duties = {"AskWithinUs": 10_000_000, "StopSendingWithinUs": 700_000}
    found = read(tmp_path, OPTIONS | {"Discovery": mode, "PeersTotal": 200, "Obligations": duties})
    assert (found.settings.must_ask_roster, found.settings.ask_within_us, found.watch_s) == (True, within_us, 2.5)
    for seed in range(20):
        router = Router(replace(found.settings, seed=seed))
        done = [*router.handle(api.Start(), 1), *router.handle(api.Roster(RosterKind.FAILED), 2)]
        asked = [one.at_us for one in done if isinstance(one, api.SetTimer)]
        assert max(asked) <= 2 + within_us / 2
