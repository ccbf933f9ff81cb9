"""What a keeper must not forget, on its way to the file: in line, on disk, then said.

What may live here: that nothing is said before it is surely on disk, and that a keeper whose file fails says nothing
more. What is kept is the cores'.
"""

import asyncio
import os
from collections import deque
from collections.abc import Callable

from oatlink.fleet import messages as f
from oatlink.fleet.registers.acceptor import Acceptor
from oatlink.fleet.shell.history import Row
from oatlink.fleet.shell.journal import Journal, Records, kept_in, row_of, row_of_standing, standing_in
from oatlink.fleet.shell.keys import FleetError
from oatlink.settings.fleet import Fleet


class KeeperStore:
    """One keeper's file in use. `said` is told each `Tell` of a `Keep` once that is on disk; `note` writes a line."""

    def __init__(self, fleet: Fleet, said: Callable[[f.Tell], None], note: Callable[[str, str], None]) -> None:
        self.silent = False  # the file has failed: this keeper answers for nothing any more
        self._fleet, self._said, self._note = fleet, said, note
        self.records: Records = {}  # as they were found
        self._new = True
        self._journal: Journal | None = None
        self._keeps: deque[f.Keep] = deque()
        self._keeping: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Open the file; where it cannot be used nothing is kept. Blocks."""
        life = int.from_bytes(os.urandom(5), "big") + 1
        try:
            self._journal, self.records, _, self._new = Journal.open(self._fleet.state_dir, self._fleet.node, life)
        except (FleetError, OSError) as error:
            self._note("keeper off", str(error))

    def keeper(self, seed: int) -> Acceptor | None:
        """The keeper that the file is of, None where it cannot be used; after `open`."""
        fleet = self._fleet
        if self._journal is None:
            return None
        try:
            standing = None if self._new else standing_in(self.records)
            trusted = fleet.trust_keeper and standing is None
            return Acceptor(fleet.node, fleet.keepers, kept_in(self.records), standing, seed, trusted)
        except FleetError as error:
            self._note("keeper off", str(error))
            return None

    def store(self, rows: list[Row]) -> None:
        """Put these in line; what is kept after them is said once they are on disk."""
        if self._journal is not None and not self.silent:
            self._journal.append(rows)

    def keep(self, keep: f.Keep) -> None:
        """Put in line what must be on disk before it is answered."""
        if self._journal is None or self.silent:
            return
        self._keeps.append(keep)
        self._journal.append(row_of(one) for one in keep.registers)
        if keep.standing is not None:
            self._journal.append([row_of_standing(keep.standing)])
        if self._keeping is None:
            self._keeping = asyncio.ensure_future(self._kept())

    async def _kept(self) -> None:
        """Commit what is in line, then say it; a file that fails silences the keeper for good."""
        assert self._journal is not None
        try:
            while self._keeps:
                count = len(self._keeps)
                await self._journal.commit()
                for _ in range(count):
                    for one in self._keeps.popleft().then:
                        self._said(one)
        except FleetError as error:
            self.silent = True
            self._note("keeper silent", str(error))
        finally:
            self._keeping = None

    def stop(self) -> None:
        """Say nothing more."""
        if self._keeping is not None:
            self._keeping.cancel()

    async def close(self) -> None:
        """Close the file; after `stop`."""
        if self._journal is not None:
            await self._journal.close()

    def rows(self, rows: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """The core's rows for operators: it does not know of its file itself."""
        if not self.silent:
            return rows
        return [(name, "silent: its file has failed" if name == "keeper" else text) for name, text in rows]
