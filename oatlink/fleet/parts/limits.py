"""Limits at one node: what it asks of homes, and the homes that are here. No I/O.

A node that was asked for nothing reads no register, wants no lease and sends nothing. A home that nobody has asked for
`HOME_IDLE_US` gives its lease back. One whose node stops gives nothing more, and gives the lease back once all that it
has given must have ended: the next home begins with an empty ledger, at once.
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
HOME_IDLE_US = 10_000_000


class Shard:
    """One shard of the allowances as this node sees it: its lease, and its home while the lease is here."""

    def __init__(self, number: int, lease: Holder) -> None:
        self.number, self.lease = number, lease
        self.home: LimitCoordinator | None = None
        self.asked_us = -f.NEVER_US  # when anybody last wanted something of it, this node included


class Limits:
    """See above."""

    def __init__(self, fleet: Fleet, allowances: Mapping[str, Allowance], incarnation: int, seed: int) -> None:
        self._name, self._drift = fleet.node, fleet.drift
        self._nodes = tuple(one.name for one in fleet.nodes)
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
        self._by_key = {one.lease.key: one for one in self._shards}
        self._asker = GrantRequester(fleet.node, incarnation)
        self._demands: tuple[f.Demand, ...] = ()
        self._given_us = int(GRANT_TERM_US * (1 + fleet.drift) / (1 - fleet.drift)) + 2  # what is given has ended
        self._leaving = False

    @property
    def due_us(self) -> int:
        """When `tick` has something to do; without a demand only what was begun is seen to its end."""
        if self._leaving:
            return min([one.asked_us + self._given_us for one in self._shards if one.home is not None] or [f.NEVER_US])
        busy = [one.lease.due_us for one in self._shards if one.lease.wanting or one.lease.looking]
        return min([*busy, self._asker.due_us if self._demands else f.NEVER_US])

    def tick(self, demands: tuple[f.Demand, ...], now_us: int) -> list[f.Effect]:
        """Time has passed; `demands` is what the gate has been asked for."""
        if self._leaving:
            return self._give_back(now_us)
        self._demands = demands
        effects: list[f.Effect] = []
        wanted = {shard_of(one.name) for one in demands}
        lost = self._asker.unanswered(now_us)
        for shard in self._shards:
            here = shard.number in wanted
            if here:
                shard.asked_us = now_us
            held = shard.lease.holds(now_us)
            in_use = now_us - shard.asked_us < HOME_IDLE_US
            astray = here and (not shard.lease.seen or shard.number in lost)
            shard.lease.wanting = in_use if held else astray
            shard.lease.looking = astray
            if held and not in_use:
                effects += shard.lease.release(now_us)
            effects += shard.lease.tick(now_us)
            self._settle(shard, now_us)
        return effects + self._asker.look(demands, self._homes(now_us), now_us)

    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect] | None:
        """A register's answer; None where it is not for this part."""
        shard = self._by_key.get(answer.key)
        if shard is None:
            return None
        effects = shard.lease.answered(answer, now_us)
        self._settle(shard, now_us)
        return effects + self._asker.look(self._demands, self._homes(now_us), now_us)  # nothing once it leaves

    def take(self, sender: str, message: f.Message, now_us: int) -> list[f.Effect] | None:
        """A message; None where it is not for this part."""
        if isinstance(message, f.Grants | f.NotHome):
            return self._asker.receive(sender, message, now_us)
        if not isinstance(message, f.Want | f.Returned):
            return None
        if not 0 <= message.shard < SHARDS:
            return []
        shard = self._shards[message.shard]
        self._settle(shard, now_us)
        if isinstance(message, f.Returned):
            return shard.home.returned(sender, message, now_us) if shard.home is not None else []
        if shard.home is None or self._leaving:
            seen = shard.lease.seen
            return [f.Tell(sender, f.NotHome(message.ask, message.shard, "" if seen == self._name else seen))]
        shard.asked_us = now_us
        return shard.home.want(sender, message, shard.lease.until_us, now_us)

    def leave(self, now_us: int) -> list[f.Effect]:
        """Give back grants now, and leases as soon as they are free (`tick`), so that nobody waits a term for them."""
        self._leaving = True
        effects = self._asker.leaving(now_us)
        for shard in self._shards:
            shard.lease.wanting = shard.lease.looking = False
        return effects + self._give_back(now_us)

    def _give_back(self, now_us: int) -> list[f.Effect]:
        effects: list[f.Effect] = []
        for shard in self._shards:
            self._settle(shard, now_us)
            if shard.home is not None and now_us >= shard.asked_us + self._given_us:
                shard.home = None
                effects += shard.lease.release(now_us)
            effects += shard.lease.tick(now_us)
        return effects

    @property
    def gone(self) -> bool:
        """Whether nothing is left to give back."""
        return all(one.home is None for one in self._shards)

    def rows(self, now_us: int) -> list[tuple[str, str]]:
        """For operators: who is taken for the home of each shard."""
        homes = self._homes(now_us)
        return [(one.lease.key, homes.get(one.number, "unknown")) for one in self._shards]

    def _homes(self, now_us: int) -> dict[int, str]:
        homes = {}
        for one in self._shards:
            if one.lease.holds(now_us):
                homes[one.number] = self._name
            elif one.lease.seen not in ("", self._name):
                homes[one.number] = one.lease.seen
        return homes

    def _settle(self, shard: Shard, now_us: int) -> None:
        """A home is there exactly while the lease is; a new holding begins with an empty ledger."""
        if not shard.lease.holds(now_us):
            shard.home = None
        elif shard.home is None or shard.home.fence != shard.lease.fence:
            shard.home = LimitCoordinator(shard.number, self._allowances, self._nodes, self._drift)
            shard.home.began(shard.lease.fence, now_us)
