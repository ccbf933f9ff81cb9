"""What a play is judged by: how long until in force, the worst second, who was starved. It plays nothing.

A gateway counts as late from the moment of the offer until it goes by that version or a newer one. One that goes back
to an older version breaks a rule, whatever the times are.
"""

import math
from collections import Counter

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
    ("gateway", "fleet dials"),
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


class Waits:
    """How long each of many took, as counts by length. What is expected and never seen was never in force."""

    def __init__(self) -> None:
        self._took: Counter[int] = Counter()
        self._open: dict[str, int] = {}
        self._expected = 0
        self._late: dict[str, None] = {}

    def expect(self, change: str, at: int) -> None:
        """A change that so many are to go by."""
        self._open[change] = self._open.get(change, 0) + at
        self._expected += at

    def saw(self, change: str, wait_us: int) -> None:
        """One of them goes by it, so long after the offer."""
        self._open[change] -= 1
        self._took[wait_us] += 1

    def name(self, late: str) -> None:
        """One that is late."""
        if len(self._late) < MOST_NAMED:
            self._late[late] = None

    def judged(self, what: str) -> InForce:
        """What came of it."""
        seen = sum(self._took.values())
        whole = 0 < seen == self._expected
        return InForce(
            what,
            len(self._open),
            sum(one == 0 for one in self._open.values()),
            self._part(1.0) if whole else None,
            self._part(0.5) if seen else None,
            self._part(0.99) if whole else None,
            round(seen / self._expected, 4) if self._expected else 0.0,
            tuple(self._late),
        )

    def _part(self, share: float) -> float:
        left = math.ceil(share * sum(self._took.values()))
        for wait_us in sorted(self._took):
            left -= self._took[wait_us]
            if left <= 0:
                return wait_us / 1e6
        return math.inf


def peaks(tally: Tally, size: Size, since_s: int = 0) -> list[Peak]:
    """The worst second of each kind from then on: one gateway, the mean database, discovery, the mean of the six."""
    found = []
    for role, kind in KINDS:
        worst = tally.worst_one(role, kind, since_s)
        if worst.amount:
            found.append(Peak(role, kind, round(worst.amount, 1), worst.second))
    for kind in AT_DATABASES:
        worst = tally.worst_all("gateway", kind, since_s)
        if worst.amount:
            found.append(Peak("database", kind, round(worst.amount / size.databases, 1), worst.second))
    for kind in ("calls", "bytes"):
        worst = tally.worst_all(DISCOVERY, kind, since_s)
        if worst.amount:
            found.append(Peak(DISCOVERY, kind, round(worst.amount, 1), worst.second))
    for kind in ("control bytes", "control messages"):
        worst = tally.worst_all("six", kind, since_s)
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
