"""One node as another sees it: there, silent, gone, or back too often. No I/O.

What may live here: what makes a node count as there at a moment. All times are the watcher's clock.

- *There*: heard of within the patience, not known to be leaving, and its link has not failed since it last spoke to us.
  What others say of it lengthens the patience only: where our own link to it failed, nothing but its own word counts.
- A node that came back under its name has a new incarnation. Incarnations are drawn at random and have no order, so the
  one that spoke last counts: it has nothing of what the old one had, its leaving included.
- Hysteresis. The first return is taken at its word; one more within `CALM_US` counts only after a time without another,
  `HOLD_US`, twice that the next time, `MAX_HOLD_US` at most. Threat: a link that works one way only, or a process that
  dies each second: it would be chosen and lost over and over. A node that restarts once is back at once.
"""

from dataclasses import dataclass

CALM_US = 60_000_000
HOLD_US = 2_000_000
MAX_HOLD_US = 30_000_000


@dataclass(slots=True)
class Suspicion:
    """What is known of one node. Before it has spoken it is given the benefit of the doubt, from `heard_us` on."""

    heard_us: int
    known: bool = False  # somebody has heard of it
    incarnation: int | None = None
    left: bool = False
    failed: bool = False
    returns: int = 0
    return_us: int = 0
    trusted_us: int = 0  # not there before

    def silent(self, now_us: int, patience_us: int) -> bool:
        """Whether nothing shows that it is there; one that has left in order is not called silent."""
        return not self.left and (self.failed or now_us - self.heard_us > patience_us)

    def there(self, now_us: int, patience_us: int) -> bool:
        """Whether it counts as there."""
        return not self.left and not self.silent(now_us, patience_us) and now_us >= self.trusted_us

    def heard(self, incarnation: int, now_us: int, patience_us: int) -> bool:
        """It spoke to us; returns whether it is another incarnation than before, or the first."""
        new = incarnation != self.incarnation
        if (new and self.incarnation is not None) or self.silent(now_us, patience_us):
            self._returned(now_us)
        if new:
            self.incarnation, self.left = incarnation, False
        self.known, self.failed = True, False
        self.heard_us = max(self.heard_us, now_us)
        return new

    def told(self, heard_us: int) -> None:
        """Another node has heard of it then."""
        self.known = True
        self.heard_us = max(self.heard_us, heard_us)

    def _returned(self, now_us: int) -> None:
        if now_us - self.return_us > CALM_US:
            self.returns = 0
        self.returns = min(self.returns + 1, 16)
        self.return_us = now_us
        if self.returns > 1:
            self.trusted_us = now_us + min(MAX_HOLD_US, HOLD_US << (self.returns - 2))
