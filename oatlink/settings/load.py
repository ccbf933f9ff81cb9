"""Loads settings files. Every mistake is reported as one line: file, path to the value, what was expected."""

import re
from pathlib import Path
from typing import TypeVar

import _jsonnet
import msgspec
import xxhash

from oatlink.settings.model import Settings, check

T = TypeVar("T")


class SettingsError(Exception):
    """A settings file that cannot be used; the text is one line for the operator."""


def load(path: str) -> Settings:
    """Read, evaluate, decode and check a settings file. Raises `SettingsError`."""
    return load_text(_read(path), path)


def load_text(text: str, name: str) -> Settings:
    """Evaluate, decode and check a text. `name` is the file name for errors; imports are resolved relative to it."""
    settings = decode(text, name, Settings)
    mistakes = list(check(settings))
    if mistakes:
        more = f" (and {len(mistakes) - 1} more)" if len(mistakes) > 1 else ""
        raise SettingsError(f"{name}: {mistakes[0]}{more}")
    return settings


def evaluate(text: str, name: str) -> str:
    """Evaluate a Jsonnet text to JSON. Raises `SettingsError`."""
    try:
        return str(_jsonnet.evaluate_snippet(name, text, max_stack=200))
    except RuntimeError as error:
        line = re.sub(r"^[A-Z]+ ERROR: ", "", " ".join(str(error).split("\n")[0].split()))
        raise SettingsError(line if line.startswith(name) else f"{name}: {line}") from None


def decode(text: str, name: str, kind: type[T]) -> T:
    """Evaluate a Jsonnet text and decode it as `kind`. `SettingsError` names file, path and what was expected."""
    data = evaluate(text, name)
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        problem, _, json_path = str(error).partition(" - at `$")
        path = json_path.rstrip("`").lstrip(".") or "top level"
        raise SettingsError(f"{name}: {path}: {problem[:1].lower()}{problem[1:]}") from None


def decode_file(path: str, kind: type[T]) -> T:
    """Read a Jsonnet file and decode it as `kind`. Raises `SettingsError`."""
    return decode(_read(path), path, kind)


def _read(path: str) -> str:
    try:
        return Path(path).read_text("utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {re.sub(r'^.*] ', '', str(error)).split(':')[0]}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: byte {error.start}: expected UTF-8") from None


def settings_hash(settings: Settings) -> str:
    """Hash all values; equal settings have equal hashes, in every process."""
    return xxhash.xxh64(msgspec.json.encode(settings, order="deterministic")).hexdigest()
