"""Explains how a recorded request was routed, by a replay that observes each choice of the Router. No I/O.

The observer asks the Router's rules about each member at the moment of the choice and has no rule of its own. It asks
them about copies, since some rules keep counts (such as the tokens of the cold budget) and the replay must not change.
"""

from collections.abc import Iterator
from copy import copy

import msgspec

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.core.recording import Entry, Header, engine_at_start
from oatlink.router_state import Member, Request, RouterState
from oatlink.rules import checks, cold, concurrency, queueing


class Candidate(msgspec.Struct, frozen=True):
    """One member at one choice: its state as the Router knew it, and the rules that excluded it (`against`).

    `out` is the number of its open attempts, `room` its concurrency limit. `against` is empty where no rule objected.
    """

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


class Explanation(msgspec.Struct):
    """Everything that happened to a request."""

    request: int
    class_name: str = ""
    bank: str = ""
    asked: str = ""
    choices: list[Choice] = []
    events: list[str] = []


class ChoiceObserver:
    """Records how the Router of an engine chooses a member for one request, or for every request."""

    def __init__(self, engine: Engine, request_id: str | None) -> None:
        """`request_id`: the request to observe, or None for every one."""
        self.request_id = request_id
        self.choices: list[Choice] = []
        self.names = engine.names
        self._router_choose = engine.router.state.choose_member
        engine.router.state.choose_member = self.choose

    def choose(self, book: RouterState, request: Request) -> Member | None:
        """Return the Router's choice, unchanged."""
        if self.request_id is not None and request.id != self.request_id:
            return self._router_choose(book, request)
        # The rules are asked before the choice, since the choice may ask for a report, and the request then waits.
        candidates = [self._candidate(book, request, member) for member in book.groups[request.group].members.values()]
        member = self._router_choose(book, request)
        chosen = self.names.get(member.entry.member, "") if member is not None else ""
        need = (
            queueing.min_position_us(book, request)
            if request.request_class.freshness is not api.Freshness.WRITE
            else -1
        )
        need_ms = (book.now_us - need) // 1000 if need >= 0 else -1
        self.choices.append(Choice(int(request.id), book.now_us, chosen, need_ms, candidates))
        return member

    def _candidate(self, book: RouterState, request: Request, member: Member) -> Candidate:
        """Evaluate the Router's rules for one member."""
        group = book.groups[request.group]
        saved_warm_rate = (book.warm_rate, book.warm_rate_us)
        against = []
        writes = request.request_class.freshness is api.Freshness.WRITE
        if member.is_draining:
            against.append("draining")
        if member.role is api.Role.UNKNOWN:
            against.append("role unknown")
        if writes and group.primary != member.entry.member:
            against.append("not the primary")
        if (
            not writes
            and member.role is api.Role.REPLICA
            and member.position_us < queueing.min_position_us(book, request)
        ):
            against.append("position too old or not proven")
        if checks.is_in_doubt(book, member):
            against.append("a check is overdue")
        if member.entry.member in request.tried_members:
            against.append("tried before")
        if not cold.within_budget(book, copy(member), 1.0):
            against.append("cold budget spent")
        elif not concurrency.has_capacity(book, copy(member), 1.0):
            against.append("no room")
        book.warm_rate, book.warm_rate_us = saved_warm_rate
        behind_ms = (book.now_us - member.position_us) // 1000 if member.position_us >= 0 else -1
        return Candidate(
            self.names.get(member.entry.member, str(member.entry.member)),
            member.role.value,
            behind_ms,
            len(member.outstanding),
            round(member.concurrency_limit, 1),
            against,
        )


def explain(header: Header, entries: Iterator[Entry], request: int) -> Explanation:
    """Replay a recording and explain one request. `events` is empty where the recording does not contain it."""
    engine = engine_at_start(header)
    explanation = Explanation(request, choices=ChoiceObserver(engine, str(request)).choices)
    for entry in entries:
        last_request = engine.last_request
        effects = engine.handle(entry.given, entry.now_us)
        if last_request < request <= engine.last_request and isinstance(entry.given, m.CommandReceived):
            command = b" ".join(entry.given.args)[:80].decode("utf-8", "replace")
            explanation.asked = f"client {entry.given.client}: {command}"
            explanation.events.append(f"{entry.now_us} asked")
            started = engine.request(request)
            if started is not None:
                explanation.class_name = started.rule.name
                explanation.bank = header.settings.banks[started.group].name
        if isinstance(entry.given, m.Ended) and entry.given.request == request:
            ended = entry.given
            first_frame = ended.frames[0][:60].decode("utf-8", "replace").strip() if ended.frames else ""
            over = f" over {ended.address}" if ended.address else ""
            explanation.events.append(
                f"{entry.now_us} attempt {ended.attempt} at {ended.box}{over} ended: {ended.how} {first_frame}".rstrip()
            )
        open_request = engine.request(request)
        boxes = {box for _, box, _, _ in open_request.open_attempts.values()} if open_request is not None else set()
        for effect in effects:
            if isinstance(effect, m.ClosePath) and effect.box in boxes:
                explanation.events.append(f"{entry.now_us} {effect.box}: {effect.address} is silent, left")
        for effect in effects:
            if isinstance(effect, m.Send) and effect.request == request:
                by = f" by {effect.address}" if effect.address else ""
                explanation.events.append(f"{entry.now_us} attempt {effect.attempt} sent to {effect.box}{by}")
        if explanation.events and engine.request(request) is None and last_request >= request:
            break
    return explanation


def recorded_sends(header: Header, entries: Iterator[Entry]) -> Iterator[tuple[int, str, str]]:
    """Replay a recording; yield for each recorded send the request, the box chosen last, and the box it was sent to.

    The chosen box is `nobody` where the replay made no choice for the request at that input.
    """
    engine = engine_at_start(header)
    observer = ChoiceObserver(engine, None)
    for entry in entries:
        observer.choices.clear()
        engine.handle(entry.given, entry.now_us)
        last_chosen = {choice.request: choice.chosen for choice in observer.choices}
        for effect in entry.effects:
            if isinstance(effect, m.Send):
                yield effect.request, last_chosen.get(effect.request, "nobody"), effect.box
