"""The ways to one box: how each is doing, which is used, which is tried next, and what a lost one says. No I/O.

A box has one or more addresses; each is a path with a state of its own.

    untried   nothing is known
    good      it has answered, and nothing has gone wrong since
    suspect   something went wrong on it; new work goes elsewhere until it has answered
    failed    not used, and not tried before its next try

Order, for a dial and for the choice of the path that new requests go on:

1. good and untried alike, suspect, then failed ones whose next try has come; one that lags behind another (answers to
   the same question take `LAG` times as long, and `LAG_US` more) comes after all good ones;
2. a Unix socket, then an address in the gateway's own hall, then the others;
3. IPv6 before IPv4 before names (RFC 6724, section 6), then the order of the list.

Attempts for one connection are staggered (RFC 8305, section 5): the next path begins when the one before it has failed,
or has said nothing for `stagger_us`. A proxy dials rarely and keeps what it has, so unlike there the first to answer
does not become the path that is preferred: it only carries what waits.

A path that was left is returned to once it has been good for a while without a break, longer each time that it did not
hold. A failed path is tried ever more rarely, spread by chance; a path that takes requests and loses the answers is not
made good by answered probes alone. Of one path nothing is ever given up for good.

What speaks of the box and not of the path: every path failed. See `only_the_path`.
"""

from dataclasses import dataclass, field
from enum import Enum

from oatlink.core.draws import drawn


class State(Enum):
    """How a path is doing."""

    UNTRIED = "untried"
    GOOD = "good"
    SUSPECT = "suspect"
    FAILED = "failed"


LEAST_STAGGER_US = 10_000  # RFC 8305, section 5: the least delay between attempts
FIRST_PAUSE_US = 50_000  # before a failed path is tried again, doubled each time
LONGEST_PAUSE_US = 5_000_000
HELD_OUT_US = 2_000_000  # of a path that loses answers, doubled each time
LONGEST_HELD_OUT_US = 60_000_000
LOST_MOST = 2  # requests lost one after the other, before a path is held out
SETTLE_US = 2_000_000  # good for so long before it is returned to, doubled each time that it did not hold
LONGEST_SETTLE_US = 60_000_000
STEADY_US = 30_000_000  # a path that held for so long has held
HUSH_LEAST_US, HUSH_MOST_US = 20_000, 150_000  # nothing came for so long though answers are due: it is asked
AGAIN_US = 10_000  # from seeing that another path has answered, to the last look
HUSH_PART = 4.0  # times what an answer usually takes
PRESUMED_US = 1_000_000  # another path heard within this shows that the box lives
LAG, LAG_US = 3.0, 1_000.0
LOOK_US = 10_000_000  # how often a path that is not in use is asked, at most
MOST_PATHS = 8
NEVER = -(2**62)


def kind_of(address: str) -> str:
    """`unix`, `ipv6`, `ipv4` or `name`, by how an address is written."""
    if address.startswith("unix:"):
        return "unix"
    host = address.rpartition(":")[0]
    if host.startswith("["):
        return "ipv6"
    return "ipv4" if host.replace(".", "").isdigit() and host.count(".") == 3 else "name"


_KINDS = {"unix": 0, "ipv6": 1, "ipv4": 2, "name": 3}


@dataclass(slots=True)
class Path:
    """One address of a box. Times in microseconds."""

    address: str
    hall: str = ""
    timeout_us: int = 0  # of a dial; 0: as the settings have it for all
    state: State = State.UNTRIED
    failures: int = 0  # one after the other
    next_us: int = 0  # a failed one is not tried before
    good_us: int = NEVER  # since when it has been good without a break
    heard_us: int = NEVER  # when something last came over it
    answered_us: int = NEVER  # when a request's answer last did
    out: int = 0  # requests handed to it that have not ended
    since_us: int = 0  # when the first of those was handed over, with nothing out before
    lost: int = 0  # requests that it took and lost, one after the other
    lost_us: int = NEVER  # when the last of them was counted
    hushes: int = 0  # times that it was asked for its silence, and was only slow
    looking: bool = False  # somebody looks whether it has fallen silent
    asked_us: int = NEVER  # when it was asked for its silence; `NEVER`: it is not
    shown_us: int = NEVER  # when it was seen first that another path had answered since
    answer_us: float = 0.0  # what an answer takes
    probe_us: float = 0.0  # what the same question takes on each path
    looked_us: int = NEVER  # when it was last asked without need
    left: int = 0  # times that it was returned to and did not hold
    run_id: str = ""  # the run of the box that it last reached
    why: str = ""  # what went wrong last, for people

    @property
    def usable(self) -> bool:
        """Whether new work may go over it."""
        return self.state is State.GOOD or self.state is State.UNTRIED


