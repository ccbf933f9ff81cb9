"""Polls every gateway for its health reports of the members and records each change."""

import asyncio

from tornado.iostream import StreamClosedError

from oatlink.audit.evidence import InjectedFault, Observation
from oatlink.gateway.links import DialError, connect
from oatlink.lab.days.faults import StepRunner
from oatlink.lab.days.world import World, now_us
from oatlink.lab.fleet.settings import node_name
from oatlink.protocols.resp import Array, Map, ReplyReader, command, decode

POLL_INTERVAL_S = 0.03  # also the resolution of the recorded times


class MemberObservers:
    """Observes the members through each gateway."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._last: dict[tuple[str, str], str] = {}
        self.observations: list[Observation] = []

    async def run(self, number: int) -> None:
        """Poll gateway `number` until cancelled; reconnect if it is away."""
        while True:
            try:
                stream = await connect(f"127.0.0.1:{self._world.admin_ports[number]}", 2)
            except DialError:
                await asyncio.sleep(0.2)
                continue
            reader = ReplyReader()
            try:
                while True:
                    await stream.write(command("MEMBERS"))
                    while (frame := reader.take()) is None:
                        reader.feed(await stream.read_bytes(65_536, partial=True))
                    self._record(node_name(number), decode(frame))
                    await asyncio.sleep(POLL_INTERVAL_S)
            except StreamClosedError:
                await asyncio.sleep(0.2)
            finally:
                stream.close()

    def _record(self, gateway: str, rows: object) -> None:
        for row in rows.items if isinstance(rows, Array) else ():
            pairs = row.pairs if isinstance(row, Map) else ()
            items = list(row.items) if isinstance(row, Array) else [part for pair in pairs for part in pair]
            fields = dict(zip(items[::2], items[1::2], strict=False))
            member, takes = fields.get(b"name", b""), fields.get(b"takes", b"")
            if not isinstance(member, bytes) or not isinstance(takes, bytes):
                continue
            is_doubted = takes.startswith((b"nothing for now", b"nothing: role unknown"))
            state = "later" if b"later" in takes else "doubted" if is_doubted else "well"
            key = gateway, member.decode()
            if self._last.setdefault(key, state) != state:
                self._last[key] = state
                self.observations.append((now_us(), *key, state))


def injected_faults(step_runner: StepRunner, banks: dict[str, str], end_us: int) -> list[InjectedFault]:
    """Return the faults of boxes, from the schedule as it was run."""
    faults = []
    for episode in step_runner.episodes:
        step = episode.step
        members = tuple(box.name for box in episode.boxes)
        may_hit_primary = step.box.startswith("primary:") or step.do in ("hand_over", "lose_hall")
        hit_banks = tuple(sorted({banks[name] for name in members})) if may_hit_primary else ()
        to_us = episode.to_us if episode.to_us > 0 else end_us
        faults.append(InjectedFault(step.do, members, hit_banks, episode.from_us, to_us))
    return faults
