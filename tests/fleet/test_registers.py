"""Registers stay consistent under all faults, and the checker finds each safety measure that is taken out."""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import pytest

from oatlink.fleet import messages as f
from oatlink.fleet.registers import attempt, proposer, recovery, voting
from oatlink.fleet.registers.acceptor import Acceptor
from oatlink.fleet.registers.interface import Registers
from oatlink.fleet.registers.proposer import Proposer
from oatlink.fleet.registers.quorum import valid_votes
from tests.fleet.registers_world import Mutations, Operation, World, check_history

A, B, C, D, K = names = ("a", "b", "c", "d", "k")


def run_world(seed: int, count: int = 3, mutations: Mutations | None = None) -> World:
    world = World(seed, count, mutations=mutations or Mutations())
    world.inject_faults(400, crashes=0.2, losses=0.5)
    return world


@pytest.mark.parametrize("count", [3, 5])
def test_answers_are_those_of_one_register_and_all_heals(count: int) -> None:
    done = 0
    for seed in range(40):
        world = run_world(seed, count)
        assert check_history(world.history) == []
        assert all(operation.how == "found" for operation in world.history[-3:])
        done += sum(operation.how != "unknown" for operation in world.history)
    assert done > 1_000


# ---- Mutations ----


def settle_as_if_never_offered(self: attempt.Attempt, record: f.Record) -> None:
    self.offered = False
    settle(self, record)


def any_promise(self: attempt.Attempt, need: int) -> f.Record | None:
    votes = valid_votes(self.votes)
    return next(iter(votes.values())).record if len(votes) >= need else None


def without_promise(one: f.Kept | None, other: f.Kept) -> f.Kept:
    both = merge(one, other)
    return f.Kept(both.key, f.Ballot(), both.accepted, both.record)


settle, agreed, merge = attempt.Attempt.settle, attempt.Attempt.agreed, voting.merge
PATCHES: dict[str, tuple[object, str, object]] = {
    "one other's copy is enough": (recovery, "majority", lambda keepers: 1),
    "promises are not copied": (recovery, "merge", without_promise),
    "a look believes a minority": (attempt.Attempt, "agreed", lambda self, need: agreed(self, need - 1)),
    "any promise's record is taken": (attempt.Attempt, "promised", any_promise),
    "offered and overtaken is a no": (attempt.Attempt, "settle", settle_as_if_never_offered),
}
# Random histories find these in about one of a hundred, so the tests below construct them by hand.
LIVES: dict[str, tuple[object, str, object]] = {
    "votes of dead lives count": (attempt, "valid_votes", lambda votes: votes),
    "votes do not bear who was met": (voting.Voting, "met", property(lambda self: ())),
}


@contextmanager
def patched(name: str) -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        if name:
            patch.setattr(*(PATCHES | LIVES)[name])
        yield


@pytest.mark.parametrize("name", PATCHES)
def test_a_guard_taken_out_is_found(name: str) -> None:
    with patched(name):
        assert any(check_history(run_world(seed).history) for seed in range(60))


@pytest.mark.parametrize("name", ["early", "forgetful", "blank", "reused"])
def test_a_sabotaged_node_is_found(name: str) -> None:
    assert any(check_history(run_world(seed, mutations=Mutations(**{name: True})).history) for seed in range(60))


# ---- Histories by hand: which keeper gets which message, in which order ----


class ManualDelivery:
    """Keepers with disks that write at once, and messages that are delivered only where a test says so."""

    def __init__(self, keepers: tuple[str, ...]) -> None:
        self.keepers, self.seed, self.now = keepers, 0, 0
        self.cores: dict[str, Acceptor] = {}
        self.kept: list[f.Kept] = []
        for name in keepers:
            self.renew(name)
        self.meet(*keepers)

    def renew(self, name: str) -> None:
        """Start a keeper without its file. Its life is the highest so far."""
        self.seed += 1
        self.cores[name] = Acceptor(name, self.keepers, (), f.Standing(self.seed), self.seed)

    def meet(self, *who: str) -> None:
        """Let keepers that do not vote ask the others, as far as these are named, until no message is left."""
        self.now += 10**7
        sent = [(name, tell) for name in who for tell in self.carry_out(self.cores[name].tick(self.now))]
        while sent:
            sender, tell = sent.pop(0)
            if tell.to in who:
                answers = self.carry_out(self.cores[tell.to].receive(sender, tell.message, 0))
                sent += [(tell.to, answer) for answer in answers]

    def carry_out(self, effects: list[f.Effect]) -> list[f.Tell]:
        """Store what is to be kept, and return the messages."""
        tells: list[f.Tell] = []
        for effect in effects:
            if isinstance(effect, f.Keep):
                self.kept += effect.registers
                tells += effect.then
            elif isinstance(effect, f.Tell):
                tells.append(effect)
        return tells

    def records(self, name: str) -> list[tuple[str, f.Ballot, f.Ballot, f.Record]]:
        registers = self.cores[name]._voting.registers
        return sorted((one.key, one.promised, one.accepted, one.record) for one in registers.values())

    def deliver(self, core: Proposer, sent: list[f.Effect], *who: str) -> list[f.Effect]:
        """Deliver a proposer's messages to these keepers only, and their answers to it; returns its effects."""
        effects: list[f.Effect] = []
        for tell in sent:
            if isinstance(tell, f.Tell) and tell.to in who:
                for answer in self.carry_out(self.cores[tell.to].receive("p", tell.message, 0)):
                    effects += core.receive(tell.to, answer.message, 0)
        return effects


