"""A request is committed when it is written: what the Router and `Requests` check again at that moment."""

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
from tests.conftest import POST, SETTINGS, VIEW, Driver, member, of_type, sends
from tests.test_adapter import OPTIONS
from tests.test_platform_values import READ, WRITE, RecordingOwner, RequestsHarness

READ = READ.replace(b"cluster=2,r=1", b"cluster=1")
WRITE = WRITE.replace(b"d=480", b"d=2900").replace(b"cluster=2", b"cluster=1")


def may_write(driver: Driver, send: api.Send, attempt: int = 0) -> bool:
    return driver.router.may_write(send.request, attempt, driver.now)


# ---- The Router ----


def test_an_attempt_may_be_written_while_nothing_has_changed(driver: Driver) -> None:
    (send,) = sends(driver.arrive("post", expires=3_000_000))
    assert may_write(driver, send)
    driver.now += 2_900_000
    assert may_write(driver, send)


def test_not_to_a_server_that_has_begun_to_drain_or_has_left_since(driver: Driver) -> None:
    (write,) = sends(driver.arrive("post", expires=3_000_000))
    (read,) = sends(driver.arrive("view"))
    draining = member(write.member, listing=Listing.TERMINATING)
    driver.roster(draining, kind=RosterKind.CHANGES)
    assert not may_write(driver, write) and may_write(driver, read)
    driver.roster(*(member(number) for number in (1, 2, 3) if number != read.member))
    assert not may_write(driver, read), "not listed any more"


@pytest.mark.parametrize(("start_offset_us", "may_be_written"), [(-5_000, False), (-50_000, True), (10_000_000, True)])
def test_not_to_a_server_that_has_restarted_since(driver: Driver, start_offset_us: int, may_be_written: bool) -> None:
    """A restarted server is cold and its admission starts again. An earlier or future start time changes nothing."""
    (send,) = sends(driver.arrive("post", expires=3_000_000))
    driver.now += 10_000
    driver.roster(member(send.member, started_us=driver.now + start_offset_us), kind=RosterKind.CHANGES)
    assert may_write(driver, send) == may_be_written


def test_not_for_a_client_that_has_left_or_has_its_answer_nor_past_its_time(driver: Driver) -> None:
    (left,) = sends(driver.arrive("post", expires=3_000_000))
    (late,) = sends(driver.arrive("post", expires=300_000))
    driver.handle(api.Departure(left.request))
    assert not may_write(driver, left) and may_write(driver, late)
    driver.now += 300_000
    assert not may_write(driver, late)


@pytest.mark.parametrize("is_in_time", [True, False])
def test_the_repeat_window_of_a_keyed_write_is_checked_again_at_its_write(driver: Driver, is_in_time: bool) -> None:
    """Prevents a double effect when a repeat is chosen within the window but its connection is ready only after it."""
    (first,) = sends(driver.arrive("post", expires=3_000_000))
    began = driver.now
    driver.now += 1_200_000
    (again,) = sends(driver.ended(first, Outcome.ERROR, duration=1_200_000))
    end = began + POST.repeat_window_us - driver.router.state.margin_us
    driver.now = end - 1 if is_in_time else end
    assert may_write(driver, again, attempt=1) == is_in_time
    if not is_in_time:
        done = driver.ended(again, Outcome.WITHDRAWN, attempt=1, duration=0)
        assert of_type(api.Fail, done) and not sends(done), "the first may have run: failed, never sent again"


def test_a_replica_grows_too_old_for_a_read_while_its_connection_is_dialled(driver: Driver) -> None:
    """Staleness counts from the last byte of the send: a replica fresh enough when chosen may be stale by then."""
    (send,) = sends(driver.arrive("view"))
    position_us = driver.router.state.members[send.member].position_us
    driver.now = position_us + VIEW.staleness_us
    assert may_write(driver, send)
    driver.now += 1
    assert not may_write(driver, send)
    driver.checked(send.member, Role.REPLICA)
    assert may_write(driver, send), "a newer position has been reported meanwhile"


def test_a_current_read_is_not_written_to_a_former_primary(driver: Driver) -> None:
    driver.now += 20_000
    (send,) = sends(driver.arrive("check"))
    assert may_write(driver, send)
    driver.now += 20_000
    driver.checked(2, Role.PRIMARY)
    assert not may_write(driver, send) and driver.router.state.groups[1].primary == 2
    (again,) = sends(driver.ended(send, Outcome.WITHDRAWN, duration=0))
    assert again.member == 2 and may_write(driver, again, attempt=1)


