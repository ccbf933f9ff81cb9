"""Runs a scenario with a seed and a schedule of faults, and shrinks schedules that fail.

A `Failure` has everything that `replay` needs to run it again.
"""

from typing import Any

import msgspec

from oatlink.lab.fleetsim.faults import Fault
from oatlink.lab.fleetsim.scenario import Scenario, scenario_of
from oatlink.lab.fleetsim.violation import Violation
from oatlink.lab.fleetsim.world import World

MAX_SHRINK_RUNS = 400


class Failure(msgspec.Struct, frozen=True):
    """A run that broke an invariant, named by `rule`."""

    scenario: str
    nodes: int
    seconds: int
    seed: int
    rule: str
    text: str
    at_us: int
    schedule: tuple[Fault, ...]
    settles: bool = True
    trace: tuple[str, ...] = ()


class Result(msgspec.Struct, frozen=True):
    """The result of one run. `counts` has how often each event happened, and so reveals a run in which nothing did."""

    seed: int
    digest: str
    simulated_us: int
    counts: dict[str, float]
    failure: Failure | None = None


def play(scenario: Scenario, seed: int, schedule: tuple[Fault, ...] | None = None) -> tuple[Result, World]:
    """Run a scenario once, with the seed's own schedule if none is given."""
    faults = scenario.schedule(seed) if schedule is None else schedule
    world, failure = World(scenario, seed, faults), None
    try:
        world.run()
    except Violation as violation:
        failure = Failure(
            scenario.name,
            scenario.nodes,
            scenario.seconds,
            seed,
            violation.rule,
            violation.text,
            violation.at_us,
            faults,
            scenario.settle_us > 0,
            violation.trace,
        )
    checkers = world.checkers
    counts: dict[str, Any] = {
        "events": world.time.events,
        "faults": len(faults),
        "messages": sum(machine.sent for machine in world.machines.values()),
        "decided": checkers.registers.decided,
        "answers": checkers.registers.answers,
        "holdings": checkers.leases.holdings,
        "admitted": world.load.admitted,
        "refused": world.load.refused,
        "verdicts": checkers.verdicts.heard,
        "words": checkers.verdicts.spread,
        "words late": checkers.verdicts.late,
        "nearest": max(checkers.limits.nearest.values(), default=0.0),
    }
    if world.banks is not None:
        counts |= world.banks.counts()
    return Result(seed, world.digest.hexdigest(), world.time.now, counts, failure), world


def replay(failure: Failure) -> Failure | None:
    """Run a failure again, and return the failure that it leads to now."""
    scenario = scenario_of(failure.scenario, failure.nodes, failure.seconds, failure.settles)
    return play(scenario, failure.seed, failure.schedule)[0].failure


def shrink(failure: Failure) -> Failure:
    """Leave out faults as long as the same invariant is broken: first halves of the schedule, then smaller parts."""
    run_count, size = 0, max(1, len(failure.schedule) // 2)
    while True:
        index, length_before = 0, len(failure.schedule)
        while index < len(failure.schedule) and run_count < MAX_SHRINK_RUNS:
            fewer = failure.schedule[:index] + failure.schedule[index + size :]
            run_count += 1
            smaller = replay(msgspec.structs.replace(failure, schedule=fewer))
            if smaller is not None and smaller.rule == failure.rule:
                failure = smaller
            else:
                index += size
        if run_count >= MAX_SHRINK_RUNS or (size == 1 and len(failure.schedule) == length_before):
            return failure
        size = max(1, size // 2)
