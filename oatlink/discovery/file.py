"""A roster file: the banks of the settings, evaluated anew whenever the file changes. It decides nothing."""

import asyncio
import os
from collections.abc import Callable

import msgspec

from oatlink.settings.load import SettingsError, decode_file
from oatlink.settings.model import Bank

PERIOD_S = 0.1


class RosterFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the file holds: banks by the names that the settings give them; slots may not move here."""

    banks: tuple[Bank, ...]


async def follow(path: str, told: Callable[[RosterFile], None], wrong: Callable[[str], None]) -> None:
    """Watch a file until cancelled. A file that cannot be read changes nothing and is reported once."""
    seen: tuple[int, int, int] | None = None
    while True:
        try:
            state = os.stat(path)
            mark = (state.st_mtime_ns, state.st_ino, state.st_size)
            if mark != seen:
                seen = mark
                told(decode_file(path, RosterFile))
        except SettingsError as error:
            wrong(str(error))
        except OSError:
            if seen is not None:
                seen = None
                wrong(f"{path}: not there; the last roster stands")
        await asyncio.sleep(PERIOD_S)
