"""Discovery: what its answers say, which of them count, one call, and the watch that makes the calls."""

from oatlink.platform.discovery.calls import MOST_BYTES
from oatlink.platform.discovery.lists import Entry, ListError, News, Page, Server, read, server_of
from oatlink.platform.discovery.watch import CALL_S, Discovery

__all__ = ["CALL_S", "MOST_BYTES", "Discovery", "Entry", "ListError", "News", "Page", "Server", "read", "server_of"]
