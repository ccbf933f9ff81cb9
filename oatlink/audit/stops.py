"""Which missing or late answers are excused because a gateway's process ended or was halted. No I/O.

The events of the capture say what was done to a gateway:

- Killed: the process answers nothing more. Requests that it had, and whose answers were not yet late, are lost with
  it; no other request is excused.
- Asked to end: the process owes an answer to every request that had arrived before. A later request may find no
  process.
- Halted: the process owes its answers later, by the time for which it was halted.

A missing answer on a connection whose gateway is not known to have ended is not excused.
"""

from collections import defaultdict

from oatlink.audit.capture import Capture


class GatewayStops:
    """Determines which missing or late answers on a client connection its gateway's stops excuse."""

    def __init__(self, capture: Capture, slack_us: int, ended_us: int) -> None:
        """`slack_us`: how much later than its event an end may take effect; `ended_us`: the end of the record."""
        self._capture, self._slack_us = capture, slack_us
        self._killed: dict[str, list[int]] = defaultdict(list)
        self._ending: dict[str, list[int]] = defaultdict(list)
        self._halts: dict[str, list[tuple[int, int]]] = defaultdict(list)
        halted_at: dict[str, int] = {}
        for event in sorted(capture.events, key=lambda each: each.at_us):
            if event.what == "killed":
                self._killed[event.target].append(event.at_us)
            elif event.what == "ending":
                self._ending[event.target].append(event.at_us)
            elif event.what == "halted":
                halted_at.setdefault(event.target, event.at_us)
            elif event.what == "resumed" and event.target in halted_at:
                self._halts[event.target].append((halted_at.pop(event.target), event.at_us))
        for gateway, at_us in halted_at.items():
            self._halts[gateway].append((at_us, ended_us))

    def extend_due(self, place: str, connection: int, sent_us: int, due_us: int) -> int:
        """The latest time for an answer, extended by the time for which its gateway was halted meanwhile."""
        for from_us, until_us in self._halts.get(self._gateway(place, connection), ()):
            if until_us > sent_us and from_us <= due_us:
                due_us += until_us - max(from_us, sent_us)
        return due_us

    def is_lost(self, place: str, connection: int, sent_us: int, due_us: int) -> bool:
        """Whether an answer that never came was lost because its gateway stopped before the answer was late."""
        opened_us = self._opened(place, connection) - self._slack_us
        gateway = self._gateway(place, connection)
        # An earlier process of the same name, or an end long after the answer was due, must not excuse a missing
        # answer.
        if any(opened_us <= at_us <= due_us for at_us in self._killed.get(gateway, ())):
            return True
        return any(opened_us <= at_us <= sent_us + self._slack_us for at_us in self._ending.get(gateway, ()))

    def _gateway(self, place: str, connection: int) -> str:
        return self._capture.gateways.get((place, connection), "")

    def _opened(self, place: str, connection: int) -> int:
        chunks = self._capture.chunks.get((place, connection))
        return chunks[0].at_us if chunks else 0
