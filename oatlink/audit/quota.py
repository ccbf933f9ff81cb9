"""The judge of quotas: from what clients sent and got alone, knowing nothing of grants or homes. No I/O.

A client's place is `client-KIND-TENANT-...`. Its commands that reach for data count one each, a MULTI as many as
stand in it. What was *admitted* is known by its final answer:

- `-QUOTA`: refused, and the text must say `retry after N ms`.
- `-TRYAGAIN`: refused for another reason (overload, a drain), before or after the quota was paid; a client cannot
  tell. It counts as admitted in `over_with_overloads`, which is shown, and not in `over`, which must not be above 0.
- `-EXECABORT`: nothing of it was let through.
- Any other answer, an error included: admitted, somewhere between the sending and the answer.
- None: not known; it does not count.

Judged for each tenant: **never over** in any window (`audit.windows`); **used** to 0.9 while all links are up;
**floor**: a gateway that is cut off refuses nothing while its part of the floor surely has room; **back** to full use
in time after a heal; **told**: no refusal without a time. What was not wanted cannot be used: a span without any
refusal is not judged. How much of its floor a gateway served is shown and not judged: its bucket holds a request or
two, and what runs over while its few clients wait to come back is lost to them.
"""

import re
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from oatlink.audit.capture import Call, Capture, read_line
from oatlink.audit.windows import Done, Excess, largest_excess

DATA = frozenset((b"XADD", b"XREVRANGE", b"RPUSH", b"GET", b"SET"))
RULES = ("never_over", "used", "floor", "back", "told")
BACK = re.compile(rb"retry after (\d+) ms")
SURELY = 0.5  # requests: how much surer than by a hair it must be that a floor had room
SLICE_US = 1_000_000  # in which use is looked at after a heal


@dataclass(frozen=True, slots=True)
class Allowance:
    """What one tenant may have: requests a second, at once, and the floor's share of both."""

    rate: float
    burst: float
    floor: float


@dataclass(frozen=True, slots=True)
class Span:
    """A stretch of the day. `cut_off`: gateways that reach no majority all the while; empty: all links are up."""

    from_us: int
    to_us: int
    cut_off: tuple[str, ...] = ()

    def contains(self, at_us: int) -> bool:
        """Whether a time is in it."""
        return self.from_us <= at_us < self.to_us


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """What was promised: allowances by tenant, and how long things may take."""

    tenants: dict[str, Allowance]
    nodes: int
    drift: float = 0.001
    min_used_share: float = 0.9
    recovery_us: int = 4_000_000
    spans: tuple[Span, ...] = ()
    heals: tuple[tuple[int, int], ...] = ()  # when all links were up again, and until when they stayed so


@dataclass(frozen=True, slots=True)
class Asked:
    """One command, or one MULTI, and how it ended: admitted, overload, quota, none."""

    gateway: str
    asked_us: int
    answered_us: int
    cost: int
    how: str
    back_ms: int = -1


@dataclass(slots=True)
class TenantResult:
    """What came of one tenant's day. Shares are of the rate."""

    asked: int = 0
    admitted: int = 0
    overloads: int = 0
    refused: int = 0
    refused_without_retry_time: int = 0
    unknown: int = 0
    excess: Excess = field(default_factory=lambda: Excess(0.0))
    excess_with_overloads: Excess = field(default_factory=lambda: Excess(0.0))
    used_shares: list[float] = field(default_factory=list)  # a span with all links up each
    stranded_floor_shares: list[float] = field(
        default_factory=list
    )  # there: floors of gateways that nobody wanted them of
    used_shares_while_cut: list[float] = field(
        default_factory=list
    )  # a span with a minority cut each, by the whole fleet
    floor_shares: list[float] = field(default_factory=list)  # of its floor's part, a gateway that is cut off each
    refused_despite_floor: int = 0  # there
    recovery_s: list[float] = field(default_factory=list)  # a heal each


@dataclass(slots=True)
class QuotaResult:
    """All tenants, and for each rule what broke it."""

    tenants: dict[str, TenantResult] = field(default_factory=dict)
    violations: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})

    @property
    def passed(self) -> bool:
        """Whether no bound was broken."""
        return not any(self.violations.values())


