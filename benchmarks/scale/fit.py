"""A straight line through measured points by least squares, and what it leaves over."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """`value = base + slope * size`; the remainders are the largest, in the value's unit and as a share of it."""

    base: float
    slope: float
    remainder: float
    remainder_share: float
    largest: float  # the largest size measured

    def at(self, size: float) -> float:
        """The value at a size."""
        return self.base + self.slope * size

    def beyond(self, size: float) -> float:
        """How many times the largest size measured this size is; at most 1 where it lies within."""
        return size / self.largest


def line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line. Raises `ValueError` under four different sizes: fewer leave no remainder to judge it by."""
    sizes = [size for size, _ in points]
    if len(dict.fromkeys(sizes)) < 4:
        raise ValueError(f"expected at least four different sizes, got {sorted(dict.fromkeys(sizes))}")
    mean_size, mean = sum(sizes) / len(points), sum(value for _, value in points) / len(points)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (value - mean) for size, value in points) / spread
    base = mean - slope * mean_size
    left = [(abs(value - base - slope * size), abs(value)) for size, value in points]
    shares = [gap / value for gap, value in left if value > 0]
    return Line(base, slope, max(gap for gap, _ in left), max(shares, default=0.0), max(sizes))
