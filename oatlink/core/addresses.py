"""The network paths to one box: their state, which one is used or tried next, and what a lost request proves. No I/O.

A box has one or more addresses; each is a path with a state of its own.

    untried   nothing is known
    good      it has answered, and nothing has failed on it since
    suspect   something failed on it; new requests use other paths until it has answered
    failed    not used, and not tried before its retry time

Paths are ordered as follows, for dials and for the choice of the path that new requests use:

1. good and untried paths alike, then suspect ones, then failed ones whose retry time has come; a path that lags behind
   another (answers to the same question take `LAG_FACTOR` times as long plus `LAG_MARGIN_US`) follows all good ones;
2. a Unix socket, then an address in the gateway's own hall, then the others;
3. IPv6 before IPv4 before names (RFC 6724, section 6), then the order of the list.

Attempts for one connection are staggered (RFC 8305, section 5): the next path is started when the one before it has
failed, or has not answered within `stagger_us`. Unlike in the RFC, the first path to answer does not become the
preferred one, because a proxy dials rarely and keeps its connections: that path only carries the requests that wait.

A path that was left is used again once it has been good without interruption for a while; the delay grows each time
that the path did not stay good. A failed path is retried at growing, randomized intervals. A path that accepts
requests and loses the answers is not made good by answered probes alone. No path is given up permanently.

The failure of every path is a failure of the box and not of its paths. See `is_path_fault`.
"""

from dataclasses import dataclass, field
from enum import Enum

from oatlink.core.draws import seeded_fraction


class State(Enum):
    """The condition of a path."""

    UNTRIED = "untried"
    GOOD = "good"
    SUSPECT = "suspect"
    FAILED = "failed"


MIN_STAGGER_US = 10_000  # RFC 8305, section 5: the least delay between attempts
MIN_RETRY_US = 50_000  # delay before a failed path is tried again, doubled with each failure
MAX_RETRY_US = 5_000_000
MIN_EXCLUSION_US = 2_000_000  # how long a path that loses answers is excluded, doubled each time
MAX_EXCLUSION_US = 60_000_000
MAX_LOSSES = 2  # consecutive lost requests after which a path is excluded
MIN_RETURN_DELAY_US = 2_000_000  # how long a path must be good before it is used again, doubled each time it failed
MAX_RETURN_DELAY_US = 60_000_000
STABLE_US = 30_000_000  # a path that was used for this long counts as stable again
MIN_SILENCE_US, MAX_SILENCE_US = 20_000, 150_000  # a path that owes answers is probed after this long without data
SILENCE_ANSWER_FACTOR = 4.0  # silence that triggers a probe, as a multiple of the usual answer time
SILENCE_CONFIRM_US = 10_000  # delay between seeing that another path has answered and the final check
RECENT_CONTACT_US = 1_000_000  # contact over another path within this time shows that the box is alive
LAG_FACTOR, LAG_MARGIN_US = 3.0, 1_000.0
UPKEEP_US = 10_000_000  # how often an unused path is probed at most
MAX_PATHS = 8
NEVER = -(2**62)


def kind_of(address: str) -> str:
    """`unix`, `ipv6`, `ipv4` or `name`, judged by the form of an address."""
    if address.startswith("unix:"):
        return "unix"
    host = address.rpartition(":")[0]
    if host.startswith("["):
        return "ipv6"
    return "ipv4" if host.replace(".", "").isdigit() and host.count(".") == 3 else "name"


_KIND_RANKS = {"unix": 0, "ipv6": 1, "ipv4": 2, "name": 3}


