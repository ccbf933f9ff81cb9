"""Converts Unix times, which servers and discovery report, to the Router's clock."""

import time

from oatlink.gateway.clock import now_us
from oatlink.interface import Report


class UnixClock:
    """The offset between Unix time and this process's monotonic clock, as of its creation."""

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - now_us()

    def to_clock_us(self, unix_us: float) -> int:
        """Convert a Unix time in microseconds."""
        return max(1, round(unix_us) - self._offset_us)

    def report_on_clock(self, report: Report | None) -> Report | None:
        """Convert a report's position."""
        if report is None or report.position_us is None:
            return report
        return Report(self.to_clock_us(report.position_us), report.role)
