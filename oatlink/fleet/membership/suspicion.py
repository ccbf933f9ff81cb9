"""The state of one node as another sees it: present, silent, gone, or returning too often. No I/O.

All times are by the clock of the observing node.

- A node is *present* if it was heard of within the patience, is not known to be leaving, and its link has not failed
  since it last sent us a message. Reports of other nodes only extend the patience: if our own link to a node failed,
  only a message from that node itself counts.
- A node that came back under its name has a new incarnation. Incarnations are drawn at random and have no order, so the
  one that sent the last message counts. It inherits nothing from the old one, not even that the old one was leaving.
- Hysteresis: the first return counts at once. A further one within `CALM_US` counts only after `HOLD_US` without
  another return, twice that the next time, up to `MAX_HOLD_US`. This prevents a node whose link works in one direction
  only, or a process that dies each second, from being chosen and lost over and over. A node that restarts once is
  present again at once.
"""

from dataclasses import dataclass

CALM_US = 60_000_000
HOLD_US = 2_000_000
MAX_HOLD_US = 30_000_000


@dataclass(slots=True)
class Suspicion:
    """What is known of one node. Until its first message it counts as heard at `heard_us`, when the view began."""

    heard_us: int
    is_known: bool = False  # some node has heard of it
    incarnation: int | None = None
    has_left: bool = False
    has_link_failed: bool = False  # our own link to the node
    returns: int = 0
    return_us: int = 0
    trusted_us: int = 0  # not present before this time

    def is_silent(self, now_us: int, patience_us: int) -> bool:
        """Whether nothing shows that the node is alive; a node that left in an orderly way does not count as silent."""
        return not self.has_left and (self.has_link_failed or now_us - self.heard_us > patience_us)

    def is_present(self, now_us: int, patience_us: int) -> bool:
        """Whether the node counts as present."""
        return not self.has_left and not self.is_silent(now_us, patience_us) and now_us >= self.trusted_us

    def heard(self, incarnation: int, now_us: int, patience_us: int) -> bool:
        """Note a message of the node to us; returns whether its incarnation is another than before, or the first."""
        is_new = incarnation != self.incarnation
        if (is_new and self.incarnation is not None) or self.is_silent(now_us, patience_us):
            self._returned(now_us)
        if is_new:
            self.incarnation, self.has_left = incarnation, False
        self.is_known, self.has_link_failed = True, False
        self.heard_us = max(self.heard_us, now_us)
        return is_new

    def heard_by_other(self, heard_us: int) -> None:
        """Note that another node heard of this one at `heard_us`."""
        self.is_known = True
        self.heard_us = max(self.heard_us, heard_us)

    def _returned(self, now_us: int) -> None:
        if now_us - self.return_us > CALM_US:
            self.returns = 0
        self.returns = min(self.returns + 1, 16)
        self.return_us = now_us
        if self.returns > 1:
            self.trusted_us = now_us + min(MAX_HOLD_US, HOLD_US << (self.returns - 2))
