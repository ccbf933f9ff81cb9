"""Several addresses in the engine: dials, identity, checks over paths, and what a lost path does to requests."""

import itertools
from dataclasses import dataclass
from typing import TypeVar

import pytest

from oatlink import interface as api
from oatlink.beliefs import belief as belief_of
from oatlink.core import messages as m
from oatlink.core.addresses import State
from oatlink.core.explain import explain
from oatlink.core.recording import Recorder, Recording
from oatlink.core.snapshot import restore, take
from oatlink.core.ways import MOST_DIALS
from oatlink.interface import Role
from oatlink.protocols.resp import command
from oatlink.settings import SettingsError, load_text
from tests.test_engine import KEY, PLAIN, TEMPLATE, Rig, info, sent
from tests.test_recording import traced

P, P6, PU = "127.0.0.1:1001", "[::1]:1001", "unix:/run/p"
MORE = (
    "{ name: 'p', address: '127.0.0.1:1001', hall: 'a',"
    f" paths: [{{ address: '{P6}' }}, {{ address: '{PU}', connect_timeout_ms: 70 }}] }}"
)
SEVERAL = load_text(TEMPLATE.replace("{ name: 'p', address: '127.0.0.1:1001', hall: 'a' }", MORE), "several")


def rig() -> Rig:
    one = Rig(SEVERAL)
    one.pass_us(100_000)
    return one


@pytest.fixture
def one() -> Rig:
    return rig()


T = TypeVar("T")


def said(one: Rig, kind: type[T]) -> list[T]:
    found: list[T] = [effect for effect in one.other if isinstance(effect, kind)]
    one.other.clear()
    return found


def dialled(one: Rig, dial: m.Dial, how: str = "reply", says: bytes | None = None) -> None:
    says = one.says.get(dial.box, b"") if says is None else says
    one.give(m.Dialled(dial.box, dial.dial, dial.address, how, one.now - 300, 300, says if how == "reply" else b""))


def dials(one: Rig) -> list[m.Dial]:
    return said(one, m.Dial)


def state(one: Rig, address: str) -> State:
    paths = one.engine._boxes["p"].paths
    return paths.paths[paths.at(address)].state


def test_every_path_of_a_box_is_asked_soon_after_the_start(one: Rig) -> None:
    assert {probe.address for probe in one.probes if probe.box == "p"} == {P, P6, PU}
    assert all(state(one, address) is State.GOOD for address in (P, P6, PU))
    assert sent(one.ask("SET", PLAIN, 1)).address == PU


def test_a_dial_moves_on_when_a_path_is_refused_and_when_it_says_nothing(one: Rig) -> None:
    one.give(m.ConnectionWanted("p", 1, PU))
    (first,) = dials(one)
    assert first.address == PU and first.timeout_us == 70_000
    dialled(one, first, "refused")
    (second,) = dials(one)
    assert second.address == P6 and second.timeout_us == SEVERAL.links.connect_timeout_ms * 1_000
    one.pass_us(30_000)  # nothing comes of it: the next one begins beside it
    (third,) = dials(one)
    assert third.address == P
    dialled(one, third)
    assert [(one_.dial, one_.address) for one_ in said(one, m.Use)] == [(1, P)]
    dialled(one, second)  # too late
    assert [one_.address for one_ in said(one, m.Discard)] == [P6]


def test_where_every_path_fails_what_waits_is_told_once(one: Rig) -> None:
    one.give(m.ConnectionWanted("p", 1, PU))
    for _ in range(3):
        (dial,) = dials(one)
        dialled(one, dial, "refused")
    # All three have failed now; `dials` has taken the last effects with it, so ask again and see that one is tried.
    one.give(m.ConnectionWanted("p", 2, PU))
    (found,) = dials(one)
    dialled(one, found, "refused")
    assert [effect.how for effect in said(one, m.NoPath)] == ["refused"]


def test_a_check_fails_only_when_every_path_has_failed(one: Rig) -> None:
    one.says[f"p {PU}"] = one.says[f"p {P6}"] = b""
    before = one.engine._boxes["p"].member
    told: list[api.Checked] = []
    handle = one.engine.router.handle

    def noted(event: api.Event, now_us: int, more: bool = False) -> list[api.Action]:
        if isinstance(event, api.Checked) and event.member == before:
            told.append(event)
        return handle(event, now_us, more)

    one.engine.router.handle = noted  # type: ignore[method-assign]
    one.engine._boxes["p"].check_out = True  # as the Router asks for it
    one.give(m.RefreshRequested())
    assert [event.outcome for event in told] == [api.Outcome.SERVED]
    belief = belief_of(one.engine.router, before)
    assert belief is not None and belief.role is Role.PRIMARY
    assert state(one, PU) is State.FAILED and state(one, P) is State.GOOD
    assert sent(one.ask("SET", PLAIN, 1)).address == P
    one.says["p"] = b""
    one.engine._boxes["p"].check_out = True
    one.give(m.RefreshRequested())
    assert [event.outcome for event in told][-1] is api.Outcome.LATE
    assert sum(event.outcome is not api.Outcome.SERVED for event in told) == 1


