"""Recordings and snapshots on disk, buffered; a full disk or the stated size ends them, never the gateway."""

import os
from collections.abc import Callable
from typing import BinaryIO

from oatlink import __version__
from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.core.recording import Recorder
from oatlink.core.snapshot import SnapshotError, start_from
from oatlink.settings.model import Settings

BUFFER = 262_144  # bytes gathered before a write


class FileRecorder:
    """One file of one gateway's life, at most `record_max_bytes` long."""

    def __init__(self, settings: Settings, began_us: int, wrong: Callable[[str], None]) -> None:
        self._recorder = Recorder(__version__, settings, began_us)
        self._left = settings.record_max_bytes - len(self._recorder.header)
        self._wrong = wrong
        self._parts = [self._recorder.header]
        self._size = 0
        self._file: BinaryIO | None = None
        try:
            self._file = open(settings.record_file, "wb")  # noqa: SIM115 - closed in close()
        except OSError as error:
            wrong(f"{settings.record_file}: {error.strerror}; nothing is recorded")

    def add(self, now_us: int, given: m.AnyInput, effects: list[m.AnyEffect]) -> None:
        """Record one input."""
        if self._file is None:
            return
        data = self._recorder.add(now_us, given, effects)
        self._left -= len(data)
        if self._left < 0:
            self._wrong("record_max_bytes is reached; recording ends here")
            self.close()
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > BUFFER:
            self.flush()

    def flush(self) -> None:
        """Hand over what was gathered."""
        if self._file is None:
            return
        parts, self._parts, self._size = self._parts, [], 0
        try:
            self._file.write(b"".join(parts))
            self._file.flush()
        except OSError as error:
            self._wrong(f"recording ends: {error.strerror}")
            self._file = None

    def close(self) -> None:
        """Write the rest and close."""
        self.flush()
        if self._recorder.redactor.unredacted:
            self._wrong(
                f"{self._recorder.redactor.unredacted} keys were recorded as they were: hashed, they would "
                "fall into another class"
            )
        if self._file is not None:
            self._file.close()
            self._file = None


def write_snapshot(path: str, data: bytes, wrong: Callable[[str], None]) -> None:
    """Replace a snapshot file at once: a reader finds the old one or the new one, never half of one."""
    try:
        with open(path + ".new", "wb") as file:
            file.write(data)
        os.replace(path + ".new", path)
    except OSError as error:
        wrong(f"{path}: {error.strerror}; no snapshot written")


def start_engine(settings: Settings, now_us: int, wrong: Callable[[str], None]) -> Engine:
    """An engine, from the snapshot that the settings name if there is one that can be used."""
    if settings.snapshot_file and not settings.record_file:
        try:
            with open(settings.snapshot_file, "rb") as file:
                return start_from(file.read(), settings, now_us, settings.snapshot_file)
        except FileNotFoundError:
            pass
        except (OSError, SnapshotError) as error:
            wrong(f"{error}; starting with nothing known")
    return Engine(settings, now_us)
