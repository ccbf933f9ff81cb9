"""The fleet's part of the settings: absent is off, each mistake is one line."""

import pytest

from oatlink.settings import SettingsError, load_text

BASE = """{
  banks: [{ name: 'b', slots: [[0, 16383]], members: [{ name: 'm', address: '127.0.0.1:1' }] }],
  classes: [],
}"""
FLEET = """{
  node: 'a', key_files: ['k'], state_dir: 's', drift: 0.001,
  nodes: [{ name: 'a', address: '127.0.0.1:7001', keeper: true }, { name: 'b', address: '127.0.0.1:7002' }],
  tenants: [{ name: 't', match: { users: ['u'] }, rate: 100, burst: 20, floor: 0.2 }],
}"""
A, T = "{ name: 'a', address: 'h:1' , keeper: true}", "{ name: 't', match: {}, rate: 1, burst: 40 }"
TWO_KEEPERS = "{ name: 'a', address: 'h:1', keeper: true }, { name: 'b', address: 'h:2', keeper: true }"


def read(more: str = "{}", fleet: str = FLEET) -> object:
    return load_text(f"{BASE} + {{ fleet: {fleet} + {more} }}", "file").fleet


def test_absent_is_off_and_a_whole_part_is_read() -> None:
    assert load_text(BASE, "file").fleet is None
    assert read() is not None


@pytest.mark.parametrize(
    ("more", "words"),
    [
        ("{ node: 'c' }", "fleet.node: expected a name in fleet.nodes"),
        ("{ nodes: [{ name: 'a', address: 'x' , keeper: true}] }", r"fleet.nodes[0].address: expected host:port"),
        ("{ nodes: [{ name: 'a', address: 'unix:/x' , keeper: true}] }", "expected host:port"),
        ("{ nodes: [" + A + ", { name: 'a', address: 'h:2' }] }", "expected a name of its own"),
        ("{ nodes: [" + A + ", { name: 'b', address: 'h:1' }] }", "expected an address of its own"),
        ("{ nodes: [{ name: 'a', address: 'h:1' }] }", "expected an odd number of keepers, got 0"),
        ("{ nodes: [" + TWO_KEEPERS + "] }", "expected an odd number of keepers, got 2"),
        ("{ tenants: [{ name: 't', match: {}, rate: 1, burst: 1, floor: 1.5 }] }", "fleet.tenants[0].floor"),
        ("{ tenants: [{ name: 't', match: {}, rate: 1, burst: 4, floor: 0.2 }] }", "under one request each"),
        ("{ tenants: [{ name: 't', match: {}, rate: 0, burst: 4 }] }", "fleet.tenants[0].rate"),
        ("{ tenants: [" + T + ", " + T + "] }", "fleet.tenants[1].name: expected a name of its own"),
        ("{ key_files: [] }", "fleet.key_files"),
        ("{ drift: 0.5 }", "fleet.drift"),
        ("{ members: { dials_per_s: 5, dials_burst: 2, floor: 0.1 } }", "fleet.members.floor"),
        ("{ spelt: 1 }", "unknown field"),
    ],
)
def test_a_mistake_is_one_line_with_its_place(more: str, words: str) -> None:
    with pytest.raises(SettingsError) as problem:
        read(more)
    assert words in str(problem.value) and "\n" not in str(problem.value)


def test_a_node_is_one_process() -> None:
    with pytest.raises(SettingsError, match="workers: expected 1 with a fleet part"):
        load_text(f"{BASE} + {{ workers: 2, fleet: {FLEET} }}", "file")
