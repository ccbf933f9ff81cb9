"""The gateway's side of its fleet: made only where the settings have a `fleet` part, with all that it imports.

It carries: what the node asks of the gateway, what the gateway has seen, operators' words. It decides nothing.
"""

import asyncio
from collections.abc import Mapping

from oatlink.core import messages as m
from oatlink.core.classify import DEFAULT_READ, DEFAULT_WRITE
from oatlink.fleet.control.scopes import is_names
from oatlink.fleet.gate import AnyNews
from oatlink.fleet.messages.control import InForce
from oatlink.fleet.shell.control import ControlNode
from oatlink.fleet.shell.errands import Primary
from oatlink.fleet.shell.node import FleetNode
from oatlink.gateway.server import Gateway
from oatlink.settings.load import SettingsError, evaluate
from oatlink.settings.model import Settings


def members_of(boxes: tuple[m.Box, ...], settings: Settings) -> Mapping[str, str]:
    """The members of a roster with their banks."""
    return {one.name: settings.banks[one.bank].name for one in boxes}


class Seat:
    """A gateway's seat in its fleet."""

    def __init__(self, gateway: Gateway, settings: Settings) -> None:
        """Raises `FleetError`."""
        assert settings.fleet is not None
        self._gateway, self._settings = gateway, settings
        self.node = self._control_node() if settings.fleet.control is not None else self._fleet_node()
        self._words = asyncio.Lock()  # one at a time: their answers are told apart by their order
        self._tasks: set[asyncio.Task[None]] = set()

    def _control_node(self) -> FleetNode | ControlNode:
        assert self._settings.fleet is not None
        return ControlNode(self._settings.fleet, self._settings.seed, self._gateway.notes.note, self._in_force)

    def _fleet_node(self) -> FleetNode | ControlNode:
        settings, gateway = self._settings, self._gateway
        assert settings.fleet is not None
        longest_us = 1_000 * max(one.deadline_ms for one in (*settings.classes, DEFAULT_READ, DEFAULT_WRITE))
        return FleetNode(
            settings.fleet,
            {one.name: bank.name for bank in settings.banks for one in bank.members},
            longest_us,
            settings.seed,
            demands=gateway.engine.gate.demands,
            busy=gateway.engine.busy,
            tell=self._tell,
            primary=self._primary,
            note=gateway.notes.note,
        )

    def _in_force(self, news: InForce) -> None:
        """Nothing of a gateway is set by the stream yet: that it came is a line."""
        head = news.head
        if not is_names(head.scope):  # those are a source's own
            self._gateway.notes.note("control", f"{head.scope} is at version {head.epoch}.{head.version}")

    def carry(self, effect: m.QueryFleet | m.FleetCommand | m.ReportEvidence | m.PublishRoster) -> None:
        """Do what the engine asks of the fleet."""
        if isinstance(effect, m.QueryFleet):
            self.node.seek()
        elif isinstance(effect, m.ReportEvidence):
            if effect.kind == "elected":
                self.node.failed_over(effect.bank)
            else:
                self.node.saw(effect.box, effect.kind, effect.history, effect.offset)
        elif isinstance(effect, m.PublishRoster):
            self.node.listed(members_of(effect.boxes, self._settings))
        else:
            task = asyncio.get_running_loop().create_task(self._word(effect))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _tell(self, news: AnyNews) -> None:
        self._gateway.feed(m.FleetNews(news))

    def _primary(self, bank: str) -> Primary | None:
        address, links = self._gateway.engine.primary_of(bank), self._gateway.settings.links
        return Primary(address, links.user, links.password) if address else None

    async def _word(self, errand: m.FleetCommand) -> None:
        async with self._words:
            if errand.word == "rows":
                text = "\n".join(f"{name}: {one}" for name, one in self.node.rows())
            elif errand.word == "propose":
                try:
                    plan = evaluate(errand.text.decode("utf-8", "replace"), "plan")
                    text = await self.node.word("propose", plan.encode())
                except SettingsError as error:
                    text = str(error)
            else:
                text = await self.node.word(errand.word, errand.text)
            self._gateway.feed(m.FleetReplied(errand.client, text))

    async def stop(self) -> None:
        """Leave the fleet."""
        await self.node.stop()
        for task in self._tasks:
            task.cancel()
