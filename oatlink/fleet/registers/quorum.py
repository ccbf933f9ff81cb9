"""Which votes count together. No state.

A vote carries the life of its keeper (see `recovery`) and the newest life that this keeper has met of each other one. A
vote from a life that has ended according to another vote of the same round does not count. `recovery` proves that this
rule prevents a lost file from causing a lost promise.
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
    """Return how many votes are a majority of this number of keepers."""
    return keepers // 2 + 1


def valid_votes(votes: Mapping[str, Vote]) -> dict[str, Vote]:
    """Return the votes whose lives have not ended according to any of the other votes."""
    newest: dict[str, int] = {}
    for vote in votes.values():
        for keeper, life in vote.met:
            if life > newest.get(keeper, 0):
                newest[keeper] = life
    return {keeper: vote for keeper, vote in votes.items() if vote.life >= newest.get(keeper, 0)}
