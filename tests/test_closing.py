"""The state machine of a connection's end under random sequences of events, without sockets."""

from collections.abc import Iterator
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from oatlink.transport.closing import Closing, State, Step

LINGER_US = 1_000_000
MAX_DISCARDED_BYTES = 1_000
MAX_CHUNK_BYTES = 400  # received at once
STATE_ORDER = tuple(State)


@dataclass(frozen=True)
class Drain:
    ignores_input: bool


@dataclass(frozen=True)
class Settle:
    has_pending_answers: bool
    has_unsent_bytes: bool


@dataclass(frozen=True)
class Received:
    size: int


@dataclass(frozen=True)
class TimePassed:
    us: int  # the time after which the deadline is checked


@dataclass(frozen=True)
class PeerClosed:
    pass


Event = Drain | Settle | Received | TimePassed | PeerClosed
DRAINS = st.builds(Drain, st.booleans())
SETTLES = st.builds(Settle, st.booleans(), st.booleans())
RECEIPTS = st.builds(Received, st.integers(0, MAX_CHUNK_BYTES))
WAITS = st.builds(TimePassed, st.integers(0, 2 * LINGER_US))
EVENTS = st.lists(st.one_of(DRAINS, SETTLES, RECEIPTS, WAITS, st.just(PeerClosed())), max_size=40)
# The peer does not close the connection.
EVENTS_OF_LIVE_PEERS = st.lists(st.one_of(DRAINS, SETTLES, RECEIPTS, WAITS), max_size=40)


def carry_out(closing: Closing, events: list[Event]) -> Iterator[tuple[Event, State, Step, int]]:
    """Apply each event as the owner of a connection does; yield it with the state before it, the step, and the time."""
    now_us = 0
    for event in events:
        before, step = closing.state, Step.NONE
        match event:
            case Drain():
                closing.drain(event.ignores_input)
            case Settle():
                step = closing.settle(event.has_pending_answers, event.has_unsent_bytes, now_us)
            case Received() if closing.discards:
                step = closing.discard(event.size)
            case TimePassed():
                now_us += event.us
                step = closing.expire(now_us)
            case PeerClosed():
                step = closing.close()
        yield event, before, step, now_us


@given(EVENTS, st.sampled_from((0, LINGER_US)))
def test_the_state_only_moves_forward_and_each_step_is_returned_once(events: list[Event], linger_us: int) -> None:
    closing = Closing(linger_us, MAX_DISCARDED_BYTES)
    steps: list[Step] = []
    for event, before, step, _ in carry_out(closing, events):
        assert STATE_ORDER.index(closing.state) >= STATE_ORDER.index(before)
        if step is not Step.NONE:
            steps.append(step)
        if step is Step.SHUT_DOWN:
            assert event == Settle(False, False), "shut down while an answer was pending or unsent"
            assert before is State.DRAINING and closing.state is State.HALF_CLOSED
        assert (step is Step.CLOSE) == (closing.state is State.CLOSED and before is not State.CLOSED)
    assert steps in ([], [Step.SHUT_DOWN], [Step.CLOSE], [Step.SHUT_DOWN, Step.CLOSE])
    assert linger_us or Step.SHUT_DOWN not in steps, "a linger of 0 closes without waiting"


@given(EVENTS)
def test_no_request_is_accepted_during_the_end_and_none_is_parsed_once_our_side_is_shut_down(
    events: list[Event],
) -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    is_draining = ignores_input = False
    for event, _, _, _ in carry_out(closing, events):
        is_draining = is_draining or isinstance(event, Drain | PeerClosed) or closing.state is not State.OPEN
        ignores_input = ignores_input or event == Drain(True)
        assert closing.accepts_requests == (not is_draining)
        assert closing.discards == (ignores_input or closing.state in (State.HALF_CLOSED, State.CLOSED))


@given(EVENTS_OF_LIVE_PEERS, st.lists(st.tuples(st.integers(0, LINGER_US // 4), st.booleans()), min_size=16))
def test_a_connection_without_pending_answers_closes_within_two_lingers(
    events: list[Event], checks: list[tuple[int, bool]]
) -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    *_, (_, _, _, began_us) = carry_out(closing, [*events, Drain(False)])
    now_us = began_us
    for us, has_unsent_bytes in [*checks, *[(LINGER_US // 4, True)] * 8]:
        closing.settle(False, has_unsent_bytes, now_us)
        now_us += us
        closing.expire(now_us)
        # Checks are up to a quarter of a linger apart.
        if now_us - began_us >= 2 * LINGER_US + LINGER_US // 4:
            assert closing.state is State.CLOSED
    assert closing.state is State.CLOSED


@given(EVENTS_OF_LIVE_PEERS)
def test_time_does_not_close_a_connection_with_pending_answers(events: list[Event]) -> None:
    """The owner limits the time of pending answers; the deadline of the end begins once only unsent bytes are left."""
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    pending: list[Event] = [
        Settle(True, event.has_unsent_bytes) if isinstance(event, Settle) else event for event in events
    ]
    for event, _, step, _ in carry_out(closing, pending):
        assert step is Step.NONE or (isinstance(event, Received) and closing.discarded_bytes > MAX_DISCARDED_BYTES)


@given(EVENTS)
def test_no_more_than_the_maximum_of_bytes_is_discarded(events: list[Event]) -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    for _, before, step, _ in carry_out(closing, events):
        if before is not State.CLOSED:
            assert closing.discarded_bytes <= (
                MAX_DISCARDED_BYTES + MAX_CHUNK_BYTES if step is Step.CLOSE else MAX_DISCARDED_BYTES
            )


def test_the_time_to_send_and_the_time_to_close_are_counted_separately() -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    closing.drain()
    assert closing.settle(False, True, 0) is Step.NONE
    assert closing.settle(False, True, LINGER_US - 2) is Step.NONE, "the time counts from the first check"
    assert closing.settle(False, False, LINGER_US - 1) is Step.SHUT_DOWN
    assert closing.expire(2 * LINGER_US - 2) is Step.NONE
    assert closing.expire(2 * LINGER_US - 1) is Step.CLOSE
    assert closing.expire(3 * LINGER_US) is Step.NONE and closing.close() is Step.NONE


def test_a_peer_that_reads_nothing_has_one_time_limit_however_often_it_is_checked() -> None:
    closing = Closing(LINGER_US, MAX_DISCARDED_BYTES)
    closing.drain()
    for at_us in range(0, LINGER_US, LINGER_US // 10):
        assert closing.settle(False, True, at_us) is Step.NONE and closing.expire(at_us) is Step.NONE
    assert closing.expire(LINGER_US) is Step.CLOSE
