"""The links of a fleet: one proxy for each directed pair of nodes, and what may be wrong with all those of some."""

from oatlink.lab.fleet.proxy import LinkProxy


class Links:
    """All links, by (from, to). A connection that i dialled bears both ways' bytes, so a way is cut at two proxies."""

    def __init__(self, ports: list[int], seed: int) -> None:
        """`ports`: where each node listens for others."""
        count = len(ports)
        self.links = {
            (at, to): LinkProxy(("127.0.0.1", ports[to]), seed * 1_000 + at * count + to)
            for at in range(count)
            for to in range(count)
            if at != to
        }

    async def start(self) -> None:
        """Listen everywhere."""
        for one in self.links.values():
            await one.start()

    async def stop(self) -> None:
        """End all."""
        for one in self.links.values():
            await one.close()

    def routes(self, at: int) -> dict[int, int]:
        """The ports by which a node reaches each other one."""
        return {to: link.port for (one, to), link in self.links.items() if one == at}

    def _between(self, nodes: tuple[int, ...]) -> list[tuple[bool, LinkProxy]]:
        """Links between these and the rest; True where the connection was dialled by one of these."""
        return [(at in nodes, link) for (at, to), link in self.links.items() if (at in nodes) is not (to in nodes)]

    def cut(self, nodes: tuple[int, ...], out: bool, into: bool) -> None:
        """Nothing gets from these nodes to the rest (`out`), or from the rest to them (`into`)."""
        for dialled_here, link in self._between(nodes):
            link.cut_forward = link.cut_forward or (out if dialled_here else into)
            link.cut_back = link.cut_back or (into if dialled_here else out)

    def mend(self, nodes: tuple[int, ...]) -> None:
        """Both ways are open again."""
        for _, link in self._between(nodes):
            link.cut_forward = link.cut_back = False

    def slow(self, nodes: tuple[int, ...], delay_ms: float) -> None:
        """Bytes between these nodes and the rest take so much longer, each way."""
        for _, link in self._between(nodes):
            link.delay_ms = delay_ms

    def double(self, nodes: tuple[int, ...], how_probably: float) -> None:
        """Messages between these nodes and the rest come twice so probably."""
        for _, link in self._between(nodes):
            link.duplicate = how_probably

    def heal(self) -> None:
        """All links are good."""
        for link in self.links.values():
            link.cut_forward = link.cut_back = False
            link.delay_ms, link.duplicate, link.rate_bytes_s = 0.0, 0.0, 0
