"""Tests that a table always has one whole version of the history, never goes back, and in the end has the newest."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet.control.table import Table, size_of
from oatlink.fleet.messages.control import Delta, Entry, Head, Page

KEPT, PAGE = 100, 60  # bytes: five changes, three entries


class Link:
    """A sender, what is on its way, and a reader."""

    def __init__(self, draw: Random) -> None:
        self.draw, self.sender, self.reader = draw, Table("all", KEPT), Table("all", KEPT)
        self.history: list[dict[str, bytes]] = [{}]
        self.on_the_way: list[Delta | Page] = []
        self.position, self.page = Head("all"), (0, "")  # the sender's view of the reader

    def commit(self) -> None:
        entry = Entry(f"k{self.draw.randrange(12)}", self.draw.randbytes(self.draw.choice((0, 9, 9))))
        assert self.sender.apply(Delta(0, len(self.history), (entry,)))
        self.history.append(dict(self.sender.entries))

    def subscribe(self) -> None:
        """Subscribe from the reader's head, or in the middle of its snapshot."""
        self.position, progress = self.reader.head, self.reader.snapshot_progress
        self.page = (-1, "")
        if progress is not None and self.sender.changes_since(self.position) is None:
            self.position, self.page = Head("all", 0, progress[1]), progress[1:]

    def send(self) -> None:
        """Send all changes that the reader lacks, then a page; or a snapshot from its beginning."""
        while deltas := self.sender.changes_since(self.position, PAGE):
            self.on_the_way += deltas
            self.position = Head("all", 0, deltas[-1].version)
        page = None if deltas is None or self.page[0] < 0 else self.sender.page(*self.page, PAGE)
        if deltas is None or (self.page[0] >= 0 and page is None):
            self.position, page = self.sender.head, self.sender.page(self.sender.head.version, "", PAGE)
        if page is not None:
            self.on_the_way.append(page)
            after = page.entries[-1].key if page.entries else page.after
            self.page = (-1, "") if page.last else (page.first, after)

    def arrive(self, number: int) -> None:
        message, head_before = self.on_the_way[number], self.reader.head
        if isinstance(message, Page):
            self.reader.add_page(message)
        else:
            self.reader.apply(message)
        assert self.reader.head >= head_before
        assert self.reader.entries == self.history[self.reader.head.version]


@given(
    st.lists(st.sampled_from(("commit", "commit", "send", "arrive", "lose", "double", "overtake", "subscribe"))),
    st.integers(0, 99),
)
def test_only_whole_versions_in_order_and_in_the_end_the_newest(steps: list[str], seed: int) -> None:
    link = Link(Random(seed))
    for step in [*("commit",) * 20, *steps * 4]:
        if step in ("commit", "send", "subscribe"):
            getattr(link, step)()
        elif link.on_the_way:
            link.arrive(0 if step != "overtake" else len(link.on_the_way) - 1) if step != "lose" else None
            del link.on_the_way[: step != "double"]
    link.on_the_way.clear()
    for _ in range(40):  # the link works again: pages of 300 bytes' worth, with a change between any two
        if link.reader.head == link.sender.head:
            break
        link.subscribe()
        link.send()
        if link.reader.head.version == 0 and seed % 2:
            link.commit()
        for number in range(len(link.on_the_way)):
            link.arrive(number)
        link.on_the_way.clear()
    assert link.reader.head == link.sender.head and link.reader.snapshot_progress is None


def test_a_message_that_breaks_a_bound_or_belongs_to_another_epoch_changes_nothing() -> None:
    table = Table("all")
    table.apply(Delta(0, 1, (Entry("a", b"1"),)))
    for bad in (Entry("", b"1"), Entry("k" * 129, b"1"), Entry("a", bytes(4_097))):
        assert not table.apply(Delta(0, 2, (bad,)))
        assert not table.add_page(Page("all", 0, 2, 2, 2, "", (bad,), True))
    assert not table.apply(Delta(1, 2, ())) and not table.apply(Delta(0, 3, ())) and not table.apply(Delta(0, 1, ()))
    assert not table.add_page(Page("all", 0, 1, 1, 1, "", (), True))  # a snapshot of what is in force already
    assert table.head == Head("all", 0, 1) and table.entries == {"a": b"1"} and table.dropped == 10
    assert table.add_page(Page("all", 1, 0, 0, 0, "", (), True)) and table.entries == {}  # a new epoch


def test_kept_changes_are_bounded_and_a_snapshot_that_changes_have_passed_is_discarded() -> None:
    sender, reader = Table("all", KEPT), Table("all", KEPT)
    for version in range(1, 200):
        sender.apply(Delta(0, version, (Entry(f"k{version % 5}", bytes(20)),)))
        reader.apply(Delta(0, version, (Entry(f"k{version % 5}", bytes(20)),)))
    kept = sender.changes_since(Head("all", 0, sender.floor), 10**6)
    assert kept and size_of(entry for delta in kept for entry in delta.entries) <= KEPT
    page = sender.page(sender.head.version, "", PAGE)
    page_version = page.now if page is not None else 0
    reader = Table("all", KEPT)
    reader.add_page(Page("all", 0, 2, 2, 2, "", (Entry("k", b"1"),)))
    for version in (1, 2):  # meanwhile another upstream sends the changes: no page is needed any more
        assert reader.snapshot_progress is not None and reader.apply(Delta(0, version, ()))
    assert reader.snapshot_progress is None
    reader, next_change = Table("all", KEPT), Delta(0, page_version + 1, ())
    assert page is not None and not page.last and not reader.add_page(page) and reader.snapshot_progress is not None
    while reader.snapshot_progress is not None:  # more changes come than are kept
        reader.apply(next_change)
        next_change = Delta(0, next_change.version + 1, (Entry("x", bytes(50)),))
        assert next_change.version < 300


def test_a_snapshot_without_all_its_changes_is_not_in_force() -> None:
    for change_count, is_whole in ((1, False), (2, True)):
        reader = Table("all")
        assert not reader.add_page(Page("all", 0, 5, 5, 5, "", (Entry("a", b"1"),)))
        for version in range(6, 6 + change_count):
            assert reader.apply(Delta(0, version, (Entry("a", b"%d" % version),)))
        assert reader.add_page(Page("all", 0, 5, 7, 5, "a", (Entry("b", b"1"),), True)) is is_whole
        assert reader.entries == ({"a": b"7", "b": b"1"} if is_whole else {}) and reader.snapshot_progress is None