@dataclass(slots=True)
class Path:
    """One address of a box. Times are in microseconds."""

    address: str
    hall: str = ""
    connect_timeout_us: int = 0  # 0: the setting that applies to all paths
    state: State = State.UNTRIED
    failures: int = 0  # consecutive failures
    retry_us: int = 0  # a failed path is not tried before this time
    good_since_us: int = NEVER  # start of the current uninterrupted good period
    heard_us: int = NEVER  # when anything was last received over it
    answered_us: int = NEVER  # when a request was last answered over it
    open_requests: int = 0  # requests sent over it that have not ended
    busy_since_us: int = 0  # when it last went from no open request to one
    losses: int = 0  # consecutive requests that were sent over it and lost
    last_loss_us: int = NEVER  # when the last loss was counted
    silence_probes: int = 0  # silence probes since the last answered request; each one doubles the tolerated silence
    has_silence_check: bool = False  # a check for silence is scheduled
    silence_probed_us: int = NEVER  # when it was probed for being silent; `NEVER`: no such probe is pending
    other_answered_us: int = NEVER  # when another path was first seen to have answered since that probe
    answer_us: float = 0.0  # smoothed time of a request's answer
    probe_us: float = 0.0  # smoothed time of a probe, which asks the same question on each path
    upkeep_probed_us: int = NEVER  # when it was last probed while unused
    unstable_returns: int = 0  # how often it was used again and did not stay good
    run_id: str = ""  # the run of the box that it last reached
    last_error: str = ""  # the last failure, for operators

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent over it."""
        return self.state is State.GOOD or self.state is State.UNTRIED


@dataclass(slots=True)
class Race:
    """The staggered attempts for one connection, or for one report."""

    queue: list[str]  # addresses that are not started yet, in order
    running: list[str] = field(default_factory=list)
    next_start_us: int = 0  # when the next attempt starts if none has ended by then
    last_ending: str = "refused"  # how the last attempt failed


@dataclass(slots=True)
class Paths:
    """All paths to one box, as one gateway sees them."""

    hall: str
    stagger_us: int
    peers: int
    seed: int
    paths: list[Path]
    current: int = 0
    is_chosen: bool = False  # whether `current` was chosen by the order; until then it is the first of the list
    current_since_us: int = 0
    draw_count: int = 0
    upkeep_due_us: int = 0  # when unused paths are probed next; 0: not scheduled

    def index_of(self, address: str) -> int:
        """The index of an address in the list, or -1."""
        return next((index for index, path in enumerate(self.paths) if path.address == address), -1)

    def _random_between(self, low: float, high: float) -> float:
        """A pseudo-random number from the seed."""
        self.draw_count += 1
        return low + (high - low) * seeded_fraction(self.draw_count, self.seed)

    # ---- Choice of a path ----

    def choose(self, now_us: int) -> int:
        """The index of the path that a new request uses."""
        if len(self.paths) == 1:
            return 0
        current = self.paths[self.current]
        if not self.is_chosen or current.state is State.UNTRIED:
            self.is_chosen, self.current, self.current_since_us = True, self.order(now_us)[0], now_us
            return self.current
        if current.usable:
            if current.unstable_returns and now_us - self.current_since_us > STABLE_US:
                current.unstable_returns = 0
            better = self._better(now_us)
            if better != self.current:
                self.current, self.current_since_us = better, now_us
            return self.current
        replacement = next((index for index in self.order(now_us) if self.paths[index].usable), -1)
        if replacement >= 0:
            # Counting unstable returns prevents a flapping path from taking the requests with it at each failure.
            is_unstable = now_us - self.current_since_us < STABLE_US
            current.unstable_returns = current.unstable_returns + 1 if is_unstable else 1
            self.current, self.current_since_us = replacement, now_us
        return self.current

    def _better(self, now_us: int) -> int:
        """The path to use instead of a usable current one: it ranks higher and has been good for long enough."""
        fastest_us, best = self._fastest_probe_us(), self.current
        best_rank = self._rank(best, fastest_us)
        for index, path in enumerate(self.paths):
            delay_us = min(MIN_RETURN_DELAY_US << min(path.unstable_returns, 5), MAX_RETURN_DELAY_US)
            if index != self.current and path.state is State.GOOD and now_us - path.good_since_us >= delay_us:
                rank = self._rank(index, fastest_us)
                if rank < best_rank:
                    best, best_rank = index, rank
        return best

    def order(self, now_us: int) -> list[int]:
        """The paths worth a try now, best first; if all have failed and none is due, the one that is due next."""
        fastest_us = self._fastest_probe_us()
        worth_a_try = sorted(
            (
                index
                for index, path in enumerate(self.paths)
                if path.state is not State.FAILED or now_us >= path.retry_us
            ),
            key=lambda index: self._rank(index, fastest_us),
        )
        return worth_a_try or [min(range(len(self.paths)), key=lambda index: (self.paths[index].retry_us, index))]

    def _fastest_probe_us(self) -> float:
        """The probe time of the fastest usable path; 0 if none is known."""
        return min((path.probe_us for path in self.paths if path.probe_us and path.usable), default=0.0)

    def _rank(self, index: int, fastest_us: float) -> tuple[int, int, int, int]:
        path = self.paths[index]
        if path.usable:
            state = int(fastest_us > 0 and path.probe_us > LAG_FACTOR * fastest_us + LAG_MARGIN_US)
        else:
            state = 2 if path.state is State.SUSPECT else 3
        kind = kind_of(path.address)
        distance = 0 if kind == "unix" else 1 if path.hall and path.hall == self.hall else 2
        return state, distance, _KIND_RANKS[kind], index

    # ---- Dials and reports ----

    def new_race(self, now_us: int, preferred: str = "") -> Race:
        """Attempts for one more connection or report; the address `preferred` goes first if its path is usable."""
        queue = [self.paths[index].address for index in self.order(now_us)]
        if preferred in queue and self.paths[self.index_of(preferred)].usable:
            queue.remove(preferred)
            queue.insert(0, preferred)
        return Race(queue)

    def start_due(self, race: Race, now_us: int) -> list[str]:
        """The addresses whose attempts start now. After a failed attempt the next one starts at once."""
        started: list[str] = []
        while race.queue and (not race.running or now_us >= race.next_start_us):
            address = race.queue.pop(0)
            index = self.index_of(address)
            if index < 0:
                continue  # the address was removed from the list after the race began
            race.running.append(address)
            started.append(address)
            usual_us = 4 * self.paths[index].probe_us
            delay_us = min(self.stagger_us, max(MIN_STAGGER_US, usual_us or self.stagger_us))
            race.next_start_us = now_us + round(delay_us)
        return started

    def record_contact(self, index: int, took_us: int, now_us: int, run_id: str, probe: bool) -> None:
        """A path has reached the box, by a connection whose identity was checked or by an answered probe."""
        path = self.paths[index]
        path.heard_us, path.run_id = now_us, run_id or path.run_id
        path.silence_probed_us = path.other_answered_us = NEVER
        if probe:
            path.probe_us += (0.3 if path.probe_us else 1.0) * (took_us - path.probe_us)
        if path.losses >= MAX_LOSSES and now_us < path.retry_us:
            return  # it is excluded because it loses requests, and an answered probe does not disprove that
        path.losses = min(path.losses, MAX_LOSSES - 1)
        self._mark_good(path, now_us)

    def _mark_good(self, path: Path, now_us: int) -> None:
        path.failures = 0
        if path.state is not State.GOOD:
            path.state, path.good_since_us, path.last_error = State.GOOD, now_us, ""

    def record_failure(self, index: int, how: str, now_us: int) -> None:
        """A dial or a probe has failed, or the connections over the path are closed because it is silent."""
        path = self.paths[index]
        path.silence_probed_us = path.other_answered_us = NEVER
        delay_us = min(MIN_RETRY_US << min(path.failures, 16), MAX_RETRY_US)
        self._mark_failed(path, how, now_us + round(delay_us * self._random_between(0.5, 1.5)))
        self._leave(index, now_us)

    def _leave(self, index: int, now_us: int) -> None:
        """Choose another path at once if the current one has become bad.

        If the choice waited for the next request, a probe could mark the path good before it, and the path would never
        be left.
        """
        if self.is_chosen and index == self.current:
            self.choose(now_us)

    def _mark_failed(self, path: Path, how: str, retry_us: int) -> None:
        path.failures += 1
        path.state, path.last_error = State.FAILED, how
        path.retry_us = max(path.retry_us, retry_us)
        path.good_since_us = NEVER

    # ---- Requests ----

    def record_sent(self, index: int, now_us: int) -> int:
        """A request is sent over a path; returns when to check for silence (0: a check is scheduled already)."""
        path = self.paths[index]
        path.open_requests += 1
        if path.open_requests == 1:
            path.busy_since_us = now_us
        if path.has_silence_check or len(self.paths) < 2:
            return 0
        path.has_silence_check = True
        return now_us + self._tolerated_silence_us(path)

    def record_answer(self, index: int, took_us: int, now_us: int) -> None:
        """A request was answered over a path."""
        path = self.paths[index]
        path.open_requests = max(0, path.open_requests - 1)
        path.heard_us = path.answered_us = now_us
        path.silence_probed_us = path.other_answered_us = NEVER
        path.losses = path.silence_probes = 0
        path.answer_us += (0.1 if path.answer_us else 1.0) * (took_us - path.answer_us)
        self._mark_good(path, now_us)

    def record_unanswered(self, index: int, how: str, sent_us: int, now_us: int) -> None:
        """A request has ended on a path without an answer; `how` is a key of `outcomes.ENDINGS`."""
        path = self.paths[index]
        path.open_requests = max(0, path.open_requests - 1)
        if how not in ("reset", "bad reply", "late") or (how == "late" and path.answered_us >= sent_us):
            # Nothing was written, or other requests were answered meanwhile, so the box was slow with this one. Only
            # requests count here: a path that answers probes and loses requests would otherwise stay good.
            return
        if sent_us <= path.last_loss_us:
            return  # it was open when the last loss was counted: one break is one loss, however many requests it ends
        path.losses, path.last_loss_us = path.losses + 1, now_us
        if path.losses >= MAX_LOSSES and self.is_alive_elsewhere(index, now_us, sent_us):
            delay_us = min(MIN_EXCLUSION_US << min(path.losses - MAX_LOSSES, 8), MAX_EXCLUSION_US)
            retry_us = now_us + round(delay_us * self._random_between(0.75, 1.25))
            self._mark_failed(path, "takes requests and loses the answers", retry_us)
        elif path.usable:
            path.state, path.last_error, path.good_since_us = State.SUSPECT, how, NEVER
        self._leave(index, now_us)

    def is_alive_elsewhere(self, index: int, now_us: int, since_us: int) -> bool:
        """Whether the box was heard over another path since `since_us`, or very recently over a good one."""
        return any(
            other != index
            and (path.heard_us >= since_us or (path.state is State.GOOD and now_us - path.heard_us < RECENT_CONTACT_US))
            for other, path in enumerate(self.paths)
        )

    def is_path_fault(self, index: int, how: str, sent_us: int, now_us: int) -> bool:
        """Whether a lost request is evidence against its path only, because the box was heard over another path."""
        return how in ("reset", "bad reply") and len(self.paths) > 1 and self.is_alive_elsewhere(index, now_us, sent_us)

    # ---- Silence ----

    def _tolerated_silence_us(self, path: Path) -> int:
        usual_us = min(max(SILENCE_ANSWER_FACTOR * path.answer_us, MIN_SILENCE_US), MAX_SILENCE_US)
        return round(usual_us) << min(path.silence_probes, 6)

    def check_silence(self, index: int, now_us: int) -> tuple[list[int], bool, int]:
        """Check a path for silence: the paths to probe now, whether to close its connections, when to check again.

        A path that owes an answer for too long is probed, and so is another one. If only the other one answers, the
        path is at fault: its requests are ended so that they can be repeated elsewhere. If both answer, the box is only
        slow with its requests, and the path is probed at growing intervals. If neither answers, the box itself may have
        failed, which the Router's error rules decide.
        """
        path = self.paths[index]
        if not path.open_requests or len(self.paths) < 2:
            path.has_silence_check = False
            return [], False, 0
        quiet_since_us = max(path.busy_since_us, path.heard_us)
        tolerated_us = self._tolerated_silence_us(path)
        if path.silence_probed_us == NEVER:
            if now_us - quiet_since_us < tolerated_us:
                return [], False, quiet_since_us + tolerated_us
            other = next((candidate for candidate in self.order(now_us) if candidate != index), -1)
            if other < 0:
                return [], False, now_us + tolerated_us
            path.silence_probed_us = now_us
            path.silence_probes += 1
            return [index, other], False, now_us + min(tolerated_us, MAX_SILENCE_US)
        if any(
            now_us > other_path.heard_us >= path.silence_probed_us
            for other, other_path in enumerate(self.paths)
            if other != index
        ):
            # A process that was delayed itself may read the other path's answer first. The second check lets it read
            # what has arrived over this path before it closes the connections.
            if path.other_answered_us == NEVER:
                path.other_answered_us = now_us
                return [], False, now_us + SILENCE_CONFIRM_US
            path.silence_probed_us = path.other_answered_us = NEVER
            path.open_requests, path.has_silence_check = 0, False
            return [], True, 0
        return [], False, now_us + min(tolerated_us, MAX_SILENCE_US)

    # ---- Upkeep ----

    def due_for_upkeep(self, now_us: int) -> list[int]:
        """The paths to probe without a request: bad ones whose retry time has come, and unused ones now and then."""
        interval_us = max(UPKEEP_US, self.peers * len(self.paths) * 20_000)
        due = []
        for index, path in enumerate(self.paths):
            is_unused = index != self.current or not self.is_chosen
            is_idle = is_unused and now_us - max(path.upkeep_probed_us, path.heard_us) >= interval_us
            may_retry = now_us >= path.retry_us and now_us > path.upkeep_probed_us
            is_bad = path.state in (State.FAILED, State.SUSPECT) and may_retry
            if path.silence_probed_us == NEVER and (is_idle or is_bad):
                path.upkeep_probed_us = now_us
                due.append(index)
        return due

    def next_upkeep_us(self, now_us: int) -> int:
        """When to call `due_for_upkeep` next."""
        retries_us = [path.retry_us for path in self.paths if path.state in (State.FAILED, State.SUSPECT)]
        due_us = min([now_us + UPKEEP_US, *(max(retry_us, now_us + MIN_RETRY_US) for retry_us in retries_us)])
        return due_us + round(self._random_between(0, MIN_RETRY_US))

    def update_addresses(self, addresses: list[tuple[str, str, int]]) -> None:
        """Use another list of addresses, each with its hall and connect timeout; kept addresses keep their state."""
        known = {path.address: path for path in self.paths}
        current = self.paths[self.current].address
        self.paths = []
        for address, hall, connect_timeout_us in addresses:
            path = known.get(address) or Path(address)
            path.hall, path.connect_timeout_us = hall, connect_timeout_us
            self.paths.append(path)
        self.current = max(0, self.index_of(current))
