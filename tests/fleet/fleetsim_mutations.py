"""Mutations that each remove one guard of the fleet, and where the fleet simulator finds them.

Each one has a scenario, the rule that it breaks there, a seed that shows it, and the patch.
"""

from typing import Any

from msgspec.structs import replace

from oatlink.fleet import messages as f
from oatlink.fleet.leases.holder import Holder
from oatlink.fleet.leases.observer import Observer
from oatlink.fleet.limits import coordinator, ledger, requester
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

MUTATIONS = Guards[tuple[str, str, int]]()
put, instead_of = MUTATIONS.put, MUTATIONS.instead_of


# ---- Registers ----


put("one_vote_decides", ("registers", "registers", 0), proposer, majority=lambda keepers: keepers // 2)


@instead_of(Commits, "enqueue", ("registers", "registers", 3))
def votes_before_they_are_on_disk(enqueue: Any, self: Commits, keep: f.Keep) -> None:
    enqueue(self, f.Keep(keep.registers, (), keep.standing))
    for tell in keep.then:
        self._process.send(tell)


@instead_of(Commits, "enqueue", ("registers", "registers", 2))
def promises_are_not_on_disk(enqueue: Any, self: Commits, keep: f.Keep) -> None:
    registers = tuple(replace(register, promised=register.accepted) for register in keep.registers)
    enqueue(self, f.Keep(registers, keep.then, keep.standing))


@instead_of(File, "__init__", ("lives", "registers", 0))
def acceptor_without_its_file_votes(init: Any, self: File) -> None:
    init(self)
    self.standing = f.Standing(1, begun=True)


@instead_of(Voting, "_accept", ("registers", "registers", 0))
def lower_ballots_are_accepted(accept: Any, self: Voting, sender: str, request: f.Accept) -> Any:
    register = self._register(request.key)
    self.registers[request.key] = f.Kept(
        register.key, request.ballot, register.accepted, register.record, register.copied
    )
    return accept(self, sender, request)


@instead_of(Process, "start", ("registers", "rights", 0))
def incarnation_is_used_again(start: Any, self: Process) -> None:
    self.incarnation = 1 + self.world.names.index(self.name)
    start(self)


# ---- Leases and limits ----


put(
    "drift_is_not_counted",
    ("drift", "rights", 2),
    coordinator.LimitCoordinator,
    _counted_us=lambda self, term_us: term_us,
)
put("a_duplicate_process_has_floors", ("limits", "alone", 8), gates.Allowances, alone=lambda self: None)
put("a_lease_never_ends", ("limits", "settles", 3), Observer, wait_us=lambda self, term_us: 1 << 40)
put("a_starting_acceptor_asks_once", ("keepers", "settles", 0), recovery, MAX_ASK_US=f.NEVER_US, ASK_US=1 << 40)


@instead_of(coordinator.LimitCoordinator, "_term_us", ("limits", "rights", 8))
def grant_outlives_its_home(_: Any, self: coordinator.LimitCoordinator, until: int, now: int) -> int:
    return coordinator.GRANT_TERM_US if now < until else 0


@instead_of(coordinator, "pool_of", ("limits", "rights", 0))
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


@instead_of(ledger.AllowanceLedger, "grant", ("limits", "rights", 1))
def only_the_newest_grant_counts(
    give: Any, self: ledger.AllowanceLedger, row: ledger.NodeShare, serial: int, end_us: int
) -> Any:
    row.grants.clear()
    self._count(row)
    return give(self, row, serial, end_us)


@instead_of(requester.GrantRequester, "receive", ("limits", "rights", 3))
def grant_counts_from_the_answer(
    receive: Any, self: requester.GrantRequester, sender: str, message: Any, now_us: int
) -> Any:
    if message.ask in self._pending:
        self._pending[message.ask].asked_us = now_us
    return receive(self, sender, message, now_us)


@instead_of(proposer.Proposer, "receive", ("limits", "a core raised", 0))
def votes_of_a_round_that_is_over(receive: Any, self: proposer.Proposer, sender: str, message: Any, now: int) -> Any:
    assert self._queues[message.key]
    return receive(self, sender, message, now)


# ---- Verdicts and versions ----


put("one_witness_suffices", ("verdicts", "verdicts", 4), weigh, WITNESSES=1)
put(
    "half_a_bank_is_put_later",
    ("verdicts", "verdicts", 4),
    weigh.Weigher,
    _half_suspected=lambda self, bank, now_us: False,
)
put("own_success_does_not_count", ("verdicts", "verdicts", 4), weigh.Weigher, _ignored_until_us=lambda self, member: -1)
put("evidence_goes_to_one_peer", ("gossip", "spread", 5), spread, FAN_OUT=1)
put("contract_one_lease_too_early", ("versions", "versions", 3), Ledger, _busy_until_us=lambda self, holder, version: 0)


@instead_of(Layouts, "layout", ("versions", "versions", 5))
def node_serves_after_its_term(layout: Any, self: Layouts, client: str, pinned: int, now: int) -> Any:
    return layout(self, client, pinned, 0)


@instead_of(banks, "applied", ("versions", "versions", 3))
def replica_is_used_before_it_has_the_marker(_: Any, place: Any, mark: Any) -> bool:
    return bool(place.history == mark.history)
