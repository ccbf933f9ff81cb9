"""The contents of the register `versions/state`, and how reports of a shard's marker change them. No I/O, no decisions.

This module defines the form of what was decided, and answers questions that need nothing else. Which state follows
which is in `moves`. A shard has a short chain of steps: those that took it to the version served, and those of the
change in progress. A step is in the chain from the moment it is *intended*: only steps in the register are run.

A marker, once known, stays correct: a member that has reached that offset of that history has the step. A step is
*lost* if the present primary does not show it: it is run again with the same number, and so are those after it.
"""

import msgspec

from oatlink.fleet.messages import Marker, ShardOffer

PHASES = ("idle", "expanding", "serving", "moved", "draining", "contracting", "withdrawing", "undoing")


class Step(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One step of one shard. For an expand, `history` and `offset` are the position of its marker, once known."""

    kind: str
    version: int
    number: int
    done: bool = False
    history: str = ""
    offset: int = -1


class Shard(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One bank. `floor`: the number of the newest step that left the chain and that the primary must have."""

    steps: tuple[Step, ...] = ()
    floor: int = 0


class State(msgspec.Struct, frozen=True, array_like=True):
    """Which versions are served, and how far the change has come. `fence`: the fence of its writer's lease.

    When idle, only `old` is served and `new` is 0. `plan` is the name of the newest plan that was begun. `count` is
    the number of the newest step.
    """

    old: int
    served: tuple[int, ...]
    default: int
    phase: str = "idle"
    new: int = 0
    plan: str = ""
    count: int = 0
    fence: int = 0
    shards: dict[str, Shard] = {}


def first(version: int) -> State:
    """The state before any change."""
    return State(version, (version,), version)


def encode(state: State) -> bytes:
    """The register's value."""
    return msgspec.msgpack.encode(state)


def decode(value: bytes) -> State | None:
    """The state in the register's value, None if it is not valid."""
    try:
        state = msgspec.msgpack.decode(value, type=State)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    served = state.served
    is_valid = state.phase in PHASES and state.default in served and len(served) <= 2
    return state if is_valid and all(version in (state.old, state.new) for version in served) else None


def max_encoded_bytes(state: State, banks: tuple[str, ...], version: int) -> int:
    """The most bytes that the register may need for these banks.

    The longest chain is expand and contract of the version served, and undo, expand and contract of the next.
    """
    far = 2**53
    expand = Step("expand", version, far, False, "f" * 40, far)
    contract = Step("contract", version, far, False)
    shards = dict.fromkeys((*state.shards, *banks), Shard((expand, expand, contract, contract, contract), far))
    full = State(version, (version, version), version, "contracting", version, "f" * 16, far, far, shards)
    return len(encode(full))


def step_of(shard: Shard, kind: str, version: int) -> Step | None:
    """The shard's step of this kind and version, None if it is not intended."""
    return next((step for step in shard.steps if step.kind == kind and step.version == version), None)


def is_done(shard: Shard, kind: str, version: int) -> bool:
    """Whether that step is done, as far as is known."""
    step = step_of(shard, kind, version)
    return step is not None and step.done


def next_step(shard: Shard) -> tuple[Step, int] | None:
    """The first step that is not done, and the number that its primary must show before it may run."""
    after = shard.floor
    for step in shard.steps:
        if not step.done:
            return step, after
        after = step.number
    return None


def with_marker(state: State, bank: str, number: int, history: str, offset: int) -> State:
    """The state after the bank's primary reported a marker with this number at this position."""
    shard = state.shards.get(bank)
    if shard is None or number < 0 or not history or offset < 0:
        return state
    steps = tuple(_step_with_marker(step, number, history, offset) for step in shard.steps)
    if steps == shard.steps:
        return state
    return msgspec.structs.replace(state, shards=state.shards | {bank: Shard(steps, shard.floor)})


def _step_with_marker(step: Step, number: int, history: str, offset: int) -> Step:
    if step.number > number:
        return msgspec.structs.replace(step, done=False)
    if step.kind != "expand":
        return msgspec.structs.replace(step, done=True)  # which members have applied it does not matter
    if step.done and step.history == history:
        return step  # the known offset is lower and equally valid
    return Step(step.kind, step.version, step.number, True, history, offset)


def offers(state: State, shard: Shard, version: int) -> bool:
    """Whether a bank as a whole offers a version, by the steps that are intended and done."""
    if step_of(shard, "contract", version + 1) is not None:
        return False
    step = step_of(shard, "expand", version)
    return step.done if step is not None else version == state.old


def offer(state: State, bank: str) -> ShardOffer:
    """What nodes are sent about a bank: the served versions that it offers, and what its members must have applied."""
    shard = state.shards[bank]
    markers = tuple(
        Marker(step.version, step.history, step.offset)
        for step in shard.steps
        if step.kind == "expand" and step.version in state.served and step.history
    )
    return ShardOffer(bank, tuple(version for version in state.served if offers(state, shard, version)), markers)
