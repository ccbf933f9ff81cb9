"""The keys by which nodes know one another: read once, from files that nobody else may read."""

import os
import stat

from oatlink.fleet.envelope import derive_key

LEAST, MOST = 32, 4_096  # bytes of a secret


class FleetError(Exception):
    """Something that the fleet's part of this node cannot begin with; the text is one line for a person."""


def read_keys(paths: tuple[str, ...]) -> tuple[bytes, ...]:
    """The key of each file, in order: the first signs, any may verify. Raises `FleetError`."""
    return tuple(derive_key(_secret(path)) for path in paths)


def _secret(path: str) -> bytes:
    try:
        # A named pipe would have the process wait for somebody to write.
        handle = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        raise FleetError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        about = os.fstat(handle)
        if not stat.S_ISREG(about.st_mode):
            raise FleetError(f"{path}: expected a file")
        if about.st_mode & 0o077:
            raise FleetError(f"{path}: expected mode 0600 or less, got {stat.S_IMODE(about.st_mode):04o}")
        secret = b""
        while len(secret) <= 2 * MOST and (piece := os.read(handle, 2 * MOST)):
            secret += piece
    except OSError as error:
        raise FleetError(f"{path}: {error.strerror or error}") from None
    finally:
        os.close(handle)
    secret = secret.strip()
    if not LEAST <= len(secret) <= MOST:
        raise FleetError(f"{path}: expected {LEAST} to {MOST} bytes, got {len(secret)}")
    return secret
