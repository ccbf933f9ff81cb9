"""Which version a request is made for, and who may serve it, as one gateway last heard. No I/O.

What may live here: a gate's answers about layouts (`oatlink.fleet.gate.Gate`). Nothing is served before the first
news, nor after the end of a term: a node that is cut off stops, because others may take a version's ground away then.

Each answer holds at the moment it is given. `layout` is to be asked again right before each send of a request (a hold
may have outlived the term), and a request counts as busy for its version from before that look until its end.
"""

from dataclasses import dataclass, field
from random import Random

from oatlink.fleet.gate import Layout, Served
from oatlink.fleet.messages import NEVER_US, Marker

SOON_US, LATER_US = 200_000, 500_000  # the least time to come back: no term; a version that is not served
MOST_DIGITS = 7


@dataclass(slots=True)
class Layouts:
    """What a gateway knows of versions. `word` stands in a client's name before the version that it wants."""

    word: str
    seed: int
    served: Served | None = None
    offers: dict[str, tuple[int, ...]] = field(default_factory=dict)
    markers: dict[tuple[str, int], Marker] = field(default_factory=dict)
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)

    def hear(self, news: Served) -> None:
        """Take in what may be served, from now on and until its term ends."""
        self.served = news
        self.offers = dict(news.offers)
        self.markers = {(bank, marker.version): marker for bank, marker in news.markers}

    def layout(self, client: str, pinned: int, now_us: int) -> Layout:
        """The version of a request by its client's name, else what its session is pinned to, else the default."""
        news = self.served
        if news is None or now_us >= news.until_us:
            return Layout(0, self._back(SOON_US))
        version = worded(client, self.word) or pinned or news.default
        if version not in news.versions:
            return Layout(version, self._back(LATER_US))
        return Layout(version)

    def marker(self, bank: str, version: int) -> Marker | None:
        """What a member must have applied to serve the version; None: every member of the bank does."""
        if not self.offered(bank, version):
            return Marker(version, "", NEVER_US)  # which nobody has
        return self.markers.get((bank, version))

    def offered(self, bank: str, version: int) -> bool:
        """Whether the bank as a whole offers the version."""
        news = self.served
        if news is None or version not in news.versions:
            return False
        if bank not in self.offers:
            # A bank that came after the change began: for which version it was laid out is known only when one is.
            return len(news.versions) == 1
        return version in self.offers[bank]

    def _back(self, least_us: int) -> int:
        return round(least_us * (1 + 2 * self.random.random()))


def worded(client: str, word: str) -> int:
    """The version that a client's name asks for; 0 where it has none, or one that is no number."""
    _, found, rest = client.rpartition(word)
    digits = rest.split(";", 1)[0].strip() if found else ""
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) <= MOST_DIGITS else 0
