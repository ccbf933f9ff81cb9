"""Scenarios that random faults seldom produce: each is run as written, then every change must finish."""

import msgspec

from oatlink.fleet.messages import Adopted, Answer, Change, Message, Read, RunStep
from oatlink.fleet.versions import state
from tests.fleet.versions_world import Node, World

FAR = 10**12


def sequencer_cut_off(seed: int) -> None:
    """The sequencer is cut off from the lease and the acceptors, and one node can reach only this sequencer."""
    world = World(seed, quiet=True, deadline_us=500_000)
    world.run(2_000_000)
    world.propose(world.nodes["n0"], stay_ms=1_000)
    old = world.run_until("moved")
    alone, other = (node for node in world.nodes.values() if node is not old)
    alone.pinned = True
    for one, two in ((old.name, "lease"), (old.name, other.name), (alone.name, other.name), ("keepers", old.name)):
        world.cuts[one, two] = world.cuts[two, one] = FAR
    world.run(20_000_000)
    assert (
        world.current_state().phase == "idle" and world.current_state().old == 2
    )  # by the other node, which does not wait for them for ever
    world.settle()


def answers_lost(seed: int) -> None:
    """A node's questions reach the sequencer, but no answer reaches the node: it serves by the answers it had before.

    Its requests are short meanwhile.
    """
    out_of_reach(World(seed, quiet=True, deadline_us=500_000, term_us=8_000_000))


def node_cut_off(seed: int) -> None:
    """A node and the sequencer do not reach each other, and its requests take as long as the deadline allows."""
    world = World(seed, quiet=True, deadline_us=6_000_000)
    for node in world.nodes.values():
        node.slow = True
    out_of_reach(world, both=True)


def out_of_reach(world: World, both: bool = False) -> None:
    world.run(16_000_000)
    world.propose(world.nodes["n0"], stay_ms=1_000)
    holder = world.run_until("draining").name
    node = next(one for one in world.nodes.values() if one.name != holder)
    world.cuts[holder, node.name] = FAR
    if both:
        world.cuts[node.name, holder] = FAR
    world.run_until("idle")
    world.run(world.term_us)
    world.settle()


def delayed_answer(seed: int) -> None:
    """An answer with the old version arrives late, after newer ones arrived and the contract is done."""
    world = World(seed, quiet=True, deadline_us=500_000, term_us=8_000_000)
    world.run(14_000_000)
    world.propose(world.nodes["n0"], stay_ms=1_000)
    holder, send = world.run_until("moved").name, world.send
    node = next(one for one in world.nodes.values() if one.name != holder)
    delayed: list[Adopted] = []

    def delay_first(sender: str, to: str, message: Message) -> None:
        if isinstance(message, Adopted) and to == node.name and not delayed:
            delayed.append(message)
        else:
            send(sender, to, message)

    world.send = delay_first  # type: ignore[method-assign]
    world.run_until("idle")
    assert delayed[0].versions == (1, 2)
    world.apply(node, node.adopter.receive(holder, delayed[0], node.clock()))
    world.cuts[holder, node.name] = FAR
    world.run(2_000_000)
    world.settle()


def process_restarted(seed: int) -> None:
    """A node's process ends with long requests of the old version unfinished, which the next process does not know."""
    world = World(seed, quiet=True, deadline_us=6_000_000)
    world.run(8_000_000)
    world.propose(world.nodes["n0"], stay_ms=1_000)
    node = next(one for one in world.nodes.values() if one is not world.run_until("moved"))
    node.slow = True
    world.run_until("draining")
    node.start()
    world.settle()


def begun_late_by_another(seed: int) -> None:
    """The same as `begun_late`, and another node holds the lease by then."""
    begun_late(seed, another=True)


