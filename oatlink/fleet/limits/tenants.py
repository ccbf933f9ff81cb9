"""Which tenant a command counts for: the first one of the settings whose `match` takes it. No I/O.

What decides is data; what may live here is how little of a command is looked at, so that the decisions that are kept
are as few as the shapes of a site's traffic: a part that no `match` asks for is not part of the shape.
"""

from collections import OrderedDict
from collections.abc import Sequence

from oatlink.settings.fleet import Tenant
from oatlink.settings.matching import matches

REMEMBERED = 4_096  # decisions kept
LONGEST_KEY = 256  # bytes. Threat: keys of megabytes, kept 4,096 times


class Tenants:
    """The tenant of each command."""

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        self._tenants = tuple(tenants)
        self._by_key = any(one.match.keys for one in tenants)
        self._by_user = any(one.match.users for one in tenants)
        self._by_client = any(one.match.client_names for one in tenants)
        self._found: OrderedDict[tuple[str, bytes, str, str], str] = OrderedDict()

    def name_of(self, command: str, keys: Sequence[bytes], user: str, client: str) -> str:
        """The tenant's name, empty where none takes the command. `command` is in small letters."""
        if not self._tenants:
            return ""
        key = keys[0] if keys and self._by_key else b""
        shape = command, key, user if self._by_user else "", client if self._by_client else ""
        found = self._found.get(shape)
        if found is None:
            found = self._find(*shape)
            if len(key) <= LONGEST_KEY:
                self._found[shape] = found
                if len(self._found) > REMEMBERED:
                    self._found.popitem(last=False)
        return found

    def _find(self, command: str, key: bytes, user: str, client: str) -> str:
        text = key.decode("utf-8", "surrogateescape")
        for one in self._tenants:
            if matches(one.match, command, text, user, client):
                return one.name
        return ""
