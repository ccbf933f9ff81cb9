"""What the four registers of the versions hold, made into values as one holder of the lease last knew them. No I/O.

- `versions/state`: what was decided, written by holders only (`state`).
- `versions/plan`: what operators want, written at their word only (`desk`).
- `versions/run/0` and `/1`: the plan that runs or ran last, by its version's parity, a copy that holders make. So the
  plan before the newest stays known: a failover may lose a step of it while the next is on its way.
"""

from oatlink.fleet.messages import Answer, Effect
from oatlink.fleet.versions import state as states
from oatlink.fleet.versions.operator_requests import PLAN, STATE
from oatlink.fleet.versions.plan import Commands, Plan, Wanted, name_of, wanted
from oatlink.fleet.versions.plan import read as read_plan
from oatlink.fleet.versions.register_cache import RegisterCache
from oatlink.fleet.versions.state import State, Step

RUNS = ("versions/run/0", "versions/run/1")


class VersionRegisters:
    """The registers' values; `state` and `wanted` are None until they were read, and where they make no sense."""

    def __init__(self, first_version: int) -> None:
        self._first = first_version
        self._shelf = RegisterCache((STATE, PLAN, *RUNS), first_ask=0)
        self.state: State | None = None
        self.wanted: Wanted | None = None
        self._plans: dict[str, tuple[bytes, Plan | None]] = {}
        self._fences = {STATE: -1, PLAN: -1}
        self._copied = b""

    def forget(self) -> None:
        """Nothing is known."""
        self._shelf.forget()
        self.state = self.wanted = None
        self._plans.clear()
        self._fences = {STATE: -1, PLAN: -1}
        self._copied = b""

    def poll(self, now_us: int) -> list[Effect]:
        """Read what was not read lately."""
        return self._shelf.poll(now_us)

    def answer(self, answer: Answer, now_us: int) -> bool:
        """Take in an answer; True where the operators' word is another now."""
        if self._shelf.answer(answer, now_us) and answer.key in RUNS:
            self._copied = answer.value
        if self._news(STATE):
            value = self._shelf.value(STATE)
            self.state = states.decode(value) if value else states.first(self._first)
        if self._news(PLAN):
            self.wanted = wanted(self._shelf.value(PLAN))
            return True
        return False

    def _news(self, key: str) -> bool:
        fence = self._shelf.fence(key)
        known, self._fences[key] = self._fences[key], fence
        return fence != known

    @property
    def writable(self) -> bool:
        """Whether the state may be changed from what is known of it: no change of it is on its way."""
        return self.state is not None and not self._shelf.changing(STATE)

    @property
    def newborn(self) -> bool:
        """Whether the state has been changed just once, ever."""
        return self._shelf.fence(STATE) == 1

    @property
    def unsure(self) -> bool:
        """Whether a change of the state that was asked for before may still happen."""
        return self._shelf.unsure(STATE)

    @property
    def unreadable(self) -> bool:
        """Whether the state was read and makes no sense."""
        return self.state is None and self._shelf.fence(STATE) >= 0

    def write(self, state: State, now_us: int) -> list[Effect]:
        """Change the state."""
        return self._shelf.put(STATE, states.encode(state), now_us)

    def copy(self, plan: Plan, text: bytes, now_us: int) -> list[Effect] | None:
        """Put a plan where it can run from. None once that was done by this holder, with this very text.

        Threat: an earlier holder's copy of another plan that comes late. It is conditional on a fence, so a copy made
        now is in its way; one that lies there already is not.
        """
        key = RUNS[plan.version % 2]
        if self._copied == text and self._shelf.value(key) == text:
            return None
        return [] if self._shelf.changing(key) else self._shelf.put(key, text, now_us)

    def plan(self, version: int) -> Plan | None:
        """The plan that leads to this version, as it was begun; None where it is not known (any more)."""
        key = RUNS[version % 2]
        value = self._shelf.value(key)
        if key not in self._plans or self._plans[key][0] != value:
            read = read_plan(value)
            self._plans[key] = value, read if isinstance(read, Plan) else None
        plan = self._plans[key][1]
        if plan is None or plan.version != version or self.state is None:
            return None
        # One that leads past the version served is the newest that was begun, or was overwritten since.
        return plan if version <= self.state.old or name_of(plan) == self.state.plan else None

    def missing(self, version: int) -> bool:
        """Whether the plan that leads to this version was looked for and is not there."""
        return self.plan(version) is None and self._shelf.fence(RUNS[version % 2]) >= 0

    def commands(self, bank: str, step: Step) -> Commands | None:
        """What a step runs; None where that is not known."""
        plan = self.plan(step.version)
        if plan is not None and bank in plan.shards:
            return plan.shards[bank].commands(step.kind)
        if plan is None and step.kind == "undo" and self._plans[RUNS[step.version % 2]][1] is not None:
            return ()  # its plan gave way to the next one, before that was begun: what is left is the fence
        return None
