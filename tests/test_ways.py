"""Boxes with several addresses in the engine: dials, identity, checks over paths, requests on a failed path."""

import itertools
from dataclasses import dataclass
from typing import TypeVar

import pytest

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core.addresses import State
from oatlink.core.explain import explain
from oatlink.core.paths import MAX_OPEN_DIALS
from oatlink.core.recording import Recorder, Recording
from oatlink.core.snapshot import restore_engine, take_snapshot
from oatlink.interface import Role
from oatlink.member_status import member_status
from oatlink.protocols.resp import command
from oatlink.settings import SettingsError, load_text
from tests.test_engine import KEY, PLAIN, TEMPLATE, Rig, info, sent
from tests.test_recording import traced

IPV4, IPV6, UNIX = "127.0.0.1:1001", "[::1]:1001", "unix:/run/p"
THREE_PATHS = (
    "{ name: 'p', address: '127.0.0.1:1001', hall: 'a',"
    f" paths: [{{ address: '{IPV6}' }}, {{ address: '{UNIX}', connect_timeout_ms: 70 }}] }}"
)
SETTINGS = load_text(TEMPLATE.replace("{ name: 'p', address: '127.0.0.1:1001', hall: 'a' }", THREE_PATHS), "several")


def new_rig() -> Rig:
    rig = Rig(SETTINGS)
    rig.pass_us(100_000)
    return rig


@pytest.fixture
def rig() -> Rig:
    return new_rig()


T = TypeVar("T")


def take_effects(rig: Rig, kind: type[T]) -> list[T]:
    """The effects of one kind since the last call; all other effects are dropped."""
    effects: list[T] = [effect for effect in rig.other if isinstance(effect, kind)]
    rig.other.clear()
    return effects


def finish_dial(rig: Rig, dial: m.Dial, how: str = "reply", report: bytes | None = None) -> None:
    report = rig.says.get(dial.box, b"") if report is None else report
    rig.give(m.Dialled(dial.box, dial.dial, dial.address, how, rig.now - 300, 300, report if how == "reply" else b""))


def take_dials(rig: Rig) -> list[m.Dial]:
    return take_effects(rig, m.Dial)


def path_state(rig: Rig, address: str) -> State:
    paths = rig.engine._boxes["p"].paths
    return paths.paths[paths.index_of(address)].state


def test_every_path_of_a_box_is_asked_soon_after_the_start(rig: Rig) -> None:
    assert {probe.address for probe in rig.probes if probe.box == "p"} == {IPV4, IPV6, UNIX}
    assert all(path_state(rig, address) is State.GOOD for address in (IPV4, IPV6, UNIX))
    assert sent(rig.ask("SET", PLAIN, 1)).address == UNIX


def test_a_dial_moves_on_when_a_path_is_refused_and_when_it_says_nothing(rig: Rig) -> None:
    rig.give(m.ConnectionWanted("p", 1, UNIX))
    (first,) = take_dials(rig)
    assert first.address == UNIX and first.timeout_us == 70_000
    finish_dial(rig, first, "refused")
    (second,) = take_dials(rig)
    assert second.address == IPV6 and second.timeout_us == SETTINGS.links.connect_timeout_ms * 1_000
    rig.pass_us(30_000)  # without an answer, the next attempt starts in parallel
    (third,) = take_dials(rig)
    assert third.address == IPV4
    finish_dial(rig, third)
    assert [(use.dial, use.address) for use in take_effects(rig, m.Use)] == [(1, IPV4)]
    finish_dial(rig, second)  # this dial ends too late
    assert [discard.address for discard in take_effects(rig, m.Discard)] == [IPV6]


def test_where_every_path_fails_the_waiting_connection_fails_once(rig: Rig) -> None:
    rig.give(m.ConnectionWanted("p", 1, UNIX))
    for _ in range(3):
        (dial,) = take_dials(rig)
        finish_dial(rig, dial, "refused")
    # All three paths have failed now. `take_dials` has dropped the last effects, so the test requests another
    # connection; only one path is tried for it.
    rig.give(m.ConnectionWanted("p", 2, UNIX))
    (retry,) = take_dials(rig)
    finish_dial(rig, retry, "refused")
    assert [effect.how for effect in take_effects(rig, m.NoPath)] == ["refused"]


