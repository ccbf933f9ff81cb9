"""What the fleet's gate costs a request: the engine by values, and the whole gateway on loopback in the same run."""

import json
import secrets
import statistics
import tempfile
import time
from collections.abc import Iterator
from itertools import count as numbers
from pathlib import Path

import click

from benchmarks.fleet.table import load, part, show
from benchmarks.ladder import Row, Site, drive
from benchmarks.stages import INFO
from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.fleet.gate import AnyNews, Granted, Served
from oatlink.lab.embedded import CLASSES, port_of, reserve
from oatlink.native import code_kind
from oatlink.settings import load_text

BLOCK = 100  # requests in one turn of an arm: short, so that both of a pair have the same neighbours
STEP_US = 250  # between two things that happen
FOREVER_US = 2**60
MEMBERS = ", ".join(f"{{ name: '{one}', address: '127.0.0.1:{at}' }}" for at, one in enumerate("prs", 1))
PLAIN = f"{{ banks: [{{ name: 'b', slots: [[0, 16383]], members: [{MEMBERS}] }}], classes: {CLASSES % {'wait': 0}} }}"


def fleet_of(tenants: list[dict[str, object]], **more: object) -> str:
    """A fleet's part as a field of settings."""
    nodes = [{"name": one, "address": f"127.0.0.1:{7001 + at}", "keeper": not at} for at, one in enumerate("ab")]
    part_of = {"node": "a", "nodes": nodes, "key_files": ["k"], "state_dir": "s", "tenants": tenants, **more}
    return f"{{ fleet: {json.dumps(part_of)} }}"


def tenant(name: str, **match: list[str]) -> dict[str, object]:
    """A quota that covers all that is asked for here; nothing of it is a floor."""
    return {"name": name, "match": match, "rate": 1e6, "burst": 1e5, "floor": 0}


class Arm:
    """One engine, one client, and boxes that answer at once."""

    def __init__(
        self, part_of: str = "", client: str = "", told: tuple[AnyNews, ...] = (), fresh: bool = False
    ) -> None:
        """`told`: news for the gate; `fresh`: every request has a key of its own."""
        self._engine = Engine(load_text(f"{PLAIN} + {part_of}" if part_of else PLAIN, "bench"))
        self._now = 1_000_000_000
        self._keys: Iterator[int] = numbers()
        self._fresh = fresh
        self.answered = 0
        self._give(m.Started())
        self._give(m.RosterListed(tuple(m.Box(name, 0, "x") for name in "prs")))
        self._give(m.Opened(1))
        if client:
            self._give(m.CommandReceived(1, [b"CLIENT", b"SETNAME", client.encode()]))
        for _ in range(2):  # a grant is taken only for an allowance that a request has opened
            for one in told:
                self._give(m.FleetNews(one))
            self._ask()
        for _ in range(20):
            self._now += 20_000
            self._give(m.Ticked())
        self.block(10 * BLOCK)

    def _give(self, given: m.AnyInput) -> None:
        todo = [given]
        while todo:
            for effect in self._engine.handle(todo.pop(0), self._now):
                if isinstance(effect, m.Send):
                    self._now += STEP_US
                    began = self._now - STEP_US
                    reply = [b"$5\r\nhello\r\n"]
                    todo.append(m.Ended(effect.request, effect.attempt, effect.box, "reply", STEP_US, began, reply))
                elif isinstance(effect, m.Probe):
                    role = b"master" if effect.box == "p" else b"slave"
                    info = INFO % (effect.box.encode(), role)
                    todo.append(m.Probed(effect.box, "reply", self._now, 100, info))
                elif isinstance(effect, m.Answer):
                    self.answered += effect.data == b"$5\r\nhello\r\n"

    def _ask(self) -> None:
        self._now += STEP_US
        self._give(m.CommandReceived(1, [b"GET", b"view:%d" % (next(self._keys) if self._fresh else 1)]))

    def block(self, requests: int) -> float:
        """Microseconds of CPU a request. Raises `RuntimeError` where one was not served."""
        before, began = self.answered, time.process_time()
        for _ in range(requests):
            self._ask()
        took = time.process_time() - began
        if self.answered - before != requests:
            raise RuntimeError(f"{self.answered - before} of {requests} requests were served")
        return 1e6 * took / requests


