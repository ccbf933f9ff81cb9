"""What a session's read must see: each write of it that may have been committed before the read is sent."""

from oatlink.interface import Freshness
from oatlink.router_state import NEVER, Request, RouterState


def min_position_us(state: RouterState, request: Request, by_us: int) -> int:
    """The position that a session's read must see, by what is known now, of writes sent before this time."""
    bounds = [-1 if request.min_position_us is None else request.min_position_us]
    if request.session is not None:
        bounds.append(state.session_positions.get(request.session, state.forgotten_position_us))
        open_writes = state.open_session_writes.of_session(request.session)
        bounds += [one.settled_by_us for one in open_writes if one.attempts[0].sent_us < by_us]
    return max(bounds)


def track_write(state: RouterState, request: Request) -> None:
    """Follow a write of a session until it is known what has become of it."""
    if state.settings.router_remembers_sessions and request.request_class.freshness is Freshness.WRITE:
        state.open_session_writes.add(request)
        _reorder_reads(state, request)


def settle_write(
    state: RouterState,
    write: Request,
    position_us: int | None = None,
    is_over: bool = False,
) -> None:
    """An attempt has ended, or the request: the write is committed, has never run, or may have run."""
    if position_us is None and write.may_have_run:
        if not is_over:
            return
        # Threat: what nobody waits for still runs, at the latest until then.
        position_us = write.settled_by_us
    if state.open_session_writes.remove(write):
        if position_us is not None:
            state.record_session_write(write.session or "", position_us)
        _reorder_reads(state, write)


def _reorder_reads(state: RouterState, write: Request) -> None:
    """Order what waits of a write's session by what it needs now. Threat: thousands of others wait, too."""
    pending = state.pending[write.group]
    for read in pending.session_reads.of_session(write.session):
        pending.change_position(read, min_position_us(state, read, NEVER))
