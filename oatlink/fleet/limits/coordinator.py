"""The home of one shard's allowances while its node holds the shard's lease: who is given what, for how long. No I/O.

Never over. A grant counts (`ledger`) from when it is given until term x (1 + drift) / (1 - drift) later by this clock;
the node counts its term from before it asked, by its own. The first is longer whatever the two clocks do within
`drift`, so what a node may still use is always counted. The term is cut so that this end lies before the end of the
lease, and nobody else holds the lease before that: a new home finds no live grant that it has not made, and begins
with an empty ledger. `began` must therefore follow only a lease that was taken as from another: a process that starts
again waits for its own old lease like anyone else.

How fast it divides anew. What is free is given at once, up to the asker's due. Where all is given out, the others are
cut when they next ask (`ASK_US` of the asker), what they give up is free when they ask once more, and the new node
has it when it next asks: three times `ASK_US` and the way of the messages. A node that is not heard any more keeps
what it has until its term ends: one term and one `ASK_US`. Messages lost on top of that: two terms.
"""

from collections.abc import Iterable, Mapping

from oatlink.fleet.limits.allowance import REQUEST_UNITS, Allowance, floor_of, pool_of
from oatlink.fleet.limits.ledger import AllowanceLedger
from oatlink.fleet.limits.shards import shard_of
from oatlink.fleet.messages import Demand, Effect, Grant, Grants, NotHome, Returned, Tell, Want

GRANT_TERM_US = 1_000_000
MIN_TERM_US = 20_000  # a shorter one would mostly be over when it arrives
DIVIDE_US = 50_000  # an allowance is divided anew at most this often,
DIVIDE_PER_NODE_US = (
    1_250  # and at most once in so long for each node in its book, so that a want costs the same in any fleet
)
MAX_DIVIDE_US = 250_000  # between two divisions
SWEEP_US = 2_000_000  # how often books that nobody asks for any more are looked through
MAX_DEMAND_FACTOR = 2.0  # of the allowance's rate: what one node can say that it was asked for


class LimitCoordinator:
    """One shard's home. Times are this node's clock."""

    def __init__(
        self, shard: int, allowances: Mapping[str, Allowance], nodes: Iterable[str], drift: float = 0.001
    ) -> None:
        """`allowances` by name, only looked up; `nodes` are all of the settings; `drift` below 1."""
        self.shard = shard
        self.fence = 0
        self._allowances = allowances
        self._nodes = dict.fromkeys(nodes)
        self._stretch = (1 + drift) / (1 - drift)
        self._ledgers: dict[str, AllowanceLedger] = {}
        self._serial = 0
        self._swept_us = 0

    def began(self, fence: int, now_us: int) -> None:
        """The lease is this node's, taken as from another: nothing that others gave out lives."""
        self._ledgers.clear()
        self.fence = fence
        self._serial = fence << 32  # so that a later home's are newer, whoever made the earlier ones
        self._swept_us = now_us

    def want(self, sender: str, message: Want, lease_until_us: int, now_us: int) -> list[Effect]:
        """A node asks. Names that are not of the settings or of this shard, and senders that are not, get nothing."""
        if sender not in self._nodes or message.shard != self.shard:
            return []
        term_us = self._term_us(lease_until_us, now_us)
        if not self.fence or term_us < MIN_TERM_US:
            return [Tell(sender, NotHome(message.ask, self.shard))]
        if now_us - self._swept_us >= SWEEP_US:
            self._sweep(now_us)
        end_us = now_us + self._counted_us(term_us)
        grants = []
        for demand in message.demands:
            book = self._ledgers.get(demand.name) or self._open(demand.name)
            if book is not None:
                grants.append(self._grant(book, sender, demand, term_us, end_us, now_us))
        return [Tell(sender, Grants(message.ask, self.shard, self.fence, tuple(grants)))]

    def returned(self, sender: str, message: Returned, now_us: int) -> list[Effect]:
        """A node uses these, and what it had before them, no more."""
        if message.shard == self.shard:
            for name, serial in message.grants:
                book = self._ledgers.get(name)
                row = book.rows.get(sender) if book is not None else None
                if book is not None and row is not None and serial <= self._serial:
                    book.confirm(row, serial + 1, now_us)
        return []

    def _grant(
        self, book: AllowanceLedger, sender: str, demand: Demand, term_us: int, end_us: int, now_us: int
    ) -> Grant:
        row = book.rows.get(sender)
        if row is None:
            row = book.join(sender, now_us)
        row.heard_us = book.heard_us = now_us
        most = MAX_DEMAND_FACTOR * (book.pool_rate + len(self._nodes) * book.floor_rate)
        asked = demand.rate * REQUEST_UNITS
        row.demand = int(asked) if 0 <= asked < most else (int(most) if asked >= most else 0)  # nan is 0
        # A serial that this home has not given is another's, and says nothing of what this one has given.
        book.confirm(row, demand.serial if demand.serial <= self._serial else 0, now_us)
        if now_us - book.divided_us >= min(MAX_DIVIDE_US, max(DIVIDE_US, DIVIDE_PER_NODE_US * len(book.rows))):
            book.divide(now_us, GRANT_TERM_US)
        self._serial += 1
        rate, burst = book.give(row, self._serial, end_us)
        return Grant(demand.name, self._serial, rate / REQUEST_UNITS, burst / REQUEST_UNITS, term_us)

    def _open(self, name: str) -> AllowanceLedger | None:
        allowance = self._allowances.get(name)
        # Threat: two homes that both give out a name, where one node reckons its shard wrongly.
        if allowance is None or shard_of(name) != self.shard:
            return None
        pool_rate, pool_burst = pool_of(allowance, len(self._nodes))
        book = self._ledgers[name] = AllowanceLedger(pool_rate, pool_burst, floor_of(allowance, len(self._nodes))[0])
        return book

    def _term_us(self, lease_until_us: int, now_us: int) -> int:
        return min(GRANT_TERM_US, int((lease_until_us - now_us - 2) / self._stretch))

    def _counted_us(self, term_us: int) -> int:
        return int(term_us * self._stretch) + 1

    def _sweep(self, now_us: int) -> None:
        self._swept_us = now_us
        longest_us = self._counted_us(GRANT_TERM_US)
        # What nobody has asked for since has no grant that could live: given when it was asked for, at the latest.
        for name in [name for name, book in self._ledgers.items() if now_us - book.heard_us > longest_us]:
            del self._ledgers[name]
