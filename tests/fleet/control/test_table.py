"""That what is in force is always one whole version of the history, never one before, and in the end the newest."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from oatlink.fleet.control.table import Table, size_of
from oatlink.fleet.messages.control import Delta, Entry, Head, Page

KEPT, PAGE = 100, 60  # bytes: five changes, three entries


class Both:
    """A sender, what is on its way, and a reader."""

    def __init__(self, draw: Random) -> None:
        self.draw, self.sender, self.reader = draw, Table("all", KEPT), Table("all", KEPT)
        self.history: list[dict[str, bytes]] = [{}]
        self.way: list[Delta | Page] = []
        self.at, self.page = Head("all"), (0, "")  # what the sender thinks of the reader

    def commit(self) -> None:
        entry = Entry(f"k{self.draw.randrange(12)}", self.draw.randbytes(self.draw.choice((0, 9, 9))))
        assert self.sender.apply(Delta(0, len(self.history), (entry,)))
        self.history.append(dict(self.sender.entries))

    def subscribe(self) -> None:
        """From its own head, or in the middle of its snapshot."""
        self.at, under_way = self.reader.head, self.reader.snapshot_progress
        self.page = (-1, "")
        if under_way is not None and self.sender.changes_since(self.at) is None:
            self.at, self.page = Head("all", 0, under_way[1]), under_way[1:]

    def send(self) -> None:
        """All changes that the reader lacks, then a page; or a snapshot from its beginning."""
        while deltas := self.sender.changes_since(self.at, PAGE):
            self.way += deltas
            self.at = Head("all", 0, deltas[-1].version)
        page = None if deltas is None or self.page[0] < 0 else self.sender.page(*self.page, PAGE)
        if deltas is None or (self.page[0] >= 0 and page is None):
            self.at, page = self.sender.head, self.sender.page(self.sender.head.version, "", PAGE)
        if page is not None:
            self.way.append(page)
            after = page.entries[-1].key if page.entries else page.after
            self.page = (-1, "") if page.last else (page.first, after)

    def arrive(self, number: int) -> None:
        word, was = self.way[number], self.reader.head
        if isinstance(word, Page):
            self.reader.add_page(word)
        else:
            self.reader.apply(word)
        assert self.reader.head >= was
        assert self.reader.entries == self.history[self.reader.head.version]


@given(
    st.lists(st.sampled_from(("commit", "commit", "send", "arrive", "lose", "double", "overtake", "subscribe"))),
    st.integers(0, 99),
)
def test_only_whole_versions_in_order_and_in_the_end_the_newest(steps: list[str], seed: int) -> None:
    both = Both(Random(seed))
    for step in [*("commit",) * 20, *steps * 4]:
        if step in ("commit", "send", "subscribe"):
            getattr(both, step)()
        elif both.way:
            both.arrive(0 if step != "overtake" else len(both.way) - 1) if step != "lose" else None
            del both.way[: step != "double"]
    both.way.clear()
    for _ in range(40):  # links have healed: pages of 300 bytes' worth, with a change between any two
        if both.reader.head == both.sender.head:
            break
        both.subscribe()
        both.send()
        if both.reader.head.version == 0 and seed % 2:
            both.commit()
        for number in range(len(both.way)):
            both.arrive(number)
        both.way.clear()
    assert both.reader.head == both.sender.head and both.reader.snapshot_progress is None


def test_a_message_that_breaks_a_bound_or_belongs_to_another_epoch_changes_nothing() -> None:
    table = Table("all")
    table.apply(Delta(0, 1, (Entry("a", b"1"),)))
    for bad in (Entry("", b"1"), Entry("k" * 129, b"1"), Entry("a", bytes(4_097))):
        assert not table.apply(Delta(0, 2, (bad,)))
        assert not table.add_page(Page("all", 0, 2, 2, 2, "", (bad,), True))
    assert not table.apply(Delta(1, 2, ())) and not table.apply(Delta(0, 3, ())) and not table.apply(Delta(0, 1, ()))
    assert not table.add_page(Page("all", 0, 1, 1, 1, "", (), True))  # a snapshot of what is in force already
    assert table.head == Head("all", 0, 1) and table.entries == {"a": b"1"} and table.dropped == 10
    assert table.add_page(Page("all", 1, 0, 0, 0, "", (), True)) and table.entries == {}  # a history begun anew


def test_kept_changes_are_bounded_and_a_snapshot_that_changes_have_passed_is_discarded() -> None:
    sender, reader = Table("all", KEPT), Table("all", KEPT)
    for version in range(1, 200):
        sender.apply(Delta(0, version, (Entry(f"k{version % 5}", bytes(20)),)))
        reader.apply(Delta(0, version, (Entry(f"k{version % 5}", bytes(20)),)))
    kept = sender.changes_since(Head("all", 0, sender.floor), 10**6)
    assert kept and size_of(one for delta in kept for one in delta.entries) <= KEPT
    page = sender.page(sender.head.version, "", PAGE)
    ahead = page.now if page is not None else 0
    reader = Table("all", KEPT)
    reader.add_page(Page("all", 0, 2, 2, 2, "", (Entry("k", b"1"),)))
    for version in (1, 2):  # meanwhile another upstream has the changes: no page is needed any more
        assert reader.snapshot_progress is not None and reader.apply(Delta(0, version, ()))
    assert reader.snapshot_progress is None
    reader, late = Table("all", KEPT), Delta(0, ahead + 1, ())
    assert page is not None and not page.last and not reader.add_page(page) and reader.snapshot_progress is not None
    while reader.snapshot_progress is not None:  # more changes come than anybody keeps
        reader.apply(late)
        late = Delta(0, late.version + 1, (Entry("x", bytes(50)),))
        assert late.version < 300


def test_a_snapshot_without_all_its_changes_is_not_in_force() -> None:
    for come, whole in ((1, False), (2, True)):
        reader = Table("all")
        assert not reader.add_page(Page("all", 0, 5, 5, 5, "", (Entry("a", b"1"),)))
        for version in range(6, 6 + come):
            assert reader.apply(Delta(0, version, (Entry("a", b"%d" % version),)))
        assert reader.add_page(Page("all", 0, 5, 7, 5, "a", (Entry("b", b"1"),), True)) is whole
        assert reader.entries == ({"a": b"7", "b": b"1"} if whole else {}) and reader.snapshot_progress is None
