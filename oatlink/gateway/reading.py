"""Reads a client's commands: how many at once, and since when each has been waiting for this process.

The module sets the pace at which one client is read and measures the delays of its commands. The engine carries out
the commands, and `clients` ends the connection. It has no state.
"""

import asyncio

from oatlink.core import messages as m
from oatlink.gateway.clients import Client
from oatlink.gateway.clock import now_us
from oatlink.gateway.links import READ_CHUNK_BYTES, GatewayInterface
from oatlink.protocols.resp import CommandReader, Limits
from oatlink.settings import model as settings

MAX_COMMANDS_PER_TURN = 64  # of one client in one turn of the event loop; runs of empty commands count as one
MAX_SKIPPED_COMMANDS = 64  # empty ones in such a run
RESUME_WINDOW_US = 1_000  # bytes that come within it after a pause are taken to have waited during the pause


async def read_commands(
    client: Client, resp_limits: Limits, limits: settings.Limits, gateway: GatewayInterface
) -> None:
    """Read commands until the last answer is queued.

    Raises `ProtocolError`, `StreamClosedError` or `TimeoutError`.
    """
    reader, stream = CommandReader(resp_limits, MAX_SKIPPED_COMMANDS), client.stream
    received = _ReceivedCommands(client, reader, limits.client_pipeline, gateway)
    max_unanswered = limits.client_pipeline
    max_unsent_bytes = limits.client_output_bytes // 2
    write_timeout_s = limits.client_write_timeout_ms / 1000
    is_requester = False  # whether a command of this client was carried out
    while not client.discards_input:
        resumed_us = await _wait_for_pause(client) if client.paused_until_us else 0
        ready_us = now_us()
        data = await stream.read_bytes(READ_CHUNK_BYTES, partial=True)
        if client.discards_input:
            client.ending.discard(len(data))
            return
        arrived_us = turn_us = stream.arrived_after_us
        if not resumed_us:
            # The stream reads ahead. What arrived while the client's earlier commands were handled waited for those,
            # as the rest of a full pipeline does, and is not counted as delay of this process.
            turn_us = max(arrived_us, ready_us)
        elif resumed_us <= arrived_us < resumed_us + RESUME_WINDOW_US:
            arrived_us = turn_us = client.pause_began_us  # it was not read during the pause; when it came is not known
        await gateway.turn_clock.admit_client()
        reader.feed(data)
        del data  # an idle client would keep it
        while True:
            # Prevents a pipeline from being refused for its own length. A command waits for its client's earlier ones
            # because the client chose so; only the delay of the first of them is this process's. The time limits of
            # the waiting commands run all the same: otherwise commands behind hung ones would start again with their
            # whole time each time one of those ends.
            received.arrived_us, received.turn_us, received.resumed_us = arrived_us, turn_us, resumed_us
            await gateway.input_turns.wait_until_handled(received.carry_out, is_requester)
            is_requester = is_requester or received.taken_count > 0
            if client.is_over:
                break
            if client.unsent_bytes > max_unsent_bytes and client.last_write is not None:
                # The client does not take its answers: nothing more is read from it until it does. Below the limit
                # reading goes on, because a client may send a long pipeline before it reads at all.
                async with asyncio.timeout(write_timeout_s):
                    await asyncio.shield(client.last_write)
            if not received.may_have_more:
                break
            if client.unanswered >= max_unanswered:
                client.is_pipeline_full = True
                await client.wait()
                client.is_pipeline_full = False
            turn_us = now_us()  # the rest waited for the client's own earlier commands, not for this process
            if received.taken_count == MAX_COMMANDS_PER_TURN:
                # Commands that are answered at once never fill the pipeline, so other clients get their turn here.
                await gateway.turn_clock.admit_client(again=True)


class _ReceivedCommands:
    """The commands of one client that were read and not carried out yet."""

    def __init__(self, client: Client, reader: CommandReader, max_unanswered: int, gateway: GatewayInterface) -> None:
        self._client, self._reader, self._max_unanswered, self._gateway = client, reader, max_unanswered, gateway
        self.arrived_us = 0  # when the bytes that were read last arrived
        self.turn_us = 0  # since when the next command waits for this process
        self.resumed_us = 0  # when a pause ended before the last read; 0 if there was none
        self.taken_count = 0  # by the last call of `carry_out`
        self.may_have_more = False  # a whole command may be left

    def carry_out(self) -> None:
        """Hand a limited number of commands to the engine. Raises `ProtocolError`."""
        client, now = self._client, now_us()
        late_us, waited_us = max(0, now - max(self.turn_us, self.resumed_us)), max(0, now - self.turn_us)
        self.taken_count, self.may_have_more = 0, True
        with self._gateway.batch():
            # Commands behind a last answer, or of a client that has left, are not carried out: nobody waits for their
            # answers.
            while (
                client.unanswered < self._max_unanswered
                and self.taken_count < MAX_COMMANDS_PER_TURN
                and not client.is_over
            ):
                args = self._reader.take()
                if args is None:
                    self.may_have_more = False
                    break
                self.taken_count += 1
                if not args:
                    continue
                client.unanswered += 1
                waiting = self._gateway.turn_clock.waiting_count
                arrived_before_us = self.turn_us - self.arrived_us
                self._gateway.feed(
                    m.CommandReceived(client.number, args, late_us, waiting, waited_us, arrived_before_us)
                )


async def _wait_for_pause(client: Client) -> int:
    """Read nothing until the engine allows it again or the client has left. Returns when that was."""
    handle = asyncio.get_running_loop().call_later(max(0, client.paused_until_us - now_us()) / 1e6, client.wake)
    client.stream.set_close_callback(client.wake)
    try:
        await client.wait()
    finally:
        handle.cancel()
        client.stream.set_close_callback(None)
    client.paused_until_us = 0
    return now_us()
