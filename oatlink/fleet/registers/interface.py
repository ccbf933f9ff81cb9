"""What limits, leases and versions need of an agreed store; another store with transactions could implement it too."""

from typing import Protocol

from oatlink.fleet.messages import Effect


class Registers(Protocol):
    """Named registers that all nodes agree on. The `Answer` to a call is among the effects of a later call.

    Reads and changes are linearizable. A change that ended `unknown` may take effect before or after a read by others.
    """

    due_us: int  # when `tick` has something to do

    def read(self, ask: int, key: str, now_us: int) -> list[Effect]:
        """Read a register's fence and value; fence 0 if it was never changed."""
        ...

    def change(self, ask: int, key: str, fence: int, value: bytes, now_us: int) -> list[Effect]:
        """Set the value if the fence is `fence`; the new fence is one higher."""
        ...

    def tick(self, now_us: int) -> list[Effect]:
        """Do what is due."""
        ...