def test_an_unsafe_write_is_retried_only_if_it_cannot_have_run(driver: Driver) -> None:
    (send,) = sends(driver.arrive("submit", expires=5_000_000))
    (again,) = sends(driver.ended(send, Outcome.WITHDRAWN, duration=0))
    assert again.request == send.request and may_write(driver, again, attempt=1)
    done = driver.ended(again, Outcome.RESET, attempt=1, duration=5_000)
    assert of_type(api.Fail, done) and not sends(done)


def test_the_check_at_the_write_changes_nothing(driver: Driver) -> None:
    """A replay does not make this check. If it changed the time of the last event, operators would see other values."""
    (send,) = sends(driver.arrive("post", expires=3_000_000))
    before = driver.router.state.now_us
    assert driver.router.may_write(send.request, 0, before + 1_000)
    assert driver.router.state.now_us == before


def test_a_withdrawn_attempt_does_not_change_what_is_known_of_its_server(driver: Driver) -> None:
    before = replace(driver.router.state.members[1])
    (send,) = sends(driver.arrive("post", expires=3_000_000))
    driver.ended(send, Outcome.WITHDRAWN, duration=0)
    after = driver.router.state.members[1]
    unchanged = (before.concurrency_limit, before.refused_connection_count, before.paused_until_us, Role.PRIMARY)
    assert (after.concurrency_limit, after.refused_connection_count, after.paused_until_us, after.role) == unchanged
    assert not Outcome.WITHDRAWN.may_have_run


def test_a_cancelled_drain_is_forgotten_when_the_server_is_later_dropped_from_the_list() -> None:
    """With `dropped_stay_open`, a server dropped from the list stays in use unless it was draining just before."""
    driver = Driver(dropped_stay_open=True).ready()
    (before,) = sends(driver.arrive("post", expires=3_000_000))
    driver.ended(before, Outcome.SERVED)
    driver.roster(member(1, listing=Listing.TERMINATING), kind=RosterKind.CHANGES)
    assert not sends(driver.arrive("post", expires=3_000_000))
    driver.roster(member(1), member(2), member(3))
    driver.checked(1, Role.PRIMARY)
    driver.roster(member(2), member(3))
    assert 1 in driver.router.state.members and sends(driver.arrive("post", expires=3_000_000))
    driver.roster(member(1, listing=Listing.TERMINATING), kind=RosterKind.CHANGES)
    driver.roster(member(2), member(3))
    assert 1 not in driver.router.state.members, "dropped while it drains: sending has to stop"


def test_new_settings_replace_the_tenants_and_their_shares() -> None:
    router = Router(replace(SETTINGS, tenant_rates=(("old", 10.0), ("both", 10.0))))
    router.configure(replace(SETTINGS, tenant_rates=(("both", 40.0), ("new", 20.0))))
    assert {tenant: share[0] for tenant, share in router.state.tenant_budgets.items()} == {"both": 20.0, "new": 10.0}


# ---- Open requests ----


class ManualHarness(RequestsHarness):
    """Requests with a Router that knows a primary and two replicas; the test itself marks attempts as written."""

    def __init__(self) -> None:
        super().__init__(1, Router(SETTINGS))
        self.delayed_share = 1.0
        for number in (1, 2, 3):
            report = api.Report(self.now, Role.PRIMARY if number == 1 else Role.REPLICA)
            self.requests.handle(api.Checked(number, Outcome.SERVED, 2_000, report), self.now)

    def start_request(self, text: bytes) -> tuple[req.Open, req.Attempt, RecordingOwner]:
        self.add_request(text, 0x9B1F)
        (attempt,) = [each for each in self.running.values() if each.request is self.open_requests[-1]]
        return self.open_requests[-1], attempt, self.owners[-1]

    def serve(self, attempt: req.Attempt, value: bytes) -> list[req.SendAnswer]:
        """End an attempt with an answer and return the answers to send to clients."""
        actions = self.requests.handle_attempt_end(attempt, Outcome.SERVED, self.now, self.now, value)
        return [action for action in actions if isinstance(action, req.SendAnswer)]


@pytest.mark.parametrize("is_written", [True, False])
def test_when_a_client_leaves_only_unwritten_attempts_are_withdrawn(is_written: bool) -> None:
    harness = ManualHarness()
    request, attempt, owner = harness.start_request(WRITE)
    attempt.is_written = is_written
    assert harness.requests.may_write(attempt, harness.now)
    actions = harness.requests.handle_departure(request, harness.now)
    assert not harness.requests.may_write(attempt, harness.now)
    assert any(isinstance(action, req.Abandon) for action in actions) == (not is_written)
    assert attempt.has_ended == (not is_written) and not owner.finals
    if is_written:
        harness.serve(attempt, b"value")
    assert not harness.requests._open and not owner.finals, "the answer for a client that has left is dropped"


