"""No two nodes hold a lease at once, whatever fails, and each safety measure that is taken out is found missing."""

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
    world.inject_faults(60)
    return world


@pytest.mark.parametrize("names", [("n0", "n1", "n2"), ("n0", "n1", "n2", "n3", "n4"), ("n0", "n0", "n1")])
def test_never_two_holders_and_one_once_all_heals(names: tuple[str, ...]) -> None:
    holdings = 0
    for seed in range(80):
        world = play(seed, names=names)
        assert world.violations == []
        holdings += len(world.fences)
        world.late = 0.0
        for node in world.nodes:
            node.stopped_until, node.lease.wanting = 0, True
            node.carry_out(node.lease.tick(node.clock()))
        # Changes under way take effect within four seconds and a term; then the term of the last holder has to pass.
        world.run(7 * TERM_US)
        assert len([one for one in world.nodes if one.holds()]) == 1
        before = len(world.fences)
        world.run(5 * TERM_US)
        assert len(world.fences) == before and world.violations == []
    assert holdings > 500


# ---- Mutations ----


class HastyObserver(Observer):
    def wait_us(self, term_us: int) -> int:
        return int(0.8 * term_us)


class TermFromTheAnswer(Holder):
    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect]:
        if answer.ask in self._turns:
            self._turns[answer.ask] = now_us
        return super().answered(answer, now_us)


class ObservedFromTheRequest(Holder):
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


class CountsUnknownChanges(Holder):
    def answered(self, answer: f.Answer, now_us: int) -> list[f.Effect]:
        if answer.how == "unknown" and self.until_us and answer.ask in self._turns:
            self.until_us = self._turns[answer.ask] + self._term_us
        return super().answered(answer, now_us)


class KeepsTheFirstFence(Holder):
    def _learn(self, now_us: int) -> None:
        fence = self.fence
        super()._learn(now_us)
        self.fence = fence or self.fence


class AnyIncarnation(Holder):
    @property
    def _is_own(self) -> bool:
        lease = self._observer.lease
        return lease is not None and not lease.released and lease.node == self._node


def with_hasty_observer(*args: Any) -> Holder:
    holder = Holder(*args)
    holder._observer = HastyObserver(args[4])  # the drift
    return holder


AT_A_RELEASE = (ReleasesAtTheAnswer, RemembersAfterRelease)
OTHERS = (TermFromTheAnswer, ObservedFromTheRequest, CountsUnknownChanges, KeepsTheFirstFence, AnyIncarnation)


@pytest.mark.parametrize("make", [with_hasty_observer, *AT_A_RELEASE, *OTHERS])
def test_a_guard_taken_out_is_found(make: Make) -> None:
    names = ("n0", "n0", "n1") if make is AnyIncarnation else ("n0", "n1", "n2")
    assert any(play(seed, make, names).violations for seed in range(300))


# ---- The observer ----


@given(st.integers(1, MAX_TERM_US), st.floats(0, 0.1), st.integers(-(10**6), 10**6))
def test_the_fastest_watcher_waits_for_the_slowest_holder(term_us: int, drift: float, offset: int) -> None:
    # The tightest case: the change was requested, made and seen all at true time 0.
    observer = Observer(drift)
    lease = Lease("n", 1, 1, term_us)
    assert observer.observe(1, msgspec.msgpack.encode(lease), offset)
    taken = (observer.free_us - offset) / (1 + drift)
    ended = term_us / (1 - drift)
    assert ended <= taken <= ended * (1 + 1e-9) + 3
    assert not observer.observe(1, msgspec.msgpack.encode(lease), offset + 10**6)  # the same version again


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
    lease_holder = holder()
    lease_holder.wanting = True
    (read,) = lease_holder.tick(1_000)
    assert lease_holder.answered(answer(read, "found", 0), 2_000) == [] and lease_holder.due_us < 2_000 + 250 * MS
    (change,) = lease_holder.tick(lease_holder.due_us)
    assert isinstance(change, f.Change) and change.fence == 0
    return lease_holder, change


def test_a_lease_is_taken_renewed_and_counts_from_before_it_was_asked_for() -> None:
    lease_holder, change = taken()
    began = lease_holder._asked_us
    assert lease_holder.answered(answer(change, "changed", 1, change.value), began + 300 * MS) == []
    assert lease_holder.until_us == began + TERM_US and lease_holder.fence == 1 and lease_holder.seen == "n"
    assert lease_holder.holds(lease_holder.until_us - 1) and not lease_holder.holds(lease_holder.until_us)
    assert began + TERM_US // 4 < lease_holder.due_us <= began + TERM_US // 3
    (renewal,) = lease_holder.tick(lease_holder.due_us)
    assert isinstance(renewal, f.Change) and renewal.fence == 1
    # The result of the renewal is unknown: it counts only once it is seen, and then from when it was requested.
    renewed, until = lease_holder._asked_us, lease_holder.until_us
    lease_holder.answered(answer(renewal, "unknown", 0), renewed + 500 * MS)
    assert lease_holder.until_us == until
    (again,) = lease_holder.tick(lease_holder.due_us)
    lease_holder.answered(answer(again, "differs", 2, renewal.value), lease_holder._asked_us + MS)
    assert lease_holder.until_us == renewed + TERM_US and lease_holder.fence == 1


