"""The fleet's part of the settings: absent is off, each mistake is one line."""

import pytest

from oatlink.fleet.messages import control
from oatlink.settings import SettingsError, load_text
from oatlink.settings.fleet import MOST_SCOPE, Fleet, fleet_hash

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


# ---- With a part for the stream of control ----

SOURCES = ", ".join(f"{{ name: 's{n}', address: '127.0.0.1:701{n}', keeper: true }}" for n in range(3))
CONTROL = f"sources: [{SOURCES}], region: 'north', zone: 'n1'"
READER = f"""{{
  node: 'a', key_files: ['k'], state_dir: 's', nodes: [{{ name: 'a', address: '127.0.0.1:7001' }}],
  control: {{ {CONTROL} }},
}}"""
TWICE = "{ name: 's1', address: 'h:1' }"


def part(more: str = "{}") -> Fleet:
    found = read(more, READER)
    assert isinstance(found, Fleet)
    return found


def test_with_control_a_file_names_the_sources_and_its_own_node() -> None:
    one = part()
    assert one.own_node.name == "a" and one.keepers == ("s0", "s1", "s2")
    assert [each.name for each in one.named_nodes] == ["s0", "s1", "s2", "a"]
    source = part("{ node: 's1', nodes: [{ name: 's1', address: '127.0.0.1:7011', keeper: true }] }")
    assert source.own_node.keeper and [each.name for each in source.named_nodes] == ["s0", "s1", "s2"]


@pytest.mark.parametrize(
    ("more", "is_same"),
    [
        ("{ node: 'b', nodes: [{ name: 'b', address: '127.0.0.1:9' }] }", True),
        ("{ drift: 0.01, most_bytes: 40000, state_dir: 'other', key_files: ['n', 'k'] }", True),
        ("{ control+: { zone: 'n2', region: 'south', groups: ['g'], relays: 9 } }", True),
        ("{ control+: { sources: std.reverse(super.sources) } }", True),
        ("{ control+: { sources: [one { address: 'h:1' + one.name[1] } for one in super.sources] } }", True),
        ("{ control+: { sources+: [{ name: 's3', address: 'h:1' }] } }", False),
        ("{ control+: { sources: [one { keeper: one.name == 's0' } for one in super.sources] } }", False),
    ],
)
def test_nodes_greet_one_another_unless_their_majorities_could_differ(more: str, is_same: bool) -> None:
    assert (fleet_hash(part(more)) == fleet_hash(part())) == is_same


def test_a_scopes_longest_name_is_the_same_in_settings_and_words() -> None:
    assert MOST_SCOPE == control.MAX_SCOPE_NAME_BYTES


def test_files_of_today_greet_as_before() -> None:
    found = read()
    assert isinstance(found, Fleet) and found.control is None
    assert fleet_hash(found) == "51d594a5c271915b"


@pytest.mark.parametrize(
    ("more", "words"),
    [
        ("{ control+: { sources: [" + TWICE + "] } }", "fleet.control.sources"),
        ("{ control+: { sources+: [" + TWICE + "] } }", "fleet.control.sources[3].name: expected a name of its own"),
        ("{ control+: { sources+: [{ name: 'x', address: 'y' }] } }", "sources[3].address: expected host:port"),
        ("{ control+: { sources+: [{ name: 'x', address: '127.0.0.1:7001' }] } }", "also that of 'a'"),
        ("{ control+: { sources+: [{ name: 'x', address: 'h:1', keeper: true }] } }", "odd number of keepers, got 4"),
        ("{ nodes+: [{ name: 's1', address: 'h:1' }] }", "sources[1]: expected the same line as in fleet.nodes"),
        ("{ nodes+: [{ name: 'x', address: 'h:1', keeper: true }] }", "fleet.nodes[1].keeper: expected false"),
        ("{ control+: { groups: ['g', 'g'] } }", "fleet.control.groups: expected each name once"),
        ("{ control+: { region: std.repeat('r', 30), zone: std.repeat('z', 28) } }", "scopes of at most 64 characters"),
        ("{ control+: { groups: [std.repeat('g', 60)] } }", "scopes of at most 64 characters"),
        ("{ control+: { relays: 300 } }", "fleet.control.relays"),
        ("{ control+: { zone: 'a/b' } }", "fleet.control.zone"),
        ("{ tenants: [" + T + "] }", "fleet.tenants: expected none with fleet.control"),
        ("{ members: { dials_per_s: 5 } }", "fleet.members.dials_per_s: expected none with fleet.control"),
        ("{ versions: {} }", "fleet.versions: expected none with fleet.control"),
    ],
)
def test_a_mistake_in_the_part_for_control_is_one_line(more: str, words: str) -> None:
    with pytest.raises(SettingsError) as problem:
        part(more)
    assert words in str(problem.value) and "\n" not in str(problem.value)
