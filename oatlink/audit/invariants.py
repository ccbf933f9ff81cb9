"""The judge of the five rules: from a capture alone, knowing nothing of the gateway. No I/O; never imports the core.

The traffic of a planned day is made so that it can be judged. A post is `XADD key IDMP producer token * n token`
(keyed) or `RPUSH key token` (never repeated), alone or between MULTI and EXEC; each token is used once. A read is
`XREVRANGE key + 0-N COUNT 1` with N of its own, so that it is known again at the box that answered it. At the end the
whole of the data is read from each primary: a token there twice ran twice.

- One answer: every command of a client gets one reply within its class's time and `slack_us`, and no more. Answers
  come in the order of the commands, so one that was pipelined behind another may take as long as that one may. What
  a killed gateway still owed is counted as lost (`audit.ends`), and no answer is owed for it.
- No effect twice: no token twice in the data; none of a refused request at all.
- Drains: no data command reaches a box later than the grace after the roster told of its drain.
- Cold: in no window of `cold_window_us` does the work sent to a box that warms up exceed the factor times its ability.
- Stale: no read lacks a post that it must see: for a current read all acknowledged before it was sent; for a
  bounded one all acknowledged `staleness_us` before it was sent to the box; for a session's all its own, also those
  that were never acknowledged: a box had applied them before the read was sent, and they were not lost since.
Beside them: a post that was acknowledged and is not in the data at the end was lost.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from oatlink.audit.capture import Call, Capture, Line, read_line
from oatlink.audit.ends import Ends
from oatlink.protocols.resp import Array, decode

RULES = ("one_answer", "no_effect_twice", "drains_kept", "cold_spared", "no_stale_read", "nothing_lost")
OWN_KEYS = b"own:"  # what only one client writes and reads, as a session
DATA = frozenset((b"XADD", b"XREVRANGE", b"RPUSH", b"GET", b"SET"))
StreamId = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Terms:
    """What was promised. Classes by the first letters of the client's place: name, freshness, time, staleness."""

    classes: dict[str, tuple[str, int, int]]  # prefix of the place: freshness, deadline in us, staleness in us
    post_deadline_us: int = 3_000_000
    slack_us: int = 100_000
    harness_delay_us: int = 0  # how late the ends that were recorded may have run: no time is known better than that
    drain_grace_us: int = 2_000_000
    cold_window_us: int = 2_000_000
    cold_load_factor: float = 4.0
    command_work_us: int = 0
    cores: int = 1
    cold_share: float = 1.0
    warmup_us: int = 0


