"""How fast and at what cost evidence spreads, and that it never does more at a receiver than it may."""

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
MOST_WAY_US = 3 * STEP_US


class Net:
    """Nodes whose clocks run apart, over links that delay, and lose one message in ten; `cut` parts them in two."""

    def __init__(self, size: int, seed: int) -> None:
        self.draw = random.Random(seed)
        self.names = names = tuple(f"gateway-{n}" for n in range(size))
        self.nodes = {one: Spread(one, 1, names, seed * 1000 + n, DRIFT) for n, one in enumerate(names)}
        clocks = [(self.draw.randrange(10**9), self.draw.uniform(1 / (1 + DRIFT), 1 + DRIFT)) for _ in names]
        self.clocks = dict(zip(names, clocks, strict=True))
        self.now = self.cut = self.sent = self.most_bytes = 0
        self.way: dict[int, list[tuple[str, str, Gossip]]] = {}
        self.at: dict[tuple[str, int], dict[str, int]] = {}  # who knew a word when
        self.born: dict[tuple[str, int], int] = {}
        self.recent: dict[str, list[tuple[int, int]]] = {one: [] for one in names}

    def clock(self, name: str) -> int:
        return self.clocks[name][0] + round(self.now * self.clocks[name][1])

    def saw(self, name: str, member: str, kind: str) -> tuple[str, int]:
        assert self.nodes[name].saw(member, kind, self.clock(name))
        key = name, self.nodes[name]._serial
        self.at[key], self.born[key] = {name: self.now}, self.now
        return key

    def here(self) -> None:
        """All know whom they can reach."""
        for at, name in enumerate(self.names):
            part = self.names[: self.cut] if at < self.cut else self.names[self.cut :]
            self.nodes[name].set_alive(tuple(one for one in part if one != name), self.clock(name))

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP_US
            for sender, to, gossip in self.way.pop(self.now, []):
                new, effects = self.nodes[to].receive(sender, gossip, self.clock(to))
                assert not effects
                for key in [(word.witness, word.serial) for word in new if (word.witness, word.serial) in self.at]:
                    assert to not in self.at[key]
                    self.at[key][to] = self.now
            for name, node in self.nodes.items():
                for effect in node.tick(self.clock(name)) if node.due_us < NEVER_US else []:
                    assert isinstance(effect, Tell) and isinstance(effect.message, Gossip)
                    self._send(name, effect.to, effect.message)

    def _send(self, name: str, to: str, gossip: Gossip) -> None:
        size = len(msgspec.msgpack.encode(gossip)) + 150  # a tag, a sender's name, numbers
        self.recent[name] = [one for one in self.recent[name] if one[0] > self.now - 1_000_000] + [(self.now, size)]
        self.most_bytes = max(self.most_bytes, sum(one for _, one in self.recent[name]))
        self.sent += 1
        whole = (self.names.index(name) < self.cut) == (self.names.index(to) < self.cut)
        if whole and self.draw.random() >= 0.1:
            at = self.now + STEP_US * self.draw.randrange(1, MOST_WAY_US // STEP_US + 1)
            self.way.setdefault(at, []).append((name, to, gossip))

    def rounds(self, key: tuple[str, int]) -> float:
        """After how many rounds all knew it, each a round's time and one way."""
        whole = len(self.at[key]) == len(self.names)
        return (max(self.at[key].values()) - self.born[key]) / (ROUND_US + MOST_WAY_US) if whole else 1e9


@pytest.mark.parametrize(("size", "seeds"), [(5, 60), (50, 12), (500, 3)])
def test_a_fresh_word_reaches_all_within_the_rounds_and_then_nothing_is_sent(size: int, seeds: int) -> None:
    for seed in range(seeds):
        net = Net(size, seed)
        net.run(20)
        assert net.sent == 0  # nothing new, nothing sent
        key = net.saw(net.names[seed % size], "m", "hung")
        net.run(most_rounds(size) * 16)
        assert net.rounds(key) <= most_rounds(size)
        assert all(node.due_us == NEVER_US for node in net.nodes.values())
        assert net.sent <= size * most_rounds(size) * spread.FAN_OUT


@pytest.mark.parametrize(("size", "tenths"), [(5, 40), (50, 20), (500, 3)])
def test_a_storm_stays_under_the_ceiling_and_what_matters_gets_through(size: int, tenths: int) -> None:
    net = Net(size, 3)
    for step in range(tenths):
        for n, name in enumerate(net.names):
            for m in range(step % 2, 20, 2):
                net.nodes[name].saw(f"member-{m}", "position", net.clock(name), "h" * 40, step * 100 + n)
        if step == 2:
            key = net.saw(net.names[0], "member-1", "hung")
            assert all(net.saw(name, "member-2", "reset") for name in net.names)  # none of them is news twice
        net.run(10)
    net.run(80)
    assert MAX_BYTES_PER_S / 4 < net.most_bytes <= MAX_BYTES_PER_S
    assert net.rounds(key) <= most_rounds(size)


@pytest.mark.parametrize(("size", "heals"), [(6, True), (50, True), (50, False)])
def test_after_a_cut_what_still_lives_goes_on(size: int, heals: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if not heals:
        monkeypatch.setattr(Spread, "_heal", lambda self, now_us: setattr(self, "_heal_us", NEVER_US))
    net = Net(size, 5)
    net.cut = size // 2
    net.here()
    key = net.saw(net.names[0], "m", "hung")
    net.run(200)
    assert len(net.at[key]) == size // 2
    net.cut = 0
    net.here()
    net.born[key] = net.now
    net.run(most_rounds(size) * 13)
    assert (net.rounds(key) <= most_rounds(size)) == heals


Holds = list[tuple[int, bool]]


def _age_at_end(holds: Holds) -> tuple[int, int]:
    """The true age, and that told, of a word kept so long from hand to hand by clocks at either end of the drift."""
    names = tuple(f"n{n}" for n in range(len(holds) + 1))
    rates = [1 + DRIFT if fast else 1 / (1 + DRIFT) for _, fast in holds] + [1.0]
    nodes = [Spread(one, 1, names, 1, DRIFT) for one in names]
    assert nodes[0].saw("m", "hung", 0)
    true = age = 0
    for at, (hold, _) in enumerate(holds):
        true += hold
        told = nodes[at].tick(round(true * rates[at]))[0]
        assert isinstance(told, Tell) and isinstance(told.message, Gossip)
        age = nodes[at + 1].receive(names[at], told.message, round(true * rates[at + 1]))[0][0].age_us
    return true, age


@given(st.lists(st.tuples(st.integers(0, 700_000), st.booleans()), min_size=1, max_size=5))
def test_an_age_is_never_too_small(holds: Holds) -> None:
    true, age = _age_at_end(holds)
    assert true - len(holds) <= age <= true * (1 + 3 * DRIFT) + 3 * len(holds)


@pytest.mark.parametrize("grows", [lambda passed_us, drift: 0, lambda passed_us, drift: max(0, passed_us)])
def test_an_age_that_does_not_grow_is_found(monkeypatch: pytest.MonkeyPatch, grows: object) -> None:
    monkeypatch.setattr(spread, "aged_us", grows)
    true, age = _age_at_end([(600_000, False)] * 4)
    assert age < true - 4


def test_own_words_that_come_back_and_late_ones_are_not_news() -> None:
    node = Spread("a", 2, ("a", "b", "c"), 1, DRIFT)
    own = Evidence("a", 1, 7, "m", "hung", 0)
    late = Evidence("c", 1, 7, "m", "hung", 3_000_000)
    new, _ = node.receive("b", Gossip((own, late)), 10**7, late_us=1_000_000)
    assert new == [] and node.due_us == NEVER_US
    assert node.receive("x", Gossip((late,)), 10**7) == ([], [])  # nobody we know
    assert node.receive("b", Gossip((late, late)), 10**7)[0] == [late]
    fine = msgspec.structs.replace(late, offset=5, history="h")
    for wrong in ({"member": "\ud800"}, {"offset": 2**63}, {"kind": "omens"}, {"age_us": -1}, {"history": "h" * 65}):
        assert is_valid(fine) and not is_valid(msgspec.structs.replace(fine, **wrong))


def test_what_matters_most_goes_first_and_the_same_again_does_not() -> None:
    node = Spread("a", 1, ("a", "b"), 1, DRIFT)
    assert node.saw("m", "hung", 0) and not node.saw("m", "hung", 199_999)
    assert all(node.saw(f"m{n}", "position", 200_000, "h" * 40, n) for n in range(40))
    told = node.tick(200_000)[0]
    assert isinstance(told, Tell) and isinstance(told.message, Gossip) and len(told.message.evidence) < 40
    assert told.message.evidence[0].kind == "hung" and node.saw("m", "hung", 200_000)


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


def test_a_flood_finds_a_bound_and_what_matters_more_finds_room() -> None:
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


class Judge:
    """Looks at what went into a weigher and what came out, and finds what may never be."""

    def __init__(self) -> None:
        self.words: list[tuple[Evidence, int]] = []
        self.later: dict[str, int] = {}
        self.checked: dict[str, int] = {}
        self.found: list[str] = []

    def look(self, word: Evidence, own: tuple[str, int] | None, now: int, seen: list[Seen]) -> None:
        if is_valid(word) and word.witness in PEERS and word.age_us < KINDS[word.kind].life_us:
            self.words.append((word, now))
        for one in seen:
            self._look(one, own, now)
        for bank in ("a", "b", "c"):
            put = [m for m, until in self.later.items() if until > now and BANKS[m] == bank]
            if put and 2 * len(put) >= list(BANKS.values()).count(bank):
                self.found.append("half a bank")

    def _look(self, one: Seen, own: tuple[str, int] | None, now: int) -> None:
        if one.act not in ("check", "later", "position") or one.member not in BANKS or one.at_us > now:
            self.found.append("act")
        if one.act == "check":
            if now - self.checked.get(one.member, -(10**9)) < 200_000:
                self.found.append("checks")
            self.checked[one.member] = now
        if one.act == "position":
            those = {w.witness for w, _ in self.words if w.history == one.history and w.offset >= one.offset}
            if len(those) < 2:
                self.found.append("attested")
        if one.act == "later":
            self.later[one.member] = one.until_us
            if one.until_us <= now:
                return
            if one.until_us > now + 2_000_000:
                self.found.append("too long")
            after = -1 if own is None else own[1] + (SERVED_PRIORITY_US if own[0] == "served" else 0)
            accuse = [(w, at) for w, at in self.words if w.member == one.member and KINDS[w.kind].allows == LATER]
            if len({w.witness for w, _ in accuse}) < 2:
                self.found.append("witnesses")
            elif len({w.witness for w, at in accuse if at - w.age_us > after}) < 2:
                self.found.append("own")


def _stream(seed: int, judge: Judge) -> None:
    """Random words about random members, own evidence now and then."""
    draw = random.Random(seed)
    weigher = Weigher(DRIFT, PEERS, seed)
    weigher.listed(BANKS)
    members = [*BANKS, "unlisted"]
    few = draw.sample(members, draw.randrange(2, len(members)))
    own: dict[str, tuple[str, int]] = {}
    now = 0
    for n in range(120):
        now += draw.choice([0, 1_000, 50_000, 200_000, 1_500_000])
        member = draw.choice(few)
        if draw.random() < 0.3:
            own[member] = draw.choice(["served", "served", "hung", "refused"]), now
        kind = draw.choice(["hung", "refused", "full", *KINDS])
        age = draw.choice([0, 0, 100_000, 1_000_000, 3_000_000])
        history = draw.choice(["h", "i"]) if kind == "position" else ""
        word = Evidence(draw.choice((*PEERS, "x")), 1, n, member, kind, age, history, draw.randrange(9))
        seen = weigher.take(word, own.get(member), now)
        judge.look(word, own.get(member), now, seen)


@given(st.integers(0, 2**32))
def test_no_stream_of_words_does_more_than_it_may(seed: int) -> None:
    judge = Judge()
    _stream(seed, judge)
    assert judge.found == []


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
def test_a_guard_taken_out_is_found(
    monkeypatch: pytest.MonkeyPatch, place: object, name: str, guard: object, finds: str
) -> None:
    monkeypatch.setattr(place, name, guard)
    judges = [Judge() for _ in range(30)]
    for seed, judge in enumerate(judges):
        _stream(seed, judge)
    assert any(finds in judge.found for judge in judges)


def _false_third(own_each_us: int, defended: bool, share: int = 3) -> list[Seen]:
    """All members are well; every third node accuses each of them again and again. What one gateway makes of it."""
    peers = tuple(f"p{n}" for n in range(29))
    weigher, seen, own = Weigher(DRIFT, peers, 1), [], None
    weigher.listed(BANKS)
    for n in range(400):
        now = 10**7 + n * 10_000
        if own_each_us and n * 10_000 % own_each_us == 0:
            own = "served", now
        for at, witness in enumerate(peers):
            if at % share == 0:
                kinds = {"hung": "a1", "refused": f"a{n % 5 + 1}"} if n >= 20 else {}  # the others have spoken before
                for kind, member in kinds.items():
                    seen += weigher.take(Evidence(witness, 1, n, member, kind, 0), own, now)
            elif defended and at % 6 == 1 and n % 20 == at % 20:  # five of the true ones, five times a second
                for m in range(1, 6):
                    seen += weigher.take(Evidence(witness, 1, n, f"a{m}", "served", 0), own, now)
    return [one for one in seen if one.act == "later"]


def test_a_third_false_witnesses_put_nobody_later_that_serves_us_or_them(monkeypatch: pytest.MonkeyPatch) -> None:
    last = {one.member: one for one in _false_third(0, defended=False)}  # of the whole bank
    assert last and all(one.until_us == one.at_us for one in last.values())
    monkeypatch.setattr(Weigher, "_half_suspected", lambda self, bank, now_us: False)
    assert _false_third(SERVED_PRIORITY_US - 10_000, defended=False) == []
    assert _false_third(0, defended=True) == []
    assert _false_third(0, defended=False, share=29) == []  # one alone, against members that nobody speaks for
    assert _false_third(0, defended=False) != []
    monkeypatch.setattr(weigh, "SERVED_PRIORITY_US", 0)
    assert _false_third(SERVED_PRIORITY_US - 10_000, defended=False) != []


def test_a_few_gateways_ask_at_once_and_all_of_them_if_it_goes_on() -> None:
    peers = tuple(f"p{n}" for n in range(499))
    gateways = [Weigher(DRIFT, peers, seed) for seed in range(500)]
    asked = [0] * 500
    for draw in range(7):  # ceil(log2(500 / 8)) + 1
        for n, one in enumerate(gateways):
            one.listed(BANKS)
            asked[n] += len(one.take(Evidence(peers[draw], 1, draw, "a1", "primary", 0), ("served", 0), draw * 200_000))
        assert draw or 1 <= sum(asked) <= 24
    assert min(asked) >= 1


def test_a_position_goes_as_far_as_two_attest_and_not_over_a_new_start() -> None:
    def give(witness: str, offset: int, now: int, own: tuple[str, int] | None = None, history: str = "h") -> list[int]:
        word = Evidence(witness, 1, now, "a1", "position", 1_000, history, offset)
        return [one.offset for one in weigher.take(word, own, now)]

    weigher = Weigher(DRIFT, PEERS)
    weigher.listed(BANKS)
    assert give("p0", 50, 10_000) == [] and give("p0", 90, 20_000) == []
    assert give("p1", 70, 30_000) == [70] and give("p1", 71, 40_000, None, "i") == []
    assert give("p2", 60, 50_000) == [] and give("p2", 80, 60_000) == [80]
    assert give("p1", 10, 70_000) == [] and give("p2", 85, 80_000) == [10]  # it went back: it began anew
    assert give("p1", 99, 390_000, ("reset", 85_000)) == [] and give("p2", 98, 400_000, ("served", 90_000)) == [98]
    seen = weigher.take(Evidence("p3", 1, 1, "a1", "position", 50_000, "h", 99), None, 500_000)
    assert [one.offset for one in seen] == [99] and seen[0].at_us <= 390_000 - 1_000
    assert give("p1", 120, 600_000) == [] and give("p4", 200, 6_000_000) == []  # one of the two has died


def test_what_was_put_later_is_taken_back() -> None:
    def give(witness: str, member: str, kind: str, now: int, age: int = 0) -> list[tuple[str, bool]]:
        seen = weigher.take(Evidence(witness, 1, now, member, kind, age), None, now)
        return [(one.member, one.until_us > now) for one in seen if one.act == "later"]

    weigher = Weigher(DRIFT, PEERS)
    weigher.listed(BANKS)
    assert give("p0", "a1", "hung", 10) == [] and give("p1", "a1", "reset", 20) == [("a1", True)]
    assert give("p1", "a1", "served", 30) == [("a1", False)]  # it is on the side of its newest word
    for n, member in enumerate(("a2", "a3"), 1):
        give("p0", member, "hung", n * 100)
        assert give("p1", member, "hung", n * 100 + 50) == [(member, True)]
    give("p0", "a4", "hung", 300)
    assert give("p1", "a4", "hung", 310) == [("a2", False), ("a3", False)]  # three of five: none of them
    assert remaining_life_us(Evidence("p", 1, 1, "m", "omens", 0), DRIFT) == 0 and aged_us(0, DRIFT) == 1
    weigher.listed({})
    weigher.listed(BANKS)
    for n, member in enumerate(("a1", "a2")):  # on old words, that die before the third member is accused
        give("p0", member, "hung", 10**7 + n, 3_950_000)
        assert give("p1", member, "hung", 10**7 + n, 3_950_000) == [(member, True)]
    give("p0", "a3", "hung", 10**7 + 100_000)
    assert give("p1", "a3", "hung", 10**7 + 100_000) == [("a1", False), ("a2", False)]
    give("p0", "a4", "hung", 2 * 10**7)
    assert give("p1", "a4", "hung", 2 * 10**7) == [("a4", True)]
    for member in ("a1", "a2", "a3"):  # we ourselves are not served by these
        weigher.take(Evidence("p0", 1, 1, member, "served", 0), ("hung", 25 * 10**6), 25 * 10**6)
    assert give("p0", "a4", "hung", 25 * 10**6) == give("p1", "a4", "hung", 25 * 10**6) == []
    weigher.listed({"a4": "a"}, 3 * 10**7)
    assert give("p0", "a4", "hung", 3 * 10**7) == give("p1", "a4", "hung", 3 * 10**7) == []  # the last of its bank
