"""Gets the list of database servers from the platform's discovery: as a whole list, or by a watch that follows it.

This module does I/O only: it passes on each answer that counts as news and reports each failure. The Router decides
when to call again.

A call without an answer in its time is reported as failed, so that another one is made soon, but it is not hung up yet.
A crowded discovery answers late, and each call that is given up just before makes it work for nobody while the next one
joins the end of the same queue. An answer that still comes counts like any other.
"""

import asyncio
from collections.abc import Callable

from oatlink.gateway.clock import TurnClock
from oatlink.platform.discovery import calls
from oatlink.platform.discovery.lists import ListError, News, read
from oatlink.platform.discovery.order import AnswerStatus, VersionTracker

CALL_S = 1.8  # after that, beyond the wait of a watch, a call is overdue: 0.2 s before its news counts as notified
LATE_ANSWER_S = 1.2  # how much longer the answer of an overdue call is accepted; discovery may take 2 s in all
FIRST_WAIT_S = 0.001  # the wait of a watch's first call
LIST_PATH = "/v1/endpoints"


class Discovery:
    """Makes calls to one discovery service.

    At most one call of a watch and one for the whole list are made at a time, not counting overdue ones. Of these there
    is also at most one of each, since the next call is not overdue before their time is up.
    """

    def __init__(
        self,
        address: tuple[str, int],
        wait_s: float,
        on_news: Callable[[News | None], None],
        note: Callable[[str], None],
        call_s: float = CALL_S,
    ) -> None:
        """`on_news` gets news, or None for a failed or overdue call.

        `wait_s`: how long a watch call may wait for a change. `call_s`: when, after that, a call is overdue.
        """
        self.address, self._wait_s, self._on_news, self._note, self._call_s = address, wait_s, on_news, note, call_s
        self._versions = VersionTracker()
        self._turn_clock = TurnClock()
        self._watch: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._overdue: set[asyncio.Task[None]] = set()  # tasks whose present call is overdue
        self._closed_count = 0

    @property
    def version(self) -> int:
        """The version of the newest applied list; a watch asks for what came after it."""
        return self._versions.version

    @version.setter
    def version(self, version: int) -> None:
        self._versions.set_version(version)

    @property
    def _is_watching(self) -> bool:
        """Whether a watch is running, not counting one whose call is overdue."""
        return self._watch is not None and not self._watch.done()

    def wait(self, wait_s: float) -> None:
        """Set how long a watch call may wait, from the next call on."""
        self._wait_s = wait_s

    def follow(self) -> None:
        """Start a watch, unless one is running."""
        if not self._is_watching:
            self._watch = asyncio.ensure_future(self._follow())

    def fetch(self) -> None:
        """Request the whole list, unless such a call is running."""
        if self._fetch is None or self._fetch.done():
            self._fetch = asyncio.ensure_future(self._fetch_once())

    def move(self, address: tuple[str, int]) -> None:
        """Switch to another address: cancel the running calls and start a watch there at once."""
        self.close()
        self.address = address
        self.follow()

    def close(self) -> None:
        """Cancel the running calls. Their sockets are closed, and answers that were on their way are not passed on."""
        self._closed_count += 1
        for task in (self._watch, self._fetch, *self._overdue):
            if task is not None:
                task.cancel()
        self._watch = self._fetch = None
        self._overdue.clear()

    async def _follow(self) -> None:
        """Make call after call until one fails, which is reported, or until cancelled. Raises nothing else.

        Ends also when an overdue call is answered and another watch was started meanwhile.
        """
        closed_count = self._closed_count
        # The first call does not wait, so it shows at once whether discovery can be watched and what was missed.
        wait_s, has_gone_back = FIRST_WAIT_S, False
        while True:
            path = f"{LIST_PATH}?since={self.version}&timeout_ms={round(wait_s * 1000)}"
            status = await self._call(path, wait_s)
            if status is AnswerStatus.WENT_BACK:
                # Two discovery services behind one address, one of them always behind, would otherwise be called in
                # turn without a pause. The whole list resolves a single step back; when discovery goes back again, the
                # call counts as failed and the Router pauses.
                if has_gone_back:
                    self._report_failure(path, "version went back repeatedly")
                    return
                status = await self._call_whole_list()
                has_gone_back = status is not AnswerStatus.STALE
            else:
                has_gone_back = False
            if status is None or closed_count != self._closed_count:
                return
            if not self._is_watching:
                self._watch = asyncio.current_task()  # its call was overdue, and no other watch runs
            elif self._watch is not asyncio.current_task():
                return
            wait_s = self._wait_s

    async def _fetch_once(self) -> None:
        """Request the whole list once; the result is passed on if it counts. Raises nothing."""
        closed_count = self._closed_count
        status = await self._call_whole_list()
        if closed_count != self._closed_count:
            return  # the receiver of the news closed this client or moved it
        if status is AnswerStatus.RESTORED and self._watch is not None:
            # The watch waits for changes after a version that discovery no longer has, and would miss every drain.
            self._watch.cancel()
            self._watch = None
        if status in (AnswerStatus.APPLIED, AnswerStatus.RESTORED):
            # Restarts a watch that failed during this call: after news the Router does not ask for it again.
            self.follow()

    async def _call_whole_list(self) -> AnswerStatus | None:
        """Request the whole list; None if the call failed. Raises nothing."""
        status = await self._call(LIST_PATH, 0.0)
        if status is AnswerStatus.WENT_BACK:
            self._report_failure(LIST_PATH, "expected the whole list, got changes to an older version")
            return None
        return status

    async def _call(self, path: str, wait_s: float) -> AnswerStatus | None:
        """Make one call and pass on what counts of its answer; None if it failed. Raises none of the call's errors."""
        began_at_count = self._versions.begin_call()
        overdue_s = wait_s + self._call_s
        task = asyncio.current_task()
        assert task is not None
        overdue_timer = asyncio.get_running_loop().call_later(overdue_s, self._mark_overdue, task, path)
        try:
            timeout_s = overdue_s + LATE_ANSWER_S
            text = await calls.get(self.address, path, self._call_s, timeout_s, self._turn_clock)
            news = read(text, False, self._note)
        except (calls.CallError, ListError) as problem:
            self._report_failure(path, str(problem))
            return None
        except Exception as problem:  # whatever the peer sent: a watch that ended unnoticed would miss drains
            self._report_failure(path, f"{type(problem).__name__} {problem}")
            return None
        finally:
            overdue_timer.cancel()
        self._settle_overdue(path)
        version_before = self.version
        status = self._versions.classify(began_at_count, news)
        if status is AnswerStatus.STALE:
            self._note(f"discovery: {path}: version {news.version} was overtaken by {version_before}")
        elif status is not AnswerStatus.APPLIED:
            self._note(f"discovery: {path}: went back to version {news.version} from {version_before}")
        if status in (AnswerStatus.APPLIED, AnswerStatus.RESTORED):
            self._on_news(news)
        return status

    def _mark_overdue(self, task: asyncio.Task[None], path: str) -> None:
        """Report a call as failed, and let another one be made while its answer is still accepted."""
        if task is self._watch:
            self._watch = None
        elif task is self._fetch:
            self._fetch = None
        self._overdue.add(task)
        task.add_done_callback(self._overdue.discard)
        self._note(f"discovery: {path}: no whole answer in time")
        self._on_news(None)

    def _settle_overdue(self, path: str) -> bool:
        """Return whether the present task's call, which has ended, was overdue: its failure is reported already."""
        task = asyncio.current_task()
        if task not in self._overdue:
            return False
        self._overdue.discard(task)
        self._note(f"discovery: {path}: the overdue call has ended")
        return True

    def _report_failure(self, path: str, problem: str) -> None:
        self._note(f"discovery: {path}: {problem[:200]}")
        if not self._settle_overdue(path):
            self._on_news(None)
