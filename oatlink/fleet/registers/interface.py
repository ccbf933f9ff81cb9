"""What limits, leases and versions need of agreement; a backend on another store's transactions would fit it too."""

from typing import Protocol

from oatlink.fleet.messages import Effect


class Registers(Protocol):
    """Named registers that all nodes agree on. Each call's `Answer` comes among the effects of a later one.

    Reads and changes are linearizable. A change that ended `unknown` may be read by others before or after.
    """

    due_us: int  # when `tick` has something to do

    def read(self, ask: int, key: str, now_us: int) -> list[Effect]:
        """Ask for a register's fence and value; fence 0 where it was never changed."""
        ...

    def change(self, ask: int, key: str, fence: int, value: bytes, now_us: int) -> list[Effect]:
        """Put `value` there if the fence is `fence`; the new fence is one more."""
        ...

    def tick(self, now_us: int) -> list[Effect]:
        """Time has passed."""
        ...
