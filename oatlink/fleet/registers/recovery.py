"""How a keeper becomes able to vote again after its file was lost, and how the keepers of a new fleet begin. No I/O.

A keeper's file has a *life*, a number that is drawn when the file is created. A file that was lost and created again is
a newer life. There are 2f + 1 keepers; f + 1 of them decide.

**Meeting.** A keeper K in a new life asks all others for a copy of their registers. Each of them first stores "K lives
L" on disk (`Met`), then answers with its registers, page by page; from then on each of its votes carries (K, L). A
keeper that has met a newer life of K reports it, and K takes a number above it: so of those lives of K that ever voted,
the later one has the higher number. K votes once f + 1 of the others, all of which vote and are valid together
(`valid_votes`), have handed over all their registers. It then has the highest promise and the highest accepted record
of each key, and the `met` of the others.

**Why this is safe.** A proposer counts only votes that are valid together (`quorum`): none of them knows of a newer
life of another. Let V be such a set of f + 1 votes, promises of ballot b or acceptances at b, one of them by K in life
L, and let K later vote in life L' > L. Claim: K in L' begins with a promise, or an accepted record, at b or higher.

Proof: V has f voters besides K, and K copied from f + 1 of the 2f others, so some X did both. If X voted for V before
it handed over to L', what it handed over includes the vote (pages wait for the `Keep` of all before them). If X voted
afterwards, its vote carries (K, L') and the vote of K's life L is not valid in V. If X voted in one life and handed
over in a later one, X had copied the vote when that life began, by this claim for X. If X handed over in one life and
voted in a later one, that later life had copied from f + 1 others, of which some Z had also handed over to K's L'.
Either Z met K first, and X got (K, L') with the `met` of Z, so that its vote carries it; or Z met the later life of X
first and reported it to K, and K did not count what the earlier life of X handed over. (End of proof.)

Now let b be accepted by a valid majority, and let b' > b be promised by another one. They have a keeper K in common. If
both votes are of one life, K accepted first (the promise reports it), or it would have refused. If it accepted in the
earlier life, the later one began with that record and its promise reports it. If it promised in the earlier life, the
later one began with that promise and refused b. So a proposer with a majority for b' has seen what was accepted at b or
since, as in Paxos.

A record that was copied under a higher promise is marked `copied`: it is reported with promises, but is no vote for it.

It is not enough that an acceptor refuses requests based on a life of K that it knows to be over: with five keepers, one
that K did not copy from knows nothing of it, and one acceptance at a higher ballot misleads the next majority.

**A new fleet.** No keeper can hand anything over. A keeper votes, with what it has, once all 2f others have stated that
they had never voted when they first met its life (`fresh`), and once it has met theirs: votes from before would need
one of them. A keeper that voted and lost its file states the same. So the proof needs that of all the other keepers at
least one has kept its file since the fleet began. If fewer are left, an operator has to state that a keeper may begin
(`trusted`): it then asks for a while and begins with what it got. The same applies to a single keeper, whose new file
cannot be distinguished from a lost one.

An old file that reappears after a newer life began has votes that are not valid together with those of any of the f + 1
keepers that met the newer life, so it decides nothing. An older copy of a file of the same life is not detected.
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
from oatlink.fleet.registers.quorum import Vote, majority, valid_votes
from oatlink.fleet.registers.voting import Voting, merge

MAX_PAGE_BYTES = 12_000  # a page has at least one register
MAX_PAGE_REGISTERS = 64
REGISTERS_PER_KEEP = 256
ASK_US = 200_000  # before a keeper that has not answered is asked again; doubled each time
MAX_ASK_US = 2_000_000
TRUSTED_ASK_US = 3_000_000  # when trusted: time for the others to report a newer life and to hand over their registers


@dataclass(slots=True)
class Source:
    """What another keeper, in one life, has handed over so far."""

    life: int
    fresh: bool = False
    met: tuple[tuple[str, int], ...] = ()
    after: str = ""  # the last key received
    done: bool = False


def draw_life(rng: Random) -> int:
    """Return the number of a new life."""
    return 1 + rng.getrandbits(40)


class Recovery:
    """Handles this keeper's own life until it votes, and the lives of others, to which it sends its registers."""

    def __init__(self, node: str, keepers: tuple[str, ...], voting: Voting, rng: Random, trusted: bool) -> None:
        self._node = node
        self._others = tuple(keeper for keeper in keepers if keeper != node)
        self._need = majority(len(keepers))
        self._voting, self._rng, self._trusted = voting, rng, trusted
        self._sources: dict[str, Source] = {}
        self._pause_us = ASK_US
        self._trust_us = NEVER_US
        self.due_us = NEVER_US if voting.standing.begun else 0

    def tick(self, now_us: int) -> list[Effect]:
        """Ask the keepers that have not handed over everything, until this keeper votes."""
        if self._voting.standing.begun or now_us < self.due_us:
            return []
        if self._trusted:
            self._trust_us = min(self._trust_us, now_us + TRUSTED_ASK_US)
            if now_us >= self._trust_us or not self._others:
                return self._begin({}, "by an operator's command")
        self.due_us = now_us + self._pause_us + self._rng.randrange(ASK_US // 2)
        self._pause_us = min(2 * self._pause_us, MAX_ASK_US)
        waiting = [name for name in self._others if name not in self._sources or not self._sources[name].done]
        # This life is stored before others learn of it: if it were announced and then forgotten, it would count as one
        # more life.
        return [Keep((), tuple(self._question(name) for name in waiting), self._voting.standing)]

    def receive(self, sender: str, message: Message, now_us: int) -> list[Effect]:
        """Handle a `Copy` or a `Copied`."""
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
        known = {met.keeper: met for met in standing.met}
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
        size_bytes = 0
        for key in sorted(key for key in registers if key > after):
            record = registers[key].record
            size_bytes += 300 + len(key) + len(record.writer) + len(record.value)
            if page and (size_bytes > MAX_PAGE_BYTES or len(page) >= MAX_PAGE_REGISTERS):
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
            # The sender has met this number or a higher one before: start again with a number above it.
            life = page.newest + draw_life(self._rng)
            self._voting.standing = replace(standing, life=life)
            self._sources.clear()
            self._pause_us, self.due_us = ASK_US, now_us
            return self.tick(now_us)
        source = self._sources.get(sender)
        if source is None or source.life < page.own:
            source = self._sources[sender] = Source(page.own)
        if source.life > page.own:
            return []  # sent in an earlier life
        source.fresh, source.met = page.fresh, page.met
        next_question: list[Effect] = []
        if page.begun and not source.done and page.after == source.after and (page.registers or page.last):
            for register in page.registers:
                self._voting.registers[register.key] = merge(self._voting.registers.get(register.key), register)
                source.after = max(source.after, register.key)
            source.done = page.last
            if not page.last:
                next_question = [self._question(sender)]
        return self._begin_if_ready() or next_question

    def _begin_if_ready(self) -> list[Effect]:
        """Begin if enough others have handed over, or if all have stated that nothing was ever voted."""
        votes = {name: Vote(source.life, source.met) for name, source in self._sources.items()}
        own = {"": Vote(0, self._voting.met)}
        valid = [name for name in valid_votes(votes | own) if name in self._sources]
        done = [name for name in valid if self._sources[name].done]
        if len(done) >= self._need:
            met = {one.keeper: one for one in self._voting.standing.met}
            for name in valid:
                for keeper, life in ((name, self._sources[name].life), *self._sources[name].met):
                    if keeper != self._node and (keeper not in met or met[keeper].life < life):
                        met[keeper] = Met(keeper, life)
            return self._begin(met, f"with the registers of {len(done)} others")
        if self._others and len(valid) == len(self._others) and all(one.fresh for one in self._sources.values()):
            met = {name: Met(name, source.life, fresh=True) for name, source in self._sources.items()}
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
        # The file states that this keeper votes only after it contains all registers that the votes rely on.
        return [*(Keep(chunk, ()) for chunk in chunks), Keep((), (), standing), Note("keeper_votes", how)]
