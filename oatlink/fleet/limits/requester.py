"""When a node asks a coordinator for grants, and which answers it accepts. No I/O.

A node counts the term of a grant from before it asked. So it remembers the time of each request, and ignores an answer
to a request that it does not know. Request numbers begin at a random number: a process that started again must not
accept the answer to a request of its predecessor as one to its own, because it would count the term from a moment too
late.

A grant with a lower serial than the highest one seen for its name is ignored, in whatever order answers arrive: since
this node named the higher serial, the coordinator relies on it. The highest serial is forgotten only when no answer to
an earlier request can be accepted any more.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from oatlink.fleet.gate import Granted
from oatlink.fleet.limits.coordinator import GRANT_TERM_US
from oatlink.fleet.limits.shards import SHARDS, shard_of
from oatlink.fleet.messages import Demand, Effect, Grants, NotHome, Returned, Tell, Tuned, Want

ASK_US = 250_000  # interval while something is in use: four times per term, so that three requests in a row may be lost
MIN_ASK_US = 20_000  # minimum time between two requests, also when another allowance comes into use
REDUCED_BELOW = 0.9  # a grant below this fraction of the one before is confirmed to the coordinator at once
SILENCE_US = 400_000  # without any answer for this time, the shard's lease is read again
MAX_DEMANDS = 256  # per message


@dataclass(slots=True)
class PendingRequest:
    """A request that was sent: to which coordinator, and when by this node's clock."""

    shard: int
    coordinator: str
    asked_us: int


@dataclass(slots=True)
class NewestGrant:
    """The grant with the highest serial of a name, and when it arrived."""

    shard: int
    coordinator: str
    serial: int
    rate: float
    burst: float
    until_us: int
    heard_us: int


@dataclass(slots=True)
class ShardRequests:
    """The state of the requests to the coordinator of one shard."""

    coordinator: str = ""
    asked_us: int = -ASK_US
    unanswered_since_us: int = -1  # -1 if no request is unanswered
    is_rejected: bool = False  # the node answered that it is not the coordinator
    is_reduced: bool = False  # a grant got smaller: the difference is available once the coordinator knows of it
    fence: int = 0
    names: frozenset[str] = frozenset()


