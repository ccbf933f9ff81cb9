"""The keys by which nodes authenticate each other, read once from files that nobody else may read."""

import os
import stat

from oatlink.fleet.envelope import derive_key

MIN_SECRET_BYTES, MAX_SECRET_BYTES = 32, 4_096


class FleetError(Exception):
    """The fleet part of this node cannot start. The text is one line for an operator."""


def read_keys(paths: tuple[str, ...]) -> tuple[bytes, ...]:
    """The key of each file, in order: the first one signs, any of them verifies. Raises `FleetError`."""
    return tuple(derive_key(_secret(path)) for path in paths)


def _secret(path: str) -> bytes:
    try:
        # `O_NONBLOCK`: opening a named pipe would otherwise wait until another process writes to it.
        handle = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        raise FleetError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        status = os.fstat(handle)
        if not stat.S_ISREG(status.st_mode):
            raise FleetError(f"{path}: expected a file")
        if status.st_mode & 0o077:
            raise FleetError(f"{path}: expected mode 0600 or less, got {stat.S_IMODE(status.st_mode):04o}")
        secret = b""
        while len(secret) <= 2 * MAX_SECRET_BYTES and (piece := os.read(handle, 2 * MAX_SECRET_BYTES)):
            secret += piece
    except OSError as error:
        raise FleetError(f"{path}: {error.strerror or error}") from None
    finally:
        os.close(handle)
    secret = secret.strip()
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise FleetError(f"{path}: expected {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes, got {len(secret)}")
    return secret
