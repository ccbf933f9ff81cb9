"""One run: a scenario, a seed and a schedule in, what came of it out; and how a schedule that fails is made small.

A failing run as data (`Failure`) has all that plays it again: `replay`.
"""

from typing import Any

import msgspec

from oatlink.lab.fleetsim.faults import Fault
from oatlink.lab.fleetsim.scenario import Scenario, scenario_of
from oatlink.lab.fleetsim.violation import Violation
from oatlink.lab.fleetsim.world import World

MOST_RUNS = 400  # of one shrinking


class Failure(msgspec.Struct, frozen=True):
    """A run that broke a rule."""

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
    """What one run came to. `counts`: how much of each thing happened, so that a run that did nothing shows."""

    seed: int
    digest: str
    simulated_us: int
    counts: dict[str, float]
    failure: Failure | None = None


def play(scenario: Scenario, seed: int, schedule: tuple[Fault, ...] | None = None) -> tuple[Result, World]:
    """Run it once."""
    faults = scenario.schedule(seed) if schedule is None else schedule
    world, failure = World(scenario, seed, faults), None
    try:
        world.run()
    except Violation as wrong:
        failure = Failure(
            scenario.name,
            scenario.nodes,
            scenario.seconds,
            seed,
            wrong.rule,
            wrong.text,
            wrong.at_us,
            faults,
            scenario.settle_us > 0,
            wrong.trace,
        )
    judges = world.judges
    counts: dict[str, Any] = {
        "events": world.time.events,
        "faults": len(faults),
        "messages": sum(one.sent for one in world.machines.values()),
        "decided": judges.registers.decided,
        "answers": judges.registers.answers,
        "holdings": judges.leases.holdings,
        "admitted": world.load.admitted,
        "refused": world.load.refused,
        "verdicts": judges.verdicts.heard,
        "words": judges.verdicts.spread,
        "words late": judges.verdicts.late,
        "nearest": max(judges.limits.nearest.values(), default=0.0),
    }
    if world.banks is not None:
        counts |= world.banks.counts()
    return Result(seed, world.digest.hexdigest(), world.time.now, counts, failure), world


def replay(failure: Failure) -> Failure | None:
    """Run a failure again."""
    scenario = scenario_of(failure.scenario, failure.nodes, failure.seconds, failure.settles)
    return play(scenario, failure.seed, failure.schedule)[0].failure


def shrink(failure: Failure) -> Failure:
    """Leave out faults, halves first, while the same rule is still broken."""
    runs, size = 0, max(1, len(failure.schedule) // 2)
    while True:
        at, before = 0, len(failure.schedule)
        while at < len(failure.schedule) and runs < MOST_RUNS:
            fewer = failure.schedule[:at] + failure.schedule[at + size :]
            runs += 1
            found = replay(msgspec.structs.replace(failure, schedule=fewer))
            if found is not None and found.rule == failure.rule:
                failure = found
            else:
                at += size
        if runs >= MOST_RUNS or (size == 1 and len(failure.schedule) == before):
            return failure
        size = max(1, size // 2)
