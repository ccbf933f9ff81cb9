"""The disk operations of a keeper's file, in one object so that tests can make each of them fail or never finish."""

import os


class Disk:
    """Operations on files. Each raises `OSError`."""

    def make(self, path: str) -> int:
        """Create a file that only its owner may read."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)

    def write(self, handle: int, at: int, data: bytes) -> None:
        """Write all of `data` at offset `at`. It may reach the disk later, in parts and in any order."""
        view = memoryview(data)
        while view:
            written = os.pwrite(handle, view, at)
            view, at = view[written:], at + written

    def sync(self, handle: int) -> None:
        """Return once everything written to a file, or all names in a directory, are durable."""
        os.fsync(handle)

    def cut(self, handle: int, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(handle, size)

    def rename(self, old: str, new: str) -> None:
        """Replace one file with another, atomically."""
        os.rename(old, new)
