"""How fast and at what cost evidence spreads, and that it never has more effect at a receiver than allowed."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet.gate import Seen
from oatlink.fleet.messages import NEVER_US, Evidence, Gossip, Tell
from oatlink.fleet.verdicts import spread, weigh
from oatlink.fleet.verdicts.evidence import KINDS, LATER, aged_us, is_valid, remaining_life_us
from oatlink.fleet.verdicts.evidence_store import MAX_TOPICS, MAX_TOPICS_PER_WITNESS, MAX_WITNESSES, EvidenceStore
from oatlink.fleet.verdicts.spread import MAX_BYTES_PER_S, ROUND_US, Spread, most_rounds
from oatlink.fleet.verdicts.statements import SERVED_PRIORITY_US
from oatlink.fleet.verdicts.weigh import Weigher

DRIFT = 0.001
STEP_US = 10_000
MAX_TRANSIT_US = 3 * STEP_US


class Net:
    """Nodes with drifting clocks, over links that delay messages and lose one in ten; `cut` partitions them in two."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.names = names = tuple(f"gateway-{n}" for n in range(size))
        self.nodes = {one: Spread(one, 1, names, seed * 1000 + n, DRIFT) for n, one in enumerate(names)}
        clocks = [(self.random.randrange(10**9), self.random.uniform(1 / (1 + DRIFT), 1 + DRIFT)) for _ in names]
        self.clocks = dict(zip(names, clocks, strict=True))
        self.now = self.cut = self.sent = self.max_bytes_per_s = 0
        self.in_transit: dict[int, list[tuple[str, str, Gossip]]] = {}
        self.known_at: dict[tuple[str, int], dict[str, int]] = {}  # by evidence: when each node first had it
        self.observed_at: dict[tuple[str, int], int] = {}
        self.recent: dict[str, list[tuple[int, int]]] = {one: [] for one in names}

    def clock(self, name: str) -> int:
        return self.clocks[name][0] + round(self.now * self.clocks[name][1])

    def observe(self, name: str, member: str, kind: str) -> tuple[str, int]:
        assert self.nodes[name].saw(member, kind, self.clock(name))
        key = name, self.nodes[name]._serial
        self.known_at[key], self.observed_at[key] = {name: self.now}, self.now
        return key

    def update_alive(self) -> None:
        """Tell each node which peers it can reach."""
        for index, name in enumerate(self.names):
            part = self.names[: self.cut] if index < self.cut else self.names[self.cut :]
            self.nodes[name].set_alive(tuple(peer for peer in part if peer != name), self.clock(name))

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP_US
            for sender, to, gossip in self.in_transit.pop(self.now, []):
                new, effects = self.nodes[to].receive(sender, gossip, self.clock(to))
                assert not effects
                keys = [(evidence.witness, evidence.serial) for evidence in new]
                for key in [key for key in keys if key in self.known_at]:
                    assert to not in self.known_at[key]
                    self.known_at[key][to] = self.now
            for name, node in self.nodes.items():
                for effect in node.tick(self.clock(name)) if node.due_us < NEVER_US else []:
                    assert isinstance(effect, Tell) and isinstance(effect.message, Gossip)
                    self._send(name, effect.to, effect.message)

    def _send(self, name: str, to: str, gossip: Gossip) -> None:
        size = len(msgspec.msgpack.encode(gossip)) + 150  # a tag, a sender's name, numbers
        self.recent[name] = [sent for sent in self.recent[name] if sent[0] > self.now - 1_000_000] + [(self.now, size)]
        self.max_bytes_per_s = max(self.max_bytes_per_s, sum(sent_bytes for _, sent_bytes in self.recent[name]))
        self.sent += 1
        is_connected = (self.names.index(name) < self.cut) == (self.names.index(to) < self.cut)
        if is_connected and self.random.random() >= 0.1:
            arrival = self.now + STEP_US * self.random.randrange(1, MAX_TRANSIT_US // STEP_US + 1)
            self.in_transit.setdefault(arrival, []).append((name, to, gossip))

    def rounds(self, key: tuple[str, int]) -> float:
        """After how many rounds all nodes knew it, each as long as a round and one transit."""
        is_complete = len(self.known_at[key]) == len(self.names)
        duration_us = max(self.known_at[key].values()) - self.observed_at[key]
        return duration_us / (ROUND_US + MAX_TRANSIT_US) if is_complete else 1e9


@pytest.mark.parametrize(("size", "seeds"), [(5, 60), (50, 12), (500, 3)])
def test_new_evidence_reaches_all_nodes_within_the_rounds_and_then_nothing_is_sent(size: int, seeds: int) -> None:
    for seed in range(seeds):
        net = Net(size, seed)
        net.run(20)
        assert net.sent == 0  # nothing new, nothing sent
        key = net.observe(net.names[seed % size], "m", "hung")
        net.run(most_rounds(size) * 16)
        assert net.rounds(key) <= most_rounds(size)
        assert all(node.due_us == NEVER_US for node in net.nodes.values())
        assert net.sent <= size * most_rounds(size) * spread.FAN_OUT


@pytest.mark.parametrize(("size", "tenths"), [(5, 40), (50, 20), (500, 3)])
def test_a_burst_of_evidence_stays_within_the_byte_limit_and_urgent_evidence_arrives(size: int, tenths: int) -> None:
    net = Net(size, 3)
    for step in range(tenths):
        for n, name in enumerate(net.names):
            for m in range(step % 2, 20, 2):
                net.nodes[name].saw(f"member-{m}", "position", net.clock(name), "h" * 40, step * 100 + n)
        if step == 2:
            key = net.observe(net.names[0], "member-1", "hung")
            assert all(net.observe(name, "member-2", "reset") for name in net.names)  # each counts as new once
        net.run(10)
    net.run(80)
    assert MAX_BYTES_PER_S / 4 < net.max_bytes_per_s <= MAX_BYTES_PER_S
    assert net.rounds(key) <= most_rounds(size)


@pytest.mark.parametrize(("size", "heals"), [(6, True), (50, True), (50, False)])
def test_after_a_partition_valid_evidence_is_sent_on(size: int, heals: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if not heals:
        monkeypatch.setattr(Spread, "_heal", lambda self, now_us: setattr(self, "_heal_us", NEVER_US))
    net = Net(size, 5)
    net.cut = size // 2
    net.update_alive()
    key = net.observe(net.names[0], "m", "hung")
    net.run(200)
    assert len(net.known_at[key]) == size // 2
    net.cut = 0
    net.update_alive()
    net.observed_at[key] = net.now
    net.run(most_rounds(size) * 13)
    assert (net.rounds(key) <= most_rounds(size)) == heals


HoldTimes = list[tuple[int, bool]]


def _age_at_end(holds: HoldTimes) -> tuple[int, int]:
    """The true and the reported age of evidence passed on over nodes with the slowest and the fastest clocks."""
    names = tuple(f"n{n}" for n in range(len(holds) + 1))
    rates = [1 + DRIFT if fast else 1 / (1 + DRIFT) for _, fast in holds] + [1.0]
    nodes = [Spread(one, 1, names, 1, DRIFT) for one in names]
    assert nodes[0].saw("m", "hung", 0)
    true = age = 0
    for index, (hold, _) in enumerate(holds):
        true += hold
        message_effect = nodes[index].tick(round(true * rates[index]))[0]
        assert isinstance(message_effect, Tell) and isinstance(message_effect.message, Gossip)
        received, _ = nodes[index + 1].receive(names[index], message_effect.message, round(true * rates[index + 1]))
        age = received[0].age_us
    return true, age


@given(st.lists(st.tuples(st.integers(0, 700_000), st.booleans()), min_size=1, max_size=5))
def test_an_age_is_never_too_small(holds: HoldTimes) -> None:
    true, age = _age_at_end(holds)
    assert true - len(holds) <= age <= true * (1 + 3 * DRIFT) + 3 * len(holds)


@pytest.mark.parametrize("grows", [lambda passed_us, drift: 0, lambda passed_us, drift: max(0, passed_us)])
def test_an_age_that_does_not_grow_is_found(monkeypatch: pytest.MonkeyPatch, grows: object) -> None:
    monkeypatch.setattr(spread, "aged_us", grows)
    true, age = _age_at_end([(600_000, False)] * 4)
    assert age < true - 4


def test_own_evidence_that_comes_back_and_expired_evidence_is_not_new() -> None:
    node = Spread("a", 2, ("a", "b", "c"), 1, DRIFT)
    own = Evidence("a", 1, 7, "m", "hung", 0)
    late = Evidence("c", 1, 7, "m", "hung", 3_000_000)
    new, _ = node.receive("b", Gossip((own, late)), 10**7, late_us=1_000_000)
    assert new == [] and node.due_us == NEVER_US
    assert node.receive("x", Gossip((late,)), 10**7) == ([], [])  # an unknown sender
    assert node.receive("b", Gossip((late, late)), 10**7)[0] == [late]
    valid = msgspec.structs.replace(late, offset=5, history="h")
    for change in ({"member": "\ud800"}, {"offset": 2**63}, {"kind": "omens"}, {"age_us": -1}, {"history": "h" * 65}):
        assert is_valid(valid) and not is_valid(msgspec.structs.replace(valid, **change))


def test_urgent_evidence_is_sent_first_and_a_repetition_is_not_sent() -> None:
    node = Spread("a", 1, ("a", "b"), 1, DRIFT)
    assert node.saw("m", "hung", 0) and not node.saw("m", "hung", 199_999)
    assert all(node.saw(f"m{n}", "position", 200_000, "h" * 40, n) for n in range(40))
    sent = node.tick(200_000)[0]
    assert isinstance(sent, Tell) and isinstance(sent.message, Gossip) and len(sent.message.evidence) < 40
    assert sent.message.evidence[0].kind == "hung" and node.saw("m", "hung", 200_000)


WORDS = st.builds(
    Evidence,
    st.sampled_from(["a", "b", "c", "x", "", "w" * 999]),
    st.integers(-1, 2) | st.just(2**70),
    st.integers(-1, 2**70),
    st.sampled_from(["m1", "m2", "", "\ud800"]),
    st.sampled_from([*KINDS, "omens"]),
    st.integers(-(2**70), 2**70) | st.integers(0, 10**6),
    st.sampled_from(["", "h", "h" * 999]),
    st.integers(-(2**70), 2**70),
)


@given(st.lists(WORDS, max_size=30))
def test_nothing_that_comes_raises(words: list[Evidence]) -> None:
    node, weigher = Spread("a", 1, ("a", "b", "c"), 1, DRIFT), Weigher(DRIFT, ("b", "c"))
    weigher.listed({"m1": "bank", "m2": "bank", "m3": "bank"})
    for at, word in enumerate(words):
        new, _ = node.receive("b", Gossip((word,)), at * 1_000)
        assert all(is_valid(one) and one.witness in ("b", "c") for one in new)
        assert weigher.take(word, None, at * 1_000) == [] or is_valid(word)
    for effect in node.tick(10**5):
        assert isinstance(effect, Tell) and msgspec.msgpack.encode(effect.message)


def test_the_store_is_bounded_and_urgent_evidence_replaces_other() -> None:
    known = EvidenceStore(DRIFT)
    for n in range(30_000):
        known.put(Evidence(f"w{n % 300}", 1, n, f"m{n // 9}", "position", 0, "h", n), n)
    assert len(known) <= MAX_TOPICS * MAX_WITNESSES and known.dropped > 0
    assert known.put(Evidence("true", 1, 1, "m", "hung", 0), 30_000) is not None
    alone = EvidenceStore(DRIFT)
    kept = [alone.put(Evidence("w", 1, n, f"m{n}", "hung", 0), n) for n in range(1_000)]
    assert sum(one is not None for one in kept) == MAX_TOPICS_PER_WITNESS
    assert alone.put(Evidence("v", 1, 1, "m0", "hung", 0), 1_000) is not None


# ---- Weighing ----

BANKS = {"a1": "a", "a2": "a", "a3": "a", "a4": "a", "a5": "a", "b1": "b", "b2": "b", "c1": "c"}
PEERS = tuple(f"p{n}" for n in range(6))


class InvariantChecker:
    """Checks the input and the output of a weigher, and collects violations of its rules."""

    def __init__(self) -> None:
        self.reports: list[tuple[Evidence, int]] = []
        self.later: dict[str, int] = {}
        self.checked: dict[str, int] = {}
        self.violations: list[str] = []

    def check(self, word: Evidence, own: tuple[str, int] | None, now: int, seen: list[Seen]) -> None:
        if is_valid(word) and word.witness in PEERS and word.age_us < KINDS[word.kind].life_us:
            self.reports.append((word, now))
        for news in seen:
            self._check(news, own, now)
        for bank in ("a", "b", "c"):
            put = [m for m, until in self.later.items() if until > now and BANKS[m] == bank]
            if put and 2 * len(put) >= list(BANKS.values()).count(bank):
                self.violations.append("half a bank")

    def _check(self, news: Seen, own: tuple[str, int] | None, now: int) -> None:
        if news.act not in ("check", "later", "position") or news.member not in BANKS or news.at_us > now:
            self.violations.append("act")
        if news.act == "check":
            if now - self.checked.get(news.member, -(10**9)) < 200_000:
                self.violations.append("checks")
            self.checked[news.member] = now
        if news.act == "position":
            those = {w.witness for w, _ in self.reports if w.history == news.history and w.offset >= news.offset}
            if len(those) < 2:
                self.violations.append("attested")
        if news.act == "later":
            self.later[news.member] = news.until_us
            if news.until_us <= now:
                return
            if news.until_us > now + 2_000_000:
                self.violations.append("too long")
            after = -1 if own is None else own[1] + (SERVED_PRIORITY_US if own[0] == "served" else 0)
            accuse = [(w, at) for w, at in self.reports if w.member == news.member and KINDS[w.kind].allows == LATER]
            if len({w.witness for w, _ in accuse}) < 2:
                self.violations.append("witnesses")
            elif len({w.witness for w, at in accuse if at - w.age_us > after}) < 2:
                self.violations.append("own")


def _stream(seed: int, checker: InvariantChecker) -> None:
    """Random evidence on random members, and own evidence now and then."""
    rng = random.Random(seed)
    weigher = Weigher(DRIFT, PEERS, seed)
    weigher.listed(BANKS)
    members = [*BANKS, "unlisted"]
    few = rng.sample(members, rng.randrange(2, len(members)))
    own: dict[str, tuple[str, int]] = {}
    now = 0
    for n in range(120):
        now += rng.choice([0, 1_000, 50_000, 200_000, 1_500_000])
        member = rng.choice(few)
        if rng.random() < 0.3:
            own[member] = rng.choice(["served", "served", "hung", "refused"]), now
        kind = rng.choice(["hung", "refused", "full", *KINDS])
        age = rng.choice([0, 0, 100_000, 1_000_000, 3_000_000])
        history = rng.choice(["h", "i"]) if kind == "position" else ""
        word = Evidence(rng.choice((*PEERS, "x")), 1, n, member, kind, age, history, rng.randrange(9))
        seen = weigher.take(word, own.get(member), now)
        checker.check(word, own.get(member), now, seen)


@given(st.integers(0, 2**32))
def test_no_stream_of_words_does_more_than_it_may(seed: int) -> None:
    checker = InvariantChecker()
    _stream(seed, checker)
    assert checker.violations == []


def _proves_a_role(self: Weigher, member: str, at_us: int, now_us: int, role: bool) -> list[Seen]:
    return [Seen(member, "primary" if role else "check", at_us)]


@pytest.mark.parametrize(
    ("place", "name", "guard", "finds"),
    [
        (weigh, "WITNESSES", 1, "witnesses"),
        (weigh, "WITNESSES", 1, "attested"),
        (Weigher, "_half_suspected", lambda self, bank, now_us: False, "half a bank"),
        (Weigher, "_ignored_until_us", lambda self, member: -1, "own"),
        (Weigher, "_check", _proves_a_role, "act"),
        (weigh, "CHECK_INTERVAL_US", 0, "checks"),
    ],
)
def test_the_removal_of_a_safeguard_is_detected(
    monkeypatch: pytest.MonkeyPatch, place: object, name: str, guard: object, finds: str
) -> None:
    monkeypatch.setattr(place, name, guard)
    checkers = [InvariantChecker() for _ in range(30)]
    for seed, checker in enumerate(checkers):
        _stream(seed, checker)
    assert any(finds in checker.violations for checker in checkers)


def _false_third(own_each_us: int, defended: bool, share: int = 3) -> list[Seen]:
    """What one gateway concludes if all members are healthy and every third node accuses each again and again."""
    peers = tuple(f"p{n}" for n in range(29))
    weigher, seen, own = Weigher(DRIFT, peers, 1), [], None
    weigher.listed(BANKS)
    for n in range(400):
        now = 10**7 + n * 10_000
        if own_each_us and n * 10_000 % own_each_us == 0:
            own = "served", now
        for at, witness in enumerate(peers):
            if at % share == 0:
                kinds = {"hung": "a1", "refused": f"a{n % 5 + 1}"} if n >= 20 else {}  # after the others have reported
                for kind, member in kinds.items():
                    seen += weigher.take(Evidence(witness, 1, n, member, kind, 0), own, now)
            elif defended and at % 6 == 1 and n % 20 == at % 20:  # five of the truthful nodes, five times a second
                for m in range(1, 6):
                    seen += weigher.take(Evidence(witness, 1, n, f"a{m}", "served", 0), own, now)
    return [one for one in seen if one.act == "later"]


def test_a_third_of_false_witnesses_puts_no_member_later_that_serves_us_or_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    last = {one.member: one for one in _false_third(0, defended=False)}  # of the whole bank
    assert last and all(one.until_us == one.at_us for one in last.values())
    monkeypatch.setattr(Weigher, "_half_suspected", lambda self, bank, now_us: False)
    assert _false_third(SERVED_PRIORITY_US - 10_000, defended=False) == []
    assert _false_third(0, defended=True) == []
    # A single false witness, against members that no one defends.
    assert _false_third(0, defended=False, share=29) == []
    assert _false_third(0, defended=False) != []
    monkeypatch.setattr(weigh, "SERVED_PRIORITY_US", 0)
    assert _false_third(SERVED_PRIORITY_US - 10_000, defended=False) != []


def test_a_few_gateways_check_at_once_and_all_of_them_if_evidence_continues() -> None:
    peers = tuple(f"p{n}" for n in range(499))
    gateways = [Weigher(DRIFT, peers, seed) for seed in range(500)]
    asked = [0] * 500
    for draw in range(7):  # ceil(log2(500 / 8)) + 1
        for n, gateway in enumerate(gateways):
            gateway.listed(BANKS)
            claim = Evidence(peers[draw], 1, draw, "a1", "primary", 0)
            asked[n] += len(gateway.take(claim, ("served", 0), draw * 200_000))
        assert draw or 1 <= sum(asked) <= 24
    assert min(asked) >= 1


def test_a_position_rises_as_far_as_two_witnesses_confirm_and_not_across_a_restart() -> None:
    def report(
        witness: str, offset: int, now: int, own: tuple[str, int] | None = None, history: str = "h"
    ) -> list[int]:
        word = Evidence(witness, 1, now, "a1", "position", 1_000, history, offset)
        return [one.offset for one in weigher.take(word, own, now)]

    weigher = Weigher(DRIFT, PEERS)
    weigher.listed(BANKS)
    assert report("p0", 50, 10_000) == [] and report("p0", 90, 20_000) == []
    assert report("p1", 70, 30_000) == [70] and report("p1", 71, 40_000, None, "i") == []
    assert report("p2", 60, 50_000) == [] and report("p2", 80, 60_000) == [80]
    assert report("p1", 10, 70_000) == [] and report("p2", 85, 80_000) == [10]  # the offset fell: the member restarted
    assert report("p1", 99, 390_000, ("reset", 85_000)) == [] and report("p2", 98, 400_000, ("served", 90_000)) == [98]
    seen = weigher.take(Evidence("p3", 1, 1, "a1", "position", 50_000, "h", 99), None, 500_000)
    assert [one.offset for one in seen] == [99] and seen[0].at_us <= 390_000 - 1_000
    assert report("p1", 120, 600_000) == [] and report("p4", 200, 6_000_000) == []  # one of the two reports has expired


def test_a_member_that_was_put_later_is_taken_back() -> None:
    def report(witness: str, member: str, kind: str, now: int, age: int = 0) -> list[tuple[str, bool]]:
        seen = weigher.take(Evidence(witness, 1, now, member, kind, age), None, now)
        return [(one.member, one.until_us > now) for one in seen if one.act == "later"]

    weigher = Weigher(DRIFT, PEERS)
    weigher.listed(BANKS)
    assert report("p0", "a1", "hung", 10) == [] and report("p1", "a1", "reset", 20) == [("a1", True)]
    assert report("p1", "a1", "served", 30) == [("a1", False)]  # a witness counts by its newest report
    for n, member in enumerate(("a2", "a3"), 1):
        report("p0", member, "hung", n * 100)
        assert report("p1", member, "hung", n * 100 + 50) == [(member, True)]
    report("p0", "a4", "hung", 300)
    # Three of five are suspected: none of them is put later.
    assert report("p1", "a4", "hung", 310) == [("a2", False), ("a3", False)]
    assert remaining_life_us(Evidence("p", 1, 1, "m", "omens", 0), DRIFT) == 0 and aged_us(0, DRIFT) == 1
    weigher.listed({})
    weigher.listed(BANKS)
    for n, member in enumerate(("a1", "a2")):  # on old evidence, which expires before the third member is accused
        report("p0", member, "hung", 10**7 + n, 3_950_000)
        assert report("p1", member, "hung", 10**7 + n, 3_950_000) == [(member, True)]
    report("p0", "a3", "hung", 10**7 + 100_000)
    assert report("p1", "a3", "hung", 10**7 + 100_000) == [("a1", False), ("a2", False)]
    report("p0", "a4", "hung", 2 * 10**7)
    assert report("p1", "a4", "hung", 2 * 10**7) == [("a4", True)]
    for member in ("a1", "a2", "a3"):  # these do not serve us ourselves
        weigher.take(Evidence("p0", 1, 1, member, "served", 0), ("hung", 25 * 10**6), 25 * 10**6)
    assert report("p0", "a4", "hung", 25 * 10**6) == report("p1", "a4", "hung", 25 * 10**6) == []
    weigher.listed({"a4": "a"}, 3 * 10**7)
    # The only member of its bank is not put later.
    assert report("p0", "a4", "hung", 3 * 10**7) == report("p1", "a4", "hung", 3 * 10**7) == []
