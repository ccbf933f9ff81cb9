"""Clients that send hundreds of messages at once take turns with the others, whoever answers the messages."""

import asyncio
from collections import Counter
from functools import partial

import pytest

from oatlink.gateway import reading
from oatlink.gateway.clock import TurnClock
from oatlink.gateway.reading import MAX_COMMANDS_PER_TURN, MAX_SKIPPED_COMMANDS
from oatlink.platform.clients import Client
from oatlink.platform.clients.connection import MAX_MESSAGES_PER_TURN
from oatlink.protocols import pgwire as pg
from oatlink.protocols import resp
from oatlink.transport import turns
from oatlink.transport.turns import INPUT_TIME_PER_TURN_US, InputTurns
from tests.client_world import STARTUP, ListenerWorld, listener_world, query
from tests.gateways import Served, served
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
            input_turns.run(partial(handle, number), False)
        assert handled == [0, 1, 2, 3], "the time of this turn is used up"
        counts = [len(handled)]
        while len(handled) < 10:
            await asyncio.sleep(0)
            counts.append(len(handled))
        assert handled == list(range(10))
        assert max(after - before for before, after in zip(counts, counts[1:], strict=False)) <= 4
        turn_us = 3 * INPUT_TIME_PER_TURN_US
        for number in range(10, 13):
            input_turns.run_later(partial(handle, number), False)
        for _ in range(20):
            await asyncio.sleep(0)
        assert handled == list(range(13)), "each turn handles the input of one client, however long that takes"

    run_scenario(check())


def test_requesters_go_before_newcomers_of_which_each_turn_handles_one(monkeypatch: pytest.MonkeyPatch) -> None:
    clock_us, handled = 0, list[str]()
    monkeypatch.setattr(turns, "now_us", lambda: clock_us)

    def handle(name: str) -> None:
        nonlocal clock_us
        clock_us += INPUT_TIME_PER_TURN_US
        handled.append(name)

    async def check() -> None:
        input_turns = InputTurns(TurnClock())
        for number in range(3):
            input_turns.run_later(partial(handle, f"newcomer {number}"), False)
        for number in range(3):
            input_turns.run_later(partial(handle, f"requester {number}"), True)
        for _ in range(20):
            await asyncio.sleep(0)

    run_scenario(check())
    assert handled == [f"{kind} {number}" for number in range(3) for kind in ("requester", "newcomer")]


@scene(listener_world)
async def test_a_request_waits_for_few_of_the_clients_that_have_sent_none(
    world: ListenerWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that waits for a message of each newcomer, whatever those cost (review, case 8)."""
    handled_before, newcomer_count = list[int](), 40
    handle_message = Client._handle_message

    def count_message(client: Client, message: pg.Message) -> None:
        if client.has_submitted:
            handled_before.append(sum(not each.input.pending for each in world.clients.active) - 1)
        handle_message(client, message)

    world.handler.answers_at_once = True
    usual, _ = await world.start_client()
    usual.send(query(b"first"))
    assert await usual.answer() == "value of first"
    monkeypatch.setattr(turns, "INPUT_TIME_PER_TURN_US", 1)  # each turn has time for one client
    monkeypatch.setattr(Client, "_handle_message", count_message)
    newcomers = [world.connect(STARTUP) for _ in range(newcomer_count)]
    await world.until(lambda: len(world.clients.active) == newcomer_count + 1)
    usual.send(query(b"second"))
    assert await usual.answer() == "value of second"
    assert handled_before[0] < newcomer_count // 2
    for newcomer in newcomers:
        assert await newcomer.answer() == ""


def test_a_failure_in_one_clients_turn_keeps_no_other_client_waiting() -> None:
    handled: list[int] = []

    def fail() -> None:
        raise ZeroDivisionError

    async def check() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        input_turns = InputTurns(TurnClock())
        input_turns.run_later(fail, False)
        input_turns.run_later(partial(handled.append, 1), False)
        for _ in range(5):
            await asyncio.sleep(0)
        assert handled == [1]

    run_scenario(check())


@pytest.mark.parametrize(
    ("command", "most_in_a_turn"),
    [
        (resp.command("PING"), MAX_COMMANDS_PER_TURN),
        (b"\r\n", MAX_COMMANDS_PER_TURN * MAX_SKIPPED_COMMANDS),
        (b"*0\r\n", MAX_COMMANDS_PER_TURN * MAX_SKIPPED_COMMANDS),
    ],
)
@scene(served, 1)
async def test_resp_clients_that_flood_at_once_share_the_time_of_a_turn(
    world: Served, command: bytes, most_in_a_turn: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the RESP gateway against the loop of review, case 2; here each turn has time for one client only."""
    consumed_bytes = most_consumed_bytes = 0

    class CountingReader(resp.CommandReader):
        def take(self) -> list[bytes] | None:
            nonlocal consumed_bytes
            before = self.pending
            args = super().take()
            consumed_bytes += before - self.pending
            return args

    def end_turn() -> None:
        nonlocal consumed_bytes, most_consumed_bytes
        most_consumed_bytes, consumed_bytes = max(most_consumed_bytes, consumed_bytes), 0
        asyncio.get_running_loop().call_soon(end_turn)

    monkeypatch.setattr(turns, "INPUT_TIME_PER_TURN_US", 1)
    monkeypatch.setattr(reading, "CommandReader", CountingReader)
    clients = [await world.wire() for _ in range(10)]
    for client in clients:
        assert await client.ask("PING") == resp.Simple(b"PONG")
    end_turn()
    for client in clients:
        client.writer.write(command * 20_000)
        client.writer.write(resp.command("ECHO", "last"))
    for client in clients:
        while await client.reply() != b"last":
            pass
    assert most_consumed_bytes <= most_in_a_turn * len(command)


def test_a_client_waits_for_its_turn_and_has_its_failure_there(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail() -> None:
        raise ZeroDivisionError

    async def check() -> None:
        input_turns, handled = InputTurns(TurnClock()), list[int]()
        input_turns.run_later(partial(handled.append, 1), False)
        with pytest.raises(ZeroDivisionError):
            await input_turns.wait_until_handled(fail, False)
        assert handled == [1], "it waited for the one before it"
        input_turns.run_later(partial(handled.append, 2), False)
        await input_turns.wait_until_handled(partial(handled.append, 3), False)
        assert handled == [1, 2, 3]
        monkeypatch.setattr(turns, "INPUT_TIME_PER_TURN_US", 1)
        await input_turns.wait_until_handled(partial(handled.append, 4), False)
        leaving = asyncio.ensure_future(input_turns.wait_until_handled(partial(handled.append, 5), False))

        def leave() -> None:
            leaving.cancel()

        input_turns.run_later(leave, False)
        await asyncio.sleep(0.01)
        assert handled == [1, 2, 3, 4] and leaving.cancelled(), "nothing is handled for a client that has left"

    run_scenario(check())
