"""One row of the capacity table: whose, when, what of it, by which formula, and what is allowed."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.scale.reading import MissingError, Reading, Slopes
from benchmarks.scale.size import Size

Figure = Callable[[Size, Reading], float]


@dataclass(frozen=True, slots=True)
class Row:
    """`formula` says in words of the page what `figure` computes; infinite where nothing does it at all.

    `stated`: whether what is allowed stands in the size's terms; else it is assumed. `will`: the mechanism to come,
    empty where today's is enough.
    """

    role: str
    event: str
    what: str
    unit: str
    formula: str
    figure: Figure
    allowed: float | Callable[[Size], float] | None = None
    stated: bool = True
    today: str = ""
    will: str = ""
    counted: str = ""  # where nothing is measured: from which constant of the code it is counted
    after: Figure | None = None  # the same once the stream of control carries it


@dataclass(frozen=True, slots=True)
class Worked:
    """A row at a size. `figure` is None where its slope is not measured yet, `factor` also where nothing is allowed."""

    row: Row
    figure: float | None
    allowed: float | None
    after: float | None
    used: dict[str, float]

    @property
    def factor(self) -> float | None:
        """Of what is allowed; above 1 it is missed."""
        return None if self.figure is None or self.allowed is None else self.figure / self.allowed

    @property
    def is_missed(self) -> bool:
        """Whether more is needed than is allowed."""
        return self.factor is not None and self.factor > 1


def work(row: Row, size: Size, slopes: Slopes) -> Worked:
    """A row's figure at a size."""
    reading = Reading(slopes)
    allowed = row.allowed(size) if callable(row.allowed) else row.allowed
    figure = _value(row.figure, size, reading)
    # What comes after rests on the stream's own measurement; what today's figure rests on is told apart.
    after = None if row.after is None else _value(row.after, size, Reading(slopes))
    return Worked(row, figure, allowed, after, reading.used)


def _value(figure: Figure, size: Size, reading: Reading) -> float | None:
    """A figure; None where a slope that it reads has not been measured."""
    try:
        found = figure(size, reading)
    except MissingError:
        return None
    assert not math.isnan(found)
    return found