def test_the_same_id_is_free_at_once_when_its_client_has_left() -> None:
    harness = ManualHarness()
    request, attempt, first = harness.start_request(READ)
    attempt.is_written = True
    harness.requests.handle_departure(request, harness.now)
    assert not harness.requests.is_open(b"9b1f")
    _, again, second = harness.start_request(READ)
    assert not harness.serve(attempt, b"the first's")
    (sent_answer,) = harness.serve(again, b"its own")
    assert sent_answer.owner is second and sent_answer.final.payload == b"its own" and not first.finals


@pytest.mark.parametrize("is_written", [True, False])
def test_at_its_deadline_only_a_written_attempt_can_have_run(is_written: bool) -> None:
    harness = ManualHarness()
    _, attempt, _ = harness.start_request(WRITE)
    attempt.is_written = is_written
    events: list[api.Event] = []
    handle = harness.requests.router.handle

    def recording_handle(event: api.Event, now_us: int) -> list[api.Action]:
        events.append(event)
        return handle(event, now_us)

    harness.requests.router.handle = recording_handle  # type: ignore[method-assign]
    harness.now += 2_900_000
    actions = harness.requests.expire(harness.now)
    ends = [event.outcome for event in events if isinstance(event, api.AttemptEnded)]
    assert ends == [Outcome.LATE if is_written else Outcome.WITHDRAWN]
    (sent_answer,) = [action for action in actions if isinstance(action, req.SendAnswer)]
    assert sent_answer.final == req.FAILED, "its time is up"


# ---- Names and settings ----


@pytest.mark.parametrize("name", ["prix/vue", "éclair", "a@b#c", "x" * 256, "class=1"])
def test_a_class_may_have_any_name_that_the_settings_allow(name: str) -> None:
    rule = replace(VIEW, name=name)
    assert parse(READ.replace(b"c=view", b"c=" + name.encode()), {name: rule}, {1}).request_class is rule


@pytest.mark.parametrize("name", [b"a*/b", b"a,b", b"a b", b"a\nb", b"", b"x" * 257])
def test_a_class_name_that_would_end_the_comment_is_rejected(name: bytes) -> None:
    with pytest.raises(StatementError):
        parse(READ.replace(b"c=view", b"c=" + name), {"view": VIEW, name.decode(): VIEW}, {1})


def load_config(folder: Path, options: dict[str, Any]) -> config.Config:
    """Load a configuration with these settings."""
    path = folder / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": options}))
    return config.load({"GW_CONFIG": str(path)})


def test_settings_without_their_optional_parts_are_enough(tmp_path: Path) -> None:
    loaded = load_config(tmp_path, {name: OPTIONS[name] for name in ("Classes", "FamilyInfo", "Zone")})
    assert [rule.effect for rule in loaded.settings.classes] == [Effect.KEYED, Effect.IDEMPOTENT]
    assert Router(loaded.settings).handle(api.Start(), 1)


def test_a_zone_without_a_name_and_tenants_with_long_or_equal_ones_are_taken(tmp_path: Path) -> None:
    tenants = [{"Name": name, "AllowancePerS": 5.0} for name in ("", "t" * 100_000, "same", "same")]
    loaded = load_config(tmp_path, OPTIONS | {"Zone": "", "Tenants": tenants})
    assert len(Router(loaded.settings).state.tenant_budgets) == 3


@pytest.mark.parametrize("names", [("view", "view"), ("view", "")])
def test_classes_with_the_same_name_or_none_are_one_clear_line(tmp_path: Path, names: tuple[str, str]) -> None:
    classes = [OPTIONS["Classes"][0] | {"Name": name} for name in names]
    with pytest.raises(config.ConfigError, match="classes: expected each name once and none empty"):
        load_config(tmp_path, OPTIONS | {"Classes": classes})


@pytest.mark.parametrize(("mode", "within_us"), [("push", 700_000), ("ask", 6_000_000)])
def test_a_pushed_list_is_asked_for_within_the_time_to_stop_sending(tmp_path: Path, mode: str, within_us: int) -> None:
    """A list that the agent has counts as known to the gateway from its start on, and as soon as discovery is back."""
    obligations = {"AskWithinUs": 10_000_000, "StopSendingWithinUs": 700_000}
    loaded = load_config(tmp_path, OPTIONS | {"Discovery": mode, "PeersTotal": 200, "Obligations": obligations})
    assert (loaded.settings.must_ask_roster, loaded.settings.ask_within_us, loaded.watch_s) == (True, within_us, 2.5)
    for seed in range(20):
        router = Router(replace(loaded.settings, seed=seed))
        actions = [*router.handle(api.Start(), 1), *router.handle(api.Roster(RosterKind.FAILED), 2)]
        timers_us = [action.at_us for action in actions if isinstance(action, api.SetTimer)]
        assert max(timers_us) <= 2 + within_us / 2