def answers(effects: list[f.Effect]) -> list[tuple[str, int, bytes]]:
    return [(one.how, one.fence, one.value) for one in effects if isinstance(one, f.Answer)]


@pytest.mark.parametrize("missing", ["", *LIVES])
def test_a_promise_of_a_lost_life_counts_no_more(missing: str) -> None:
    is_guarded = not missing
    with patched(missing):
        manual = ManualDelivery(names)
        slow, quick = Proposer("slow", 1, names, 1), Proposer("quick", 1, names, 2)
        slow._counter = 100
        sent = slow.change(1, "x", 0, b"slow", 0)
        manual.deliver(slow, sent, K)
        manual.renew(K)
        manual.meet(K, A, B, C)  # a majority without D, which does not learn of the new life
        accept = manual.deliver(quick, quick.change(1, "x", 0, b"quick", 0), B, C, K)
        assert answers(manual.deliver(quick, accept, B, C, K)) == [("changed", 1, b"quick")]
        # K's vote of the old life, A which knows the new life, and D which does not: three votes, but no majority.
        stale = manual.deliver(slow, sent, A, D)
        assert bool(stale) is not is_guarded
        manual.deliver(slow, stale, D)
        reader = Proposer("reader", 1, names, 3)
        reader._counter = 200
        accept = manual.deliver(reader, reader.change(1, "x", 5, b"", 0), A, B, D)
        end = answers(manual.deliver(reader, accept, A, B, D))
        assert (end == [("differs", 1, b"quick")]) is is_guarded


@pytest.mark.parametrize("guarded", [True, False])
def test_a_record_taken_over_under_a_higher_promise_is_no_vote(guarded: bool) -> None:
    keepers = (A, B, K)
    manual = ManualDelivery(keepers)
    first, other = Proposer("first", 1, keepers, 1), Proposer("other", 1, keepers, 2)
    other._counter = 100
    accept = manual.deliver(first, first.change(1, "x", 0, b"first", 0), A, B)
    manual.deliver(first, accept, A)
    sent = manual.deliver(other, other.change(1, "x", 0, b"other", 0), B, K)
    manual.renew(K)
    manual.meet(K, A, B)
    if not guarded:
        registers = manual.cores[K]._voting.registers
        registers["x"] = f.Kept("x", registers["x"].promised, registers["x"].accepted, registers["x"].record)
    reader = Proposer("reader", 1, keepers, 3)
    seen = answers(manual.deliver(reader, reader.read(1, "x", 0), A, K))
    assert seen == ([] if guarded else [("found", 1, b"first")])
    # The ballot promised before may still be accepted, so the record that the look found is not agreed.
    assert answers(manual.deliver(other, sent, B, K)) == [("changed", 1, b"other")]


def test_round_trips_where_nobody_contends() -> None:
    manual = ManualDelivery((A, B, C))
    one: Registers = Proposer("one", 1, (A, B, C), 1)
    core = Proposer("core", 1, (A, B, C), 1)
    assert isinstance(one, Proposer) and one.due_us == f.NEVER_US
    accept = manual.deliver(core, core.change(1, "x", 0, b"v1", 0), A, B)
    assert [type(tell.message) for tell in accept if isinstance(tell, f.Tell)] == [f.Accept] * 3
    assert answers(manual.deliver(core, accept, A, B)) == [("changed", 1, b"v1")]
    # The second change needs no promise, and a look writes nothing to disk.
    assert answers(manual.deliver(core, core.change(2, "x", 1, b"v2", 0), A, B)) == [("changed", 2, b"v2")]
    assert answers(manual.deliver(core, core.change(3, "x", 1, b"v3", 0), A, B)) == [("differs", 2, b"v2")]
    kept = len(manual.kept)
    assert answers(manual.deliver(one, one.read(1, "x", 0), B, A)) == [("found", 2, b"v2")]
    assert len(manual.kept) == kept


# ---- Beginning ----


def test_a_keeper_begins_only_with_enough_others() -> None:
    manual = ManualDelivery((A, B, C))
    core = Proposer("p", 1, (A, B, C), 1)
    for number in range(300):  # several pages
        accept = manual.deliver(core, core.change(number, f"x{number}", 0, b"v" * 200, 0), A, B, C)
        assert answers(manual.deliver(core, accept, A, B, C))
    manual.renew(C)
    manual.meet(C, A)
    assert not manual.cores[C].begun and manual.cores[C].receive("p", f.Prepare("x0", f.Ballot(9**9, "p", 1)), 0) == []
    manual.meet(C, A, B)
    assert manual.cores[C].begun and manual.records(C) == manual.records(A)
    # Two lost files are more than a minority, so an operator has to allow a start. A life below an earlier one rises.
    manual.renew(B)
    manual.cores[C] = Acceptor(C, (A, B, C), (), f.Standing(1), 77)
    manual.meet(A, B, C)
    assert not manual.cores[B].begun and not manual.cores[C].begun
    manual.cores[B] = Acceptor(B, (A, B, C), (), f.Standing(1), 78, trusted=True)
    manual.meet(A, B, C)
    manual.meet(A, B, C)
    manual.meet(A, B, C)
    assert all(one.begun for one in manual.cores.values()) and manual.cores[B]._voting.standing.life > 5
    assert manual.records(C) == manual.records(A)


