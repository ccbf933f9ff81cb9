"""Creates a keeper's file in its directory, and opens an existing one.

The order of creating, renaming and syncing matters. A new file is complete and durable before it gets its name, so
there is never an incomplete file under that name. A directory belongs to one process at a time. The lock is on the
directory and not on the file, because the file is replaced from time to time.
"""

import contextlib
import fcntl
import os

import msgspec

from oatlink.fleet.shell.disk import Disk
from oatlink.fleet.shell.history import (
    BEGIN,
    DamageError,
    History,
    Row,
    encode_head,
    encode_mark,
    encode_rows,
    first_chain,
    replay,
)
from oatlink.fleet.shell.keys import FleetError

NAME, NEW = "keeper.journal", "keeper.journal.new"
FIRST_SERIAL = 1
MAX_FILE_BYTES = 1 << 30  # of a file, which is read as a whole: far more than is ever written


def open_or_create(disk: Disk, directory: str, node: str, life_if_new: int) -> tuple[int, int, History, bool]:
    """Lock the directory and open the file in it, creating both if they do not exist.

    Returns the handles of the directory and of the file, the content of the file, and whether the file is new. Raises
    `FleetError`.
    """
    path = os.path.join(directory, NAME)
    with contextlib.ExitStack() as undo:
        try:
            with contextlib.suppress(FileExistsError):
                os.mkdir(directory, 0o700)
            folder = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            undo.callback(os.close, folder)
            try:
                fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise FleetError(f"{directory}: expected a directory of its own, another process uses it") from None
            with contextlib.suppress(FileNotFoundError):
                os.unlink(os.path.join(directory, NEW))  # left by a process that ended while creating it
            is_new = not os.path.lexists(path)
            if is_new:
                _sync_parent(disk, directory)
                os.close(create(disk, directory, node, life_if_new, [])[0])
                disk.rename(os.path.join(directory, NEW), path)
            disk.sync(folder)  # a process may have crashed between a rename and this
            handle = os.open(path, os.O_RDWR | os.O_CLOEXEC)
            undo.callback(os.close, handle)
            history = replay(_read(handle), node)
            # Complete records that were never promised are used too, and the next promises may depend on them: they get
            # a mark first.
            disk.cut(handle, history.end)
            disk.sync(handle)
            history = msgspec.structs.replace(history, serial=history.serial + 1)
            disk.write(handle, *encode_mark(history.serial, history.end))
            disk.sync(handle)
        except DamageError as damage:
            raise FleetError(f"{path}: {damage}; this keeper cannot vote") from None
        except OSError as error:
            raise FleetError(f"{path}: {error.strerror or error}") from None
        undo.pop_all()
    return folder, handle, history, is_new


def create(disk: Disk, directory: str, node: str, life: int, rows: list[Row]) -> tuple[int, int, int]:
    """Create a complete file beside the one in use: its handle, its end, and the checksum of its last record."""
    data, chain = encode_rows(rows, first_chain(node, life))
    end = BEGIN + len(data)
    handle = disk.make(os.path.join(directory, NEW))
    try:
        disk.write(handle, 0, encode_head(node, life).ljust(BEGIN, b"\0"))
        disk.write(handle, BEGIN, data)
        for serial in (FIRST_SERIAL - 1, FIRST_SERIAL):
            disk.write(handle, *encode_mark(serial, end))
        disk.sync(handle)
    except BaseException:
        os.close(handle)
        raise
    return handle, end, chain


def _sync_parent(disk: Disk, directory: str) -> None:
    parent = os.open(os.path.dirname(os.path.abspath(directory)), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        disk.sync(parent)
    finally:
        os.close(parent)


def _read(handle: int) -> bytes:
    if os.fstat(handle).st_size > MAX_FILE_BYTES:
        raise DamageError(f"expected at most {MAX_FILE_BYTES} bytes")
    parts = []
    while piece := os.read(handle, 1 << 20):
        parts.append(piece)
    return b"".join(parts)