def test_a_check_fails_only_when_every_path_has_failed(rig: Rig) -> None:
    rig.says[f"p {UNIX}"] = rig.says[f"p {IPV6}"] = b""
    before = rig.engine._boxes["p"].member
    checks: list[api.Checked] = []
    handle = rig.engine.router.handle

    def record_checks(event: api.Event, now_us: int, more_follow: bool = False) -> list[api.Action]:
        if isinstance(event, api.Checked) and event.member == before:
            checks.append(event)
        return handle(event, now_us, more_follow)

    rig.engine.router.handle = record_checks  # type: ignore[method-assign]
    rig.engine._boxes["p"].check_pending = True  # as if the Router had requested a check
    rig.give(m.RefreshRequested())
    assert [event.outcome for event in checks] == [api.Outcome.SERVED]
    belief = member_status(rig.engine.router, before)
    assert belief is not None and belief.role is Role.PRIMARY
    assert path_state(rig, UNIX) is State.FAILED and path_state(rig, IPV4) is State.GOOD
    assert sent(rig.ask("SET", PLAIN, 1)).address == IPV4
    rig.says["p"] = b""
    rig.engine._boxes["p"].check_pending = True
    rig.give(m.RefreshRequested())
    assert [event.outcome for event in checks][-1] is api.Outcome.LATE
    assert sum(event.outcome is not api.Outcome.SERVED for event in checks) == 1


def test_a_silent_probe_is_overtaken_by_the_next_path(rig: Rig) -> None:
    rig.mute.add(UNIX)
    rig.probes.clear()
    rig.give(m.RefreshRequested())
    assert [probe.address for probe in rig.probes if probe.box == "p"] == [UNIX]
    rig.pass_us(12_000)  # four times the usual duration of a probe, but at least 10 ms
    assert [probe.address for probe in rig.probes if probe.box == "p"] == [UNIX, IPV6]
    assert not rig.engine._boxes["p"].probe_pending


