"""Discovery's answers where two of them cross: changes, a whole list, and discovery's going back; then in any order."""

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
from oatlink.platform.discovery.order import Order, Verdict
from tests.discovery_script import WHOLE, Script, changes, page, whole
from tests.scenes import scene

# ---- Two answers that cross ----


@scene(Script)
async def test_a_whole_list_overtaken_by_a_change_undoes_nothing(at: Script) -> None:
    watch, fetch = await at.both(6)
    assert await at.hears(watch, changes(8, a="terminating")) == (8, {"a"})
    watch = await at.call()
    await fetch.end(whole(7, a="in_service"))  # written before the change, read after it
    await at.noted("version 7 was overtaken by 8")
    assert at.news.empty() and at.one.version == 8
    assert await at.hears(watch, changes(9, b="terminating")) == (9, {"b"}), "the watch goes on"


@scene(Script)
async def test_a_whole_list_before_a_change_is_taken_and_then_the_change(at: Script) -> None:
    watch, fetch = await at.both(6)
    assert await at.hears(fetch, whole(7, a="in_service")) == (7, set())
    assert await at.hears(watch, changes(8, a="terminating")) == (8, {"a"})
    assert (await at.call()).path.startswith(f"{WHOLE}?since=8&")


@scene(Script)
async def test_changes_overtaken_by_a_whole_list_are_no_failure(at: Script) -> None:
    watch, fetch = await at.both(6)
    assert await at.hears(fetch, whole(9, a="terminating")) == (9, {"a"})
    await watch.end(changes(7, a="in_service"))
    watch = await at.call()
    assert watch.path.startswith(f"{WHOLE}?since=9&"), "it goes on from the newest"
    assert at.news.empty()
    assert await at.hears(watch, changes(10, b="terminating")) == (10, {"b"})


@scene(Script)
async def test_a_watch_that_failed_during_a_fetch_is_opened_again_by_its_news(at: Script) -> None:
    """News is a sign of life: after it nobody asks the calls to follow again."""
    watch, fetch = await at.both()
    watch.reset()
    assert await at.hears() is None
    assert await at.hears(fetch, whole(7, a="in_service")) == (7, set())
    assert (await at.call()).path == f"{WHOLE}?since=7&timeout_ms=1"


# ---- Discovery goes back ----


@scene(Script)
async def test_a_discovery_that_went_back_is_followed_from_its_whole_list(at: Script) -> None:
    await (await at.follows(50)).end(changes(3))
    fetch = await at.call()
    assert fetch.path == WHOLE and at.news.empty()
    assert await at.hears(fetch, whole(3, a="terminating", b="in_service")) == (3, {"a"})
    assert at.last is not None and at.last.kind is RosterKind.WHOLE
    watch = await at.call()
    assert watch.path.startswith(f"{WHOLE}?since=3&")
    assert await at.hears(watch, changes(4, b="terminating")) == (4, {"b"})


@scene(Script)
async def test_a_watch_that_waits_above_a_restored_version_is_opened_anew(at: Script) -> None:
    watch, fetch = await at.both(50)
    assert await at.hears(fetch, whole(3, a="terminating")) == (3, {"a"})
    assert (await at.call()).path == f"{WHOLE}?since=3&timeout_ms=1"
    await watch.let_go()
    assert at.news.empty()


@scene(Script)
async def test_an_answer_from_before_discovery_went_back_undoes_nothing(at: Script) -> None:
    watch, fetch = await at.both(50)
    assert await at.hears(watch, whole(3, a="terminating")) == (3, {"a"})
    await fetch.end(whole(51, a="in_service"))
    await at.noted("version 51 was overtaken by 3")
    assert at.news.empty() and at.one.version == 3


@scene(Script)
async def test_a_discovery_that_goes_back_again_and_again_is_not_asked_without_a_pause(at: Script) -> None:
    await (await at.follows(50)).end(changes(3))
    assert await at.hears(await at.call(), whole(50)) == (50, set())
    assert await at.hears(await at.call(), changes(3)) is None
    assert at.quiet


@pytest.mark.parametrize("text", [changes(3), b""], ids=["changes", "failure"])
@scene(Script)
async def test_a_whole_list_that_does_not_come_is_one_failure(at: Script, text: bytes) -> None:
    await (await at.follows(50)).end(changes(3))
    assert await at.hears(await at.call(), text) is None
    assert at.news.empty() and at.quiet and at.one.version == 50


# ---- Any order ----


@pytest.mark.parametrize(
    ("version", "full", "crossed", "verdict"),
    [
        (6, True, False, Verdict.TAKEN),
        (4, True, True, Verdict.STALE),
        (4, True, False, Verdict.RESTORED),
        (5, False, True, Verdict.TAKEN),
        (4, False, True, Verdict.STALE),
        (4, False, False, Verdict.BACK),
    ],
)
def test_an_answers_verdict(version: int, full: bool, crossed: bool, verdict: Verdict) -> None:
    order = Order()
    order.known(4)
    began = order.begin()
    order.judge(began, disco.read(page(5), False, print))
    if not crossed:
        began = order.begin()
    assert order.judge(began, disco.read(page(version, full), False, print)) is verdict
    counts = verdict in (Verdict.TAKEN, Verdict.RESTORED)
    assert order.version == (version if counts else 5) and order.begin() == 2 + counts


