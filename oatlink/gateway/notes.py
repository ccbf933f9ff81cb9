"""Structured logs: one event a line on stderr, bounded in lines a second; what was left out is counted."""

import logging
import sys
import time

import structlog

from oatlink.settings.model import Logs


class Notes:
    """The gateway's log."""

    def __init__(self, settings: Logs, **always: object) -> None:
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
        ).bind(**always)
        self._most = settings.lines_per_s
        self._second = 0
        self._written = 0
        self._left_out = 0

    def note(self, event: str, text: str = "", **more: object) -> None:
        """Write a line, unless this second has had its share."""
        second = int(time.monotonic())
        if second != self._second:
            left, self._left_out = self._left_out, 0
            self._second, self._written = second, 0
            if left:
                self._log.warning("lines left out", count=left)
        if self._written >= self._most:
            self._left_out += 1
            return
        self._written += 1
        level = "error" if event == "fault" else "info"
        getattr(self._log, level)(event, **({"text": text} if text else {}), **more)
