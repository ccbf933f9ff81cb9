"""Counts by role, kind and simulated second. It decides nothing.

A gateway that is played stands for `weight` of its like: totals are weighted, what one gateway has is not. Nothing
here is a time of the machine, so the same seed gives the same counts.
"""

from collections import defaultdict
from typing import NamedTuple

SECOND_US = 1_000_000


class Worst(NamedTuple):
    """The most in one second, and in which."""

    amount: float
    second: int


class Tally:
    """What happened. `add` for one gateway, `spread` for what the databases or the machines of control see of it."""

    def __init__(self) -> None:
        self._ones: dict[tuple[str, str], dict[int, dict[int, float]]] = defaultdict(dict)  # role, kind: second: who
        self._all: dict[tuple[str, str], dict[int, float]] = defaultdict(lambda: defaultdict(float))
        self._left_out = range(0)

    def add(self, role: str, who: int, kind: str, at_us: int, amount: float = 1, weight: float = 1.0) -> None:
        """One of a role has done so much, and as many as it stands for."""
        second = at_us // SECOND_US
        ones = self._ones[role, kind].setdefault(second, {})
        ones[who] = ones.get(who, 0) + amount
        self._all[role, kind][second] += amount * weight

    def spread(self, role: str, kind: str, at_us: int, amount: float) -> None:
        """So much came to all of a role together."""
        self._all[role, kind][at_us // SECOND_US] += amount

    def leave_out(self, since_s: int, until_s: int) -> None:
        """These seconds are no part of any worst one: what was played in them is not what is judged."""
        self._left_out = range(since_s, until_s)

    def worst_one(self, role: str, kind: str, since_s: int = 0) -> Worst:
        """The most that one of them had in a second, from then on."""
        found = [
            (max(ones.values()), -second)
            for second, ones in self._ones.get((role, kind), {}).items()
            if second >= since_s and second not in self._left_out
        ]
        most, second = max(found, default=(0.0, 0))
        return Worst(most, -second)

    def worst_all(self, role: str, kind: str, since_s: int = 0) -> Worst:
        """The most that all of them had in a second, from then on."""
        found = [
            (amount, -second)
            for second, amount in self._all.get((role, kind), {}).items()
            if second >= since_s and second not in self._left_out
        ]
        most, second = max(found, default=(0.0, 0))
        return Worst(most, -second)

    def total(self, role: str, kind: str, since_s: int = 0, until_s: int = 1 << 40) -> float:
        """All of them in these seconds, the last one left out."""
        found = self._all.get((role, kind), {})
        return sum(amount for second, amount in found.items() if since_s <= second < until_s)

    def line(self, role: str, kind: str) -> list[tuple[int, float]]:
        """Second by second, all of them."""
        return sorted(self._all.get((role, kind), {}).items())

    def kinds(self) -> list[tuple[str, str]]:
        """What was counted: role and kind."""
        return sorted(self._all)