def arms() -> dict[str, tuple[Arm, str]]:
    """Each arm, and the one that it is compared with."""
    named = fleet_of([tenant("t", client_names=["t*"])])
    grant = Granted("tenant/t", 1, 1e6, 1e5, FOREVER_US)
    served = Served(7, FOREVER_US, (1,), 1, (), (("b", (1,)),))
    versions = fleet_of([tenant("t", client_names=["t*"])], versions={"first": 1})
    few, many = (fleet_of([tenant(f"t{at}", keys=[f"other{at}:*"]) for at in range(most)]) for most in (5, 50))
    return {
        "no fleet": (Arm(), ""),
        "no fleet again (noise)": (Arm(), "no fleet"),
        "fleet, client of no tenant": (Arm(named), "no fleet"),
        "fleet, tenant with a grant": (Arm(named, "t1", (grant,)), "no fleet"),
        "the same, and versions": (Arm(versions, "t1", (grant, served)), "no fleet"),
        "no fleet, every key new": (Arm(fresh=True), ""),
        "fleet, 5 tenants by key, none fits, every key new": (Arm(few, fresh=True), "no fleet, every key new"),
        "fleet, 50 tenants by key, none fits, every key new": (Arm(many, fresh=True), "no fleet, every key new"),
    }


def whole(rounds: int) -> tuple[list[float], list[float]]:
    """CPU of a gateway process a request in microseconds, without a fleet and with one of one node and a tenant."""
    with tempfile.TemporaryDirectory(prefix="oatlink-fleet-") as folder, reserve() as held:
        key = Path(folder) / "key"
        key.touch(mode=0o600)
        key.write_text(secrets.token_hex(32))
        part_of = {
            "node": "a",
            "nodes": [{"name": "a", "address": f"127.0.0.1:{port_of(held)}", "keeper": True}],
            "key_files": [str(key)],
            "state_dir": f"{folder}/state",
            "tenants": [tenant("t", keys=["view:*"])],
            "trust_keeper": True,
        }
        found: tuple[list[float], list[float]] = [], []
        sites: list[Site] = []
        try:
            for more in ("", f"fleet: {json.dumps(part_of)}"):
                sites.append(Site(3, [1], more))
            for turn in range(rounds):
                for at in (0, 1) if turn % 2 else (1, 0):
                    port, pids = sites[at].gateways[1]
                    row = drive(port, pids, Row("gateway", "bounded", 32, 1, 1), 0.7, 2.0, False)
                    # Those that come before the first grant are held, and refused where it does not come in time.
                    if row.refused_s > 0.01 * row.served_s or row.failed_s or row.lost:
                        raise RuntimeError(f"refused {row.refused_s}/s, failed {row.failed_s}/s, lost {row.lost}")
                    found[at].append(row.cpu_us)
        finally:
            for site in sites:
                site.close()
    return found


@click.command()
@click.option("--blocks", default=120, show_default=True, help=f"Turns of each arm, {BLOCK} requests each.")
@click.option("--rounds", default=3, show_default=True, help="Runs of each gateway process.")
def gate(blocks: int, rounds: int) -> None:
    """Each arm and its other take turns; what a request costs more is the median over pairs of neighbouring turns."""
    bare, fleet = whole(rounds)
    share_of = statistics.median(bare)
    between = load()
    made = arms()
    pairs: dict[str, list[tuple[float, float]]] = {name: [] for name, (_, base) in made.items() if base}
    for turn in range(blocks):
        for name, found in pairs.items():
            arm, base = made[name][0], made[made[name][1]][0]
            if turn % 2:
                one, other = arm.block(BLOCK), base.block(BLOCK)
            else:
                other, one = base.block(BLOCK), arm.block(BLOCK)
            found.append((one, other))
    rows = []
    for name, found in pairs.items():
        more = [one - other for one, other in found]
        ratios = [one / other for one, other in found]
        cost = statistics.median(more)
        rows.append(
            (
                name,
                statistics.median(other for _, other in found),
                f"{statistics.median(ratios):.3f}",
                f"{part(ratios, 0.25):.3f} to {part(ratios, 0.75):.3f}",
                f"{cost:.1f}",
                f"{part(more, 0.25):.1f} to {part(more, 0.75):.1f}",
                f"{cost / share_of:.1%}, {cost / min(bare):.1%}",
            )
        )
    show(
        ("engine", "us a request without", "ratio, median", "quartiles", "us more, median", "quartiles")
        + ("of the gateway's CPU: median run, least run",),
        rows,
    )
    click.echo(f"{code_kind()}; median of {blocks} pairs of {BLOCK} requests; load between the two parts {between}\n")
    show(
        ("gateway process, 32 connections, depth 1", "CPU us a request, median", "runs"),
        [
            ("no fleet", share_of, " ".join(f"{one:.0f}" for one in bare)),
            (
                "fleet of one node, tenant with a grant",
                statistics.median(fleet),
                " ".join(f"{one:.0f}" for one in fleet),
            ),
        ],
    )
