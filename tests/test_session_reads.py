"""A session's read sees each write of its session that may have been committed before the read is sent."""

import pytest

from oatlink import interface as api
from oatlink.interface import Outcome, Role
from oatlink.pending import PendingQueue
from oatlink.state import Request
from tests.conftest import SUBMIT, Driver, sends

PRIMARY = 1


def remembering(**changes: object) -> Driver:
    """A router that remembers what sessions have written; its replicas are 50 ms behind."""
    driver = Driver(router_remembers_sessions=True, **changes).ready()
    driver.skip(50_000)
    return driver


def sent(actions: list[api.Action]) -> api.Send:
    """The one attempt that was started."""
    (attempt,) = sends(actions)
    return attempt


def read_by(driver: Driver, session: str) -> int:
    """The member that a session's read is sent to now; the read is served."""
    read = sent(driver.arrive("own", session=session))
    driver.ended(read, Outcome.SERVED)
    return read.member


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.LATE, Outcome.CANCELLED])
def test_a_write_that_ended_without_an_answer_binds_its_sessions_reads(outcome: Outcome) -> None:
    """A client did not see its own write where the write's connection had broken.

    The write had reached the primary, which committed it, but its answer was lost. The router remembered a write only
    when it was answered with a position, so the session's next read went to any replica. Observatory, brink seed 82301,
    day 5, node n1: write 403 was sent at 7.685 s and ended RESET at 8.023 s, no byte of an answer read; read 432 of the
    same session came at 8.054 s with `need -1`, went to a replica at 1002.871 s and was 5.158 s too old.
    """
    driver = remembering()
    write = sent(driver.arrive("submit", session="s"))
    driver.skip(20_000)
    driver.ended(write, outcome)
    driver.skip(1_000)
    if outcome is Outcome.RESET:
        driver.checked(PRIMARY, Role.PRIMARY)
    assert read_by(driver, "s") == PRIMARY
    assert read_by(driver, "other") != PRIMARY


def test_an_open_write_binds_its_sessions_reads() -> None:
    """A client did not see its own write where it had not waited for the write's answer.

    A write is committed before its answer is here. A read that came meanwhile needed nothing and went to any replica.
    Observatory, brink seed 82301, day 14, node n2: read 33 was sent at 3.188 s with `need -1` to a replica of unknown
    position, while write 30 of its session, sent 31 ms before, was open; the write was answered at 3.214 s.
    """
    driver = remembering()
    write = sent(driver.arrive("submit", session="s"))
    driver.skip(31_000)
    read = sent(driver.arrive("own", session="s"))
    assert read.member == PRIMARY
    assert read_by(driver, "other") != PRIMARY
    driver.ended(write, Outcome.SERVED, answer=api.Report(driver.now, Role.PRIMARY))
    assert driver.router.may_write(read.request, 0, driver.now), "the primary has it, whatever has ended meanwhile"


def test_a_pending_read_is_ordered_and_sent_by_what_its_session_has_written_since() -> None:
    """A read that waited for a free server went to a replica that had not got its session's newer write."""
    driver = remembering()
    write = sent(driver.arrive("submit", session="s"))
    group = driver.router.state.groups[1]
    for replica in (2, 3):
        group.members[replica].paused_until_us = driver.now + 10_000
    group.members[PRIMARY].concurrency_limit = 1.0
    assert not sends(driver.arrive("own", session="s")) and not sends(driver.arrive("own", session="other"))
    group.members[PRIMARY].paused_until_us = driver.now + 200_000
    driver.ended(write, Outcome.SERVED, answer=api.Report(driver.now, Role.PRIMARY))
    done = driver.wait(100_000)
    assert [send.request for send in sends(done) if send.member in (2, 3)] == ["r4"], "only the other session's"


def test_a_write_moves_only_its_own_sessions_pending_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    driver = remembering()
    write = sent(driver.arrive("submit", session="s"))
    book = driver.router.state
    book.groups[1].members[PRIMARY].concurrency_limit = 1.0
    for number in range(10_000):
        session = "s" if number % 5_000 == 0 else f"other {number}"
        book.record_session_write(session, driver.now + 1)  # no replica has it yet
        driver.arrive("own", session=session)
    assert len(book.pending[1]) > 9_900
    moved: list[str | None] = []
    put = PendingQueue.add

    def counted(row: PendingQueue, request: Request, need: int) -> None:
        moved.append(request.session)
        put(row, request, need)

    monkeypatch.setattr(PendingQueue, "add", counted)
    driver.ended(write, Outcome.SERVED, answer=api.Report(driver.now + 2, Role.PRIMARY))
    assert moved.count("s") >= 2 and len(moved) < 10


def test_a_write_that_never_ran_binds_nobody() -> None:
    driver = remembering()
    write = sent(driver.arrive("submit", session="s"))
    driver.skip(1_000)
    driver.ended(write, Outcome.FULL)
    assert read_by(driver, "s") != PRIMARY
    assert not driver.router.state.open_session_writes.by_session and not driver.router.state.session_positions


def test_an_unanswered_write_binds_until_a_replica_stands_where_it_must_have_ended() -> None:
    """By its client's time and the class's deadline after it, whatever was sent has ended wherever it ran."""
    driver = remembering()
    write = sent(driver.arrive("submit", session="s", expires=1_000_000))
    driver.skip(1_000_000)
    driver.ended(write, Outcome.LATE)
    settled_us = driver.now + SUBMIT.deadline_us
    assert driver.router.state.session_positions == {"s": settled_us}
    driver.skip(SUBMIT.deadline_us - 10_000)
    driver.checked(PRIMARY, Role.PRIMARY)
    driver.checked(2, Role.REPLICA)
    assert read_by(driver, "s") == PRIMARY
    driver.skip(20_000)
    driver.checked(2, Role.REPLICA)
    assert read_by(driver, "s") == 2, "the other replica is older"


def test_a_write_that_was_answered_without_a_position_binds_at_its_answer() -> None:
    driver = remembering()
    write = sent(driver.arrive("submit", session="s"))
    driver.skip(10_000)
    driver.ended(write, Outcome.SERVED)
    assert driver.router.state.session_positions == {"s": driver.now}
