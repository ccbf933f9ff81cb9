"""Never two holders, whatever stops, drifts or gets lost; and each guard, taken out, is missed."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet import messages as f
from oatlink.fleet.leases.holder import MAX_BODY_BYTES, Holder
from oatlink.fleet.leases.observer import MAX_TERM_US, Lease, Observer, read_lease
from tests.fleet import registers_world as registers
from tests.fleet.leases_world import MS, TERM_US, World

Make = Callable[..., Holder]


def play(seed: int, holder: Make = Holder, names: tuple[str, ...] = ("n0", "n1", "n2")) -> World:
    world = World(seed, names, holder=holder)
    world.trouble(60)
    return world


@pytest.mark.parametrize("names", [("n0", "n1", "n2"), ("n0", "n1", "n2", "n3", "n4"), ("n0", "n0", "n1")])
def test_never_two_holders_and_one_once_all_heals(names: tuple[str, ...]) -> None:
    holdings = 0
    for seed in range(80):
        world = play(seed, names=names)
        assert world.wrong == []
        holdings += len(world.fences)
        world.late = 0.0
        for node in world.nodes:
            node.stopped_until, node.lease.wanting = 0, True
            node.carry(node.lease.tick(node.clock()))
        # What is still out lands within four seconds and a term, then the term of whoever got it has to be waited for.
        world.run(7 * TERM_US)
        assert len([one for one in world.nodes if one.holds()]) == 1
        before = len(world.fences)
        world.run(5 * TERM_US)
        assert len(world.fences) == before and world.wrong == []
    assert holdings > 500


# ---- Guards taken out ----


class Hasty(Observer):
    def wait_us(self, term_us: int) -> int:
        return int(0.8 * term_us)


class CountsFromAnswer(Holder):
    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect]:
        if answer.ask in self._turns:
            self._turns[answer.ask] = now_us
        return super().answered(answer, now_us)


class SeenWhenAsked(Holder):
    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect]:
        return super().answered(answer, answer.asked_us)


class ReleasesAtTheAnswer(Holder):
    def release(self, now_us: int) -> list[f.Effect]:
        until_us = self.until_us
        effects = super().release(now_us)
        self.until_us = until_us
        return effects


class RemembersAfterRelease(Holder):
    def release(self, now_us: int) -> list[f.Effect]:
        turns = dict(self._turns)
        effects = super().release(now_us)
        self._turns |= turns
        return effects


class CountsTheUnknown(Holder):
    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect]:
        if answer.how == "unknown" and self.until_us and answer.ask in self._turns:
            self.until_us = self._turns[answer.ask] + self._term_us
        return super().answered(answer, now_us)


class KeepsItsFence(Holder):
    def _learn(self, now_us: int) -> None:
        fence = self.fence
        super()._learn(now_us)
        self.fence = fence or self.fence


class AnyIncarnation(Holder):
    @property
    def _is_own(self) -> bool:
        lease = self._observer.lease
        return lease is not None and not lease.released and lease.node == self._node


def hasty(*given: Any) -> Holder:
    one = Holder(*given)
    one._observer = Hasty(given[4])  # the drift
    return one


AT_A_RELEASE = (ReleasesAtTheAnswer, RemembersAfterRelease)
OTHERS = (CountsFromAnswer, SeenWhenAsked, CountsTheUnknown, KeepsItsFence, AnyIncarnation)


@pytest.mark.parametrize("make", [hasty, *AT_A_RELEASE, *OTHERS])
def test_a_guard_taken_out_is_found(make: Make) -> None:
    names = ("n0", "n0", "n1") if make is AnyIncarnation else ("n0", "n1", "n2")
    assert any(play(seed, make, names).wrong for seed in range(300))


# ---- The reckoning ----


@given(st.integers(1, MAX_TERM_US), st.floats(0, 0.1), st.integers(-(10**6), 10**6))
def test_the_fastest_watcher_waits_for_the_slowest_holder(term_us: int, drift: float, offset: int) -> None:
    # The holder asked, its change was made and seen, all at true time 0, the tightest there is.
    observer = Observer(drift)
    lease = Lease("n", 1, 1, term_us)
    assert observer.observe(1, msgspec.msgpack.encode(lease), offset)
    taken = (observer.free_us - offset) / (1 + drift)
    ended = term_us / (1 - drift)
    assert ended <= taken <= ended * (1 + 1e-9) + 3
    assert not observer.observe(1, msgspec.msgpack.encode(lease), offset + 10**6)  # the same version counts on


@given(st.binary(max_size=64))
def test_what_cannot_be_read_is_nobodys_and_never_over(value: bytes) -> None:
    lease = read_lease(value)
    observer = Observer(0.001)
    observer.observe(3, value, 7)
    assert lease is not None or observer.free_us == f.NEVER_US


def test_terms_out_of_bounds_are_not_read() -> None:
    for term_us in (0, -1, MAX_TERM_US + 1):
        assert read_lease(msgspec.msgpack.encode(Lease("n", 1, 1, term_us))) is None


# ---- One node ----


def holder(rank: int = 0, node: str = "n") -> Holder:
    return Holder("x", node, 1, TERM_US, 0.001, 7, rank)


def answer(effect: f.Effect, how: str, fence: int, value: bytes = b"") -> f.Answer:
    assert isinstance(effect, f.Read | f.Change)
    return f.Answer(effect.ask, "x", how, fence, value, 0)


def taken() -> tuple[Holder, f.Change]:
    one = holder()
    one.wanting = True
    (read,) = one.tick(1_000)
    assert one.answered(answer(read, "found", 0), 2_000) == [] and one.due_us < 2_000 + 250 * MS
    (change,) = one.tick(one.due_us)
    assert isinstance(change, f.Change) and change.fence == 0
    return one, change


def test_a_lease_is_taken_renewed_and_counts_from_before_it_was_asked_for() -> None:
    one, change = taken()
    began = one._asked_us
    assert one.answered(answer(change, "changed", 1, change.value), began + 300 * MS) == []
    assert one.until_us == began + TERM_US and one.fence == 1 and one.seen == "n"
    assert one.holds(one.until_us - 1) and not one.holds(one.until_us)
    assert began + TERM_US // 4 < one.due_us <= began + TERM_US // 3
    (renewal,) = one.tick(one.due_us)
    assert isinstance(renewal, f.Change) and renewal.fence == 1
    # Its end is unknown: it counts only once it is seen, and then from when it was asked for.
    renewed, until = one._asked_us, one.until_us
    one.answered(answer(renewal, "unknown", 0), renewed + 500 * MS)
    assert one.until_us == until
    (again,) = one.tick(one.due_us)
    one.answered(answer(again, "differs", 2, renewal.value), one._asked_us + MS)
    assert one.until_us == renewed + TERM_US and one.fence == 1


def test_others_take_it_from_one_who_holds_no_more() -> None:
    one, change = taken()
    one.answered(answer(change, "changed", 1, change.value), one.due_us - 9 * 10**6)
    (renewal,) = one.tick(one.due_us)
    other = msgspec.msgpack.encode(Lease("m", 1, 1, TERM_US))
    now = one._asked_us + MS
    one.answered(answer(renewal, "differs", 2, other), now)
    assert not one.holds(now) and one.seen == "m"
    one.wanting = False
    one.tick(now + 2 * TERM_US)
    assert one.seen == ""


def test_who_only_looks_reads_at_each_third_and_takes_nothing() -> None:
    one = holder()
    assert one.tick(0) == [] and one.due_us == f.NEVER_US
    one.looking = True
    reads, now = 0, 0
    other = msgspec.msgpack.encode(Lease("m", 1, 1, TERM_US, body=b"told"))
    while now < 10 * TERM_US:
        for effect in one.tick(now):
            assert isinstance(effect, f.Read)
            reads += 1
            one.answered(answer(effect, "found", 1 + reads, other), now)
            assert one.seen == "m" and one.seen_body == b"told"
        now = one.due_us
    assert 29 <= reads <= 31


def test_a_release_in_the_middle_of_a_renewal_is_asked_for_after_it() -> None:
    one, change = taken()
    one.body = b"v" * (MAX_BODY_BYTES + 1)
    one.answered(answer(change, "changed", 1, change.value), one._asked_us)
    note, renewal = one.tick(one.due_us)
    assert isinstance(note, f.Note) and isinstance(renewal, f.Change)
    now = one._asked_us
    assert one.release(now) == [] and not one.holds(now)
    (release,) = one.answered(answer(renewal, "changed", 2, renewal.value), now + MS)
    assert isinstance(release, f.Change) and release.fence == 2 and not one.holds(now + MS)
    lease = read_lease(release.value)
    assert lease is not None and lease.released
    assert one.answered(answer(release, "changed", 3, release.value), now + 2 * MS) == []
    assert one.seen == "" and one.answered(answer(release, "found", 9), now) == []
    # Free: the next one may take it at once, the lower rank first.
    other = holder(3, "m")
    other.wanting = True
    (read,) = other.tick(now)
    assert other.answered(answer(read, "found", 3, release.value), now) == []
    assert now + 750 * MS <= other._take_us < now + 875 * MS and other.due_us == now + TERM_US // 3


# ---- Leases over registers ----


class Leasing(registers.Client):
    """A client whose registers are used by a lease, and by nothing else."""

    lease: Holder | None = None

    def start(self) -> None:
        super().start()
        term_us, rank = 600 * MS, int(self.name[1:])
        self.lease = Holder("lease", self.name, self.incarnation, term_us, 0.0, self.world.seed, rank)
        self.lease.wanting = True
        self.look(self.incarnation)

    def look(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.lease is not None:
            self.carry(self.lease.tick(self.world.now))
            self.world.later(10 * MS, lambda: self.look(incarnation))

    def carry(self, effects: registers.Effects) -> None:
        assert self.lease is not None
        now = self.world.now
        for one in effects:
            if isinstance(one, f.Read):
                self.carry(self.core.read(one.ask, one.key, now))
            elif isinstance(one, f.Change):
                self.carry(self.core.change(one.ask, one.key, one.fence, one.value, now))
            elif isinstance(one, f.Answer):
                self.carry(self.lease.answered(one, now))
        super().carry([one for one in effects if isinstance(one, f.Tell)])


@pytest.mark.parametrize("blank", [False, True])
def test_leases_over_registers_whose_keepers_crash_and_lose_their_files(blank: bool) -> None:
    twice = held = 0
    for seed in range(30):
        world = registers.World(seed, clients=0, sabotage=registers.Sabotage(blank=blank))
        users = [Leasing(world, f"p{number}") for number in range(3)]
        world.nodes |= {one.name: one for one in users}
        keepers = [one for one in world.nodes.values() if isinstance(one, registers.Keeper)]
        for _ in range(300):
            if world.rng.random() < 0.1:
                world.blind[world.rng.choice(users).name] = world.rng.choice(world.keepers)
            if world.rng.random() < 0.2:
                world.break_one(world.rng.choice(keepers), keepers, 0.5)
            if world.rng.random() < 0.02:
                world.rng.choice(users).start()
            world.run(world.rng.randrange(40 * MS))
            here = [one for one in users if one.lease is not None and one.lease.holds(world.now)]
            twice += len(here) > 1
            held += len(here) == 1
    assert (twice > 0) is blank and held > 3_000
