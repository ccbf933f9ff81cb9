"""Base class and bounds of all messages of a fleet. No logic."""

import msgspec

VERSION = 1
NEVER_US = 2**62  # a point in time that is never reached
MAX_KEY_BYTES = 128  # of the name of a register
MAX_VALUE_BYTES = 8_192  # of the value of a register


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """Base of all messages that are sent between nodes."""
