"""Overlapping answers of discovery: changes, whole lists and a restored discovery; then all of them in any order."""

import asyncio
import json
from unittest import mock
from urllib.parse import parse_qs, urlsplit

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatlink.gateway.clock import TurnClock
from oatlink.interface import Listing, RosterKind
from oatlink.platform import discovery as disco
from oatlink.platform.discovery import Discovery, News, calls
from oatlink.platform.discovery.order import AnswerStatus, VersionTracker
from tests.discovery_script import WHOLE, Script, changes, page, whole
from tests.scenes import scene

# ---- Two answers that overlap ----


@scene(Script)
async def test_a_whole_list_overtaken_by_a_change_undoes_nothing(script: Script) -> None:
    watch, fetch = await script.follow_and_fetch(6)
    assert await script.next_news(watch, changes(8, a="terminating")) == (8, {"a"})
    watch = await script.call()
    await fetch.end(whole(7, a="in_service"))  # written before the change, read after it
    await script.wait_for_line("version 7 was overtaken by 8")
    assert script.news.empty() and script.client.version == 8
    assert await script.next_news(watch, changes(9, b="terminating")) == (9, {"b"}), "the watch continues"


@scene(Script)
async def test_a_whole_list_before_a_change_is_taken_and_then_the_change(script: Script) -> None:
    watch, fetch = await script.follow_and_fetch(6)
    assert await script.next_news(fetch, whole(7, a="in_service")) == (7, set())
    assert await script.next_news(watch, changes(8, a="terminating")) == (8, {"a"})
    assert (await script.call()).path.startswith(f"{WHOLE}?since=8&")


@scene(Script)
async def test_changes_overtaken_by_a_whole_list_are_no_failure(script: Script) -> None:
    watch, fetch = await script.follow_and_fetch(6)
    assert await script.next_news(fetch, whole(9, a="terminating")) == (9, {"a"})
    await watch.end(changes(7, a="in_service"))
    watch = await script.call()
    assert watch.path.startswith(f"{WHOLE}?since=9&"), "it continues from the newest version"
    assert script.news.empty()
    assert await script.next_news(watch, changes(10, b="terminating")) == (10, {"b"})


@scene(Script)
async def test_a_watch_that_failed_during_a_fetch_is_opened_again_by_its_news(script: Script) -> None:
    """After news the Router does not request a new watch, so the client itself has to restart it."""
    watch, fetch = await script.follow_and_fetch()
    watch.reset()
    assert await script.next_news() is None
    assert await script.next_news(fetch, whole(7, a="in_service")) == (7, set())
    assert (await script.call()).path == f"{WHOLE}?since=7&timeout_ms=1"


# ---- Discovery goes back to an older version ----


@scene(Script)
async def test_a_discovery_that_went_back_is_followed_from_its_whole_list(script: Script) -> None:
    await (await script.follow(50)).end(changes(3))
    fetch = await script.call()
    assert fetch.path == WHOLE and script.news.empty()
    assert await script.next_news(fetch, whole(3, a="terminating", b="in_service")) == (3, {"a"})
    assert script.last is not None and script.last.kind is RosterKind.WHOLE
    watch = await script.call()
    assert watch.path.startswith(f"{WHOLE}?since=3&")
    assert await script.next_news(watch, changes(4, b="terminating")) == (4, {"b"})


@scene(Script)
async def test_a_watch_that_waits_above_a_restored_version_is_restarted(script: Script) -> None:
    watch, fetch = await script.follow_and_fetch(50)
    assert await script.next_news(fetch, whole(3, a="terminating")) == (3, {"a"})
    assert (await script.call()).path == f"{WHOLE}?since=3&timeout_ms=1"
    await watch.wait_closed()
    assert script.news.empty()


@scene(Script)
async def test_an_answer_from_before_discovery_went_back_undoes_nothing(script: Script) -> None:
    watch, fetch = await script.follow_and_fetch(50)
    assert await script.next_news(watch, whole(3, a="terminating")) == (3, {"a"})
    await fetch.end(whole(51, a="in_service"))
    await script.wait_for_line("version 51 was overtaken by 3")
    assert script.news.empty() and script.client.version == 3


@scene(Script)
async def test_a_discovery_that_goes_back_again_and_again_is_not_asked_without_a_pause(script: Script) -> None:
    await (await script.follow(50)).end(changes(3))
    assert await script.next_news(await script.call(), whole(50)) == (50, set())
    assert await script.next_news(await script.call(), changes(3)) is None
    assert script.has_no_calls


@pytest.mark.parametrize("text", [changes(3), b""], ids=["changes", "failure"])
@scene(Script)
async def test_a_whole_list_that_does_not_come_is_one_failure(script: Script, text: bytes) -> None:
    await (await script.follow(50)).end(changes(3))
    assert await script.next_news(await script.call(), text) is None
    assert script.news.empty() and script.has_no_calls and script.client.version == 50


# ---- Any order ----


