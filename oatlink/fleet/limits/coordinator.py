"""The coordinator of one shard's allowances, at the node that holds the shard's lease: grants by node. No I/O.

Why the total is never exceeded: a grant counts in the ledger from when it is made until term x (1 + drift) /
(1 - drift) later by this clock. The node counts its term from before it asked, by its own clock. The first period is
longer whatever the two clocks do within `drift`, so that what a node may still use is always counted. The term is
shortened so that this end lies before the end of the lease, and no other node holds the lease before that: a new
coordinator begins with an empty ledger, as no grant of another coordinator is live. `began` must therefore be called
only after the lease was acquired as if from another node: a restarted process waits until its own old lease has ended,
like that of any other node.

How fast a change of demand takes effect: the free part of the pool is granted at once, up to the share that the node is
due. Where everything is granted, the other nodes are cut when they next ask (`ASK_US` of the requester), what they give
up is available when they ask once more, and the new node gets it when it next asks: three times `ASK_US` and the
latency of the messages. A node that sends nothing any more keeps its grant until its term ends: one term and one
`ASK_US`. If messages are lost on top of that: two terms.
"""

from collections.abc import Iterable, Mapping

from oatlink.fleet.limits.allowance import REQUEST_UNITS, Allowance, floor_of, pool_of
from oatlink.fleet.limits.ledger import AllowanceLedger
from oatlink.fleet.limits.shards import shard_of
from oatlink.fleet.messages import Demand, Effect, Grant, Grants, NotHome, Returned, Tell, Want

GRANT_TERM_US = 1_000_000
MIN_TERM_US = 20_000  # a shorter grant would mostly have expired when it arrives
DIVIDE_US = 50_000  # minimum time between two divisions of an allowance
DIVIDE_PER_NODE_US = 1_250  # at least this per node in its ledger: a request costs the same in a fleet of any size
MAX_DIVIDE_US = 250_000  # the minimum time between two divisions does not grow beyond this
SWEEP_US = 2_000_000  # interval of the removal of unused ledgers
MAX_DEMAND_FACTOR = 2.0  # a node's demand counts up to this many times the rate of the allowance


class LimitCoordinator:
    """Grants the allowances of one shard. Times are this node's clock."""

    def __init__(
        self, shard: int, allowances: Mapping[str, Allowance], nodes: Iterable[str], drift: float = 0.001
    ) -> None:
        """`allowances` by name are only looked up; `nodes` are all nodes of the settings; `drift` is below 1."""
        self.shard = shard
        self.fence = 0
        self._allowances = allowances
        self._nodes = dict.fromkeys(nodes)
        self._stretch = (1 + drift) / (1 - drift)
        self._ledgers: dict[str, AllowanceLedger] = {}
        self._serial = 0
        self._swept_us = 0

    def began(self, fence: int, now_us: int) -> None:
        """Begin after this node acquired the lease as if from another: no grant of another coordinator is live."""
        self._ledgers.clear()
        self.fence = fence
        self._serial = fence << 32  # serials of a later coordinator are higher, on whichever node it runs
        self._swept_us = now_us

    def want(self, sender: str, message: Want, lease_until_us: int, now_us: int) -> list[Effect]:
        """Answer a node's request. Unknown senders, and names outside the settings or this shard, get no grant."""
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
            ledger = self._ledgers.get(demand.name) or self._open(demand.name)
            if ledger is not None:
                grants.append(self._grant(ledger, sender, demand, term_us, end_us, now_us))
        return [Tell(sender, Grants(message.ask, self.shard, self.fence, tuple(grants)))]

    def returned(self, sender: str, message: Returned, now_us: int) -> list[Effect]:
        """Release grants that a node no longer uses, and all that it had before them."""
        if message.shard == self.shard:
            for name, serial in message.grants:
                ledger = self._ledgers.get(name)
                share = ledger.shares.get(sender) if ledger is not None else None
                if ledger is not None and share is not None and serial <= self._serial:
                    ledger.confirm(share, serial + 1, now_us)
        return []

    def _grant(
        self, ledger: AllowanceLedger, sender: str, demand: Demand, term_us: int, end_us: int, now_us: int
    ) -> Grant:
        share = ledger.shares.get(sender)
        if share is None:
            share = ledger.add_node(sender, now_us)
        share.heard_us = ledger.heard_us = now_us
        max_demand = MAX_DEMAND_FACTOR * (ledger.pool_rate + len(self._nodes) * ledger.floor_rate)
        asked = demand.rate * REQUEST_UNITS
        # Neither comparison holds for NaN, which counts as 0.
        share.demand = int(asked) if 0 <= asked < max_demand else (int(max_demand) if asked >= max_demand else 0)
        # A serial that this coordinator has not given out comes from another one, and confirms no grant of this one.
        ledger.confirm(share, demand.serial if demand.serial <= self._serial else 0, now_us)
        if now_us - ledger.divided_us >= min(MAX_DIVIDE_US, max(DIVIDE_US, DIVIDE_PER_NODE_US * len(ledger.shares))):
            ledger.divide(now_us, GRANT_TERM_US)
        self._serial += 1
        rate, burst = ledger.grant(share, self._serial, end_us)
        return Grant(demand.name, self._serial, rate / REQUEST_UNITS, burst / REQUEST_UNITS, term_us)

    def _open(self, name: str) -> AllowanceLedger | None:
        allowance = self._allowances.get(name)
        # Prevents two coordinators from granting the same allowance when a node computes its shard wrongly.
        if allowance is None or shard_of(name) != self.shard:
            return None
        pool_rate, pool_burst = pool_of(allowance, len(self._nodes))
        floor_rate, _ = floor_of(allowance, len(self._nodes))
        ledger = self._ledgers[name] = AllowanceLedger(pool_rate, pool_burst, floor_rate)
        return ledger

    def _term_us(self, lease_until_us: int, now_us: int) -> int:
        return min(GRANT_TERM_US, int((lease_until_us - now_us - 2) / self._stretch))

    def _counted_us(self, term_us: int) -> int:
        return int(term_us * self._stretch) + 1

    def _sweep(self, now_us: int) -> None:
        self._swept_us = now_us
        longest_us = self._counted_us(GRANT_TERM_US)
        # Grants are made only in answer to requests, so a ledger without a request in this time has no live grant.
        for name in [name for name, ledger in self._ledgers.items() if now_us - ledger.heard_us > longest_us]:
            del self._ledgers[name]
