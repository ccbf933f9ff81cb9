"""When news counts as told: real calls and the real Router on a clock that leaps, then over loopback."""

import asyncio
import json
import random
from pathlib import Path
from typing import Any

import pytest

from oatlink import interface as api
from oatlink.platform import config
from oatlink.platform.discovery import CALL_S, Discovery, News, calls
from oatlink.rules import Router
from tests.discovery_script import page
from tests.test_adapter import OPTIONS

TOLD_S = 6.0
DUTIES = OPTIONS["Obligations"]


class Leaps(asyncio.SelectorEventLoop):
    """A loop whose clock goes to the next timer at once."""

    at_s = 1.0

    def time(self) -> float:
        return self.at_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            self.at_s = max(self.at_s, self._scheduled[0].when())  # type: ignore[attr-defined]
        super()._run_once()  # type: ignore[misc]


class Asked:
    """A gateway's calls and its Router; what becomes of a call is this test's. Reached again at `back_s`."""

    def __init__(self, read: config.Config, seed: int, ends: list[str], answer_s: float, back_s: float) -> None:
        self.router, self.draw = Router(read.settings), random.Random(seed)
        self.router.state.random.seed(seed)
        self.ends, self.answer_s, self.back_s = ends, answer_s, back_s
        self.loop = asyncio.get_running_loop()
        self.known: asyncio.Future[float] = self.loop.create_future()
        self.one = Discovery(("127.0.0.1", 1), read.watch_s, self.told, lambda text: None)

    async def get(self, address: Any, path: str, dial_s: float, most_s: float, marks: Any) -> bytes:
        """In the place of `calls.get`."""
        if self.loop.time() >= self.back_s:
            await asyncio.sleep(self.answer_s)
            return page(9)
        end = self.draw.choice(self.ends)
        if end == "empty":  # nothing new, once it has waited; a watch that was told so may fall silent on its next call
            await asyncio.sleep(most_s - CALL_S)
            return page(1, False)
        await asyncio.sleep({"silent": most_s, "busy": CALL_S * self.draw.random(), "refused": 0.001}[end])
        raise calls.CallError(end)

    def told(self, news: News | None) -> None:
        if news is not None and news.version == 9 and not self.known.done():
            self.known.set_result(self.loop.time())
        self.do(api.Roster(news.kind if news else api.RosterKind.FAILED))

    def do(self, event: api.Event) -> None:
        for action in self.router.handle(event, round(self.loop.time() * 1e6)):
            match action:
                case api.FollowRoster():
                    self.one.follow()
                case api.FetchRoster():
                    self.one.fetch()
                case api.SetTimer():
                    self.loop.call_at(action.at_us / 1e6, self.do, api.TimerFired(action.name))


def read(place: Path, **changed: Any) -> config.Config:
    path = place / "config.json"
    settings = OPTIONS | {"PeersTotal": 200} | changed
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}))
    return config.read({"GW_CONFIG": str(path)})


@pytest.mark.parametrize(
    "ends", [["silent"], ["refused"], ["busy"], ["empty", "silent"], ["silent", "refused", "busy"]]
)
@pytest.mark.parametrize("within_s", [4, 10, 60])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_change_is_known_within_6_s_of_discoverys_being_reached_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ends: list[str], within_s: int, mode: str
) -> None:
    """Whatever the calls before came to, and though the call that brings it takes most of its time."""
    duties = DUTIES | {"AskWithinUs": within_s * 1_000_000, "StopSendingWithinUs": 700_000}
    settings = read(tmp_path, Discovery=mode, Obligations=duties)

    async def scene(seed: int) -> float:
        asked = Asked(settings, seed, ends, 0.75 * CALL_S, back_s=1.0 + 20 * random.Random(seed).random())
        monkeypatch.setattr(calls, "get", asked.get)
        asked.do(api.Start())
        at_s = await asyncio.wait_for(asked.known, 600)
        asked.one.close()
        return at_s - asked.back_s

    took = []
    for seed in range(40):
        with asyncio.Runner(loop_factory=Leaps) as runner:
            took.append(runner.run(scene(seed)))
    assert max(took) <= TOLD_S