@pytest.mark.parametrize(
    ("version", "is_full", "overlaps", "status"),
    [
        (6, True, False, AnswerStatus.APPLIED),
        (4, True, True, AnswerStatus.STALE),
        (4, True, False, AnswerStatus.RESTORED),
        (5, False, True, AnswerStatus.APPLIED),
        (4, False, True, AnswerStatus.STALE),
        (4, False, False, AnswerStatus.WENT_BACK),
    ],
)
def test_the_status_of_an_answer(version: int, is_full: bool, overlaps: bool, status: AnswerStatus) -> None:
    versions = VersionTracker()
    versions.set_version(4)
    began_at_count = versions.begin_call()
    versions.classify(began_at_count, disco.read(page(5), False, print))
    if not overlaps:
        began_at_count = versions.begin_call()
    assert versions.classify(began_at_count, disco.read(page(version, is_full), False, print)) is status
    is_applied = status in (AnswerStatus.APPLIED, AnswerStatus.RESTORED)
    assert versions.version == (version if is_applied else 5) and versions.begin_call() == 2 + is_applied


NAMES = "ab"
STATES = {Listing.READY: "in_service", Listing.TERMINATING: "terminating"}


class Pending(asyncio.Future[bytes]):
    """A running call; its answer is written at one moment and received at another."""

    path, written = "", b""

    def receive(self) -> None:
        if self.written and not self.done():
            self.set_result(self.written)

    def fail(self) -> None:
        if not self.done():
            self.set_exception(calls.CallError("reset"))


class Model:
    """A discovery that changes and is restored, calls whose answers come in any order, and what the gateway believes.

    An entry's `cell` is the time at which it was written, and its `zone` is how often discovery had been restored until
    then. Versions alone cannot show that discovery was restored and has changed as often since. So while the gateway
    has not noticed a restore, discovery's version stays below the gateway's.
    """

    def __init__(self) -> None:
        self.now = self.restore_count = 0
        self.is_restore_unseen = False  # the gateway has not noticed yet that discovery was restored
        self.undone: list[str] = []  # servers whose newer state was undone by an older answer
        self.log: list[str] = []  # the server that changed its state with each version
        self.calls: list[Pending] = []
        self.belief = {name: (Listing.READY, 0) for name in NAMES}
        self.client = Discovery(("127.0.0.1", 1), 1.0, self.on_news, lambda line: None)

    async def get(
        self, address: tuple[str, int], path: str, dial_timeout_s: float, timeout_s: float, turn_clock: TurnClock
    ) -> bytes:
        """Replaces `calls.get`."""
        self.calls.append(call := Pending())
        call.path = path
        try:
            return await call
        finally:
            self.calls.remove(call)

    def state(self, name: str) -> Listing:
        return Listing.TERMINATING if self.log.count(name) % 2 else Listing.READY

    def restore(self, steps: int) -> None:
        self.restore_count += 1
        del self.log[-steps:]
        self.is_restore_unseen = len(self.log) < self.client.version
        for call in self.calls if not self.is_restore_unseen else ():
            call.fail()

    def write(self, call: Pending, is_full: bool) -> None:
        """Write discovery's answer to a call; it is received later."""
        if call.written:
            return
        self.now += 1
        query = parse_qs(urlsplit(call.path).query)
        is_full = is_full or not query
        names = NAMES if is_full else sorted(set(self.log[int(query["since"][0]) :]))
        common = {"addr": "127.0.0.1:1", "cell": self.now, "zone": str(self.restore_count)}
        entries = [common | {"id": name, "state": STATES[self.state(name)]} for name in names]
        call.written = json.dumps({"version": len(self.log), "full": is_full, "servers": entries}).encode()

    def on_news(self, news: News | None) -> None:
        servers = news.servers if news is not None else ()
        self.is_restore_unseen &= all(server.zone != str(self.restore_count) for server in servers)
        for server in servers:
            listing, written = self.belief[server.id]
            if listing is not server.listing and server.group <= written:
                self.undone.append(server.id)  # recorded, because an exception raised here would be swallowed
            self.belief[server.id] = (server.listing, max(server.group, written))

    async def settle(self) -> None:
        """Let the event loop run all callbacks that are due."""
        for _ in range(12):
            await asyncio.sleep(0)

    async def step(self, action: str, which: int) -> None:
        call = self.calls[which % len(self.calls)] if self.calls else None
        if action == "change" and (not self.is_restore_unseen or len(self.log) + 1 < self.client.version):
            self.log.append(NAMES[which % len(NAMES)])
        elif action == "restore" and 0 < which <= len(self.log) and self.restore_count < 2:
            self.restore(which)
        elif call and action in ("write", "write all"):
            self.write(call, action == "write all")
        elif call and action in ("receive", "fail"):
            getattr(call, action)()
        self.client.follow()
        self.client.fetch()
        await self.settle()

    async def quiesce(self) -> None:
        """Answer every call at once while nothing changes any more."""
        for _ in range(8):
            self.client.follow()
            await self.settle()
            for call in list(self.calls):
                self.write(call, False)
                call.receive()
            await self.settle()


ACTIONS = ["change", "change", "restore", "write", "write", "write all", "receive", "receive", "receive", "fail"]


@settings(max_examples=400, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 3)), max_size=60))
def test_in_any_order_no_older_answer_undoes_a_newer_one_and_the_version_followed_is_discoverys(
    steps: list[tuple[str, int]],
) -> None:
    async def run_steps() -> Model:
        model = Model()
        with mock.patch.object(calls, "get", model.get):
            for action, which in steps:
                await model.step(action, which)
            await model.quiesce()
            model.client.close()
            await model.settle()
        return model

    model = asyncio.run(run_steps())
    assert not model.undone and model.client.version <= len(model.log)
    if model.restore_count < 2:
        assert {name: model.belief[name][0] for name in NAMES} == {name: model.state(name) for name in NAMES}
