"""Where nodes listen: those of the settings, and so many others by their greetings or by word. No I/O.

Threat: a peer whose words make this node dial thousands of places: so many are known at once, and the one that was
spoken to longest ago goes first.
"""

from collections import Counter
from collections.abc import Callable

from oatlink.fleet.shell.listener import is_dialled
from oatlink.settings.fleet import Fleet


class Addresses:
    """`most`: how many that the settings do not list are known at once.

    `greeted(name)`: where a node listens by its newest greeting; `left(name)` is told that it is not there any more.
    """

    def __init__(
        self,
        fleet: Fleet,
        most: int,
        greeted: Callable[[str], str],
        left: Callable[[str], None],
        counters: Counter[str],
    ) -> None:
        self._node, self._routes, self._most = fleet.node, fleet.routes, most
        self._greeted, self._left, self._counters = greeted, left, counters
        self.listed = {one.name: self._routes.get(one.name, one.address) for one in fleet.listed}
        del self.listed[fleet.node]
        self.known: dict[str, str] = {}  # the others; who was spoken to last is at the end

    def of(self, name: str) -> str:
        """Where to dial it, now that it is spoken to; empty where that is not known."""
        if name in self.listed:
            return self.listed[name]
        if greeted := self._greeted(name):  # newer than what others say of it
            self.know(name, greeted)
        if name in self.known:
            self.known[name] = self.known.pop(name)
        return self.known.get(name, "")

    def know(self, name: str, address: str) -> None:
        """By word. What the settings list stays where they say."""
        if name in self.listed or name == self._node:
            return
        if not is_dialled(address):
            self._counters["dropped_known"] += 1
            return
        address = self._routes.get(name, address)
        if self.known.get(name) != address:
            self.forget(name)
        self.known[name] = address
        if len(self.known) > self._most:
            self._counters["dropped_known"] += 1
            self.forget(next(iter(self.known)))

    def forget(self, name: str) -> None:
        """Nothing more will be said to it."""
        if self.known.pop(name, None) is not None:
            self._left(name)