def begun_late(seed: int, another: bool = False) -> None:
    """The start of a plan has an unknown outcome, another plan is proposed, and then the first one starts after all."""
    world = World(seed, quiet=True)
    world.run(3_000_000)
    put, register = world.put, world.register
    late: list[Change] = []

    def lose_first_start(node: Node, ask: Read | Change) -> None:
        begun = isinstance(ask, Change) and ask.key == "versions/state" and state.decode(ask.value)
        if isinstance(ask, Change) and begun and begun.phase == "expanding" and not late:
            late.append(ask)
            answer = Answer(ask.ask, ask.key, "unknown", 0, b"", node.clock())
            world.deliver(node, 1_000_000, lambda: node.sequencer.answer(answer, node.lease_until, node.clock()))
        else:
            register(node, ask)

    def put_late_start(change: Change) -> bool:
        is_changed = put(change)
        if late and change.key.startswith("versions/run/"):
            put(late[0])
        return is_changed

    world.register, world.put = lose_first_start, put_late_start  # type: ignore[method-assign]
    world.propose(world.nodes["n0"])
    while not late:
        world.step()
    if another:
        old = world.holder
        for place in (*world.nodes, "lease", "keepers"):
            world.cuts[place, old] = world.cuts[old, place] = FAR
        world.nodes[old].stopped_until = FAR
    world.propose(next(one for one in world.nodes.values() if one.runs), stay_ms=7)
    world.run(8_000_000)
    world.settle()
    assert msgspec.json.decode(world.registers["versions/plan"][1])["plan"]["stay_ms"] == 7


def delayed_undo(seed: int) -> None:
    """An undo is delayed in a socket and runs again after the plan was started anew and has expanded."""
    world = World(seed, quiet=True, deadline_us=500_000)
    world.run(3_000_000)
    run_step = world.run_step

    def twice(node: Node, step: RunStep) -> None:
        run_step(node, step)
        if step.kind == "undo":
            world.schedule(9_000_000, lambda: run_step(node, step))

    world.run_step = twice  # type: ignore[method-assign]
    world.propose(world.nodes["n0"], stay_ms=15_000)
    node = world.run_until("moved")
    world.apply(node, node.sequencer.back(1, node.clock()))
    world.run_until("idle")
    assert world.current_state().old == 1
    world.apply(node, node.sequencer.resume(1, node.clock()))
    world.run_until("moved")
    world.settle()
    assert world.current_state().old == 2 and world.counts["fenced"] >= 2


def missing_expand(seed: int) -> None:
    """A bank fails over to a member that never had the expand, while the contract is in transit."""
    world = World(seed, quiet=True, deadline_us=500_000)
    world.run(3_000_000)
    bank, run_step = world.banks["a"], world.run_step
    bank.frozen = {one.name: FAR for one in bank.members}

    def late(node: Node, step: RunStep) -> None:
        if step.kind == "contract" and step.bank == "a" and not bank.failovers:
            bank.fail_over()
            bank.frozen.clear()
        run_step(node, step)

    world.run_step = late  # type: ignore[method-assign]
    world.propose(world.nodes["n0"])
    world.run_until("contracting")
    world.settle()
    assert world.current_state().old == 2 and world.counts["behind"]


def lost_undo(seed: int) -> None:
    """A failover loses an undo after the plan was started anew, which goes back before its expand reached the bank."""
    world = World(seed, quiet=True, deadline_us=500_000)
    world.run(3_000_000)
    world.propose(world.nodes["n0"], stay_ms=15_000, first="a")
    node = world.run_until("moved")
    world.run(3_000_000)
    bank, run_step = world.banks["b"], world.run_step
    bank.frozen = {one.name: FAR for one in bank.members}
    world.apply(node, node.sequencer.back(1, node.clock()))
    world.run_until("idle")

    def refuse(node: Node, step: RunStep) -> None:
        if step.kind != "expand":
            run_step(node, step)
        else:
            result = (step.ask, "failed", "", -1, node.lease_until, node.clock())
            world.deliver(node, 1, lambda: node.sequencer.ran(*result))

    world.run_step = refuse  # type: ignore[method-assign]
    world.apply(node, node.sequencer.resume(1, node.clock()))
    world.run_until("expanding")
    bank.fail_over()
    bank.frozen.clear()
    world.apply(node, node.sequencer.back(1, node.clock()))
    world.settle()
    assert world.current_state().old == 1
