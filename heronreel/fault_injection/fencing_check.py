"""A checker of the guarded resource's history.

Fencing tokens never decrease, and each step is written once and in order, by one holder at a time.  The
checker uses only the requests that the resource accepted and the start times of the workers' actions; it does
not rely on the state that the group or a worker reports.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from heronreel.fault_injection.histories import Operation
from heronreel.fault_injection.resource_client import ResourceEvent, ResourceRequest


def find_violations(resource: Sequence[Operation], actions: Sequence[Operation]) -> list[str]:
    """Return the violations in the order in which the resource accepted requests.

    Args:
        resource: The history that the resource recorded.
        actions: The histories of the workers, with the start time of each action.
    """
    checker = _Checker(actions)
    for operation in resource:
        if operation.kind in (ResourceEvent.ENTERED, ResourceEvent.WRITTEN):
            checker.check(operation)
    return checker.violations


def request_of(operation: Operation) -> ResourceRequest:
    """Return the request that an operation records."""
    return msgspec.convert(operation.arguments, ResourceRequest)


class _Checker:
    def __init__(self, actions: Sequence[Operation]) -> None:
        self.violations: list[str] = []
        self.highest_token = 0
        self.step = 0
        self.holders: dict[int, str] = {}  # by fencing token
        self.last_write: Operation | None = None
        self.first_starts: dict[tuple[str, int, int], float] = {}  # by holder, fencing token and step
        for action in actions:
            request = request_of(action)
            key = (action.process, request.fencing_token, request.step)
            self.first_starts.setdefault(key, action.start)

    def check(self, operation: Operation) -> None:
        request = request_of(operation)
        self._check_token(request)
        if operation.kind == ResourceEvent.WRITTEN:
            self._check_step(request)
            self._check_exclusion(request)
            self.last_write = operation

    def _check_token(self, request: ResourceRequest) -> None:
        token, holder = request.fencing_token, request.holder
        if token < self.highest_token:
            self.violations.append(f"token {token} of {holder} is accepted after {self.highest_token}")
        self.highest_token = max(self.highest_token, token)
        owner = self.holders.setdefault(token, holder)
        if owner != holder:
            self.violations.append(f"token {token} is used by {owner} and by {holder}")

    def _check_step(self, request: ResourceRequest) -> None:
        if request.step != self.step + 1:
            self.violations.append(f"step {request.step} is written after step {self.step}")
        self.step = request.step

    def _check_exclusion(self, request: ResourceRequest) -> None:
        """Check that a holder started its action only after the last write of the previous holder."""
        started = self.first_starts.get((request.holder, request.fencing_token, request.step))
        if started is None:
            self.violations.append(f"step {request.step} of {request.holder} was never started")
            return
        last = self.last_write
        if last is None:
            return
        previous = request_of(last).holder
        if previous != request.holder and started < last.start:
            self.violations.append(
                f"step {request.step} of {request.holder} was started while {previous} acted"
            )
