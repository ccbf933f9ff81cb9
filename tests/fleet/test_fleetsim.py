"""The fleet simulator: no invariant breaks under faults, each mutation is found, and a seed determines a run."""

from collections import Counter

import msgspec
import pytest
from msgspec.structs import replace

from oatlink.lab.fleetsim.faults import Fault
from oatlink.lab.fleetsim.play import Failure, Result, play, replay, shrink
from oatlink.lab.fleetsim.runner import main
from oatlink.lab.fleetsim.scenario import scenario_of
from tests.fleet.fleetsim_mutations import MUTATIONS

MAX_SEEDS = 20  # within which a mutation must be found
MAX_LATE_FRACTION = 0.02  # of the evidence that may spread later than its time bound


def run_scenario(name: str, seed: int, seconds: int = 0, settles: bool = False) -> Result:
    result, _ = play(scenario_of(name, 0, seconds, settles), seed)
    return result


def broken_rule(result: Result) -> str:
    """The rule that a run has broken, or an empty text."""
    if result.failure is not None:
        return result.failure.rule
    return "spread" if result.counts["words late"] > MAX_LATE_FRACTION * result.counts["words"] else ""


# ---- Invariants ----

SMALL = (
    ("limits", 4, True, range(3)),
    ("drift", 5, False, range(4)),
    ("registers", 3, False, range(4)),
    ("lives", 3, False, range(3)),
    ("keepers", 4, True, range(2)),
    ("verdicts", 5, False, range(3)),
    ("gossip", 8, False, range(2)),
    ("versions", 8, True, range(1)),
    ("all", 5, False, range(2)),
)


@pytest.mark.parametrize(("name", "seconds", "settles", "seeds"), SMALL)
def test_nothing_is_broken(name: str, seconds: int, settles: bool, seeds: range) -> None:
    counts: Counter[str] = Counter()
    for seed in seeds:
        result = run_scenario(name, seed, seconds, settles)
        assert broken_rule(result) == "", result.failure
        counts.update(result.counts)
    # The events that the rules are about have happened; otherwise the run would prove nothing.
    expected = {
        "limits": ("admitted", "refused", "holdings", "answers"),
        "drift": ("admitted", "refused", "holdings"),
        "verdicts": ("verdicts",),
        "gossip": ("words",),
        "versions": ("served", "done"),
        "all": ("admitted", "verdicts", "served"),
    }
    assert all(counts[event] > 0 for event in expected.get(name, ("decided", "answers"))), counts


def test_a_seed_determines_a_run() -> None:
    first, again, other = (run_scenario("all", seed, 4) for seed in (5, 5, 6))
    assert first == again and first.digest != other.digest


# ---- Mutations ----


@pytest.mark.parametrize("name", MUTATIONS)
def test_each_mutation_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    (scenario, rule, seed), patch = MUTATIONS[name]
    patch(monkeypatch)
    # The seed showed the mutation when it was added. Changes of a core may move it to a later seed.
    seeds = range(seed, seed + MAX_SEEDS)
    failing_seed = next(
        (number for number in seeds if broken_rule(run_scenario(scenario, number, 0, rule == "settles")) == rule), None
    )
    assert failing_seed is not None
    if scenario != "versions":  # it takes long, and `test_nothing_is_broken` runs it
        monkeypatch.undo()
        assert broken_rule(run_scenario(scenario, failing_seed)) == ""


# ---- Shrinking and replay ----


def test_a_failing_schedule_is_shrunk_and_replayed(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (scenario, rule, seed), patch = MUTATIONS["a_duplicate_process_has_floors"]
    patch(monkeypatch)
    failure = run_scenario(scenario, seed).failure
    assert failure is not None and len(failure.schedule) > 3
    shrunk = shrink(failure)
    assert [fault.kind for fault in shrunk.schedule] == ["twin"] and shrunk.rule == rule
    decoded = msgspec.json.decode(msgspec.json.encode(shrunk), type=Failure)
    assert replay(decoded) == shrunk
    assert main(["--seeds", f"{seed}..{seed + 1}", "--scenario", scenario, "--no-settle"]) == 1
    assert rule in capsys.readouterr().out


# ---- Regressions ----


def test_a_member_that_has_just_served_and_claims_a_role_is_not_put_later() -> None:
    scenario = replace(scenario_of("verdicts"), settle_us=0)
    result, _ = play(scenario, 185, (Fault(554_775, "ill", "n3", "b0", 4_000_000, 20_061),))
    assert result.failure is None, result.failure
