"""The database servers as discovery has listed them: their local numbers, groups and last entries."""

from oatlink import interface as api
from oatlink.interface import RosterKind
from oatlink.platform import requests as req
from oatlink.platform.discovery import News
from oatlink.platform.servers import Servers
from oatlink.platform.unix_clock import UnixClock


class ServerList:
    """Applies discovery's news to the pools of connections, and translates it for the Router."""

    def __init__(self, servers: Servers, unix_clock: UnixClock) -> None:
        self._servers, self._unix_clock = servers, unix_clock
        self.numbers = req.MemberNumbers()
        self.groups: set[int] = set()  # all that were ever listed
        self._entries: dict[int, api.RosterEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, news: News) -> api.Roster:
        """Take over what is listed now, and return it as the Router's event.

        An entry that could not be decoded stays as it was.
        """
        entries = []
        for server in news.servers:
            number = self.numbers.number_for(server.id)
            if server.listing is not api.Listing.GONE:
                self._servers.set_address(number, server.address)
                self.groups.add(server.group)
            started_us = self._unix_clock.to_clock_us(server.started_ms * 1000) if server.started_ms else 0
            entry = server.entry(number, started_us)
            self._entries[number] = entry
            entries.append(entry)
        unread = (self.numbers.number_for(name) for name in news.unread)
        entries += [known for number in unread if (known := self._entries.get(number)) is not None]
        return api.Roster(news.kind, tuple(entries))

    def recheck_waiting(self, roster: api.Roster) -> None:
        """Check again what waits for a connection to the listed servers: it was sent on the basis of an older list."""
        for entry in roster.entries:
            pool = self._servers.pool(entry.member)
            if pool is not None:
                pool.recheck_waiting()

    def forget_missing(self, roster: api.Roster) -> None:
        """Forget the servers that have left."""
        listed = {entry.member for entry in roster.entries}
        is_whole = roster.kind is not RosterKind.CHANGES

        def stays(number: int) -> bool:
            entry = self._entries.get(number)
            return entry is not None and entry.listing is not api.Listing.GONE and (not is_whole or number in listed)

        for number in self.numbers.retain(stays):
            self._entries.pop(number, None)
            self._servers.remove(number)
