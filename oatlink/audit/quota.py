"""Checks quotas from what clients sent and received alone, without knowledge of grants or limit coordinators. No I/O.

A client's place is `client-KIND-TENANT-...`. Its data commands count one each, a MULTI as many as it queues. Whether
a command was *admitted* is known from its final answer:

- `-QUOTA`: refused, and the text must say `retry after N ms`.
- `-TRYAGAIN`: refused for another reason (overload, a drain), before or after the quota was charged; a client cannot
  tell. It counts as admitted in `excess_with_overloads`, which is reported only, and not in `excess`, which must not
  be above 0.
- `-EXECABORT`: nothing of it was admitted.
- Any other answer, an error included: admitted, at a moment between the request and the answer.
- No answer: unknown; the command does not count.

Checked for each tenant: **never over** in any window (`audit.windows`); **used**: at least 0.9 of the rate while all
links are up; **floor**: a gateway that is cut off refuses nothing while its part of the floor surely has capacity;
**back**: full use is reached again in time after a heal; **told**: no refusal without a time. What was not requested
cannot be used, so a span without any refusal is not checked. How much of its floor a gateway served is reported and
not checked: its bucket holds a request or two, and what overflows while its few clients wait to retry is lost to them.
"""

import re
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from oatlink.audit.capture import Call, Capture, parse_connection
from oatlink.audit.windows import Done, Excess, largest_excess

DATA = frozenset((b"XADD", b"XREVRANGE", b"RPUSH", b"GET", b"SET"))
RULES = ("never_over", "used", "floor", "back", "told")
RETRY = re.compile(rb"retry after (\d+) ms")
# A refusal counts as wrong only where the floor had this much more than the request needed, as times are inexact.
CERTAIN_MARGIN_REQUESTS = 0.5
SLICE_US = 1_000_000  # the window in which use is measured after a heal


@dataclass(frozen=True, slots=True)
class Allowance:
    """What one tenant may use: requests per second, requests at once, and the floor's share of both."""

    rate: float
    burst: float
    floor: float


