"""The keeper's file in use: what it must not forget, on disk before anything is answered for it.

A record with an empty payload takes the one before it out; it goes itself when the file is made anew.

What may live here: the steps of a commit, who waits for which, and when the file is made anew. A process or a machine
that falls after any step leaves a file that `history.replay` reads rightly; what is damage and what is torn, and what
cannot be told apart, stands there.

A commit is: write the records, sync, write the mark, sync; only then is anybody told. Two syncs, because a mark on disk
before its records would promise what is not there. One thread writes; what comes meanwhile shares the next commit.

Once a write or a sync has failed nothing more is written: what the disk has then is not known (a second sync may say
well and mean nothing). The keeper falls silent, and the gateway goes on.
"""

import asyncio
import contextlib
import os
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from oatlink.fleet.messages import Kept, Standing
from oatlink.fleet.shell import files
from oatlink.fleet.shell.disk import Disk
from oatlink.fleet.shell.files import NAME, NEW
from oatlink.fleet.shell.history import History, Row, frames, mark
from oatlink.fleet.shell.keys import FleetError

REGISTER = "register"  # the kind of a `Kept`
STANDING = "standing"  # of the one `Standing`
COMPACT_BYTES = 1 << 20
COMPACT_TIMES = 4  # the size of what is live
CLOSE_S = 1.0  # for a write under way at the end

Records = dict[tuple[str, str], bytes]


def row_of(one: Kept) -> Row:
    """A register as a record."""
    return Row(REGISTER, one.key, msgspec.msgpack.encode(one))


def kept_in(records: Records) -> tuple[Kept, ...]:
    """The registers among records. Raises `FleetError`."""
    try:
        return tuple(msgspec.msgpack.decode(body, type=Kept) for (kind, _), body in records.items() if kind == REGISTER)
    except (msgspec.MsgspecError, ValueError) as error:
        raise FleetError(f"{NAME}: expected registers that this version knows: {error}") from None


def row_of_standing(one: Standing) -> Row:
    """What the keeper is, as a record."""
    return Row(STANDING, "", msgspec.msgpack.encode(one))


def standing_in(records: Records) -> Standing | None:
    """What the keeper is among records; None where it never said so. Raises `FleetError`."""
    body = records.get((STANDING, ""))
    try:
        return None if body is None else msgspec.msgpack.decode(body, type=Standing)
    except (msgspec.MsgspecError, ValueError) as error:
        raise FleetError(f"{NAME}: expected a standing that this version knows: {error}") from None


def _size(row: Row) -> int:
    return 24 + len(row.kind) + len(row.key) + len(row.payload)


class Journal:
    """One keeper's file, open and locked. Its methods belong to the loop's thread."""

    def __init__(self, place: str, node: str, folder: int, handle: int, found: History, disk: Disk) -> None:
        self.broken = ""  # why nothing can be committed any more
        self._place, self._node, self._life = place, node, found.life
        self._folder, self._disk = folder, disk
        self._pool = ThreadPoolExecutor(1, "fleet-journal")
        self._pending: list[Row] = []
        self._waiting: list[asyncio.Future[None]] = []  # for what is pending
        self._task: asyncio.Task[None] | None = None
        # What follows is the writing thread's, while it writes.
        self._handle = handle
        self._end, self._chain, self._serial = found.end, found.chain, found.serial
        self._live = {key: Row(*key, payload) for key, payload in found.rows.items() if payload}
        self._live_size = sum(_size(row) for row in self._live.values())
        self._compact_at = COMPACT_BYTES

    # ---- Beginning and end ----

    @classmethod
    def open(
        cls, place: str, node: str, life_if_new: int, disk: Disk | None = None
    ) -> tuple["Journal", Records, int, bool]:
        """The journal in a directory, its newest records, its life, and whether it was made just now.

        Blocks. `life_if_new` is under 2**63; the directory's parent must be there. Raises `FleetError`, one line, where
        the file may lack what was promised: then this keeper must not vote.
        """
        disk = disk or Disk()
        folder, handle, found, is_new = files.find(disk, place, node, life_if_new)
        return cls(place, node, folder, handle, found, disk), dict(found.rows), found.life, is_new

    async def close(self) -> None:
        """End after the commit that is under way, or after `CLOSE_S` where the disk does not come back. Idempotent.

        Where it does not, the interpreter will wait for the writing thread at its own end.
        """
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=CLOSE_S)
        stuck = self._task is not None
        self._break("closed")
        self._pool.shutdown(wait=False)
        if self._handle >= 0 and not stuck:  # what the thread still uses is left to the end of the process
            os.close(self._handle)
            os.close(self._folder)
            self._handle = -1

    # ---- Adding ----

    def append(self, rows: Iterable[Row]) -> None:
        """Records for the next commit; the newest of a kind and key holds. A record is under 1 MiB."""
        if not self.broken:
            self._pending += rows

    async def commit(self) -> None:
        """Return once all that was appended before is surely on disk. Raises `FleetError` where it may never be.

        Calls return in the order in which they were made.
        """
        if self.broken:
            raise FleetError(self.broken)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._work())
        await future

    async def _work(self) -> None:
        """Commit after commit, while anybody waits for one."""
        loop = asyncio.get_running_loop()
        told: list[asyncio.Future[None]] = []
        try:
            while self._waiting:
                rows, self._pending = self._pending, []
                told, self._waiting = self._waiting, []
                await loop.run_in_executor(self._pool, self._add, rows)
                for future in told:
                    if not future.done():
                        future.set_result(None)
                if self._end > max(self._compact_at, COMPACT_TIMES * self._live_size):
                    await loop.run_in_executor(self._pool, self._compact)
        except BaseException as error:
            self._waiting = told + self._waiting
            self._break(getattr(error, "strerror", None) or repr(error))
            if not isinstance(error, Exception):
                raise
        finally:
            self._task = None

    def _break(self, why: str) -> None:
        self.broken = self.broken or f"{os.path.join(self._place, NAME)}: {why}; nothing more is kept here"
        for future in self._waiting:
            if not future.done():
                future.set_exception(FleetError(self.broken))
        self._waiting, self._pending = [], []

    # ---- On the writing thread ----

    def _add(self, rows: list[Row]) -> None:
        if not rows:
            return
        data, chain = frames(rows, self._chain)
        self._disk.write(self._handle, self._end, data)
        self._disk.sync(self._handle)
        end, serial = self._end + len(data), self._serial + 1
        self._disk.write(self._handle, *mark(serial, end))
        self._disk.sync(self._handle)
        self._end, self._chain, self._serial = end, chain, serial
        for row in rows:
            old = self._live.pop((row.kind, row.key), None)
            self._live_size -= _size(old) if old is not None else 0
            if row.payload:
                self._live_size += _size(row)
                self._live[row.kind, row.key] = row

    def _compact(self) -> None:
        """Make the file anew from what is live. Where that fails before the old one is gone, it goes on as it is."""
        new = os.path.join(self._place, NEW)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(new)
            handle, end, chain = files.make(self._disk, self._place, self._node, self._life, list(self._live.values()))
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(new)
            self._compact_at = 2 * self._end
            return
        try:
            self._disk.rename(new, os.path.join(self._place, NAME))
            self._disk.sync(self._folder)
        finally:
            old, self._handle = self._handle, handle
            os.close(old)
        self._end, self._chain, self._serial = end, chain, files.FIRST_SERIAL
        self._compact_at = COMPACT_BYTES
