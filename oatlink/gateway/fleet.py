"""Connects a gateway to its fleet. The module, with all that it imports, is loaded only if the settings have a `fleet`.

It passes on the requests of the fleet node, the observations of the gateway and the commands of operators. It decides
nothing.
"""

import asyncio
from collections.abc import Mapping

from oatlink.core import messages as m
from oatlink.core.classify import DEFAULT_READ, DEFAULT_WRITE
from oatlink.fleet.control.scopes import is_names
from oatlink.fleet.gate import AnyNews
from oatlink.fleet.messages.control import InForce
from oatlink.fleet.shell.control import ControlNode
from oatlink.fleet.shell.node import FleetNode
from oatlink.fleet.shell.plan_steps import Primary
from oatlink.gateway.server import Gateway
from oatlink.settings.load import SettingsError, evaluate
from oatlink.settings.model import Settings


def members_of(boxes: tuple[m.Box, ...], settings: Settings) -> Mapping[str, str]:
    """The members of a roster with the names of their banks."""
    return {box.name: settings.banks[box.bank].name for box in boxes}


class FleetConnector:
    """The connection between a gateway and its fleet node."""

    def __init__(self, gateway: Gateway, settings: Settings) -> None:
        """Raises `FleetError`."""
        assert settings.fleet is not None
        self._gateway, self._settings = gateway, settings
        self.node = self._control_node() if settings.fleet.control is not None else self._fleet_node()
        self._operator_lock = asyncio.Lock()  # one command at a time: answers are matched to commands by their order
        self._tasks: set[asyncio.Task[None]] = set()

    def _control_node(self) -> FleetNode | ControlNode:
        assert self._settings.fleet is not None
        return ControlNode(self._settings.fleet, self._settings.seed, self._gateway.notes.note, self._in_force)

    def _fleet_node(self) -> FleetNode | ControlNode:
        settings, gateway = self._settings, self._gateway
        assert settings.fleet is not None
        classes = (*settings.classes, DEFAULT_READ, DEFAULT_WRITE)
        max_deadline_us = 1_000 * max(request_class.deadline_ms for request_class in classes)
        return FleetNode(
            settings.fleet,
            {member.name: bank.name for bank in settings.banks for member in bank.members},
            max_deadline_us,
            settings.seed,
            demands=gateway.engine.gate.demands,
            busy=gateway.engine.versions_in_use,
            tell=self._notify,
            primary=self._primary,
            note=gateway.notes.note,
        )

    def _in_force(self, news: InForce) -> None:
        """Log a change that has come into force; the change stream does not configure the gateway yet."""
        head = news.head
        if not is_names(head.scope):  # scopes of names belong to a source itself
            self._gateway.notes.note("control", f"{head.scope} is at version {head.epoch}.{head.version}")

    def execute(self, effect: m.QueryFleet | m.FleetCommand | m.ReportEvidence | m.PublishRoster) -> None:
        """Carry out an effect of the engine that is for the fleet."""
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
            task = asyncio.get_running_loop().create_task(self._run_operator_command(effect))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _notify(self, news: AnyNews) -> None:
        self._gateway.feed(m.FleetNews(news))

    def _primary(self, bank: str) -> Primary | None:
        address, links = self._gateway.engine.primary_of(bank), self._gateway.settings.links
        return Primary(address, links.user, links.password) if address else None

    async def _run_operator_command(self, command: m.FleetCommand) -> None:
        async with self._operator_lock:
            if command.word == "rows":
                text = "\n".join(f"{name}: {value}" for name, value in self.node.rows())
            elif command.word == "propose":
                try:
                    plan = evaluate(command.text.decode("utf-8", "replace"), "plan")
                    text = await self.node.word("propose", plan.encode())
                except SettingsError as error:
                    text = str(error)
            else:
                text = await self.node.word(command.word, command.text)
            self._gateway.feed(m.FleetReplied(command.client, text))

    async def stop(self) -> None:
        """Leave the fleet."""
        await self.node.stop()
        for task in self._tasks:
            task.cancel()
