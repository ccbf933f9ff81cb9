"""The journal of a keeper: what the keeper must not forget is on disk before any message that depends on it is sent.

A record with an empty payload deletes the one before it, and is dropped itself when the file is compacted.

This module implements the steps of a commit, tracks who waits for which commit, and compacts the file. A process or
machine that crashes after any step leaves a file that `history.replay` reads correctly. That module documents what is
damage, what is a torn end, and what cannot be distinguished.

A commit writes the records, syncs, writes the mark and syncs again. Only then are those who wait notified. There are
two syncs because a mark that reaches the disk before its records would promise records that are not there. One thread
writes; records that are added meanwhile share the next commit.

Once a write or a sync has failed nothing more is written, because it is not known then what is on the disk: a second
sync may report success although the data is lost. The keeper stops answering, and the gateway continues.
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
from oatlink.fleet.shell.history import History, Row, encode_mark, encode_rows
from oatlink.fleet.shell.keys import FleetError

REGISTER = "register"  # kind of the records of a `Kept`
STANDING = "standing"  # kind of the one record of the `Standing`
COMPACT_BYTES = 1 << 20  # smaller files are not compacted
COMPACT_FACTOR = 4  # compact when the file is this many times the size of its live records
CLOSE_S = 1.0  # wait for a write in progress at shutdown
ROW_OVERHEAD_BYTES = 24  # of a record in the file, in addition to its kind, key and payload

Records = dict[tuple[str, str], bytes]


def row_of_register(register: Kept) -> Row:
    """The record of a register."""
    return Row(REGISTER, register.key, msgspec.msgpack.encode(register))


def registers_in(records: Records) -> tuple[Kept, ...]:
    """The registers in a set of records. Raises `FleetError`."""
    try:
        return tuple(msgspec.msgpack.decode(body, type=Kept) for (kind, _), body in records.items() if kind == REGISTER)
    except (msgspec.MsgspecError, ValueError) as error:
        raise FleetError(f"{NAME}: expected registers that this version knows: {error}") from None


def row_of_standing(standing: Standing) -> Row:
    """The record of the state that a keeper stores about itself."""
    return Row(STANDING, "", msgspec.msgpack.encode(standing))


def standing_in(records: Records) -> Standing | None:
    """The keeper's state about itself in a set of records, None if it was never stored. Raises `FleetError`."""
    body = records.get((STANDING, ""))
    try:
        return None if body is None else msgspec.msgpack.decode(body, type=Standing)
    except (msgspec.MsgspecError, ValueError) as error:
        raise FleetError(f"{NAME}: expected a standing that this version knows: {error}") from None


def _row_bytes(row: Row) -> int:
    return ROW_OVERHEAD_BYTES + len(row.kind) + len(row.key) + len(row.payload)


