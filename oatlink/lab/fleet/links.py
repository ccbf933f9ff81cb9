"""The links of a fleet: one proxy for each directed pair of nodes, and faults for all links of a set of nodes."""

from oatlink.lab.fleet.proxy import LinkProxy


class Links:
    """All links by (source, target).

    A connection carries bytes both ways, whichever node dialled it. To cut one direction between two nodes, both of
    their proxies must be set.
    """

    def __init__(self, ports: list[int], seed: int) -> None:
        """`ports`: the ports on which the nodes listen for each other."""
        count = len(ports)
        self.links = {
            (source, target): LinkProxy(("127.0.0.1", ports[target]), seed * 1_000 + source * count + target)
            for source in range(count)
            for target in range(count)
            if source != target
        }

    async def start(self) -> None:
        """Start all proxies."""
        for link in self.links.values():
            await link.start()

    async def stop(self) -> None:
        """Stop all proxies."""
        for link in self.links.values():
            await link.close()

    def routes(self, node: int) -> dict[int, int]:
        """Return the proxy port by which a node reaches each of the other nodes."""
        return {target: link.port for (source, target), link in self.links.items() if source == node}

    def _between(self, nodes: tuple[int, ...]) -> list[tuple[bool, LinkProxy]]:
        """Return the links between these nodes and the rest; the flag tells whether one of these nodes dials."""
        return [
            (source in nodes, link)
            for (source, target), link in self.links.items()
            if (source in nodes) is not (target in nodes)
        ]

    def cut(self, nodes: tuple[int, ...], out: bool, into: bool) -> None:
        """Cut all traffic from these nodes to the rest (`out`), from the rest to these nodes (`into`), or both."""
        for dialled_here, link in self._between(nodes):
            link.cut_forward = link.cut_forward or (out if dialled_here else into)
            link.cut_back = link.cut_back or (into if dialled_here else out)

    def restore(self, nodes: tuple[int, ...]) -> None:
        """Undo `cut` in both directions."""
        for _, link in self._between(nodes):
            link.cut_forward = link.cut_back = False

    def slow(self, nodes: tuple[int, ...], delay_ms: float) -> None:
        """Delay all bytes between these nodes and the rest, in each direction."""
        for _, link in self._between(nodes):
            link.delay_ms = delay_ms

    def double(self, nodes: tuple[int, ...], probability: float) -> None:
        """Duplicate messages between these nodes and the rest with this probability."""
        for _, link in self._between(nodes):
            link.duplicate = probability

    def heal(self) -> None:
        """Clear the cuts, delays, rate limits and duplication of all links."""
        for link in self.links.values():
            link.cut_forward = link.cut_back = False
            link.delay_ms, link.duplicate, link.rate_bytes_s = 0.0, 0.0, 0
