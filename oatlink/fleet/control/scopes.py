"""Names of scopes, and which of them a process takes. No state.

`all`, `region/R`, `zone/R/Z` and `group/G` are for readers; `names/R/Z` (who is there) is for sources alone. A scope
for readers exists where `all` has an entry `key_of(scope)`: `group/G`, whatever its value, `readers/R` and
`readers/R/Z` with the number of readers there, in digits.
"""

from oatlink.fleet.control.bounds import is_scope
from oatlink.fleet.messages.control import MAX_SCOPES_PER_READER

ALL = "all"
COUNTS = "readers/"  # keys in `all` that sources alone write


def names_of(region: str, zone: str) -> str:
    """The scope with the names of a zone."""
    return f"names/{region}/{zone}"


def is_names(scope: str) -> bool:
    """Whether only sources take it."""
    return scope.startswith("names/")


def zone_of(names: str) -> tuple[str, str]:
    """Region and zone of a scope `names/R/Z`."""
    _, region, zone = names.split("/")
    return region, zone


def key_of(scope: str) -> str:
    """The key in `all` that says that a scope for readers exists; a region's or zone's tells how many are there."""
    kind, _, rest = scope.partition("/")
    return scope if kind == "group" else f"{COUNTS}{rest}"


def scope_of(key: str) -> str:
    """The scope that an entry of `all` says to exist, empty where it says so of none."""
    kind, _, rest = key.partition("/")
    scope = key if kind == "group" else f"{'zone' if '/' in rest else 'region'}/{rest}" if kind == "readers" else ""
    return scope if is_scope(scope) else ""


def taken_by(region: str, zone: str, groups: tuple[str, ...] = ()) -> tuple[str, ...]:
    """What a process of this region, zone and these groups takes. ValueError for a name that is none, or too many."""
    scopes = dict.fromkeys((ALL, f"region/{region}", f"zone/{region}/{zone}", *(f"group/{one}" for one in groups)))
    for one in scopes:
        if not is_scope(one):
            raise ValueError(f"{one!r} is no scope")
    if len(scopes) > MAX_SCOPES_PER_READER:
        raise ValueError(f"{len(scopes)} scopes, {MAX_SCOPES_PER_READER} at most")
    return tuple(scopes)
