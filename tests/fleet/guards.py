"""A registry of mutations: each removes one guard of the code, and has what a test needs to find that."""

from collections.abc import Callable
from typing import Any, TypeVar

import pytest

Patch = pytest.MonkeyPatch
Evidence = TypeVar("Evidence")
Function = TypeVar("Function", bound=Callable[..., Any])


class Guards(dict[str, tuple[Evidence, Callable[[Patch], None]]]):
    """Mutations by name. Each has the evidence by which a test must find it, and the function that applies it."""

    def put(self, name: str, evidence: Evidence, place: object, **values: Any) -> None:
        """Add a mutation that gives attributes of a class or a module other values."""

        def apply(patch: Patch) -> None:
            for attribute, value in values.items():
                patch.setattr(place, attribute, value)

        self[name] = evidence, apply

    def found_by(self, evidence: Evidence) -> Callable[[Function], Function]:
        """Add a mutation that the decorated function applies to a monkeypatch."""

        def register(function: Function) -> Function:
            self[function.__name__] = evidence, function
            return function

        return register

    def instead_of(self, place: object, attribute: str, evidence: Evidence) -> Callable[[Function], Function]:
        """Add a mutation that puts the decorated function in place of another.

        The function gets the original function, followed by the arguments of the call.
        """

        def register(function: Function) -> Function:
            def apply(patch: Patch) -> None:
                original = getattr(place, attribute)
                patch.setattr(place, attribute, lambda *args, **kwargs: function(original, *args, **kwargs))

            self[function.__name__] = evidence, apply
            return function

        return register
