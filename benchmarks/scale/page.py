"""The made parts of docs/CAPACITY.md, each between two markers; what stands around them is written by hand."""

from pathlib import Path

PAGE = Path("docs/CAPACITY.md")


def put(text: str, name: str, part: str) -> str:
    """The page with a part between its markers. Raises `ValueError` where it has not both, once each."""
    begin, end = f"<!-- {name}: made by `python -m benchmarks.scale capacity --page` -->", f"<!-- end of {name} -->"
    if text.count(begin) != 1 or text.count(end) != 1 or text.index(begin) > text.index(end):
        raise ValueError(f"expected one {begin!r} before one {end!r}")
    return text[: text.index(begin) + len(begin)] + "\n\n" + part + "\n\n" + text[text.index(end) :]
