"""Tracks open requests and their attempts between the Router and the sockets, without I/O.

Events go in, actions for the gateway come out. This module knows which clients are owed an answer, which attempts are
running, when their deadlines expire, and which member number stands for which of discovery's ids. Each request is
answered exactly once and each attempt ends exactly once, whatever the Router, the servers and the clients do and in
whatever order. Only the Router decides which member gets a request, whether to retry, and what the answer is.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from oatlink import interface as api
from oatlink.interface import Outcome, Report
from oatlink.platform.statement import Statement
from oatlink.state import NEVER


class RouterInterface(Protocol):
    """The part of the Router that is used here."""

    def may_write(self, request: str, attempt: int, now_us: int) -> bool:
        """Whether an attempt that the Router has sent may still be written. Changes no state."""
        ...

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        """Process one event and return the actions to carry out."""
        ...


class Owner(Protocol):
    """The sender of a request, which receives its answer."""

    def answered(self, final: "Final") -> None:
        """Receive the final answer; called once."""
        ...


@dataclass(slots=True)
class Attempt:
    """One send of a request to a member."""

    request: "Open"
    number: int
    member: int
    started_us: int
    has_ended: bool = False
    is_written: bool = False  # committed to a connection; until then it may be withdrawn

    def payload(self, now_us: int) -> bytes:
        """Return the statement, with the time that is left until the deadline."""
        return self.request.statement.with_wait(max(1, (self.request.expires_us - now_us) // 1000))


@dataclass(slots=True)
class Open:
    """A request that is owed an answer, or whose attempts are still running."""

    id: str
    statement: Statement
    owner: Owner
    expires_us: int
    attempts: list[Attempt] = field(default_factory=list)
    is_closed: bool = False

    @property
    def running_attempts(self) -> list[Attempt]:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts if not attempt.has_ended]


@dataclass(frozen=True, slots=True)
class Final:
    """A final answer: `payload` if served, otherwise refused with a time to retry after, or failed."""

    payload: bytes = b""
    refused: bool = False
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Launch:
    """Send this attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Abandon:
    """Stop waiting for this attempt: its connection is closed at once."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send a client its answer."""

    owner: Owner
    final: Final


@dataclass(frozen=True, slots=True)
class Defect:
    """Log that the Router failed to do something, such as to answer a request before its deadline."""

    text: str


# How long, and of how many requests, the ids are kept that may have run and whose clients have left.
DEPARTED_US = 60_000_000
MAX_DEPARTED_REQUESTS = 4_096
ForwardedAction = api.Check | api.DropIdle | api.FollowRoster | api.FetchRoster | api.SetTimer | api.Log
GatewayAction = Launch | Abandon | SendAnswer | Defect | ForwardedAction
FAILED = Final()


