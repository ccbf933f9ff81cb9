"""How one keeper votes. No I/O.

The two rules of Paxos hold for each key: never promise or accept a ballot below the one promised, and report what was
accepted with each promise. Messages that are out of bounds are dropped.

**On disk before it is sent.** A vote is the `then` of the `Keep` that stores it. The state in memory is ahead of the
disk: a later request may be answered from a state that is not stored yet. The caller carries out one `Keep` after the
other, and sends nothing of a later one before the earlier ones are on disk. So every vote here, also one that changes
nothing, is the `then` of a `Keep` (an empty one, if need be), and never reveals a state that a crash can undo. Only
`Outbid` is sent at once: it is no vote, and a proposer learns only the ballot to exceed from it.

A keeper that has not begun (`recovery`) answers nothing. Memory is bounded by `MAX_REGISTERS` registers of
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
from oatlink.fleet.registers.ballots import NO_BALLOT, is_valid_ballot, is_valid_key, is_valid_record

MAX_REGISTERS = 4_096


class Voting:
    """The registers of one keeper and its votes. `standing` is set only by `recovery`."""

    def __init__(self, kept: Iterable[Kept], standing: Standing, max_registers: int = MAX_REGISTERS) -> None:
        self.registers = {register.key: register for register in kept}
        self.standing = standing
        self._max_registers = max_registers
        self._logged: dict[str, None] = {}

    @property
    def met(self) -> tuple[tuple[str, int], ...]:
        """The newest life of each keeper met, as votes carry it."""
        return tuple((met.keeper, met.life) for met in self.standing.met)

    def receive(self, sender: str, message: Message) -> list[Effect]:
        """Answer a `Prepare`, `Accept` or `Look`; other messages, and those out of bounds, have no answer."""
        if not self.standing.begun or not isinstance(message, Prepare | Accept | Look):
            return []
        if not is_valid_key(message.key) or not is_valid_ballot(message.ballot):
            return self._drop("key or ballot")
        if isinstance(message, Look):
            return self._look(sender, message)
        if message.key not in self.registers and len(self.registers) >= self._max_registers:
            return self._drop("register")
        if isinstance(message, Prepare):
            return self._prepare(sender, message)
        if not is_valid_record(message.record) or (message.next != NO_BALLOT and not is_valid_ballot(message.next)):
            return self._drop("record")
        return self._accept(sender, message)

    def _prepare(self, sender: str, asked: Prepare) -> list[Effect]:
        register = self._register(asked.key)
        if asked.ballot < register.promised:
            return [Tell(sender, Outbid(asked.key, asked.ballot, register.promised))]
        vote = Promise(asked.key, asked.ballot, register.accepted, register.record, self.standing.life, self.met)
        updated = Kept(register.key, asked.ballot, register.accepted, register.record, register.copied)
        return self._keep(register, updated, sender, vote)

    def _accept(self, sender: str, asked: Accept) -> list[Effect]:
        register = self._register(asked.key)
        promised = max(asked.ballot, asked.next)
        # A repeated request: this vote was sent already, and the promise above it was made to the same proposer.
        is_repeated = asked.ballot == register.accepted and promised == register.promised and not register.copied
        if asked.ballot < register.promised and not is_repeated:
            return [Tell(sender, Outbid(asked.key, asked.ballot, register.promised))]
        vote = Accepted(asked.key, asked.ballot, self.standing.life, self.met, asked.next)
        return self._keep(register, Kept(register.key, promised, asked.ballot, asked.record), sender, vote)

    def _look(self, sender: str, asked: Look) -> list[Effect]:
        register = self._register(asked.key)
        looked = Looked(
            asked.key,
            asked.ballot,
            register.accepted,
            register.record,
            self.standing.life,
            self.met,
            register.copied,
        )
        return [Keep((), (Tell(sender, looked),))]

    def _register(self, key: str) -> Kept:
        return self.registers.get(key) or Kept(key, NO_BALLOT, NO_BALLOT, Record())

    def _keep(self, before: Kept, after: Kept, sender: str, vote: Message) -> list[Effect]:
        then = (Tell(sender, vote),)
        if after == before:
            return [Keep((), then)]
        self.registers[after.key] = after
        return [Keep((after,), then)]

    def _drop(self, kind: str) -> list[Effect]:
        # Prevents a log line for each message of a faulty node: only the first of a kind is logged.
        if kind in self._logged:
            return []
        self._logged[kind] = None
        return [Note("register_dropped", f"{kind} out of bounds; further ones are not logged")]


def merge(own: Kept | None, other: Kept) -> Kept:
    """Return the highest promise and the highest accepted record of two keepers' registers."""
    if own is None:
        own = Kept(other.key, NO_BALLOT, NO_BALLOT, Record())
    newest = other if other.accepted > own.accepted else own
    promised = max(own.promised, other.promised, newest.accepted)
    # Under a higher promise, which may be one of an earlier life, the record is not one that this keeper voted for.
    copied = newest.accepted > NO_BALLOT and promised > newest.accepted
    return Kept(other.key, promised, newest.accepted, newest.record, copied)
