"""The list of database servers, from the platform's discovery: the whole list, or a watch that follows it.

A shell: each answer that counts is news, each failure is told; when to ask again is the Router's.
"""

import asyncio
from collections.abc import Callable

from oatlink.gateway.clock import TurnClock
from oatlink.platform.discovery import calls
from oatlink.platform.discovery.lists import ListError, News, read
from oatlink.platform.discovery.order import Order, Verdict

CALL_S = 1.8  # an answer takes no longer, after what a watch waits: 0.2 s less than until its news counts as told
FIRST_S = 0.001  # what a watch's first call waits
WHOLE = "/v1/endpoints"


class Discovery:
    """Calls to one discovery service at a time: at most one of a watch, and one for the whole list."""

    def __init__(
        self,
        address: tuple[str, int],
        wait_s: float,
        told: Callable[[News | None], None],
        note: Callable[[str], None],
        call_s: float = CALL_S,
    ) -> None:
        """`told`: news, or None for a call that failed. `wait_s`: how long a watch may wait for something new."""
        self.address, self._wait_s, self._told, self._note, self._call_s = address, wait_s, told, note, call_s
        self._order = Order()
        self._turn_clock = TurnClock()
        self._watch: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        """The list's version that is had; a watch asks for what came after it."""
        return self._order.version

    @version.setter
    def version(self, version: int) -> None:
        self._order.known(version)

    def wait(self, wait_s: float) -> None:
        """A watch may wait so long, from its next call on."""
        self._wait_s = wait_s

    def follow(self) -> None:
        """Watch from now on, unless that is under way."""
        if self._watch is None or self._watch.done():
            self._watch = asyncio.ensure_future(self._follow())

    def fetch(self) -> None:
        """Ask for the whole list, unless that is under way."""
        if self._fetch is None or self._fetch.done():
            self._fetch = asyncio.ensure_future(self._fetch_once())

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on: watched there at once, the old calls are let go."""
        self.close()
        self.address = address
        self.follow()

    def close(self) -> None:
        """Let go of what is under way: its sockets are closed, and whatever was on its way on them is not told."""
        for task in (self._watch, self._fetch):
            if task is not None:
                task.cancel()
        self._watch = self._fetch = None

    async def _follow(self) -> None:
        """Call after call, until one fails, which has been told, or it is cancelled. Raises nothing else."""
        # The first call does not wait: whether the watch stands, and what was missed, is known at once.
        wait_s, went_back = FIRST_S, False
        while True:
            path = f"{WHOLE}?since={self.version}&timeout_ms={round(wait_s * 1000)}"
            verdict = await self._call(path, wait_s)
            if verdict is Verdict.BACK:
                # Threat: two discoveries behind one address, one of them always behind: asked by turns without a
                # pause. Once it has gone back, the whole list helps; if not, the Router's pauses do.
                if went_back:
                    self._failed(path, "versions go back again and again")
                    return
                verdict = await self._whole()
                went_back = verdict is not Verdict.STALE
            else:
                went_back = False
            if verdict is None:
                return
            wait_s = self._wait_s

    async def _fetch_once(self) -> None:
        """One call for the whole list. Ends with its end, which has been told where it counts. Raises nothing."""
        verdict = await self._whole()
        if self._fetch is not asyncio.current_task():
            return  # let go of by whom it told
        if verdict is Verdict.RESTORED and self._watch is not None:
            # Threat: the watch waits for more than a version that discovery no longer has, and hears of no drain.
            self._watch.cancel()
            self._watch = None
        if verdict in (Verdict.TAKEN, Verdict.RESTORED):
            # Threat: a watch that failed while this call was under way. News is a sign of life: nobody asks again.
            self.follow()

    async def _whole(self) -> Verdict | None:
        """The whole list's verdict; None where the call failed. Raises nothing."""
        verdict = await self._call(WHOLE, 0.0)
        if verdict is Verdict.BACK:
            self._failed(WHOLE, "older changes where the whole list was asked for")
            return None
        return verdict

    async def _call(self, path: str, wait_s: float) -> Verdict | None:
        """One call's verdict; None where it failed. What counts of it has been told. Raises nothing of the call's."""
        began = self._order.begin()
        try:
            text = await calls.get(self.address, path, self._call_s, wait_s + self._call_s, self._turn_clock)
            news = read(text, False, self._note)
        except (calls.CallError, ListError) as problem:
            self._failed(path, str(problem))
            return None
        except Exception as problem:  # Threat: a watch that ends unseen, by what a peer sent; drains are missed then
            self._failed(path, f"{type(problem).__name__} {problem}")
            return None
        had = self.version
        verdict = self._order.judge(began, news)
        if verdict is Verdict.STALE:
            self._note(f"discovery: {path}: version {news.version} was overtaken by {had}")
        elif verdict is not Verdict.TAKEN:
            self._note(f"discovery: {path}: went back to version {news.version} from {had}")
        if verdict in (Verdict.TAKEN, Verdict.RESTORED):
            self._told(news)
        return verdict

    def _failed(self, path: str, problem: str) -> None:
        self._note(f"discovery: {path}: {problem[:200]}")
        self._told(None)
