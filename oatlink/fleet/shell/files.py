"""How the keeper's file comes about in its directory, and how it is found there.

What may live here: the order of making, naming and syncing. A new file is whole and on disk before it has its name, so
under that name there is never half a one. A directory belongs to one process at a time: it is locked, and not the file,
because the file is at times replaced.
"""

import contextlib
import fcntl
import os

import msgspec

from oatlink.fleet.shell.disk import Disk
from oatlink.fleet.shell.history import BEGIN, DamageError, History, Row, first_chain, frames, head, mark, replay
from oatlink.fleet.shell.keys import FleetError

NAME, NEW = "keeper.journal", "keeper.journal.new"
FIRST_SERIAL = 1
MOST_BYTES = 1 << 30  # of a file that is read whole: far more than what is ever written


def find(disk: Disk, place: str, node: str, life_if_new: int) -> tuple[int, int, History, bool]:
    """Handles of a directory, locked, and of the file in it; what the file holds; whether it was made just now.

    Raises `FleetError`.
    """
    path = os.path.join(place, NAME)
    with contextlib.ExitStack() as undo:
        try:
            with contextlib.suppress(FileExistsError):
                os.mkdir(place, 0o700)
            folder = os.open(place, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            undo.callback(os.close, folder)
            try:
                fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise FleetError(f"{place}: expected a directory of its own, another process uses it") from None
            with contextlib.suppress(FileNotFoundError):
                os.unlink(os.path.join(place, NEW))  # a making that did not come to its end
            is_new = not os.path.lexists(path)
            if is_new:
                _sync_parent(disk, place)
                os.close(make(disk, place, node, life_if_new, [])[0])
                disk.rename(os.path.join(place, NEW), path)
            disk.sync(folder)  # a process may have fallen between a rename and this
            handle = os.open(path, os.O_RDWR | os.O_CLOEXEC)
            undo.callback(os.close, handle)
            found = replay(_read(handle), node)
            # What was whole but not answered for is taken, and the next answers may rest on it: mark it first.
            disk.cut(handle, found.end)
            disk.sync(handle)
            found = msgspec.structs.replace(found, serial=found.serial + 1)
            disk.write(handle, *mark(found.serial, found.end))
            disk.sync(handle)
        except DamageError as damage:
            raise FleetError(f"{path}: {damage}; this keeper cannot vote") from None
        except OSError as error:
            raise FleetError(f"{path}: {error.strerror or error}") from None
        undo.pop_all()
    return folder, handle, found, is_new


def make(disk: Disk, place: str, node: str, life: int, rows: list[Row]) -> tuple[int, int, int]:
    """A whole file beside the one in use: its handle, its end, and the checksum of its last record."""
    data, chain = frames(rows, first_chain(node, life))
    end = BEGIN + len(data)
    handle = disk.make(os.path.join(place, NEW))
    try:
        disk.write(handle, 0, head(node, life).ljust(BEGIN, b"\0"))
        disk.write(handle, BEGIN, data)
        for serial in (FIRST_SERIAL - 1, FIRST_SERIAL):
            disk.write(handle, *mark(serial, end))
        disk.sync(handle)
    except BaseException:
        os.close(handle)
        raise
    return handle, end, chain


def _sync_parent(disk: Disk, place: str) -> None:
    parent = os.open(os.path.dirname(os.path.abspath(place)), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        disk.sync(parent)
    finally:
        os.close(parent)


def _read(handle: int) -> bytes:
    if os.fstat(handle).st_size > MOST_BYTES:
        raise DamageError(f"expected at most {MOST_BYTES} bytes")
    parts = []
    while piece := os.read(handle, 1 << 20):
        parts.append(piece)
    return b"".join(parts)
