"""What all messages of a fleet are made of. No logic."""

import msgspec

VERSION = 1
NEVER_US = 2**62
MAX_KEY_BYTES = 128  # bytes of a register's name
MAX_VALUE_BYTES = 8_192  # bytes of a register's value


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """Base of what crosses a link."""
