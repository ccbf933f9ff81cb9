"""Checks the five rules from a capture alone, without knowledge of the gateway. No I/O; never imports the core.

The traffic of a scenario is made so that it can be checked. A post is `XADD key IDMP producer token * n token`
(keyed) or `RPUSH key token` (never repeated), alone or between MULTI and EXEC; each token is used once. A read is
`XREVRANGE key + 0-N COUNT 1` with an N that no other read uses, so that the box that answered it can be found. At the
end all data are read from each primary: a token that is there twice was executed twice.

- One answer: every command of a client gets exactly one reply, within its class's deadline and `slack_us`. Replies
  come in the order of the commands, so a pipelined command may take as long as any command before it. Requests that
  a killed gateway still had are counted as lost (`audit.stops`) and need no answer.
- No effect twice: no token is in the data twice, and no token of a refused request is there at all.
- Drains: no data command reaches a box later than the grace period after the roster announced its drain.
- Cold: in no window of `cold_window_us` does the work sent to a box that warms up exceed `cold_load_factor` times
  its capacity.
- Stale: no read misses a post that it must see. A current read must see all posts acknowledged before it was sent; a
  bounded read must see all posts acknowledged `staleness_us` before it was sent to the box. A session's read must see
  all posts of its session, also those that were never acknowledged, where a box had applied them before the read was
  sent and they were not lost since.

A post that was acknowledged and is not in the data at the end is reported as lost, beside these rules.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from oatlink.audit.capture import Call, Capture, ParsedConnection, parse_connection
from oatlink.audit.stops import GatewayStops
from oatlink.protocols.resp import Array, decode

RULES = ("one_answer", "no_effect_twice", "drains_kept", "cold_spared", "no_stale_read", "nothing_lost")
OWN_KEYS = b"own:"  # prefix of keys that only one client writes and reads, as a session
DATA = frozenset((b"XADD", b"XREVRANGE", b"RPUSH", b"GET", b"SET"))
StreamId = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Terms:
    """The guarantees that the run gives its clients, and the capacity of its boxes."""

    # By the second part of the client's place: freshness, deadline in us, staleness in us.
    classes: dict[str, tuple[str, int, int]]
    post_deadline_us: int = 3_000_000
    slack_us: int = 100_000
    harness_delay_us: int = 0  # how late the recording may have run; times are no more exact than this
    drain_grace_us: int = 2_000_000
    cold_window_us: int = 2_000_000
    cold_load_factor: float = 4.0
    command_work_us: int = 0
    cores: int = 1
    cold_share: float = 1.0
    warmup_us: int = 0


@dataclass(slots=True)
class CheckResult:
    """Counts, and the violations of each rule."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    lost_with_gateways: int = 0  # requests that a gateway had when it was killed
    answered_twice: int = 0
    ran_twice: int = 0
    stale_reads: int = 0
    stalest_us: int = 0
    late: int = 0
    bounded_reads: int = 0
    bounded_at_replicas: int = 0
    slowest_served_post_us: int = 0
    in_time_by_kind: Counter[str] = field(default_factory=Counter)
    requests_by_kind: Counter[str] = field(default_factory=Counter)
    violations: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not any(self.violations.values())

    def violation_counts(self) -> dict[str, int]:
        """The number of violations of each rule."""
        return {rule: len(texts) for rule, texts in self.violations.items()}


@dataclass(slots=True)
class _Post:
    """One write of a client."""

    key: bytes
    place: str
    token: bytes
    sent_us: int
    replied_us: int
    entry_id: StreamId | None  # the id that the client got
    outcome: str


def outcome(reply: bytes) -> str:
    """How a request ended for its client: refused, failed or served, as the counters of `CheckResult` are named."""
    if reply.startswith((b"-TRYAGAIN", b"-QUOTA")) or (reply[:1] == b"-" and b"nothing was run" in reply):
        return "refused"
    return "failed" if reply.startswith(b"-") else "served"


def _parse_id(text: bytes) -> StreamId:
    first, _, second = text.partition(b"-")
    return int(first), int(second or 0)


