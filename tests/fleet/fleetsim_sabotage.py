"""One guard taken out each, and where the fleet in simulation finds it: scenario, rule, a seed, the patch."""

from collections.abc import Callable
from typing import Any

import pytest
from msgspec.structs import replace

from oatlink.fleet import messages as f
from oatlink.fleet.leases.holder import Holder
from oatlink.fleet.leases.observer import Observer
from oatlink.fleet.limits import asking, home, ledger
from oatlink.fleet.limits import node as gates
from oatlink.fleet.limits.buckets import Bucket
from oatlink.fleet.registers import proposer, recovery
from oatlink.fleet.registers.voting import Voting
from oatlink.fleet.verdicts import spread, weigh
from oatlink.fleet.versions.ledger import Ledger
from oatlink.fleet.versions.node import Layouts
from oatlink.lab.fleetsim import banks
from oatlink.lab.fleetsim.commits import Commits
from oatlink.lab.fleetsim.disk import File
from oatlink.lab.fleetsim.process import Process

Patch = pytest.MonkeyPatch
SABOTAGES: dict[str, tuple[str, str, int, Callable[[Patch], None]]] = {}


def found_by(scenario: str, rule: str, seed: int) -> Callable[[Callable[[Patch], None]], Callable[[Patch], None]]:
    def note(one: Callable[[Patch], None]) -> Callable[[Patch], None]:
        SABOTAGES[one.__name__] = scenario, rule, seed, one
        return one

    return note


# ---- Registers ----


@found_by("registers", "registers", 3)
def votes_before_they_are_on_disk(patch: Patch) -> None:
    keep = Commits.keep

    def early(self: Commits, one: f.Keep) -> None:
        keep(self, f.Keep(one.registers, (), one.standing))
        for tell in one.then:
            self._process.send(tell)

    patch.setattr(Commits, "keep", early)


@found_by("registers", "registers", 2)
def promises_are_not_on_disk(patch: Patch) -> None:
    keep = Commits.keep

    def forgetful(self: Commits, one: f.Keep) -> None:
        kept = tuple(replace(each, promised=each.accepted) for each in one.registers)
        keep(self, f.Keep(kept, one.then, one.standing))

    patch.setattr(Commits, "keep", forgetful)


@found_by("lives", "registers", 0)
def keeper_without_its_file_votes(patch: Patch) -> None:
    write = File.__init__

    def begun(self: File) -> None:
        write(self)
        self.standing = f.Standing(1, begun=True)

    patch.setattr(File, "__init__", begun)


@found_by("registers", "registers", 0)
def lower_ballots_are_accepted(patch: Patch) -> None:
    accept = Voting._accept

    def any_ballot(self: Voting, sender: str, asked: f.Accept) -> list[f.Effect]:
        held = self._held(asked.key)
        self.registers[asked.key] = f.Kept(held.key, asked.ballot, held.accepted, held.record, held.copied)
        return accept(self, sender, asked)

    patch.setattr(Voting, "_accept", any_ballot)


