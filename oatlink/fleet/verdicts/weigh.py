"""What the evidence of other nodes may cause here. No I/O.

This module implements the rules by which evidence becomes news for the gate. It does not observe this node's links.

The only effects (`ACTS`) are *check*, *later* and *position*. No evidence ends a drain, proves a role, or makes a read
fresh: a claim of a role is a reason to ask the member itself, and `at_us` is no sample of a primary. It is computed
from an age that leaves out the time in transit, so it is an upper bound: the observation was made "at `at_us`, or
before".

- **check**: one witness suffices for this, but for no other effect. A member is checked at most once each
  `CHECK_INTERVAL_US`. Not all gateways need to check at once, as one of them can report the result to the others: each
  draws a random number, and checks with a probability of CHECKERS x 2^k / gateways, where k is the number of draws it
  lost since it last won. So about `CHECKERS` gateways check at once; while evidence continues to arrive, all have
  checked within ceil(log2(gateways / CHECKERS)) + 1 draws. If own evidence is newer, nothing is checked, except for a
  claimed role, which only the member's own answer can confirm.
- **later**: needs `WITNESSES` different witnesses whose newest evidence is still valid and accuses the member.
  Evidence counts only if it is newer than our own newest evidence, and by `SERVED_PRIORITY_US` if that was 'served'.
  It is void if as many others, or `DEFENDERS` of them, report 'served', not more than `SERVED_PRIORITY_US` before the
  newest accusation. It lasts `LATER_US`, with a check at once, and an own 'served' ends it (in the gate). It only
  changes the order in which members are chosen: no member is left out.
  Bound: *a member that has served us within the last `SERVED_PRIORITY_US` is never put later, whatever is reported and
  by however many.* One that we have not asked for longer is put later for at most `LATER_US` after the last evidence of
  two false witnesses, unless as many true ones (or `DEFENDERS`) defend it: if a third of the nodes are false and the
  others are served, it is not affected either. One false witness never has this effect.
- If half or more of the members of a bank are suspected, by others' evidence or our own, suspicion is void for that
  bank: none is put later, and each earlier *later* is taken back (*later* with `until_us` now). So at any time less
  than half of a bank is put later.
- **position**: the offset of a member within one history only grows, so old news is safe: "it has reached `offset` or
  more". An offset is passed on as far as `WITNESSES` confirm it. Evidence from before our own 'refused' or 'reset', or
  less than `SERVED_PRIORITY_US` after it, does not count: a member that restarted may have less.

Evidence on unlisted members or from unlisted witnesses is ignored. Memory: a bounded number of statements for each
listed member.
"""

import random
from collections.abc import Mapping

from oatlink.fleet.gate import Seen
from oatlink.fleet.messages import Evidence
from oatlink.fleet.verdicts.evidence import (
    CHECK,
    CLEARS,
    KINDS,
    LATER,
    MAX_LIFE_US,
    POSITION,
    aged_us,
    is_valid,
    remaining_life_us,
)
from oatlink.fleet.verdicts.statements import SERVED_PRIORITY_US, MemberOffsets, MemberStatements

ACTS = ("check", "later", "position")
WITNESSES = 2
CHECKERS = 8  # gateways that check at once, in the mean
CHECK_INTERVAL_US = 200_000
LATER_US = 2_000_000
RESTART_KINDS = ("refused", "reset")  # after which a member may have restarted

Own = tuple[str, int]
"""The kind and the time of our own newest evidence on a member."""


