"""What the keeper's file asks of the disk: one object, so that tests can have each step fail or never come."""

import os


class Disk:
    """Each call raises `OSError`."""

    def make(self, path: str) -> int:
        """A new file that only its owner may read."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)

    def write(self, handle: int, at: int, data: bytes) -> None:
        """Write all of `data` from byte `at` on; the disk may have it later, in parts and in any order."""
        view = memoryview(data)
        while view:
            done = os.pwrite(handle, view, at)
            view, at = view[done:], at + done

    def sync(self, handle: int) -> None:
        """Return once all that was written to a file, or all names in a directory, are surely there."""
        os.fsync(handle)

    def cut(self, handle: int, size: int) -> None:
        """Let go of what lies past `size`."""
        os.ftruncate(handle, size)

    def rename(self, old: str, new: str) -> None:
        """Put one file in another's place, at once or not at all."""
        os.rename(old, new)