@found_by("registers", "registers", 0)
def one_vote_decides(patch: Patch) -> None:
    patch.setattr(proposer, "majority", lambda keepers: keepers // 2)


@found_by("registers", "rights", 0)
def incarnation_used_again(patch: Patch) -> None:
    start = Process.start

    def same(self: Process) -> None:
        self.incarnation = 1 + self.world.names.index(self.name)
        start(self)

    patch.setattr(Process, "start", same)


# ---- Leases and limits ----


@found_by("drift", "one holder", 12)
def drift_is_counted_the_wrong_way(patch: Patch) -> None:
    patch.setattr(Observer, "wait_us", lambda self, term_us: int(term_us * (1 - self._drift) / (1 + self._drift)))


@found_by("limits", "one holder", 7)
def lease_counts_from_the_answer(patch: Patch) -> None:
    answered = Holder.answered

    def late(self: Holder, answer: f.Answer, now_us: int) -> list[f.Effect]:
        self._turns = dict.fromkeys(self._turns, now_us)
        return answered(self, answer, now_us)

    patch.setattr(Holder, "answered", late)


@found_by("limits", "rights", 8)
def grant_outlives_its_home(patch: Patch) -> None:
    patch.setattr(home.Home, "_term_us", lambda self, until, now: home.GRANT_TERM_US if now < until else 0)


@found_by("drift", "rights", 2)
def drift_is_not_counted(patch: Patch) -> None:
    patch.setattr(home.Home, "_counted_us", lambda self, term_us: term_us)


@found_by("limits", "rights", 1)
def only_the_newest_grant_counts(patch: Patch) -> None:
    give = ledger.Book.give

    def newest(self: ledger.Book, row: ledger.Row, serial: int, end_us: int) -> tuple[int, int]:
        row.live.clear()
        self._count(row)
        return give(self, row, serial, end_us)

    patch.setattr(ledger.Book, "give", newest)


@found_by("limits", "rights", 3)
def grant_counts_from_the_answer(patch: Patch) -> None:
    receive = asking.Asker.receive

    def late(self: asking.Asker, sender: str, message: Any, now_us: int) -> list[f.Effect]:
        if message.ask in self._questions:
            self._questions[message.ask].asked_us = now_us
        return receive(self, sender, message, now_us)

    patch.setattr(asking.Asker, "receive", late)


@found_by("limits", "rights", 0)
def floors_are_not_inside_the_rate(patch: Patch) -> None:
    patch.setattr(home, "pool_of", lambda rule, nodes: (int(rule[0] * 1e6), int(rule[1] * 1e6)))


@found_by("limits", "windows", 2)
def a_new_bucket_is_full(patch: Patch) -> None:
    patch.setattr(gates, "Bucket", lambda rate, burst, at_us: Bucket(rate, burst, at_us, burst))


@found_by("limits", "alone", 8)
def a_twin_has_floors(patch: Patch) -> None:
    patch.setattr(gates.Allowances, "alone", lambda self: None)


@found_by("limits", "settles", 3)
def a_lease_is_never_over(patch: Patch) -> None:
    patch.setattr(Observer, "wait_us", lambda self, term_us: 1 << 40)


@found_by("keepers", "settles", 0)
def a_keeper_asks_once(patch: Patch) -> None:
    patch.setattr(recovery, "LONGEST_US", f.NEVER_US)
    patch.setattr(recovery, "ASK_US", 1 << 40)


@found_by("limits", "a core raised", 0)
def votes_of_a_round_that_is_over(patch: Patch) -> None:
    receive = proposer.Proposer.receive

    def unguarded(self: proposer.Proposer, sender: str, message: Any, now_us: int) -> list[f.Effect]:
        assert self._lines[message.key]
        return receive(self, sender, message, now_us)

    patch.setattr(proposer.Proposer, "receive", unguarded)


# ---- Verdicts ----


@found_by("verdicts", "verdicts", 4)
def one_witness_suffices(patch: Patch) -> None:
    patch.setattr(weigh, "WITNESSES", 1)


@found_by("verdicts", "verdicts", 4)
def half_a_bank_is_put_later(patch: Patch) -> None:
    patch.setattr(weigh.Weigher, "_half", lambda self, bank, now_us: False)


@found_by("verdicts", "verdicts", 4)
def own_service_says_nothing(patch: Patch) -> None:
    patch.setattr(weigh.Weigher, "_since", lambda self, member: -1)


@found_by("gossip", "spread", 5)
def words_go_to_one(patch: Patch) -> None:
    patch.setattr(spread, "FAN_OUT", 1)


# ---- Versions ----


@found_by("versions", "versions", 3)
def contract_one_lease_too_early(patch: Patch) -> None:
    patch.setattr(Ledger, "_out_until", lambda self, holder, version: 0)


@found_by("versions", "versions", 5)
def node_serves_after_its_term(patch: Patch) -> None:
    layout = Layouts.layout
    patch.setattr(Layouts, "layout", lambda self, client, pinned, now: layout(self, client, pinned, 0))


@found_by("versions", "versions", 3)
def replica_taken_before_its_offset(patch: Patch) -> None:
    patch.setattr(banks, "applied", lambda place, mark: place.history == mark.history)