def test_a_single_keeper_begins_by_an_operators_word_alone() -> None:
    alone = Acceptor(A, (A,), (), None, 1)
    alone.tick(10**9)
    assert not alone.begun
    trusted = Acceptor(A, (A,), (), None, 1, trusted=True)
    trusted.tick(0)
    assert trusted.begun and trusted.due_us == f.NEVER_US


# ---- Bounds ----


def test_what_does_not_fit_is_dropped_and_told_once() -> None:
    core = voting.Voting((), f.Standing(1, begun=True), max_registers=2)
    ballot = f.Ballot(1, "p", 1)
    effects: list[f.Effect] = []
    for number in range(10):
        effects += core.receive("p", f.Prepare(f"x{number}", ballot))
    for key in ("", "y" * 129, "é" * 65, "\ud800" * 200):
        effects += core.receive("p", f.Prepare(key, ballot))
    for bad in (f.Ballot(0, "p", 1), f.Ballot(-1, "p", 1), f.Ballot(2**62, "p", 1)):
        effects += core.receive("p", f.Prepare("x0", bad)) + core.receive("p", f.Look("x0", bad))
    for record in (f.Record(1, "w" * 300, b""), f.Record(1, "w", b"v" * 8_193), f.Record(-1, "w", b"")):
        effects += core.receive("p", f.Accept("x0", ballot, record))
    effects += core.receive("p", f.Accept("x0", ballot, f.Record(), f.Ballot(2**62)))
    assert len([one for one in effects if isinstance(one, f.Keep)]) == 2
    assert len([one for one in effects if isinstance(one, f.Note)]) == 3
    assert core.receive("p", f.Alive(1)) == [] and len(core.registers) == 2


def test_a_line_is_bounded_and_patience_ends() -> None:
    core = Proposer("p", 1, (A, B, C), 1)
    effects = [core.read(ask, "x", ask) for ask in range(proposer.MAX_QUEUED_PER_KEY + 1)]
    assert [answers(one) for one in effects if answers(one)] == [[("unknown", 0, b"")]]
    assert answers(core.change(1, "y", 0, b"v" * 8_193, 0)) == [("unknown", 0, b"")]
    ended = 0
    while core.due_us < f.NEVER_US:
        assert core.due_us <= proposer.PATIENCE_US + proposer.MAX_QUEUED_PER_KEY
        ended += len(answers(core.tick(core.due_us)))
    assert ended == proposer.MAX_QUEUED_PER_KEY


def test_many_that_contend_get_through() -> None:
    world = World(1, clients=16, loss=0.0, duplicated=0.0, slow=0.0, disk_us=2_000)
    operations: list[Operation] = []
    for _ in range(10):
        for user in world.users:
            operations.append(user.ask("a", user.known.get("a", 0)))
        world.run(1_600_000)
    assert check_history(world.history) == [] and all(one.how != "unknown" for one in operations)
    assert sum(one.how == "changed" for one in operations) >= 10


def test_no_message_makes_a_node_raise() -> None:
    rng = Random(3)
    core, keeper = Proposer("p", 1, (A, B, C), 1), Acceptor(A, (A, B, C), (), None, 1)
    ballots = (f.Ballot(), f.Ballot(1, "p", 1), f.Ballot(2, "p", 1), f.Ballot(2**63, "z", -1))
    kept = (f.Kept("x", ballots[3], ballots[1], f.Record()),)
    core.read(1, "x", 0)
    core.change(2, "y", 0, b"", 0)
    for _ in range(3_000):
        ballot, other, key = rng.choice(ballots), rng.choice(ballots), rng.choice(("x", "y", ""))
        life, met = rng.choice((0, -1, 1, 2**62)), rng.choice(((), (("b", 2**63),), (("a", 1), ("b", 1))))
        message: f.Message = rng.choice(
            (
                f.Looked(key, ballot, other, f.Record(), life, met),
                f.Promise(key, ballot, other, f.Record(5), life, met),
                f.Accepted(key, ballot, life, met, other),
                f.Outbid(key, ballot, other),
                f.Copy(life, key),
                f.Copied(life, key, 1, True, False, rng.choice((0, 2**62)), met, kept, rng.random() < 0.5),
                f.Accept(key, ballot, f.Record(), other),
            )
        )
        sender = rng.choice((A, B, C, "z"))
        core.receive(sender, message, 0)
        keeper.receive(sender, message, 0)
        core.tick(core.due_us)
        keeper.tick(0)
