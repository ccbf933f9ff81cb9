"""What attempts ended in since the last line of state, for people."""

from collections import Counter

from oatlink.interface import Outcome


class AttemptCounts:
    """Counts by outcome, and how long served ones took. Times are microseconds."""

    def __init__(self) -> None:
        self._ended: Counter[str] = Counter()
        self._took_us = 0

    def record(self, outcome: Outcome, took_us: int) -> None:
        """An attempt has ended so long after it began."""
        self._ended[outcome.value] += 1
        self._took_us += took_us if outcome is Outcome.SERVED else 0

    def take_summary(self) -> str:
        """What has been counted, as the log says it; counting begins anew."""
        ended, self._ended = self._ended, Counter()
        took_ms, self._took_us = self._took_us / max(1, ended[Outcome.SERVED.value]) / 1000, 0
        counts = ", ".join(f"{ended[name]} {name}" for name in sorted(ended)) or "none"
        return f"attempts {counts}, served ones {took_ms:.0f} ms"