class InvariantChecker:
    """Checks one run."""

    def __init__(self, capture: Capture, terms: Terms, ended_us: int) -> None:
        self._capture, self._terms, self._ended_us = capture, terms, ended_us
        self.result = CheckResult()
        self._posts: list[_Post] = []
        self._reads: list[tuple[str, Call]] = []
        self._calls_by_read_tag: dict[bytes, list[Call]] = defaultdict(list)  # at boxes
        self._calls_by_box: dict[str, list[Call]] = defaultdict(list)
        self._post_times_by_box: dict[str, list[int]] = {}
        self._stops = GatewayStops(capture, terms.slack_us + terms.harness_delay_us, ended_us)

    def check(self, final: dict[bytes, list[bytes]]) -> CheckResult:
        """Check all rules. `final`: for each key the tokens in the bank's data at the end, in order."""
        for (place, number), chunks in sorted(self._capture.chunks.items()):
            is_client = place.startswith("client")
            parsed = parse_connection(place, number, chunks, commands_out=is_client)
            if is_client:
                self._check_client(place, number, parsed)
            elif not parsed.is_replication:
                for call in parsed.calls:
                    if call.args[0].upper() in DATA:
                        self._calls_by_box[place].append(call)
                        if call.args[0].upper() == b"XREVRANGE":
                            self._calls_by_read_tag[call.args[3]].append(call)
        self._check_effects(final)
        self._check_staleness(self._first_applied(final))
        self._check_drains()
        self._check_cold_boxes()
        return self.result

    # ---- One answer ----

    def _check_client(self, place: str, number: int, parsed: ParsedConnection) -> None:
        result, terms = self.result, self._terms
        if parsed.unexpected_replies:
            result.answered_twice += parsed.unexpected_replies
            result.violations["one_answer"].append(f"{place}: {parsed.unexpected_replies} replies without a command")
        if parsed.has_protocol_error:
            result.violations["one_answer"].append(f"{place}: bytes that are not valid RESP")
        kind = place.split("-")[1]
        freshness, deadline_us, _ = terms.classes[kind]
        due_us = 0
        queued: list[Call] | None = None
        for call in parsed.calls:
            name = call.args[0].upper()
            if name == b"MULTI":
                queued = []
            elif queued is not None and name != b"EXEC":
                queued.append(call)
                continue
            if name not in DATA and name != b"EXEC":
                continue
            is_write = name in (b"XADD", b"RPUSH", b"EXEC")
            limit_us = terms.post_deadline_us if is_write else deadline_us
            label = "post" if is_write else kind
            transaction, queued = queued or [], None
            due_us = max(due_us, call.sent_us + limit_us + terms.slack_us + terms.harness_delay_us)
            due_us = self._stops.extend_due(place, number, call.sent_us, due_us)
            if call.replied_us < 0 and self._ended_us < due_us:
                continue  # the run ended before the answer was due
            result.requests += 1
            result.requests_by_kind[label] += 1
            if call.replied_us < 0 and self._stops.is_lost(place, number, call.sent_us, due_us):
                result.lost_with_gateways += 1
                continue
            if call.replied_us < 0:
                result.unanswered += 1
                result.violations["one_answer"].append(f"{place}: {call.args!r:.80} was never answered")
                continue
            how = outcome(call.reply)
            took_us = call.replied_us - call.sent_us
            setattr(result, how, getattr(result, how) + 1)
            if call.replied_us > due_us:
                result.late += 1
                result.violations["one_answer"].append(f"{place}: {call.args!r:.80} answered after {took_us} us")
            if how == "served" and took_us <= 600_000:
                result.in_time_by_kind[label] += 1
            if name == b"XADD":
                try:
                    entry_id = _parse_id(call.reply[call.reply.index(b"\r\n") + 2 : -2]) if how == "served" else None
                except ValueError:
                    # An unexpected reply before it has shifted all replies, so this one belongs to another command.
                    result.violations["one_answer"].append(f"{place}: {call.args!r:.80} got {call.reply[:40]!r}")
                    continue
                self._posts.append(
                    _Post(call.args[1], place, call.args[4], call.sent_us, call.replied_us, entry_id, how)
                )
                if how == "served":
                    result.slowest_served_post_us = max(result.slowest_served_post_us, took_us)
            elif name == b"RPUSH":
                self._posts.append(_Post(call.args[1], place, call.args[2], call.sent_us, call.replied_us, None, how))
            elif name == b"EXEC":
                for queued_call in transaction:
                    if queued_call.args[0].upper() == b"RPUSH":
                        self._posts.append(
                            _Post(
                                queued_call.args[1],
                                place,
                                queued_call.args[2],
                                queued_call.sent_us,
                                call.replied_us,
                                None,
                                how,
                            )
                        )
            elif how == "served":
                self._reads.append((freshness, call))

    # ---- Effects ----

    def _check_effects(self, final: dict[bytes, list[bytes]]) -> None:
        counts: Counter[bytes] = Counter()
        for tokens in final.values():
            counts.update(tokens)
        for token, count in sorted(counts.items()):
            if count > 1:
                self.result.ran_twice += 1
                self.result.violations["no_effect_twice"].append(f"{token.decode()} is in the data {count} times")
        for post in self._posts:
            if post.outcome == "refused" and counts[post.token]:
                self.result.violations["no_effect_twice"].append(
                    f"{post.token.decode()} was refused and was executed all the same"
                )
            if post.outcome == "served" and not counts[post.token]:
                self.result.violations["nothing_lost"].append(
                    f"{post.token.decode()} was acknowledged and is not in the data"
                )

    # ---- Freshness ----

    def _first_applied(self, final: dict[bytes, list[bytes]]) -> dict[bytes, list[tuple[int, StreamId]]]:
        """By key: when each session's post that is still in the data was first applied, and its id."""
        first: dict[bytes, dict[StreamId, int]] = defaultdict(dict)
        for applied in self._capture.applied:
            if applied.args[0] != b"XADD":
                continue  # recorded for other checkers
            key = applied.args[1]
            if key.startswith(OWN_KEYS) and applied.args[-1] in final.get(key, ()):
                # A copy of the whole data set names no producer.
                index = applied.args.index(b"IDMP") + 3 if b"IDMP" in applied.args else 2
                entry_id = _parse_id(applied.args[index])
                first[key][entry_id] = min(applied.at_us, first[key].get(entry_id, applied.at_us))
        return {key: [(at_us, entry_id) for entry_id, at_us in times.items()] for key, times in first.items()}

    def _check_staleness(self, applied: dict[bytes, list[tuple[int, StreamId]]]) -> None:
        acked: dict[bytes, list[tuple[int, StreamId, str]]] = defaultdict(list)
        for post in self._posts:
            if post.entry_id is not None:
                acked[post.key].append((post.replied_us, post.entry_id, post.place))
        # For each key, by time of acknowledgement, the highest id acknowledged until then.
        highest: dict[bytes, tuple[list[int], list[StreamId]]] = {}
        for key, acks in acked.items():
            acks.sort()
            high: StreamId = (0, 0)
            ids: list[StreamId] = []
            for _, entry_id, _ in acks:
                high = max(high, entry_id)
                ids.append(high)
            highest[key] = [at_us for at_us, _, _ in acks], ids
        for freshness, call in self._reads:
            key, tag = call.args[1], call.args[3]
            required: StreamId
            since_us: int
            newest = _newest_id(call.reply)
            attempts = [each for each in self._calls_by_read_tag.get(tag, []) if each.reply == call.reply]
            attempts.sort(key=lambda each: each.replied_us)
            if not attempts:
                self.result.violations["no_stale_read"].append(f"{tag.decode()}: the answer came from no box")
                continue
            if freshness == "bounded":
                self.result.bounded_reads += 1
                self.result.bounded_at_replicas += self._was_replica(attempts[0])
                limit_us = attempts[0].sent_us - self._terms.classes[call.place.split("-")[1]][2]
                limit_us -= self._terms.harness_delay_us
                required, since_us = _highest_before(highest.get(key), limit_us)
            elif freshness == "latest":
                required, since_us = _highest_before(highest.get(key), call.sent_us)
            elif freshness == "session":
                own = [(at_us, entry_id) for at_us, entry_id, place in acked.get(key, []) if place == call.place]
                own += applied.get(key, [])
                required, since_us = max(
                    [(entry_id, at_us) for at_us, entry_id in own if at_us < call.sent_us], default=((0, 0), 0)
                )
            else:
                continue
            if newest < required:
                self.result.stale_reads += 1
                self.result.stalest_us = max(self.result.stalest_us, attempts[0].sent_us - since_us)
                self.result.violations["no_stale_read"].append(
                    f"{call.place} {tag.decode()} at {attempts[0].place}: read {newest}, but {required} was there "
                    f"{call.sent_us - since_us} us before"
                )

    def _was_replica(self, call: Call) -> bool:
        """Whether the box was a replica: it was primary if it accepted a post within a second of the read."""
        calls = self._calls_by_box[call.place]
        times = self._post_times_by_box.setdefault(
            call.place,
            sorted(
                each.sent_us
                for each in calls
                if each.args[0].upper() in (b"XADD", b"RPUSH") and each.reply[:1] in b"$:"
            ),
        )
        index = bisect_left(times, call.sent_us - 1_000_000)
        return not (index < len(times) and times[index] <= call.sent_us + 1_000_000)

    # ---- Drains and cold boxes ----

    def _check_drains(self) -> None:
        began: dict[str, int] = {}
        drains: list[tuple[str, int, int]] = []
        for event in sorted(self._capture.events, key=lambda each: each.at_us):
            if event.what in ("draining", "gone"):
                began.setdefault(event.target, event.at_us)
            elif event.what == "ready" and event.target in began:
                drains.append((event.target, began.pop(event.target), event.at_us))
        drains += [(box, from_us, self._ended_us) for box, from_us in began.items()]
        for box, from_us, to_us in drains:
            for call in self._calls_by_box[box]:
                if from_us + self._terms.drain_grace_us + self._terms.harness_delay_us < call.sent_us < to_us:
                    self.result.violations["drains_kept"].append(
                        f"{box}: {call.args[0].decode()} came {call.sent_us - from_us} us after its drain was announced"
                    )

    def _check_cold_boxes(self) -> None:
        terms = self._terms
        if not terms.warmup_us or not terms.command_work_us:
            return
        for event in self._capture.events:
            if event.what != "started":
                continue
            times = sorted(
                call.sent_us
                for call in self._calls_by_box[event.target]
                if event.at_us <= call.sent_us < event.at_us + terms.warmup_us
            )
            for first, at_us in enumerate(times):
                last = bisect_left(times, at_us + terms.cold_window_us)
                middle_us = at_us + terms.cold_window_us / 2 - event.at_us
                warmth = min(1.0, terms.cold_share + (1 - terms.cold_share) * middle_us / terms.warmup_us)
                allowed_us = terms.cold_load_factor * warmth * terms.cores * terms.cold_window_us
                if (last - first) * terms.command_work_us > allowed_us:
                    self.result.violations["cold_spared"].append(
                        f"{event.target}: {last - first} requests in {terms.cold_window_us} us, "
                        f"{at_us - event.at_us} us after its start, {allowed_us / terms.command_work_us:.0f} allowed"
                    )
                    break


def _highest_before(highest: tuple[list[int], list[StreamId]] | None, limit_us: int) -> tuple[StreamId, int]:
    """The highest id acknowledged before a time, and when it was acknowledged."""
    if highest is None:
        return (0, 0), 0
    times, ids = highest
    count = bisect_left(times, limit_us)
    return (ids[count - 1], times[count - 1]) if count else ((0, 0), 0)


def _newest_id(reply: bytes) -> StreamId:
    """The id of the only entry of a read's reply; (0, 0) where there is none."""
    value = decode(reply)
    if not isinstance(value, Array) or not value.items:
        return (0, 0)
    entry = value.items[0]
    assert isinstance(entry, Array) and isinstance(entry.items[0], bytes)
    return _parse_id(entry.items[0])
