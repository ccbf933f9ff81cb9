"""Counts what was dropped of peers' messages, by reason, and logs it at a bounded rate. No I/O."""

from oatlink.fleet.messages.effects import Effect, Note

NOTE_INTERVAL_US = 60_000_000  # at most one line per reason in this time
MAX_REASONS = 32  # more than this code has; bounds memory if a reason ever contained a peer's text


class Drops:
    """Counts drops by reason; reasons are texts of this code, never a peer's."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self._noted: dict[str, int] = {}

    def add(self, reason: str, peer: str, now_us: int) -> list[Effect]:
        """Count a drop of a message of `peer`; return a log line for it now and then."""
        if reason not in self.counts and len(self.counts) >= MAX_REASONS:
            return []
        self.counts[reason] = self.counts.get(reason, 0) + 1
        noted_us = self._noted.get(reason)
        if noted_us is not None and now_us - noted_us < NOTE_INTERVAL_US:
            return []
        self._noted[reason] = now_us
        return [Note("control_dropped", f"{reason} of {peer}, {self.counts[reason]} in all")]

    def text(self) -> str:
        """Return the counts as text for a status line."""
        return " ".join(f"{reason}={count}" for reason, count in sorted(self.counts.items())) or "nothing"