NAMES = "ab"
STATES = {Listing.READY: "in_service", Listing.TERMINATING: "terminating"}


class Pending(asyncio.Future[bytes]):
    """A call under way; its answer is written at one moment and comes at another."""

    path, written = "", b""

    def come(self) -> None:
        if self.written and not self.done():
            self.set_result(self.written)

    def fail(self) -> None:
        if not self.done():
            self.set_exception(calls.CallError("reset"))


class Model:
    """A discovery that changes and is put back, calls whose answers come in any order, and a gateway's belief.

    An entry's `cell` says when it was written, its `zone` how often discovery had been put back by then. Versions alone
    do not show that discovery was put back and has changed as often since: so while the gateway has not seen that it
    was put back, it stays below the gateway's version.
    """

    def __init__(self) -> None:
        self.now = self.put_back = 0
        self.behind = False  # the gateway has to see that discovery was put back
        self.undone: list[str] = []  # by an older answer
        self.log: list[str] = []  # the server that turned with each version
        self.calls: list[Pending] = []
        self.belief = {name: (Listing.READY, 0) for name in NAMES}
        self.one = Discovery(("127.0.0.1", 1), 1.0, self.told, lambda line: None)

    async def get(
        self, address: tuple[str, int], path: str, dial_s: float, most_s: float, turn_clock: TurnClock
    ) -> bytes:
        """In place of a call over the network."""
        self.calls.append(call := Pending())
        call.path = path
        try:
            return await call
        finally:
            self.calls.remove(call)

    def state(self, name: str) -> Listing:
        return Listing.TERMINATING if self.log.count(name) % 2 else Listing.READY

    def put_back_by(self, steps: int) -> None:
        self.put_back += 1
        del self.log[-steps:]
        self.behind = len(self.log) < self.one.version
        for call in self.calls if not self.behind else ():
            call.fail()

    def write(self, call: Pending, full: bool) -> None:
        """Discovery answers; the answer is on its way."""
        if call.written:
            return
        self.now += 1
        query = parse_qs(urlsplit(call.path).query)
        full = full or not query
        names = NAMES if full else sorted(set(self.log[int(query["since"][0]) :]))
        common = {"addr": "127.0.0.1:1", "cell": self.now, "zone": str(self.put_back)}
        entries = [common | {"id": name, "state": STATES[self.state(name)]} for name in names]
        call.written = json.dumps({"version": len(self.log), "full": full, "servers": entries}).encode()

    def told(self, news: News | None) -> None:
        servers = news.servers if news is not None else ()
        self.behind &= all(server.zone != str(self.put_back) for server in servers)
        for server in servers:
            listing, written = self.belief[server.id]
            if listing is not server.listing and server.group <= written:
                self.undone.append(server.id)  # nobody hears what is raised here
            self.belief[server.id] = (server.listing, max(server.group, written))

    async def settle(self) -> None:
        """Everything that follows from what has happened."""
        for _ in range(12):
            await asyncio.sleep(0)

    async def step(self, what: str, which: int) -> None:
        call = self.calls[which % len(self.calls)] if self.calls else None
        if what == "change" and (not self.behind or len(self.log) + 1 < self.one.version):
            self.log.append(NAMES[which % len(NAMES)])
        elif what == "put back" and 0 < which <= len(self.log) and self.put_back < 2:
            self.put_back_by(which)
        elif call and what in ("write", "write all"):
            self.write(call, what == "write all")
        elif call and what in ("come", "fail"):
            getattr(call, what)()
        self.one.follow()
        self.one.fetch()
        await self.settle()

    async def rest(self) -> None:
        """From here on nothing changes, and every call is answered at once."""
        for _ in range(8):
            self.one.follow()
            await self.settle()
            for call in list(self.calls):
                self.write(call, False)
                call.come()
            await self.settle()


WHATS = ["change", "change", "put back", "write", "write", "write all", "come", "come", "come", "fail"]


@settings(max_examples=400, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(WHATS), st.integers(0, 3)), max_size=60))
def test_in_any_order_no_older_answer_undoes_a_newer_one_and_the_version_followed_is_discoverys(
    steps: list[tuple[str, int]],
) -> None:
    async def played() -> Model:
        one = Model()
        with mock.patch.object(calls, "get", one.get):
            for what, which in steps:
                await one.step(what, which)
            await one.rest()
            one.one.close()
            await one.settle()
        return one

    one = asyncio.run(played())
    assert not one.undone and one.one.version <= len(one.log)
    if one.put_back < 2:
        assert {name: one.belief[name][0] for name in NAMES} == {name: one.state(name) for name in NAMES}
