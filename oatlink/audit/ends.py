"""What the end or the standstill of a gateway's process excuses, by the notices of what was done to it. No I/O.

A process that was killed answers nothing more: what it still owed then, in time, is the client's loss, and no more
than that. One that was asked to end owes all that had come before; what came later may find nobody. One that stood
still owes its answers by so much later. A connection that nobody is known to have ended excuses nothing.
"""

from collections import defaultdict

from oatlink.audit.capture import Capture


class Ends:
    """Answers for each client connection what its gateway's fate excuses."""

    def __init__(self, capture: Capture, slack_us: int, ended_us: int) -> None:
        """`slack_us`: how much later than its notice an end may be felt; `ended_us`: the end of the record."""
        self._capture, self._slack_us = capture, slack_us
        self._killed: dict[str, list[int]] = defaultdict(list)
        self._ending: dict[str, list[int]] = defaultdict(list)
        self._halts: dict[str, list[tuple[int, int]]] = defaultdict(list)
        since: dict[str, int] = {}
        for notice in sorted(capture.events, key=lambda one: one.at_us):
            if notice.what == "killed":
                self._killed[notice.target].append(notice.at_us)
            elif notice.what == "ending":
                self._ending[notice.target].append(notice.at_us)
            elif notice.what == "halted":
                since.setdefault(notice.target, notice.at_us)
            elif notice.what == "resumed" and notice.target in since:
                self._halts[notice.target].append((since.pop(notice.target), notice.at_us))
        for gateway, at_us in since.items():
            self._halts[gateway].append((at_us, ended_us))

    def due(self, place: str, connection: int, sent_us: int, due_us: int) -> int:
        """When an answer was due at the latest, with the time that its gateway stood still meanwhile."""
        for since, until in self._halts.get(self._gateway(place, connection), ()):
            if until > sent_us and since <= due_us:
                due_us += until - max(since, sent_us)
        return due_us

    def lost(self, place: str, connection: int, sent_us: int, due_us: int) -> bool:
        """Whether an answer that never came was lost with its gateway, which was not yet late with it."""
        opened_us = self._opened(place, connection) - self._slack_us
        gateway = self._gateway(place, connection)
        # Threat: an end of an earlier process of this name, or one long after the answer was due, excuses nothing.
        if any(opened_us <= at_us <= due_us for at_us in self._killed.get(gateway, ())):
            return True
        return any(opened_us <= at_us <= sent_us + self._slack_us for at_us in self._ending.get(gateway, ()))

    def _gateway(self, place: str, connection: int) -> str:
        return self._capture.gateways.get((place, connection), "")

    def _opened(self, place: str, connection: int) -> int:
        chunks = self._capture.chunks.get((place, connection))
        return chunks[0].at_us if chunks else 0
