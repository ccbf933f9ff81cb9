"""A session's read sees each write of its session that may have been committed before the read is sent."""

import pytest

from oatlink import interface as api
from oatlink.interface import Outcome, Role
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
