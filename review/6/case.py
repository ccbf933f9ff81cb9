"""Some answers bring a second copy of themselves right behind, from servers in another data centre.

Does every client get the value that was made for its own request?
"""

import asyncio
import random
from pathlib import Path

import world2 as world

ONE_WAY_S = 0.0026  # between data centres of offshore-grand-baie: 1.4 to 2.6 ms one way
BEHIND_S = 0.001  # the copy follows its answer by this
COPIED_SHARE = 0.1  # of the answers; the pages say "some"
WORK_S = 0.12  # of history-pull: 120 to 210 ms
REQUESTS_PER_S = 125  # about 150 a second at 3 gateways, and "traffic jumps to 1.6 to 2.5 times the usual"
SECONDS = 15.0


class CopyingServer(world.Server):
    """A database server that answers well, and sometimes twice."""

    random = random.Random(1)
    copied = 0

    async def write_answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Write an answer, and a copy right behind it if nothing else waits on the connection."""
        writer.write(answer)
        if world.TROUBLE and self.random.random() < COPIED_SHARE:
            await asyncio.sleep(BEHIND_S)
            if not reader._buffer:  # type: ignore[attr-defined]
                writer.write(answer)
                CopyingServer.copied += 1
                self.record.add(self.name, "wrote the last answer twice")


class Link:
    """The way to a server in another data centre: what comes in goes out so much later, in order."""

    def __init__(self, server: world.Server) -> None:
        self._server = server
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen on a free port, which takes the place of the server's."""
        self._to_port = self._server.port
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server.port = self._listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._to_port)
        self._writers += [writer, far_writer]
        await asyncio.gather(delay(reader, far_writer), delay(far_reader, writer), return_exceptions=True)


async def delay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Carry bytes from one to the other, and then their end."""
    loop = asyncio.get_running_loop()
    try:
        while data := await reader.read(65_536):
            loop.call_later(ONE_WAY_S, writer.write, data)
    except ConnectionError:
        pass
    loop.call_later(ONE_WAY_S, writer.close)


async def case(record: world.Record, folder: str) -> bool:
    """Return whether the rule held."""
    primary = CopyingServer(record, "s-primary", True, WORK_S)
    replicas = [CopyingServer(record, f"s-replica{number}", False, WORK_S) for number in (1, 2, 3, 4)]
    servers = [primary, *replicas]
    discovery = world.Discovery(record, list(servers))
    async with world.running(*servers, *(Link(server) for server in servers), discovery):
        config = {"discovery": f"127.0.0.1:{discovery.port}", "known": discovery.whole()}
        config["settings"] = world.offshore_grand_baie()
        gateway = world.Gateway(record, folder, config)
        await gateway.start()
        try:
            await gateway.wait_until_ready()
            foreign = await send_steadily(record, gateway.port, record.now_s + SECONDS)
        finally:
            await gateway.end()
    record.add("case", f"answers written twice: {CopyingServer.copied}; foreign values: {len(foreign)}")
    return not foreign


async def send_steadily(record: world.Record, port: int, end_s: float) -> list[str]:
    """Send reads at a steady rate, each on a free connection. Return those that were served another's value."""
    free: list[world.Client] = []
    foreign: list[str] = []
    asks: list[asyncio.Future[None]] = []

    async def ask(client: world.Client) -> None:
        text = world.select("history-pull", 2500)
        request = world.comment_fields(text)["id"]
        outcome, value = await client.ask(text, 4.0)
        if outcome == "served" and value != f"value for {request}":
            record.add("case", f"FOREIGN: id={request} was served {value!r}")
            foreign.append(request)
        free.append(client)

    clients: list[world.Client] = []
    while record.now_s < end_s:
        if not free:
            clients.append(world.Client(record, f"client{len(clients):03}", port))
            free.append(clients[-1])
        asks.append(asyncio.ensure_future(ask(free.pop())))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*asks)
    for client in clients:
        client.close()
    return foreign


if __name__ == "__main__":
    world.run_case(Path(__file__).parent, case)