class QuotaChecker:
    """Judges one day."""

    def __init__(self, capture: Capture, terms: QuotaTerms) -> None:
        self._capture, self._terms = capture, terms
        self._asked: dict[str, list[Asked]] = defaultdict(list)
        self.found = QuotaResult()

    def check(self) -> QuotaResult:
        """Read the capture and judge each tenant."""
        for (place, number), chunks in sorted(self._capture.chunks.items()):
            parts = place.split("-")
            if parts[0] == "client" and len(parts) > 2 and parts[2] in self._terms.tenants:
                calls = read_line(place, number, chunks, commands_out=True).calls
                self._asked[parts[2]] += asked(calls, self._capture.gateways.get((place, number), ""))
        for name, allowance in sorted(self._terms.tenants.items()):
            self._tenant(name, allowance)
        return self.found

    def _tenant(self, name: str, allowance: Allowance) -> None:
        all_asked = sorted(self._asked[name], key=lambda one: one.answered_us)
        one = self.found.tenants[name] = TenantResult()
        one.asked = sum(each.cost for each in all_asked)
        for each in all_asked:
            one.admitted += each.cost if each.how == "admitted" else 0
            one.overloads += each.cost if each.how == "overload" else 0
            one.unknown += each.cost if each.how == "none" else 0
            if each.how == "quota":
                one.refused += each.cost
                one.refused_without_retry_time += each.back_ms < 0
        rate = allowance.rate * (1 + self._terms.drift)
        one.excess = largest_excess(_done(all_asked, ("admitted",)), rate, allowance.burst)
        one.excess_with_overloads = largest_excess(_done(all_asked, ("admitted", "overload")), rate, allowance.burst)
        if one.excess.amount > 1e-6:  # the sums of a day's rate and counts are no more exact than that
            self._break(
                "never_over",
                f"{name}: {one.excess.counted:.0f} in {(one.excess.to_us - one.excess.from_us) / 1e6:.3f} s, "
                f"{one.excess.amount:.2f} over",
            )
        if one.refused_without_retry_time:
            self._break("told", f"{name}: {one.refused_without_retry_time} refusals without a time to come back")
        self._use(name, allowance, one, all_asked)
        self._back(name, allowance, one, all_asked)

    def _use(self, name: str, allowance: Allowance, one: TenantResult, all_asked: list[Asked]) -> None:
        for span in self._terms.spans:
            within = [each for each in all_asked if span.contains(each.answered_us)]
            if not any(each.how == "quota" for each in within):
                continue  # all that was wanted was served
            length_s = (span.to_us - span.from_us) / 1e6
            share = _admitted(within) / (allowance.rate * length_s)
            if not span.cut_off:
                one.used_shares.append(share)
                one.stranded_floor_shares.append(self._stranded(allowance, span, within))
                if share < self._terms.min_used_share:
                    self._break("used", f"{name}: {share:.3f} of its rate for {length_s:.1f} s with all links up")
                continue
            one.used_shares_while_cut.append(share)
            part = allowance.floor / self._terms.nodes
            for gateway in span.cut_off if part else ():
                mine = [each for each in within if each.gateway == gateway]
                if any(each.how == "quota" for each in mine):
                    one.floor_shares.append(_admitted(mine) / (allowance.rate * part * length_s))
                wrong = with_room(mine, allowance.rate * part, allowance.burst * part, span.from_us)
                one.refused_despite_floor += wrong
                if wrong:
                    self._break("floor", f"{name}: {gateway}, cut off, refused {wrong} that its floor had room for")

    def _stranded(self, allowance: Allowance, span: Span, within: list[Asked]) -> float:
        """The share of the rate that was floors, where in a second a gateway was asked for less and refused none."""
        floor = allowance.rate * allowance.floor / self._terms.nodes
        seconds = (span.to_us - span.from_us) // SLICE_US
        admitted: Counter[tuple[int, str]] = Counter()
        refused = set()
        for one in within:
            at = (one.answered_us - span.from_us) // SLICE_US, one.gateway
            if one.how == "quota":
                refused.add(at)
            elif one.how == "admitted":
                admitted[at] += one.cost
        gateways = sorted(set(self._capture.gateways.values()))
        left = sum(
            max(0.0, floor - admitted[second, gateway])
            for second in range(seconds)
            for gateway in gateways
            if (second, gateway) not in refused
        )
        return left / (allowance.rate * max(1, seconds))

    def _back(self, name: str, allowance: Allowance, one: TenantResult, all_asked: list[Asked]) -> None:
        """How long after each heal the second begins in which the use is full."""
        times = [each.answered_us for each in all_asked]
        for healed_us, until_us in self._terms.heals:
            if until_us < healed_us + self._terms.recovery_us + SLICE_US:
                continue  # the next trouble came too early to tell
            at_us = healed_us
            while at_us + SLICE_US <= until_us:
                slice_ = all_asked[bisect_left(times, at_us) : bisect_left(times, at_us + SLICE_US)]
                full = _admitted(slice_) >= self._terms.min_used_share * allowance.rate
                if full or (slice_ and not any(each.how == "quota" for each in slice_)):
                    break
                at_us += SLICE_US // 20
            one.recovery_s.append((at_us - healed_us) / 1e6)
            if at_us > healed_us + self._terms.recovery_us:
                self._break("back", f"{name}: full use {one.recovery_s[-1]:.2f} s after the links were up")

    def _break(self, rule: str, text: str) -> None:
        self.found.violations[rule].append(text)


