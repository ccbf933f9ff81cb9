"""Matching of commands against a `match` of the settings, for request classes and tenants alike."""

from fnmatch import fnmatchcase
from functools import lru_cache

from oatlink.settings.parts import Match


def matches(match: Match, command: str, key: str, user: str, client: str) -> bool:
    """Whether a command meets all conditions that are set. `command` is lowercase; `key` is its first key, or empty."""
    if match.commands and command not in _lowered(match.commands):
        return False
    if match.keys and not any(fnmatchcase(key, pattern) for pattern in match.keys):
        return False
    if match.users and user not in match.users:
        return False
    return not match.client_names or any(fnmatchcase(client, pattern) for pattern in match.client_names)


@lru_cache(maxsize=1_024)
def _lowered(names: tuple[str, ...]) -> frozenset[str]:
    return frozenset(name.lower() for name in names)
