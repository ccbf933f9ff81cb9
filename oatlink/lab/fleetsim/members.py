"""Simulated servers of banks: a log, a primary with followers, and failovers that lose what was not replicated.

What a member reports and which versions it serves follow from its log alone.
"""

from dataclasses import dataclass, field
from random import Random

from oatlink.fleet.versions import marker
from oatlink.fleet.versions.compatible import Place

# "exec" or "seal", step number, version, kind of step, whether all commands of the step succeeded
Operation = tuple[str, int, int, str, bool]


@dataclass(eq=False)
class Member:
    """One server."""

    name: str
    history: str
    offset: int = 0
    parent: str = ""
    join: int = -1
    log: list[tuple[int, Operation]] = field(default_factory=list)  # (offset after it, operation)
    is_primary: bool = False
    epoch: int = 0  # grows when the member's data are replaced and its connections closed

    def offers(self) -> set[int]:
        """The versions that the member's data are laid out for."""
        versions = {1}
        for _, (operation, _, version, kind, succeeded) in self.log:
            if operation == "exec" and kind == "expand":
                versions |= {version} if succeeded else set()
            elif operation == "exec":
                versions.discard(version - 1 if kind == "contract" else version)
        return versions

    def marker_value(self) -> bytes | None:
        """The value of the marker's key."""
        if not self.log:
            return None
        operation, number, version, _, _ = self.log[-1][1]
        return marker.encode(number, version, operation == "seal")

    def write(self, *operations: Operation) -> None:
        """Append one write of a client (no operations) or of a step."""
        self.offset += 10
        self.log += [(self.offset, operation) for operation in operations]

    def place(self) -> Place:
        """The replication position that the member reports."""
        return Place(self.history, self.offset, self.parent, self.join)


class Bank:
    """A primary and the members that follow it."""

    def __init__(self, name: str, members: list[str], draw: Random) -> None:
        self.name, self._draw = name, draw
        self.members = [Member(member, f"{name}-h0") for member in members]
        self.primary = self.members[0]
        self.primary.is_primary = True
        self.failovers = 0
        self.frozen: dict[str, int] = {}  # by member: end of the fault

    def fail_over(self, size: int) -> None:
        """Promote another member. The old primary still takes writes of its own until it copies the new one."""
        candidates = [member for member in self.members if not member.is_primary]
        if candidates:
            self.failovers += 1
            chosen = candidates[size % len(candidates)]
            chosen.parent, chosen.join = chosen.history, chosen.offset + 1
            chosen.history, chosen.is_primary = f"{self.name}-h{self.failovers}", True
            self.primary = chosen

    def step(self, now_us: int) -> None:
        """Write at the primary and replicate to the others by chance."""
        if self._draw.random() < 0.3:
            self.primary.write()
        for member in self.members:
            if member is self.primary or self.frozen.get(member.name, 0) > now_us:
                continue
            if member.history != self.primary.history:
                if self._draw.random() < 0.1:
                    self._resync(member)
            elif self._draw.random() < 0.3:
                reached = self._draw.randint(member.offset, self.primary.offset)
                member.log += [
                    (offset, operation) for offset, operation in self.primary.log if member.offset < offset <= reached
                ]
                member.offset = reached

    def _resync(self, member: Member) -> None:
        primary = self.primary
        if not (primary.parent == member.history and member.offset < primary.join):
            member.offset, member.log, member.epoch = primary.offset, list(primary.log), member.epoch + 1
        member.history, member.parent, member.join = primary.history, primary.parent, primary.join
        member.is_primary = False
