"""Recordings and snapshots on disk, buffered; a full disk ends a recording, never the gateway."""

import os
from collections.abc import Callable
from typing import BinaryIO

from oatlink import __version__
from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.core.recording import Recorder
from oatlink.core.snapshot import SnapshotError, engine_from_snapshot
from oatlink.settings.model import Settings

BUFFER = 262_144  # bytes gathered before a write


def part_path(path: str, number: int) -> str:
    """The file of a recording's part: the first bears the name that the settings say."""
    return path if number == 1 else f"{path}.part{number}"


def _create(path: str) -> BinaryIO:
    """A file that only its owner reads: a recording holds what clients said. Raises `OSError`."""
    return os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb")


class Tape:
    """What a gateway records: to files, to a ring in memory, or nothing; changed by operators in service."""

    def __init__(self, settings: Settings, engine: Engine, began_us: int, wrong: Callable[[str], None]) -> None:
        self._path, self._mode = settings.record_file, settings.record
        self._parts = settings.record_parts
        self._file_bytes, self._ring_bytes = settings.record_max_bytes, settings.record_ring_bytes
        self._engine, self._wrong = engine, wrong
        self._recorder: Recorder | None = None
        self._file: BinaryIO | None = None
        self._gathered: list[bytes] = []
        self._size = 0
        self._runs = 0  # recordings begun in this life: each has files of its own
        if self._path and self._mode != "on-request":
            self._recorder = self._new(self._mode == "ring", began_us)
            if self._mode == "always":
                self._open(1, self._recorder.header)

    @property
    def on(self) -> bool:
        """Whether inputs must be handed over."""
        return self._recorder is not None

    def _new(self, ring: bool, began_us: int) -> Recorder:
        self._runs += 1
        return Recorder(
            __version__,
            self._engine.settings,
            began_us,
            part_bytes=max(1, (self._ring_bytes if ring else self._file_bytes) // self._parts),
            parts=self._parts,
            ring=ring,
            engine=self._engine,
        )

    def _base(self) -> str:
        return self._path if self._runs == 1 else f"{self._path}.run{self._runs}"

    def _open(self, number: int, header: bytes) -> None:
        self._close_file()
        path = part_path(self._base(), number)
        try:
            self._file = _create(path)
        except OSError as error:
            self._end(f"{path}: {error.strerror}; nothing is recorded")
            return
        self._gathered, self._size = [header], len(header)

    def _end(self, why: str) -> None:
        self._wrong(why)
        self._recorder, self._gathered = None, []
        if self._file is not None:
            self._file.close()
            self._file = None

    def add(self, now_us: int, given: m.AnyInput, effects: list[m.AnyEffect]) -> None:
        """Record one input that the engine has handled; a new part begins where the old one is full."""
        recorder = self._recorder
        if recorder is None:
            return
        data = recorder.add_input(now_us, given, effects)
        if self._file is not None:
            self._gathered.append(data)
            self._size += len(data)
            if self._size > BUFFER:
                self.flush()
        if recorder.is_full:
            oldest = recorder.oldest_number
            header = recorder.begin_part(self._engine, now_us)
            if self._file is not None:
                self._open(recorder.kept_parts[-1].number, header)
                for number in range(oldest, recorder.oldest_number):
                    self._remove(part_path(self._base(), number))

    def _remove(self, path: str) -> None:
        try:
            os.unlink(path)
        except OSError as error:
            self._wrong(f"{path}: {error.strerror}; the part stays")

    def flush(self) -> None:
        """Hand over what was gathered."""
        if self._file is None:
            return
        parts, self._gathered, self._size = self._gathered, [], 0
        try:
            self._file.write(b"".join(parts))
            self._file.flush()
        except OSError as error:
            self._end(f"recording ends: {error.strerror}")

    def _close_file(self) -> None:
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None

    def close(self) -> None:
        """Write the rest and close."""
        self._close_file()
        if self._recorder is not None and self._recorder.redactor.unredacted_count:
            self._wrong(
                f"{self._recorder.redactor.unredacted_count} keys were recorded as they were: hashed, they would "
                "fall into another class"
            )
        self._recorder = None

    # ---- What operators ask for ----

    def do(self, word: str, now_us: int) -> tuple[bool, str]:
        """Carry out `Record`; between inputs only. Whether it was done, and a line for the operator."""
        words = {"start": self._start, "stop": self._stop, "dump": self._dump, "status": self._status}
        if word not in words:
            return False, f"unknown word {word!r}; RECORD takes start, stop, dump or status"
        if not self._path:
            return False, "record_file is not set: there is nowhere to write to"
        return words[word](now_us)

    def _start(self, now_us: int) -> tuple[bool, str]:
        if self._file is not None:
            return False, f"already recording to {self._base()}"
        recorder = self._recorder = self._new(False, now_us)
        self._open(1, recorder.header)
        return self.on, f"recording to {self._base()}" if self.on else "the file cannot be made; the log says why"

    def _stop(self, now_us: int) -> tuple[bool, str]:
        if self._file is None:
            return False, "not recording to a file"
        where = self._base()
        self.close()
        if self._mode == "ring":
            self._recorder = self._new(True, now_us)
        return True, f"stopped; written to {where}"

    def _dump(self, now_us: int) -> tuple[bool, str]:
        if self._recorder is None or self._file is not None:
            return False, "no ring is kept; set record: 'ring'"
        written = []
        for part in self._recorder.kept_parts:
            path = f"{part_path(self._base(), part.number)}.dump"
            try:
                with _create(path) as file:
                    file.writelines(part.frames)
            except OSError as error:
                return False, f"{path}: {error.strerror}"
            written.append(path)
        return True, "written to " + " ".join(written)

    def _status(self, now_us: int) -> tuple[bool, str]:
        recorder = self._recorder
        if recorder is None:
            return True, "off"
        where = f"recording to {self._base()}" if self._file is not None else "ring in memory"
        held = sum(part.size_bytes for part in recorder.kept_parts)
        return True, (
            f"{where}: {recorder.input_count} inputs, part {recorder.kept_parts[-1].number}, "
            f"{len(recorder.kept_parts)} kept, "
            f"{held} of about {self._parts * recorder.part_bytes} bytes"
        )


def write_snapshot(path: str, data: bytes, wrong: Callable[[str], None]) -> None:
    """Replace a snapshot file at once: a reader finds the old one or the new one, never half of one."""
    try:
        with _create(path + ".new") as file:
            file.write(data)
        os.replace(path + ".new", path)
    except OSError as error:
        wrong(f"{path}: {error.strerror}; no snapshot written")


def start_engine(settings: Settings, now_us: int, wrong: Callable[[str], None]) -> Engine:
    """An engine, from the snapshot that the settings name if there is one that can be used."""
    if settings.snapshot_file:
        try:
            with open(settings.snapshot_file, "rb") as file:
                return engine_from_snapshot(file.read(), settings, now_us, settings.snapshot_file)
        except FileNotFoundError:
            pass
        except (OSError, SnapshotError) as error:
            wrong(f"{error}; starting with nothing known")
    return Engine(settings, now_us)
