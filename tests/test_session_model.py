"""Checks a router under random writes and reads of a few sessions against the model of `session_world`.

Each known fault by which a session's read missed its own write is also brought back by a mutation, which the same state
machine has to find.
"""

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule, run_state_machine_as_test

from oatlink.interface import Outcome
from oatlink.router_state import Request, RouterState
from oatlink.rules import queueing, sending, sessions
from tests.session_world import MEMBERS, SESSIONS, OpenAttempt, World

NEVER_RAN = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.MISS)
WITHOUT_ANSWER = (Outcome.RESET, Outcome.LATE, Outcome.CANCELLED)
PAUSES_US = (1, 1_000, 1_000, 20_000, 20_000, 150_000, 600_000, 2_000_000)


class SessionReads(RuleBasedStateMachine):
    """Writes and reads of few sessions at one router; the world checks each read as it is written."""

    world: World

    @initialize(max_open=st.sampled_from((1, 2, 100)))
    def start(self, max_open: int) -> None:
        self.world = World.start(max_open)

    @rule(
        kind=st.sampled_from(("submit", "post", "own")),
        session=st.sampled_from(SESSIONS),
        after_us=st.sampled_from((0, 1_000, 20_000)),
        is_written=st.sampled_from((True, True, False)),
        is_committed=st.booleans(),
    )
    def request(self, kind: str, session: str, after_us: int, is_written: bool, is_committed: bool) -> None:
        """A request comes; most often its connection is there, and its write may be committed right after."""
        self.world.wait(after_us)
        self.world.arrive(kind, session)
        if is_written:
            for attempt in [one for one in self.world.open if not one.is_written]:
                self.world.write_out(attempt)
        self.world.wait(1)
        for write in self.world.writes:
            if is_committed and self.world.may_commit(write):
                self.world.commit(write)

    @precondition(lambda self: any(not one.is_written for one in self.world.open))
    @rule(which=st.integers(0, 9))
    def connection(self, which: int) -> None:
        waiting = [one for one in self.world.open if not one.is_written]
        self.world.write_out(waiting[which % len(waiting)])

    @precondition(lambda self: any(self.world.may_commit(one) for one in self.world.writes))
    @rule(which=st.integers(0, 9))
    def commit(self, which: int) -> None:
        may = [one for one in self.world.writes if self.world.may_commit(one)]
        self.world.commit(may[which % len(may)])

    def _written(self, which: int) -> OpenAttempt:
        written = [one for one in self.world.open if one.is_written]
        return written[which % len(written)]

    @precondition(lambda self: any(one.is_written for one in self.world.open))
    @rule(which=st.integers(0, 9), with_position=st.booleans())
    def served(self, which: int, with_position: bool) -> None:
        attempt = self._written(which)
        write = attempt.write
        if write is not None and write.committed_us is None:
            if not self.world.may_commit(write):
                return
            self.world.commit(write)
        self.world.end(attempt, Outcome.SERVED, with_position=with_position)

    @precondition(lambda self: any(one.is_written for one in self.world.open))
    @rule(which=st.integers(0, 9), outcome=st.sampled_from(WITHOUT_ANSWER))
    def cut_off(self, which: int, outcome: Outcome) -> None:
        self.world.end(self._written(which), outcome)

    @precondition(lambda self: any(one.is_written for one in self.world.open))
    @rule(which=st.integers(0, 9), outcome=st.sampled_from(NEVER_RAN))
    def turned_away(self, which: int, outcome: Outcome) -> None:
        attempt = self._written(which)
        if attempt.write is None or attempt.write.committed_us is None:
            self.world.end(attempt, outcome)

    @precondition(lambda self: self.world.open)
    @rule(which=st.integers(0, 9), chance=st.integers(0, 2))
    def client_leaves(self, which: int, chance: int) -> None:
        if chance == 0:
            self.world.leave(self.world.open[which % len(self.world.open)].send.request)

    @precondition(lambda self: self.world.checks)
    @rule(which=st.integers(0, 9), is_well=st.sampled_from((True, True, True, False)))
    def check_ends(self, which: int, is_well: bool) -> None:
        self.world.answer_check(self.world.checks[which % len(self.world.checks)], is_well)

    @rule(member=st.sampled_from(MEMBERS), behind_us=st.sampled_from((0, 0, 30_000, 400_000)))
    def replica_applies(self, member: int, behind_us: int) -> None:
        self.world.apply(member, self.world.driver.now - behind_us)

    @rule(member=st.sampled_from(MEMBERS), chance=st.integers(0, 9))
    def election(self, member: int, chance: int) -> None:
        if chance == 0:
            self.world.elect(member)

    @rule(us=st.sampled_from(PAUSES_US))
    def time_passes(self, us: int) -> None:
        self.world.wait(us)