def test_a_write_lost_with_its_path_is_not_the_end_of_the_primary(rig: Rig) -> None:
    send = sent(rig.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
    assert send.address == UNIX
    rig.now += 1_000
    rig.give(m.Probed("p", "reply", rig.now - 300, 300, rig.says["p"], IPV4))  # the box is alive
    rig.give(m.Ended(send.request, send.attempt, "p", "reset", 900, rig.now - 1_000, address=UNIX))
    again = rig.sent[-1]
    assert again is not send and again.box == "p" and again.address == IPV6 and again.payload == send.payload
    assert rig.engine.without_primary == []
    rig.end(again, [b"$3\r\n1-0\r\n"])
    assert rig.text() == b"$3\r\n1-0\r\n"


def test_a_write_without_a_key_is_not_sent_over_a_second_address(rig: Rig) -> None:
    send = sent(rig.ask("SET", PLAIN, 1))
    rig.now += 1_000
    rig.give(m.Probed("p", "reply", rig.now - 300, 300, rig.says["p"], IPV4))
    rig.give(m.Ended(send.request, send.attempt, "p", "reset", 900, rig.now - 1_000, address=UNIX))
    assert rig.sent[-1] is send and rig.text().startswith(b"-ERR failed")
    # A request that was not handed to the socket completely has not run and is sent again.
    send = sent(rig.ask("SET", PLAIN, 1))
    rig.give(m.Ended(send.request, send.attempt, "p", "unsent", 900, rig.now, address=send.address))
    rig.pass_us(50_000)
    assert rig.sent[-1] is not send and rig.sent[-1].payload == send.payload


def test_the_window_of_a_key_begins_with_the_first_attempt_that_may_have_arrived(rig: Rig) -> None:
    first = sent(rig.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
    rig.pass_us(400_000)
    rig.give(m.Ended(first.request, first.attempt, "p", "unsent", 900, rig.now, address=UNIX))
    rig.pass_us(100_000)
    second = rig.sent[-1]
    assert second is not first
    began = rig.now
    rig.pass_us(1_000)
    rig.give(m.Probed("p", "reply", rig.now - 300, 300, rig.says["p"], IPV4))
    rig.give(m.Ended(second.request, second.attempt, "p", "reset", 900, rig.now, address=second.address))
    third = rig.sent[-1]
    assert third is not second and began - 200_000 + 2_000_000 < third.until_us <= rig.now + 2_000_000


def test_requests_over_a_silent_path_are_ended_and_repeated_elsewhere(rig: Rig) -> None:
    rig.end(sent(rig.ask("SET", PLAIN, 0)))
    rig.text()
    send = sent(rig.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
    rig.mute.add(UNIX)
    rig.other.clear()
    rig.pass_us(60_000)
    assert [effect.address for effect in take_effects(rig, m.ClosePath)] == [UNIX] and path_state(
        rig, UNIX
    ) is State.FAILED
    rig.give(m.Ended(send.request, send.attempt, "p", "reset", 60_000, rig.now - 60_000, address=UNIX))
    assert rig.sent[-1].address == IPV6 and rig.engine.without_primary == []


def test_a_box_that_hangs_on_all_paths_loses_its_role_by_the_error_rules_alone(rig: Rig) -> None:
    sent(rig.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
    rig.mute.update((IPV4, IPV6, UNIX))
    rig.pass_us(400_000)
    assert not any(isinstance(effect, m.ClosePath) for effect in rig.other)


def test_an_address_that_reaches_another_listed_box_carries_nothing(rig: Rig) -> None:
    rig.give(m.ConnectionWanted("p", 1, UNIX))
    (dial,) = take_dials(rig)
    finish_dial(rig, dial, report=rig.says["r"])
    assert [effect.address for effect in rig.other if isinstance(effect, m.Discard)] == [UNIX]
    assert any(isinstance(effect, m.Note) and "reaches r" in effect.text for effect in rig.other)
    assert rig.engine._boxes["p"].report is not None and rig.engine._boxes["p"].report.run_id == "p"
    assert sent(rig.ask("SET", PLAIN, 1)).address == IPV6


def test_an_address_that_reaches_another_bank_carries_nothing(rig: Rig) -> None:
    rig.give(m.ConnectionWanted("p", 1, UNIX))
    (dial,) = take_dials(rig)
    finish_dial(rig, dial, report=info("replica", 5, "h9", run="unknown"))
    assert any(isinstance(effect, m.Note) and "a box of two" in effect.text for effect in rig.other)
    assert not any(isinstance(effect, m.Use) for effect in rig.other)


def test_an_unknown_run_on_one_path_is_another_server_while_the_others_reach_the_old_run(rig: Rig) -> None:
    rig.give(m.ConnectionWanted("p", 1, UNIX))
    (dial,) = take_dials(rig)
    member = rig.engine._boxes["p"].member
    finish_dial(rig, dial, report=info("primary", 100, run="new"))
    assert rig.engine._boxes["p"].member == member and not any(isinstance(effect, m.Use) for effect in rig.other)
    # Once no other path reaches the old run, the box has restarted, and the new run is the box.
    for address in (IPV4, IPV6, UNIX):
        rig.says[f"p {address}"] = info("primary", 100, run="new", uptime=0)
    rig.pass_us(20_000_000)
    assert rig.engine._boxes["p"].member != member
    report = rig.engine._boxes["p"].report
    assert report is not None and report.run_id == "new"


def test_of_two_boxes_that_list_an_address_the_first_one_has_it() -> None:
    rig = Rig(SETTINGS)
    boxes = [
        m.Box("p", 0, IPV4, ways=(m.Way(UNIX),)),
        m.Box("r", 0, "127.0.0.1:1002", ways=(m.Way(UNIX),)),
        m.Box("q", 1, "127.0.0.1:1004"),
    ]
    rig.give(m.RosterListed(tuple(boxes)))
    assert [path.address for path in rig.engine._boxes["r"].paths.paths] == ["127.0.0.1:1002"]
    assert [path.address for path in rig.engine._boxes["p"].paths.paths] == [IPV4, UNIX]
    with pytest.raises(SettingsError, match=r"paths\[0\]\.address: expected an address of its own"):
        load_text(TEMPLATE.replace("1002', hall: 'a'", "1002', hall: 'a', paths: [{address: '127.0.0.1:1001'}]"), "x")


def test_addresses_that_change_under_a_live_box_leave_it_the_same_box(rig: Rig) -> None:
    member = rig.engine._boxes["p"].member
    others = [m.Box("r", 0, "127.0.0.1:1002"), m.Box("s", 0, "127.0.0.1:1003"), m.Box("q", 1, "127.0.0.1:1004")]
    rig.give(m.RosterListed((m.Box("p", 0, IPV6, ways=(m.Way("[::1]:9"),)), *others)))
    assert rig.engine._boxes["p"].member == member
    assert [path.address for path in rig.engine._boxes["p"].paths.paths] == [IPV6, "[::1]:9"]
    rig.give(m.RosterListed((m.Box("p", 0, "192.0.2.9:1"), *others)))  # another box, which has no address in common
    assert rig.engine._boxes["p"].member != member


def test_fifty_boxes_whose_paths_all_fail_do_not_exceed_the_bound_on_open_dials() -> None:
    rig = Rig(SETTINGS)
    boxes = tuple(
        m.Box(f"b{at}", 0, f"192.0.2.{at}:1", ways=(m.Way(f"[::1]:{at + 1}"), m.Way(f"unix:/b{at}")))
        for at in range(50)
    )
    rig.mute.update(way.address for box in boxes for way in box.ways)
    rig.mute.update(box.address for box in boxes)
    rig.give(m.RosterListed(boxes))
    open_dials: list[m.Dial] = []
    no_path_count, most_open, dial_count = 0, 0, 0
    for at in range(50):
        for number in range(4):
            rig.give(m.ConnectionWanted(f"b{at}", number + 1))
    for _ in range(2_000):
        fresh = [effect for effect in rig.other if isinstance(effect, m.Dial)]
        no_path_count += sum(isinstance(effect, m.NoPath) for effect in rig.other)
        rig.other.clear()
        open_dials += fresh
        dial_count += len(fresh)
        most_open = max(most_open, len(open_dials))
        if no_path_count == 200:
            break
        rig.pass_us(5_000)
        for dial in open_dials[:16]:
            finish_dial(rig, dial, "no connection in time")
        open_dials = open_dials[16:]
    assert no_path_count == 200 and most_open <= MAX_OPEN_DIALS
    # Each box has three paths, and four connections to it are requested. Once its paths have failed, each further
    # request tries at most one path.
    assert dial_count <= 50 * 4 * 3 and rig.engine._open_dial_count == 0


def test_the_state_of_paths_is_in_a_snapshot(rig: Rig) -> None:
    rig.give(m.ConnectionWanted("p", 1, UNIX))
    (dial,) = take_dials(rig)
    sent(rig.ask("SET", PLAIN, 1))
    rig.engine = restore_engine(take_snapshot(rig.engine, rig.now), SETTINGS)
    finish_dial(rig, dial, "refused")
    (following,) = take_dials(rig)
    assert following.address == IPV6 and path_state(rig, UNIX) is State.FAILED


# ---- Repeated writes, over all interleavings ----


@dataclass(frozen=True)
class Arrivals:
    """When complete copies of one command were sent that may have arrived at the box."""

    copies: tuple[int, ...] = ()


def explore(
    words: tuple[str, ...], depth: int, steps: tuple[int, ...] = (1_000, 900_000)
) -> tuple[int, list[tuple[int, ...]]]:
    """Play every sequence of failures of a write over three paths; returns the state count and each end's copies.

    An attempt fails with its connection when nothing of it was written, a part of it, all of it, or when its answer has
    begun. The time until then varies, up to the end of the window for repeats.
    """
    initial = new_rig()
    initial.ask(*words)
    states = 0
    ends: list[tuple[int, ...]] = []
    todo = [
        (take_snapshot(initial.engine, initial.now), initial.now, initial.wake, initial.sent[-1], Arrivals(), depth)
    ]
    seen: set[tuple[object, ...]] = set()
    while todo:
        image, now, wake, send, arrivals, left = todo.pop()
        for written, passed in itertools.product(("not written", "part", "whole", "answer begun"), steps):
            rig = Rig.__new__(Rig)
            rig.__dict__.update(rig_fields(initial))
            rig.engine, rig.now, rig.wake = restore_engine(image, SETTINGS), now, wake
            rig.pass_us(passed)
            states += 1
            # By the specification a box runs complete commands only; the link reports any other one as `unsent`.
            is_whole = written in ("whole", "answer begun")
            arrived, how = (Arrivals((*arrivals.copies, now)), "reset") if is_whole else (arrivals, "unsent")
            sent_count = len(rig.sent)
            rig.give(m.Probed("p", "reply", rig.now - 300, 300, rig.says["p"], IPV4))
            rig.give(m.Ended(send.request, send.attempt, send.box, how, passed, now, address=send.address))
            if len(rig.sent) == sent_count:
                rig.pass_us(600_000)
            if len(rig.sent) == sent_count or left == 0:
                ends.append(arrived.copies)
                continue
            again = rig.sent[-1]
            visited = (again.address, again.attempt, rig.now, arrived, left)
            if visited not in seen:
                seen.add(visited)
                todo.append((take_snapshot(rig.engine, rig.now), rig.now, rig.wake, again, arrived, left - 1))
    return states, ends


def rig_fields(rig: Rig) -> dict[str, object]:
    lists = {name: list[object]() for name in ("sent", "probes", "other")}
    return {"says": rig.says, "answers": {}, "hung": set(), "paused": {}, "mute": set(), **lists}


def test_a_write_without_a_key_never_arrives_whole_twice() -> None:
    states, ends = explore(("SET", PLAIN, "1"), 3)
    assert states >= 24 and max(map(len, ends)) == 1 and any(not copies for copies in ends)


def test_a_keyed_write_arrives_again_only_inside_its_window() -> None:
    states, ends = explore(("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"), 3)
    assert states > 200 and max(map(len, ends)) >= 2  # repeats do happen
    assert all(copies[-1] - copies[0] < 2_000_000 for copies in ends if copies)


def test_a_send_names_the_bytes_from_which_its_command_may_run(rig: Rig) -> None:
    send = sent(rig.ask("SET", PLAIN, 1))
    assert send.runs_from == len(command("SET", PLAIN, 1))


def test_explain_shows_the_address_and_the_ending_of_each_attempt() -> None:
    with traced(Recorder("test", SETTINGS, 1_000_000_000)) as parts:
        rig = new_rig()
        rig.end(sent(rig.ask("SET", PLAIN, 0)))
        send = sent(rig.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
        rig.mute.add(UNIX)
        rig.pass_us(100_000)
        rig.give(m.Ended(send.request, send.attempt, "p", "reset", 60_000, rig.now - 60_000, address=UNIX))
        rig.end(rig.sent[-1], [b"$3\r\n1-0\r\n"])
    recording = Recording(b"".join(parts))
    events = " / ".join(explain(recording.header, recording.entries(), send.request).events)
    assert f"attempt 0 sent to p by {UNIX}" in events and f"p: {UNIX} is silent, left" in events
    assert f"attempt 0 at p over {UNIX} ended: reset" in events and f"attempt 1 sent to p by {IPV6}" in events


def test_reports_that_overtake_each_other_do_not_make_a_box_a_new_member(rig: Rig) -> None:
    member = rig.engine._boxes["p"].member
    asked_us = rig.now
    rig.pass_us(5_000)
    # The first report was requested first, over a slow path, but written by the box last, so it has the higher offset.
    # The second one was delayed on a silent path.
    rig.give(m.Probed("p", "reply", asked_us, 5_000, info("primary", 300, run="p"), IPV4))
    rig.pass_us(1_000)
    rig.give(m.Probed("p", "reply", asked_us + 2_000, 4_000, info("primary", 200, run="p"), UNIX))
    report = rig.engine._boxes["p"].report
    assert rig.engine._boxes["p"].member == member and report is not None and report.offset == 300
    # This one was requested after 300 was known and reports less: the box has gone back.
    rig.pass_us(1_000)
    rig.give(m.Probed("p", "reply", rig.now - 300, 300, info("primary", 250, run="p"), IPV4))
    assert rig.engine._boxes["p"].member != member
