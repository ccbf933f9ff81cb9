"""Structured logs on stderr, one event a line. Lines a second are limited; lines over the limit are counted."""

import logging
import sys
import time

import structlog

from oatlink.settings.model import Logs


class Notes:
    """The gateway's log."""

    def __init__(self, settings: Logs, **fields: object) -> None:
        """`fields` are added to each line."""
        renderer = structlog.processors.JSONRenderer() if settings.form == "json" else structlog.dev.ConsoleRenderer()
        level = getattr(logging, settings.level.upper())
        self._log = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso"),
                renderer,
            ],
            wrapper_class=structlog.make_filtering_bound_logger(level),
        ).bind(**fields)
        self._max_lines_per_s = settings.lines_per_s
        self._current_second = 0
        self._lines_this_second = 0
        self._omitted_count = 0

    def note(self, event: str, text: str = "", **fields: object) -> None:
        """Write a line, unless the limit of this second is reached."""
        second = int(time.monotonic())
        if second != self._current_second:
            omitted_count, self._omitted_count = self._omitted_count, 0
            self._current_second, self._lines_this_second = second, 0
            if omitted_count:
                self._log.warning("lines left out", count=omitted_count)
        if self._lines_this_second >= self._max_lines_per_s:
            self._omitted_count += 1
            return
        self._lines_this_second += 1
        level = "error" if event == "fault" else "info"
        getattr(self._log, level)(event, **({"text": text} if text else {}), **fields)
