"""Runs banks of stand-in boxes in this process and makes the settings of gateways in front of them."""

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
    """Return a socket that reserves a loopback port while it is open, and still lets a server listen on that port.

    Prevents an outgoing connection of some client from taking a free port between its choice and the server's bind.
    Linux never assigns a bound port to an outgoing connection, and lets a second socket bind the same port while the
    first one does not listen.
    """
    reserved = socket.socket(family)
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1" if family == socket.AF_INET else "::1", 0))
    return reserved


def port_of(reserved: socket.socket) -> int:
    """Return the port that a socket is bound to."""
    return int(reserved.getsockname()[1])


class Embedded:
    """Stand-in banks on fixed ports, so that gateways in other processes still find a box after its restart."""

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
        """With `paths`, each box also listens on a Unix socket and, if the machine supports it, on IPv6."""
        self.banks = [
            Bank(
                f"bank-{bank_number}",
                [f"box-{bank_number}-{box_number}" for box_number in range(members)],
                seed=seed,
                work=work,
                tap=tap,
                detect_s=detect_s,
            )
            for bank_number in range(banks)
        ]
        self.seed = seed
        self.states: dict[str, str] = {}
        self._reserved = {box.name: reserve() for bank in self.banks for box in bank.boxes}
        self._ports = {name: port_of(reserved) for name, reserved in self._reserved.items()}
        self._folder = tempfile.mkdtemp(prefix="oatlink-") if paths else ""
        if paths:
            for box in self.boxes.values():
                box.addresses["unix"] = f"unix:{self._folder}/{box.name}"
                try:
                    reserved = reserve(socket.AF_INET6)
                except OSError:
                    continue
                self._reserved[f"{box.name}/ipv6"] = reserved
                box.addresses["ipv6"] = f"[::1]:{port_of(reserved)}"
        self._control_closers: list[Callable[[], None]] = []

    @property
    def boxes(self) -> dict[str, Box]:
        """All boxes by name."""
        return {box.name: box for bank in self.banks for box in bank.boxes}

    async def start(self) -> Callable[[], None]:
        """Start all banks and return a callable that stops them."""
        for bank in self.banks:
            bank.start([self._ports[box.name] for box in bank.boxes])
        for bank in self.banks:
            await bank.wait_until_synced()
        return self.stop

    def stop(self) -> None:
        """Stop all banks and release their ports and files."""
        for remove in self._control_closers:
            remove()
        for bank in self.banks:
            bank.stop()
        for reserved in self._reserved.values():
            reserved.close()
        if self._folder:
            shutil.rmtree(self._folder, ignore_errors=True)

    def roster(self) -> list[dict[str, object]]:
        """Return the banks in the form of settings and roster files, without members whose state is `gone`."""
        rows: list[dict[str, object]] = []
        for bank_number, bank in enumerate(self.banks):
            count = len(self.banks)
            slots = [[SLOTS * bank_number // count, SLOTS * (bank_number + 1) // count - 1]]
            members = [
                {
                    "name": box.name,
                    "address": f"127.0.0.1:{self._ports[box.name]}",
                    "hall": HALLS[number % len(HALLS)],
                    "state": self.states.get(box.name, "ready"),
                    "paths": [{"address": address} for address in box.addresses.values()],
                }
                for number, box in enumerate(bank.boxes)
                if self.states.get(box.name) != "gone"
            ]
            rows.append({"name": bank.name, "slots": slots, "members": members})
        return rows

    def template(self, port: int, *, workers: int = 1, log_level: str = "warning", more: str = "{}") -> str:
        """Return Jsonnet settings of a gateway in front of these banks, with the Jsonnet object `more` merged in."""
        wait = 1 if all(len(bank.boxes) > 1 for bank in self.banks) else 0
        return (
            f"{{ listen: ['127.0.0.1:{port}'], seed: {self.seed}, workers: {workers}, hall: '{HALLS[0]}',\n"
            f"  logs: {{ level: '{log_level}', form: 'console' }},\n"
            f"  banks: {json.dumps(self.roster())},\n  classes: {CLASSES % {'wait': wait}},\n}} + {more}"
        )

    def settings(self, port: int, workers: int = 1, log_level: str = "warning", more: str = "{}") -> Settings:
        """Return the settings of `template`, loaded and validated."""
        return load_text(self.template(port, workers=workers, log_level=log_level, more=more), "embedded")

    # ---- Control port ----

    def control(self, port: int = 0) -> int:
        """Listen for control commands (faults, crashes, handovers) on loopback and return the port."""
        sock = bind_sockets(port, "127.0.0.1", family=socket.AF_INET)[0]
        self._control_closers.append(add_accept_handler(sock, self._accept))
        self._control_closers.append(sock.close)
        return int(sock.getsockname()[1])

    def _accept(self, sock: socket.socket, _: object) -> None:
        asyncio.ensure_future(self._serve(IOStream(sock)))

    async def _serve(self, stream: IOStream) -> None:
        reader = CommandReader()
        try:
            while True:
                reader.feed(await stream.read_bytes(65_536, partial=True))
                while (args := reader.take()) is not None:
                    await stream.write(await self._execute([arg.decode("utf-8", "replace") for arg in args]))
        except ProtocolError as problem:
            await stream.write(error(str(problem)))
            stream.close()
        except StreamClosedError:
            pass

    async def _execute(self, words: list[str]) -> bytes:
        name, boxes = words[0].upper(), self.boxes
        if name == "BOXES":
            return bulk(
                "\n".join(
                    f"{box.name} {box.port} {'primary' if box.is_primary else 'replica'} {box.offset}"
                    for box in boxes.values()
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
        if name == "HANDOVER" and len(words) == 2 and words[1] in {bank.name for bank in self.banks}:
            promoted = await next(bank for bank in self.banks if bank.name == words[1]).hand_over()
            return bulk(promoted.name.encode()) if promoted is not None else error("ERR no replica could take over")
        if name == "PING":
            return b"+PONG\r\n"
        if name == "INFO":
            return bulk(b"")
        return encode(0) if name == "CLIENT" else error(f"ERR unknown control command {' '.join(words)[:80]!r}")
