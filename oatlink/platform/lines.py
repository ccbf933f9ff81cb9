"""Limits the number of log lines per second."""

import logging

LINES_PER_S = 50


class LogRateLimit(logging.Filter):
    """A filter that drops lines beyond `LINES_PER_S` and counts them.

    Prevents a fault that logs the same line thousands of times a second from flooding the log.
    """

    def __init__(self) -> None:
        super().__init__()
        self._second = self._written = self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is within the limit of its second."""
        second = int(record.created)
        if second != self._second:
            if self._left_out:
                record.msg = f"{record.getMessage()} ({self._left_out} lines left out before)"
                record.args = ()
            self._second, self._written, self._left_out = second, 0, 0
        self._written += 1
        self._left_out += self._written > LINES_PER_S
        return self._written <= LINES_PER_S
