"""The stream of control in the hollow fleet: small plays, and each guard taken out once. No clock of the machine."""

from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.scale.hollow.kept import text_of
from oatlink.fleet.control.age import Age
from oatlink.fleet.control.log import Log
from oatlink.fleet.control.members import Members
from oatlink.fleet.control.reader import Reader
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import control as c
from oatlink.lab.scale.carrier import Change, NoCarrier, Scope
from oatlink.lab.scale.size import Size, zones_of
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.stream import scenes
from oatlink.lab.scale.stream.carrier import Stream
from oatlink.lab.scale.stream.play import BODY, EVERYBODY, Play
from oatlink.lab.scale.tally import SECOND_US

SMALL = Size(60, 120)
MOST_BYTES_S = 3_000  # of control, both ways, at one gateway


def settled(seed: int = 1) -> Play:
    play = Play("test", SMALL, seed)
    assert play.settle() is not None
    return play


def changed(play: Play, event: str, seconds: float) -> None:
    """Changes for all, one a second."""
    for _ in range(round(seconds)):
        play.stream.change(event, EVERYBODY, BODY)
        play.run(1)


# ---- What a guard stands against; each one ends in the judge's words ----


def old_news() -> list[str]:
    play = settled()
    changed(play, "first", 3)
    play.stream.replay(next(one.number for one in play.gateways if one.role == "relay" and one.tape is not None))
    changed(play, "then", 4)
    return play.truth.broken


def a_zone_alone_that_hears_old_news() -> list[str]:
    play = settled()
    relay = next(one for one in play.gateways if one.role == "relay" and one.tape is not None and one.core.children)
    play.plan.zones_lost[relay.zone] = play.time.now, play.time.now + 60 * SECOND_US
    play.stream.replay(relay.number)
    play.run(1)
    changed(play, "outside", 1)
    play.run(9)
    return play.truth.broken


def twins() -> list[str]:
    play = settled()
    play.stream.twin(6)
    play.run(8)
    return play.truth.broken


def a_region_back() -> list[str]:
    play = settled()
    play.plan.regions_cut[2] = play.time.now, play.time.now + 12 * SECOND_US
    changed(play, "outside", 1)
    play.run(14)
    return play.truth.broken


def two_entries() -> list[str]:
    play = settled()
    play.stream.put("all", (c.Entry("one", b"1"), c.Entry("two", b"2")))
    play.run(1)
    return play.truth.broken


def in_any_order(honest: Callable[..., Any], one: Table, delta: c.Delta) -> bool:
    one._put(delta)
    return True


def one_entry_alone(honest: Callable[..., Any], one: Table, delta: c.Delta) -> None:
    honest(one, c.Delta(delta.epoch, delta.version, delta.entries[:1]))


def any_beat(honest: Callable[..., Any], one: Age, mark: int, since_ms: int, age_ms: int, now: int) -> int:
    return age_ms * 1_000


def nothing(honest: Callable[..., Any], one: Log, now: int) -> None:
    """What is known is not doubted."""


def everybody(honest: Callable[..., Any], *given: object) -> str:
    return ""


def always_fresh(honest: Callable[..., Any], one: Reader, now: int) -> int:
    return 0


GUARDS: list[tuple[type, str, Callable[..., Any], Callable[[], list[str]], str]] = [
    (Table, "apply", in_any_order, old_news, "went back"),
    (Table, "_put", one_entry_alone, two_entries, "nobody agreed on"),
    (Age, "of", any_beat, a_zone_alone_that_hears_old_news, "and lacks"),
    (Reader, "age_us", always_fresh, a_zone_alone_that_hears_old_news, "and lacks"),
    (Log, "doubt", nothing, a_region_back, "and lacks"),
    (Members, "_refused", everybody, twins, "both have a place"),
]


@pytest.mark.parametrize(("owner", "name", "instead", "play", "text"), GUARDS, ids=[f"{one[1]}" for one in GUARDS])
def test_a_guard_that_is_taken_out_is_found(
    owner: type,
    name: str,
    instead: Callable[..., Any],
    play: Callable[[], list[str]],
    text: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    honest = getattr(owner, name)
    monkeypatch.setattr(owner, name, lambda one, *given: instead(honest, one, *given))
    assert any(text in one for one in play())


@pytest.mark.parametrize("play", [old_news, a_zone_alone_that_hears_old_news, twins, a_region_back, two_entries])
def test_with_all_guards_no_rule_breaks(play: Callable[[], list[str]]) -> None:
    assert play() == []


# ---- What it costs, and how long it takes ----


def test_a_change_is_in_force_within_5_s_when_a_relay_or_source_is_killed_with_it() -> None:
    play = settled()
    play.rates("idle", 3)
    steady = play.found.steady
    assert (
        0 < steady["idle: bytes/s at the busiest gateway"] < steady["idle: bytes/s at the busiest relay"] < MOST_BYTES_S
    )
    scenes.relay_killed(play)
    scenes.source_killed(play, scenes.AGREED)
    found = play.finish()
    assert found.broken == []
    for one in found.in_force:
        assert one.reached == 1.0 and one.longest_s is not None and one.longest_s <= 5.0, one
    assert found.in_force[1].longest_s is not None and found.in_force[1].longest_s > 1.0, "nobody was told of it"


def test_the_same_seed_gives_the_same_bytes() -> None:
    def played(seed: int) -> bytes:
        play = settled(seed)
        play.stream.change("zone", Scope("zone", 3), BODY)
        play.wait_for("zone")
        play.worst("all of it", 0)
        return text_of(play.finish())

    assert played(1) == played(1) != played(2)


def test_a_change_of_a_scope_reaches_those_that_take_it() -> None:
    play = settled()
    for scope, count in ((Scope("region", 1), len(play.inside(zones_of(1)))), (Scope("group", 4), 5)):
        play.stream.change(scope.kind, scope, BODY)
        assert len(play.truth.lacks(scope.kind)) == count
        play.wait_for(scope.kind, 5.0)
    assert [one.longest_s is not None and one.longest_s < 1.0 for one in play.found.in_force] == [True, True]


def test_today_no_change_is_in_force_at_any_gateway() -> None:
    for scene in scenes.SCENES.values():
        found = scene(Order(SMALL, 1, NoCarrier, brief=True))
        assert found.in_force and all(one.longest_s is None and one.reached == 0 for one in found.in_force)


def test_the_seam_tells_what_a_gateway_goes_by() -> None:
    play = settled()
    stream: Stream = play.stream
    stream.offer(Change(EVERYBODY, 3, b"x"))
    assert stream.held(0, EVERYBODY) == 0
    play.run(2)
    assert {stream.held(one, EVERYBODY) for one in range(SMALL.gateways)} == {3}
    assert stream.bytes_so_far("gateway") > 0 < stream.messages_so_far("six")
    stream.stop(0)
    assert stream.held(0, EVERYBODY) == 0
