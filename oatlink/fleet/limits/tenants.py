"""The tenant that a command counts for: the first one in the settings whose `match` matches. No I/O.

Decisions are cached by those parts of a command that some `match` asks for. Parts that no `match` asks for are not in
the cache key, so that the cache has no more entries than the traffic has distinct combinations.
"""

from collections import OrderedDict
from collections.abc import Sequence

from oatlink.settings.fleet import Tenant
from oatlink.settings.matching import matches

MAX_CACHED_DECISIONS = 4_096
MAX_CACHED_KEY_BYTES = 256  # prevents a cache with 4,096 keys of megabytes each


class Tenants:
    """Finds the tenant of each command."""

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        self._tenants = tuple(tenants)
        self._by_key = any(tenant.match.keys for tenant in tenants)
        self._by_user = any(tenant.match.users for tenant in tenants)
        self._by_client = any(tenant.match.client_names for tenant in tenants)
        self._cache: OrderedDict[tuple[str, bytes, str, str], str] = OrderedDict()

    def name_of(self, command: str, keys: Sequence[bytes], user: str, client: str) -> str:
        """Return the tenant's name, empty if none matches. `command` is in lower case."""
        if not self._tenants:
            return ""
        key = keys[0] if keys and self._by_key else b""
        shape = command, key, user if self._by_user else "", client if self._by_client else ""
        name = self._cache.get(shape)
        if name is None:
            name = self._find(*shape)
            if len(key) <= MAX_CACHED_KEY_BYTES:
                self._cache[shape] = name
                if len(self._cache) > MAX_CACHED_DECISIONS:
                    self._cache.popitem(last=False)
        return name

    def _find(self, command: str, key: bytes, user: str, client: str) -> str:
        text = key.decode("utf-8", "surrogateescape")
        for tenant in self._tenants:
            if matches(tenant.match, command, text, user, client):
                return tenant.name
        return ""
