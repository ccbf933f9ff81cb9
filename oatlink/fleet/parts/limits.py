"""Rate limits at one node: its requests to coordinators, and the coordinators that run at this node. No I/O.

A node whose tenants send nothing reads no register, takes no lease and sends no message. A coordinator without a
request for `IDLE_US` releases its lease. When its node stops, a coordinator grants nothing more and releases the lease
once all its grants must have ended, so that the next coordinator can begin at once with an empty ledger.
"""

from collections.abc import Mapping

from oatlink.fleet import messages as f
from oatlink.fleet.leases.holder import Holder
from oatlink.fleet.limits.allowance import Allowance
from oatlink.fleet.limits.coordinator import GRANT_TERM_US, LimitCoordinator
from oatlink.fleet.limits.requester import GrantRequester
from oatlink.fleet.limits.shards import SHARDS, rank, shard_of
from oatlink.settings.fleet import Fleet

LEASE_TERM_US = 2_000_000
IDLE_US = 10_000_000


class Shard:
    """One shard of the allowances as this node sees it: its lease, and its coordinator while the lease is held here."""

    def __init__(self, number: int, lease: Holder) -> None:
        self.number, self.lease = number, lease
        self.coordinator: LimitCoordinator | None = None
        self.asked_us = -f.NEVER_US  # time of the last request of any node, this one included


class Limits:
    """The part of a node that deals with rate limits."""

    def __init__(self, fleet: Fleet, allowances: Mapping[str, Allowance], incarnation: int, seed: int) -> None:
        self._name, self._drift = fleet.node, fleet.drift
        self._nodes = tuple(node.name for node in fleet.nodes)
        self._allowances = allowances
        self._shards = [
            Shard(
                number,
                Holder(
                    f"limits/{number}",
                    fleet.node,
                    incarnation,
                    LEASE_TERM_US,
                    fleet.drift,
                    seed,
                    rank(fleet.node, number, self._nodes),
                ),
            )
            for number in range(SHARDS)
        ]
        self._by_key = {shard.lease.key: shard for shard in self._shards}
        self._requester = GrantRequester(fleet.node, incarnation)
        self._demands: tuple[f.Demand, ...] = ()
        # After this time by this node's clock a grant has ended at any node.
        self._grant_ended_us = int(GRANT_TERM_US * (1 + fleet.drift) / (1 - fleet.drift)) + 2
        self._is_leaving = False

    @property
    def due_us(self) -> int:
        """When `tick` has something to do; without demand, it only completes what was begun."""
        if self._is_leaving:
            active = [shard for shard in self._shards if shard.coordinator is not None]
            return min([shard.asked_us + self._grant_ended_us for shard in active] or [f.NEVER_US])
        busy = [shard.lease.due_us for shard in self._shards if shard.lease.wanting or shard.lease.looking]
        return min([*busy, self._requester.due_us if self._demands else f.NEVER_US])

    def tick(self, demands: tuple[f.Demand, ...], now_us: int) -> list[f.Effect]:
        """Do what is due; `demands` are the present demands of the gate."""
        if self._is_leaving:
            return self._give_back(now_us)
        self._demands = demands
        effects: list[f.Effect] = []
        wanted = {shard_of(demand.name) for demand in demands}
        unanswered = self._requester.unanswered(now_us)
        for shard in self._shards:
            is_wanted = shard.number in wanted
            if is_wanted:
                shard.asked_us = now_us
            is_held = shard.lease.holds(now_us)
            in_use = now_us - shard.asked_us < IDLE_US
            lacks_coordinator = is_wanted and (not shard.lease.seen or shard.number in unanswered)
            shard.lease.wanting = in_use if is_held else lacks_coordinator
            shard.lease.looking = lacks_coordinator
            if is_held and not in_use:
                effects += shard.lease.release(now_us)
            effects += shard.lease.tick(now_us)
            self._update_coordinator(shard, now_us)
        return effects + self._requester.request(demands, self._coordinators(now_us), now_us)

    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect] | None:
        """Handle a register's answer; None if it is not for this part."""
        shard = self._by_key.get(answer.key)
        if shard is None:
            return None
        effects = shard.lease.answered(answer, now_us)
        self._update_coordinator(shard, now_us)
        # A requester that has left asks for nothing.
        return effects + self._requester.request(self._demands, self._coordinators(now_us), now_us)

    def take(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect] | None:
        """Handle a message; None if it is not for this part."""
        if isinstance(message, f.Grants | f.NotHome):
            return self._requester.receive(sender, message, now_us)
        if not isinstance(message, f.Want | f.Returned):
            return None
        if not 0 <= message.shard < SHARDS:
            return []
        shard = self._shards[message.shard]
        self._update_coordinator(shard, now_us)
        if isinstance(message, f.Returned):
            return shard.coordinator.returned(sender, message, now_us) if shard.coordinator is not None else []
        if shard.coordinator is None or self._is_leaving:
            seen = shard.lease.seen
            return [f.Tell(sender, f.NotHome(message.ask, message.shard, "" if seen == self._name else seen))]
        shard.asked_us = now_us
        return shard.coordinator.want(sender, message, shard.lease.until_us, now_us)

    def leave(self, now_us: int) -> list[f.Effect]:
        """Release grants now, and leases once their grants have ended (`tick`), so that nobody waits for a term."""
        self._is_leaving = True
        effects = self._requester.leave(now_us)
        for shard in self._shards:
            shard.lease.wanting = shard.lease.looking = False
        return effects + self._give_back(now_us)

    def _give_back(self, now_us: int) -> list[f.Effect]:
        effects: list[f.Effect] = []
        for shard in self._shards:
            self._update_coordinator(shard, now_us)
            if shard.coordinator is not None and now_us >= shard.asked_us + self._grant_ended_us:
                shard.coordinator = None
                effects += shard.lease.release(now_us)
            effects += shard.lease.tick(now_us)
        return effects

    @property
    def gone(self) -> bool:
        """Whether nothing is left to release."""
        return all(shard.coordinator is None for shard in self._shards)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """Return which node is believed to be the coordinator of each shard, for operators."""
        coordinators = self._coordinators(now_us)
        return [(shard.lease.key, coordinators.get(shard.number, "unknown")) for shard in self._shards]

    def _coordinators(self, now_us: int) -> dict[int, str]:
        coordinators = {}
        for shard in self._shards:
            if shard.lease.holds(now_us):
                coordinators[shard.number] = self._name
            elif shard.lease.seen not in ("", self._name):
                coordinators[shard.number] = shard.lease.seen
        return coordinators

    def _update_coordinator(self, shard: Shard, now_us: int) -> None:
        """Keep a coordinator exactly while the lease is held; each time it is acquired, the ledger begins empty."""
        if not shard.lease.holds(now_us):
            shard.coordinator = None
        elif shard.coordinator is None or shard.coordinator.fence != shard.lease.fence:
            shard.coordinator = LimitCoordinator(shard.number, self._allowances, self._nodes, self._drift)
            shard.coordinator.began(shard.lease.fence, now_us)
