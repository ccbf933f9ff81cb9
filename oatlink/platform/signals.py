"""The signals that a gateway takes, and when they may come."""

import signal

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def block() -> None:
    """Let them wait. Threat: one that comes while there is nobody to take it kills the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def unblock() -> None:
    """There are handlers: what has waited comes now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
