"""Hollow plays are the same each time, and each check of their judge is seen to fail. No clock of the machine."""

from functools import cache
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.scale.hollow import tables
from benchmarks.scale.hollow.kept import keep, path_of, read, text_of
from benchmarks.scale.hollow.play import play
from oatlink.fleet.verdicts.evidence_store import EvidenceStore
from oatlink.lab.fleetsim.time import Timeline
from oatlink.lab.scale import judge, lines, tally, wire
from oatlink.lab.scale.carrier import Carrier, Maker, NoCarrier, Scope, World
from oatlink.lab.scale.estate import Plan
from oatlink.lab.scale.scenarios import PLAYS, idle
from oatlink.lab.scale.size import SIZES, Size, database_zone, gateways_in, region_of, zones_of
from oatlink.lab.scale.stage import Order
from oatlink.rules import checks
from tests.scale.carriers import Deaf, Direct, Slow, TakesOld

SMALL = Size(38, 120)


def order(carrier: Maker = NoCarrier, seed: int = 1, size: Size = SMALL, routers: int = 1) -> Order:
    return Order(size, seed, carrier, routers, brief=True)


@cache
def played(name: str) -> judge.Finding:
    return PLAYS[name](order())


def peak(found: judge.Finding, role: str, kind: str) -> float:
    return next((one.amount for one in found.peaks if (one.role, one.kind) == (role, kind)), 0.0)


# ---- What is played ----


@pytest.mark.parametrize("name", ["start", "changes-minute", "verdicts", "old-news", "twins", "idle", "limits"])
def test_the_same_seed_gives_the_same_bytes(name: str) -> None:
    first, second = played(name), PLAYS[name](order())
    assert text_of(first) == text_of(second)
    if name not in ("start", "changes-minute", "twins"):
        assert text_of(PLAYS[name](order(seed=2))) != text_of(first)


def test_a_group_is_over_zones_and_two_regions() -> None:
    for size in SIZES:
        assert sum(gateways_in(size, zones_of(region)) for region in range(5)) == size.gateways
    regions = {region_of(database_zone(one)) for one in range(12)}
    assert len(regions) == 2 and len({database_zone(one) for one in range(12)}) >= 6


def test_a_start_asks_and_dials_every_database_once_a_gateway() -> None:
    found = played("start")
    dials = sum(amount for _, amount in found.lines["dials"]) / SMALL.gateways
    assert dials == SMALL.databases
    assert found.in_force[0].longest_s is not None
    calls = peak(found, "discovery, all", "calls")
    assert 0 < calls <= SMALL.gateways


def test_a_lost_zone_is_met_by_each_gateway_and_comes_back() -> None:
    found = PLAYS["zone"](order())
    held_back, back = found.in_force[0], found.in_force[1]
    assert held_back.reached > 0.5 and back.reached == 1.0


def test_nothing_carries_a_change_today() -> None:
    for name in ("changes-day", "changes-minute"):
        found = PLAYS[name](order())
        assert (found.in_force[0].everywhere, found.in_force[0].longest_s, found.in_force[0].reached) == (0, None, 0.0)
        assert any("never in force" in note for note in found.notes)


def test_some_whole_nodes_stand_for_all() -> None:
    whole = idle.measured(Size(60, 120), 60, 1).steady
    some = idle.measured(Size(60, 120), 20, 1).steady
    for kind in ("bytes", "messages", "dials"):
        name = f"fleet {kind}/s a gateway"
        assert some[name] == pytest.approx(whole[name], rel=0.06), name


def test_what_is_kept_is_read_again(tmp_path: Path) -> None:
    path, _ = keep(tmp_path, "changes-minute", order(), "today")
    assert path.read_bytes() == text_of(read(tmp_path)[0])


def test_what_is_there_is_not_played_again(tmp_path: Path) -> None:
    path = path_of(tmp_path, "changes-minute", SIZES[0], "today", "bounded")
    path.write_text("as it was")
    words = ["--scenario", "changes-minute", "--size", SIZES[0].name, "--folder", str(tmp_path)]
    said = CliRunner().invoke(play, words)
    assert said.exit_code == 0 and "kept" in said.output and path.read_text() == "as it was"


