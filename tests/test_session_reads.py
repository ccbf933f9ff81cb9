"""A session's read sees each write of its session that may have been committed before the read is sent."""

import pytest

from oatlink import interface as api
from oatlink.interface import Outcome, Role
from oatlink.pending import PendingQueue
from oatlink.state import Request
from tests.conftest import SUBMIT, Driver, only_send, sends

PRIMARY = 1


def session_driver(**changes: object) -> Driver:
    """A router that records the writes of sessions; its replicas are 50 ms behind."""
    driver = Driver(router_remembers_sessions=True, **changes).ready()
    driver.skip(50_000)
    return driver


def member_for_read(driver: Driver, session: str) -> int:
    """Send a read of the session, let it be served, and return the member that got it."""
    read = only_send(driver.arrive("own", session=session))
    driver.ended(read, Outcome.SERVED)
    return read.member


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.LATE, Outcome.CANCELLED])
def test_a_write_that_ended_without_an_answer_binds_its_sessions_reads(outcome: Outcome) -> None:
    """A client must see its own write after the write's connection broke.

    The primary had committed the write, but its answer was lost. The router recorded a write only when it was answered
    with a position, so the session's next read went to any replica. Seen in Observatory, brink seed 82301, day 5, node
    n1: write 403 was sent at 7.685 s and ended with RESET at 8.023 s, before any byte of an answer; read 432 of its
    session arrived at 8.054 s with `need -1`, went to a replica at 1002.871 s and was 5.158 s too old.
    """
    driver = session_driver()
    write = only_send(driver.arrive("submit", session="s"))
    driver.skip(20_000)
    driver.ended(write, outcome)
    driver.skip(1_000)
    if outcome is Outcome.RESET:
        driver.checked(PRIMARY, Role.PRIMARY)
    assert member_for_read(driver, "s") == PRIMARY
    assert member_for_read(driver, "other") != PRIMARY


def test_an_open_write_binds_its_sessions_reads() -> None:
    """A client must see its own write even if it does not wait for the write's answer.

    A write is committed before its answer arrives. A read that arrived in between had no required position and went to
    any replica. Seen in Observatory, brink seed 82301, day 14, node n2: read 33 was sent at 3.188 s with `need -1` to a
    replica of unknown position, while write 30 of its session, sent 31 ms before, was open; the write was answered at
    3.214 s.
    """
    driver = session_driver()
    write = only_send(driver.arrive("submit", session="s"))
    driver.skip(31_000)
    read = only_send(driver.arrive("own", session="s"))
    assert read.member == PRIMARY
    assert member_for_read(driver, "other") != PRIMARY
    driver.ended(write, Outcome.SERVED, answer=api.Report(driver.now, Role.PRIMARY))
    assert driver.router.may_write(read.request, 0, driver.now), "the primary has the write, whatever has ended since"


def test_a_pending_read_is_ordered_and_sent_by_its_sessions_latest_write() -> None:
    """A read that waited for a free member went to a replica without its session's newer write."""
    driver = session_driver()
    write = only_send(driver.arrive("submit", session="s"))
    group = driver.router.state.groups[1]
    for replica in (2, 3):
        group.members[replica].paused_until_us = driver.now + 10_000
    group.members[PRIMARY].concurrency_limit = 1.0
    assert not sends(driver.arrive("own", session="s")) and not sends(driver.arrive("own", session="other"))
    group.members[PRIMARY].paused_until_us = driver.now + 200_000
    driver.ended(write, Outcome.SERVED, answer=api.Report(driver.now, Role.PRIMARY))
    actions = driver.wait(100_000)
    assert [send.request for send in sends(actions) if send.member in (2, 3)] == ["r4"], "only the other session's"


def test_a_write_requeues_only_its_own_sessions_pending_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    driver = session_driver()
    write = only_send(driver.arrive("submit", session="s"))
    state = driver.router.state
    state.groups[1].members[PRIMARY].concurrency_limit = 1.0
    for number in range(10_000):
        session = "s" if number % 5_000 == 0 else f"other {number}"
        state.record_session_write(session, driver.now + 1)  # no replica has it yet
        driver.arrive("own", session=session)
    assert len(state.pending[1]) > 9_900
    requeued_sessions: list[str | None] = []
    add = PendingQueue.add

    def recording_add(queue: PendingQueue, request: Request, need: int) -> None:
        requeued_sessions.append(request.session)
        add(queue, request, need)

    monkeypatch.setattr(PendingQueue, "add", recording_add)
    driver.ended(write, Outcome.SERVED, answer=api.Report(driver.now + 2, Role.PRIMARY))
    assert requeued_sessions.count("s") >= 2 and len(requeued_sessions) < 10


def test_a_write_that_never_ran_binds_nobody() -> None:
    driver = session_driver()
    write = only_send(driver.arrive("submit", session="s"))
    driver.skip(1_000)
    driver.ended(write, Outcome.FULL)
    assert member_for_read(driver, "s") != PRIMARY
    assert not driver.router.state.open_session_writes.by_session and not driver.router.state.session_positions


def test_an_unanswered_write_binds_until_a_replica_has_passed_its_latest_possible_commit() -> None:
    """No member can still commit a write once its client's time and then the class's deadline have passed."""
    driver = session_driver()
    write = only_send(driver.arrive("submit", session="s", expires=1_000_000))
    driver.skip(1_000_000)
    driver.ended(write, Outcome.LATE)
    settled_us = driver.now + SUBMIT.deadline_us
    assert driver.router.state.session_positions == {"s": settled_us}
    driver.skip(SUBMIT.deadline_us - 10_000)
    driver.checked(PRIMARY, Role.PRIMARY)
    driver.checked(2, Role.REPLICA)
    assert member_for_read(driver, "s") == PRIMARY
    driver.skip(20_000)
    driver.checked(2, Role.REPLICA)
    assert member_for_read(driver, "s") == 2, "the other replica is further behind"


def test_a_write_answered_without_a_position_binds_at_the_time_of_its_answer() -> None:
    driver = session_driver()
    write = only_send(driver.arrive("submit", session="s"))
    driver.skip(10_000)
    driver.ended(write, Outcome.SERVED)
    assert driver.router.state.session_positions == {"s": driver.now}
