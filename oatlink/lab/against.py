"""Replays the commands of a recording against a running gateway and compares the replies.

Each recorded client gets one connection. Only the outcome of a command is compared (served, refused, failed, or the
prefix of another error), not its bytes, because the data behind the two gateways differ. Commands are sent at their
recorded times, multiplied by `pace`.
"""

import asyncio
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from tornado.iostream import StreamClosedError

from oatlink.core import messages as m
from oatlink.core.recording import Recording, RecordingError, engine_at_start
from oatlink.gateway.links import connect
from oatlink.protocols.resp import ProtocolError, ReplyReader, encode_command

REPLY_TIMEOUT_S = 10.0


@dataclass(slots=True)
class RecordedClient:
    """One client of a recording: its commands with their times, and the outcome of each."""

    commands: list[tuple[int, list[bytes]]] = field(default_factory=list)
    reader: ReplyReader = field(default_factory=ReplyReader)
    outcomes: list[str] = field(default_factory=list)
    pending_at_start: int = 0  # replies that were still pending when the recording began
    greeting: list[list[bytes]] = field(default_factory=list)


@dataclass(slots=True)
class Comparison:
    """Counts of (command, recorded outcome, replayed outcome)."""

    pairs: Counter[tuple[str, str, str]] = field(default_factory=Counter)

    @property
    def differences(self) -> int:
        """The number of commands whose replayed outcome differs from the recorded one."""
        return sum(count for (_, then, now), count in self.pairs.items() if then != now)


def outcome_of(reply: bytes) -> str:
    """Return the outcome that a reply means for its command."""
    if reply[:1] != b"-":
        return "served"
    prefix = reply[1:32].split(b" ", 1)[0].rstrip().decode("latin1")
    if prefix == "TRYAGAIN":
        return "refused"
    return "failed" if reply.startswith(b"-ERR failed") else f"error {prefix}"


def clients_of(recording: Recording) -> dict[int, RecordedClient]:
    """Return the clients of a recording by number. Raises `RecordingError` if the recording is redacted."""
    if recording.header.settings.record_redact != "none":
        raise RecordingError("the recording is redacted: what clients sent is not in it")
    clients_by_number: dict[int, RecordedClient] = defaultdict(RecordedClient)
    operators: set[int] = set()
    if recording.header.snapshot:
        # This part of a recording has replies to commands that were sent before it; these replies are skipped. The
        # protocol version and client name that were set before it are sent again first.
        for number, session in engine_at_start(recording.header).sessions.items():
            client = clients_by_number[number]
            client.pending_at_start = len(session.pending_replies)
            client.greeting = [[b"HELLO", b"%d" % session.protocol]] if session.protocol != 2 else []
            if session.name:
                client.greeting.append([b"CLIENT", b"SETNAME", session.name.encode()])
            if session.admin:
                operators.add(number)
    for entry in recording.entries():
        if isinstance(entry.given, m.Opened) and entry.given.admin:
            operators.add(entry.given.client)
        if isinstance(entry.given, m.CommandReceived):
            clients_by_number[entry.given.client].commands.append((entry.now_us, entry.given.args))
        for effect in entry.effects:
            if isinstance(effect, m.Answer):
                client = clients_by_number[effect.client]
                client.reader.feed(effect.data)
                while (frame := client.reader.take()) is not None:
                    if client.pending_at_start:
                        client.pending_at_start -= 1
                    else:
                        client.outcomes.append(outcome_of(frame))
    for number in operators:
        clients_by_number.pop(number, None)
    return clients_by_number


async def drive(clients: dict[int, RecordedClient], address: str, pace: float) -> Comparison:
    """Send all commands to a gateway and compare. Raises `DialError` if the gateway cannot be reached."""
    comparison = Comparison()
    first_us = min((client.commands[0][0] for client in clients.values() if client.commands), default=0)
    start_s = time.monotonic()

    async def replay_client(client: RecordedClient) -> None:
        stream = await connect(address, 3.0)
        reader = ReplyReader()
        replayed: list[str] = []
        pending_greetings = len(client.greeting)

        async def send() -> None:
            for args in client.greeting:
                await stream.write(encode_command(args))
            for at_us, args in client.commands:
                wait = start_s + (at_us - first_us) / 1e6 * pace - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                await stream.write(encode_command(args))

        sender = asyncio.ensure_future(send())
        try:
            while len(replayed) < len(client.commands):
                async with asyncio.timeout(REPLY_TIMEOUT_S + (0 if sender.done() else 3_600)):
                    reader.feed(await stream.read_bytes(65_536, partial=True))
                while (frame := reader.take()) is not None:
                    if pending_greetings:
                        pending_greetings -= 1
                    else:
                        replayed.append(outcome_of(frame))
        except (StreamClosedError, ProtocolError, TimeoutError):
            pass
        sender.cancel()
        stream.close()
        for index, (_, args) in enumerate(client.commands):
            then = client.outcomes[index] if index < len(client.outcomes) else "unanswered"
            now = replayed[index] if index < len(replayed) else "unanswered"
            name = args[0].decode("latin1").upper()
            comparison.pairs[name, then, now] += 1

    await asyncio.gather(*[replay_client(client) for client in clients.values() if client.commands])
    return comparison