@dataclass(slots=True)
class Race:
    """The attempts for one connection, or for one report."""

    queue: list[str]  # addresses not begun, in their order
    out: list[str] = field(default_factory=list)
    next_us: int = 0  # when the next one begins, if nothing has come
    how: str = "refused"  # how the last of them failed


@dataclass(slots=True)
class Paths:
    """All paths to one box, as one gateway sees them."""

    hall: str
    stagger_us: int
    peers: int
    seed: int
    paths: list[Path]
    current: int = 0
    chosen: bool = False  # by the order; before, the first of the list stands
    since_us: int = 0  # when the current one became it
    draws: int = 0
    upkeep_us: int = 0  # when paths without need are looked at next; 0: nobody does

    def at(self, address: str) -> int:
        """An address's place in the list, or -1."""
        return next((at for at, one in enumerate(self.paths) if one.address == address), -1)

    def _spread(self, low: float, high: float) -> float:
        """Drawn between two numbers, by the seed."""
        self.draws += 1
        return low + (high - low) * drawn(self.draws, self.seed)

    # ---- Which ----

    def choose(self, now_us: int) -> int:
        """The path that a new request goes on."""
        if len(self.paths) == 1:
            return 0
        current = self.paths[self.current]
        if not self.chosen or current.state is State.UNTRIED:
            self.chosen, self.current, self.since_us = True, self.order(now_us)[0], now_us
            return self.current
        if current.usable:
            if current.left and now_us - self.since_us > STEADY_US:
                current.left = 0
            better = self._better(now_us)
            if better != self.current:
                self.current, self.since_us = better, now_us
            return self.current
        found = next((at for at in self.order(now_us) if self.paths[at].usable), -1)
        if found >= 0:
            # Threat: a path that comes and goes, and takes the work with it each time.
            current.left = current.left + 1 if now_us - self.since_us < STEADY_US else 1
            self.current, self.since_us = found, now_us
        return self.current

    def _better(self, now_us: int) -> int:
        """The path to use instead of a usable one: it ranks before it, and has been good for long enough."""
        least, best = self._least_probe_us(), self.current
        rank = self._rank(best, least)
        for at, one in enumerate(self.paths):
            settled = min(SETTLE_US << min(one.left, 5), LONGEST_SETTLE_US)
            if at != self.current and one.state is State.GOOD and now_us - one.good_us >= settled:
                other = self._rank(at, least)
                if other < rank:
                    best, rank = at, other
        return best

    def order(self, now_us: int) -> list[int]:
        """The paths worth a try now, best first; where all have failed and none is due, the one due next."""
        least = self._least_probe_us()
        found = sorted(
            (at for at, one in enumerate(self.paths) if one.state is not State.FAILED or now_us >= one.next_us),
            key=lambda at: self._rank(at, least),
        )
        return found or [min(range(len(self.paths)), key=lambda at: (self.paths[at].next_us, at))]

    def _least_probe_us(self) -> float:
        """What the quickest usable path's probes take; 0 where none is known."""
        return min((one.probe_us for one in self.paths if one.probe_us and one.usable), default=0.0)

    def _rank(self, at: int, least: float) -> tuple[int, int, int, int]:
        one = self.paths[at]
        if one.usable:
            state = int(least > 0 and one.probe_us > LAG * least + LAG_US)
        else:
            state = 2 if one.state is State.SUSPECT else 3
        kind = kind_of(one.address)
        near = 0 if kind == "unix" else 1 if one.hall and one.hall == self.hall else 2
        return state, near, _KINDS[kind], at

    # ---- Dials and reports ----

    def race(self, now_us: int, wanted: str = "") -> Race:
        """Attempts for one more connection, or one more report; `wanted` before the others where it is usable."""
        queue = [self.paths[at].address for at in self.order(now_us)]
        if wanted in queue and self.paths[self.at(wanted)].usable:
            queue.remove(wanted)
            queue.insert(0, wanted)
        return Race(queue)

    def begin(self, race: Race, now_us: int) -> list[str]:
        """The addresses whose attempt begins now. One that fails lets the next one begin at once."""
        begun: list[str] = []
        while race.queue and (not race.out or now_us >= race.next_us):
            address = race.queue.pop(0)
            at = self.at(address)
            if at < 0:
                continue  # it was listed when the race began
            race.out.append(address)
            begun.append(address)
            usual = 4 * self.paths[at].probe_us
            race.next_us = now_us + round(min(self.stagger_us, max(LEAST_STAGGER_US, usual or self.stagger_us)))
        return begun

    def reached(self, at: int, took_us: int, now_us: int, run_id: str, probe: bool) -> None:
        """A path has led to the box: a connection that proved itself, or an answered probe."""
        one = self.paths[at]
        one.heard_us, one.run_id = now_us, run_id or one.run_id
        one.asked_us = one.shown_us = NEVER
        if probe:
            one.probe_us += (0.3 if one.probe_us else 1.0) * (took_us - one.probe_us)
        if one.lost >= LOST_MOST and now_us < one.next_us:
            return  # it is held out: what it loses are requests, not probes
        one.lost = min(one.lost, LOST_MOST - 1)
        self._mend(one, now_us)

    def _mend(self, one: Path, now_us: int) -> None:
        one.failures = 0
        if one.state is not State.GOOD:
            one.state, one.good_us, one.why = State.GOOD, now_us, ""

    def failed(self, at: int, how: str, now_us: int) -> None:
        """A dial or a probe has failed, or the path's connections are cut for its silence."""
        one = self.paths[at]
        one.asked_us = one.shown_us = NEVER
        pause = min(FIRST_PAUSE_US << min(one.failures, 16), LONGEST_PAUSE_US)
        self._fail(one, how, now_us + round(pause * self._spread(0.5, 1.5)))
        self._leave(at, now_us)

    def _leave(self, at: int, now_us: int) -> None:
        """A path has gone bad. Threat: it is mended by a probe before the next request comes, and is never left."""
        if self.chosen and at == self.current:
            self.choose(now_us)

    def _fail(self, one: Path, how: str, next_us: int) -> None:
        one.failures += 1
        one.state, one.why = State.FAILED, how
        one.next_us = max(one.next_us, next_us)
        one.good_us = NEVER

    # ---- Requests ----

    def handed(self, at: int, now_us: int) -> int:
        """A request goes over a path; when to look whether anything came of it (0: somebody looks already)."""
        one = self.paths[at]
        one.out += 1
        if one.out == 1:
            one.since_us = now_us
        if one.looking or len(self.paths) < 2:
            return 0
        one.looking = True
        return now_us + self._hush_us(one)

    def answered(self, at: int, took_us: int, now_us: int) -> None:
        """A request's answer has come over a path."""
        one = self.paths[at]
        one.out = max(0, one.out - 1)
        one.heard_us = one.answered_us = now_us
        one.asked_us = one.shown_us = NEVER
        one.lost = one.hushes = 0
        one.answer_us += (0.1 if one.answer_us else 1.0) * (took_us - one.answer_us)
        self._mend(one, now_us)

    def ended(self, at: int, how: str, sent_us: int, now_us: int) -> None:
        """A request has ended on a path without its answer; `how` is a word of `outcomes.ENDINGS`."""
        one = self.paths[at]
        one.out = max(0, one.out - 1)
        if how not in ("reset", "bad reply", "late") or (how == "late" and one.answered_us >= sent_us):
            # Nothing was written, or other answers came meanwhile: the box was slow with this one. Threat: a path that
            # answers probes and loses requests; so probes are no sign here.
            return
        if sent_us <= one.lost_us:
            return  # it was on the way when the last one was counted: one loss, however much was on it
        one.lost, one.lost_us = one.lost + 1, now_us
        if one.lost >= LOST_MOST and self.others_live(at, now_us, sent_us):
            pause = min(HELD_OUT_US << min(one.lost - LOST_MOST, 8), LONGEST_HELD_OUT_US)
            self._fail(one, "takes requests and loses the answers", now_us + round(pause * self._spread(0.75, 1.25)))
        elif one.usable:
            one.state, one.why, one.good_us = State.SUSPECT, how, NEVER
        self._leave(at, now_us)

    def others_live(self, at: int, now_us: int, since_us: int) -> bool:
        """Whether the box has been heard over another path: since a time, or a moment ago over a good one."""
        return any(
            other != at
            and (one.heard_us >= since_us or (one.state is State.GOOD and now_us - one.heard_us < PRESUMED_US))
            for other, one in enumerate(self.paths)
        )

    def only_the_path(self, at: int, how: str, sent_us: int, now_us: int) -> bool:
        """Whether a lost request speaks of its path alone: the box itself was heard by another way."""
        return how in ("reset", "bad reply") and len(self.paths) > 1 and self.others_live(at, now_us, sent_us)

    # ---- Silence ----

    def _hush_us(self, one: Path) -> int:
        usual = min(max(HUSH_PART * one.answer_us, HUSH_LEAST_US), HUSH_MOST_US)
        return round(usual) << min(one.hushes, 6)

    def look(self, at: int, now_us: int) -> tuple[list[int], bool, int]:
        """Whether a path has fallen silent: paths to ask now, whether to cut its connections, when to look again.

        A path that owes an answer for too long is asked, and so is another. Where that one answers and this one does
        not, it is the path: what is on it is ended, so that it can be done elsewhere. Where it answers too, the box
        is only slow with what it has; it is asked ever more rarely. Where neither does, it may be the box, and the
        error rules have the word.
        """
        one = self.paths[at]
        if not one.out or len(self.paths) < 2:
            one.looking = False
            return [], False, 0
        quiet_us = max(one.since_us, one.heard_us)
        hush_us = self._hush_us(one)
        if one.asked_us == NEVER:
            if now_us - quiet_us < hush_us:
                return [], False, quiet_us + hush_us
            other = next((to for to in self.order(now_us) if to != at), -1)
            if other < 0:
                return [], False, now_us + hush_us
            one.asked_us = now_us
            one.hushes += 1
            return [at, other], False, now_us + min(hush_us, HUSH_MOST_US)
        if any(now_us > other.heard_us >= one.asked_us for to, other in enumerate(self.paths) if to != at):
            # Threat: a process that was late itself, and reads the other path's answer first. What has come over this
            # one is read before the next look.
            if one.shown_us == NEVER:
                one.shown_us = now_us
                return [], False, now_us + AGAIN_US
            one.asked_us = one.shown_us = NEVER
            one.out, one.looking = 0, False
            return [], True, 0
        return [], False, now_us + min(hush_us, HUSH_MOST_US)

    # ---- Upkeep ----

    def to_look_at(self, now_us: int) -> list[int]:
        """The paths to ask without need: bad ones whose next try has come, and unused ones now and then."""
        every_us = max(LOOK_US, self.peers * len(self.paths) * 20_000)
        found = []
        for at, one in enumerate(self.paths):
            unused = at != self.current or not self.chosen
            idle = unused and now_us - max(one.looked_us, one.heard_us) >= every_us
            bad = one.state in (State.FAILED, State.SUSPECT) and now_us >= one.next_us and now_us > one.looked_us
            if one.asked_us == NEVER and (idle or bad):
                one.looked_us = now_us
                found.append(at)
        return found

    def next_look_us(self, now_us: int) -> int:
        """When to ask `to_look_at` next."""
        bad = [one.next_us for one in self.paths if one.state in (State.FAILED, State.SUSPECT)]
        at_us = min([now_us + LOOK_US, *(max(one, now_us + FIRST_PAUSE_US) for one in bad)])
        return at_us + round(self._spread(0, FIRST_PAUSE_US))

    def relisted(self, ways: list[tuple[str, str, int]]) -> None:
        """Another list of addresses, each with its hall and time-out: what is known of those that stay is kept."""
        old = {one.address: one for one in self.paths}
        current = self.paths[self.current].address
        self.paths = []
        for address, hall, timeout_us in ways:
            one = old.get(address) or Path(address)
            one.hall, one.timeout_us = hall, timeout_us
            self.paths.append(one)
        self.current = max(0, self.at(current))
