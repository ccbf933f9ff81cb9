"""One guard taken out each, and where the fleet in simulation finds it: scenario, rule, a seed, the patch."""

from typing import Any

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
from tests.fleet.guards import Guards

SABOTAGES = Guards[tuple[str, str, int]]()
put, instead_of = SABOTAGES.put, SABOTAGES.instead_of


# ---- Registers ----


put("one_vote_decides", ("registers", "registers", 0), proposer, majority=lambda keepers: keepers // 2)


@instead_of(Commits, "keep", ("registers", "registers", 3))
def votes_before_they_are_on_disk(keep: Any, self: Commits, one: f.Keep) -> None:
    keep(self, f.Keep(one.registers, (), one.standing))
    for tell in one.then:
        self._process.send(tell)


@instead_of(Commits, "keep", ("registers", "registers", 2))
def promises_are_not_on_disk(keep: Any, self: Commits, one: f.Keep) -> None:
    kept = tuple(replace(each, promised=each.accepted) for each in one.registers)
    keep(self, f.Keep(kept, one.then, one.standing))


@instead_of(File, "__init__", ("lives", "registers", 0))
def keeper_without_its_file_votes(write: Any, self: File) -> None:
    write(self)
    self.standing = f.Standing(1, begun=True)


@instead_of(Voting, "_accept", ("registers", "registers", 0))
def lower_ballots_are_accepted(accept: Any, self: Voting, sender: str, asked: f.Accept) -> Any:
    held = self._held(asked.key)
    self.registers[asked.key] = f.Kept(held.key, asked.ballot, held.accepted, held.record, held.copied)
    return accept(self, sender, asked)


@instead_of(Process, "start", ("registers", "rights", 0))
def incarnation_used_again(start: Any, self: Process) -> None:
    self.incarnation = 1 + self.world.names.index(self.name)
    start(self)


# ---- Leases and limits ----


put("drift_is_not_counted", ("drift", "rights", 2), home.Home, _counted_us=lambda self, term_us: term_us)
put("a_twin_has_floors", ("limits", "alone", 8), gates.Allowances, alone=lambda self: None)
put("a_lease_is_never_over", ("limits", "settles", 3), Observer, wait_us=lambda self, term_us: 1 << 40)
put("a_keeper_asks_once", ("keepers", "settles", 0), recovery, LONGEST_US=f.NEVER_US, ASK_US=1 << 40)


@instead_of(home.Home, "_term_us", ("limits", "rights", 8))
def grant_outlives_its_home(_: Any, self: home.Home, until: int, now: int) -> int:
    return home.GRANT_TERM_US if now < until else 0


@instead_of(home, "pool_of", ("limits", "rights", 0))
def floors_are_not_inside_the_rate(_: Any, rule: tuple[float, float, float], nodes: int) -> tuple[int, int]:
    return int(rule[0] * 1e6), int(rule[1] * 1e6)


@instead_of(gates, "Bucket", ("limits", "windows", 2))
def a_new_bucket_is_full(_: Any, rate: int, burst: int, at_us: int) -> Bucket:
    return Bucket(rate, burst, at_us, burst)


@instead_of(Observer, "wait_us", ("drift", "one holder", 12))
def drift_is_counted_the_wrong_way(_: Any, self: Observer, term_us: int) -> int:
    return int(term_us * (1 - self._drift) / (1 + self._drift))


@instead_of(Holder, "answered", ("limits", "one holder", 7))
def lease_counts_from_the_answer(answered: Any, self: Holder, answer: f.Answer, now_us: int) -> Any:
    self._turns = dict.fromkeys(self._turns, now_us)
    return answered(self, answer, now_us)


@instead_of(ledger.Book, "give", ("limits", "rights", 1))
def only_the_newest_grant_counts(give: Any, self: ledger.Book, row: ledger.Row, serial: int, end_us: int) -> Any:
    row.live.clear()
    self._count(row)
    return give(self, row, serial, end_us)


@instead_of(asking.Asker, "receive", ("limits", "rights", 3))
def grant_counts_from_the_answer(receive: Any, self: asking.Asker, sender: str, message: Any, now_us: int) -> Any:
    if message.ask in self._questions:
        self._questions[message.ask].asked_us = now_us
    return receive(self, sender, message, now_us)


@instead_of(proposer.Proposer, "receive", ("limits", "a core raised", 0))
def votes_of_a_round_that_is_over(receive: Any, self: proposer.Proposer, sender: str, message: Any, now: int) -> Any:
    assert self._lines[message.key]
    return receive(self, sender, message, now)


# ---- Verdicts and versions ----


put("one_witness_suffices", ("verdicts", "verdicts", 4), weigh, WITNESSES=1)
put(
    "half_a_bank_is_put_later",
    ("verdicts", "verdicts", 4),
    weigh.Weigher,
    _half_suspected=lambda self, bank, now_us: False,
)
put("own_service_says_nothing", ("verdicts", "verdicts", 4), weigh.Weigher, _ignored_until_us=lambda self, member: -1)
put("words_go_to_one", ("gossip", "spread", 5), spread, FAN_OUT=1)
put("contract_one_lease_too_early", ("versions", "versions", 3), Ledger, _busy_until_us=lambda self, holder, version: 0)


@instead_of(Layouts, "layout", ("versions", "versions", 5))
def node_serves_after_its_term(layout: Any, self: Layouts, client: str, pinned: int, now: int) -> Any:
    return layout(self, client, pinned, 0)


@instead_of(banks, "applied", ("versions", "versions", 3))
def replica_taken_before_its_offset(_: Any, place: Any, mark: Any) -> bool:
    return bool(place.history == mark.history)