class GrantRequester:
    """One node's requests to the coordinators of all shards."""

    def __init__(self, node: str, seed: int) -> None:
        """`seed` must differ each time that the node starts, so it has to include the incarnation."""
        draws = Random(f"{node}/{seed}")
        self._ask = draws.getrandbits(60)
        self._spread_us = draws.randrange(ASK_US // 8)
        self._shards = [ShardRequests() for _ in range(SHARDS)]
        self._pending: dict[int, PendingRequest] = {}  # by request number, oldest first
        self._newest: dict[str, NewestGrant] = {}
        self._requested_us = -ASK_US
        self._has_left = False

    @property
    def due_us(self) -> int:
        """When to call `request` next; it is due at once when the gate answers `GRANT_PENDING`."""
        if any(shard.is_reduced for shard in self._shards):
            return self._requested_us + MIN_ASK_US
        asked = (shard.asked_us for shard in self._shards if shard.coordinator and shard.names)
        next_us = min(asked, default=self._requested_us)
        return max(self._requested_us + MIN_ASK_US, min(self._requested_us, next_us) + ASK_US - self._spread_us)

    def request(self, demands: Sequence[Demand], coordinators: Mapping[int, str], now_us: int) -> list[Effect]:
        """Request grants for the allowances in use, where it is time. `coordinators`: by shard, from the leases."""
        if self._has_left:
            return []
        self._requested_us = now_us
        self._forget(now_us)
        demands_by_shard: dict[int, list[Demand]] = {}
        for demand in demands:
            demands_by_shard.setdefault(shard_of(demand.name), []).append(demand)
        effects: list[Effect] = []
        for number, shard in enumerate(self._shards):
            wanted = demands_by_shard.get(number)
            if wanted is None:
                shard.unanswered_since_us = -1
                shard.is_rejected, shard.is_reduced, shard.names = False, False, frozenset()
                continue
            coordinator = coordinators.get(number, "")
            if self._is_time(shard, coordinator, wanted, now_us):
                if shard.unanswered_since_us < 0:
                    shard.unanswered_since_us = now_us
                if coordinator != shard.coordinator:
                    shard.coordinator, shard.is_rejected = coordinator, False
                if coordinator:
                    effects += self._send(number, shard, wanted, now_us)
        return effects

    def _is_time(self, shard: ShardRequests, coordinator: str, demands: list[Demand], now_us: int) -> bool:
        passed_us = now_us - shard.asked_us
        if passed_us >= ASK_US - self._spread_us:
            return True
        if passed_us < MIN_ASK_US:
            return False
        is_new = coordinator != shard.coordinator or any(demand.name not in shard.names for demand in demands)
        return shard.is_reduced or is_new

    def _send(self, number: int, shard: ShardRequests, demands: list[Demand], now_us: int) -> list[Effect]:
        shard.asked_us, shard.is_reduced = now_us, False
        shard.names = frozenset(demand.name for demand in demands)
        effects: list[Effect] = []
        for start in range(0, len(demands), MAX_DEMANDS):
            self._ask += 1
            self._pending[self._ask] = PendingRequest(number, shard.coordinator, now_us)
            want = Want(self._ask, number, tuple(demands[start : start + MAX_DEMANDS]))
            effects.append(Tell(shard.coordinator, want))
        return effects

    def receive(self, sender: str, message: Grants | NotHome, now_us: int) -> list[Effect]:
        """Handle an answer, and return the news for the gate. Late, unknown and overtaken answers are ignored."""
        request = self._pending.get(message.ask)
        if request is None or request.coordinator != sender or request.shard != message.shard or self._has_left:
            return []
        shard = self._shards[request.shard]
        if isinstance(message, NotHome):
            shard.is_rejected = shard.is_rejected or shard.coordinator == sender
            return []
        if message.fence < shard.fence:
            return []
        shard.fence = message.fence
        if shard.coordinator == sender:
            shard.unanswered_since_us, shard.is_rejected = -1, False
        effects: list[Effect] = []
        for grant in message.grants:
            newest = self._newest.get(grant.name)
            until_us = request.asked_us + min(grant.term_us, GRANT_TERM_US)
            is_overtaken = newest is not None and newest.serial >= grant.serial
            if until_us <= now_us or shard_of(grant.name) != message.shard or is_overtaken:
                continue
            if newest is not None and grant.rate < REDUCED_BELOW * newest.rate:
                shard.is_reduced = True
            self._newest[grant.name] = NewestGrant(
                message.shard, sender, grant.serial, grant.rate, grant.burst, until_us, now_us
            )
            effects.append(Tuned(Granted(grant.name, grant.serial, grant.rate, grant.burst, until_us)))
        return effects

    def unanswered(self, now_us: int) -> tuple[int, ...]:
        """Return the shards whose lease must be read: the coordinator is unknown, silent, or denies being one."""
        return tuple(
            number
            for number, shard in enumerate(self._shards)
            if shard.unanswered_since_us >= 0
            and (shard.is_rejected or not shard.coordinator or now_us - shard.unanswered_since_us >= SILENCE_US)
        )

    def leave(self, now_us: int) -> list[Effect]:
        """Return the live grants and stop asking: first the gate's grants end, then the coordinators are notified.

        The effects must be carried out in this order. From then on the gate admits only from its floors.
        """
        self._has_left = True
        ends: list[Effect] = []
        returned: dict[tuple[int, str], list[tuple[str, int]]] = {}
        for name, newest in self._newest.items():
            if newest.until_us > now_us:
                ends.append(Tuned(Granted(name, newest.serial, 0.0, 0.0, newest.until_us)))
                returned.setdefault((newest.shard, newest.coordinator), []).append((name, newest.serial))
        self._newest.clear()
        return ends + [
            Tell(coordinator, Returned(shard, tuple(grants))) for (shard, coordinator), grants in returned.items()
        ]

    def _forget(self, now_us: int) -> None:
        while self._pending:
            oldest = next(iter(self._pending))
            if now_us - self._pending[oldest].asked_us < GRANT_TERM_US:
                break
            del self._pending[oldest]
        # An answer with a lower serial than the newest one is to a request sent before the newest one arrived.
        for name in [name for name, newest in self._newest.items() if now_us - newest.heard_us > GRANT_TERM_US]:
            del self._newest[name]
