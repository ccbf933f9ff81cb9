r"""Which state follows which: the order of a change of layout, one function for each phase. Pure. No I/O.

    idle -> expanding -> serving -> moved -> draining -> contracting -> idle, one version on
                 \_________\_________\__________\-> withdrawing -> undoing -> idle, where it was

Each transition is one conditional change of the register, and each is safe if any sequencer dies right before or after:

- *serving* follows only when every shard offers the new version: no node is allowed to serve what some shard never had.
- *contracting* follows only when the old version is not served, no node's term on it can be valid and no request of it
  is unfinished (`Ledger.drained`): nothing uses what a contract removes. From there the change only goes forward.
- *undoing* follows under the same condition for the new version. A shard whose expand was ever intended is undone,
  whether it ran or not.
- A step that was lost in a failover is still intended, so it runs again, before anything that follows it.
"""

from collections.abc import Callable

from msgspec.structs import replace

from oatlink.fleet.versions.plan import Plan
from oatlink.fleet.versions.state import Shard, State, Step, is_done, next_step, step_of

Drained = Callable[[int], bool]


def begin(state: State, plan: Plan, name: str) -> State:
    """Start the change, and drop the steps that belong to the version before the base.

    An undo of an earlier attempt stays, and the expand follows it. Otherwise the undo could be lost in a failover that
    is detected so late that the loss cannot be told from an undo that never existed.
    """
    shards = {}
    for bank in plan.shards:
        shard = state.shards.get(bank, Shard())
        kept = tuple(
            step for step in shard.steps if step.version == (plan.version if step.kind == "undo" else plan.base)
        )
        past = [step.number for step in shard.steps if step.version < plan.base and step.kind != "undo"]
        shards[bank] = Shard(kept, max(past, default=shard.floor))
    return replace(state, phase="expanding", new=plan.version, plan=name, shards=shards)


def settled(state: State) -> bool:
    """Whether no step is left to run."""
    return all(next_step(shard) is None for shard in state.shards.values())


def next_state(state: State, plan: Plan, back: bool, stayed: bool, drained: Drained) -> State:
    """The state that follows, or the same state. `stayed`: both versions were served for as long as the plan says.

    `drained` says whether no node can serve a version any more and no request of it is unfinished.
    """
    if back and state.phase in ("expanding", "serving", "moved", "draining"):
        return replace(state, phase="withdrawing", served=(state.old,), default=state.old)
    if state.phase == "withdrawing":
        if not back:
            return replace(state, phase="expanding")
        if not drained(state.new):
            return state
        return _undo(replace(state, phase="undoing"), plan)
    transition = _TRANSITIONS.get(state.phase)
    return transition(state, plan, stayed, drained) if transition is not None else state


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


_TRANSITIONS = {
    "expanding": _expanding,
    "serving": _serving,
    "moved": _moved,
    "draining": _draining,
    "contracting": _contracting,
    "undoing": _undoing,
}


def _intend(state: State, plan: Plan, kind: str) -> State:
    """Add the steps that may run now: those whose `after` banks are done."""
    shards, count = dict(state.shards), state.count
    for bank, shard in state.shards.items():
        predecessors = plan.shards[bank].after
        if step_of(shard, kind, state.new) is None and all(
            is_done(state.shards[other], kind, state.new) for other in predecessors
        ):
            count += 1
            shards[bank] = Shard((*shard.steps, Step(kind, state.new, count)), shard.floor)
    return replace(state, shards=shards, count=count) if count != state.count else state


def _undo(state: State, plan: Plan) -> State:
    """Replace each expand by its undo if no other bank's expand depends on it."""
    shards, count = dict(state.shards), state.count
    for bank, shard in state.shards.items():
        if step_of(shard, "expand", state.new) is None:
            continue
        dependents = [state.shards[other] for other, steps in plan.shards.items() if bank in steps.after]
        if all(step_of(other, "expand", state.new) is None and next_step(other) is None for other in dependents):
            count += 1
            kept = tuple(step for step in shard.steps if step.version != state.new)
            shards[bank] = Shard((*kept, Step("undo", state.new, count)), shard.floor)
    return replace(state, shards=shards, count=count) if count != state.count else state
