"""What a session's read must see: each write of it that may have been committed before the read is sent."""

from oatlink.interface import Freshness
from oatlink.router_state import NEVER, Book, Request


def needed_us(book: Book, request: Request, by_us: int) -> int:
    """The position that a session's read must see, by what is known now, of writes sent before this time."""
    bounds = [-1 if request.need_us is None else request.need_us]
    if request.session is not None:
        bounds.append(book.sessions.get(request.session, book.forgotten_us))
        open_writes = book.session_writes.of(request.session)
        bounds += [one.settled_us for one in open_writes if one.attempts[0].sent_us < by_us]
    return max(bounds)


def sent(book: Book, request: Request) -> None:
    """Follow a write of a session until it is known what has become of it."""
    if book.settings.router_remembers_sessions and request.rule.freshness is Freshness.WRITE:
        book.session_writes.add(request)
        _order_reads(book, request)


def ended(book: Book, write: Request, position_us: int | None = None, is_over: bool = False) -> None:
    """An attempt has ended, or the request: the write is committed, has never run, or may have run."""
    if position_us is None and write.may_have_run:
        if not is_over:
            return
        position_us = write.settled_us  # Threat: what nobody waits for still runs, at the latest until then
    if book.session_writes.drop(write):
        if position_us is not None:
            book.remember(write.session or "", position_us)
        _order_reads(book, write)


def _order_reads(book: Book, write: Request) -> None:
    """Order what waits of a write's session by what it needs now. Threat: thousands of others wait, too."""
    pending = book.holds[write.group]
    for read in pending.session_reads.of(write.session):
        pending.move(read, needed_us(book, read, NEVER))
