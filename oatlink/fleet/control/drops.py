"""What was not taken of a peer's word: counted by reason and named, at a bounded rate. No I/O."""

from oatlink.fleet.messages.effects import Effect, Note

NOTE_INTERVAL_US = 60_000_000  # one line a reason in this time
MAX_REASONS = 32  # threat: reasons made from what a peer says; those of ours are fewer


class Drops:
    """Counts by reason; reasons are words of this code, never of a peer."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self._noted: dict[str, int] = {}

    def add(self, reason: str, peer: str, now_us: int) -> list[Effect]:
        """Something of `peer` was dropped; a line for the people on call, once a while."""
        if reason not in self.counts and len(self.counts) >= MAX_REASONS:
            return []
        self.counts[reason] = self.counts.get(reason, 0) + 1
        noted_us = self._noted.get(reason)
        if noted_us is not None and now_us - noted_us < NOTE_INTERVAL_US:
            return []
        self._noted[reason] = now_us
        return [Note("control_dropped", f"{reason} of {peer}, {self.counts[reason]} in all")]

    def text(self) -> str:
        """For a line of state."""
        return " ".join(f"{reason}={count}" for reason, count in sorted(self.counts.items())) or "nothing"