class Journal:
    """The open and locked file of one keeper. Its methods are called on the thread of the event loop."""

    def __init__(self, directory: str, node: str, folder: int, handle: int, history: History, disk: Disk) -> None:
        self.broken = ""  # why nothing can be committed any more; empty while it can
        self._directory, self._node, self._life = directory, node, history.life
        self._folder, self._disk = folder, disk
        self._pool = ThreadPoolExecutor(1, "fleet-journal")
        self._pending: list[Row] = []
        self._waiting: list[asyncio.Future[None]] = []  # for the commit of what is pending
        self._task: asyncio.Task[None] | None = None
        # The writing thread owns the following attributes while it writes.
        self._handle = handle
        self._end, self._chain, self._serial = history.end, history.chain, history.serial
        self._live = {key: Row(*key, payload) for key, payload in history.rows.items() if payload}
        self._live_bytes = sum(_row_bytes(row) for row in self._live.values())
        self._compact_at_bytes = COMPACT_BYTES

    # ---- Opening and closing ----

    @classmethod
    def open(
        cls, directory: str, node: str, life_if_new: int, disk: Disk | None = None
    ) -> tuple["Journal", Records, int, bool]:
        """The journal in a directory, its newest records, its life, and whether it is new.

        Blocks. `life_if_new` is below 2**63, and the parent of the directory must exist. Raises `FleetError`, with one
        line, if the file may lack something that was promised: this keeper must not vote then.
        """
        disk = disk or Disk()
        folder, handle, history, is_new = files.open_or_create(disk, directory, node, life_if_new)
        journal = cls(directory, node, folder, handle, history, disk)
        return journal, dict(history.rows), history.life, is_new

    async def close(self) -> None:
        """Close after the commit in progress, or after `CLOSE_S` if the disk does not respond. Idempotent.

        If it does not respond, the interpreter waits for the writing thread when it exits.
        """
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=CLOSE_S)
        is_stuck = self._task is not None
        self._fail("closed")
        self._pool.shutdown(wait=False)
        if self._handle >= 0 and not is_stuck:  # handles that the thread still uses are closed when the process exits
            os.close(self._handle)
            os.close(self._folder)
            self._handle = -1

    # ---- Adding ----

    def append(self, rows: Iterable[Row]) -> None:
        """Add records to the next commit. The newest record of a kind and key counts. A record is below 1 MiB."""
        if not self.broken:
            self._pending += rows

    async def commit(self) -> None:
        """Return once all that was appended before is durable. Raises `FleetError` if it may never be.

        Calls return in the order in which they were made.
        """
        if self.broken:
            raise FleetError(self.broken)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._commit_loop())
        await future

    async def _commit_loop(self) -> None:
        """Commit repeatedly, while anyone waits for a commit."""
        loop = asyncio.get_running_loop()
        waiting: list[asyncio.Future[None]] = []
        try:
            while self._waiting:
                rows, self._pending = self._pending, []
                waiting, self._waiting = self._waiting, []
                await loop.run_in_executor(self._pool, self._write, rows)
                for future in waiting:
                    if not future.done():
                        future.set_result(None)
                if self._end > max(self._compact_at_bytes, COMPACT_FACTOR * self._live_bytes):
                    await loop.run_in_executor(self._pool, self._compact)
        except BaseException as error:
            self._waiting = waiting + self._waiting
            self._fail(getattr(error, "strerror", None) or repr(error))
            if not isinstance(error, Exception):
                raise
        finally:
            self._task = None

    def _fail(self, why: str) -> None:
        self.broken = self.broken or f"{os.path.join(self._directory, NAME)}: {why}; nothing more is kept here"
        for future in self._waiting:
            if not future.done():
                future.set_exception(FleetError(self.broken))
        self._waiting, self._pending = [], []

    # ---- On the writing thread ----

    def _write(self, rows: list[Row]) -> None:
        if not rows:
            return
        data, chain = encode_rows(rows, self._chain)
        self._disk.write(self._handle, self._end, data)
        self._disk.sync(self._handle)
        end, serial = self._end + len(data), self._serial + 1
        self._disk.write(self._handle, *encode_mark(serial, end))
        self._disk.sync(self._handle)
        self._end, self._chain, self._serial = end, chain, serial
        for row in rows:
            old = self._live.pop((row.kind, row.key), None)
            self._live_bytes -= _row_bytes(old) if old is not None else 0
            if row.payload:
                self._live_bytes += _row_bytes(row)
                self._live[row.kind, row.key] = row

    def _compact(self) -> None:
        """Replace the file with a new one of the live records. If creating that fails, the old one stays in use."""
        new = os.path.join(self._directory, NEW)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(new)
            rows = list(self._live.values())
            handle, end, chain = files.create(self._disk, self._directory, self._node, self._life, rows)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(new)
            self._compact_at_bytes = 2 * self._end
            return
        try:
            self._disk.rename(new, os.path.join(self._directory, NAME))
            self._disk.sync(self._folder)
        finally:
            old, self._handle = self._handle, handle
            os.close(old)
        self._end, self._chain, self._serial = end, chain, files.FIRST_SERIAL
        self._compact_at_bytes = COMPACT_BYTES
