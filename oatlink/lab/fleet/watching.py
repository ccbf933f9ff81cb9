"""Operators that look at every gateway all the while: what each takes each member for, kept at every change."""

import asyncio

from tornado.iostream import StreamClosedError

from oatlink.audit.evidence import InjectedFault, Observation
from oatlink.gateway.links import DialError, connect
from oatlink.lab.days.faults import StepRunner
from oatlink.lab.days.world import World, now_us
from oatlink.lab.fleet.parts import node_name
from oatlink.protocols.resp import Array, Map, ReplyReader, command, decode

EVERY_S = 0.03  # no time is known better than that


class Watchers:
    """One for each gateway."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._last: dict[tuple[str, str], str] = {}
        self.observations: list[Observation] = []

    async def run(self, at: int) -> None:
        """Look at gateway `at` until cancelled; one that is away is asked again."""
        while True:
            try:
                stream = await connect(f"127.0.0.1:{self._world.admin_ports[at]}", 2)
            except DialError:
                await asyncio.sleep(0.2)
                continue
            reader = ReplyReader()
            try:
                while True:
                    await stream.write(command("MEMBERS"))
                    while (frame := reader.take()) is None:
                        reader.feed(await stream.read_bytes(65_536, partial=True))
                    self._saw(node_name(at), decode(frame))
                    await asyncio.sleep(EVERY_S)
            except StreamClosedError:
                await asyncio.sleep(0.2)
            finally:
                stream.close()

    def _saw(self, gateway: str, rows: object) -> None:
        for row in rows.items if isinstance(rows, Array) else ():
            pairs = row.pairs if isinstance(row, Map) else ()
            items = list(row.items) if isinstance(row, Array) else [part for pair in pairs for part in pair]
            fields = dict(zip(items[::2], items[1::2], strict=False))
            member, takes = fields.get(b"name", b""), fields.get(b"takes", b"")
            if not isinstance(member, bytes) or not isinstance(takes, bytes):
                continue
            doubted = takes.startswith((b"nothing for now", b"nothing: role unknown"))
            what = "later" if b"later" in takes else "doubted" if doubted else "well"
            key = gateway, member.decode()
            if self._last.setdefault(key, what) != what:
                self._last[key] = what
                self.observations.append((now_us(), *key, what))


def harms(step_runner: StepRunner, banks: dict[str, str], end_us: int) -> list[InjectedFault]:
    """What was done to boxes, from the schedule as it was played."""
    found = []
    for one in step_runner.episodes:
        members = tuple(box.name for box in one.boxes)
        primaries = one.step.box.startswith("primary:") or one.step.do in ("hand_over", "lose_hall")
        hit = tuple(sorted({banks[name] for name in members})) if primaries else ()
        found.append(InjectedFault(one.step.do, members, hit, one.from_us, one.to_us if one.to_us > 0 else end_us))
    return found
