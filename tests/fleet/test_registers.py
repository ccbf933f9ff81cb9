"""Registers agree whatever breaks; and each guard, taken out, is missed."""

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
from tests.fleet.registers_world import Asked, Sabotage, World, judge

A, B, C, D, K = names = ("a", "b", "c", "d", "k")


def history(seed: int, count: int = 3, sabotage: Sabotage | None = None) -> World:
    world = World(seed, count, sabotage=sabotage or Sabotage())
    world.trouble(400, crashes=0.2, losses=0.5)
    return world


@pytest.mark.parametrize("count", [3, 5])
def test_answers_are_those_of_one_register_and_all_heals(count: int) -> None:
    done = 0
    for seed in range(40):
        world = history(seed, count)
        assert judge(world.history) == []
        assert all(one.how == "found" for one in world.history[-3:])
        done += sum(one.how != "unknown" for one in world.history)
    assert done > 1_000


# ---- Guards taken out ----


def offered_or_not(self: attempt.Attempt, record: f.Record) -> None:
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
    "offered and overtaken is a no": (attempt.Attempt, "settle", offered_or_not),
}
# Chance comes upon these once in a hundred histories: below, by hand.
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
        assert any(judge(history(seed).history) for seed in range(60))


@pytest.mark.parametrize("name", ["early", "forgetful", "blank", "reused"])
def test_a_sabotaged_node_is_found(name: str) -> None:
    assert any(judge(history(seed, sabotage=Sabotage(**{name: True})).history) for seed in range(60))


# ---- By hand: who hears what, in which order ----


class Hand:
    """Keepers whose disks are at once there, and messages that go where a test lets them."""

    def __init__(self, keepers: tuple[str, ...]) -> None:
        self.keepers, self.seed, self.now = keepers, 0, 0
        self.cores: dict[str, Acceptor] = {}
        self.kept: list[f.Kept] = []
        for name in keepers:
            self.renew(name)
        self.meet(*keepers)

    def renew(self, name: str) -> None:
        """A keeper without its file; its number is the highest yet."""
        self.seed += 1
        self.cores[name] = Acceptor(name, self.keepers, (), f.Standing(self.seed), self.seed)

    def meet(self, *who: str) -> None:
        """Those without votes ask the others, as far as these are named, until nothing more is said."""
        self.now += 10**7
        said = [(name, one) for name in who for one in self.carry(self.cores[name].tick(self.now))]
        while said:
            sender, tell = said.pop(0)
            if tell.to in who:
                said += [(tell.to, one) for one in self.carry(self.cores[tell.to].receive(sender, tell.message, 0))]

    def carry(self, effects: list[f.Effect]) -> list[f.Tell]:
        out: list[f.Tell] = []
        for one in effects:
            if isinstance(one, f.Keep):
                self.kept += one.registers
                out += one.then
            elif isinstance(one, f.Tell):
                out.append(one)
        return out

    def records(self, name: str) -> list[tuple[str, f.Ballot, f.Ballot, f.Record]]:
        registers = self.cores[name]._voting.registers
        return sorted((one.key, one.promised, one.accepted, one.record) for one in registers.values())

    def ask(self, core: Proposer, sent: list[f.Effect], *who: str) -> list[f.Effect]:
        """These get their part of what a proposer sent, and their answers get back to it."""
        more: list[f.Effect] = []
        for one in sent:
            if isinstance(one, f.Tell) and one.to in who:
                for answer in self.carry(self.cores[one.to].receive("p", one.message, 0)):
                    more += core.receive(one.to, answer.message, 0)
        return more


def answers(effects: list[f.Effect]) -> list[tuple[str, int, bytes]]:
    return [(one.how, one.fence, one.value) for one in effects if isinstance(one, f.Answer)]


@pytest.mark.parametrize("missing", ["", *LIVES])
def test_a_promise_of_a_lost_life_counts_no_more(missing: str) -> None:
    guarded = not missing
    with patched(missing):
        hand = Hand(names)
        slow, quick = Proposer("slow", 1, names, 1), Proposer("quick", 1, names, 2)
        slow._counter = 100
        sent = slow.change(1, "x", 0, b"slow", 0)
        hand.ask(slow, sent, K)
        hand.renew(K)
        hand.meet(K, A, B, C)  # a majority without D, which hears nothing of the new life
        accept = hand.ask(quick, quick.change(1, "x", 0, b"quick", 0), B, C, K)
        assert answers(hand.ask(quick, accept, B, C, K)) == [("changed", 1, b"quick")]
        # One of the old life, one that knows the new one, one that knows nothing: three, and no majority.
        stale = hand.ask(slow, sent, A, D)
        assert bool(stale) is not guarded
        hand.ask(slow, stale, D)
        reader = Proposer("reader", 1, names, 3)
        reader._counter = 200
        accept = hand.ask(reader, reader.change(1, "x", 5, b"", 0), A, B, D)
        end = answers(hand.ask(reader, accept, A, B, D))
        assert (end == [("differs", 1, b"quick")]) is guarded


