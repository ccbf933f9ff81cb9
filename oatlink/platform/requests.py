"""Open requests and their attempts, between the Router and the sockets, without I/O.

Events in, effects out. What lives here: who is owed an answer, which attempts are out, when their time is up, and
which number stands for which of discovery's ids. Each request is answered once, whatever the Router, the servers and
the clients do, and in whatever order; an attempt ends once. Which member, whether again, and which answer: the
Router's alone.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from oatlink import interface as api
from oatlink.interface import Outcome, Report
from oatlink.platform.statement import Statement


class Decider(Protocol):
    """What decides: the Router."""

    def may_write(self, request: str, attempt: int, now_us: int) -> bool:
        """Whether an attempt that it has sent may still be written; nothing changes."""
        ...

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        """Take one event and return what to do."""
        ...


class Owner(Protocol):
    """Who asked, and is told the answer."""

    def answered(self, final: "Final") -> None:
        """The one final answer."""
        ...


@dataclass(slots=True)
class Attempt:
    """One send of a request to a member."""

    open: "Open"
    number: int
    member: int
    started_us: int
    ended: bool = False
    written: bool = False  # committed to a connection; until then it may be taken back

    def payload(self, now_us: int) -> bytes:
        """The statement, with the time that is left."""
        return self.open.statement.with_wait(max(1, (self.open.expires_us - now_us) // 1000))


@dataclass(slots=True)
class Open:
    """A request that is owed an answer, or whose attempts are still out."""

    id: str
    statement: Statement
    owner: Owner
    expires_us: int
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False

    @property
    def out(self) -> list[Attempt]:
        """Attempts that have not ended."""
        return [one for one in self.attempts if not one.ended]


@dataclass(frozen=True, slots=True)
class Final:
    """A final answer: `payload` when served, else refused with a time to come back, or failed."""

    payload: bytes = b""
    refused: bool = False
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Launch:
    """Send this attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Abandon:
    """Stop waiting for this attempt: its connection is closed, now."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell a client its answer."""

    owner: Owner
    final: Final


@dataclass(frozen=True, slots=True)
class Defect:
    """Something that the Router should have done and did not, for the log."""

    text: str


Passed = api.Check | api.DropIdle | api.FollowRoster | api.FetchRoster | api.SetTimer | api.Log
Do = Launch | Abandon | Tell | Defect | Passed
FAILED = Final()


