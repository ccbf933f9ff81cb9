"""Which votes count together. No state.

A vote carries the life of its keeper (see `recovery`) and the newest life that this keeper has met of each other one. A
vote from a life that another vote of the same round knows to be over does not count. `recovery` proves that this keeps
a lost file from being a lost promise.
"""

from collections.abc import Mapping
from typing import NamedTuple

from oatlink.fleet.messages import Ballot, Record
from oatlink.fleet.registers.ballots import NO_BALLOT


class Vote(NamedTuple):
    """One keeper's answer. `is_own`: the keeper accepted the record itself and did not copy it from another."""

    life: int
    met: tuple[tuple[str, int], ...]
    accepted: Ballot = NO_BALLOT
    record: Record = Record()
    is_own: bool = True
    next: Ballot = NO_BALLOT


def majority(keepers: int) -> int:
    """Return how many votes decide among so many keepers."""
    return keepers // 2 + 1


def valid_votes(votes: Mapping[str, Vote]) -> dict[str, Vote]:
    """Return the votes of lives that none of the other votes knows to be over."""
    newest: dict[str, int] = {}
    for vote in votes.values():
        for keeper, life in vote.met:
            if life > newest.get(keeper, 0):
                newest[keeper] = life
    return {keeper: vote for keeper, vote in votes.items() if vote.life >= newest.get(keeper, 0)}
