"""How one keeper votes. No I/O.

What may live here: what a keeper promises, accepts and shows, and that it fits. The two rules of Paxos, for each key:
never promise or accept a ballot below the one promised, and say what was accepted with each promise.

**On disk before it is shown.** A vote is the `then` of the `Keep` that holds it. Memory runs ahead of the disk: a later
request meets a state that may not be kept yet. The shell keeps one `Keep` after the other, and sends nothing of a later
one before the earlier ones are on disk; so every vote here, also one that changes nothing, is the `then` of a `Keep`
(an empty one, if need be), and never shows what a crash can take back. `Outbid` alone goes at once: it is no vote, a
proposer only learns from it what to outbid.

A keeper that has not begun (`recovery`) says nothing. Memory is bounded by `MAX_REGISTERS` registers of
`MAX_VALUE_BYTES` bytes.
"""

from collections.abc import Iterable

from oatlink.fleet.messages import (
    Accept,
    Accepted,
    Effect,
    Keep,
    Kept,
    Look,
    Looked,
    Message,
    Note,
    Outbid,
    Prepare,
    Promise,
    Record,
    Standing,
    Tell,
)
from oatlink.fleet.registers.ballots import NOTHING, fits, names, usable

MAX_REGISTERS = 4_096


class Voting:
    """The registers of one keeper and its votes. `standing` is set by `recovery` alone."""

    def __init__(self, kept: Iterable[Kept], standing: Standing, max_registers: int = MAX_REGISTERS) -> None:
        self.registers = {one.key: one for one in kept}
        self.standing = standing
        self._most_keys = max_registers
        self._noted: dict[str, None] = {}

    @property
    def met(self) -> tuple[tuple[str, int], ...]:
        """The newest life of each keeper met, as votes bear it."""
        return tuple((one.keeper, one.life) for one in self.standing.met)

    def receive(self, sender: str, message: Message) -> list[Effect]:
        """Answer a `Prepare`, `Accept` or `Look`; anything else, and what does not fit, has no answer."""
        if not self.standing.begun or not isinstance(message, Prepare | Accept | Look):
            return []
        if not names(message.key) or not usable(message.ballot):
            return self._drop("key or ballot")
        if isinstance(message, Look):
            return self._look(sender, message)
        if message.key not in self.registers and len(self.registers) >= self._most_keys:
            return self._drop("register")
        if isinstance(message, Prepare):
            return self._prepare(sender, message)
        if not fits(message.record) or (message.next != NOTHING and not usable(message.next)):
            return self._drop("record")
        return self._accept(sender, message)

    def _prepare(self, sender: str, asked: Prepare) -> list[Effect]:
        held = self._held(asked.key)
        if asked.ballot < held.promised:
            return [Tell(sender, Outbid(asked.key, asked.ballot, held.promised))]
        vote = Promise(asked.key, asked.ballot, held.accepted, held.record, self.standing.life, self.met)
        return self._keep(held, Kept(held.key, asked.ballot, held.accepted, held.record, held.copied), sender, vote)

    def _accept(self, sender: str, asked: Accept) -> list[Effect]:
        held = self._held(asked.key)
        promised = max(asked.ballot, asked.next)
        # The same once more: this vote was given already, and the promise above it is the same proposer's.
        again = asked.ballot == held.accepted and promised == held.promised and not held.copied
        if asked.ballot < held.promised and not again:
            return [Tell(sender, Outbid(asked.key, asked.ballot, held.promised))]
        vote = Accepted(asked.key, asked.ballot, self.standing.life, self.met, asked.next)
        return self._keep(held, Kept(held.key, promised, asked.ballot, asked.record), sender, vote)

    def _look(self, sender: str, asked: Look) -> list[Effect]:
        held = self._held(asked.key)
        seen = Looked(asked.key, asked.ballot, held.accepted, held.record, self.standing.life, self.met, held.copied)
        return [Keep((), (Tell(sender, seen),))]

    def _held(self, key: str) -> Kept:
        return self.registers.get(key) or Kept(key, NOTHING, NOTHING, Record())

    def _keep(self, held: Kept, now: Kept, sender: str, vote: Message) -> list[Effect]:
        then = (Tell(sender, vote),)
        if now == held:
            return [Keep((), then)]
        self.registers[now.key] = now
        return [Keep((now,), then)]

    def _drop(self, kind: str) -> list[Effect]:
        # Threat: a line for each message of a node gone wrong. The first of a kind tells it.
        if kind in self._noted:
            return []
        self._noted[kind] = None
        return [Note("register_dropped", f"{kind} out of bounds; others of this kind are not told")]


def joined(one: Kept | None, other: Kept) -> Kept:
    """The highest promise and the highest accepted record of two keepers' registers."""
    if one is None:
        one = Kept(other.key, NOTHING, NOTHING, Record())
    best = other if other.accepted > one.accepted else one
    promised = max(one.promised, other.promised, best.accepted)
    # Under a higher promise, which may be one that a life before gave, this is nothing that this keeper voted for.
    copied = best.accepted > NOTHING and promised > best.accepted
    return Kept(other.key, promised, best.accepted, best.record, copied)
