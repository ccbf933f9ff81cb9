"""Counts the outcomes of attempts between two state lines of the log."""

from collections import Counter

from oatlink.interface import Outcome


class AttemptCounts:
    """Counts of attempts by outcome, and the total duration of the served ones."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._served_us = 0

    def record(self, outcome: Outcome, duration_us: int) -> None:
        """Count an attempt that has ended."""
        self._counts[outcome.value] += 1
        self._served_us += duration_us if outcome is Outcome.SERVED else 0

    def take_summary(self) -> str:
        """Return the counts as text for the log, and reset them."""
        counts, self._counts = self._counts, Counter()
        mean_ms, self._served_us = self._served_us / max(1, counts[Outcome.SERVED.value]) / 1000, 0
        text = ", ".join(f"{counts[name]} {name}" for name in sorted(counts)) or "none"
        return f"attempts {text}, served ones {mean_ms:.0f} ms"
