"""The time until the gateway knows a change: the real client and Router on a simulated clock, calls simulated."""

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

NOTIFIED_S = 6.0
OBLIGATIONS = OPTIONS["Obligations"]


class SimulatedClockLoop(asyncio.SelectorEventLoop):
    """A loop whose clock jumps to the next timer when nothing is ready."""

    clock_s = 1.0

    def time(self) -> float:
        return self.clock_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            self.clock_s = max(self.clock_s, self._scheduled[0].when())  # type: ignore[attr-defined]
        super()._run_once()  # type: ignore[misc]


class SimulatedGateway:
    """A discovery client and a Router; each call ends as drawn from `ends` until discovery is reachable at `back_s`."""

    def __init__(self, loaded: config.Config, seed: int, ends: list[str], answer_s: float, back_s: float) -> None:
        self.router, self.draw = Router(loaded.settings), random.Random(seed)
        self.router.state.random.seed(seed)
        self.ends, self.answer_s, self.back_s = ends, answer_s, back_s
        self.loop = asyncio.get_running_loop()
        self.known_at_s: asyncio.Future[float] = self.loop.create_future()
        self.client = Discovery(("127.0.0.1", 1), loaded.watch_s, self.on_news, lambda text: None)

    async def get(self, address: Any, path: str, dial_timeout_s: float, timeout_s: float, turn_clock: Any) -> bytes:
        """Replaces `calls.get`."""
        if self.loop.time() >= self.back_s:
            await asyncio.sleep(self.answer_s)
            return page(9)
        end = self.draw.choice(self.ends)
        if end == "empty":  # no change came during the full wait; the next call of the same watch may get no answer
            await asyncio.sleep(timeout_s - CALL_S)
            return page(1, False)
        await asyncio.sleep({"silent": timeout_s, "busy": CALL_S * self.draw.random(), "refused": 0.001}[end])
        raise calls.CallError(end)

    def on_news(self, news: News | None) -> None:
        if news is not None and news.version == 9 and not self.known_at_s.done():
            self.known_at_s.set_result(self.loop.time())
        self.handle(api.Roster(news.kind if news else api.RosterKind.FAILED))

    def handle(self, event: api.Event) -> None:
        for action in self.router.handle(event, round(self.loop.time() * 1e6)):
            match action:
                case api.FollowRoster():
                    self.client.follow()
                case api.FetchRoster():
                    self.client.fetch()
                case api.SetTimer():
                    self.loop.call_at(action.at_us / 1e6, self.handle, api.TimerFired(action.name))


def load_config(folder: Path, **changed: Any) -> config.Config:
    path = folder / "config.json"
    settings = OPTIONS | {"PeersTotal": 200} | changed
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}))
    return config.load({"GW_CONFIG": str(path)})


@pytest.mark.parametrize(
    "ends", [["silent"], ["refused"], ["busy"], ["empty", "silent"], ["silent", "refused", "busy"]]
)
@pytest.mark.parametrize("within_s", [4, 10, 60])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_change_is_known_within_6_s_of_discoverys_being_reached_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ends: list[str], within_s: int, mode: str
) -> None:
    """Holds for any outcome of the earlier calls, even if the call that brings the change takes most of its time."""
    obligations = OBLIGATIONS | {"AskWithinUs": within_s * 1_000_000, "StopSendingWithinUs": 700_000}
    loaded = load_config(tmp_path, Discovery=mode, Obligations=obligations)

    async def run_once(seed: int) -> float:
        gateway = SimulatedGateway(loaded, seed, ends, 0.75 * CALL_S, back_s=1.0 + 20 * random.Random(seed).random())
        monkeypatch.setattr(calls, "get", gateway.get)
        gateway.handle(api.Start())
        known_at_s = await asyncio.wait_for(gateway.known_at_s, 600)
        gateway.client.close()
        return known_at_s - gateway.back_s

    delays_s = []
    for seed in range(40):
        with asyncio.Runner(loop_factory=SimulatedClockLoop) as runner:
            delays_s.append(runner.run(run_once(seed)))
    assert max(delays_s) <= NOTIFIED_S