def test_tables_say_never_and_how_it_grows() -> None:
    found = [judge.Finding("x", count, 2 * count, 1, "today", "1 whole Routers, any", 1.0) for count in (300, 3_600)]
    for one in found:
        one.in_force = [judge.Waits().judged("nothing")]
        one.peaks = [judge.Peak("gateway", "checks", one.gateways**2 / 100, 0)]
    assert "| x | today | any | 300 / 600 | nothing | never | never | never | 0.00% |" in tables.waits(found)
    assert "| 900 | 129,600 | 2.00 |" in tables.peaks(found)


def test_bytes_are_the_codecs() -> None:
    assert wire.list_bytes(7_200) > 100 * wire.list_bytes(60)
    assert wire.hello_bytes("n1") < wire.hello_bytes()
    assert lines.at(checks.check_all).startswith("oatlink/rules/checks.py:")
    with pytest.raises(ValueError):
        lines.at(checks.check_all, "no such text")


# ---- What the judge sees ----


def test_a_carrier_is_judged_by_its_longest_wait() -> None:
    found = PLAYS["changes-minute"](order(Direct))
    one = found.in_force[0]
    assert one.reached == 1.0 and one.everywhere == one.offered
    assert one.longest_s is not None and 0.1 <= one.longest_s <= 0.6
    assert peak(found, "one of six", "control messages") > 0 and peak(found, "gateway", "control bytes") >= 200
    late = PLAYS["changes-minute"](order(Slow)).in_force[0]
    assert late.longest_s is not None and late.longest_s >= 9.0


def test_a_gateway_that_never_hears_is_named() -> None:
    one = PLAYS["changes-minute"](order(Deaf)).in_force[0]
    assert one.longest_s is None and one.late == ("gateway 7",) and 0.9 < one.reached < 1.0


def test_a_gateway_that_goes_back_breaks_the_rule() -> None:
    assert not any("went back" in text for text in PLAYS["old-news"](order(Direct)).broken)
    broken = PLAYS["old-news"](order(TakesOld)).broken
    assert any("went back from version" in text for text in broken)


def test_a_process_that_starts_anew_is_not_held_to_what_its_predecessor_had() -> None:
    found = PLAYS["release"](order(Direct))
    assert found.broken == [] and found.in_force[0].reached == 1.0


def test_words_that_had_died_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert any("had died" in text for text in PLAYS["old-news"](order()).broken)
    monkeypatch.setattr(EvidenceStore, "_sweep", lambda self, now_us: None)  # serials are never forgotten
    assert PLAYS["old-news"](order()).broken == []


def test_two_under_one_name_are_found_where_all_hear_both() -> None:
    assert PLAYS["twins"](order(size=Size(5, 12))).broken == []
    assert PLAYS["twins"](order(size=Size(300, 600))).broken != []


def test_the_worst_second_and_who_was_starved() -> None:
    counts = tally.Tally()
    for second in range(5):
        counts.add("gateway", 1, "statements", second * 1_000_000, 100, weight=10)
        counts.add("gateway", 1, "checks", second * 1_000_000, 5, weight=10)
    assert judge.starved(counts, 0, 5) == []
    counts.add("gateway", 1, "unserved", 3_000_000, 30, weight=10)
    counts.add("gateway", 2, "checks", 3_500_000, 70, weight=10)
    assert "6.0%" in judge.starved(counts, 0, 5)[0]
    found = judge.peaks(counts, Size(20, 100))
    assert judge.Peak("gateway", "checks", 70, 3) in found
    assert judge.Peak("database", "checks", 7.5, 3) in found
    assert judge.Peak("gateway", "checks", 5, 4) in judge.peaks(counts, Size(20, 100), 4)
    counts.leave_out(3, 4)
    assert judge.Peak("gateway", "checks", 5, 0) in judge.peaks(counts, Size(20, 100))


def test_a_home_hears_four_questions_a_second_of_each_gateway() -> None:
    small, large = (PLAYS["limits"](order(size=Size(count, 120))) for count in (20, 80))
    name = "messages at the home, worst second"
    assert large.steady[name] == pytest.approx(4 * small.steady[name], rel=0.1)
    assert large.in_force[0].reached == 1.0 and peak(large, "gateway", "fleet messages") <= 12


def test_the_seam_is_kept_by_today_and_by_the_tests_carrier() -> None:
    world = World(SMALL, Timeline(), tally.Tally(), Plan(), 1)
    for make in (NoCarrier, Direct):
        one: Carrier = make(world)
        one.start(0)
        assert one.held(0, Scope("all")) == 0 and one.bytes_so_far("gateway") == 0 == one.messages_so_far("six")
