"""Discovery client: decodes discovery's answers, decides which count, makes single calls and follows changes."""

from oatlink.platform.discovery.calls import MOST_BYTES
from oatlink.platform.discovery.lists import Entry, ListError, News, Page, Server, read, server_of
from oatlink.platform.discovery.watch import CALL_S, Discovery

__all__ = ["CALL_S", "MOST_BYTES", "Discovery", "Entry", "ListError", "News", "Page", "Server", "read", "server_of"]
