"""Guards that are taken out one at a time: what is put in a guard's place, and by what that has to be found."""

from collections.abc import Callable
from typing import Any, TypeVar

import pytest

Patch = pytest.MonkeyPatch
Found = TypeVar("Found")
Function = TypeVar("Function", bound=Callable[..., Any])


class Guards(dict[str, tuple[Found, Callable[[Patch], None]]]):
    """By name: what finds it, and what takes it out."""

    def put(self, name: str, found: Found, place: object, **values: Any) -> None:
        """Other values for these attributes of a class or a module."""

        def take_out(patch: Patch) -> None:
            for attribute, value in values.items():
                patch.setattr(place, attribute, value)

        self[name] = found, take_out

    def found_by(self, found: Found) -> Callable[[Function], Function]:
        """A function that does the patching."""

        def note(one: Function) -> Function:
            self[one.__name__] = found, one
            return one

        return note

    def instead_of(self, place: object, attribute: str, found: Found) -> Callable[[Function], Function]:
        """A function in the place of another: it gets that one, then what that one would have got."""

        def note(one: Function) -> Function:
            def take_out(patch: Patch) -> None:
                honest = getattr(place, attribute)
                patch.setattr(place, attribute, lambda *given, **named: one(honest, *given, **named))

            self[one.__name__] = found, take_out
            return one

        return note
