"""The roster file: the banks as in the settings, read again whenever the file changes. Nothing is decided here."""

import asyncio
import os
from collections.abc import Callable

import msgspec

from oatlink.settings.load import SettingsError, decode_file
from oatlink.settings.model import Bank

PERIOD_S = 0.1  # between two checks whether the file has changed


class RosterFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the file: banks under their names in the settings; slots cannot be moved by it."""

    banks: tuple[Bank, ...]


async def follow(path: str, on_roster: Callable[[RosterFile], None], on_error: Callable[[str], None]) -> None:
    """Watch a file until cancelled. A file that cannot be read leaves the roster unchanged and is reported once."""
    last_stamp: tuple[int, int, int] | None = None
    while True:
        try:
            status = os.stat(path)
            stamp = (status.st_mtime_ns, status.st_ino, status.st_size)
            if stamp != last_stamp:
                last_stamp = stamp
                on_roster(decode_file(path, RosterFile))
        except SettingsError as error:
            on_error(str(error))
        except OSError:
            if last_stamp is not None:
                last_stamp = None
                on_error(f"{path}: not there; the last roster stands")
        await asyncio.sleep(PERIOD_S)