class Requests:
    """All open requests of this gateway."""

    def __init__(self, router: RouterInterface) -> None:
        self.router = router
        self._open: dict[str, Open] = {}
        self._by_client_id: dict[bytes, Open] = {}
        self._departed: dict[bytes, int] = {}  # until when an id is not run again, by the client's id
        self._deadlines: list[tuple[int, str]] = []
        self._arrival_count = 0
        self._last_us = NEVER  # the latest deadline that a request may have
        self._events: deque[api.Event] = deque()
        self._actions: list[GatewayAction] = []

    def __len__(self) -> int:
        return len(self._by_client_id)

    def is_open(self, client_id: bytes) -> bool:
        """Whether a request with this client-chosen id is still owed an answer."""
        return client_id in self._by_client_id

    def may_have_run(self, client_id: bytes, now_us: int) -> bool:
        """Whether a request by this id, which may not be repeated, was sent to a server before its client left."""
        return now_us < self._departed.get(client_id, 0)

    def handle_arrival(
        self, statement: Statement, owner: Owner, left_us: int, now_us: int, since_write_us: int | None
    ) -> tuple[Open, list[GatewayAction]]:
        """Open a request whose client waits for another `left_us`."""
        self._arrival_count += 1
        left_us = min(left_us, self._last_us - now_us)
        request = Open(str(self._arrival_count), statement, owner, now_us + left_us)
        self._open[request.id] = request
        self._by_client_id[statement.id] = request
        heapq.heappush(self._deadlines, (request.expires_us, request.id))
        rule = statement.request_class
        needs_session = rule.freshness in (api.Freshness.WRITE, api.Freshness.SESSION)
        event = api.Arrival(
            request.id,
            rule.name,
            statement.group,
            left_us,
            statement.session if needs_session else None,
            since_write_us if rule.freshness is api.Freshness.SESSION else None,
        )
        return request, self.handle(event, now_us)

    def shorten_deadline(self, request: Open, by_us: int) -> None:
        """Move a request's deadline earlier by `by_us`.

        Attempts written from now on carry the shorter time; the Router keeps to the deadline that it was given.
        """
        if not request.is_closed:
            request.expires_us -= by_us
            heapq.heappush(self._deadlines, (request.expires_us, request.id))

    def end_by(self, last_us: int) -> None:
        """Give each request, open or yet to come, its final answer by `last_us`, whatever its own deadline."""
        self._last_us = last_us
        for request in self._open.values():
            self.shorten_deadline(request, max(0, request.expires_us - last_us))

    def handle_departure(self, request: Open, now_us: int) -> list[GatewayAction]:
        """Close a request whose client has left.

        Written attempts run to their end, as the Router expects; the others are withdrawn.
        """
        if request.is_closed:
            return []
        self._close(request)
        self._keep_departed(request, now_us)
        actions = self.handle(api.Departure(request.id), now_us)
        for attempt in request.running_attempts:
            if not attempt.is_written:
                self._actions.append(Abandon(attempt))
                actions += self.handle_attempt_end(attempt, Outcome.WITHDRAWN, now_us, now_us)
        return actions

    def _keep_departed(self, request: Open, now_us: int) -> None:
        """Keep the id of a request that may not be repeated and may have run.

        Prevents it from running twice when it comes again on another connection after its client has left.
        """
        if request.statement.request_class.effect is not api.Effect.UNSAFE:
            return
        if any(attempt.is_written for attempt in request.running_attempts):
            self._departed.pop(request.statement.id, None)
            self._departed[request.statement.id] = now_us + DEPARTED_US
            if len(self._departed) > MAX_DEPARTED_REQUESTS:
                del self._departed[next(iter(self._departed))]

    def may_write(self, attempt: Attempt, now_us: int) -> bool:
        """Whether an attempt may be written now: client present, deadline not passed, and the Router still wants it."""
        request = attempt.request
        if attempt.has_ended or request.is_closed or now_us >= request.expires_us:
            return False
        return self.router.may_write(request.id, attempt.number, now_us)

    def handle_attempt_end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        at_us: int,
        now_us: int,
        payload: bytes = b"",
        answer: Report | None = None,
    ) -> list[GatewayAction]:
        """End an attempt whose answer was received at `at_us`; later ends of the same attempt are ignored."""
        if attempt.has_ended:
            return []
        request = attempt.request
        attempt.has_ended = True
        if outcome is Outcome.SERVED and not request.is_closed:
            self._answer(request, Final(payload))
        event = api.AttemptEnded(
            request.id,
            attempt.number,
            attempt.member,
            outcome,
            max(0, at_us - attempt.started_us),
            request.is_closed,
            answer,
        )
        self._forget_if_done(request)
        return self.handle(event, now_us)

    def next_deadline_us(self) -> int | None:
        """The earliest deadline of an open request."""
        while self._deadlines and self._deadlines[0][1] not in self._open:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def expire(self, now_us: int) -> list[GatewayAction]:
        """End the requests that are past their deadline.

        Each written attempt that still runs is LATE, each unwritten one WITHDRAWN; then the final answer is due.
        """
        actions: list[GatewayAction] = []
        while self._deadlines and self._deadlines[0][0] <= now_us:
            request = self._open.get(heapq.heappop(self._deadlines)[1])
            if request is None:
                continue
            for attempt in request.running_attempts:
                self._actions.append(Abandon(attempt))
                outcome = Outcome.LATE if attempt.is_written else Outcome.WITHDRAWN
                actions += self.handle_attempt_end(attempt, outcome, now_us, now_us)
            if not request.is_closed:
                if request.expires_us < self._last_us:
                    name = request.statement.request_class.name
                    self._actions.append(Defect(f"class {name}: unanswered at its deadline"))
                self._answer(request, FAILED)
                actions += self.handle(api.Departure(request.id), now_us)
            self._forget_if_done(request)
        return actions

    def handle(self, event: api.Event, now_us: int) -> list[GatewayAction]:
        """Pass an event to the Router and return the resulting actions.

        Events that these actions cause at once are passed to the Router too.
        """
        self._events.append(event)
        while self._events:
            for action in self.router.handle(self._events.popleft(), now_us):
                self._apply(action, now_us)
        actions, self._actions = self._actions, []
        return actions

    def _apply(self, action: api.Action, now_us: int) -> None:
        match action:
            case api.Send():
                self._send(action, now_us)
            case api.Refuse():
                self._answer_by_id(action.request, Final(refused=True, retry_after_us=action.retry_after_us))
            case api.Fail():
                self._answer_by_id(action.request, FAILED)
            case api.Cancel():
                request = self._open.get(action.request)
                if request is not None and action.attempt < len(request.attempts):
                    self._cancel(request, request.attempts[action.attempt], now_us)
            case _:
                self._actions.append(action)

    def _send(self, action: api.Send, now_us: int) -> None:
        request = self._open.get(action.request)
        if request is None or request.is_closed or now_us >= request.expires_us:
            # Prevents a send after the final answer, which would break the platform's rule on lost requests.
            number = len(request.attempts) if request is not None else 0
            if request is not None:
                request.attempts.append(Attempt(request, number, action.member, now_us, has_ended=True))
            over = request is None or request.is_closed
            self._events.append(api.AttemptEnded(action.request, number, action.member, Outcome.NOT_SENT, 0, over))
            return
        attempt = Attempt(request, len(request.attempts), action.member, now_us)
        request.attempts.append(attempt)
        self._actions.append(Launch(attempt))

    def _cancel(self, request: Open, attempt: Attempt, now_us: int) -> None:
        if attempt.has_ended:
            return
        attempt.has_ended = True
        self._actions.append(Abandon(attempt))
        outcome = Outcome.CANCELLED if attempt.is_written else Outcome.WITHDRAWN
        self._events.append(
            api.AttemptEnded(
                request.id, attempt.number, attempt.member, outcome, now_us - attempt.started_us, request.is_closed
            )
        )
        self._forget_if_done(request)

    def _answer_by_id(self, request_id: str, final: Final) -> None:
        request = self._open.get(request_id)
        if request is not None and not request.is_closed:
            self._answer(request, final)
            self._forget_if_done(request)

    def _answer(self, request: Open, final: Final) -> None:
        self._close(request)
        self._actions.append(SendAnswer(request.owner, final))

    def _close(self, request: Open) -> None:
        """Mark a request as no longer owed an answer; its client may use its id again."""
        request.is_closed = True
        if self._by_client_id.get(request.statement.id) is request:
            del self._by_client_id[request.statement.id]
        self._forget_if_done(request)

    def _forget_if_done(self, request: Open) -> None:
        if request.is_closed and not request.running_attempts:
            self._open.pop(request.id, None)
            request.attempts.clear()  # they refer to the request: the cycle would outlive it with all its client sent


class MemberNumbers:
    """Maps discovery's ids to local member numbers. A number is never reused; members that left are forgotten."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._last = 0

    def number_for(self, name: str) -> int:
        """Return the number of an id, assigning a new one if it has none."""
        if name not in self._numbers:
            self._last += 1
            self._numbers[name] = self._last
            self._names[self._last] = name
        return self._numbers[name]

    def name_of(self, number: int) -> str:
        """Return the id behind a number, for the log."""
        return self._names.get(number, "?")

    def retain(self, stays: Callable[[int], bool]) -> list[int]:
        """Forget all numbers for which `stays` is false, and return them."""
        gone = [number for number in self._names if not stays(number)]
        for number in gone:
            del self._numbers[self._names.pop(number)]
        return gone
