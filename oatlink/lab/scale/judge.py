"""What a play is judged by: how long until in force, the worst second, who was starved. It plays nothing.

A gateway counts as late from the moment of the offer until it goes by that version or a newer one. One that goes back
to an older version breaks a rule, whatever the times are.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from oatlink.lab.scale.size import SIX, Size
from oatlink.lab.scale.tally import Tally

MOST_NAMED = 8
KINDS = (
    ("gateway", "checks"),
    ("gateway", "dials"),
    ("gateway", "check bytes"),
    ("gateway", "discovery bytes"),
    ("gateway", "discovery calls"),
    ("gateway", "fleet bytes"),
    ("gateway", "fleet messages"),
    ("gateway", "control bytes"),
    ("gateway", "control messages"),
)
AT_DATABASES = ("checks", "dials", "check bytes")
DISCOVERY = "discovery, all"


class Peak(msgspec.Struct, frozen=True):
    """The most of a kind at one of a role in a second, counted from 0. For databases and machines: the mean one."""

    role: str
    kind: str
    amount: float
    second: int


class InForce(msgspec.Struct, frozen=True):
    """How a kind of change came to be in force. `longest_s` and `p99_s` are None where it never was everywhere."""

    what: str
    offered: int
    everywhere: int
    longest_s: float | None
    p50_s: float | None
    p99_s: float | None
    reached: float  # share of (change, gateway) pairs that were in force at the end
    late: tuple[str, ...]  # some who never were


class Finding(msgspec.Struct):
    """One play, judged. Only counts and simulated times: the same for a seed, byte for byte."""

    scenario: str
    gateways: int
    databases: int
    seed: int
    carrier: str
    played: str
    seconds: float
    in_force: list[InForce] = []
    peaks: list[Peak] = []
    starved: list[str] = []
    broken: list[str] = []  # rules
    notes: list[str] = []
    steady: dict[str, float] = {}
    lines: dict[str, list[tuple[int, float]]] = {}


class Way(NamedTuple):
    """One change at one gateway: offered when, in force when (-1: never), by simulated time."""

    change: str
    gateway: int
    offered_us: int
    in_force_us: int


def in_force(what: str, ways: Iterable[Way]) -> InForce:
    """Judge one kind of change."""
    ways = list(ways)
    changes = {way.change for way in ways}
    never = [way for way in ways if way.in_force_us < 0]
    everywhere = len(changes - {way.change for way in never})
    took = sorted((way.in_force_us - way.offered_us) / 1e6 for way in ways if way.in_force_us >= 0)
    whole = not never and bool(took)
    late = sorted({f"gateway {way.gateway}" for way in never})[:MOST_NAMED]
    return InForce(
        what,
        len(changes),
        everywhere,
        took[-1] if whole else None,
        took[len(took) // 2] if took else None,
        took[min(len(took) - 1, len(took) * 99 // 100)] if whole else None,
        round(len(took) / len(ways), 4) if ways else 0.0,
        tuple(late),
    )


def peaks(tally: Tally, size: Size) -> list[Peak]:
    """The worst second of each kind at one gateway, the mean database, discovery, the mean of the six machines."""
    found = []
    for role, kind in KINDS:
        worst = tally.worst_one(role, kind)
        if worst.amount:
            found.append(Peak(role, kind, round(worst.amount, 1), worst.second))
    for kind in AT_DATABASES:
        worst = tally.worst_all("gateway", kind)
        if worst.amount:
            found.append(Peak("database", kind, round(worst.amount / size.databases, 1), worst.second))
    for kind in ("calls", "bytes"):
        worst = tally.worst_all(DISCOVERY, kind)
        if worst.amount:
            found.append(Peak(DISCOVERY, kind, round(worst.amount, 1), worst.second))
    for kind in ("control bytes", "control messages"):
        worst = tally.worst_all("six", kind)
        found.append(Peak("one of six", kind, round(worst.amount / SIX, 1), worst.second))
    return found


class Forward:
    """That no gateway goes back. `look` at what each holds as often as one likes."""

    def __init__(self) -> None:
        self._newest: dict[tuple[int, object], int] = {}
        self.broken: list[str] = []

    def look(self, gateway: int, scope: object, version: int) -> None:
        """A gateway goes by this version now."""
        newest = self._newest.get((gateway, scope), 0)
        if version < newest and len(self.broken) < MOST_NAMED:
            self.broken.append(f"gateway {gateway} went back from version {newest} to {version} of {scope}")
        self._newest[gateway, scope] = max(newest, version)

    def begins(self, gateway: int) -> None:
        """Its process starts anew: what it held before binds it no more."""
        for key in [key for key in self._newest if key[0] == gateway]:
            del self._newest[key]


def starved(tally: Tally, since_s: int, until_s: int, most_share: float = 0.01) -> list[str]:
    """Who was not served in these seconds, where that is more than a share."""
    asked = tally.total("gateway", "statements", since_s, until_s) + tally.total(
        "gateway", "not ready", since_s, until_s
    )
    refused = tally.total("gateway", "unserved", since_s, until_s)
    early = tally.total("gateway", "not ready", since_s, until_s)
    found = []
    if asked and refused / asked > most_share:
        found.append(f"{refused / asked:.1%} of the statements in seconds {since_s} to {until_s}: refused or failed")
    if early:
        found.append(f"clients of gateways without a list yet: {early:,.0f} statements")
    return found
