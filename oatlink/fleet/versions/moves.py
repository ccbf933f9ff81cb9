r"""Which state follows which: the whole order of a change of layout, one function a phase. Pure. No I/O.

    idle -> expanding -> serving -> moved -> draining -> contracting -> idle, one version on
                 \_________\_________\__________\-> withdrawing -> undoing -> idle, where it was

Each move is one conditional change of the register, and each holds with any sequencer dead right before or after it:

- *serving* only when every shard offers the new version: nobody is told to serve what some shard never had.
- *contracting* only when the old version is not served, no node's term on it can live and nothing of it is out
  (`Ledger.drained`): what a contract takes away is used by nobody. From there the way is forward only.
- *undoing* the same for the new version. A shard whose expand was ever intended is undone, whether it ran or not.
- A step that was lost by a failover is intended still, so it runs again, before anything that follows it.
"""

from collections.abc import Callable

from msgspec.structs import replace

from oatlink.fleet.versions.plan import Plan
from oatlink.fleet.versions.state import Shard, State, Step, due, is_done, step_of

Drained = Callable[[int], bool]


def begin(state: State, plan: Plan, name: str) -> State:
    """The change is on its way; what belongs to the version before the base is let go.

    An undo of an earlier try stays, and the expand follows it. Threat: a failover that lost it, found out too late to
    tell it from one that never was.
    """
    shards = {}
    for bank in plan.shards:
        shard = state.shards.get(bank, Shard())
        kept = tuple(one for one in shard.steps if one.version == (plan.version if one.kind == "undo" else plan.base))
        past = [one.number for one in shard.steps if one.version < plan.base and one.kind != "undo"]
        shards[bank] = Shard(kept, max(past, default=shard.floor))
    return replace(state, phase="expanding", new=plan.version, plan=name, shards=shards)


def settled(state: State) -> bool:
    """Whether nothing is left to run."""
    return all(due(shard) is None for shard in state.shards.values())


def move(state: State, plan: Plan, back: bool, stayed: bool, drained: Drained) -> State:
    """The state that follows, or the same. `stayed`: both versions were served for as long as the plan says.

    `drained` tells of a version whether no node can serve it any more and nothing of it is out.
    """
    if back and state.phase in ("expanding", "serving", "moved", "draining"):
        return replace(state, phase="withdrawing", served=(state.old,), default=state.old)
    if state.phase == "withdrawing":
        if not back:
            return replace(state, phase="expanding")
        if not drained(state.new):
            return state
        return _undo(replace(state, phase="undoing"), plan)
    follow = _FOLLOW.get(state.phase)
    return follow(state, plan, stayed, drained) if follow is not None else state


def _expanding(state: State, plan: Plan, stayed: bool, drained: Drained) -> State:
    if all(is_done(shard, "expand", state.new) for shard in state.shards.values()):
        return replace(state, phase="serving", served=(state.old, state.new))
    return _intend(state, plan, "expand")


def _serving(state: State, plan: Plan, stayed: bool, drained: Drained) -> State:
    return replace(state, phase="moved", default=state.new) if settled(state) else state


def _moved(state: State, plan: Plan, stayed: bool, drained: Drained) -> State:
    return replace(state, phase="draining", served=(state.new,)) if stayed and settled(state) else state


def _draining(state: State, plan: Plan, stayed: bool, drained: Drained) -> State:
    if not settled(state) or not drained(state.old):
        return state
    return _intend(replace(state, phase="contracting"), plan, "contract")


def _contracting(state: State, plan: Plan, stayed: bool, drained: Drained) -> State:
    if settled(state) and all(is_done(shard, "contract", state.new) for shard in state.shards.values()):
        return replace(state, phase="idle", old=state.new, new=0)
    return _intend(state, plan, "contract")


def _undoing(state: State, plan: Plan, stayed: bool, drained: Drained) -> State:
    if settled(state) and all(step_of(shard, "expand", state.new) is None for shard in state.shards.values()):
        return replace(state, phase="idle", new=0)
    return _undo(state, plan)


_FOLLOW = {
    "expanding": _expanding,
    "serving": _serving,
    "moved": _moved,
    "draining": _draining,
    "contracting": _contracting,
    "undoing": _undoing,
}


def _intend(state: State, plan: Plan, kind: str) -> State:
    """The steps that may run now: those whose `after` are done."""
    shards, count = dict(state.shards), state.count
    for bank, shard in state.shards.items():
        waits = plan.shards[bank].after
        if step_of(shard, kind, state.new) is None and all(
            is_done(state.shards[other], kind, state.new) for other in waits
        ):
            count += 1
            shards[bank] = Shard((*shard.steps, Step(kind, state.new, count)), shard.floor)
    return replace(state, shards=shards, count=count) if count != state.count else state


def _undo(state: State, plan: Plan) -> State:
    """Each expand that may be taken back now gives way to its undo: those that no other bank's was built on."""
    shards, count = dict(state.shards), state.count
    for bank, shard in state.shards.items():
        if step_of(shard, "expand", state.new) is None:
            continue
        later = [state.shards[other] for other, one in plan.shards.items() if bank in one.after]
        if all(step_of(one, "expand", state.new) is None and due(one) is None for one in later):
            count += 1
            kept = tuple(one for one in shard.steps if one.version != state.new)
            shards[bank] = Shard((*kept, Step("undo", state.new, count)), shard.floor)
    return replace(state, shards=shards, count=count) if count != state.count else state