@pytest.mark.parametrize("guarded", [True, False])
def test_a_record_taken_over_under_a_higher_promise_is_no_vote(guarded: bool) -> None:
    keepers = (A, B, K)
    hand = Hand(keepers)
    first, other = Proposer("first", 1, keepers, 1), Proposer("other", 1, keepers, 2)
    other._counter = 100
    accept = hand.ask(first, first.change(1, "x", 0, b"first", 0), A, B)
    hand.ask(first, accept, A)
    sent = hand.ask(other, other.change(1, "x", 0, b"other", 0), B, K)
    hand.renew(K)
    hand.meet(K, A, B)
    if not guarded:
        registers = hand.cores[K]._voting.registers
        registers["x"] = f.Kept("x", registers["x"].promised, registers["x"].accepted, registers["x"].record)
    reader = Proposer("reader", 1, keepers, 3)
    seen = answers(hand.ask(reader, reader.read(1, "x", 0), A, K))
    assert seen == ([] if guarded else [("found", 1, b"first")])
    # What was promised before may be accepted yet, so what the look showed would not have lasted.
    assert answers(hand.ask(other, sent, B, K)) == [("changed", 1, b"other")]


def test_round_trips_where_nobody_contends() -> None:
    hand = Hand((A, B, C))
    one: Registers = Proposer("one", 1, (A, B, C), 1)
    core = Proposer("core", 1, (A, B, C), 1)
    assert isinstance(one, Proposer) and one.due_us == f.NEVER_US
    accept = hand.ask(core, core.change(1, "x", 0, b"v1", 0), A, B)
    assert [type(tell.message) for tell in accept if isinstance(tell, f.Tell)] == [f.Accept] * 3
    assert answers(hand.ask(core, accept, A, B)) == [("changed", 1, b"v1")]
    # The second needs no promise, a look nothing on disk.
    assert answers(hand.ask(core, core.change(2, "x", 1, b"v2", 0), A, B)) == [("changed", 2, b"v2")]
    assert answers(hand.ask(core, core.change(3, "x", 1, b"v3", 0), A, B)) == [("differs", 2, b"v2")]
    kept = len(hand.kept)
    assert answers(hand.ask(one, one.read(1, "x", 0), B, A)) == [("found", 2, b"v2")]
    assert len(hand.kept) == kept


# ---- Beginning ----


def test_a_keeper_begins_only_with_enough_others() -> None:
    hand = Hand((A, B, C))
    core = Proposer("p", 1, (A, B, C), 1)
    for number in range(300):  # several pages
        accept = hand.ask(core, core.change(number, f"x{number}", 0, b"v" * 200, 0), A, B, C)
        assert answers(hand.ask(core, accept, A, B, C))
    hand.renew(C)
    hand.meet(C, A)
    assert not hand.cores[C].begun and hand.cores[C].receive("p", f.Prepare("x0", f.Ballot(9**9, "p", 1)), 0) == []
    hand.meet(C, A, B)
    assert hand.cores[C].begun and hand.records(C) == hand.records(A)
    # Two lost at once are more than a minority: an operator has to say so. A number lower than one had before goes.
    hand.renew(B)
    hand.cores[C] = Acceptor(C, (A, B, C), (), f.Standing(1), 77)
    hand.meet(A, B, C)
    assert not hand.cores[B].begun and not hand.cores[C].begun
    hand.cores[B] = Acceptor(B, (A, B, C), (), f.Standing(1), 78, trusted=True)
    hand.meet(A, B, C)
    hand.meet(A, B, C)
    hand.meet(A, B, C)
    assert all(one.begun for one in hand.cores.values()) and hand.cores[B]._voting.standing.life > 5
    assert hand.records(C) == hand.records(A)


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
    said: list[f.Effect] = []
    for number in range(10):
        said += core.receive("p", f.Prepare(f"x{number}", ballot))
    for key in ("", "y" * 129, "é" * 65, "\ud800" * 200):
        said += core.receive("p", f.Prepare(key, ballot))
    for bad in (f.Ballot(0, "p", 1), f.Ballot(-1, "p", 1), f.Ballot(2**62, "p", 1)):
        said += core.receive("p", f.Prepare("x0", bad)) + core.receive("p", f.Look("x0", bad))
    for record in (f.Record(1, "w" * 300, b""), f.Record(1, "w", b"v" * 8_193), f.Record(-1, "w", b"")):
        said += core.receive("p", f.Accept("x0", ballot, record))
    said += core.receive("p", f.Accept("x0", ballot, f.Record(), f.Ballot(2**62)))
    assert len([one for one in said if isinstance(one, f.Keep)]) == 2
    assert len([one for one in said if isinstance(one, f.Note)]) == 3
    assert core.receive("p", f.Alive(1)) == [] and len(core.registers) == 2


def test_a_line_is_bounded_and_patience_ends() -> None:
    core = Proposer("p", 1, (A, B, C), 1)
    said = [core.read(ask, "x", ask) for ask in range(proposer.MAX_QUEUED_PER_KEY + 1)]
    assert [answers(one) for one in said if answers(one)] == [[("unknown", 0, b"")]]
    assert answers(core.change(1, "y", 0, b"v" * 8_193, 0)) == [("unknown", 0, b"")]
    ended = 0
    while core.due_us < f.NEVER_US:
        assert core.due_us <= proposer.PATIENCE_US + proposer.MAX_QUEUED_PER_KEY
        ended += len(answers(core.tick(core.due_us)))
    assert ended == proposer.MAX_QUEUED_PER_KEY


def test_many_that_contend_get_through() -> None:
    world = World(1, clients=16, loss=0.0, doubled=0.0, slow=0.0, disk_us=2_000)
    asked: list[Asked] = []
    for _ in range(10):
        for user in world.users:
            asked.append(user.ask("a", user.known.get("a", 0)))
        world.run(1_600_000)
    assert judge(world.history) == [] and all(one.how != "unknown" for one in asked)
    assert sum(one.how == "changed" for one in asked) >= 10


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
