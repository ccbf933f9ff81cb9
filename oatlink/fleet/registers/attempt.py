"""One read or change, from when it was asked for to its answer. No I/O and no time of its own.

What may live here: what the votes of a round mean. `proposer` sends the rounds and minds the time.

- **Look**: where a sound majority accepted the same ballot themselves, its record is agreed, and it is no older than
  any that was agreed before the round began, as that had a majority too. One round trip, nothing on disk. It answers a
  read, and a change that was outbid before it was offered to anyone and finds another fence.
- **Prepare, then accept.** A majority promises; the highest record accepted among them is the register. It is accepted
  again under the new ballot (a read, or a change that finds another fence), or the change of it is. What a majority
  accepted is agreed. Writing a record again before it is shown is what keeps a later read from not finding it.
- **Accept alone**, where this proposer's last accepted round on the key promised it the next ballot: that majority then
  reported, by accepting, the record that this one starts from.

**A change is told apart by its writer**, which no other change ever has. It may be offered in several rounds, always
with the same fence. Found at that fence after all, it has happened. Found with another's record at that fence, and that
one agreed again under a higher ballot, it has not and never will. Found further on, with its record offered before,
nobody can tell: unknown.
"""

from dataclasses import dataclass, field

from oatlink.fleet.messages import NEVER_US, Ballot, Record
from oatlink.fleet.registers.ballots import NOTHING
from oatlink.fleet.registers.quorum import Vote, sound

READ = -1  # in place of a fence
LOOKING, PREPARING, ACCEPTING, WAITING = range(4)


@dataclass(slots=True)
class Attempt:
    """A read (`fence` is `READ`) or change under way; times are microseconds of this node's clock."""

    ask: int
    key: str
    fence: int
    value: bytes
    writer: str
    asked_us: int
    ends_us: int
    step: int = WAITING
    ballot: Ballot = NOTHING
    next: Ballot = NOTHING
    record: Record = Record()  # offered in this round
    how: str = "unknown"  # what it will have been, once the record is accepted
    offered: bool = False  # whether any keeper was ever asked to take the change
    votes: dict[str, Vote] = field(default_factory=dict)
    outbid: dict[str, None] = field(default_factory=dict)
    tries: int = 0
    pause_us: int = 0
    due_us: int = NEVER_US

    def begin(self, step: int, ballot: Ballot) -> None:
        """A new round, with no votes yet."""
        self.step, self.ballot, self.next = step, ballot, NOTHING
        self.votes, self.outbid = {}, {}

    def settle(self, record: Record) -> None:
        """The register holds `record`: choose what to offer, and what it means if that is accepted."""
        self.record = record
        if self.fence == READ:
            self.how = "found"
        elif record.fence == self.fence:
            self.record, self.how, self.offered = Record(self.fence + 1, self.writer, self.value), "changed", True
        elif record.writer == self.writer:
            self.how = "changed"
        elif self.offered and record.fence != self.fence + 1:
            self.how = "unknown"
        else:
            self.how = "differs"

    def agreed(self, need: int) -> Record | None:
        """The record that a sound majority has accepted, of a round of `Look`."""
        counts: dict[Ballot, int] = {}
        for vote in sound(self.votes).values():
            if vote.real:
                counts[vote.accepted] = counts.get(vote.accepted, 0) + 1
                if counts[vote.accepted] >= need:
                    return vote.record
        return None

    def promised(self, need: int) -> Record | None:
        """The highest record accepted among a sound majority of promises."""
        votes = sound(self.votes)
        if len(votes) < need:
            return None
        return max(votes.values(), key=lambda vote: vote.accepted).record

    def accepted(self, need: int) -> bool:
        """Whether a sound majority has accepted the record offered."""
        return len(sound(self.votes)) >= need

    def granted(self, need: int) -> bool:
        """Whether that majority has also promised the next ballot."""
        votes = {keeper: vote for keeper, vote in self.votes.items() if vote.next == self.next}
        return self.accepted(need) and len([one for one in sound(self.votes) if one in votes]) >= need
