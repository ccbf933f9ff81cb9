"""What an operator proposes: the commands that take each shard from one version to the next, and what is refused.

What may live here: the plan's form, its name (a hash), and every mistake that can be seen before anything runs. No
I/O. The plan stands in one register, so its text is bounded by that (`MAX_VALUE_BYTES`): a change of layout that needs
more commands is a script on the server, and the plan calls it.

What nobody can check and the author promises: each step run twice is the same as run once; after `expand` both
versions are served; `undo` takes back `expand`, also one that ran in part or not at all.
"""

from collections.abc import Iterator
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from oatlink.fleet.messages import MAX_VALUE_BYTES
from oatlink.fleet.versions import marker
from oatlink.fleet.versions.state import State, max_encoded_bytes

# Threats: an answer that comes later or never (blocking), a connection that speaks otherwise afterwards, a
# transaction that is not the one with the marker, another database than the marker's, a marker that is wiped.
_REFUSED = """
    MULTI EXEC DISCARD WATCH UNWATCH SUBSCRIBE PSUBSCRIBE SSUBSCRIBE UNSUBSCRIBE PUNSUBSCRIBE SUNSUBSCRIBE
    MONITOR SYNC PSYNC BLPOP BRPOP BRPOPLPUSH BLMOVE BLMPOP BZPOPMIN BZPOPMAX BZMPOP WAIT WAITAOF XREAD
    XREADGROUP SELECT SWAPDB QUIT RESET HELLO AUTH CLIENT REPLICAOF SLAVEOF FAILOVER SHUTDOWN DEBUG FLUSHALL
    FLUSHDB
"""
REFUSED = frozenset(_REFUSED.split())
MOST_VERSION = 1_000_000
WORDS = ("go", "back")

Commands = tuple[tuple[str, ...], ...]


class ShardPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One bank's steps. `after`: banks whose step is done before this one's; `undo` goes the other way round."""

    expand: Commands = ()
    contract: Commands = ()
    undo: Commands = ()
    after: tuple[str, ...] = ()

    def commands(self, kind: str) -> Commands:
        """Those of the step of this kind."""
        return {"expand": self.expand, "contract": self.contract, "undo": self.undo}.get(kind, ())


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """From version `base` to `version`. `stay_ms`: how long both are served with the new one as default, at least."""

    version: Annotated[int, Meta(gt=0, le=MOST_VERSION)]
    base: Annotated[int, Meta(gt=0, le=MOST_VERSION)]
    shards: dict[str, ShardPlan]
    stay_ms: Annotated[int, Meta(ge=0, le=86_400_000)] = 0
    hash: str = ""


class Wanted(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the register `versions/plan` holds: a word on the plan with this name, and its text where that is known."""

    word: str
    name: str
    plan: Plan | None = None


def name_of(plan: Plan) -> str:
    """The plan's hash, whatever it says that it is."""
    same = msgspec.structs.replace(plan, hash="")
    return xxhash.xxh64(msgspec.json.encode(same, order="deterministic")).hexdigest()


def read(text: bytes) -> Plan | str:
    """A plan's text made into one, or one line `path: what is wrong there`."""
    try:
        return msgspec.json.decode(text, type=Plan)
    except msgspec.ValidationError as error:
        words, _, place = str(error).partition(" - at `$")
        return f"{place.rstrip('`').lstrip('.') or 'top level'}: {words[:1].lower()}{words[1:]}"
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return f"top level: expected JSON: {error}"


def wanted(value: bytes) -> Wanted | None:
    """What the register holds, None where it makes no sense."""
    try:
        found = msgspec.json.decode(value, type=Wanted)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return found if found.word in WORDS else None


def encoded(word: str, name: str, plan: Plan | None) -> bytes:
    """The register's value."""
    return msgspec.json.encode(Wanted(word, name, plan), order="deterministic")


def check(plan: Plan, banks: tuple[str, ...], state: State) -> Iterator[str]:
    """Each mistake as `path: expected ...`. `banks`: those of the settings."""
    if plan.base != state.old or state.phase != "idle":
        yield f"base: expected the version that is served alone, {list(state.served)} in phase {state.phase}"
    if plan.version != plan.base + 1:
        yield f"version: expected {plan.base + 1}, one more than base, got {plan.version}"
    if plan.hash and plan.hash != name_of(plan):
        yield f"hash: expected {name_of(plan)}, got {plan.hash!r}: the plan is not the one that was hashed"
    for bank in banks:
        if bank not in plan.shards:
            yield f"shards: expected one for each bank, {bank!r} is missing"
    for bank, shard in plan.shards.items():
        if bank not in banks:
            yield f"shards[{bank!r}]: expected a bank of the settings"
            continue
        for other in shard.after:
            if other not in plan.shards:
                yield f"shards[{bank!r}].after: expected banks of the plan, got {other!r}"
        for kind in ("expand", "contract", "undo"):
            for at, command in enumerate(shard.commands(kind)):
                yield from _check_command(f"shards[{bank!r}].{kind}[{at}]", command)
    circle = _circle(plan)
    if circle:
        yield f"shards: expected an order of banks, `after` goes round: {' after '.join(circle)}"
    size = len(encoded("back", name_of(plan), plan))
    if size > MAX_VALUE_BYTES:
        yield f"top level: expected at most {MAX_VALUE_BYTES} bytes as JSON, got {size}"
    if max_encoded_bytes(state, banks, plan.version) > MAX_VALUE_BYTES:
        yield f"shards: expected fewer banks: what is known of {len(banks)} does not fit {MAX_VALUE_BYTES} bytes"


def _check_command(path: str, command: tuple[str, ...]) -> Iterator[str]:
    word = command[0].upper() if command else ""
    if not word.strip():
        yield f"{path}: expected a command, got an empty one"
    elif word in REFUSED or word.strip() != word:
        yield f"{path}[0]: expected a command that may stand between MULTI and EXEC, got {command[0]!r}"
    elif marker.KEY in command:
        yield f"{path}: expected to leave the key {marker.KEY!r} alone"


def _circle(plan: Plan) -> list[str]:
    """Banks that wait for each other, or nothing. Work is O(banks + their `after`)."""
    done: dict[str, None] = {}
    for start in plan.shards:
        path: list[str] = [start]
        rest: list[list[str]] = [list(plan.shards[start].after)]
        on_path: dict[str, None] = {start: None}
        while rest:
            if not rest[-1] or path[-1] in done:
                rest.pop()
                done[path[-1]] = None
                del on_path[path.pop()]
                continue
            other = rest[-1].pop()
            if other in on_path:
                return [*path[path.index(other) :], other]
            if other in plan.shards and other not in done:
                path.append(other)
                rest.append(list(plan.shards[other].after))
                on_path[other] = None
    return []