class Requests:
    """All that is open at this gateway."""

    def __init__(self, router: Decider) -> None:
        self.router = router
        self._open: dict[str, Open] = {}
        self._ids: dict[bytes, Open] = {}
        self._ends: list[tuple[int, str]] = []
        self._count = 0
        self._events: deque[api.Event] = deque()
        self._do: list[Do] = []

    def __len__(self) -> int:
        return len(self._ids)

    def is_open(self, client_id: bytes) -> bool:
        """Whether a request by this id of a client's is owed an answer."""
        return client_id in self._ids

    def arrived(
        self, statement: Statement, owner: Owner, left_us: int, now_us: int, since_write_us: int | None
    ) -> tuple[Open, list[Do]]:
        """A request whose client waits so much longer."""
        self._count += 1
        one = Open(str(self._count), statement, owner, now_us + left_us)
        self._open[one.id] = one
        self._ids[statement.id] = one
        heapq.heappush(self._ends, (one.expires_us, one.id))
        rule = statement.request_class
        tied = rule.freshness in (api.Freshness.WRITE, api.Freshness.SESSION)
        event = api.Arrival(
            one.id,
            rule.name,
            statement.group,
            left_us,
            statement.session if tied else None,
            since_write_us if rule.freshness is api.Freshness.SESSION else None,
        )
        return one, self.handle(event, now_us)

    def hurry(self, one: Open, by_us: int) -> None:
        """Its answer is due so much earlier. What is sent from now on is told so; the Router goes by its own time."""
        if not one.over:
            one.expires_us -= by_us
            heapq.heappush(self._ends, (one.expires_us, one.id))

    def departed(self, one: Open, now_us: int) -> list[Do]:
        """The client has left. What is written goes on to its end, as the Router takes it to; the rest is undone."""
        if one.over:
            return []
        self._close(one)
        done = self.handle(api.Departure(one.id), now_us)
        for attempt in one.out:
            if not attempt.written:
                self._do.append(Abandon(attempt))
                done += self.ended(attempt, Outcome.WITHDRAWN, now_us, now_us)
        return done

    def may_write(self, attempt: Attempt, now_us: int) -> bool:
        """Whether an attempt may be written now: its client is there, its time not up, the Router has not changed."""
        one = attempt.open
        if attempt.ended or one.over or now_us >= one.expires_us:
            return False
        return self.router.may_write(one.id, attempt.number, now_us)

    def ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        at_us: int,
        now_us: int,
        payload: bytes = b"",
        answer: Report | None = None,
    ) -> list[Do]:
        """An attempt has ended, its answer here at `at_us`."""
        if attempt.ended:
            return []
        one = attempt.open
        attempt.ended = True
        if outcome is Outcome.SERVED and not one.over:
            self._final(one, Final(payload))
        event = api.AttemptEnded(
            one.id,
            attempt.number,
            attempt.member,
            outcome,
            max(0, at_us - attempt.started_us),
            one.over,
            answer,
        )
        self._release(one)
        return self.handle(event, now_us)

    def next_end_us(self) -> int | None:
        """When the next request's time is up."""
        while self._ends and self._ends[0][1] not in self._open:
            heapq.heappop(self._ends)
        return self._ends[0][0] if self._ends else None

    def expire(self, now_us: int) -> list[Do]:
        """End what has no time left: LATE for each attempt written and out, then the final answer is due."""
        done: list[Do] = []
        while self._ends and self._ends[0][0] <= now_us:
            one = self._open.get(heapq.heappop(self._ends)[1])
            if one is None:
                continue
            for attempt in one.out:
                self._do.append(Abandon(attempt))
                outcome = Outcome.LATE if attempt.written else Outcome.WITHDRAWN
                done += self.ended(attempt, outcome, now_us, now_us)
            if not one.over:
                self._do.append(Defect(f"class {one.statement.request_class.name}: unanswered at its deadline"))
                self._final(one, FAILED)
                done += self.handle(api.Departure(one.id), now_us)
            self._release(one)
        return done

    def handle(self, event: api.Event, now_us: int) -> list[Do]:
        """Give the Router an event and turn its actions into effects; what they cause at once is told it, too."""
        self._events.append(event)
        while self._events:
            for action in self.router.handle(self._events.popleft(), now_us):
                self._carry(action, now_us)
        done, self._do = self._do, []
        return done

    def _carry(self, action: api.Action, now_us: int) -> None:
        match action:
            case api.Send():
                self._send(action, now_us)
            case api.Refuse():
                self._end(action.request, Final(refused=True, retry_after_us=action.retry_after_us))
            case api.Fail():
                self._end(action.request, FAILED)
            case api.Cancel():
                one = self._open.get(action.request)
                if one is not None and action.attempt < len(one.attempts):
                    self._cancel(one, one.attempts[action.attempt], now_us)
            case _:
                self._do.append(action)

    def _send(self, action: api.Send, now_us: int) -> None:
        one = self._open.get(action.request)
        if one is None or one.over or now_us >= one.expires_us:
            # Threat: a send after the final answer. It would break the rule on lost requests.
            number = len(one.attempts) if one is not None else 0
            if one is not None:
                one.attempts.append(Attempt(one, number, action.member, now_us, ended=True))
            over = one is None or one.over
            self._events.append(api.AttemptEnded(action.request, number, action.member, Outcome.NOT_SENT, 0, over))
            return
        attempt = Attempt(one, len(one.attempts), action.member, now_us)
        one.attempts.append(attempt)
        self._do.append(Launch(attempt))

    def _cancel(self, one: Open, attempt: Attempt, now_us: int) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self._do.append(Abandon(attempt))
        outcome = Outcome.CANCELLED if attempt.written else Outcome.WITHDRAWN
        self._events.append(
            api.AttemptEnded(one.id, attempt.number, attempt.member, outcome, now_us - attempt.started_us, one.over)
        )
        self._release(one)

    def _end(self, request: str, final: Final) -> None:
        one = self._open.get(request)
        if one is not None and not one.over:
            self._final(one, final)
            self._release(one)

    def _final(self, one: Open, final: Final) -> None:
        self._close(one)
        self._do.append(Tell(one.owner, final))

    def _close(self, one: Open) -> None:
        """Nothing is owed any more; its client's id is free again."""
        one.over = True
        if self._ids.get(one.statement.id) is one:
            del self._ids[one.statement.id]
        self._release(one)

    def _release(self, one: Open) -> None:
        if one.over and not one.out:
            self._open.pop(one.id, None)


class Numbers:
    """Local numbers for discovery's ids. A number is never given again; what has left is let go."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._last = 0

    def of(self, name: str) -> int:
        """The number of an id, a new one if it has none."""
        if name not in self._numbers:
            self._last += 1
            self._numbers[name] = self._last
            self._names[self._last] = name
        return self._numbers[name]

    def name(self, number: int) -> str:
        """The id behind a number, for people."""
        return self._names.get(number, "?")

    def keep(self, stays: Callable[[int], bool]) -> list[int]:
        """Let go of all numbers that do not stay, and return them."""
        gone = [number for number in self._names if not stays(number)]
        for number in gone:
            del self._numbers[self._names.pop(number)]
        return gone
