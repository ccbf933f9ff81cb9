"""How a node asks which versions it may serve, and which answers count. No I/O.

Why this is safe: a term is counted from before the request was sent, so it ends here before the sequencer that granted
it considers it ended. Only the answer accepted last is served. An answer to a request that is not newer than one whose
answer was accepted changes nothing, and neither does an answer with a lower fence than one seen before: what it grants
may have been counted as ended since, by `heard` or by time.
"""

from random import Random

from oatlink.fleet.gate import Served
from oatlink.fleet.messages import Adopt, Adopted, Effect, NotSequencer, Tell, Tuned

ASK_US = 300_000
MAX_TERM_US = 60_000_000  # far more than any sequencer grants (`sequencer.VERSION_TERM_US`)
MAX_QUESTIONS = 16  # the newest requests, whose times are kept
MAX_UNANSWERED = 3  # requests without an answer before the sequencer counts as silent


class Adopter:
    """Asks the sequencer which versions one process of a node may serve."""

    def __init__(self, node: str, seed: int) -> None:
        self.node = node
        self._random = Random(seed)
        self._asked: dict[int, int] = {}
        self._last_ask = self._first_ask = 0
        self._answered_ask = 0
        self._fence = 0
        self._unanswered = 0
        self.due_us = 0

    @property
    def unanswered(self) -> bool:
        """Whether the node that was asked does not answer or is no sequencer: then the lease is to be read."""
        return self._unanswered >= MAX_UNANSWERED

    def poll(self, sequencer: str, busy: tuple[int, ...], now_us: int) -> list[Effect]:
        """Ask the holder of the lease, if that is due. `busy`: versions for which this node has unfinished requests."""
        if not sequencer or now_us < self.due_us:
            return []
        # The first number is the clock, so that the requests of a restarted process differ from its predecessor's.
        self._last_ask = self._last_ask + 1 if self._last_ask else max(1, now_us)
        self._first_ask = self._first_ask or self._last_ask
        self._asked[self._last_ask] = now_us
        while len(self._asked) > MAX_QUESTIONS:
            del self._asked[next(iter(self._asked))]
        self._unanswered += 1
        self.due_us = now_us + round(ASK_US * (0.9 + 0.2 * self._random.random()))
        return [Tell(sequencer, Adopt(self._last_ask, self._fence, busy, self._answered_ask, self._first_ask))]

    def receive(self, sender: str, message: Adopted | NotSequencer, now_us: int) -> list[Effect]:
        """Handle an answer."""
        asked_us = self._asked.get(message.ask)
        if asked_us is None:
            return []
        if isinstance(message, NotSequencer):
            self._unanswered = MAX_UNANSWERED
            return []
        if message.fence < self._fence or message.ask <= self._answered_ask or not _is_valid(message):
            return []
        self._unanswered = 0
        self._fence, self._answered_ask = message.fence, message.ask
        for ask in [asked for asked in self._asked if asked <= message.ask]:
            del self._asked[ask]
        markers = tuple((offer.shard, marker) for offer in message.offers for marker in offer.markers)
        offers = tuple((offer.shard, offer.versions) for offer in message.offers)
        until_us = asked_us + message.term_us
        return [Tuned(Served(message.fence, until_us, message.versions, message.default, markers, offers))]


def _is_valid(message: Adopted) -> bool:
    versions = message.versions
    return (
        0 < message.term_us <= MAX_TERM_US
        and 1 <= len(versions) <= 2
        and message.default in versions
        and versions == tuple(range(versions[0], versions[0] + len(versions)))
    )
