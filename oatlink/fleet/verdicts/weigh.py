"""What others' evidence may do here. No I/O.

What may live here: the rules by which evidence becomes news for the gate, and nothing that looks at one's own links.

The only acts are *check*, *later* and *position* (`ACTS`). No evidence ends a drain, proves a role, or makes a read
fresh: a role claim is a reason to ask the member oneself, and `at_us` is no sample of a primary. It is reckoned from an
age that leaves out the time under way, so it bounds when the thing was seen from above: "at `at_us`, or before".

- **check**: one witness suffices, and never for more. At most one a member each `CHECK_EACH_US`. Not all gateways need
  to ask at once what one of them can tell the others: each draws, and asks with a chance of CHECKERS x 2^k / gateways,
  k the draws it has lost since it last won. So about `CHECKERS` gateways ask at once; while evidence goes on coming,
  all have asked within ceil(log2(gateways / CHECKERS)) + 1 draws. Own evidence newer than the word: nothing to ask,
  but for a role, which nothing but an answer to the question shows.
- **later**: `WITNESSES` different ones whose newest words, still alive, accuse it. A word counts only if it is newer
  than our own newest evidence, and by `STANDS_US` where that was 'served'. It is void if as many others, or
  `DEFENDERS` of them, say 'served', not more than `STANDS_US` before the newest accusation. It lasts `LATER_US`, with
  a check at once, and an own 'served' ends it (for the gate to do). It is about the turn only: no member is left out.
  Bound: *a member that has served us within the last `STANDS_US` is never put later, whatever is said and by however
  many.* One that we have not asked for longer is put later for at most `LATER_US` after the last of two false
  witnesses' words, unless as many true ones (or `DEFENDERS`) defend it: with a third of the nodes false and the others
  served, it is untouched too. One false witness never does.
- With half or more of a bank's members under suspicion, by others' words or our own, suspicion is void for that bank:
  none is put later, and what was is taken back (*later* with `until_us` now). So at any time under half of a bank is.
- **position**: what a member has applied of one history only grows, so old news is safe: "it holds `offset` or more".
  An offset is passed on as far as `WITNESSES` attest it, and not on words from before our own 'refused' or 'reset', or
  less than `STANDS_US` after it: a member that began anew may hold less.

Words of unlisted members or witnesses are passed over. Room: a bounded number of words for each listed member.
"""

import random
from collections.abc import Mapping

from oatlink.fleet.gate import Seen
from oatlink.fleet.messages import Evidence
from oatlink.fleet.verdicts.evidence import CHECK, CLEARS, KINDS, LATER, LONGEST_US, POSITION, fits, grown, left_us
from oatlink.fleet.verdicts.statements import STANDS_US, MemberOffsets, MemberStatements

ACTS = ("check", "later", "position")
WITNESSES = 2
CHECKERS = 8  # gateways that ask at once
CHECK_EACH_US = 200_000
LATER_US = 2_000_000
ANEW = ("refused", "reset")

Own = tuple[str, int]
"""The kind of our own newest evidence on a member, and when."""


