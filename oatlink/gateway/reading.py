"""Taking a client's commands: how many at once, and since when each has been this process's to do.

What may live here: the pace at which one client is read, and the times of its commands. What is done with a command is
the engine's, how the connection ends `clients`'. No state.
"""

import asyncio

from oatlink.core import messages as m
from oatlink.gateway.clients import Client
from oatlink.gateway.clock import now_us
from oatlink.gateway.links import CHUNK, Shell
from oatlink.protocols.resp import CommandReader, Limits
from oatlink.settings import model as settings

COMMANDS_A_TURN = 64  # of one client


async def read(client: Client, resp: Limits, limits: settings.Limits, shell: Shell) -> None:
    """Take commands until the last answer is there. Raises `ProtocolError`, `StreamClosedError`, `TimeoutError`."""
    reader, stream = CommandReader(resp), client.stream
    most = limits.client_pipeline
    most_unsent = limits.client_output_bytes // 2
    patience_s = limits.client_write_timeout_ms / 1000
    while not client.is_deaf:
        resumed_us = await _pause(client) if client.paused_until_us else 0
        ready_us = now_us()
        data = await stream.read_bytes(CHUNK, partial=True)
        if client.is_deaf:
            client.ending.discard(len(data))
            return
        came_us = turn_us = stream.since_us
        if not resumed_us:
            # Threat: the stream reads ahead. What came while its client's earlier commands were seen to
            # waited for those, as the rest of a full pipeline does.
            turn_us = max(came_us, ready_us)
        elif resumed_us <= came_us < resumed_us + 1_000:
            came_us = turn_us = client.refused_us  # it lay unread; since when is not known
        await shell.marks.let_in()
        reader.feed(data)
        while True:
            # Threat: a pipeline that is refused for its own length. A command waits for its client's earlier
            # ones by its client's wish; this process is late only with the first of them. Its client's time
            # runs all the same: what is behind hung ones would else have it anew after each of their ends.
            now = now_us()
            late_us, waited_us = max(0, now - max(turn_us, resumed_us)), max(0, now - turn_us)
            taken, full = 0, True
            with shell.turn():
                # Threat: what lies here behind a last answer, or of a client that has gone, is done for nobody.
                while client.unanswered < most and taken < COMMANDS_A_TURN and not client.is_over:
                    args = reader.take()
                    if args is None:
                        full = False
                        break
                    client.unanswered += 1
                    taken += 1
                    waiting = shell.marks.waiting
                    shell.feed(m.CommandReceived(client.number, args, late_us, waiting, waited_us, turn_us - came_us))
            if client.is_over:
                break
            if client.unsent > most_unsent and client.written is not None:
                # It does not take its answers: nothing more is read from it until it does. Below the
                # mark reading goes on, for a client may send a long pipeline before it reads at all.
                async with asyncio.timeout(patience_s):
                    await asyncio.shield(client.written)
            if not full:
                break
            if client.unanswered >= most:
                client.lacks_room = True
                await client.wait()
                client.lacks_room = False
            turn_us = now_us()  # the rest waited for its own earlier commands, not for this process
            if taken == COMMANDS_A_TURN:
                await shell.marks.let_in(again=True)  # what is answered here at once never fills the pipeline


async def _pause(client: Client) -> int:
    """Read nothing until the engine allows it again, or the client has left; when that was."""
    handle = asyncio.get_running_loop().call_later(max(0, client.paused_until_us - now_us()) / 1e6, client.wake)
    client.stream.set_close_callback(client.wake)
    try:
        await client.wait()
    finally:
        handle.cancel()
        client.stream.set_close_callback(None)
    client.paused_until_us = 0
    return now_us()
