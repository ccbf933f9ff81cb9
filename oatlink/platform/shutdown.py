"""The times of an orderly shutdown, by the platform's page on planned restarts. No I/O."""

from collections.abc import Iterable

from oatlink.interface import RequestClass

GRACE_S = 0.7  # time after SIGTERM in which connections and requests are still accepted
POLL_S = 0.02
MAX_AWAITED_DEADLINE_US = 3_000_000  # of requests: SIGKILL may come this long after the grace, whatever their classes
MARGIN_US = 200_000  # before the earliest SIGKILL: this process may be held up for a part of it


def last_answer_us(terminated_us: int, classes: Iterable[RequestClass]) -> int:
    """When each request has to have its final answer, since the process may be killed from then on."""
    longest_us = max(request_class.deadline_us for request_class in classes)
    return terminated_us + round(GRACE_S * 1e6) + min(longest_us, MAX_AWAITED_DEADLINE_US) - MARGIN_US
