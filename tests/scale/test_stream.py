"""The stream of control in the hollow fleet: small plays, and each guard taken out once. No clock of the machine.

One settled fleet of 60 serves all that goes well; each guard that is taken out has a play of its own, from the start.
"""

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from benchmarks.scale.hollow.kept import text_of
from oatlink.fleet.control.age import Age
from oatlink.fleet.control.members import Members
from oatlink.fleet.control.table import Table
from oatlink.fleet.messages import control as c
from oatlink.lab.scale.carrier import Change, NoCarrier, Scope
from oatlink.lab.scale.judge import Finding
from oatlink.lab.scale.size import Size, zones_of
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.stream import carrier, scenes
from oatlink.lab.scale.stream.play import BODY, EVERYBODY, Play
from oatlink.lab.scale.tally import SECOND_US

SMALL = Size(60, 120)
MOST_BYTES_S = 3_000  # of control, both ways, at one gateway


def settled(seed: int = 1) -> Play:
    play = Play("test", SMALL, seed)
    assert play.settle() is not None
    return play


def a_taped_relay(play: Play) -> int:
    """A relay with children, whose words are kept."""
    return next(one.number for one in play.gateways if one.tape and one.core.children)


@pytest.fixture(scope="module", autouse=True)
def slower_replays() -> Iterator[None]:
    """20 old words a second and peer, of 100: what they lead to is looked at, not what they cost."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(carrier, "REPLAY_US", 500_000)
        yield


# ---- What goes well ----


def one_of_each_scope(play: Play) -> None:
    for scope, count in ((Scope("region", 1), len(play.inside(zones_of(1)))), (Scope("group", 4), 5)):
        play.stream.change(scope.kind, scope, BODY)
        assert len(play.truth.lacks(scope.kind)) == count
        play.wait_for(scope.kind, 5.0)


def the_seam(play: Play) -> None:
    play.stream.offer(Change(EVERYBODY, 3, b"x"))
    assert play.stream.held(0, EVERYBODY) == 0
    play.run(0.5)
    assert {play.stream.held(one, EVERYBODY) for one in range(SMALL.gateways)} == {3}
    assert play.stream.bytes_so_far("gateway") > 0 < play.stream.messages_so_far("six")


def old_news(play: Play) -> None:
    play.stream.change("old news", EVERYBODY, BODY)
    play.run(0.5)
    play.stream.replay(a_taped_relay(play))
    play.stream.change("old news", EVERYBODY, BODY)
    play.wait_for("old news", 2.0)


def a_zone_alone_that_hears_old_news(play: Play) -> None:
    relay = a_taped_relay(play)
    play.plan.zones_lost[play.stream.gateways[relay].zone] = play.time.now, play.time.now + 60 * SECOND_US
    play.stream.replay(relay)
    play.run(0.5)
    play.stream.change("outside", EVERYBODY, BODY)
    play.run(3.5)


def twins(play: Play) -> None:
    play.stream.twin(6)
    play.run(3)


def two_entries(play: Play) -> None:
    play.stream.put("all", (c.Entry("one", b"1"), c.Entry("two", b"2")))
    play.run(0.5)


@pytest.fixture(scope="module")
def played() -> Iterator[tuple[Play, Finding]]:
    play = settled()
    play.rates("idle", 2)
    one_of_each_scope(play)
    the_seam(play)
    two_entries(play)
    scenes.relay_killed(play)
    scenes.back(play)
    scenes.source_killed(play, scenes.AGREED)
    twins(play)
    old_news(play)
    a_zone_alone_that_hears_old_news(play)
    yield play, play.finish()


def test_no_rule_breaks(played: tuple[Play, Finding]) -> None:
    assert played[1].broken == []


def test_a_change_is_in_force_within_5_s_also_when_a_relay_or_source_is_killed_with_it(
    played: tuple[Play, Finding],
) -> None:
    found = {one.what: one for one in played[1].in_force}
    assert set(found) == {"region", "group", scenes.RELAY, scenes.AGREED, "old news"}
    for one in found.values():
        assert one.reached == 1.0 and one.longest_s is not None and one.longest_s <= 5.0, one
    assert max(found["region"].longest_s or 9, found["group"].longest_s or 9) < 1.0
    assert (found[scenes.AGREED].longest_s or 0) > 1.0, "it was told to somebody"


def test_an_idle_gateway_and_an_idle_relay_keep_within_3_kb_a_second(played: tuple[Play, Finding]) -> None:
    steady = played[1].steady
    assert 0 < steady["idle: bytes/s at the busiest gateway"] < steady["idle: bytes/s at the busiest relay"]
    assert steady["idle: bytes/s at the busiest relay"] < MOST_BYTES_S


def test_of_two_under_one_name_one_is_refused(played: tuple[Play, Finding]) -> None:
    assert played[0].stream.refusals()["twice"] >= 1


def test_a_gateway_that_is_stopped_goes_by_nothing(played: tuple[Play, Finding]) -> None:
    play, _ = played
    play.stream.stop(0)
    assert play.stream.held(0, EVERYBODY) == 0


def test_the_same_seed_gives_the_same_bytes() -> None:
    def text(seed: int) -> bytes:
        play = Play("test", SMALL, seed)
        play.start_all()
        play.stream.change("start", EVERYBODY, BODY)
        play.run(2)
        play.worst("all of it", 0)
        play.found.in_force.append(play.truth.judged("start"))
        return text_of(play.finish())

    assert text(1) == text(1) != text(2)


def test_today_no_change_is_in_force_at_any_gateway() -> None:
    for scene in scenes.SCENES.values():
        found = scene(Order(SMALL, 1, NoCarrier, brief=True))
        assert found.in_force and all(one.longest_s is None and one.reached == 0 for one in found.in_force)


# ---- Each guard taken out once: the judge's words ----


def in_any_order(honest: Callable[..., Any], one: Table, delta: c.Delta) -> bool:
    one._apply_entries(delta)
    return True


def one_entry_alone(honest: Callable[..., Any], one: Table, delta: c.Delta) -> None:
    honest(one, c.Delta(delta.epoch, delta.version, delta.entries[:1]))


def any_beat(honest: Callable[..., Any], one: Age, mark: int, since_ms: int, age_ms: int, now: int) -> int:
    return age_ms * 1_000


def _method(instead: Callable[..., Any], honest: Callable[..., Any]) -> Callable[..., Any]:
    return lambda one, *given: instead(honest, one, *given)


def everybody(honest: Callable[..., Any], *given: object) -> str:
    return ""


# In this order: what an earlier one has spoilt never leads to a later one's words.
GUARDS: list[tuple[type, str, Callable[..., Any], Callable[[Play], None], str]] = [
    (Members, "_refusal", everybody, twins, "both have a place"),
    (Table, "_apply_entries", one_entry_alone, two_entries, "nobody agreed on"),
    (Age, "age_from_beat", any_beat, a_zone_alone_that_hears_old_news, "and lacks"),
    (Table, "apply", in_any_order, old_news, "went back"),
]


def test_each_guard_that_is_taken_out_is_found() -> None:
    play = settled()
    for owner, name, instead, event, text in GUARDS:
        play.truth.broken.clear()
        with pytest.MonkeyPatch.context() as patch:
            honest = getattr(owner, name)
            patch.setattr(owner, name, _method(instead, honest))
            event(play)
        assert any(text in one for one in play.truth.broken), f"{name}: {play.truth.broken}"
        for one in play.stream.twins:
            one.stop()
        play.stream.twins.clear()
