"""Which version a request is made for, and which members may serve it, by the last news at one gateway. No I/O.

This module implements the gate's answers about layouts (`oatlink.fleet.gate.Gate`). Nothing is served before the first
news, nor after the end of a term: a node that is cut off stops, because other nodes may remove a version's data then.

Each answer is valid at the moment it is given. `layout` has to be asked again right before each send of a request,
since a wait may have outlived the term. A request counts as busy for its version from before that call until its end.
"""

from dataclasses import dataclass, field
from random import Random

from oatlink.fleet.gate import Layout, Served
from oatlink.fleet.messages import NEVER_US, Marker

NO_TERM_RETRY_US, NOT_SERVED_RETRY_US = 200_000, 500_000  # the shortest time after which a client may retry
MAX_DIGITS = 7


@dataclass(slots=True)
class Layouts:
    """What a gateway knows of versions. `word` precedes the version in the name of a client that asks for one."""

    word: str
    seed: int
    served: Served | None = None
    offers: dict[str, tuple[int, ...]] = field(default_factory=dict)
    markers: dict[tuple[str, int], Marker] = field(default_factory=dict)
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)

    def hear(self, news: Served) -> None:
        """Accept what may be served, from now on and until its term ends."""
        self.served = news
        self.offers = dict(news.offers)
        self.markers = {(bank, marker.version): marker for bank, marker in news.markers}

    def layout(self, client: str, pinned: int, now_us: int) -> Layout:
        """The version of a request: by its client's name, else by its session's pin, else the default."""
        news = self.served
        if news is None or now_us >= news.until_us:
            return Layout(0, self._retry_after_us(NO_TERM_RETRY_US))
        version = version_in_name(client, self.word) or pinned or news.default
        if version not in news.versions:
            return Layout(version, self._retry_after_us(NOT_SERVED_RETRY_US))
        return Layout(version)

    def marker(self, bank: str, version: int) -> Marker | None:
        """What a member must have applied to serve the version; None: every member of the bank serves it."""
        if not self.offered(bank, version):
            return Marker(version, "", NEVER_US)  # no member has it
        return self.markers.get((bank, version))

    def offered(self, bank: str, version: int) -> bool:
        """Whether the bank as a whole offers the version."""
        news = self.served
        if news is None or version not in news.versions:
            return False
        if bank not in self.offers:
            # The bank was added after the change began: which version it has is known only while one version is served.
            return len(news.versions) == 1
        return version in self.offers[bank]

    def _retry_after_us(self, least_us: int) -> int:
        return round(least_us * (1 + 2 * self.random.random()))


def version_in_name(client: str, word: str) -> int:
    """The version that a client's name asks for; 0 if it names none, or one that is no number."""
    _, found, rest = client.rpartition(word)
    digits = rest.split(";", 1)[0].strip() if found else ""
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) <= MAX_DIGITS else 0
