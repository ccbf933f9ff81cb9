"""One read or change, from its request to its answer. No I/O and no clock.

This module interprets the votes of a round. `proposer` sends the rounds and handles the timeouts. Votes count only if
they are valid together (`quorum`).

- **Look**: if a majority has itself accepted the same ballot, the record of this ballot is agreed. It is no older than
  any record that was agreed before the round began, as that one had a majority too. A look takes one round trip and no
  disk write. It answers a read, and also a change that was outbid before it was offered to any keeper and finds
  another fence.
- **Prepare, then accept**: a majority promises; the highest record accepted among them is the content of the register.
  It is accepted again under the new ballot (for a read, or a change that finds another fence), or the change of it is
  accepted. What a majority accepted is agreed. Writing a record again before it is returned ensures that every later
  read finds it.
- **Accept alone**, if this proposer's last accepted round on the key was promised the next ballot: by accepting, that
  majority reported the record that this round starts from.

**A change is identified by its writer**, which is unique to it. It may be offered in several rounds, always with the
same fence. If it is found at that fence after all, it has happened. If another record is found at that fence and agreed
again under a higher ballot, the change has not happened and never will. If the fence is further on and the change was
offered before, the result cannot be determined: it is unknown.
"""

from dataclasses import dataclass, field

from oatlink.fleet.messages import NEVER_US, Ballot, Record
from oatlink.fleet.registers.ballots import NO_BALLOT
from oatlink.fleet.registers.quorum import Vote, valid_votes

READ = -1  # in place of a fence
LOOKING, PREPARING, ACCEPTING, WAITING = range(4)


@dataclass(slots=True)
class Attempt:
    """A read (`fence` is `READ`) or a change in progress; times are microseconds of this node's clock."""

    ask: int
    key: str
    fence: int
    value: bytes
    writer: str
    asked_us: int
    ends_us: int
    step: int = WAITING
    ballot: Ballot = NO_BALLOT
    next: Ballot = NO_BALLOT  # requested together with the acceptance of this round
    record: Record = Record()  # offered in this round
    how: str = "unknown"  # `Answer.how` if the record offered is accepted
    offered: bool = False  # whether any keeper was ever asked to accept the change
    votes: dict[str, Vote] = field(default_factory=dict)
    outbid: dict[str, None] = field(default_factory=dict)  # keepers that have promised a higher ballot
    tries: int = 0
    pause_us: int = 0
    due_us: int = NEVER_US

    def begin(self, step: int, ballot: Ballot) -> None:
        """Start a round without votes."""
        self.step, self.ballot, self.next = step, ballot, NO_BALLOT
        self.votes, self.outbid = {}, {}

    def settle(self, record: Record) -> None:
        """Choose what to offer, given that the register contains `record`, and what the result is if it is accepted."""
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
        """Return the record that a majority has itself accepted, in a round of `Look`."""
        counts: dict[Ballot, int] = {}
        for vote in valid_votes(self.votes).values():
            if vote.is_own:
                counts[vote.accepted] = counts.get(vote.accepted, 0) + 1
                if counts[vote.accepted] >= need:
                    return vote.record
        return None

    def promised(self, need: int) -> Record | None:
        """Return the highest record accepted among a majority of promises."""
        votes = valid_votes(self.votes)
        if len(votes) < need:
            return None
        return max(votes.values(), key=lambda vote: vote.accepted).record

    def accepted(self, need: int) -> bool:
        """Whether a majority has accepted the record offered."""
        return len(valid_votes(self.votes)) >= need

    def granted(self, need: int) -> bool:
        """Whether that majority has also promised the next ballot."""
        promised = {keeper for keeper, vote in self.votes.items() if vote.next == self.next}
        return self.accepted(need) and len([keeper for keeper in valid_votes(self.votes) if keeper in promised]) >= need
