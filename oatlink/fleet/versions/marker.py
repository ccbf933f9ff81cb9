"""The marker in each shard that tells which step ran there last, and whether another may. No I/O.

The number of a step is given out with the step's intention, by a conditional change of one register: no two steps
have the same, a later one has a higher one, whichever sequencer gave it out. So the number is the fence. Threat: a
sequencer that stood still for an hour after it asked for a step, or a socket that held it for as long: the marker
shows a higher number by then and the step is refused, or it shows the same and the step is done. Threat: a primary
that never had the step before (it failed over): the marker shows less than `after`, and nothing runs on top of a gap.

A marker is written twice. *Begun* stands in the same MULTI as the commands, so no step runs without its fence. *Done*
follows once EXEC's list was looked through: a command that failed inside EXEC does not undo the ones around it, and
would count as done. A step begun is run again, which its author promised to be the same as once.
"""

KEY = "oatlink:versions"
DONE, BEGUN = b"done", b"begun"
MOST_NUMBER = 2**53


def encode(step: int, version: int, done: bool) -> bytes:
    """What the key holds once a step has begun or is done."""
    return b"%d %d %s" % (step, version, DONE if done else BEGUN)


def completed_step(value: bytes | None) -> int:
    """The step up to which all was done where the key holds this; 0 where it holds nothing, -1 for another's value."""
    if value is None:
        return 0
    parts = value.split(b" ")
    if len(parts) != 3 or parts[2] not in (DONE, BEGUN) or not (parts[0].isdigit() and len(parts[0]) <= 16):
        return -1
    step = int(parts[0])
    # What a step follows was done before it began (`decide`), so one begun shows all below it.
    return step if parts[2] == DONE else step - 1


def decide(value: bytes | None, step: int, after: int) -> str:
    """Whether a step may run where the key holds `value`: run, done (it has), fenced, behind, or failed (not ours)."""
    number = completed_step(value)
    if number < 0:
        return "failed"
    if number > step or (number == step and value is not None and value.endswith(BEGUN)):
        return "fenced"
    if number == step:
        return "done"
    return "run" if number >= after else "behind"
