"""Links between machines: whether, when, how often and in which order frames arrive.

A cut affects one direction; a link with only one direction cut is half-open.
"""

from random import Random

DELAY_US = 600
MAX_SLOW_DELAY_US = 1_300_000
MAX_JITTER_US = 60_000
ANY_NODE = "*"


class Links:
    """All links of one world, in true time.

    Each sender has its own random generator, so that leaving out one fault changes little at other senders.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._draws: dict[str, Random] = {}
        self.cuts: dict[tuple[str, str], int] = {}  # by sender and receiver: when the cut ends
        self.slow: dict[tuple[str, str], int] = {}
        self.noise: tuple[int, float, float] = (0, 0.0, 0.0)  # end, fraction lost, fraction duplicated
        # Fraction of the frames that take up to `MAX_JITTER_US`; a tenth of this fraction is lost.
        self.jittered_fraction = 0.0
        self.dropped = 0

    def fates(self, sender: str, to: str, now_us: int) -> list[int]:
        """Draw the delays in microseconds after which copies of a frame arrive; empty if the frame is lost."""
        draw = self._draws.get(sender)
        if draw is None:
            draw = self._draws[sender] = Random(f"{self._seed}/links/{sender}")
        if self.cuts and self._is_affected(self.cuts, sender, to, now_us):
            self.dropped += 1
            return []
        copies = 1
        if now_us < self.noise[0]:
            if draw.random() < self.noise[1]:
                self.dropped += 1
                return []
            copies += draw.random() < self.noise[2]
        if self.jittered_fraction and draw.random() < self.jittered_fraction / 10:
            return []
        if self.jittered_fraction and draw.random() < self.jittered_fraction:
            return [int(draw.random() * MAX_JITTER_US) for _ in range(copies)]
        is_slow = bool(self.slow) and self._is_affected(self.slow, sender, to, now_us)
        return [DELAY_US + int(draw.random() * (MAX_SLOW_DELAY_US if is_slow else DELAY_US)) for _ in range(copies)]

    def heal(self) -> None:
        """End all link faults."""
        self.cuts.clear()
        self.slow.clear()
        self.noise = (0, 0.0, 0.0)
        self.jittered_fraction = 0.0

    @staticmethod
    def _is_affected(fault: dict[tuple[str, str], int], sender: str, to: str, now_us: int) -> bool:
        return any(fault.get(pair, 0) > now_us for pair in ((sender, to), (sender, ANY_NODE), (ANY_NODE, to)))
