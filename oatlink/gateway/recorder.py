"""Writes recordings and snapshots to disk, buffered. A full disk ends a recording, but never the gateway."""

import os
from collections.abc import Callable
from typing import BinaryIO

from oatlink import __version__
from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.core.recording import Recorder
from oatlink.core.snapshot import SnapshotError, engine_from_snapshot
from oatlink.settings.model import Settings

WRITE_BUFFER_BYTES = 262_144


def part_path(path: str, number: int) -> str:
    """The path of one part of a recording; the first part has the name from the settings."""
    return path if number == 1 else f"{path}.part{number}"


def _create(path: str) -> BinaryIO:
    """Create a file that only its owner can read, since a recording contains what clients sent. Raises `OSError`."""
    return os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb")


class RecordingManager:
    """Records to files, to a ring in memory, or not at all; operators change this while the gateway runs."""

    def __init__(self, settings: Settings, engine: Engine, began_us: int, log_problem: Callable[[str], None]) -> None:
        self._path, self._mode = settings.record_file, settings.record
        self._parts = settings.record_parts
        self._file_bytes, self._ring_bytes = settings.record_max_bytes, settings.record_ring_bytes
        self._engine, self._log_problem = engine, log_problem
        self._recorder: Recorder | None = None
        self._file: BinaryIO | None = None
        self._buffer: list[bytes] = []
        self._buffer_bytes = 0
        self._recording_count = 0  # recordings begun by this process; each has its own files
        if self._path and self._mode != "on-request":
            self._recorder = self._new_recorder(self._mode == "ring", began_us)
            if self._mode == "always":
                self._open_part(1, self._recorder.header)

    @property
    def is_on(self) -> bool:
        """Whether inputs are recorded."""
        return self._recorder is not None

    def _new_recorder(self, ring: bool, began_us: int) -> Recorder:
        self._recording_count += 1
        return Recorder(
            __version__,
            self._engine.settings,
            began_us,
            part_bytes=max(1, (self._ring_bytes if ring else self._file_bytes) // self._parts),
            parts=self._parts,
            ring=ring,
            engine=self._engine,
        )

    def _base_path(self) -> str:
        return self._path if self._recording_count == 1 else f"{self._path}.run{self._recording_count}"

    def _open_part(self, number: int, header: bytes) -> None:
        self._close_file()
        path = part_path(self._base_path(), number)
        try:
            self._file = _create(path)
        except OSError as error:
            self._abort(f"{path}: {error.strerror}; nothing is recorded")
            return
        self._buffer, self._buffer_bytes = [header], len(header)

    def _abort(self, reason: str) -> None:
        self._log_problem(reason)
        self._recorder, self._buffer = None, []
        if self._file is not None:
            self._file.close()
            self._file = None

    def add(self, now_us: int, event: m.AnyInput, effects: list[m.AnyEffect]) -> None:
        """Record one input that the engine has handled; a new part begins when the old one is full."""
        recorder = self._recorder
        if recorder is None:
            return
        data = recorder.add_input(now_us, event, effects)
        if self._file is not None:
            self._buffer.append(data)
            self._buffer_bytes += len(data)
            if self._buffer_bytes > WRITE_BUFFER_BYTES:
                self.flush()
        if recorder.is_full:
            oldest = recorder.oldest_number
            header = recorder.begin_part(self._engine, now_us)
            if self._file is not None:
                self._open_part(recorder.kept_parts[-1].number, header)
                for number in range(oldest, recorder.oldest_number):
                    self._remove(part_path(self._base_path(), number))

    def _remove(self, path: str) -> None:
        try:
            os.unlink(path)
        except OSError as error:
            self._log_problem(f"{path}: {error.strerror}; the old part cannot be removed")

    def flush(self) -> None:
        """Write the buffered frames to the file."""
        if self._file is None:
            return
        frames, self._buffer, self._buffer_bytes = self._buffer, [], 0
        try:
            self._file.write(b"".join(frames))
            self._file.flush()
        except OSError as error:
            self._abort(f"recording ends: {error.strerror}")

    def _close_file(self) -> None:
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None

    def close(self) -> None:
        """Write the buffered frames and end the recording."""
        self._close_file()
        if self._recorder is not None and self._recorder.redactor.unredacted_count:
            self._log_problem(
                f"{self._recorder.redactor.unredacted_count} keys were recorded without hashing, because their hashes "
                "would belong to another class"
            )
        self._recorder = None

    # ---- Commands of operators ----

    def execute(self, word: str, now_us: int) -> tuple[bool, str]:
        """Carry out `Record`; only between inputs. Returns whether it succeeded, and a line for the operator."""
        commands = {"start": self._start, "stop": self._stop, "dump": self._dump, "status": self._status}
        if word not in commands:
            return False, f"unknown word {word!r}; RECORD takes start, stop, dump or status"
        if not self._path:
            return False, "record_file is not set: there is nowhere to write to"
        return commands[word](now_us)

    def _start(self, now_us: int) -> tuple[bool, str]:
        if self._file is not None:
            return False, f"already recording to {self._base_path()}"
        recorder = self._recorder = self._new_recorder(False, now_us)
        self._open_part(1, recorder.header)
        return (
            self.is_on,
            f"recording to {self._base_path()}" if self.is_on else "the file cannot be made; the log says why",
        )

    def _stop(self, now_us: int) -> tuple[bool, str]:
        if self._file is None:
            return False, "not recording to a file"
        path = self._base_path()
        self.close()
        if self._mode == "ring":
            self._recorder = self._new_recorder(True, now_us)
        return True, f"stopped; written to {path}"

    def _dump(self, now_us: int) -> tuple[bool, str]:
        if self._recorder is None or self._file is not None:
            return False, "no ring is kept; set record: 'ring'"
        written_paths = []
        for part in self._recorder.kept_parts:
            path = f"{part_path(self._base_path(), part.number)}.dump"
            try:
                with _create(path) as file:
                    file.writelines(part.frames)
            except OSError as error:
                return False, f"{path}: {error.strerror}"
            written_paths.append(path)
        return True, "written to " + " ".join(written_paths)

    def _status(self, now_us: int) -> tuple[bool, str]:
        recorder = self._recorder
        if recorder is None:
            return True, "off"
        destination = f"recording to {self._base_path()}" if self._file is not None else "ring in memory"
        kept_bytes = sum(part.size_bytes for part in recorder.kept_parts)
        return True, (
            f"{destination}: {recorder.input_count} inputs, part {recorder.kept_parts[-1].number}, "
            f"{len(recorder.kept_parts)} kept, "
            f"{kept_bytes} of about {self._parts * recorder.part_bytes} bytes"
        )


def write_snapshot(path: str, data: bytes, log_problem: Callable[[str], None]) -> None:
    """Replace a snapshot file atomically: a reader finds the old one or the new one, never a partial one."""
    try:
        with _create(path + ".new") as file:
            file.write(data)
        os.replace(path + ".new", path)
    except OSError as error:
        log_problem(f"{path}: {error.strerror}; no snapshot was written")


def start_engine(settings: Settings, now_us: int, log_problem: Callable[[str], None]) -> Engine:
    """Create an engine, from the snapshot that the settings name if there is a usable one."""
    if settings.snapshot_file:
        try:
            with open(settings.snapshot_file, "rb") as file:
                return engine_from_snapshot(file.read(), settings, now_us, settings.snapshot_file)
        except FileNotFoundError:
            pass
        except (OSError, SnapshotError) as error:
            log_problem(f"{error}; starting without a snapshot")
    return Engine(settings, now_us)
