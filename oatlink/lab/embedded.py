"""Banks of stand-ins in this process, and the settings of a gateway before them."""

import asyncio
import json
import shutil
import socket
import tempfile
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets

from oatlink.core.commands import SLOTS
from oatlink.protocols.resp import CommandReader, ProtocolError, bulk, encode, error
from oatlink.settings import Settings, load_text
from oatlink.standins.bank import Bank
from oatlink.standins.box import Box, Tap, WorkProfile

HALLS = ("ebene-a", "ebene-b", "cybercity-c")
CLASSES = """[
  { name: 'price-post', freshness: 'write', effect: 'keyed', aim_ms: 1000, deadline_ms: 3000, worth: 6,
    late_worth: 0.3, repeat_window_ms: 2000, wait_replicas: %(wait)d, wait_ms: 400,
    match: { commands: ['xadd'] } },
  { name: 'price-check', freshness: 'latest', effect: 'idempotent', aim_ms: 600, deadline_ms: 1500, worth: 1,
    late_worth: 0.2, match: { commands: ['xrevrange'] } },
  { name: 'price-view', freshness: 'bounded', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000, worth: 2,
    staleness_ms: 500, match: { keys: ['view:*', 'nav:*'] } },
  { name: 'own-read', freshness: 'session', effect: 'idempotent', aim_ms: 600, deadline_ms: 2000 },
  { name: 'write', freshness: 'write', effect: 'unsafe', aim_ms: 1000, deadline_ms: 3000, worth: 6 },
]"""


def reserve(family: socket.AddressFamily = socket.AF_INET) -> socket.socket:
    """A socket that holds a port of loopback for as long as it is open, and still lets a server listen on it.

    Threat: a port found free and bound later is taken meanwhile by some client's outgoing connection. Linux hands
    no such connection a port that is bound, and lets a second socket bind it while the first does not listen.
    """
    one = socket.socket(family)
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    one.bind(("127.0.0.1" if family == socket.AF_INET else "::1", 0))
    return one


def port_of(one: socket.socket) -> int:
    """The port that a socket holds."""
    return int(one.getsockname()[1])


