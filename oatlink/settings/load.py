"""A settings file to settings; every mistake is one line: file, path to the value, what was expected."""

import re
from pathlib import Path
from typing import TypeVar

import _jsonnet
import msgspec
import xxhash

from oatlink.settings.model import Settings, check

T = TypeVar("T")


class SettingsError(Exception):
    """A settings file that cannot be used; the text is one line for a person."""


def load(path: str) -> Settings:
    """Read, evaluate, decode and check a file. Raises `SettingsError`."""
    return load_text(_read(path), path)


def load_text(text: str, name: str) -> Settings:
    """The same for a text; `name` stands for the file in errors. Imports are read beside the file."""
    settings = decode(text, name, Settings)
    mistakes = list(check(settings))
    if mistakes:
        more = f" (and {len(mistakes) - 1} more)" if len(mistakes) > 1 else ""
        raise SettingsError(f"{name}: {mistakes[0]}{more}")
    return settings


def evaluate(text: str, name: str) -> str:
    """A Jsonnet text as JSON. Raises `SettingsError`."""
    try:
        return str(_jsonnet.evaluate_snippet(name, text, max_stack=200))
    except RuntimeError as error:
        line = re.sub(r"^[A-Z]+ ERROR: ", "", " ".join(str(error).split("\n")[0].split()))
        raise SettingsError(line if line.startswith(name) else f"{name}: {line}") from None


def decode(text: str, name: str, kind: type[T]) -> T:
    """Evaluate a Jsonnet text and decode it as `kind`. Raises `SettingsError` naming file, place and need."""
    data = evaluate(text, name)
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        words, _, place = str(error).partition(" - at `$")
        path = place.rstrip("`").lstrip(".") or "top level"
        raise SettingsError(f"{name}: {path}: {words[:1].lower()}{words[1:]}") from None


def decode_file(path: str, kind: type[T]) -> T:
    """The same for a file."""
    return decode(_read(path), path, kind)


def _read(path: str) -> str:
    try:
        return Path(path).read_text("utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {re.sub(r'^.*] ', '', str(error)).split(':')[0]}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: byte {error.start}: expected UTF-8") from None


def settings_hash(settings: Settings) -> str:
    """A short name of all values, the same wherever they are the same."""
    return xxhash.xxh64(msgspec.json.encode(settings, order="deterministic")).hexdigest()
