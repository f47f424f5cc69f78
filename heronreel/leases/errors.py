"""Errors of leases, claims and fleet-wide tasks.  All of them derive from `LeaseError`."""

from __future__ import annotations


class LeaseError(Exception):
    """Base class of the errors that this package defines."""


class InvalidLeaseTermsError(LeaseError, ValueError):
    """The durations of a lease leave too little time for a renewal and one retry."""


class InvalidFencingTokenError(LeaseError, ValueError):
    """A task name or a fencing token is outside its limits."""


class FencedTaskLimitError(LeaseError, ValueError):
    """A fencing guard already tracks its maximum number of tasks.

    The guard never drops the token of a task, because it would then admit a previous holder of the task.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"the fencing guard already tracks {limit} tasks, its maximum")
        self.limit = limit


class StepOutOfOrderError(LeaseError, ValueError):
    """A write skips a step of its task."""

    def __init__(self, step: int, next_step: int) -> None:
        super().__init__(f"step {step} is out of order, because the next one is {next_step}")
        self.step = step
        self.next_step = next_step
