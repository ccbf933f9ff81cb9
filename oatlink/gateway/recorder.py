"""Writes a recording to a file, buffered; a full disk or the stated size ends it, never the gateway."""

from collections.abc import Callable
from typing import BinaryIO

from oatlink import __version__
from oatlink.core import messages as m
from oatlink.core.recording import Recorder
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
        if self._file is not None:
            self._file.close()
            self._file = None
