"""Addresses of nodes: those of the settings, and a bounded number that peers have sent. No I/O.

Prevents a peer from making this node dial thousands of addresses: their number is limited, and the node to which
nothing was sent for the longest time is forgotten first.
"""

from collections import Counter
from collections.abc import Callable

from oatlink.fleet.shell.listener import may_be_dialled
from oatlink.settings.fleet import Fleet


class Addresses:
    """The addresses by node. `max_unlisted`: how many nodes that are not in the settings are known at once.

    `greeted_address(name)` returns where a node listens by its newest greeting. `on_forgotten(name)` is called when a
    node is not known any more.
    """

    def __init__(
        self,
        fleet: Fleet,
        max_unlisted: int,
        greeted_address: Callable[[str], str],
        on_forgotten: Callable[[str], None],
        counters: Counter[str],
    ) -> None:
        self._node, self._routes, self._max_unlisted = fleet.node, fleet.routes, max_unlisted
        self._greeted_address, self._on_forgotten, self._counters = greeted_address, on_forgotten, counters
        self.listed = {one.name: self._routes.get(one.name, one.address) for one in fleet.named_nodes}
        del self.listed[fleet.node]
        self.known: dict[str, str] = {}  # the others, ordered by when they were last sent to

    def of(self, name: str) -> str:
        """The address to dial for sending to a node; empty if it is not known."""
        if name in self.listed:
            return self.listed[name]
        if greeted := self._greeted_address(name):  # newer than what other nodes have sent
            self.know(name, greeted)
        if name in self.known:
            self.known[name] = self.known.pop(name)
        return self.known.get(name, "")

    def know(self, name: str, address: str) -> None:
        """Store the address of a node, as received from another node. Addresses in the settings take precedence."""
        if name in self.listed or name == self._node:
            return
        if not may_be_dialled(address):
            self._counters["dropped_known"] += 1
            return
        address = self._routes.get(name, address)
        if self.known.get(name) != address:
            self.forget(name)
        self.known[name] = address
        if len(self.known) > self._max_unlisted:
            self._counters["dropped_known"] += 1
            self.forget(next(iter(self.known)))

    def forget(self, name: str) -> None:
        """No more messages will be sent to this node."""
        if self.known.pop(name, None) is not None:
            self._on_forgotten(name)
