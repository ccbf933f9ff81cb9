"""Names of scopes, and which of them a process takes. No state.

`all`, `region/R`, `zone/R/Z` and `group/G` are for readers; `names/R/Z` (which processes there are) is for sources
only. A scope for readers exists if `all` has an entry `key_of(scope)`: `group/G` with any value, or `readers/R` and
`readers/R/Z` with the number of readers there, in digits.
"""

from oatlink.fleet.control.bounds import is_scope
from oatlink.fleet.messages.control import MAX_SCOPES_PER_READER

ALL = "all"
COUNTS = "readers/"  # prefix of the keys in `all` that only sources write


def names_of(region: str, zone: str) -> str:
    """Return the scope with the names of a zone."""
    return f"names/{region}/{zone}"


def is_names(scope: str) -> bool:
    """Return whether only sources take this scope."""
    return scope.startswith("names/")


def zone_of(names: str) -> tuple[str, str]:
    """Return region and zone of a scope `names/R/Z`."""
    _, region, zone = names.split("/")
    return region, zone


def key_of(scope: str) -> str:
    """Return the key in `all` by which a scope for readers exists.

    For a region or zone, the value at this key is the number of readers.
    """
    kind, _, rest = scope.partition("/")
    return scope if kind == "group" else f"{COUNTS}{rest}"


def scope_of(key: str) -> str:
    """Return the scope that exists by this key of `all`, '' if the key stands for none."""
    kind, _, rest = key.partition("/")
    scope = key if kind == "group" else f"{'zone' if '/' in rest else 'region'}/{rest}" if kind == "readers" else ""
    return scope if is_scope(scope) else ""


def taken_by(region: str, zone: str, groups: tuple[str, ...] = ()) -> tuple[str, ...]:
    """Return the scopes of a process of this region, zone and these groups.

    Raises ValueError for bad or too many names.
    """
    scopes = dict.fromkeys((ALL, f"region/{region}", f"zone/{region}/{zone}", *(f"group/{scope}" for scope in groups)))
    for scope in scopes:
        if not is_scope(scope):
            raise ValueError(f"{scope!r} is no scope")
    if len(scopes) > MAX_SCOPES_PER_READER:
        raise ValueError(f"{len(scopes)} scopes, {MAX_SCOPES_PER_READER} at most")
    return tuple(scopes)
