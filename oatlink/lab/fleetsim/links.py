"""Links between machines: what comes, when, how often, in which order.

What may live here: the fate of one frame. A cut is one way; a link that is cut one way only is a half-open one.
"""

from random import Random

WAY_US = 600
SLOWEST_US = 1_300_000
ROUGH_US = 60_000
EVERYBODY = "*"


class Links:
    """All of them; times are true. Each sender draws for itself, so that a fault less changes little elsewhere."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._draws: dict[str, Random] = {}
        self.cuts: dict[tuple[str, str], int] = {}
        self.slow: dict[tuple[str, str], int] = {}
        self.noise: tuple[int, float, float] = (0, 0.0, 0.0)  # until when, part lost, part doubled
        self.rough = 0.0  # part of the frames that take up to `ROUGH_US`, and a tenth of it that are lost
        self.dropped = 0

    def fates(self, sender: str, to: str, now_us: int) -> list[int]:
        """After how many microseconds a frame comes, once for each time that it does."""
        draw = self._draws.get(sender)
        if draw is None:
            draw = self._draws[sender] = Random(f"{self._seed}/links/{sender}")
        if self.cuts and self._on(self.cuts, sender, to, now_us):
            self.dropped += 1
            return []
        times = 1
        if now_us < self.noise[0]:
            if draw.random() < self.noise[1]:
                self.dropped += 1
                return []
            times += draw.random() < self.noise[2]
        if self.rough and draw.random() < self.rough / 10:
            return []
        if self.rough and draw.random() < self.rough:
            return [int(draw.random() * ROUGH_US) for _ in range(times)]
        slow = bool(self.slow) and self._on(self.slow, sender, to, now_us)
        return [WAY_US + int(draw.random() * (SLOWEST_US if slow else WAY_US)) for _ in range(times)]

    def heal(self) -> None:
        """All is well from now on."""
        self.cuts.clear()
        self.slow.clear()
        self.noise = (0, 0.0, 0.0)
        self.rough = 0.0

    @staticmethod
    def _on(fault: dict[tuple[str, str], int], sender: str, to: str, now_us: int) -> bool:
        return any(fault.get(pair, 0) > now_us for pair in ((sender, to), (sender, EVERYBODY), (EVERYBODY, to)))
