"""The decorator `scene`: a coroutine test that runs in its own event loop, with a world opened for it.

A world is what an async context manager yields, for example a gateway with its servers and clients.
"""

import asyncio
import functools
import inspect
from collections.abc import Callable, Coroutine
from contextlib import AbstractAsyncContextManager
from typing import Any, Concatenate, ParamSpec, TypeVar

TIMEOUT_S = 80.0  # only a hanging test reaches it; a context manager with longer tests has the attribute `most_s`

World = TypeVar("World")
Opened = ParamSpec("Opened")
Cases = ParamSpec("Cases")
Scene = Callable[Concatenate[World, Cases], Coroutine[Any, Any, None]]


def scene(
    opens: Callable[Opened, AbstractAsyncContextManager[World]], *args: Opened.args, **more: Opened.kwargs
) -> Callable[[Scene[World, Cases]], Callable[Cases, None]]:
    """Make a test of a coroutine: its first argument is what `opens(*args, **more)` yields, others come from pytest."""

    def make_test(body: Scene[World, Cases]) -> Callable[Cases, None]:
        async def run_in_world(*case: Cases.args, **named: Cases.kwargs) -> None:
            async with opens(*args, **more) as world:
                await body(world, *case, **named)

        @functools.wraps(body)
        def test(*case: Cases.args, **named: Cases.kwargs) -> None:
            asyncio.run(asyncio.wait_for(run_in_world(*case, **named), getattr(opens, "most_s", TIMEOUT_S)))

        _, *parameters = inspect.signature(body).parameters.values()
        test.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        return test

    return make_test
