"""Where in the code something is, as `file:line`, read from the code itself so that it cannot grow old."""

import inspect
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[3]


def at(what: Callable[..., Any], text: str = "") -> str:
    """The line of a function, or of the first line in it that has this text. Raises `ValueError` where none has."""
    lines, first = inspect.getsourcelines(what)
    found = [number for number, line in enumerate(lines) if text in line]
    if not found:
        raise ValueError(f"{what.__qualname__} has no line with {text!r}")
    path = Path(inspect.getsourcefile(what) or "").resolve().relative_to(ROOT)
    return f"{path}:{first + found[0]}"
