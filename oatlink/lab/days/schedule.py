"""Scenarios as data: the steps of a schedule, and the built-in scenarios."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from oatlink.settings.load import decode_file


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One action of a schedule, such as a fault of a box, a roster change or a burst of clients.

    `box` may be a name, `primary:BANK` or `replica:BANK`; `hall` is a number.
    `crowd`: `value` connections, spread over all gateways and all classes, send one request each at the same instant.
    `flood`: one client keeps `value` commands pending on each of eight connections until `back` has passed.
    `silence` and the actions after it affect one address of the box, named by `path`; see `standins.box.PathFaults`.
    """

    at: Annotated[float, Meta(ge=0, le=1)]
    do: Literal[
        "lag",
        "hang",
        "slow",
        "cut",
        "die_on_write",
        "crash",
        "start",
        "drain",
        "ready",
        "remove",
        "hand_over",
        "lose_hall",
        "return_hall",
        "crowd",
        "flood",
        "silence",
        "deafen",
        "refuse",
        "slow_path",
        "lose_answers",
        "reset_requests",
        "reset_replies",
    ]
    box: str = ""
    path: str = ""  # an address of the box: `unix`, `ipv6`, or empty for its first one
    bank: int = 0
    hall: int = 0
    value: float = 0.0
    back: float = 0.0  # share of the run after which the step is undone; 0: never


PATH_FAULTS = ("silence", "deafen", "refuse", "slow_path", "lose_answers", "reset_requests", "reset_replies")


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A schedule, with the fleet and the load that it runs against."""

    steps: tuple[Step, ...]
    banks: Annotated[int, Meta(gt=0, le=16)] = 2
    members: Annotated[int, Meta(gt=0, le=16)] = 3
    gateways: Annotated[int, Meta(gt=0, le=16)] = 2
    rate: Annotated[float, Meta(gt=0)] = 160.0
    work_ms: Annotated[float, Meta(gt=0)] = 4.0
    paths: bool = False  # boxes also listen on Unix sockets and IPv6


def _address_losses() -> tuple[Step, ...]:
    """Repeatedly break the address in use, in every way, at primaries and replicas."""
    steps = []
    for index in range(12):
        box = ("primary:0", "replica:0", "primary:1")[index % 3]
        do, value, back = (("silence", 0.0, 0.035), ("reset_replies", 3.0, 0.0))[index % 2]
        steps.append(Step(0.06 + 0.06 * index, do, box=box, path="unix", value=value, back=back))  # type: ignore[arg-type]
    steps.append(Step(0.80, "deafen", box="primary:0", path="unix", back=0.05))
    steps.append(Step(0.84, "lose_answers", box="primary:1", path="unix", back=0.05))
    steps.append(Step(0.90, "refuse", box="replica:0", path="unix", back=0.04))
    return tuple(steps)


def _unanswered_writes() -> tuple[Step, ...]:
    """Make replicas lag, and repeatedly cut, drop or delay the replies to writes."""
    steps = [Step(0.02, "lag", box=f"box-{bank}-{box}", value=2_500, back=0.9) for bank in (0, 1) for box in (1, 2)]
    for index in range(16):
        steps.append(Step(0.05 + 0.05 * index, "cut", box=f"primary:{index % 2}", value=6))
    steps.append(Step(0.30, "lose_answers", box="primary:0", back=0.06))
    steps.append(Step(0.50, "lose_answers", box="primary:1", back=0.06))
    steps.append(Step(0.70, "hang", box="primary:0", back=0.05))
    return tuple(steps)


SCENARIOS = {
    "quiet": Scenario(()),
    "unanswered": Scenario(_unanswered_writes()),
    "trouble": Scenario(
        (
            Step(0.06, "lag", box="replica:0", value=1_500, back=0.2),
            Step(0.15, "die_on_write", box="primary:1", back=0.15),
            Step(0.36, "hang", box="primary:0", back=0.12),
            Step(0.52, "drain", box="replica:1", back=0.14),
            Step(0.58, "crash", box="replica:0", back=0.02),
            Step(0.68, "lose_hall", hall=1, back=0.08),
            Step(0.80, "cut", box="replica:0", value=2),
            Step(0.82, "cut", box="primary:1", value=2),
            Step(0.86, "hand_over", bank=0),
            Step(0.90, "slow", box="replica:1", value=4, back=0.08),
        )
    ),
    "lag": Scenario(
        (
            Step(0.1, "lag", box="replica:0", value=2_000, back=0.7),
            Step(0.2, "lag", box="replica:1", value=900, back=0.6),
        )
    ),
    "elections": Scenario(
        (
            Step(0.1, "die_on_write", box="primary:0", back=0.2),
            Step(0.2, "die_on_write", box="primary:1", back=0.2),
            Step(0.5, "hand_over", bank=0),
            Step(0.6, "hand_over", bank=1),
            Step(0.7, "hang", box="primary:0", back=0.15),
        )
    ),
    "drains": Scenario(
        (
            Step(0.1, "drain", box="replica:0", back=0.3),
            Step(0.2, "drain", box="primary:1", back=0.4),
            Step(0.6, "remove", box="replica:0", back=0.3),
        )
    ),
    "crowd": Scenario(
        (
            Step(0.08, "crowd", value=600),
            Step(0.20, "lag", box="replica:0", value=1_500, back=0.5),
            Step(0.24, "crowd", value=1_200),
            Step(0.40, "die_on_write", box="primary:1", back=0.2),
            Step(0.42, "crowd", value=1_200),
            Step(0.46, "flood", value=24, back=0.2),
            Step(0.52, "crowd", value=1_000),
            Step(0.72, "hand_over", bank=0),
            Step(0.73, "crowd", value=1_200),
        ),
        work_ms=2.0,
    ),
    "lost-address": Scenario(_address_losses(), paths=True),
    "cold": Scenario(
        (
            Step(0.1, "crash", box="replica:0", back=0.04),
            Step(0.4, "crash", box="replica:1", back=0.04),
            Step(0.6, "lose_hall", hall=2, back=0.05),
        ),
        rate=260.0,
    ),
}


def load_scenario(name: str) -> Scenario:
    """Return a built-in scenario by its name, or load a Jsonnet file. Raises `SettingsError`."""
    return SCENARIOS[name] if name in SCENARIOS else decode_file(name, Scenario)