def test_others_take_it_from_one_who_holds_no_more() -> None:
    lease_holder, change = taken()
    lease_holder.answered(answer(change, "changed", 1, change.value), lease_holder.due_us - 9 * 10**6)
    (renewal,) = lease_holder.tick(lease_holder.due_us)
    other = msgspec.msgpack.encode(Lease("m", 1, 1, TERM_US))
    now = lease_holder._asked_us + MS
    lease_holder.answered(answer(renewal, "differs", 2, other), now)
    assert not lease_holder.holds(now) and lease_holder.seen == "m"
    lease_holder.wanting = False
    lease_holder.tick(now + 2 * TERM_US)
    assert lease_holder.seen == ""


def test_who_only_looks_reads_at_each_third_and_takes_nothing() -> None:
    lease_holder = holder()
    assert lease_holder.tick(0) == [] and lease_holder.due_us == f.NEVER_US
    lease_holder.looking = True
    reads, now = 0, 0
    other = msgspec.msgpack.encode(Lease("m", 1, 1, TERM_US, body=b"told"))
    while now < 10 * TERM_US:
        for effect in lease_holder.tick(now):
            assert isinstance(effect, f.Read)
            reads += 1
            lease_holder.answered(answer(effect, "found", 1 + reads, other), now)
            assert lease_holder.seen == "m" and lease_holder.seen_body == b"told"
        now = lease_holder.due_us
    assert 29 <= reads <= 31


def test_a_release_in_the_middle_of_a_renewal_is_asked_for_after_it() -> None:
    lease_holder, change = taken()
    lease_holder.body = b"v" * (MAX_BODY_BYTES + 1)
    lease_holder.answered(answer(change, "changed", 1, change.value), lease_holder._asked_us)
    note, renewal = lease_holder.tick(lease_holder.due_us)
    assert isinstance(note, f.Note) and isinstance(renewal, f.Change)
    now = lease_holder._asked_us
    assert lease_holder.release(now) == [] and not lease_holder.holds(now)
    (release,) = lease_holder.answered(answer(renewal, "changed", 2, renewal.value), now + MS)
    assert isinstance(release, f.Change) and release.fence == 2 and not lease_holder.holds(now + MS)
    lease = read_lease(release.value)
    assert lease is not None and lease.released
    assert lease_holder.answered(answer(release, "changed", 3, release.value), now + 2 * MS) == []
    assert lease_holder.seen == "" and lease_holder.answered(answer(release, "found", 9), now) == []
    # The lease is free: the next node may take it at once, one with a lower rank first.
    other = holder(3, "m")
    other.wanting = True
    (read,) = other.tick(now)
    assert other.answered(answer(read, "found", 3, release.value), now) == []
    assert now + 750 * MS <= other._take_us < now + 875 * MS and other.due_us == now + TERM_US // 3


# ---- Leases over registers ----


class Leasing(registers.Client):
    """A client whose registers are used only by a lease."""

    lease: Holder | None = None

    def start(self) -> None:
        super().start()
        term_us, rank = 600 * MS, int(self.name[1:])
        self.lease = Holder("lease", self.name, self.incarnation, term_us, 0.0, self.world.seed, rank)
        self.lease.wanting = True
        self.look(self.incarnation)

    def look(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.lease is not None:
            self.carry_out(self.lease.tick(self.world.now))
            self.world.later(10 * MS, lambda: self.look(incarnation))

    def carry_out(self, effects: registers.Effects) -> None:
        assert self.lease is not None
        now = self.world.now
        for one in effects:
            if isinstance(one, f.Read):
                self.carry_out(self.core.read(one.ask, one.key, now))
            elif isinstance(one, f.Change):
                self.carry_out(self.core.change(one.ask, one.key, one.fence, one.value, now))
            elif isinstance(one, f.Answer):
                self.carry_out(self.lease.answered(one, now))
        super().carry_out([one for one in effects if isinstance(one, f.Tell)])


@pytest.mark.parametrize("blank", [False, True])
def test_leases_over_registers_whose_keepers_crash_and_lose_their_files(blank: bool) -> None:
    twice = held = 0
    for seed in range(30):
        world = registers.World(seed, clients=0, mutations=registers.Mutations(blank=blank))
        users = [Leasing(world, f"p{number}") for number in range(3)]
        world.nodes |= {one.name: one for one in users}
        keepers = [one for one in world.nodes.values() if isinstance(one, registers.Keeper)]
        for _ in range(300):
            if world.rng.random() < 0.1:
                world.unreachable[world.rng.choice(users).name] = world.rng.choice(world.keepers)
            if world.rng.random() < 0.2:
                world.crash_one(world.rng.choice(keepers), keepers, 0.5)
            if world.rng.random() < 0.02:
                world.rng.choice(users).start()
            world.run(world.rng.randrange(40 * MS))
            holders = [user for user in users if user.lease is not None and user.lease.holds(world.now)]
            twice += len(holders) > 1
            held += len(holders) == 1
    assert (twice > 0) is blank and held > 3_000
