"""The marker in each shard that shows which step ran there last, and whether another may run. No I/O.

The number of a step is assigned with the intention to run it, by a conditional change of one register. So no two steps
have the same number and a later step has a higher one, whichever sequencer assigned it: the number is the fence. It
prevents a late step when a sequencer was paused for an hour after it requested the step, or a socket delayed it for as
long: by then the marker shows a higher number and the step is refused, or the same number and the step is done. It also
prevents a step from running on top of a gap when the primary never had the step before (after a failover): then the
marker shows less than `after`.

A marker is written twice. *Begun* is in the same MULTI as the commands, so no step runs without its fence. *Done*
follows once the list of EXEC's replies was checked: a command that fails inside EXEC does not undo the others, and
would count as done. A step that has begun is run again; its author promised that this is the same as running it once.
"""

KEY = "oatlink:versions"
DONE, BEGUN = b"done", b"begun"
MAX_NUMBER = 2**53


def encode(step: int, version: int, done: bool) -> bytes:
    """The value of the key once a step has begun or is done."""
    return b"%d %d %s" % (step, version, DONE if done else BEGUN)


def completed_step(value: bytes | None) -> int:
    """The step up to which all is done by this value of the key; 0 if it is absent, -1 if it is no marker."""
    if value is None:
        return 0
    parts = value.split(b" ")
    if len(parts) != 3 or parts[2] not in (DONE, BEGUN) or not (parts[0].isdigit() and len(parts[0]) <= 16):
        return -1
    step = int(parts[0])
    # A step begins only after the one it follows was done (`decide`), so a begun step shows that all below it are done.
    return step if parts[2] == DONE else step - 1


def decide(value: bytes | None, step: int, after: int) -> str:
    """Whether a step may run by this value of the key: run, done (already), fenced, behind, or failed (no marker)."""
    number = completed_step(value)
    if number < 0:
        return "failed"
    if number > step or (number == step and value is not None and value.endswith(BEGUN)):
        return "fenced"
    if number == step:
        return "done"
    return "run" if number >= after else "behind"
