"""Fleet scenarios as data: their faults, tenants and layout changes, and the built-in scenarios."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from oatlink.lab.days.schedule import Scenario, Step
from oatlink.settings.load import decode_file

Share = Annotated[float, Meta(ge=0, le=1)]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of gateways or of the links between them.

    kill9: the gateways are killed, and restarted after `back`, with an empty state folder if `value` is 1.
    sigterm: they are stopped by SIGTERM, and restarted after `back`.
    sigstop: they are halted for `value` seconds.
    cut_out, cut_in, split: no byte passes from `nodes` to the rest, from the rest to `nodes`, or either way.
    slow: bytes between `nodes` and the rest are delayed by `value` ms in each direction.
    double: a message between `nodes` and the rest is duplicated with the probability `value`.
    heal: all faults of links end.
    """

    at: Share
    do: Literal["kill9", "sigterm", "sigstop", "cut_out", "cut_in", "split", "slow", "double", "heal"]
    nodes: Annotated[tuple[int, ...], Meta(max_length=16)] = ()
    value: float = 0.0
    back: Share = 0.0  # share of the run after which the fault is undone; 0: never


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant: its quota, and the demand of its clients in requests a second."""

    rate: float
    burst: float
    floor: float
    demand: float
    clients: Annotated[int, Meta(gt=0, le=500)] = 24


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A layout command of an operator. `stay`: the least share of the run in which both layouts are served."""

    at: Share
    word: Literal["propose", "back", "resume"]
    version: Annotated[int, Meta(gt=1)] = 2
    stay: Share = 0.0


class Pinned(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Clients that are pinned to a layout and run from `begin` to `end`; `rate` is requests a second of all of them."""

    version: Annotated[int, Meta(gt=0)]
    begin: Share = 0.0
    end: Share = 1.0
    clients: Annotated[int, Meta(gt=0, le=200)] = 12
    rate: Annotated[float, Meta(gt=0)] = 80.0


class FleetScenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet scenario. `steps` affect boxes; `faults` affect gateways and links.

    `phase_s`: how long an uneven spread of clients over the gateways lasts before another one is drawn. `term_s`: the
    longest lease of the fleet; time bounds are multiples of it. `rate`: requests a second of clients without a tenant.
    """

    judge: Literal["quota", "versions", "verdicts"]
    faults: tuple[Fault, ...] = ()
    steps: tuple[Step, ...] = ()
    tenants: dict[str, Tenant] = {}
    changes: tuple[Change, ...] = ()
    pinned: tuple[Pinned, ...] = ()
    banks: Annotated[int, Meta(gt=0, le=16)] = 2
    members: Annotated[int, Meta(gt=0, le=16)] = 3
    gateways: Annotated[int, Meta(gt=0, le=16)] = 5
    keepers: Annotated[int, Meta(gt=0, le=15)] = 3
    rate: Annotated[float, Meta(gt=0)] = 60.0
    work_ms: Annotated[float, Meta(gt=0)] = 2.0
    phase_s: Annotated[float, Meta(gt=0)] = 6.0
    term_s: Annotated[float, Meta(gt=0)] = 2.0
    drift: float = 0.001
    verdicts: bool = True
    fleet: bool = True  # False: the same gateways, clients and faults, without a `fleet` section in the settings

    def base(self) -> Scenario:
        """Return the part that a run without a fleet has too."""
        return Scenario(self.steps, self.banks, self.members, self.gateways, self.rate, self.work_ms)


# Demand is four times the rate: clients that obey retry times send nothing meanwhile, so twice the rate would leave
# times without any demand.
TENANTS = {
    "a": Tenant(rate=200, burst=40, floor=0.2, demand=800, clients=108),
    "b": Tenant(rate=60, burst=20, floor=0.4, demand=240, clients=54),
}
BUILT_IN = {
    "quota": FleetScenario(
        "quota",
        faults=(
            Fault(0.0, "double", nodes=(1,), value=0.2),
            Fault(0.17, "split", nodes=(3, 4), back=0.13),
            Fault(0.42, "kill9", nodes=(1,), back=0.06),
            Fault(0.57, "cut_out", nodes=(2,), back=0.05),
            Fault(0.71, "sigstop", nodes=(0,), value=3.0),
            Fault(0.84, "sigterm", nodes=(4,), back=0.03),
            Fault(0.84, "slow", nodes=(3,), value=40, back=0.1),
        ),
        steps=(Step(0.34, "crash", box="primary:0", back=0.03),),
        tenants=TENANTS,
    ),
    "versions": FleetScenario(
        "versions",
        changes=(
            Change(0.12, "propose", 2, stay=0.18),
            Change(0.62, "propose", 3, stay=0.3),
            Change(0.76, "back", 3),
        ),
        pinned=(Pinned(1, 0.0, 0.5), Pinned(2, 0.06, 1.0), Pinned(3, 0.55, 0.95, clients=6, rate=30)),
        faults=(
            Fault(0.13, "kill9", nodes=(0,), back=0.07),
            Fault(0.24, "split", nodes=(3, 4), back=0.08),
            Fault(0.46, "sigstop", nodes=(1,), value=3.0),
            Fault(0.70, "split", nodes=(2,), back=0.05),
            Fault(0.86, "sigterm", nodes=(3,), back=0.03),
        ),
        steps=(
            Step(0.10, "lag", box="replica:0", value=1_500, back=0.12),
            Step(0.125, "die_on_write", box="primary:1", back=0.1),
            Step(0.36, "crash", box="primary:0", back=0.05),
            Step(0.64, "hand_over", bank=1),
        ),
    ),
    "versions-quiet": FleetScenario(
        "versions",
        changes=(Change(0.1, "propose", 2, stay=0.2),),
        pinned=(Pinned(1, 0.0, 0.6), Pinned(2, 0.05, 1.0)),
    ),
    "verdicts": FleetScenario(
        "verdicts",
        steps=(
            Step(0.12, "hang", box="replica:0", back=0.1),
            Step(0.32, "crash", box="replica:1", back=0.08),
            Step(0.52, "crash", box="primary:0", back=0.1),
            Step(0.74, "hang", box="primary:1", back=0.1),
        ),
        faults=(Fault(0.0, "double", nodes=(1,), value=0.1),),
        rate=160.0,
        work_ms=4.0,
    ),
    "quota-quiet": FleetScenario("quota", tenants=TENANTS),
    "quota-losses": FleetScenario(
        "quota",
        faults=(
            Fault(0.1, "kill9", nodes=(0,), value=1, back=0.08),
            Fault(0.3, "split", nodes=(0, 1), back=0.12),
            Fault(0.55, "kill9", nodes=(1, 3), back=0.08),
            Fault(0.75, "sigstop", nodes=(2, 4), value=3.0),
        ),
        tenants=TENANTS,
    ),
}


def load_fleet_scenario(name: str) -> FleetScenario | None:
    """Return a built-in fleet scenario by its name, or load a Jsonnet file that has a `judge`; None for any other.

    Raises `SettingsError` if the file is an invalid fleet scenario.
    """
    if name in BUILT_IN:
        return BUILT_IN[name]
    try:
        with open(name, encoding="utf-8") as file:
            if "judge" not in file.read():
                return None
    except OSError:
        return None
    return decode_file(name, FleetScenario)
