"""What a coordinator has granted of one allowance, and how much of it may still be in use. No I/O.

Invariant, asserted at each division: the sum over all nodes of the largest grant of each node that may still be live is
within the pool, for rates and for bursts. After a new grant, both it and the older grant count until the node itself
has confirmed the newer one or the older one has certainly expired: an answer may be lost or overtaken, and then the
node goes on with the older grant.

Only nodes that asked or were granted something within the term of a grant have an entry, so that a ledger is as large
as the part of the fleet that uses the allowance.
"""

from dataclasses import dataclass, field

from oatlink.fleet.limits.allowance import REQUEST_UNITS
from oatlink.fleet.limits.division import divide, divide_burst, nodes_in_turn, seat_count
from oatlink.fleet.messages import NEVER_US

MAX_LIVE_GRANTS = 8  # per node; beyond that the oldest two count as one with the larger figures of both
TURN_US = 4_000_000  # length of a turn where the burst is smaller than one request for each node that asks
MIN_DEMAND_DIVISOR = 16  # a demand counts with at least this fraction, however much of it the floor serves


@dataclass(slots=True)
class LiveGrant:
    """A grant that may be in use until `end_us` by the coordinator's clock."""

    serial: int
    rate: int
    burst: int
    end_us: int


@dataclass(slots=True)
class NodeShare:
    """One node at one allowance: its demand, the share that it is due, and the largest of its live grants."""

    heard_us: int
    demand: int = 0
    due_rate: int = 0
    due_burst: int = 0
    granted_rate: int = 0
    granted_burst: int = 0
    grants: list[LiveGrant] = field(default_factory=list)

    def max_granted(self) -> tuple[int, int]:
        """Return the largest rate and the largest burst among the live grants."""
        rate = burst = 0
        for grant in self.grants:
            if grant.rate > rate:
                rate = grant.rate
            if grant.burst > burst:
                burst = grant.burst
        return rate, burst


@dataclass(slots=True)
class AllowanceLedger:
    """One allowance: its pool and the shares of the nodes. Amounts are millionths of a request."""

    pool_rate: int
    pool_burst: int
    floor_rate: int
    shares: dict[str, NodeShare] = field(default_factory=dict)  # by node
    granted_rate: int = 0  # sum over all shares
    granted_burst: int = 0
    heard_us: int = 0  # time of the last request
    divided_us: int = -NEVER_US

    def add_node(self, node: str, now_us: int) -> NodeShare:
        """Add a new node. Until the next division it is due an equal part of the pool."""
        share = self.shares[node] = NodeShare(now_us)
        share.due_rate, share.due_burst = self.pool_rate // len(self.shares), self.pool_burst // len(self.shares)
        return share

    def confirm(self, share: NodeShare, serial: int, now_us: int) -> None:
        """Remove grants older than `serial`, which the node does not use any more, and those that have expired."""
        for grant in share.grants:
            if grant.serial < serial or grant.end_us <= now_us:
                share.grants = [one for one in share.grants if one.serial >= serial and one.end_us > now_us]
                self._count(share)
                return

    def grant(self, share: NodeShare, serial: int, end_us: int) -> tuple[int, int]:
        """Grant as much of the share that is due as the pool allows: (rate, burst).

        Both are 0 if the grant would not admit a single request.
        """
        rate = min(share.due_rate, self.pool_rate - self.granted_rate + share.granted_rate)
        burst = min(share.due_burst, self.pool_burst - self.granted_burst + share.granted_burst)
        if rate <= 0 or burst < REQUEST_UNITS:
            rate = burst = 0
        share.grants.append(LiveGrant(serial, rate, burst, end_us))
        if len(share.grants) > MAX_LIVE_GRANTS:
            old, newer = share.grants[0], share.grants[1]
            share.grants[:2] = [
                LiveGrant(
                    newer.serial,
                    max(old.rate, newer.rate),
                    max(old.burst, newer.burst),
                    max(old.end_us, newer.end_us),
                )
            ]
        self._count(share)
        return rate, burst

    def _count(self, share: NodeShare) -> None:
        """Update the sums after a change of this share's grants."""
        rate, burst = share.max_granted()
        self.granted_rate += rate - share.granted_rate
        self.granted_burst += burst - share.granted_burst
        share.granted_rate, share.granted_burst = rate, burst

    def divide(self, now_us: int, quiet_us: int) -> None:
        """Set the share that each node is due by max-min fairness.

        Nodes without a live grant that have not asked for `quiet_us` are removed. The part of a demand that the floor
        serves is not taken from the pool: the floors are equal, so the result is max-min fair for the whole allowance.
        """
        for node, share in list(self.shares.items()):
            self.confirm(share, 0, now_us)
            if not share.grants and now_us - share.heard_us >= quiet_us:
                del self.shares[node]
        asking = sorted(node for node, share in self.shares.items() if now_us - share.heard_us < quiet_us)
        asking = nodes_in_turn(asking, seat_count(self.pool_burst), now_us // TURN_US)
        rates = divide(self.pool_rate, [(node, self._pool_demand(self.shares[node].demand)) for node in asking])
        bursts = divide_burst(self.pool_burst, rates)
        for node, share in self.shares.items():
            share.due_rate, share.due_burst = rates.get(node, 0), bursts.get(node, 0)
        self.divided_us = now_us
        self._check()

    def _pool_demand(self, demand: int) -> int:
        return max(demand - self.floor_rate, demand // MIN_DEMAND_DIVISOR)

    def _check(self) -> None:
        # Asserted in production too: a coordinator whose sums are wrong must not go on granting.
        rate = burst = 0
        for share in self.shares.values():
            share_rate, share_burst = share.max_granted()
            rate, burst = rate + share_rate, burst + share_burst
        assert rate == self.granted_rate <= self.pool_rate, (rate, self.granted_rate, self.pool_rate)
        assert burst == self.granted_burst <= self.pool_burst, (burst, self.granted_burst, self.pool_burst)
