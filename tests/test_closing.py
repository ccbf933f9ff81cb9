"""The end of a connection, as its state machine says it: random orders of events, with no socket."""

from collections.abc import Iterator
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from oatlink.transport.closing import Closing, State, Step

LINGER_US = 1_000_000
MAX_DISCARDED_BYTES = 1_000
CHUNK = 400  # bytes that come at once
ORDER = tuple(State)


@dataclass(frozen=True)
class Drain:
    ignores_input: bool


@dataclass(frozen=True)
class Settle:
    has_pending_answers: bool
    has_unsent_bytes: bool


@dataclass(frozen=True)
class Came:
    size: int


@dataclass(frozen=True)
class Passed:
    us: int  # then a look at the clock


@dataclass(frozen=True)
class Ended:
    pass


Event = Drain | Settle | Came | Passed | Ended
DRAINS = st.builds(Drain, st.booleans())
SETTLES = st.builds(Settle, st.booleans(), st.booleans())
CAMES = st.builds(Came, st.integers(0, CHUNK))
TIMES = st.builds(Passed, st.integers(0, 2 * LINGER_US))
EVENTS = st.lists(st.one_of(DRAINS, SETTLES, CAMES, TIMES, st.just(Ended())), max_size=40)
LIVE = st.lists(st.one_of(DRAINS, SETTLES, CAMES, TIMES), max_size=40)  # the peer ends nothing


def carry_out(closing: Closing, events: list[Event]) -> Iterator[tuple[Event, State, Step, int]]:
    """Each event as an owner gives it, with the state before it, what is to be done, and when."""
    now_us = 0
    for event in events:
        before, step = closing.state, Step.NONE
        match event:
            case Drain():
                closing.drain(event.ignores_input)
            case Settle():
                step = closing.settle(event.has_pending_answers, event.has_unsent_bytes, now_us)
            case Came() if closing.discards:
                step = closing.discard(event.size)
            case Passed():
                now_us += event.us
                step = closing.expire(now_us)
            case Ended():
                step = closing.close()
        yield event, before, step, now_us


@given(EVENTS, st.sampled_from((0, LINGER_US)))
def test_the_state_only_goes_on_and_each_step_is_told_once(events: list[Event], linger_us: int) -> None:
    closing = Closing(linger_us, MAX_DISCARDED_BYTES)
    told: list[Step] = []
    for event, before, step, _ in carry_out(closing, events):
        assert ORDER.index(closing.state) >= ORDER.index(before)
        if step is not Step.NONE:
            told.append(step)
        if step is Step.SHUT_DOWN:
            assert event == Settle(False, False), "said while something was owed or unsent"
            assert before is State.DRAINING and closing.state is State.HALF_CLOSED
        assert (step is Step.CLOSE) == (closing.state is State.CLOSED and before is not State.CLOSED)
    assert told in ([], [Step.SHUT_DOWN], [Step.CLOSE], [Step.SHUT_DOWN, Step.CLOSE])
    assert linger_us or Step.SHUT_DOWN not in told, "nothing is waited for"


@given(EVENTS)
def test_no_request_is_taken_once_it_ends_and_none_is_read_once_our_side_is_shut_down(events: list[Event]) -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    drained = deaf = False
    for event, _, _, _ in carry_out(closing, events):
        drained = drained or isinstance(event, Drain | Ended) or closing.state is not State.OPEN
        deaf = deaf or event == Drain(True)
        assert closing.accepts_requests == (not drained)
        assert closing.discards == (deaf or closing.state in (State.HALF_CLOSED, State.CLOSED))


@given(LIVE, st.lists(st.tuples(st.integers(0, LINGER_US // 4), st.booleans()), min_size=16))
def test_one_that_owes_nothing_closes_within_two_lingers(events: list[Event], looks: list[tuple[int, bool]]) -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    *_, (_, _, _, from_us) = carry_out(closing, [*events, Drain(False)])
    now_us = from_us
    for us, has_unsent_bytes in [*looks, *[(LINGER_US // 4, True)] * 8]:
        closing.settle(False, has_unsent_bytes, now_us)
        now_us += us
        closing.expire(now_us)
        if now_us - from_us >= 2 * LINGER_US + LINGER_US // 4:  # it is looked at once in a while
            assert closing.state is State.CLOSED
    assert closing.state is State.CLOSED


@given(LIVE)
def test_neither_time_nor_bytes_close_one_that_is_owed_and_was_never_quiet(events: list[Event]) -> None:
    """Its owner bounds what is owed; a timer of the end runs only from where all that is left is to send."""
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    owed: list[Event] = [Settle(True, one.has_unsent_bytes) if isinstance(one, Settle) else one for one in events]
    for event, _, step, _ in carry_out(closing, owed):
        assert step is Step.NONE or (isinstance(event, Came) and closing.discarded_bytes > MAX_DISCARDED_BYTES)


@given(EVENTS)
def test_so_many_bytes_are_discarded_and_no_more(events: list[Event]) -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    for _, before, step, _ in carry_out(closing, events):
        if before is not State.CLOSED:
            assert closing.discarded_bytes <= (
                MAX_DISCARDED_BYTES + CHUNK if step is Step.CLOSE else MAX_DISCARDED_BYTES
            )


def test_the_time_to_send_and_the_time_to_end_are_counted_apart() -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    closing.drain()
    assert closing.settle(False, True, 0) is Step.NONE
    assert closing.settle(False, True, LINGER_US - 2) is Step.NONE, "the first look counts"
    assert closing.settle(False, False, LINGER_US - 1) is Step.SHUT_DOWN
    assert closing.expire(2 * LINGER_US - 2) is Step.NONE
    assert closing.expire(2 * LINGER_US - 1) is Step.CLOSE
    assert closing.expire(3 * LINGER_US) is Step.NONE and closing.close() is Step.NONE


def test_a_peer_that_takes_nothing_has_one_time_however_often_it_is_looked_at() -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    closing.drain()
    for at_us in range(0, LINGER_US, LINGER_US // 10):
        assert closing.settle(False, True, at_us) is Step.NONE and closing.expire(at_us) is Step.NONE
    assert closing.expire(LINGER_US) is Step.CLOSE
