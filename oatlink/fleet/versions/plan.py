"""What an operator proposes: the commands that take each shard from one version to the next, and what is refused.

This module defines the form of a plan, its name (a hash), and every mistake that can be detected before anything runs.
No I/O. A plan is stored in one register, so its text is limited by that (`MAX_VALUE_BYTES`): a change of layout that
needs more commands is a script on the server, and the plan calls it.

What cannot be checked, and what the author therefore promises: each step run twice gives the same as run once; after
`expand` both versions are served; `undo` reverses `expand`, also one that ran in part or not at all.
"""

from collections.abc import Iterator
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from oatlink.fleet.messages import MAX_VALUE_BYTES
from oatlink.fleet.versions import marker
from oatlink.fleet.versions.state import State, max_encoded_bytes

# Refused because the answer comes later or never (blocking), the connection behaves differently afterwards, the
# transaction is not the one with the marker, the database is another than the marker's, or the marker is deleted.
_REFUSED = """
    MULTI EXEC DISCARD WATCH UNWATCH SUBSCRIBE PSUBSCRIBE SSUBSCRIBE UNSUBSCRIBE PUNSUBSCRIBE SUNSUBSCRIBE
    MONITOR SYNC PSYNC BLPOP BRPOP BRPOPLPUSH BLMOVE BLMPOP BZPOPMIN BZPOPMAX BZMPOP WAIT WAITAOF XREAD
    XREADGROUP SELECT SWAPDB QUIT RESET HELLO AUTH CLIENT REPLICAOF SLAVEOF FAILOVER SHUTDOWN DEBUG FLUSHALL
    FLUSHDB
"""
REFUSED = frozenset(_REFUSED.split())
MAX_VERSION = 1_000_000
WORDS = ("go", "back")

Commands = tuple[tuple[str, ...], ...]


class ShardPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One bank's steps. `after`: banks whose step is done before this one's; `undo` runs in the reverse order."""

    expand: Commands = ()
    contract: Commands = ()
    undo: Commands = ()
    after: tuple[str, ...] = ()

    def commands(self, kind: str) -> Commands:
        """The commands of the step of this kind."""
        return {"expand": self.expand, "contract": self.contract, "undo": self.undo}.get(kind, ())


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change from `base` to `version`. `stay_ms`: the least time in which both are served, the new one as default."""

    version: Annotated[int, Meta(gt=0, le=MAX_VERSION)]
    base: Annotated[int, Meta(gt=0, le=MAX_VERSION)]
    shards: dict[str, ShardPlan]
    stay_ms: Annotated[int, Meta(ge=0, le=86_400_000)] = 0
    hash: str = ""


class Wanted(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of the register `versions/plan`: a request for the plan with this name, and its text if known."""

    word: str
    name: str
    plan: Plan | None = None


def name_of(plan: Plan) -> str:
    """The plan's hash, computed without its own `hash` field."""
    unnamed = msgspec.structs.replace(plan, hash="")
    return xxhash.xxh64(msgspec.json.encode(unnamed, order="deterministic")).hexdigest()


def parse(text: bytes) -> Plan | str:
    """The plan in this text, or one line `path: what is wrong there`."""
    try:
        return msgspec.json.decode(text, type=Plan)
    except msgspec.ValidationError as error:
        words, _, place = str(error).partition(" - at `$")
        return f"{place.rstrip('`').lstrip('.') or 'top level'}: {words[:1].lower()}{words[1:]}"
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return f"top level: expected JSON: {error}"


def decode_wanted(value: bytes) -> Wanted | None:
    """The content of the register, None if it is not valid."""
    try:
        wanted = msgspec.json.decode(value, type=Wanted)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return wanted if wanted.word in WORDS else None


def encode_wanted(word: str, name: str, plan: Plan | None) -> bytes:
    """The register's value."""
    return msgspec.json.encode(Wanted(word, name, plan), order="deterministic")


def check(plan: Plan, banks: tuple[str, ...], state: State) -> Iterator[str]:
    """Yield each mistake as `path: expected ...`. `banks`: those of the settings."""
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
            for index, command in enumerate(shard.commands(kind)):
                yield from _check_command(f"shards[{bank!r}].{kind}[{index}]", command)
    cycle = _find_cycle(plan)
    if cycle:
        yield f"shards: expected an order of banks, `after` goes round: {' after '.join(cycle)}"
    size_bytes = len(encode_wanted("back", name_of(plan), plan))
    if size_bytes > MAX_VALUE_BYTES:
        yield f"top level: expected at most {MAX_VALUE_BYTES} bytes as JSON, got {size_bytes}"
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


def _find_cycle(plan: Plan) -> list[str]:
    """Banks that wait for each other in a cycle, or an empty list, in O(banks + their `after`)."""
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