@dataclass(slots=True)
class CheckResult:
    """Counts, and for each rule what broke it."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    lost_with_gateways: int = 0  # with a gateway that was killed
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
        """Whether no rule was broken."""
        return not any(self.violations.values())

    def violation_counts(self) -> dict[str, int]:
        """A count a rule."""
        return {rule: len(found) for rule, found in self.violations.items()}


@dataclass(slots=True)
class _Post:
    key: bytes
    place: str
    token: bytes
    sent_us: int
    replied_us: int
    found: StreamId | None  # the id that the client was given
    outcome: str


def outcome(reply: bytes) -> str:
    """How a client was answered."""
    if reply.startswith((b"-TRYAGAIN", b"-QUOTA")) or (reply[:1] == b"-" and b"nothing was run" in reply):
        return "refused"
    return "failed" if reply.startswith(b"-") else "served"


def _id(text: bytes) -> StreamId:
    first, _, second = text.partition(b"-")
    return int(first), int(second or 0)


class InvariantChecker:
    """Judges one run."""

    def __init__(self, capture: Capture, terms: Terms, ended_us: int) -> None:
        self._capture, self._terms, self._ended_us = capture, terms, ended_us
        self.verdict = CheckResult()
        self._posts: list[_Post] = []
        self._reads: list[tuple[str, Call]] = []
        self._at_boxes: dict[bytes, list[Call]] = defaultdict(list)  # tag of a read: where it went
        self._at_box: dict[str, list[Call]] = defaultdict(list)
        self._post_times: dict[str, list[int]] = {}
        self._ends = Ends(capture, terms.slack_us + terms.harness_delay_us, ended_us)

    def check(self, final: dict[bytes, list[bytes]]) -> CheckResult:
        """`final`: for each key the tokens that the bank holds at the end, in order."""
        for (place, number), chunks in sorted(self._capture.chunks.items()):
            client = place.startswith("client")
            line = read_line(place, number, chunks, commands_out=client)
            if client:
                self._client(place, number, line)
            elif not line.replication:
                for call in line.calls:
                    if call.args[0].upper() in DATA:
                        self._at_box[place].append(call)
                        if call.args[0].upper() == b"XREVRANGE":
                            self._at_boxes[call.args[3]].append(call)
        self._effects(final)
        self._stale(self._applied(final))
        self._drains()
        self._cold()
        return self.verdict

    # ---- One answer ----

    def _client(self, place: str, number: int, line: Line) -> None:
        verdict, terms = self.verdict, self._terms
        if line.extra:
            verdict.answered_twice += line.extra
            verdict.violations["one_answer"].append(f"{place}: {line.extra} replies that nothing asked for")
        if line.broken:
            verdict.violations["one_answer"].append(f"{place}: bytes outside the protocol")
        kind = place.split("-")[1]
        freshness, deadline_us, _ = terms.classes[kind]
        due_us = 0
        queued: list[Call] | None = None
        for call in line.calls:
            name = call.args[0].upper()
            if name == b"MULTI":
                queued = []
            elif queued is not None and name != b"EXEC":
                queued.append(call)
                continue
            if name not in DATA and name != b"EXEC":
                continue
            writes = name in (b"XADD", b"RPUSH", b"EXEC")
            limit = terms.post_deadline_us if writes else deadline_us
            label = "post" if writes else kind
            within, queued = queued or [], None
            due_us = max(due_us, call.sent_us + limit + terms.slack_us + terms.harness_delay_us)
            due_us = self._ends.due(place, number, call.sent_us, due_us)
            if call.replied_us < 0 and self._ended_us < due_us:
                continue  # the run ended before its time was up
            verdict.requests += 1
            verdict.requests_by_kind[label] += 1
            if call.replied_us < 0 and self._ends.lost(place, number, call.sent_us, due_us):
                verdict.lost_with_gateways += 1
                continue
            if call.replied_us < 0:
                verdict.unanswered += 1
                verdict.violations["one_answer"].append(f"{place}: {call.args!r:.80} was never answered")
                continue
            how = outcome(call.reply)
            took = call.replied_us - call.sent_us
            setattr(verdict, how, getattr(verdict, how) + 1)
            if call.replied_us > due_us:
                verdict.late += 1
                verdict.violations["one_answer"].append(f"{place}: {call.args!r:.80} answered after {took} us")
            if how == "served" and took <= 600_000:
                verdict.in_time_by_kind[label] += 1
            if name == b"XADD":
                try:
                    found = _id(call.reply[call.reply.index(b"\r\n") + 2 : -2]) if how == "served" else None
                except ValueError:
                    # An answer too many before it has shifted the row: what came is another command's.
                    verdict.violations["one_answer"].append(f"{place}: {call.args!r:.80} got {call.reply[:40]!r}")
                    continue
                self._posts.append(_Post(call.args[1], place, call.args[4], call.sent_us, call.replied_us, found, how))
                if how == "served":
                    verdict.slowest_served_post_us = max(verdict.slowest_served_post_us, took)
            elif name == b"RPUSH":
                self._posts.append(_Post(call.args[1], place, call.args[2], call.sent_us, call.replied_us, None, how))
            elif name == b"EXEC":
                for one in within:
                    if one.args[0].upper() == b"RPUSH":
                        self._posts.append(
                            _Post(one.args[1], place, one.args[2], one.sent_us, call.replied_us, None, how)
                        )
            elif how == "served":
                self._reads.append((freshness, call))

    # ---- Effects ----

    def _effects(self, final: dict[bytes, list[bytes]]) -> None:
        counts: Counter[bytes] = Counter()
        for tokens in final.values():
            counts.update(tokens)
        for token, count in sorted(counts.items()):
            if count > 1:
                self.verdict.ran_twice += 1
                self.verdict.violations["no_effect_twice"].append(f"{token.decode()} is there {count} times")
        for post in self._posts:
            if post.outcome == "refused" and counts[post.token]:
                self.verdict.violations["no_effect_twice"].append(f"{post.token.decode()} was refused and yet ran")
            if post.outcome == "served" and not counts[post.token]:
                self.verdict.violations["nothing_lost"].append(
                    f"{post.token.decode()} was acknowledged and is not there"
                )

    # ---- Freshness ----

    def _applied(self, final: dict[bytes, list[bytes]]) -> dict[bytes, list[tuple[int, StreamId]]]:
        """By key: when each post that a session owns and that has lasted was first applied, and its id."""
        first: dict[bytes, dict[StreamId, int]] = defaultdict(dict)
        for one in self._capture.applied:
            if one.args[0] != b"XADD":
                continue  # other judges want to know other commands
            key = one.args[1]
            if key.startswith(OWN_KEYS) and one.args[-1] in final.get(key, ()):
                at = one.args.index(b"IDMP") + 3 if b"IDMP" in one.args else 2  # a whole copy names no producer
                found = _id(one.args[at])
                first[key][found] = min(one.at_us, first[key].get(found, one.at_us))
        return {key: [(when, one) for one, when in found.items()] for key, found in first.items()}

    def _stale(self, applied: dict[bytes, list[tuple[int, StreamId]]]) -> None:
        acked: dict[bytes, list[tuple[int, StreamId, str]]] = defaultdict(list)
        for post in self._posts:
            if post.found is not None:
                acked[post.key].append((post.replied_us, post.found, post.place))
        # For each key, by time of acknowledgement, the highest id acknowledged until then.
        best: dict[bytes, tuple[list[int], list[StreamId]]] = {}
        for key, found in acked.items():
            found.sort()
            high: StreamId = (0, 0)
            ids: list[StreamId] = []
            for _, one, _ in found:
                high = max(high, one)
                ids.append(high)
            best[key] = [when for when, _, _ in found], ids
        for freshness, call in self._reads:
            key, tag = call.args[1], call.args[3]
            must: StreamId
            since: int
            seen = _newest(call.reply)
            attempts = [one for one in self._at_boxes.get(tag, []) if one.reply == call.reply]
            attempts.sort(key=lambda one: one.replied_us)
            if not attempts:
                self.verdict.violations["no_stale_read"].append(f"{tag.decode()}: answered with what no box has said")
                continue
            if freshness == "bounded":
                self.verdict.bounded_reads += 1
                self.verdict.bounded_at_replicas += self._was_replica(attempts[0])
                limit_us = attempts[0].sent_us - self._terms.classes[call.place.split("-")[1]][2]
                limit_us -= self._terms.harness_delay_us
                must, since = _must(best.get(key), limit_us)
            elif freshness == "latest":
                must, since = _must(best.get(key), call.sent_us)
            elif freshness == "session":
                mine = [(when, one) for when, one, place in acked.get(key, []) if place == call.place]
                mine += applied.get(key, [])
                must, since = max([(one, when) for when, one in mine if when < call.sent_us], default=((0, 0), 0))
            else:
                continue
            if seen < must:
                self.verdict.stale_reads += 1
                self.verdict.stalest_us = max(self.verdict.stalest_us, attempts[0].sent_us - since)
                self.verdict.violations["no_stale_read"].append(
                    f"{call.place} {tag.decode()} at {attempts[0].place}: saw {seen}, {must} was there "
                    f"{call.sent_us - since} us before"
                )

    def _was_replica(self, call: Call) -> bool:
        """A box that took a post within a second around the read was primary then; else it was a replica."""
        calls = self._at_box[call.place]
        times = self._post_times.setdefault(
            call.place,
            sorted(
                one.sent_us for one in calls if one.args[0].upper() in (b"XADD", b"RPUSH") and one.reply[:1] in b"$:"
            ),
        )
        at = bisect_left(times, call.sent_us - 1_000_000)
        return not (at < len(times) and times[at] <= call.sent_us + 1_000_000)

    # ---- Drains and cold boxes ----

    def _drains(self) -> None:
        until: dict[str, int] = {}
        spans: list[tuple[str, int, int]] = []
        for notice in sorted(self._capture.events, key=lambda one: one.at_us):
            if notice.what in ("draining", "gone"):
                until.setdefault(notice.target, notice.at_us)
            elif notice.what == "ready" and notice.target in until:
                spans.append((notice.target, until.pop(notice.target), notice.at_us))
        spans += [(box, since, self._ended_us) for box, since in until.items()]
        for box, since, end in spans:
            for call in self._at_box[box]:
                if since + self._terms.drain_grace_us + self._terms.harness_delay_us < call.sent_us < end:
                    self.verdict.violations["drains_kept"].append(
                        f"{box}: {call.args[0].decode()} came {call.sent_us - since} us after its drain was told"
                    )

    def _cold(self) -> None:
        terms = self._terms
        if not terms.warmup_us or not terms.command_work_us:
            return
        for notice in self._capture.events:
            if notice.what != "started":
                continue
            times = sorted(
                one.sent_us
                for one in self._at_box[notice.target]
                if notice.at_us <= one.sent_us < notice.at_us + terms.warmup_us
            )
            for first, at_us in enumerate(times):
                last = bisect_left(times, at_us + terms.cold_window_us)
                middle = at_us + terms.cold_window_us / 2 - notice.at_us
                warmth = min(1.0, terms.cold_share + (1 - terms.cold_share) * middle / terms.warmup_us)
                able = terms.cold_load_factor * warmth * terms.cores * terms.cold_window_us
                if (last - first) * terms.command_work_us > able:
                    self.verdict.violations["cold_spared"].append(
                        f"{notice.target}: {last - first} requests in {terms.cold_window_us} us, "
                        f"{at_us - notice.at_us} us after its start, {able / terms.command_work_us:.0f} allowed"
                    )
                    break


def _must(best: tuple[list[int], list[StreamId]] | None, limit_us: int) -> tuple[StreamId, int]:
    """The highest id acknowledged before a time, and when."""
    if best is None:
        return (0, 0), 0
    at = bisect_left(best[0], limit_us)
    return (best[1][at - 1], best[0][at - 1]) if at else ((0, 0), 0)


def _newest(reply: bytes) -> StreamId:
    value = decode(reply)
    if not isinstance(value, Array) or not value.items:
        return (0, 0)
    entry = value.items[0]
    assert isinstance(entry, Array) and isinstance(entry.items[0], bytes)
    return _id(entry.items[0])
