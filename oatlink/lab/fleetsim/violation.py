"""The error that a checker raises when an invariant is broken."""


class Violation(AssertionError):  # noqa: N818
    """An invariant is broken. `rule` names it, `at_us` is true time, and `trace` has the last events before it."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule, self.text = rule, text
        self.at_us = 0
        self.trace: tuple[str, ...] = ()
