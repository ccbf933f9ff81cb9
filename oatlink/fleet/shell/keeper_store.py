"""Queues what a keeper must not forget, writes it to the keeper's file, and then sends what depends on it.

No message is sent before what it depends on is durable, and a keeper whose file fails sends nothing more. The cores
decide what is stored.
"""

import asyncio
import os
from collections import deque
from collections.abc import Callable

from oatlink.fleet import messages as f
from oatlink.fleet.registers.acceptor import Acceptor
from oatlink.fleet.shell.history import Row
from oatlink.fleet.shell.journal import Journal, Records, registers_in, row_of_register, row_of_standing, standing_in
from oatlink.fleet.shell.keys import FleetError
from oatlink.settings.fleet import Fleet


class KeeperStore:
    """The file of one keeper.

    `send` is called with each `Tell` of a `Keep` once the `Keep` is durable. `note` writes a line: event, text.
    """

    def __init__(self, fleet: Fleet, send: Callable[[f.Tell], None], note: Callable[[str, str], None]) -> None:
        self.silent = False  # the file has failed, so this keeper does not answer any more
        self._fleet, self._send, self._note = fleet, send, note
        self.records: Records = {}  # as they were when the file was opened
        self._new = True
        self._journal: Journal | None = None
        self._keeps: deque[f.Keep] = deque()
        self._commit_task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Open the file. If it cannot be used, nothing is stored. Blocks."""
        life = int.from_bytes(os.urandom(5), "big") + 1
        try:
            self._journal, self.records, _, self._new = Journal.open(self._fleet.state_dir, self._fleet.node, life)
        except (FleetError, OSError) as error:
            self._note("keeper off", str(error))

    def acceptor(self, seed: int) -> Acceptor | None:
        """The acceptor with the content of the file, None if the file cannot be used. Call it after `open`."""
        fleet = self._fleet
        if self._journal is None:
            return None
        try:
            standing = None if self._new else standing_in(self.records)
            is_trusted = fleet.trust_keeper and standing is None
            return Acceptor(fleet.node, fleet.keepers, registers_in(self.records), standing, seed, is_trusted)
        except FleetError as error:
            self._note("keeper off", str(error))
            return None

    def store(self, rows: list[Row]) -> None:
        """Queue records. Messages of a later `keep` are sent once these are durable, too."""
        if self._journal is not None and not self.silent:
            self._journal.append(rows)

    def keep(self, keep: f.Keep) -> None:
        """Queue what must be durable before the messages that depend on it are sent."""
        if self._journal is None or self.silent:
            return
        self._keeps.append(keep)
        self._journal.append(row_of_register(register) for register in keep.registers)
        if keep.standing is not None:
            self._journal.append([row_of_standing(keep.standing)])
        if self._commit_task is None:
            self._commit_task = asyncio.ensure_future(self._commit())

    async def _commit(self) -> None:
        """Commit what is queued, then send what depends on it. A file that fails silences the keeper for good."""
        assert self._journal is not None
        try:
            while self._keeps:
                count = len(self._keeps)
                await self._journal.commit()
                for _ in range(count):
                    for message in self._keeps.popleft().then:
                        self._send(message)
        except FleetError as error:
            self.silent = True
            self._note("keeper silent", str(error))
        finally:
            self._commit_task = None

    def stop(self) -> None:
        """Send nothing more."""
        if self._commit_task is not None:
            self._commit_task.cancel()

    async def close(self) -> None:
        """Close the file; after `stop`."""
        if self._journal is not None:
            await self._journal.close()

    def rows(self, rows: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """The status rows of the core, with the state of the file, which the core does not know."""
        if not self.silent:
            return rows
        return [(name, "silent: its file has failed" if name == "keeper" else text) for name, text in rows]
