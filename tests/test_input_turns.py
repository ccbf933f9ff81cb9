"""Clients that send hundreds of messages at once take turns with the others, whoever answers the messages."""

import asyncio
from collections import Counter
from functools import partial

import pytest

from oatlink.gateway.clock import TurnClock
from oatlink.platform.clients import Client
from oatlink.platform.clients.connection import MAX_MESSAGES_PER_TURN
from oatlink.protocols import pgwire as pg
from oatlink.transport import turns
from oatlink.transport.turns import INPUT_TIME_PER_TURN_US, InputTurns
from tests.client_world import STARTUP, ListenerWorld, listener_world, query
from tests.platform_world import run_scenario
from tests.scenes import scene

MESSAGE_COUNT = 900
FLOODER_COUNT = 20
FLOODS = {
    "empty": query(b""),
    "set": query(b"SET search_path = a"),
    "sync": pg.Message(b"S", b"").encode(),
    "skipped": pg.Message(b"P", b"name\0\0\0\0").encode(),
    "encryption": pg.make_request(pg.SSL).encode(),
    "queries": query(b"flood"),
}


@pytest.mark.parametrize("kind", FLOODS)
@scene(listener_world)
async def test_no_client_has_more_than_its_share_of_a_turn(
    world: ListenerWorld, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a loop that only answers a flood: usual requests were answered seconds late (review, case 2)."""
    handled: Counter[Client] = Counter()
    most_handled, submitted_after = 0, list[int]()
    handle_message = Client._handle_message

    def count_message(client: Client, message: pg.Message) -> None:
        handled[client] += 1
        handle_message(client, message)
        if world.handler.submitted[-1:] == [b"usual"] and not submitted_after:
            submitted_after.append(max(handled.values()))

    def end_turn() -> None:
        nonlocal most_handled
        most_handled = max([most_handled, *(handled[each] - before[each] for each in handled)])
        before.update(handled)
        asyncio.get_running_loop().call_soon(end_turn)

    world.handler.answers_at_once = True
    usual, _ = await world.start_client()
    floods = [world.connect(STARTUP if kind != "encryption" else b"") for _ in range(FLOODER_COUNT)]
    await world.until(lambda: len(world.clients.active) == FLOODER_COUNT + 1)
    await asyncio.sleep(0.05)  # their startups are answered
    monkeypatch.setattr(Client, "_handle_message", count_message)
    for peer in floods:
        peer.send(FLOODS[kind] * MESSAGE_COUNT)
    usual.send(query(b"usual"))
    before: Counter[Client] = Counter()
    end_turn()
    await world.until(lambda: sum(handled.values()) >= FLOODER_COUNT * MESSAGE_COUNT)
    await asyncio.sleep(0)  # the last turn counts too
    assert most_handled <= MAX_MESSAGES_PER_TURN
    assert await usual.answer() == "value of usual"
    assert submitted_after[0] <= 2 * MAX_MESSAGES_PER_TURN, "it waited for a share of each of the others, at most"


def test_input_has_its_time_of_a_turn_and_those_that_wait_have_theirs_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    clock_us, turn_us = 0, INPUT_TIME_PER_TURN_US // 4
    monkeypatch.setattr(turns, "now_us", lambda: clock_us)
    handled: list[int] = []

    def handle(number: int) -> None:
        nonlocal clock_us
        clock_us += turn_us
        handled.append(number)

    async def check() -> None:
        nonlocal turn_us
        input_turns = InputTurns(TurnClock())
        for number in range(10):
            input_turns.run(partial(handle, number))
        assert handled == [0, 1, 2, 3], "the time of this turn is used up"
        counts = [len(handled)]
        while len(handled) < 10:
            await asyncio.sleep(0)
            counts.append(len(handled))
        assert handled == list(range(10))
        assert max(after - before for before, after in zip(counts, counts[1:], strict=False)) <= 4
        turn_us = 3 * INPUT_TIME_PER_TURN_US
        for number in range(10, 13):
            input_turns.run_later(partial(handle, number))
        for _ in range(20):
            await asyncio.sleep(0)
        assert handled == list(range(13)), "each turn handles the input of one client, however long that takes"

    run_scenario(check())


def test_a_failure_in_one_clients_turn_keeps_no_other_client_waiting() -> None:
    handled: list[int] = []

    def fail() -> None:
        raise ZeroDivisionError

    async def check() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        input_turns = InputTurns(TurnClock())
        input_turns.run_later(fail)
        input_turns.run_later(partial(handled.append, 1))
        for _ in range(5):
            await asyncio.sleep(0)
        assert handled == [1]

    run_scenario(check())
