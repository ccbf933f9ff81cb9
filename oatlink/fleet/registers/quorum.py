"""Which votes count together. No state.

A vote bears the life of its keeper and the newest life that this keeper has met of each other one. A vote of a life
that another vote of the same try knows to be over counts for nothing; `recovery` has the proof that this is what
keeps a lost file from being a lost promise.
"""

from collections.abc import Mapping
from typing import NamedTuple

from oatlink.fleet.messages import Ballot, Record
from oatlink.fleet.registers.ballots import NOTHING


class Vote(NamedTuple):
    """What one keeper answered. `real`: it accepted the record itself, rather than took it over."""

    life: int
    met: tuple[tuple[str, int], ...]
    accepted: Ballot = NOTHING
    record: Record = Record()
    real: bool = True
    next: Ballot = NOTHING


def majority(keepers: int) -> int:
    """How many votes decide among so many keepers."""
    return keepers // 2 + 1


def sound(votes: Mapping[str, Vote]) -> dict[str, Vote]:
    """The votes of lives that none of the others knows to be over."""
    newest: dict[str, int] = {}
    for vote in votes.values():
        for keeper, life in vote.met:
            if life > newest.get(keeper, 0):
                newest[keeper] = life
    return {keeper: vote for keeper, vote in votes.items() if vote.life >= newest.get(keeper, 0)}
