"""The four registers of the versions, decoded, as one holder of the lease last read them. No I/O.

- `versions/state`: what was decided, written only by holders of the lease (`state`).
- `versions/plan`: what operators want, written only on their request (`operator_requests`).
- `versions/run/0` and `/1`: the plan that runs or ran last, by the parity of its version: a copy that holders make. So
  the plan before the newest stays known, since a failover may lose a step of it while the next one is in progress.
"""

from oatlink.fleet.messages import Answer, Effect
from oatlink.fleet.versions import state as states
from oatlink.fleet.versions.operator_requests import PLAN, STATE
from oatlink.fleet.versions.plan import Commands, Plan, Wanted, decode_wanted, name_of, parse
from oatlink.fleet.versions.register_cache import RegisterCache
from oatlink.fleet.versions.state import State, Step

RUNS = ("versions/run/0", "versions/run/1")


class VersionRegisters:
    """The registers' values; `state` and `wanted` are None until they were read, and if they are not valid."""

    def __init__(self, first_version: int) -> None:
        self._first = first_version
        self._cache = RegisterCache((STATE, PLAN, *RUNS), first_ask=0)
        self.state: State | None = None
        self.wanted: Wanted | None = None
        self._plans: dict[str, tuple[bytes, Plan | None]] = {}
        self._fences = {STATE: -1, PLAN: -1}
        self._copied_text = b""

    def forget(self) -> None:
        """Forget all values."""
        self._cache.forget()
        self.state = self.wanted = None
        self._plans.clear()
        self._fences = {STATE: -1, PLAN: -1}
        self._copied_text = b""

    def poll(self, now_us: int) -> list[Effect]:
        """Read what was not read recently."""
        return self._cache.poll(now_us)

    def answer(self, answer: Answer, now_us: int) -> bool:
        """Accept an answer; True if what operators want may have changed."""
        if self._cache.answer(answer, now_us) and answer.key in RUNS:
            self._copied_text = answer.value
        if self._fence_changed(STATE):
            value = self._cache.value(STATE)
            self.state = states.decode(value) if value else states.first(self._first)
        if self._fence_changed(PLAN):
            self.wanted = decode_wanted(self._cache.value(PLAN))
            return True
        return False

    def _fence_changed(self, key: str) -> bool:
        """Whether the register has another fence than at the last call."""
        fence = self._cache.fence(key)
        known, self._fences[key] = self._fences[key], fence
        return fence != known

    @property
    def is_writable(self) -> bool:
        """Whether the state may be changed from what is known of it: no change of it is pending."""
        return self.state is not None and not self._cache.is_changing(STATE)

    @property
    def is_first_change(self) -> bool:
        """Whether the state was changed exactly once, ever."""
        return self._cache.fence(STATE) == 1

    @property
    def may_still_change(self) -> bool:
        """Whether an earlier change of the state whose outcome is unknown may still happen."""
        return self._cache.is_uncertain(STATE)

    @property
    def is_unreadable(self) -> bool:
        """Whether the state was read and is not valid."""
        return self.state is None and self._cache.fence(STATE) >= 0

    def write(self, state: State, now_us: int) -> list[Effect]:
        """Change the state."""
        return self._cache.put(STATE, states.encode(state), now_us)

    def copy(self, plan: Plan, text: bytes, now_us: int) -> list[Effect] | None:
        """Copy a plan to the register from which it runs. None once this holder has copied exactly this text.

        Each holder copies anew. Otherwise an earlier holder's copy of another plan could arrive late and replace this
        one: that copy is conditional on a fence, so a copy made now prevents it and one that is there already does not.
        """
        key = RUNS[plan.version % 2]
        if self._copied_text == text and self._cache.value(key) == text:
            return None
        return [] if self._cache.is_changing(key) else self._cache.put(key, text, now_us)

    def plan(self, version: int) -> Plan | None:
        """The plan that leads to this version, as it was begun; None if it is not known, or not known any more."""
        key = RUNS[version % 2]
        value = self._cache.value(key)
        if key not in self._plans or self._plans[key][0] != value:
            parsed = parse(value)
            self._plans[key] = value, parsed if isinstance(parsed, Plan) else None
        plan = self._plans[key][1]
        if plan is None or plan.version != version or self.state is None:
            return None
        # A plan that leads past the served version is the newest that was begun, or was overwritten since.
        return plan if version <= self.state.old or name_of(plan) == self.state.plan else None

    def is_missing(self, version: int) -> bool:
        """Whether the register of the plan that leads to this version was read and does not contain it."""
        return self.plan(version) is None and self._cache.fence(RUNS[version % 2]) >= 0

    def commands(self, bank: str, step: Step) -> Commands | None:
        """The commands of a step; None if they are not known."""
        plan = self.plan(step.version)
        if plan is not None and bank in plan.shards:
            return plan.shards[bank].commands(step.kind)
        if plan is None and step.kind == "undo" and self._plans[RUNS[step.version % 2]][1] is not None:
            return ()  # its plan was replaced by the next one, before that was begun: only the fence is left to write
        return None
