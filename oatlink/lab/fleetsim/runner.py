"""The command line: runs a scenario for a range of seeds and prints counts and failures."""

import argparse
import sys
from collections import Counter
from time import process_time

import msgspec

from oatlink.lab.fleetsim.play import Failure, play, replay, shrink
from oatlink.lab.fleetsim.scenario import SCENARIOS, scenario_of
from oatlink.lab.fleetsim.world import World


def main(arguments: list[str]) -> int:
    """Run the command; the exit code is 1 if an invariant was broken."""
    parser = argparse.ArgumentParser(prog="oatlink.lab.fleetsim")
    parser.add_argument("--seeds", default="0..20", help="A..B, excluding B")
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), default="limits")
    parser.add_argument("--nodes", type=int, default=0)
    parser.add_argument("--seconds", type=int, default=0, help="duration of the part with faults")
    parser.add_argument("--no-settle", action="store_true", help="end the run when the faults end")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--shrink", action="store_true", help="shrink the schedules of failing runs")
    parser.add_argument("--keep-on", action="store_true", help="continue after a failure")
    parser.add_argument("--replay", help="JSON file of a failure to run again")
    options = parser.parse_args(arguments)
    if options.replay:
        with open(options.replay, "rb") as file:
            failure = replay(msgspec.json.decode(file.read(), type=Failure))
        print(_failure_text(failure) if failure else "no invariant is broken")
        return 1 if failure else 0
    scenario = scenario_of(options.scenario, options.nodes, options.seconds, not options.no_settle)
    first, _, last = options.seeds.partition("..")
    counts: Counter[str] = Counter()
    failure_count, simulated_us, start_s = 0, 0, process_time()
    for seed in range(int(first), int(last or int(first) + 1)):
        result, world = play(scenario, seed)
        simulated_us += result.simulated_us
        counts.update({"runs": 1} | result.counts)
        if options.json:
            print(msgspec.json.encode(msgspec.structs.replace(result, failure=None)).decode())
        elif int(last or 0) - int(first) <= 20:
            print(f"seed {seed} digest {result.digest} {'FAILED' if result.failure else 'ok'}")
        if scenario.nodes > 50:
            print(_traffic_text(world))
        if result.failure is not None:
            failure_count += 1
            failure = shrink(result.failure) if options.shrink else result.failure
            print(msgspec.json.encode(failure).decode() if options.json else _failure_text(failure), flush=True)
            if not options.keep_on:
                break
    cpu_s = process_time() - start_s
    means = {name: round(value / max(1, counts["runs"]), 2) for name, value in counts.items() if name != "runs"}
    print(
        f"{scenario.name}: {counts['runs']} runs, {failure_count} failed, {simulated_us / 3.6e9:.3f} h simulated, "
        f"{cpu_s:.1f} s of processor time; mean counts of a run: {means}",
        file=sys.stderr,
    )
    return 1 if failure_count else 0


def _failure_text(failure: Failure) -> str:
    lines = [
        f"seed {failure.seed} of {failure.scenario}, after {failure.at_us / 1e6:.6f} s: {failure.rule}: {failure.text}"
    ]
    lines += [f"  {line}" for line in failure.trace[-20:]]
    lines += ["as JSON for --replay:", msgspec.json.encode(msgspec.structs.replace(failure, trace=())).decode()]
    return "\n".join(lines)


def _traffic_text(world: World) -> str:
    """Messages and bytes a second, of all nodes and of those with an acceptor."""
    seconds = world.time.now / 1e6
    lines = []
    for title, names in (("nodes", world.names), ("keepers", world.acceptors)):
        machines = [world.machines[name] for name in names]
        sent = sorted(machine.sent / seconds for machine in machines)
        size = sorted(machine.bytes / seconds for machine in machines)
        received = sorted(machine.received / seconds for machine in machines)
        lines.append(
            f"{title}: sent a second mean {sum(sent) / len(sent):.1f} most {sent[-1]:.1f}, "
            f"bytes mean {sum(size) / len(size):.0f} most {size[-1]:.0f}, "
            f"got mean {sum(received) / len(received):.1f} most {received[-1]:.1f}"
        )
    busiest = sorted(world.machines.values(), key=lambda machine: -machine.received)[:6]
    lines.append(
        "busiest: " + ", ".join(f"{machine.name} got {machine.received / seconds:.0f}/s" for machine in busiest)
    )
    return "\n".join(lines)
