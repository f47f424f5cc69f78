"""Errors of this package.  All derive from `LeaseError`."""

from __future__ import annotations


class LeaseError(Exception):
    """The base of every error that this package raises by itself."""


class InvalidLeaseTermsError(LeaseError, ValueError):
    """The durations of a lease leave no time for a renewal and one retry."""


class InvalidFencingTokenError(LeaseError, ValueError):
    """A task name or a fencing token is outside its limits."""


class FencedTaskLimitError(LeaseError, ValueError):
    """A fencing guard already tracks as many tasks as it may.

    Its tokens are never forgotten, since a forgotten one would admit a previous holder.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} tasks are known already")
        self.limit = limit


class StepOutOfOrderError(LeaseError, ValueError):
    """A write skips a step of its task."""

    def __init__(self, step: int, next_step: int) -> None:
        super().__init__(f"step {step}, and the next one is {next_step}")
        self.step = step
        self.next_step = next_step
