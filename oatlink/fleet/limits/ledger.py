"""What a home has given out of one allowance, and what may still be in use of it. No I/O.

The invariant, asserted here at each division: the sum over the nodes of the largest of each node's grants that may
still be live is within the pool, for rates and for bursts. Both are counted, the older grant and the one that was to
replace it, until the node itself has said that it has the newer one or the older one has surely ended: an answer may
be lost or overtaken, and then the node goes on with what it has.

There is a row only for a node that asked or was given something within a grant's term, so that a book is as large as
the part of the fleet that uses the allowance.
"""

from dataclasses import dataclass, field

from oatlink.fleet.limits.allowance import REQUEST_UNITS
from oatlink.fleet.limits.division import bursts, divide, seated, seats
from oatlink.fleet.messages import NEVER_US

MAX_LIVE_GRANTS = 8  # grants told apart a row; beyond that the oldest two count as one, of the larger figures
TURN_US = 4_000_000  # of a seat, where a burst has fewer requests than nodes ask for it
MIN_DEMAND_DIVISOR = 16  # a demand counts with at least this part of itself, however much of it the floor serves


@dataclass(slots=True)
class LiveGrant:
    """A grant that may be in use until `end_us` of the home's clock."""

    serial: int
    rate: int
    burst: int
    end_us: int


@dataclass(slots=True)
class NodeShare:
    """One node at one allowance: what it asks, what is its due, and what counts as given to it."""

    heard_us: int
    demand: int = 0
    due_rate: int = 0
    due_burst: int = 0
    rate: int = 0
    burst: int = 0
    live: list[LiveGrant] = field(default_factory=list)

    def most(self) -> tuple[int, int]:
        """The largest rate and the largest burst among the live grants."""
        rate = burst = 0
        for one in self.live:
            if one.rate > rate:
                rate = one.rate
            if one.burst > burst:
                burst = one.burst
        return rate, burst


@dataclass(slots=True)
class AllowanceLedger:
    """One allowance: its pool, and who has what of it. Figures are millionths of a request."""

    pool_rate: int
    pool_burst: int
    floor_rate: int
    rows: dict[str, NodeShare] = field(default_factory=dict)
    rate: int = 0  # counted as given, over all rows
    burst: int = 0
    heard_us: int = 0  # when anyone last asked
    divided_us: int = -NEVER_US

    def join(self, node: str, now_us: int) -> NodeShare:
        """A node that is new here; until the next division an equal part is its due."""
        row = self.rows[node] = NodeShare(now_us)
        row.due_rate, row.due_burst = self.pool_rate // len(self.rows), self.pool_burst // len(self.rows)
        return row

    def confirm(self, row: NodeShare, serial: int, now_us: int) -> None:
        """The node uses nothing older than `serial`; what has ended by itself goes too."""
        for one in row.live:
            if one.serial < serial or one.end_us <= now_us:
                row.live = [one for one in row.live if one.serial >= serial and one.end_us > now_us]
                self._count(row)
                return

    def give(self, row: NodeShare, serial: int, end_us: int) -> tuple[int, int]:
        """A grant as near to the row's due as what is free allows: (rate, burst), both 0 where it would be no use."""
        rate = min(row.due_rate, self.pool_rate - self.rate + row.rate)
        burst = min(row.due_burst, self.pool_burst - self.burst + row.burst)
        if rate <= 0 or burst < REQUEST_UNITS:
            rate = burst = 0
        row.live.append(LiveGrant(serial, rate, burst, end_us))
        if len(row.live) > MAX_LIVE_GRANTS:
            old, newer = row.live[0], row.live[1]
            row.live[:2] = [
                LiveGrant(
                    newer.serial,
                    max(old.rate, newer.rate),
                    max(old.burst, newer.burst),
                    max(old.end_us, newer.end_us),
                )
            ]
        self._count(row)
        return rate, burst

    def _count(self, row: NodeShare) -> None:
        rate, burst = row.most()
        self.rate += rate - row.rate
        self.burst += burst - row.burst
        row.rate, row.burst = rate, burst

    def divide(self, now_us: int, quiet_us: int) -> None:
        """Set each row's due by max-min; rows without a live grant that were not heard for `quiet_us` go.

        What a node serves from its floor is not asked of the pool: floors are equal, so this is max-min of the whole.
        """
        for node, row in list(self.rows.items()):
            self.confirm(row, 0, now_us)
            if not row.live and now_us - row.heard_us >= quiet_us:
                del self.rows[node]
        asking = sorted(node for node, row in self.rows.items() if now_us - row.heard_us < quiet_us)
        asking = seated(asking, seats(self.pool_burst), now_us // TURN_US)
        rates = divide(self.pool_rate, [(node, self._lacking(self.rows[node].demand)) for node in asking])
        parts = bursts(self.pool_burst, rates)
        for node, row in self.rows.items():
            row.due_rate, row.due_burst = rates.get(node, 0), parts.get(node, 0)
        self.divided_us = now_us
        self._check()

    def _lacking(self, demand: int) -> int:
        return max(demand - self.floor_rate, demand // MIN_DEMAND_DIVISOR)

    def _check(self) -> None:
        # Safety is checked where it runs: a home that cannot count must not go on giving.
        rate = burst = 0
        for row in self.rows.values():
            row_rate, row_burst = row.most()
            rate, burst = rate + row_rate, burst + row_burst
        assert rate == self.rate <= self.pool_rate, (rate, self.rate, self.pool_rate)
        assert burst == self.burst <= self.pool_burst, (burst, self.burst, self.pool_burst)
