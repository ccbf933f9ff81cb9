"""The signals that a gateway handles, and when they are delivered."""

import signal

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def block() -> None:
    """Keep signals pending. Prevents one that arrives while no handler is installed from killing the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def unblock() -> None:
    """Deliver signals from now on, pending ones first; called once handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
