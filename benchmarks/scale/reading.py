"""The slopes as a row's formula reads them: what is read is remembered: each row says what it rests on."""

import math
from pathlib import Path

from benchmarks.scale.fit import Line
from benchmarks.scale.measure import KEPT, Kept, load


class MissingError(LookupError):
    """A measurement that is not there yet."""


class Slopes:
    """All measurements of a folder, each read once."""

    def __init__(self, folder: Path = KEPT) -> None:
        self._folder = folder
        self._kept: dict[str, Kept] = {}

    def kept(self, name: str) -> Kept:
        """A measurement. Raises `MissingError`."""
        if name not in self._kept:
            try:
                self._kept[name] = load(name, self._folder)
            except FileNotFoundError:
                raise MissingError(name) from None
        return self._kept[name]


class Reading:
    """What one formula reads. `used`: each `measurement.value`, and how many times the largest size measured."""

    def __init__(self, slopes: Slopes) -> None:
        self._slopes = slopes
        self.used: dict[str, float] = {}

    def line(self, name: str, value: str, size: float) -> float:
        """The line of a value at a size; below zero it is zero. Raises `MissingError`."""
        found: Line = self._slopes.kept(name).line(value)
        self._use(name, value, found.beyond(size))
        return max(0.0, found.at(size))

    def over(self, name: str, value: str, axis: str, at: float) -> float:
        """The line of a value over another value of the same measurement. Raises `MissingError`."""
        kept = self._slopes.kept(name)
        found = kept.line(value, axis)
        self._use(name, value, found.beyond(at))
        return max(0.0, found.at(at))

    def last(self, name: str, value: str) -> float:
        """The value at the largest size measured, for what no longer grows there. Raises `MissingError`."""
        found = self._slopes.kept(name).last(value)
        self._use(name, value, 0.0)
        return found

    def point(self, name: str, value: str, size: int) -> float:
        """The value as it was measured at this very size. Raises `MissingError`."""
        found = {one.size: one.values[value] for one in self._slopes.kept(name).found}
        if size not in found:
            raise MissingError(f"{name} at {size}")
        self._use(name, value, 0.0)
        return found[size]

    def mean(self, name: str, value: str) -> float:
        """The mean over the sizes, for what does not grow with them. Raises `MissingError`."""
        found = self._slopes.kept(name).found
        self._use(name, value, 0.0)
        return math.fsum(one.values[value] for one in found) / len(found)

    def _use(self, name: str, value: str, beyond: float) -> None:
        key = f"{name}.{value}"
        self.used[key] = max(beyond, self.used.get(key, 0.0))