class Weigher:
    """What one gateway makes of others' evidence. `peers`: the other nodes; `seed` differs from gateway to gateway."""

    def __init__(self, drift: float, peers: tuple[str, ...], seed: int = 0) -> None:
        self._drift = drift
        self._peers = dict.fromkeys(peers)
        self._draw = random.Random(seed)
        self._bank: dict[str, str] = {}
        self._members: dict[str, list[str]] = {}  # by bank
        self._sides: dict[str, MemberStatements] = {}
        self._reaches: dict[str, MemberOffsets] = {}
        self._own: dict[str, Own] = {}
        self._anew: dict[str, int] = {}  # when our link to it last ended so that it may have begun anew
        self._later: dict[str, int] = {}  # until when
        self._drawn: dict[str, tuple[int, int]] = {}  # when, and how many draws were lost one after the other

    def listed(self, members: Mapping[str, str], now_us: int = 0) -> list[Seen]:
        """The members of this gateway, each with its bank; takes back what a bank that shrank does not allow."""
        self._bank = dict(members)
        self._members = {}
        for member, bank in self._bank.items():
            self._members.setdefault(bank, []).append(member)
        for book in (self._sides, self._reaches, self._own, self._anew, self._later, self._drawn):
            for gone in [member for member in book if member not in self._bank]:
                del book[gone]
        return [one for bank in self._members for one in self._void(bank, now_us)]

    def take(self, evidence: Evidence, own: Own | None, now_us: int) -> list[Seen]:
        """Weigh a new word; `own` is our own newest evidence on its member."""
        member, kind = evidence.member, KINDS.get(evidence.kind)
        if kind is None or member not in self._bank or evidence.witness not in self._peers or not fits(evidence):
            return []
        until_us = now_us + left_us(evidence, self._drift)
        if until_us <= now_us:
            return []
        if own is not None:
            self._own[member] = own[0], min(own[1], now_us)
            if own[0] in ANEW:
                self._anew[member] = min(own[1], now_us)
        at_us = now_us - grown(evidence.age_us, self._drift)
        if kind.may == POSITION:
            return self._position(evidence, at_us, until_us, now_us)
        if kind.may == CHECK:
            return self._check(member, at_us, now_us, evidence.kind == "primary")
        side = self._sides.setdefault(member, MemberStatements())
        side.put(evidence.witness, kind.may == LATER, at_us, until_us)
        if kind.may == CLEARS:
            return self._cleared(member, now_us)
        return self._check(member, at_us, now_us, False) + self._put_later(member, at_us, now_us)

    def _since(self, member: str) -> int:
        """Up to when others' words on a member say nothing to us."""
        kind, at_us = self._own.get(member, ("", -1))
        return at_us + STANDS_US if kind == "served" else at_us

    def _suspected(self, member: str, now_us: int) -> bool:
        side = self._sides.get(member)
        return side is not None and side.suspected(now_us, self._since(member), WITNESSES)

    def _doubted(self, member: str, now_us: int) -> bool:
        """Whether it is under suspicion, by others or by ourselves, or put later by one that has lapsed since."""
        own, at_us = self._own.get(member, ("", -1))
        kind = KINDS.get(own)
        mine = kind is not None and kind.may == LATER and now_us - at_us < kind.life_us
        return mine or self._later.get(member, 0) > now_us or self._suspected(member, now_us)

    def _half(self, bank: str, now_us: int) -> bool:
        """Whether half or more of a bank is under suspicion: then it is more likely that something else is broken."""
        members = self._members.get(bank, [])
        return 2 * sum(self._doubted(one, now_us) for one in members) >= len(members)

    def _put_later(self, member: str, at_us: int, now_us: int) -> list[Seen]:
        if not self._suspected(member, now_us):
            return []
        bank = self._bank[member]
        if self._half(bank, now_us):
            return self._void(bank, now_us)
        until_us = now_us + LATER_US
        if self._later.get(member, 0) > until_us - CHECK_EACH_US:
            return []  # said just now
        self._later[member] = until_us
        return [Seen(member, "later", at_us, until_us)]

    def _void(self, bank: str, now_us: int) -> list[Seen]:
        """Take back each *later* of a bank with half of it under suspicion."""
        if not self._half(bank, now_us):
            return []
        put = [one for one in self._members[bank] if self._later.pop(one, 0) > now_us]
        return [Seen(one, "later", now_us, now_us) for one in put]

    def _cleared(self, member: str, now_us: int) -> list[Seen]:
        if self._later.get(member, 0) <= now_us or self._suspected(member, now_us):
            return []
        del self._later[member]
        return [Seen(member, "later", now_us, now_us)]

    def _check(self, member: str, at_us: int, now_us: int, role: bool) -> list[Seen]:
        if not role and self._own.get(member, ("", -1))[1] >= at_us:
            return []
        drawn_us, lost = self._drawn.get(member, (now_us - LONGEST_US, 0))
        if now_us - drawn_us < CHECK_EACH_US:
            return []
        lost = lost if now_us - drawn_us < LONGEST_US else 0
        share = CHECKERS * 2 ** min(lost, 16) / (len(self._peers) + 1)
        won = self._draw.random() < share
        self._drawn[member] = now_us, 0 if won else lost + 1
        return [Seen(member, "check", at_us)] if won else []

    def _position(self, word: Evidence, at_us: int, until_us: int, now_us: int) -> list[Seen]:
        reach = self._reaches.setdefault(word.member, MemberOffsets()).reach(word.history)
        reach.put(word.witness, word.offset, at_us, until_us)
        anew_us = self._anew.get(word.member, -STANDS_US) + STANDS_US
        attested = reach.attested(now_us, anew_us, WITNESSES)
        if attested is None or attested[0] <= reach.told:
            return []
        reach.told, at_us = attested
        return [Seen(word.member, "position", at_us, 0, word.history, reach.told)]
