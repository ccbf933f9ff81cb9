"""A node's side of the versions' terms: when to ask, and which answer counts. No I/O.

The proof: a term is counted from before the question was sent, so it ends here before whoever granted it takes it for
ended. What was taken last is all that is served. An answer to an older question than one that was taken already, or to
the same, changes nothing, nor does one by a lower fence than was seen: what was granted then may have been counted out
since, by `heard` or by time.
"""

from random import Random

from oatlink.fleet.gate import Served
from oatlink.fleet.messages import Adopt, Adopted, Effect, NotSequencer, Tell, Tuned

ASK_US = 300_000
MOST_TERM_US = 60_000_000  # by far more than anyone grants (`sequencer.VERSION_TERM_US`)
KEPT = 16  # questions of which the time is kept
SILENT = 3  # questions without an answer


class Adopter:
    """What one process of a node asks."""

    def __init__(self, node: str, seed: int) -> None:
        self.node = node
        self._random = Random(seed)
        self._asked: dict[int, int] = {}
        self._ask = self._since = 0
        self._heard = 0
        self._fence = 0
        self._silent = 0
        self.due_us = 0

    @property
    def unanswered(self) -> bool:
        """Whether the one asked does not answer, or does not sequence: look at the lease."""
        return self._silent >= SILENT

    def look(self, sequencer: str, busy: tuple[int, ...], now_us: int) -> list[Effect]:
        """Ask the lease's holder, where that is due. `busy`: versions that something of this node is out for."""
        if not sequencer or now_us < self.due_us:
            return []
        # By the clock, so that the questions of a process that started again are told from its predecessor's.
        self._ask = self._ask + 1 if self._ask else max(1, now_us)
        self._since = self._since or self._ask
        self._asked[self._ask] = now_us
        while len(self._asked) > KEPT:
            del self._asked[next(iter(self._asked))]
        self._silent += 1
        self.due_us = now_us + round(ASK_US * (0.9 + 0.2 * self._random.random()))
        return [Tell(sequencer, Adopt(self._ask, self._fence, busy, self._heard, self._since))]

    def receive(self, sender: str, message: Adopted | NotSequencer, now_us: int) -> list[Effect]:
        """An answer has come."""
        asked_us = self._asked.get(message.ask)
        if asked_us is None:
            return []
        if isinstance(message, NotSequencer):
            self._silent = SILENT
            return []
        if message.fence < self._fence or message.ask <= self._heard or not _makes_sense(message):
            return []
        self._silent = 0
        self._fence, self._heard = message.fence, message.ask
        for ask in [one for one in self._asked if one <= message.ask]:
            del self._asked[ask]
        markers = tuple((offer.shard, marker) for offer in message.offers for marker in offer.markers)
        offers = tuple((offer.shard, offer.versions) for offer in message.offers)
        until_us = asked_us + message.term_us
        return [Tuned(Served(message.fence, until_us, message.versions, message.default, markers, offers))]


def _makes_sense(message: Adopted) -> bool:
    versions = message.versions
    return (
        0 < message.term_us <= MOST_TERM_US
        and 1 <= len(versions) <= 2
        and message.default in versions
        and versions == tuple(range(versions[0], versions[0] + len(versions)))
    )