class Weigher:
    """Weighs others' evidence for one gateway. `peers`: the other nodes; `seed` differs from gateway to gateway."""

    def __init__(self, drift: float, peers: tuple[str, ...], seed: int = 0) -> None:
        self._drift = drift
        self._peers = dict.fromkeys(peers)
        self._random = random.Random(seed)
        self._bank: dict[str, str] = {}
        self._members: dict[str, list[str]] = {}  # by bank
        self._statements: dict[str, MemberStatements] = {}
        self._offsets: dict[str, MemberOffsets] = {}
        self._own: dict[str, Own] = {}
        self._restarted_us: dict[str, int] = {}  # when our link last ended in a way that a restart explains
        self._later_until_us: dict[str, int] = {}
        self._draws: dict[str, tuple[int, int]] = {}  # the last draw, and how many were lost in a row

    def listed(self, members: Mapping[str, str], now_us: int = 0) -> list[Seen]:
        """Set the members of this gateway, each with its bank.

        Takes back each *later* that is no longer allowed because the bank has become smaller.
        """
        self._bank = dict(members)
        self._members = {}
        for member, bank in self._bank.items():
            self._members.setdefault(bank, []).append(member)
        for by_member in (
            self._statements,
            self._offsets,
            self._own,
            self._restarted_us,
            self._later_until_us,
            self._draws,
        ):
            for gone in [member for member in by_member if member not in self._bank]:
                del by_member[gone]
        return [seen for bank in self._members for seen in self._take_back(bank, now_us)]

    def take(self, evidence: Evidence, own: Own | None, now_us: int) -> list[Seen]:
        """Weigh new evidence; `own` is our own newest evidence on its member."""
        member, kind = evidence.member, KINDS.get(evidence.kind)
        if kind is None or member not in self._bank or evidence.witness not in self._peers or not is_valid(evidence):
            return []
        until_us = now_us + remaining_life_us(evidence, self._drift)
        if until_us <= now_us:
            return []
        if own is not None:
            self._own[member] = own[0], min(own[1], now_us)
            if own[0] in RESTART_KINDS:
                self._restarted_us[member] = min(own[1], now_us)
        at_us = now_us - aged_us(evidence.age_us, self._drift)
        if kind.allows == POSITION:
            return self._position(evidence, at_us, until_us, now_us)
        if kind.allows == CHECK:
            return self._check(member, at_us, now_us, evidence.kind == "primary")
        statements = self._statements.setdefault(member, MemberStatements())
        statements.put(evidence.witness, kind.allows == LATER, at_us, until_us)
        if kind.allows == CLEARS:
            return self._cleared(member, now_us)
        return self._check(member, at_us, now_us, False) + self._put_later(member, at_us, now_us)

    def _ignored_until_us(self, member: str) -> int:
        """The time up to which others' evidence on a member does not count."""
        kind, at_us = self._own.get(member, ("", -1))
        return at_us + SERVED_PRIORITY_US if kind == "served" else at_us

    def _suspected(self, member: str, now_us: int) -> bool:
        statements = self._statements.get(member)
        return statements is not None and statements.suspected(now_us, self._ignored_until_us(member), WITNESSES)

    def _is_doubted(self, member: str, now_us: int) -> bool:
        """Whether it is suspected, by others or by ourselves, or is still put later after the suspicion has ended."""
        own, at_us = self._own.get(member, ("", -1))
        kind = KINDS.get(own)
        is_own = kind is not None and kind.allows == LATER and now_us - at_us < kind.life_us
        return is_own or self._later_until_us.get(member, 0) > now_us or self._suspected(member, now_us)

    def _half_suspected(self, bank: str, now_us: int) -> bool:
        """Whether half or more of a bank is suspected: then it is more likely that something else is broken."""
        members = self._members.get(bank, [])
        return 2 * sum(self._is_doubted(member, now_us) for member in members) >= len(members)

    def _put_later(self, member: str, at_us: int, now_us: int) -> list[Seen]:
        if not self._suspected(member, now_us):
            return []
        bank = self._bank[member]
        if self._half_suspected(bank, now_us):
            return self._take_back(bank, now_us)
        until_us = now_us + LATER_US
        if self._later_until_us.get(member, 0) > until_us - CHECK_INTERVAL_US:
            return []  # it was put later just now
        self._later_until_us[member] = until_us
        return [Seen(member, "later", at_us, until_us)]

    def _take_back(self, bank: str, now_us: int) -> list[Seen]:
        """Take back each *later* of a bank of which half is suspected."""
        if not self._half_suspected(bank, now_us):
            return []
        put_later = [member for member in self._members[bank] if self._later_until_us.pop(member, 0) > now_us]
        return [Seen(member, "later", now_us, now_us) for member in put_later]

    def _cleared(self, member: str, now_us: int) -> list[Seen]:
        if self._later_until_us.get(member, 0) <= now_us or self._suspected(member, now_us):
            return []
        del self._later_until_us[member]
        return [Seen(member, "later", now_us, now_us)]

    def _check(self, member: str, at_us: int, now_us: int, role: bool) -> list[Seen]:
        if not role and self._own.get(member, ("", -1))[1] >= at_us:
            return []
        drawn_us, lost = self._draws.get(member, (now_us - MAX_LIFE_US, 0))
        if now_us - drawn_us < CHECK_INTERVAL_US:
            return []
        lost = lost if now_us - drawn_us < MAX_LIFE_US else 0
        probability = CHECKERS * 2 ** min(lost, 16) / (len(self._peers) + 1)
        won = self._random.random() < probability
        self._draws[member] = now_us, 0 if won else lost + 1
        return [Seen(member, "check", at_us)] if won else []

    def _position(self, evidence: Evidence, at_us: int, until_us: int, now_us: int) -> list[Seen]:
        offsets = self._offsets.setdefault(evidence.member, MemberOffsets()).offsets(evidence.history)
        offsets.put(evidence.witness, evidence.offset, at_us, until_us)
        restarted_us = self._restarted_us.get(evidence.member, -SERVED_PRIORITY_US) + SERVED_PRIORITY_US
        attested = offsets.attested(now_us, restarted_us, WITNESSES)
        if attested is None or attested[0] <= offsets.reported:
            return []
        offsets.reported, at_us = attested
        return [Seen(evidence.member, "position", at_us, 0, evidence.history, offsets.reported)]
