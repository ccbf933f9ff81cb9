"""Decides which position a session's read must see, by the writes that may be committed before it is sent."""

from oatlink.interface import Freshness
from oatlink.router_state import NEVER, Request, RouterState


def min_position_us(state: RouterState, request: Request, by_us: int) -> int:
    """The position that a session's read must see, as known now, counting writes sent before `by_us`."""
    positions = [-1 if request.min_position_us is None else request.min_position_us]
    if request.session is not None:
        positions.append(state.session_positions.get(request.session, state.forgotten_position_us))
        open_writes = state.open_session_writes.of_session(request.session)
        positions += [write.settled_by_us for write in open_writes if write.attempts[0].sent_us < by_us]
    return max(positions)


def track_write(state: RouterState, request: Request) -> None:
    """Keep a session's write as open until its result is known."""
    if state.settings.router_remembers_sessions and request.request_class.freshness is Freshness.WRITE:
        state.open_session_writes.add(request)
        _reorder_reads(state, request)


def settle_write(
    state: RouterState,
    write: Request,
    position_us: int | None = None,
    is_over: bool = False,
) -> None:
    """Update a write whose attempt has ended, or which has ended itself (`is_over`).

    With `position_us` the write is committed at that position. Without, it has never run or may have run.
    """
    if position_us is None and write.may_have_run:
        if not is_over:
            return
        # Nobody waits for it any more, but it may still run, until this time at the latest.
        position_us = write.settled_by_us
    if state.open_session_writes.remove(write):
        if position_us is not None:
            state.record_session_write(write.session or "", position_us)
        _reorder_reads(state, write)


def _reorder_reads(state: RouterState, write: Request) -> None:
    """Reorder the pending reads of a write's session by the position that they need now.

    Only this session's reads are touched: thousands of other requests may be pending as well.
    """
    pending = state.pending[write.group]
    for read in pending.session_reads.of_session(write.session):
        pending.change_position(read, min_position_us(state, read, NEVER))
