"""The last known values of a few registers in one process: when to read them again, and how a change ended. No I/O.

A value here may be outdated: that a register is still the same is only known from a change that was conditional on its
fence.
"""

from dataclasses import dataclass

from oatlink.fleet.messages import Answer, Change, Effect, Read

POLL_US = 1_000_000
TIMEOUT_US = 5_000_000  # after which an answer is no longer waited for


@dataclass(slots=True)
class CachedRegister:
    """One register. A `fence` of -1 means that it was not read yet."""

    fence: int = -1
    value: bytes = b""
    poll_us: int = 0
    reading: int = 0  # the number of the pending request, 0 without one
    changing: int = 0
    put_fence: int = -1  # the fence that the newest change was conditional on
    uncertain_fence: int = -1  # the same for the newest change whose outcome is unknown
    asked_us: int = 0  # when the later one of the two requests was sent


class RegisterCache:
    """The registers with these keys."""

    def __init__(self, keys: tuple[str, ...], first_ask: int) -> None:
        self._keys = keys
        self._ask = first_ask
        self._known: dict[str, CachedRegister] = {}
        self.forget()

    def forget(self) -> None:
        """Forget all values, and ignore the answers to pending requests."""
        self._known = {key: CachedRegister() for key in self._keys}

    def fence(self, key: str) -> int:
        """The last known fence, -1 before the first answer."""
        return self._known[key].fence

    def value(self, key: str) -> bytes:
        """The last known value, empty before the first answer and if the register was never changed."""
        return self._known[key].value

    def is_changing(self, key: str) -> bool:
        """Whether a change is pending, or the outcome of one is unknown and the register was not read since."""
        known = self._known[key]
        return known.changing != 0 or known.poll_us == 0

    def is_uncertain(self, key: str) -> bool:
        """Whether a change of ours with unknown outcome may still happen: no later one has happened since."""
        known = self._known[key]
        return known.uncertain_fence >= known.fence

    def poll(self, now_us: int) -> list[Effect]:
        """Read the registers that were not read recently."""
        effects: list[Effect] = []
        for key, known in self._known.items():
            if (known.reading or known.changing) and now_us - known.asked_us >= TIMEOUT_US:
                if known.changing:
                    known.uncertain_fence = known.put_fence
                known.reading = known.changing = known.poll_us = 0
            if not known.reading and not known.changing and now_us >= known.poll_us:
                self._ask += 1
                known.reading, known.asked_us = self._ask, now_us
                effects.append(Read(self._ask, key))
        return effects

    def put(self, key: str, value: bytes, now_us: int) -> list[Effect]:
        """Change a register from its known state; does nothing while another change is pending."""
        known = self._known[key]
        if known.changing or known.fence < 0:
            return []
        self._ask += 1
        known.changing, known.asked_us, known.put_fence = self._ask, now_us, known.fence
        return [Change(self._ask, key, known.fence, value)]

    def answer(self, answer: Answer, now_us: int) -> bool:
        """Accept an answer. True if it belongs to our change, and the change has happened."""
        known = self._known.get(answer.key)
        if known is None or not answer.ask or answer.ask not in (known.reading, known.changing):
            return False
        is_change = answer.ask == known.changing
        if is_change:
            known.changing = 0
        else:
            known.reading = 0
        if answer.how not in ("found", "changed", "differs"):
            known.poll_us = 0  # the change may have happened: the register is read again before another change
            if is_change:
                known.uncertain_fence = known.put_fence
            return False
        if answer.fence >= known.fence:
            known.fence, known.value = answer.fence, answer.value
        known.poll_us = now_us + POLL_US
        return is_change and answer.how == "changed"
