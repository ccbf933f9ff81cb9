"""An idle node of a fleet as it is today: bytes, messages, dials and processor time a second; links by sockets."""

import time

from benchmarks.scale.fleet_site import FleetSite
from benchmarks.scale.measure import Measurement, Values
from oatlink.fleet.membership.view import MAX_HEARD

SETTLE_S, SECONDS = 40.0, 20.0  # links that only the start made are closed after 30 s without a word
A_PROCESS = 40  # nodes


def _run(nodes: int) -> Values:
    site = FleetSite(nodes, max(1, nodes // A_PROCESS))
    try:
        time.sleep(SETTLE_S)
        before, began = site.looks(), time.perf_counter()
        time.sleep(SECONDS)
        after, took = site.looks(), time.perf_counter() - began
    finally:
        site.close()

    def rate(name: str) -> float:
        new, old = (sum(one.counters.get(name, 0) for one in some) for some in (after, before))
        return (new - old) / took / nodes

    words = min(nodes - 1, MAX_HEARD)  # of a message: it names no more, so bytes end to grow there
    cpu_s = sum(one.cpu_s for one in after) - sum(one.cpu_s for one in before)
    return {
        "bytes_out_per_s": rate("bytes_out"),
        "bytes_in_per_s": rate("bytes_in"),
        "messages_per_s": rate("sent"),
        "words": words,
        "bytes_per_message": rate("bytes_out") / rate("sent"),
        "dials_per_s": rate("dialled"),
        "cpu_ms_per_s": 1000 * cpu_s / took / nodes,
    }


MEASUREMENT = Measurement(
    "idle",
    "an idle node of a fleet, real sockets, 40 nodes a process, 5 keepers, verdicts on, 40 s after the start",
    "nodes",
    (10, 20, 40, 80, 160, 320),
    _run,
)