@dataclass(frozen=True, slots=True)
class Span:
    """A part of the run. `cut_off`: gateways that reach no majority throughout it; empty: all links are up."""

    from_us: int
    to_us: int
    cut_off: tuple[str, ...] = ()

    def contains(self, at_us: int) -> bool:
        """Whether a time is in the span."""
        return self.from_us <= at_us < self.to_us


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The guarantees of the run: allowances by tenant, and how long recovery may take."""

    tenants: dict[str, Allowance]
    nodes: int
    drift: float = 0.001
    min_used_share: float = 0.9
    recovery_us: int = 4_000_000
    spans: tuple[Span, ...] = ()
    heals: tuple[tuple[int, int], ...] = ()  # when all links were up again, and until when they stayed up


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """One command, or one MULTI, and how it ended: admitted, overload, quota, none.

    `none` is for what was not admitted or has no answer.
    """

    gateway: str
    requested_us: int
    answered_us: int
    cost: int
    how: str
    retry_ms: int = -1  # the time that a quota refusal names


@dataclass(slots=True)
class TenantResult:
    """The figures of one tenant. Shares are shares of the rate unless a comment says otherwise."""

    asked: int = 0
    admitted: int = 0
    overloads: int = 0
    refused: int = 0
    refused_without_retry_time: int = 0
    unknown: int = 0
    excess: Excess = field(default_factory=lambda: Excess(0.0))
    excess_with_overloads: Excess = field(default_factory=lambda: Excess(0.0))
    # One for each span with all links up.
    used_shares: list[float] = field(default_factory=list)
    # One for each span with all links up: floors at gateways without demand.
    stranded_floor_shares: list[float] = field(default_factory=list)
    # One for each span with a minority cut off, by the whole fleet.
    used_shares_while_cut: list[float] = field(default_factory=list)
    # One for each cut-off gateway that refused requests, of its part of the floor.
    floor_shares: list[float] = field(default_factory=list)
    refused_despite_floor: int = 0  # at cut-off gateways
    recovery_s: list[float] = field(default_factory=list)  # one for each heal


@dataclass(slots=True)
class QuotaResult:
    """The figures of all tenants, and the violations of each rule."""

    tenants: dict[str, TenantResult] = field(default_factory=dict)
    violations: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not any(self.violations.values())


class QuotaChecker:
    """Checks one run."""

    def __init__(self, capture: Capture, terms: QuotaTerms) -> None:
        self._capture, self._terms = capture, terms
        self._outcomes: dict[str, list[RequestOutcome]] = defaultdict(list)
        self.result = QuotaResult()

    def check(self) -> QuotaResult:
        """Read the capture and check each tenant."""
        for (place, number), chunks in sorted(self._capture.chunks.items()):
            parts = place.split("-")
            if parts[0] == "client" and len(parts) > 2 and parts[2] in self._terms.tenants:
                calls = parse_connection(place, number, chunks, commands_out=True).calls
                self._outcomes[parts[2]] += request_outcomes(calls, self._capture.gateways.get((place, number), ""))
        for name, allowance in sorted(self._terms.tenants.items()):
            self._check_tenant(name, allowance)
        return self.result

    def _check_tenant(self, name: str, allowance: Allowance) -> None:
        outcomes = sorted(self._outcomes[name], key=lambda each: each.answered_us)
        tenant = self.result.tenants[name] = TenantResult()
        tenant.asked = sum(each.cost for each in outcomes)
        for each in outcomes:
            tenant.admitted += each.cost if each.how == "admitted" else 0
            tenant.overloads += each.cost if each.how == "overload" else 0
            tenant.unknown += each.cost if each.how == "none" else 0
            if each.how == "quota":
                tenant.refused += each.cost
                tenant.refused_without_retry_time += each.retry_ms < 0
        rate = allowance.rate * (1 + self._terms.drift)
        tenant.excess = largest_excess(_done(outcomes, ("admitted",)), rate, allowance.burst)
        tenant.excess_with_overloads = largest_excess(_done(outcomes, ("admitted", "overload")), rate, allowance.burst)
        if tenant.excess.amount > 1e-6:  # floating-point sums over a whole run are no more exact than that
            length_s = (tenant.excess.to_us - tenant.excess.from_us) / 1e6
            self._add_violation(
                "never_over",
                f"{name}: {tenant.excess.counted:.0f} in {length_s:.3f} s, {tenant.excess.amount:.2f} over",
            )
        if tenant.refused_without_retry_time:
            self._add_violation("told", f"{name}: {tenant.refused_without_retry_time} refusals without a time to retry")
        self._check_use(name, allowance, tenant, outcomes)
        self._check_recovery(name, allowance, tenant, outcomes)

    def _check_use(self, name: str, allowance: Allowance, tenant: TenantResult, outcomes: list[RequestOutcome]) -> None:
        for span in self._terms.spans:
            in_span = [each for each in outcomes if span.contains(each.answered_us)]
            if not any(each.how == "quota" for each in in_span):
                continue  # all that was requested was served
            length_s = (span.to_us - span.from_us) / 1e6
            share = _admitted(in_span) / (allowance.rate * length_s)
            if not span.cut_off:
                tenant.used_shares.append(share)
                tenant.stranded_floor_shares.append(self._stranded_floor_share(allowance, span, in_span))
                if share < self._terms.min_used_share:
                    self._add_violation(
                        "used", f"{name}: {share:.3f} of its rate for {length_s:.1f} s with all links up"
                    )
                continue
            tenant.used_shares_while_cut.append(share)
            part = allowance.floor / self._terms.nodes
            for gateway in span.cut_off if part else ():
                at_gateway = [each for each in in_span if each.gateway == gateway]
                if any(each.how == "quota" for each in at_gateway):
                    tenant.floor_shares.append(_admitted(at_gateway) / (allowance.rate * part * length_s))
                wrong = refused_despite_capacity(
                    at_gateway, allowance.rate * part, allowance.burst * part, span.from_us
                )
                tenant.refused_despite_floor += wrong
                if wrong:
                    self._add_violation(
                        "floor", f"{name}: {gateway}, cut off, refused {wrong} that its floor had capacity for"
                    )

    def _stranded_floor_share(self, allowance: Allowance, span: Span, in_span: list[RequestOutcome]) -> float:
        """The share of the rate that stayed unused as floors at gateways with too little demand.

        For each second and each gateway that refused nothing in it, the part of its floor that it did not admit counts.
        """
        floor = allowance.rate * allowance.floor / self._terms.nodes
        seconds = (span.to_us - span.from_us) // SLICE_US
        admitted: Counter[tuple[int, str]] = Counter()
        refused = set()
        for each in in_span:
            key = (each.answered_us - span.from_us) // SLICE_US, each.gateway
            if each.how == "quota":
                refused.add(key)
            elif each.how == "admitted":
                admitted[key] += each.cost
        gateways = sorted(set(self._capture.gateways.values()))
        unused = sum(
            max(0.0, floor - admitted[second, gateway])
            for second in range(seconds)
            for gateway in gateways
            if (second, gateway) not in refused
        )
        return unused / (allowance.rate * max(1, seconds))

    def _check_recovery(
        self, name: str, allowance: Allowance, tenant: TenantResult, outcomes: list[RequestOutcome]
    ) -> None:
        """Measure how long after all links are up again the first second with full use begins."""
        times = [each.answered_us for each in outcomes]
        for healed_us, until_us in self._terms.heals:
            if until_us < healed_us + self._terms.recovery_us + SLICE_US:
                continue  # the next fault came too early to measure the recovery
            at_us = healed_us
            while at_us + SLICE_US <= until_us:
                in_slice = outcomes[bisect_left(times, at_us) : bisect_left(times, at_us + SLICE_US)]
                is_full = _admitted(in_slice) >= self._terms.min_used_share * allowance.rate
                if is_full or (in_slice and not any(each.how == "quota" for each in in_slice)):
                    break
                at_us += SLICE_US // 20
            tenant.recovery_s.append((at_us - healed_us) / 1e6)
            if at_us > healed_us + self._terms.recovery_us:
                self._add_violation("back", f"{name}: full use {tenant.recovery_s[-1]:.2f} s after the links were up")

    def _add_violation(self, rule: str, text: str) -> None:
        self.result.violations[rule].append(text)


def refused_despite_capacity(outcomes: list[RequestOutcome], rate: float, burst: float, from_us: int) -> int:
    """How many requests were refused while a bucket, empty at first and filled at `rate`, surely had enough for them.

    Requests that may have been admitted before a refusal are taken from the bucket first. Its level never falls below
    zero.
    """
    level, filled_us, wrong = 0.0, from_us, 0
    order = [
        (each.requested_us, 0, each) if each.how == "admitted" else (each.answered_us, 1, each) for each in outcomes
    ]
    for _, _, each in sorted(order, key=lambda entry: entry[:2]):
        at_us = max(filled_us, each.requested_us)
        level = min(burst, level + rate * (at_us - filled_us) / 1e6)
        filled_us = at_us
        if each.how in ("admitted", "overload"):
            level = max(0.0, level - each.cost)
        elif each.how == "quota" and level >= each.cost + CERTAIN_MARGIN_REQUESTS:
            wrong += 1
    return wrong


def request_outcomes(calls: Iterable[Call], gateway: str) -> list[RequestOutcome]:
    """The calls of one connection that count for a quota, and how each ended."""
    outcomes: list[RequestOutcome] = []
    queued: list[Call] | None = None
    for call in calls:
        name = call.args[0].upper()
        if name == b"MULTI":
            queued = []
        elif name == b"DISCARD":
            queued = None
        elif name == b"EXEC" and queued is not None:
            if queued:
                outcomes.append(_request_outcome(call, gateway, queued[0].sent_us, len(queued)))
            queued = None
        elif queued is not None:
            queued.append(call)
        elif name in DATA:
            outcomes.append(_request_outcome(call, gateway, call.sent_us, 1))
    return outcomes


def _request_outcome(call: Call, gateway: str, sent_us: int, cost: int) -> RequestOutcome:
    if call.replied_us < 0:
        return RequestOutcome(gateway, sent_us, -1, cost, "none")
    if call.reply.startswith(b"-QUOTA"):
        retry = RETRY.search(call.reply)
        return RequestOutcome(gateway, sent_us, call.replied_us, cost, "quota", int(retry[1]) if retry else -1)
    how = "admitted"
    if call.reply.startswith(b"-TRYAGAIN"):
        how = "overload"
    elif call.reply.startswith(b"-EXECABORT"):
        how = "none"
    return RequestOutcome(gateway, sent_us, call.replied_us, cost, how)


def _done(outcomes: Iterable[RequestOutcome], hows: tuple[str, ...]) -> list[Done]:
    return [(each.requested_us, each.answered_us, float(each.cost)) for each in outcomes if each.how in hows]


def _admitted(outcomes: Iterable[RequestOutcome]) -> int:
    return sum(each.cost for each in outcomes if each.how == "admitted")
