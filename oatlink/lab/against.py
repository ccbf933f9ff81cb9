"""A recording's requests driven at a running gateway: the same commands by as many connections, answers compared.

What is compared is how each command ended (served, refused, failed, or the prefix of another error), not its bytes:
the data behind the two gateways differ. Commands are sent at the recorded times, stretched by `pace`.
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

PATIENCE_S = 10.0


@dataclass(slots=True)
class Said:
    """One client of a recording: what it asked and when, and how each was answered."""

    asked: list[tuple[int, list[bytes]]] = field(default_factory=list)
    reader: ReplyReader = field(default_factory=ReplyReader)
    ended: list[str] = field(default_factory=list)
    before: int = 0  # answers still owed when the recording began
    greeting: list[list[bytes]] = field(default_factory=list)


@dataclass(slots=True)
class Compared:
    """Counts of (command, how it ended then, how it ended now)."""

    pairs: Counter[tuple[str, str, str]] = field(default_factory=Counter)

    @property
    def differences(self) -> int:
        """Commands that ended otherwise."""
        return sum(count for (_, then, now), count in self.pairs.items() if then != now)


def ending(reply: bytes) -> str:
    """How a reply ends its command."""
    if reply[:1] != b"-":
        return "served"
    word = reply[1:32].split(b" ", 1)[0].rstrip().decode("latin1")
    if word == "TRYAGAIN":
        return "refused"
    return "failed" if reply.startswith(b"-ERR failed") else f"error {word}"


def clients_of(recording: Recording) -> dict[int, Said]:
    """The clients of a recording. Raises `RecordingError` where bytes were left out of it."""
    if recording.header.settings.record_redact != "none":
        raise RecordingError("the recording is redacted: what clients sent is not in it")
    found: dict[int, Said] = defaultdict(Said)
    operators: set[int] = set()
    if recording.header.snapshot:
        # What was asked before the part began is answered in it; what clients had said of themselves holds on.
        for number, session in engine_at_start(recording.header).sessions.items():
            said = found[number]
            said.before = len(session.pending_replies)
            said.greeting = [[b"HELLO", b"%d" % session.protocol]] if session.protocol != 2 else []
            if session.name:
                said.greeting.append([b"CLIENT", b"SETNAME", session.name.encode()])
            if session.admin:
                operators.add(number)
    for entry in recording.entries():
        if isinstance(entry.given, m.Opened) and entry.given.admin:
            operators.add(entry.given.client)
        if isinstance(entry.given, m.CommandReceived):
            found[entry.given.client].asked.append((entry.now_us, entry.given.args))
        for effect in entry.effects:
            if isinstance(effect, m.Answer):
                said = found[effect.client]
                said.reader.feed(effect.data)
                while (frame := said.reader.take()) is not None:
                    if said.before:
                        said.before -= 1
                    else:
                        said.ended.append(ending(frame))
    for number in operators:
        found.pop(number, None)
    return found


async def drive(clients: dict[int, Said], address: str, pace: float) -> Compared:
    """Send it all to a gateway. Raises `DialError` where nobody is there."""
    compared = Compared()
    first = min((said.asked[0][0] for said in clients.values() if said.asked), default=0)
    began = time.monotonic()

    async def one(said: Said) -> None:
        stream = await connect(address, 3.0)
        reader = ReplyReader()
        now: list[str] = []
        greetings = len(said.greeting)

        async def send() -> None:
            for args in said.greeting:
                await stream.write(encode_command(args))
            for at_us, args in said.asked:
                wait = began + (at_us - first) / 1e6 * pace - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                await stream.write(encode_command(args))

        sender = asyncio.ensure_future(send())
        try:
            while len(now) < len(said.asked):
                async with asyncio.timeout(PATIENCE_S + (0 if sender.done() else 3_600)):
                    reader.feed(await stream.read_bytes(65_536, partial=True))
                while (frame := reader.take()) is not None:
                    if greetings:
                        greetings -= 1
                    else:
                        now.append(ending(frame))
        except (StreamClosedError, ProtocolError, TimeoutError):
            pass
        sender.cancel()
        stream.close()
        for at, (_, args) in enumerate(said.asked):
            then = said.ended[at] if at < len(said.ended) else "unanswered"
            name = args[0].decode("latin1").upper()
            compared.pairs[name, then, now[at] if at < len(now) else "unanswered"] += 1

    await asyncio.gather(*[one(said) for said in clients.values() if said.asked])
    return compared
