"""How a keeper without its file gets to vote again, and how a new one begins. No I/O.

What may live here: lives, whom a keeper has met, and the copying of registers. A keeper's file has a *life*, a number
drawn when the file is made; a file lost and made anew is a newer life. There are 2f + 1 keepers; f + 1 decide.

**Meeting.** A keeper K in a new life asks all others for a copy. Each of them first has "K lives L" on disk (`Met`),
then answers with its registers, page by page; from then on each of its votes bears (K, L). One that has met a newer
life of K says so, and K takes a number above it: so of K's lives that ever voted, the later has the higher number.
K votes once f + 1 of the others, all voting themselves and `sound` together, have handed over all their registers: it
has then the highest promise and the highest accepted record of each key, and the others' `met`.

**Why it is safe.** A proposer counts only votes that are sound together (`quorum`): none knows of a newer life of
another. Let V be such a set of f + 1 votes, promises of ballot b or acceptances at b, one of them by K in life L, and
let K later vote in life L' > L. Claim: K in L' begins with a promise, or an accepted record, at b or higher.
Proof: V has f voters besides K, and K copied from f + 1 of the 2f others, so some X did both. If X voted for V before
it handed over to L', what it handed over has the vote (pages wait for the `Keep` of all before them). If after, its
vote bears (K, L') and K's vote of life L is not sound in V. If X voted in one life and handed over in a later one, X
had copied the vote when that life began, by this claim for X. If it handed over in one life and voted in a later one,
that later life had copied from f + 1 others, of which some Z had also handed over to K's L': either Z met K first, and
X got (K, L') with Z's `met`, so its vote bears it; or Z met X's later life first, and told K so, and K did not count
what X's earlier life handed over. []
Now let b be accepted by a sound majority and b' > b be promised by another. They share a keeper K. If both votes are of
one life, K accepted first (the promise shows it) or would have refused. If it accepted in the earlier life, the later
one began with that record and its promise shows it. If it promised in the earlier life, the later one began with that
promise and refused b. So who has a majority for b' has seen what was accepted at b or since: as in Paxos.
A record taken over under a higher promise is marked `copied`: it is shown with promises, but is no vote for it.

It does not suffice that an acceptor refuses what is built on an old life of K which it knows to be over: with five
keepers one that K did not copy from knows nothing, and one acceptance at a higher ballot misleads the next majority.

**A new fleet.** Nobody can hand anything over. A keeper votes, with what it has, once all 2f others have said that they
had never voted when they first met its life (`fresh`), and once it has met theirs: votes from before would need one of
them. Whoever voted and lost its file says the same; so the proof needs that of all the other keepers at least one has
kept its file since the fleet began. With fewer left an operator has to say that a keeper may begin (`trusted`): it
then asks for a while and begins with what it got. So it is with a single keeper, whose new file cannot be told from a
lost one.

An old file that comes back after a newer life began has votes that are not sound with those of any of the f + 1 that
met the newer one, so it decides nothing. An older copy of a file put in the place of one of the same life is not seen.
"""

from dataclasses import dataclass
from random import Random

from msgspec.structs import replace

from oatlink.fleet.messages import (
    NEVER_US,
    Copied,
    Copy,
    Effect,
    Keep,
    Kept,
    Message,
    Met,
    Note,
    Standing,
    Tell,
)
from oatlink.fleet.registers.quorum import Vote, majority, sound
from oatlink.fleet.registers.voting import Voting, joined

MAX_PAGE_BYTES = 12_000  # a page has one register at least
MAX_PAGE_REGISTERS = 64
REGISTERS_PER_KEEP = 256  # registers in one `Keep`
ASK_US = 200_000  # between questions to one that does not answer; twice as long each time
MAX_ASK_US = 2_000_000
TRUSTED_ASK_US = (
    3_000_000  # asked for by an operator's word: time for the others to tell a newer life, and what they have
)


@dataclass(slots=True)
class Source:
    """What another keeper, in one life, has handed over so far."""

    life: int
    fresh: bool = False
    met: tuple[tuple[str, int], ...] = ()
    after: str = ""
    done: bool = False


def drawn(rng: Random) -> int:
    """The number of a new life."""
    return 1 + rng.getrandbits(40)


