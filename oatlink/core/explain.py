"""Why a request went where it went: a replay with a witness on the Router's own choice. No I/O.

The witness asks the Router's rules about each member at the moment of the choice; it holds no rule of its own. It
asks them about copies, for some of them keep count (the cold budget's tokens), and a replay must stay the same.
"""

from collections.abc import Iterator
from copy import copy

import msgspec

from oatlink import interface as api
from oatlink.book import Book, Member, Request
from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.core.recording import Entry, Header, engine_of
from oatlink.rules import checks, cold, holding, room


class Candidate(msgspec.Struct, frozen=True):
    """One member at one choice: what was held of it, and what the Router's guards say (empty: none objects)."""

    box: str
    role: str
    behind_ms: int
    out: int
    room: float
    against: list[str]


class Choice(msgspec.Struct, frozen=True):
    """One time that the Router looked for a member. `chosen` is empty where it found none."""

    request: int
    at_us: int
    chosen: str
    need_ms: int
    candidates: list[Candidate]


class Account(msgspec.Struct):
    """All that befell a request."""

    request: int
    class_name: str = ""
    bank: str = ""
    asked: str = ""
    choices: list[Choice] = []
    events: list[str] = []


class Witness:
    """Writes down how the Router of an engine chose for one request."""

    def __init__(self, engine: Engine, wanted: str | None) -> None:
        """`wanted`: the request, or None for every one."""
        self.wanted = wanted
        self.seen: list[Choice] = []
        self.names = engine.names
        self._whole = engine.router.book.choose
        engine.router.book.choose = self.choose

    def choose(self, book: Book, request: Request) -> Member | None:
        """The Router's choice, as it is."""
        if self.wanted is not None and request.id != self.wanted:
            return self._whole(book, request)
        # The guards are asked before the choice: it may ask for a report, which holds a member back.
        rows = [self._row(book, request, member) for member in book.groups[request.group].members.values()]
        found = self._whole(book, request)
        chosen = self.names.get(found.entry.member, "") if found is not None else ""
        need = holding.need(book, request) if request.rule.freshness is not api.Freshness.WRITE else -1
        need_ms = (book.now - need) // 1000 if need >= 0 else -1
        self.seen.append(Choice(int(request.id), book.now, chosen, need_ms, rows))
        return found

    def _row(self, book: Book, request: Request, member: Member) -> Candidate:
        """One member by the Router's own rules."""
        group = book.groups[request.group]
        kept = (book.shown, book.shown_us)
        against = []
        writes = request.rule.freshness is api.Freshness.WRITE
        if member.drained:
            against.append("draining")
        if member.role is api.Role.UNKNOWN:
            against.append("role unknown")
        if writes and group.primary != member.entry.member:
            against.append("not the primary")
        if not writes and member.role is api.Role.REPLICA and member.position_us < holding.need(book, request):
            against.append("position too old or not proven")
        if checks.in_doubt(book, member):
            against.append("a check is overdue")
        if member.entry.member in request.tried:
            against.append("tried before")
        if not cold.within_budget(book, copy(member), 1.0):
            against.append("cold budget spent")
        elif not room.has_room(book, copy(member), 1.0):
            against.append("no room")
        book.shown, book.shown_us = kept
        behind = (book.now - member.position_us) // 1000 if member.position_us >= 0 else -1
        return Candidate(
            self.names.get(member.entry.member, str(member.entry.member)),
            member.role.value,
            behind,
            len(member.out),
            round(member.room, 1),
            against,
        )


def explain(header: Header, entries: Iterator[Entry], request: int) -> Account:
    """Replay a recording and tell of one request. `events` is empty where the recording does not know it."""
    engine = engine_of(header)
    account = Account(request, choices=Witness(engine, str(request)).seen)
    for entry in entries:
        before = engine.last_request
        effects = engine.handle(entry.given, entry.now_us)
        if before < request <= engine.last_request and isinstance(entry.given, m.CommandReceived):
            words = b" ".join(entry.given.args)[:80].decode("utf-8", "replace")
            account.asked = f"client {entry.given.client}: {words}"
            account.events.append(f"{entry.now_us} asked")
            found = engine.request(request)
            if found is not None:
                account.class_name, account.bank = found.rule.name, header.settings.banks[found.group].name
        if isinstance(entry.given, m.Ended) and entry.given.request == request:
            given = entry.given
            first = given.frames[0][:60].decode("utf-8", "replace").strip() if given.frames else ""
            over = f" over {given.address}" if given.address else ""
            account.events.append(
                f"{entry.now_us} attempt {given.attempt} at {given.box}{over} ended: {given.how} {first}".rstrip()
            )
        ask = engine.request(request)
        at = {box for _, box, _, _ in ask.open_attempts.values()} if ask is not None else set()
        for effect in effects:
            if isinstance(effect, m.ClosePath) and effect.box in at:
                account.events.append(f"{entry.now_us} {effect.box}: {effect.address} is silent, left")
        for effect in effects:
            if isinstance(effect, m.Send) and effect.request == request:
                by = f" by {effect.address}" if effect.address else ""
                account.events.append(f"{entry.now_us} attempt {effect.attempt} sent to {effect.box}{by}")
        if account.events and engine.request(request) is None and before >= request:
            break
    return account


def told(header: Header, entries: Iterator[Entry]) -> Iterator[tuple[int, str, str]]:
    """For each recorded send of all requests: the request, what the witness saw chosen last, where it was sent."""
    engine = engine_of(header)
    witness = Witness(engine, None)
    for entry in entries:
        witness.seen.clear()
        engine.handle(entry.given, entry.now_us)
        last = {one.request: one.chosen for one in witness.seen}
        for effect in entry.effects:
            if isinstance(effect, m.Send):
                yield effect.request, last.get(effect.request, "nobody"), effect.box