def with_room(within: list[Asked], rate: float, burst: float, from_us: int) -> int:
    """How many were refused while a bucket, empty at the begin and filled at `rate`, surely had room for them.

    What may have been admitted before a refusal is taken out before it; a bucket never holds less than nothing.
    """
    level, filled_us, wrong = 0.0, from_us, 0
    order = [(one.asked_us, 0, one) if one.how == "admitted" else (one.answered_us, 1, one) for one in within]
    for _, _, one in sorted(order, key=lambda each: each[:2]):
        at_us = max(filled_us, one.asked_us)
        level = min(burst, level + rate * (at_us - filled_us) / 1e6)
        filled_us = at_us
        if one.how in ("admitted", "overload"):
            level = max(0.0, level - one.cost)
        elif one.how == "quota" and level >= one.cost + SURELY:
            wrong += 1
    return wrong


def asked(calls: Iterable[Call], gateway: str) -> list[Asked]:
    """What of one connection's calls counts for a quota, and how each ended."""
    found: list[Asked] = []
    queued: list[Call] | None = None
    for call in calls:
        name = call.args[0].upper()
        if name == b"MULTI":
            queued = []
        elif name == b"DISCARD":
            queued = None
        elif name == b"EXEC" and queued is not None:
            if queued:
                found.append(_asked(call, gateway, queued[0].sent_us, len(queued)))
            queued = None
        elif queued is not None:
            queued.append(call)
        elif name in DATA:
            found.append(_asked(call, gateway, call.sent_us, 1))
    return found


def _asked(call: Call, gateway: str, sent_us: int, cost: int) -> Asked:
    if call.replied_us < 0:
        return Asked(gateway, sent_us, -1, cost, "none")
    if call.reply.startswith(b"-QUOTA"):
        back = BACK.search(call.reply)
        return Asked(gateway, sent_us, call.replied_us, cost, "quota", int(back[1]) if back else -1)
    how = "admitted"
    if call.reply.startswith(b"-TRYAGAIN"):
        how = "overload"
    elif call.reply.startswith(b"-EXECABORT"):
        how = "none"
    return Asked(gateway, sent_us, call.replied_us, cost, how)


def _done(all_asked: Iterable[Asked], hows: tuple[str, ...]) -> list[Done]:
    return [(one.asked_us, one.answered_us, float(one.cost)) for one in all_asked if one.how in hows]


def _admitted(within: Iterable[Asked]) -> int:
    return sum(one.cost for one in within if one.how == "admitted")
