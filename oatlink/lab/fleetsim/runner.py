"""The command: seeds, a scenario, a size; figures and failures out."""

import argparse
import sys
from collections import Counter
from time import process_time

import msgspec

from oatlink.lab.fleetsim.play import Failure, play, replay, shrink
from oatlink.lab.fleetsim.scenario import SCENARIOS, scenario_of
from oatlink.lab.fleetsim.world import World


def main(words: list[str]) -> int:
    """Run it; 1 where a rule was broken."""
    parser = argparse.ArgumentParser(prog="oatlink.lab.fleetsim")
    parser.add_argument("--seeds", default="0..20", help="A..B, B left out")
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), default="limits")
    parser.add_argument("--nodes", type=int, default=0)
    parser.add_argument("--seconds", type=int, default=0, help="with faults")
    parser.add_argument("--no-settle", action="store_true", help="end with the faults")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--shrink", action="store_true", help="make a failing schedule small")
    parser.add_argument("--keep-on", action="store_true", help="go on after a failure")
    parser.add_argument("--replay", help="a file with a failure as JSON")
    asked = parser.parse_args(words)
    if asked.replay:
        with open(asked.replay, "rb") as file:
            again = replay(msgspec.json.decode(file.read(), type=Failure))
        print(_text(again) if again else "nothing is broken")
        return 1 if again else 0
    scenario = scenario_of(asked.scenario, asked.nodes, asked.seconds, not asked.no_settle)
    first, _, last = asked.seeds.partition("..")
    counts: Counter[str] = Counter()
    failures, simulated_us, began = 0, 0, process_time()
    for seed in range(int(first), int(last or int(first) + 1)):
        result, world = play(scenario, seed)
        simulated_us += result.simulated_us
        counts.update({"runs": 1} | result.counts)
        if asked.json:
            print(msgspec.json.encode(msgspec.structs.replace(result, failure=None)).decode())
        elif int(last or 0) - int(first) <= 20:
            print(f"seed {seed} digest {result.digest} {'FAILED' if result.failure else 'well'}")
        if scenario.nodes > 50:
            print(_loads(world))
        if result.failure is not None:
            failures += 1
            found = shrink(result.failure) if asked.shrink else result.failure
            print(msgspec.json.encode(found).decode() if asked.json else _text(found), flush=True)
            if not asked.keep_on:
                break
    took = process_time() - began
    figures = {name: round(value / max(1, counts["runs"]), 2) for name, value in counts.items() if name != "runs"}
    print(
        f"{scenario.name}: {counts['runs']} runs, {failures} failed, {simulated_us / 3.6e9:.3f} h simulated, "
        f"{took:.1f} s of processor; a run: {figures}",
        file=sys.stderr,
    )
    return 1 if failures else 0


def _text(one: Failure) -> str:
    lines = [f"seed {one.seed} of {one.scenario}, after {one.at_us / 1e6:.6f} s: {one.rule}: {one.text}"]
    lines += [f"  {line}" for line in one.trace[-20:]]
    lines += ["as data:", msgspec.json.encode(msgspec.structs.replace(one, trace=())).decode()]
    return "\n".join(lines)


def _loads(world: World) -> str:
    """Messages and bytes a second: of all nodes, and of those that keep."""
    seconds = world.time.now / 1e6
    lines = []
    for title, names in (("nodes", world.names), ("keepers", world.keepers)):
        machines = [world.machines[name] for name in names]
        sent = sorted(one.sent / seconds for one in machines)
        size = sorted(one.bytes / seconds for one in machines)
        got = sorted(one.got / seconds for one in machines)
        lines.append(
            f"{title}: sent a second mean {sum(sent) / len(sent):.1f} most {sent[-1]:.1f}, "
            f"bytes mean {sum(size) / len(size):.0f} most {size[-1]:.0f}, "
            f"got mean {sum(got) / len(got):.1f} most {got[-1]:.1f}"
        )
    busiest = sorted(world.machines.values(), key=lambda one: -one.got)[:6]
    lines.append("busiest: " + ", ".join(f"{one.name} got {one.got / seconds:.0f}/s" for one in busiest))
    return "\n".join(lines)