class Embedded:
    """Stand-in banks with fixed ports, so that gateways in other processes find them after a restart too."""

    def __init__(
        self,
        banks: int,
        members: int,
        seed: int,
        *,
        work: WorkProfile | None = None,
        tap: Tap | None = None,
        detect_s: tuple[float, float] = (0.6, 1.0),
        paths: bool = False,
    ) -> None:
        """With `paths`, each box is also reached by a Unix socket and, where the machine has it, by IPv6."""
        self.banks = [
            Bank(
                f"bank-{at}",
                [f"box-{at}-{one}" for one in range(members)],
                seed=seed,
                work=work,
                tap=tap,
                detect_s=detect_s,
            )
            for at in range(banks)
        ]
        self.seed = seed
        self.states: dict[str, str] = {}
        self._reserved = {box.name: reserve() for bank in self.banks for box in bank.boxes}
        self._ports = {name: port_of(one) for name, one in self._reserved.items()}
        self._folder = tempfile.mkdtemp(prefix="oatlink-") if paths else ""
        if paths:
            for box in self.boxes.values():
                box.addresses["unix"] = f"unix:{self._folder}/{box.name}"
                try:
                    held = reserve(socket.AF_INET6)
                except OSError:
                    continue
                self._reserved[f"{box.name}/ipv6"] = held
                box.addresses["ipv6"] = f"[::1]:{port_of(held)}"
        self._control: list[Callable[[], None]] = []

    @property
    def boxes(self) -> dict[str, Box]:
        """All boxes by name."""
        return {box.name: box for bank in self.banks for box in bank.boxes}

    async def start(self) -> Callable[[], None]:
        """Start all; what it returns ends them."""
        for bank in self.banks:
            bank.start([self._ports[box.name] for box in bank.boxes])
        for bank in self.banks:
            await bank.wait_until_synced()
        return self.stop

    def stop(self) -> None:
        """End all."""
        for remove in self._control:
            remove()
        for bank in self.banks:
            bank.stop()
        for one in self._reserved.values():
            one.close()
        if self._folder:
            shutil.rmtree(self._folder, ignore_errors=True)

    def roster(self) -> list[dict[str, object]]:
        """The banks as settings and roster files name them; members marked `gone` are left out."""
        found: list[dict[str, object]] = []
        for at, bank in enumerate(self.banks):
            count = len(self.banks)
            slots = [[SLOTS * at // count, SLOTS * (at + 1) // count - 1]]
            members = [
                {
                    "name": box.name,
                    "address": f"127.0.0.1:{self._ports[box.name]}",
                    "hall": HALLS[number % len(HALLS)],
                    "state": self.states.get(box.name, "ready"),
                    "paths": [{"address": one} for one in box.addresses.values()],
                }
                for number, box in enumerate(bank.boxes)
                if self.states.get(box.name) != "gone"
            ]
            found.append({"name": bank.name, "slots": slots, "members": members})
        return found

    def template(self, port: int, *, workers: int = 1, log_level: str = "warning", more: str = "{}") -> str:
        """A settings template for a gateway before these banks."""
        wait = 1 if all(len(one.boxes) > 1 for one in self.banks) else 0
        return (
            f"{{ listen: ['127.0.0.1:{port}'], seed: {self.seed}, workers: {workers}, hall: '{HALLS[0]}',\n"
            f"  logs: {{ level: '{log_level}', form: 'console' }},\n"
            f"  banks: {json.dumps(self.roster())},\n  classes: {CLASSES % {'wait': wait}},\n}} + {more}"
        )

    def settings(self, port: int, workers: int = 1, log_level: str = "warning", more: str = "{}") -> Settings:
        """The same, checked."""
        return load_text(self.template(port, workers=workers, log_level=log_level, more=more), "embedded")

    # ---- The control port ----

    def control(self, port: int = 0) -> int:
        """Listen for fault commands on loopback; returns the port."""
        sock = bind_sockets(port, "127.0.0.1", family=socket.AF_INET)[0]
        self._control.append(add_accept_handler(sock, self._accept))
        self._control.append(sock.close)
        return int(sock.getsockname()[1])

    def _accept(self, sock: socket.socket, _: object) -> None:
        asyncio.ensure_future(self._serve(IOStream(sock)))

    async def _serve(self, stream: IOStream) -> None:
        reader = CommandReader()
        try:
            while True:
                reader.feed(await stream.read_bytes(65_536, partial=True))
                while (args := reader.take()) is not None:
                    await stream.write(await self._controlled([one.decode("utf-8", "replace") for one in args]))
        except ProtocolError as problem:
            await stream.write(error(str(problem)))
            stream.close()
        except StreamClosedError:
            pass

    async def _controlled(self, words: list[str]) -> bytes:
        name, boxes = words[0].upper(), self.boxes
        if name == "BOXES":
            return bulk(
                "\n".join(
                    f"{one.name} {one.port} {'primary' if one.is_primary else 'replica'} {one.offset}"
                    for one in boxes.values()
                ).encode()
            )
        if name == "FAULT" and len(words) == 4 and words[1] in boxes and hasattr(boxes[words[1]].faults, words[2]):
            old = getattr(boxes[words[1]].faults, words[2])
            try:
                setattr(boxes[words[1]].faults, words[2], type(old)(float(words[3])))
            except ValueError:
                return error(f"ERR expected a number, got {words[3]!r}")
            return b"+OK\r\n"
        if name in ("CRASH", "START") and len(words) == 2 and words[1] in boxes:
            box = boxes[words[1]]
            if name == "CRASH":
                box.stop()
            elif not box.running:
                box.start()
            return b"+OK\r\n"
        if name == "HANDOVER" and len(words) == 2 and words[1] in {one.name for one in self.banks}:
            chosen = await next(one for one in self.banks if one.name == words[1]).hand_over()
            return bulk(chosen.name.encode()) if chosen is not None else error("ERR no replica could take over")
        if name == "PING":
            return b"+PONG\r\n"
        if name == "INFO":
            return bulk(b"")
        return encode(0) if name == "CLIENT" else error(f"ERR unknown control command {' '.join(words)[:80]!r}")