class Recovery:
    """A keeper's lives: its own, until it votes, and those of the others, which it hands its registers to."""

    def __init__(self, node: str, keepers: tuple[str, ...], voting: Voting, rng: Random, trusted: bool) -> None:
        self._node = node
        self._others = tuple(one for one in keepers if one != node)
        self._need = majority(len(keepers))
        self._voting, self._rng, self._trusted = voting, rng, trusted
        self._sources: dict[str, Source] = {}
        self._pause_us = ASK_US
        self._trust_us = NEVER_US
        self.due_us = NEVER_US if voting.standing.begun else 0

    def tick(self, now_us: int) -> list[Effect]:
        """Ask whoever has not handed over all, until this keeper votes."""
        if self._voting.standing.begun or now_us < self.due_us:
            return []
        if self._trusted:
            self._trust_us = min(self._trust_us, now_us + TRUSTED_ASK_US)
            if now_us >= self._trust_us or not self._others:
                return self._begin({}, "by an operator's word")
        self.due_us = now_us + self._pause_us + self._rng.randrange(ASK_US // 2)
        self._pause_us = min(2 * self._pause_us, MAX_ASK_US)
        waiting = [one for one in self._others if one not in self._sources or not self._sources[one].done]
        # Its own life is on disk before it tells it: one that is told and forgotten is a life more for everyone.
        return [Keep((), tuple(self._question(one) for one in waiting), self._voting.standing)]

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Take a `Copy` or a `Copied`."""
        if sender not in self._others:
            return []
        if isinstance(message, Copy):
            return self._copy(sender, message)
        if isinstance(message, Copied) and not self._voting.standing.begun:
            return self._copied(sender, message, now_us)
        return []

    # ---- Handing over ----

    def _copy(self, sender: str, asked: Copy) -> list[Effect]:
        standing = self._voting.standing
        known = {one.keeper: one for one in standing.met}
        met = known.get(sender)
        if met is None or met.life < asked.life:
            met = known[sender] = Met(sender, asked.life, fresh=not standing.begun)
            standing = self._voting.standing = replace(standing, met=tuple(known.values()))
        answer = Copied(asked.life, asked.after, standing.life, standing.begun)
        if met.life > asked.life:
            answer = replace(answer, newest=met.life)
        else:
            answer = replace(answer, fresh=met.fresh, met=self._voting.met)
            if standing.begun:
                page, last = self._page(asked.after)
                answer = replace(answer, registers=page, last=last)
        return [Keep((), (Tell(sender, answer),), standing)]

    def _page(self, after: str) -> tuple[tuple[Kept, ...], bool]:
        registers = self._voting.registers
        page: list[Kept] = []
        size = 0
        for key in sorted(one for one in registers if one > after):
            record = registers[key].record
            size += 300 + len(key) + len(record.writer) + len(record.value)
            if page and (size > MAX_PAGE_BYTES or len(page) >= MAX_PAGE_REGISTERS):
                return tuple(page), False
            page.append(registers[key])
        return tuple(page), True

    # ---- Taking over ----

    def _question(self, other: str) -> Tell:
        source = self._sources.get(other)
        return Tell(other, Copy(self._voting.standing.life, source.after if source else ""))

    def _copied(self, sender: str, page: Copied, now_us: int) -> list[Effect]:
        standing = self._voting.standing
        if page.life != standing.life:
            return []
        if page.newest >= standing.life:
            # This number was had before, or one above it: a higher one, and all over again.
            life = page.newest + drawn(self._rng)
            self._voting.standing = replace(standing, life=life)
            self._sources.clear()
            self._pause_us, self.due_us = ASK_US, now_us
            return self.tick(now_us)
        source = self._sources.get(sender)
        if source is None or source.life < page.own:
            source = self._sources[sender] = Source(page.own)
        if source.life > page.own:
            return []  # said in a life before
        source.fresh, source.met = page.fresh, page.met
        more: list[Effect] = []
        if page.begun and not source.done and page.after == source.after and (page.registers or page.last):
            for one in page.registers:
                self._voting.registers[one.key] = joined(self._voting.registers.get(one.key), one)
                source.after = max(source.after, one.key)
            source.done = page.last
            if not page.last:
                more = [self._question(sender)]
        return self._ready() or more

    def _ready(self) -> list[Effect]:
        """Begin, if enough have handed over or all have said that nothing was ever voted."""
        votes = {name: Vote(one.life, one.met) for name, one in self._sources.items()}
        own = {"": Vote(0, self._voting.met)}
        valid = [name for name in sound(votes | own) if name in self._sources]
        done = [name for name in valid if self._sources[name].done]
        if len(done) >= self._need:
            met = {one.keeper: one for one in self._voting.standing.met}
            for name in valid:
                for keeper, life in ((name, self._sources[name].life), *self._sources[name].met):
                    if keeper != self._node and (keeper not in met or met[keeper].life < life):
                        met[keeper] = Met(keeper, life)
            return self._begin(met, f"with the registers of {len(done)} others")
        if self._others and len(valid) == len(self._others) and all(one.fresh for one in self._sources.values()):
            met = {name: Met(name, one.life, fresh=True) for name, one in self._sources.items()}
            return self._begin(met, "in a new fleet")
        return []

    def _begin(self, met: dict[str, Met], how: str) -> list[Effect]:
        kept = list(self._voting.registers.values())
        chunks = [tuple(kept[at : at + REGISTERS_PER_KEEP]) for at in range(0, len(kept), REGISTERS_PER_KEEP)]
        all_met = {one.keeper: one for one in self._voting.standing.met} | met
        standing = Standing(self._voting.standing.life, begun=True, met=tuple(all_met.values()))
        self._voting.standing = standing
        self._sources.clear()
        self.due_us = NEVER_US
        # The file says that this keeper votes only after it has all that it votes by.
        return [*(Keep(one, ()) for one in chunks), Keep((), (), standing), Note("keeper_votes", how)]
