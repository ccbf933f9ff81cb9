"""Runs whole fleet scenarios through real gateways and links, and requires that each mutation of a gateway is found.

Results that depend on the speed of the machine (use of a rate, recovery time) are checked by `oatlink day`. The tests
here only assert what must hold at any speed.
"""

import sys
from pathlib import Path

import msgspec
import pytest

from oatlink.lab.fleet.harness import play_fleet
from oatlink.lab.fleet.report import FleetReport
from oatlink.lab.fleet.scenarios import BUILT_IN, Change, Fault, FleetScenario, Pinned, Tenant, load_fleet_scenario
from oatlink.settings import SettingsError

MUTATIONS = str(Path(__file__).with_name("sabotage.py"))
QUOTA = FleetScenario(
    "quota",
    faults=(
        Fault(0.0, "double", nodes=(1,), value=0.3),
        Fault(0.15, "split", nodes=(3, 4), back=0.2),
        Fault(0.45, "kill9", nodes=(0,), back=0.1),
        Fault(0.65, "cut_in", nodes=(2,), back=0.1),
        Fault(0.80, "sigterm", nodes=(4,), back=0.08),
    ),
    tenants={"a": Tenant(120, 30, 0.2, 240, 20), "b": Tenant(40, 20, 0.4, 80, 10)},
    rate=30.0,
    phase_s=3.0,
)
LAYOUTS = FleetScenario(
    "versions",
    changes=(Change(0.1, "propose", 2, stay=0.15),),
    pinned=(Pinned(1, 0.0, 0.9, clients=6, rate=50), Pinned(2, 0.0, 1.0, clients=6, rate=50)),
    gateways=3,
    rate=30.0,
)


def assert_kept(report: FleetReport) -> None:
    """Assert that no invariant was violated, all processes obeyed the schedule, and every request was answered."""
    data = report.as_json()
    assert report.base.kept, data["examples"]
    assert not report.problems and data["requests"] > 500 and data["unanswered"] == 0  # type: ignore[operator]


def test_a_quota_is_never_over_whatever_happens_to_its_nodes() -> None:
    report = play_fleet(QUOTA, seed=3, seconds=14)
    assert_kept(report)
    assert report.quota is not None
    for rule in ("never_over", "floor", "told"):
        assert not report.quota.violations[rule], report.quota.violations
    for tenant in report.quota.tenants.values():
        assert tenant.admitted > 150 and tenant.refused > 50


def test_a_layout_change_completes_and_no_command_uses_the_wrong_layout() -> None:
    scenario = msgspec.structs.replace(LAYOUTS, faults=(Fault(0.12, "kill9", nodes=(1,), back=0.2),))
    report = play_fleet(scenario, seed=4, seconds=26)  # the successor of a killed sequencer waits for its terms to end
    assert_kept(report)
    assert report.versions is not None and report.versions.passed, report.versions
    assert report.versions.commands[1] > 50 and report.versions.commands[2] > 50
    # Clients of v1 are refused after its end, and clients of v2 before its begin.
    assert report.versions.refused["v1"] and report.versions.refused["v2"]


def test_verdicts_never_exclude_a_healthy_member() -> None:
    report = play_fleet(msgspec.structs.replace(BUILT_IN["verdicts"], gateways=3), seed=5, seconds=6)
    assert_kept(report)
    without_verdicts = report.without_verdicts
    assert report.evidence is not None and without_verdicts is not None and without_verdicts.evidence is not None
    assert not report.evidence.healthy_passed_over
    assert report.evidence.checks and without_verdicts.evidence.checks


@pytest.mark.parametrize(
    ("scenario", "mutation", "rules"),
    [
        (msgspec.structs.replace(QUOTA, faults=(), gateways=3), "never_over", {"never_over"}),
        (msgspec.structs.replace(QUOTA, faults=(), gateways=3), "told", {"told"}),
        (LAYOUTS, "layouts", {"expanded", "not_contracted"}),
    ],
)
def test_a_mutated_fleet_is_found(scenario: FleetScenario, mutation: str, rules: set[str]) -> None:
    report = play_fleet(scenario, seed=6, seconds=8, command_line=[sys.executable, MUTATIONS, mutation])
    result = report.quota or report.versions
    assert result is not None
    assert rules <= {rule for rule, texts in result.violations.items() if texts}, result.violations
    assert not report.kept


def test_a_scenario_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / "day.jsonnet"
    path.write_text("{ judge: 'quota', faults: [{ at: 0.5, do: 'kill9', nodes: [0] }] }")
    scenario = load_fleet_scenario(str(path))
    assert scenario is not None and scenario.faults[0].nodes == (0,)
    path.write_text("{ judge: 'quota', faults: [{ at: 0.5, do: 'kill' }] }")
    with pytest.raises(SettingsError, match=r"faults\[0\]\.do"):
        load_fleet_scenario(str(path))
    assert load_fleet_scenario("trouble") is None
