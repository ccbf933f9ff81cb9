"""Settings: each mistake is reported as one line with the path to the wrong value and what was expected."""

import subprocess
import sys
from pathlib import Path

import pytest

from oatlink.settings import SettingsError, load, load_text, settings_hash

ROOT = Path(__file__).parent.parent
VALID = """{
  banks: [{ name: 'b', slots: [[0, 16383]], members: [{ name: 'x', address: '127.0.0.1:7001' }] }],
  classes: [{ name: 'post', freshness: 'write', effect: 'keyed', aim_ms: 10, deadline_ms: 20, repeat_window_ms: 5 }],
}"""


def test_the_example_file_is_valid_and_has_the_expected_classes_and_halls() -> None:
    settings = load(str(ROOT / "docs" / "operate" / "example.jsonnet"))
    assert [request_class.name for request_class in settings.classes][:3] == ["price-view", "price-check", "price-post"]
    assert len(settings.banks) == 2 and {member.hall for bank in settings.banks for member in bank.members} == {
        "ebene-a",
        "ebene-b",
        "cybercity-c",
    }
    assert settings_hash(settings) == settings_hash(load(str(ROOT / "docs" / "operate" / "example.jsonnet")))


@pytest.mark.parametrize(
    ("change", "line"),
    [
        (("7001", "x"), "f: banks[0].members[0].address: expected host:port or unix:PATH, got '127.0.0.1:x'"),
        (("name: 'x'", "nam: 'x'"), "f: banks[0].members[0]: object contains unknown field `nam`"),
        (("aim_ms: 10", "aim_ms: 'a'"), "f: classes[0].aim_ms: expected `int`, got `str`"),
        (("aim_ms: 10", "aim_ms: 30"), "f: classes[0].aim_ms: expected at most deadline_ms (20), got 30"),
        (("repeat_window_ms: 5", ""), "f: classes[0].repeat_window_ms: expected above 0 for a keyed class"),
        (("16383", "16382"), "f: banks: expected all 16384 slots to be held, 1 are not"),
        (("[0, 16383]", "[0, 16383], [5, 6]"), "f: banks[0].slots[1]: expected slots of its own, 5 is also in"),
        (("'write', e", "'wrong', e"), "f: classes[0].freshness: invalid enum value 'wrong'"),
        (("}],\n}", "}],\n"), "f:"),
        (("}],\n}", "}], admin_listen: '0.0.0.0:1' }"), "f: admin_listen: expected an address of loopback"),
        (("name: 'b'", "name: 'x'"), "f: banks[0].members[0].name: expected a name of its own, 'x' is also banks[0]"),
    ],
)
def test_each_mistake_is_reported_as_one_line(change: tuple[str, str], line: str) -> None:
    assert change[0] in VALID
    with pytest.raises(SettingsError) as caught:
        load_text(VALID.replace(*change), "f")
    assert str(caught.value).startswith(line) and "\n" not in str(caught.value)


def test_commands_print_the_mistake_and_exit_with_code_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.jsonnet"
    path.write_text(VALID.replace("7001", "x"))
    for args in (
        ["check-settings", str(path)],
        ["gateway", str(path)],
        ["check-settings", str(tmp_path / "none")],
        ["day", "--scenario", str(path)],
    ):
        done = subprocess.run([sys.executable, "-m", "oatlink", *args], capture_output=True, text=True, timeout=20)
        assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
    path.write_text(VALID)
    done = subprocess.run(
        [sys.executable, "-m", "oatlink", "check-settings", str(path)], capture_output=True, text=True
    )
    assert done.returncode == 0 and "good: 1 banks" in done.stdout