def test_a_silent_probe_is_overtaken_by_the_next_path(one: Rig) -> None:
    one.mute.add(PU)
    one.probes.clear()
    one.give(m.RefreshRequested())
    assert [probe.address for probe in one.probes if probe.box == "p"] == [PU]
    one.pass_us(12_000)  # four times what it usually takes, 10 ms at least
    assert [probe.address for probe in one.probes if probe.box == "p"] == [PU, P6]
    assert not one.engine._boxes["p"].probe_out


def test_a_write_lost_with_its_path_is_not_the_end_of_the_primary(one: Rig) -> None:
    send = sent(one.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
    assert send.address == PU
    one.now += 1_000
    one.give(m.Probed("p", "reply", one.now - 300, 300, one.says["p"], P))  # the box lives, by another way
    one.give(m.Ended(send.request, send.attempt, "p", "reset", 900, one.now - 1_000, address=PU))
    again = one.sent[-1]
    assert again is not send and again.box == "p" and again.address == P6 and again.payload == send.payload
    assert one.engine.without_primary == []
    one.end(again, [b"$3\r\n1-0\r\n"])
    assert one.text() == b"$3\r\n1-0\r\n"


def test_a_write_without_a_key_is_not_sent_over_a_second_address(one: Rig) -> None:
    send = sent(one.ask("SET", PLAIN, 1))
    one.now += 1_000
    one.give(m.Probed("p", "reply", one.now - 300, 300, one.says["p"], P))
    one.give(m.Ended(send.request, send.attempt, "p", "reset", 900, one.now - 1_000, address=PU))
    assert one.sent[-1] is send and one.text().startswith(b"-ERR failed")
    # Nothing of it was handed to the socket, or not all: it has not run, and goes again.
    send = sent(one.ask("SET", PLAIN, 1))
    one.give(m.Ended(send.request, send.attempt, "p", "unsent", 900, one.now, address=send.address))
    one.pass_us(50_000)
    assert one.sent[-1] is not send and one.sent[-1].payload == send.payload


def test_the_window_of_a_key_begins_with_what_may_have_arrived(one: Rig) -> None:
    first = sent(one.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
    one.pass_us(400_000)
    one.give(m.Ended(first.request, first.attempt, "p", "unsent", 900, one.now, address=PU))
    one.pass_us(100_000)
    second = one.sent[-1]
    assert second is not first
    began = one.now
    one.pass_us(1_000)
    one.give(m.Probed("p", "reply", one.now - 300, 300, one.says["p"], P))
    one.give(m.Ended(second.request, second.attempt, "p", "reset", 900, one.now, address=second.address))
    third = one.sent[-1]
    assert third is not second and began - 200_000 + 2_000_000 < third.until_us <= one.now + 2_000_000


def test_a_silent_path_is_shunned_and_what_was_on_it_goes_elsewhere(one: Rig) -> None:
    one.end(sent(one.ask("SET", PLAIN, 0)))
    one.text()
    send = sent(one.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
    one.mute.add(PU)
    one.other.clear()
    one.pass_us(60_000)
    assert [effect.address for effect in said(one, m.ClosePath)] == [PU] and state(one, PU) is State.FAILED
    one.give(m.Ended(send.request, send.attempt, "p", "reset", 60_000, one.now - 60_000, address=PU))
    assert one.sent[-1].address == P6 and one.engine.without_primary == []


def test_a_box_that_hangs_on_all_paths_loses_its_role_by_the_error_rules_alone(one: Rig) -> None:
    sent(one.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
    one.mute.update((P, P6, PU))
    one.pass_us(400_000)
    assert not any(isinstance(effect, m.ClosePath) for effect in one.other)


def test_an_address_that_reaches_another_listed_box_carries_nothing(one: Rig) -> None:
    one.give(m.ConnectionWanted("p", 1, PU))
    (dial,) = dials(one)
    dialled(one, dial, says=one.says["r"])
    assert [effect.address for effect in one.other if isinstance(effect, m.Discard)] == [PU]
    assert any(isinstance(effect, m.Note) and "reaches r" in effect.text for effect in one.other)
    assert one.engine._boxes["p"].report is not None and one.engine._boxes["p"].report.run_id == "p"
    assert sent(one.ask("SET", PLAIN, 1)).address == P6


def test_an_address_that_reaches_another_bank_carries_nothing(one: Rig) -> None:
    one.give(m.ConnectionWanted("p", 1, PU))
    (dial,) = dials(one)
    dialled(one, dial, says=info("replica", 5, "h9", run="unknown"))
    assert any(isinstance(effect, m.Note) and "a box of two" in effect.text for effect in one.other)
    assert not any(isinstance(effect, m.Use) for effect in one.other)


def test_an_unknown_run_on_one_path_is_a_stranger_while_the_others_reach_the_old_one(one: Rig) -> None:
    one.give(m.ConnectionWanted("p", 1, PU))
    (dial,) = dials(one)
    member = one.engine._boxes["p"].member
    dialled(one, dial, says=info("primary", 100, run="new"))
    assert one.engine._boxes["p"].member == member and not any(isinstance(effect, m.Use) for effect in one.other)
    # Once no other path reaches the old run, the box has started again, and what reaches the new run is it.
    for address in (P, P6, PU):
        one.says[f"p {address}"] = info("primary", 100, run="new", uptime=0)
    one.pass_us(20_000_000)
    assert one.engine._boxes["p"].member != member
    report = one.engine._boxes["p"].report
    assert report is not None and report.run_id == "new"


def test_two_boxes_that_claim_an_address_the_first_one_has_it() -> None:
    one = Rig(SEVERAL)
    boxes = [
        m.Box("p", 0, P, ways=(m.Way(PU),)),
        m.Box("r", 0, "127.0.0.1:1002", ways=(m.Way(PU),)),
        m.Box("q", 1, "127.0.0.1:1004"),
    ]
    one.give(m.RosterListed(tuple(boxes)))
    assert [path.address for path in one.engine._boxes["r"].paths.paths] == ["127.0.0.1:1002"]
    assert [path.address for path in one.engine._boxes["p"].paths.paths] == [P, PU]
    with pytest.raises(SettingsError, match=r"paths\[0\]\.address: expected an address of its own"):
        load_text(TEMPLATE.replace("1002', hall: 'a'", "1002', hall: 'a', paths: [{address: '127.0.0.1:1001'}]"), "x")


def test_addresses_that_change_under_a_live_box_leave_it_the_same_box(one: Rig) -> None:
    member = one.engine._boxes["p"].member
    others = [m.Box("r", 0, "127.0.0.1:1002"), m.Box("s", 0, "127.0.0.1:1003"), m.Box("q", 1, "127.0.0.1:1004")]
    one.give(m.RosterListed((m.Box("p", 0, P6, ways=(m.Way("[::1]:9"),)), *others)))
    assert one.engine._boxes["p"].member == member
    assert [path.address for path in one.engine._boxes["p"].paths.paths] == [P6, "[::1]:9"]
    one.give(m.RosterListed((m.Box("p", 0, "192.0.2.9:1"), *others)))  # none of its addresses is left: another box
    assert one.engine._boxes["p"].member != member


def test_fifty_boxes_whose_paths_all_fail_are_not_dialled_by_all_wants_at_once() -> None:
    one = Rig(SEVERAL)
    boxes = tuple(
        m.Box(f"b{at}", 0, f"192.0.2.{at}:1", ways=(m.Way(f"[::1]:{at + 1}"), m.Way(f"unix:/b{at}")))
        for at in range(50)
    )
    one.mute.update(way.address for box in boxes for way in box.ways)
    one.mute.update(box.address for box in boxes)
    one.give(m.RosterListed(boxes))
    out: list[m.Dial] = []
    told, most, dialled_all = 0, 0, 0
    for at in range(50):
        for number in range(4):
            one.give(m.ConnectionWanted(f"b{at}", number + 1))
    for _ in range(2_000):
        fresh = [effect for effect in one.other if isinstance(effect, m.Dial)]
        told += sum(isinstance(effect, m.NoPath) for effect in one.other)
        one.other.clear()
        out += fresh
        dialled_all += len(fresh)
        most = max(most, len(out))
        if told == 200:
            break
        one.pass_us(5_000)
        for dial in out[:16]:
            dialled(one, dial, "no connection in time")
        out = out[16:]
    assert told == 200 and most <= MOST_DIALS
    # Three paths each, four wants each; once a box's paths have failed, a want tries one more at most.
    assert dialled_all <= 50 * 4 * 3 and one.engine._dialling == 0


def test_the_state_of_paths_is_in_a_snapshot(one: Rig) -> None:
    one.give(m.ConnectionWanted("p", 1, PU))
    (dial,) = dials(one)
    sent(one.ask("SET", PLAIN, 1))
    one.engine = restore(take(one.engine, one.now), SEVERAL)
    dialled(one, dial, "refused")
    (following,) = dials(one)
    assert following.address == P6 and state(one, PU) is State.FAILED


# ---- The rule of repeats, over all interleavings ----


@dataclass(frozen=True)
class Seen:
    """What a box has surely or possibly got of one command: when the first whole copy may have arrived."""

    copies: tuple[int, ...] = ()


def explore(
    words: tuple[str, ...], depth: int, steps: tuple[int, ...] = (1_000, 900_000)
) -> tuple[int, list[tuple[int, ...]]]:
    """Play every order of what can befall a write over three paths; how many states, and each end's copies.

    What can befall an attempt: nothing of it was written, a part, all of it, or its answer has begun when the
    connection drops; its path falls silent and is cut; time passes, up to the end of the window.
    """
    begun = rig()
    begun.ask(*words)
    states = 0
    ends: list[tuple[int, ...]] = []
    todo = [(take(begun.engine, begun.now), begun.now, begun.wake, begun.sent[-1], Seen(), depth)]
    seen: set[tuple[object, ...]] = set()
    while todo:
        image, now, wake, send, box, left = todo.pop()
        for what, passed in itertools.product(("not written", "part", "whole", "answer begun"), steps):
            one = Rig.__new__(Rig)
            one.__dict__.update(rig_fields(begun))
            one.engine, one.now, one.wake = restore(image, SEVERAL), now, wake
            one.pass_us(passed)
            states += 1
            # By the specification a box runs what it has whole; the link says `unsent` of the rest.
            whole = what in ("whole", "answer begun")
            arrived, how = (Seen((*box.copies, now)), "reset") if whole else (box, "unsent")
            before = len(one.sent)
            one.give(m.Probed("p", "reply", one.now - 300, 300, one.says["p"], P))
            one.give(m.Ended(send.request, send.attempt, send.box, how, passed, now, address=send.address))
            if len(one.sent) == before:
                one.pass_us(600_000)
            if len(one.sent) == before or left == 0:
                ends.append(arrived.copies)
                continue
            again = one.sent[-1]
            mark = (again.address, again.attempt, one.now, arrived, left)
            if mark not in seen:
                seen.add(mark)
                todo.append((take(one.engine, one.now), one.now, one.wake, again, arrived, left - 1))
    return states, ends


def rig_fields(one: Rig) -> dict[str, object]:
    lists = {name: list[object]() for name in ("sent", "probes", "other")}
    return {"says": one.says, "answers": {}, "hung": set(), "paused": {}, "mute": set(), **lists}


def test_a_write_without_a_key_never_arrives_whole_twice() -> None:
    states, ends = explore(("SET", PLAIN, "1"), 3)
    assert states >= 24 and max(map(len, ends)) == 1 and any(not copies for copies in ends)


def test_a_keyed_write_arrives_again_only_inside_its_window() -> None:
    states, ends = explore(("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"), 3)
    assert states > 200 and max(map(len, ends)) >= 2  # it does go again
    assert all(copies[-1] - copies[0] < 2_000_000 for copies in ends if copies)


def test_the_bytes_from_which_a_command_may_run_are_told(one: Rig) -> None:
    send = sent(one.ask("SET", PLAIN, 1))
    assert send.runs_from == len(command("SET", PLAIN, 1))


def test_explain_tells_over_which_address_and_what_befell_it() -> None:
    with traced(Recorder("test", SEVERAL, 1_000_000_000)) as parts:
        one = rig()
        one.end(sent(one.ask("SET", PLAIN, 0)))
        send = sent(one.ask("XADD", KEY, "IDMP", "a", "t1", "*", "f", "v"))
        one.mute.add(PU)
        one.pass_us(100_000)
        one.give(m.Ended(send.request, send.attempt, "p", "reset", 60_000, one.now - 60_000, address=PU))
        one.end(one.sent[-1], [b"$3\r\n1-0\r\n"])
    recording = Recording(b"".join(parts))
    told = " / ".join(explain(recording.header, recording.entries(), send.request).events)
    assert f"attempt 0 sent to p by {PU}" in told and f"p: {PU} is silent, left" in told
    assert f"attempt 0 at p over {PU} ended: reset" in told and f"attempt 1 sent to p by {P6}" in told


def test_reports_that_cross_on_two_paths_do_not_make_a_box_a_new_one(one: Rig) -> None:
    member = one.engine._boxes["p"].member
    asked = one.now
    one.pass_us(5_000)
    # Asked first over a slow path, answered last by the box: it knows more. The other one lay on a silent path.
    one.give(m.Probed("p", "reply", asked, 5_000, info("primary", 300, run="p"), P))
    one.pass_us(1_000)
    one.give(m.Probed("p", "reply", asked + 2_000, 4_000, info("primary", 200, run="p"), PU))
    report = one.engine._boxes["p"].report
    assert one.engine._boxes["p"].member == member and report is not None and report.offset == 300
    # Asked when 300 was known, and less than that: now it has gone back.
    one.pass_us(1_000)
    one.give(m.Probed("p", "reply", one.now - 300, 300, info("primary", 250, run="p"), P))
    assert one.engine._boxes["p"].member != member
