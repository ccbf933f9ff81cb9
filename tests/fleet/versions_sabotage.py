"""Mutations that each remove one safeguard, and the scenario and seed in which `versions_world` detects each."""

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from oatlink.fleet.messages import NEVER_US, Marker
from oatlink.fleet.versions import marker, moves, sequencer
from oatlink.fleet.versions.asking import Adopter
from oatlink.fleet.versions.bank_tasks import BankTask, BankTasks
from oatlink.fleet.versions.compatible import Place
from oatlink.fleet.versions.ledger import Ledger
from oatlink.fleet.versions.node import Layouts
from oatlink.fleet.versions.sequencer import Sequencer
from oatlink.fleet.versions.state import State, is_done
from oatlink.fleet.versions.version_registers import VersionRegisters
from tests.fleet import versions_scenes as scenes
from tests.fleet import versions_world as world
from tests.fleet.guards import Guards, Patch

MUTATIONS = Guards[tuple[Callable[[int], None], int]]()
put, instead_of, found_by = MUTATIONS.put, MUTATIONS.instead_of, MUTATIONS.found_by
Busy = tuple[int, ...]


put("contract_one_lease_too_early", (world.by_chance, 2), Ledger, _busy_until_us=lambda self, holder, version: 0)
put("plan_copied_while_another_may_begin", (scenes.begun_late, 0), VersionRegisters, may_still_change=False)


@instead_of(Ledger, "_busy_until_us", (scenes.node_cut_off, 0))
def unfinished_requests_not_waited_for(_: Any, self: Ledger, holder: Any, version: int) -> Any:
    return holder.term_until_us.get(version, 0)


@instead_of(Ledger, "began", (world.by_chance, 10))
def grants_of_an_earlier_sequencer_not_waited_for(began: Any, self: Ledger, now: int) -> Any:
    return began(self, -NEVER_US)


@instead_of(Ledger, "began", (world.by_chance, 10))
def an_earlier_sequencers_terms_not_waited_for(began: Any, self: Ledger, now: int) -> Any:
    return began(self, now - self._earlier_us + self._drain_us)


@instead_of(Ledger, "began", (world.by_chance, 1))
def requests_under_earlier_terms_not_waited_for(began: Any, self: Ledger, now: int) -> Any:
    return began(self, now - self._drain_us)


@instead_of(Ledger, "record_status", (scenes.answers_lost, 0))
def a_nodes_report_counts_whenever_it_was_sent(
    record_status: Any, self: Ledger, node: str, since: int, ask: int, busy: Busy, now_us: int
) -> None:
    for holder in self._holders.values():
        holder.last_ask.clear()
    record_status(self, node, since, 1, busy, now_us)


@instead_of(Ledger, "record_status", (scenes.answers_lost, 0))
def a_nodes_report_counts_without_a_newer_answer(
    record_status: Any, self: Ledger, node: str, since: int, ask: int, busy: Busy, now_us: int
) -> None:
    record_status(self, node, since, ask + 1, busy, now_us)


@instead_of(Sequencer, "adopt", (scenes.process_restarted, 0))
def a_process_reports_for_its_predecessor(adopt: Any, self: Sequencer, who: str, asks: Any, *more: int) -> Any:
    return adopt(self, who, replace(asks, since=1), *more)


@instead_of(world, "applied", (world.by_chance, 1))
def replica_taken_before_its_offset(_: Any, place: Place, mark: Marker) -> bool:
    return place.history == mark.history


@instead_of(world, "applied", (world.by_chance, 22))
def promoted_member_taken_by_its_offset_alone(_: Any, place: Place, mark: Marker) -> bool:
    return place.offset >= mark.offset


@found_by((world.by_chance, 0))
def new_served_before_all_banks_offer_it(patch: Patch) -> None:
    def expanding(state: State, *more: Any) -> State:
        if any(is_done(shard, "expand", state.new) for shard in state.shards.values()):
            return replace(state, phase="serving", served=(state.old, state.new))
        return moves._intend(state, more[0], "expand")

    patch.setitem(moves._TRANSITIONS, "expanding", expanding)


@instead_of(BankTasks, "work", (world.by_chance, 10))
def marker_not_checked_after_a_failover(work: Any, self: BankTasks, state: State, *more: Any) -> Any:
    for bank in state.shards:
        self._tasks.setdefault(bank, BankTask()).check_us = NEVER_US
    return work(self, state, *more)


@found_by((scenes.sequencer_cut_off, 0))
def sequencer_acts_after_its_lease(patch: Patch) -> None:
    for name in ("_act", "_claimed"):
        method = getattr(Sequencer, name)
        patch.setattr(Sequencer, name, lambda self, until, now, method=method: method(self, NEVER_US, now))
    adopt = Sequencer.adopt
    patch.setattr(Sequencer, "adopt", lambda self, who, asks, until, now: adopt(self, who, asks, NEVER_US, now))


@instead_of(Adopter, "receive", (scenes.delayed_answer, 0))
def an_older_answer_taken_after_a_newer_one(receive: Any, self: Adopter, sender: str, message: Any, now: int) -> Any:
    heard, self._answered_ask, asked = self._answered_ask, 0, dict(self._asked)
    news = receive(self, sender, message, now)
    self._asked, self._answered_ask = asked, max(heard, self._answered_ask)
    return news


@instead_of(Layouts, "layout", (world.by_chance, 23))
def node_serves_after_its_term(layout: Any, self: Layouts, client: str, pinned: int, now: int) -> Any:
    return layout(self, client, pinned, 0)


@instead_of(Adopter, "receive", (world.by_chance, 23))
def term_counted_from_the_answer(receive: Any, self: Adopter, sender: str, message: Any, now: int) -> Any:
    self._asked.update({message.ask: now} if message.ask in self._asked else {})
    return receive(self, sender, message, now)


@instead_of(marker, "decide", (scenes.delayed_undo, 0))
def marker_does_not_fence_older_steps(decide: Any, *arguments: Any) -> Any:
    return {"fenced": "run"}.get(decide(*arguments), decide(*arguments))


@instead_of(marker, "decide", (scenes.missing_expand, 0))
def step_runs_without_its_predecessor(decide: Any, value: bytes | None, step: int, after: int) -> Any:
    return decide(value, step, 0)


@found_by((scenes.begun_late_by_another, 0))
def no_claim_before_acting(patch: Patch) -> None:
    answer, began = VersionRegisters.answer, Sequencer.began

    def claimed_answer(self: Any, received: Any, now_us: int) -> bool:
        is_new = answer(self, received, now_us)
        self.state = replace(self.state, fence=self.lease) if self.state is not None else None
        return is_new

    def begins(self: Any, fence: int, now_us: int) -> None:
        began(self, fence, now_us)
        self._registers.lease = fence

    patch.setattr(VersionRegisters, "answer", claimed_answer)
    patch.setattr(Sequencer, "began", begins)


@instead_of(sequencer, "begin", (scenes.lost_undo, 0))
def undo_forgotten_by_the_next_beginning(begin: Any, state: State, *more: Any) -> State:
    begun: State = begin(state, *more)
    kept = {name: tuple(step for step in shard.steps if step.kind != "undo") for name, shard in begun.shards.items()}
    return replace(begun, shards={name: replace(begun.shards[name], steps=steps) for name, steps in kept.items()})
