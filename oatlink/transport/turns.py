"""Shares the time of the event loop between the input of clients and everything else.

One turn of the loop handles whatever its poll has found. Without a limit, all input of hundreds of clients that send at
full speed would be handled in the same turn, and answers of servers, timers and deadlines would wait for that.

Clients that have sent requests go before those that have not. Otherwise a request would wait for one message of each
of the others, and hundreds of clients that connect, send something that takes long to parse, and connect again would
keep all requests waiting past their time.

After the process was stopped, all wait for some turns. Otherwise requests that came during the stop would be handled
before the list of servers that came with them, and be sent to a server that drains.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from oatlink.gateway.clock import TurnClock, now_us

INPUT_TIME_PER_TURN_US = 5_000


class InputTurns:
    """Gives the clients that have input to handle their turns, one after the other.

    In one turn of the loop their input is handled for `INPUT_TIME_PER_TURN_US`; the others wait, in the order in which
    they asked, requesters before newcomers. One newcomer has its turn even if requesters use all the time. A client
    limits what it handles each time and asks again for the rest, so one that has sent much waits for all others of its
    kind in between.
    """

    def __init__(self, turn_clock: TurnClock) -> None:
        self._turn_clock = turn_clock
        self._waiting_requesters: deque[Callable[[], None]] = deque()
        self._waiting_newcomers: deque[Callable[[], None]] = deque()
        self._is_scheduled = False
        self._turn_began_us = 0  # of the turn in which `_used_us` was used
        self._used_us = 0

    def run(self, handle_input: Callable[[], None], is_requester: bool) -> None:
        """Handle the input of a client now if this turn has time left and nobody waits, otherwise in its order.

        `is_requester`: whether the client has sent requests, and nothing else, before.
        """
        if self._may_run_now(is_requester):
            self._run(handle_input)
        else:
            self.run_later(handle_input, is_requester)

    def run_later(self, handle_input: Callable[[], None], is_requester: bool) -> None:
        """Handle the input of a client in a later turn of the loop."""
        (self._waiting_requesters if is_requester else self._waiting_newcomers).append(handle_input)
        self._schedule()

    async def wait_until_handled(self, handle_input: Callable[[], None], is_requester: bool) -> None:
        """Handle the input of a client as `run` does, and wait until that is done. Raises what it raises."""
        if self._may_run_now(is_requester):
            self._run(handle_input)
            return
        handled: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.run_later(partial(_resolve, handled, handle_input), is_requester)
        try:
            await handled
        finally:
            del handled  # it refers to an error whose traceback refers to this frame

    def _may_run_now(self, is_requester: bool) -> bool:
        if self._is_settling() or self._waiting_requesters or (self._waiting_newcomers and not is_requester):
            return False
        return self._has_time()

    def _is_settling(self) -> bool:
        self._turn_clock.turn_began_us()
        return self._turn_clock.is_settling

    def _has_time(self) -> bool:
        turn_began_us = self._turn_clock.turn_began_us()
        if turn_began_us != self._turn_began_us:
            self._turn_began_us, self._used_us = turn_began_us, 0
        return self._used_us < INPUT_TIME_PER_TURN_US

    def _run(self, handle_input: Callable[[], None]) -> None:
        began_us = now_us()
        handle_input()
        self._used_us += now_us() - began_us

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_waiting)

    def _run_waiting(self) -> None:
        """Give those that wait their turn as far as time allows; who asks meanwhile waits for the next turn."""
        self._is_scheduled = False
        try:
            if self._is_settling():
                return
            requester_count, newcomer_count = len(self._waiting_requesters), len(self._waiting_newcomers)
            self._run_first(self._waiting_requesters, requester_count)
            if requester_count and newcomer_count and not self._has_time():
                self._run(self._waiting_newcomers.popleft())
            else:
                self._run_first(self._waiting_newcomers, newcomer_count)
        finally:
            if self._waiting_requesters or self._waiting_newcomers:
                self._schedule()

    def _run_first(self, waiting: deque[Callable[[], None]], max_count: int) -> None:
        for _ in range(max_count):
            if not self._has_time():
                break
            self._run(waiting.popleft())


def _resolve(handled: "asyncio.Future[None]", handle_input: Callable[[], None]) -> None:
    """Handle the input of a client that waits for it, unless it has left meanwhile."""
    if handled.done():
        return
    try:
        handle_input()
    except Exception as problem:
        # Without its traceback, whose frames refer to `handled`: such a cycle would outlive the client.
        handled.set_exception(problem.with_traceback(None))
    else:
        handled.set_result(None)