def play(examples: int, phases: tuple[Phase, ...] = tuple(Phase)) -> None:
    """Run the state machine with the same examples each time."""
    run_state_machine_as_test(
        SessionReads,
        settings=settings(
            max_examples=examples,
            stateful_step_count=40,
            derandomize=True,
            database=None,
            deadline=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_a_sessions_read_sees_each_write_that_may_have_been_committed() -> None:
    play(300)


# ---- Mutations ----


def _needs_as_known_at_arrival(patch: pytest.MonkeyPatch) -> None:
    original = sessions.min_position_us
    first_needs = dict[int, tuple[Request, int]]()  # keeps each request alive, so that its `id` is not reused

    def need_at_arrival(state: RouterState, request: Request, by_us: int) -> int:
        return first_needs.setdefault(id(request), (request, original(state, request, by_us)))[1]

    patch.setattr(sessions, "min_position_us", need_at_arrival)


def _open_writes_bind_nobody(patch: pytest.MonkeyPatch) -> None:
    original = sessions.min_position_us

    def without_open_writes(state: RouterState, request: Request, by_us: int) -> int:
        open_writes, state.open_session_writes = state.open_session_writes, type(state.open_session_writes)()
        position_us = original(state, request, by_us)
        state.open_session_writes = open_writes
        return position_us

    patch.setattr(sessions, "min_position_us", without_open_writes)


def _unanswered_writes_bind_nobody(patch: pytest.MonkeyPatch) -> None:
    original = sessions.settle_write

    def discard_unanswered(
        state: RouterState, write: Request, position_us: int | None = None, is_over: bool = False
    ) -> None:
        if is_over:
            state.open_session_writes.remove(write)
        original(state, write, position_us, is_over)

    patch.setattr(sessions, "settle_write", discard_unanswered)


def _unanswered_writes_bind_at_their_end(patch: pytest.MonkeyPatch) -> None:
    original = sessions.settle_write

    def settle_at_end(
        state: RouterState, write: Request, position_us: int | None = None, is_over: bool = False
    ) -> None:
        original(
            state,
            write,
            state.now_us if is_over and position_us is None and write.may_have_run else position_us,
            is_over,
        )

    patch.setattr(sessions, "settle_write", settle_at_end)


def _writes_of_clients_that_left_bind_nobody(patch: pytest.MonkeyPatch) -> None:
    original = queueing.forget

    def forget_with_writes(state: RouterState, request_id: str, has_left: bool = False) -> None:
        request = state.requests.get(request_id)
        if has_left and request is not None:
            state.open_session_writes.remove(request)
        original(state, request_id)

    patch.setattr(queueing, "forget", forget_with_writes)


def _forgotten_sessions_bind_nobody(patch: pytest.MonkeyPatch) -> None:
    original = RouterState.record_session_write

    def record_without_bound(state: RouterState, session: str, position_us: int) -> None:
        original(state, session, position_us)
        state.forgotten_position_us = -1

    patch.setattr(RouterState, "record_session_write", record_without_bound)


def _no_check_before_the_write(patch: pytest.MonkeyPatch) -> None:
    original = sending.may_write

    def may_write(state: RouterState, request: Request, member: object, sent_us: int) -> bool:
        return sent_us < state.now_us or original(state, request, member, sent_us)  # type: ignore[arg-type]

    patch.setattr(sending, "may_write", may_write)


MUTATIONS: tuple[Callable[[pytest.MonkeyPatch], None], ...] = (
    _needs_as_known_at_arrival,
    _open_writes_bind_nobody,
    _unanswered_writes_bind_nobody,
    _unanswered_writes_bind_at_their_end,
    _writes_of_clients_that_left_bind_nobody,
    _forgotten_sessions_bind_nobody,
    _no_check_before_the_write,
)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.__name__.strip("_"))
def test_the_model_finds_each_mutation(
    mutation: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation(monkeypatch)
    with pytest.raises(AssertionError, match=r"read of . at "):
        play(1_500, phases=(Phase.generate,))  # the first failing example is enough, no need to shrink it
