"""The checkers of recorded histories, and the shrinking of fault schedules."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec

from heronreel.fault_injection import fencing_check, linearizability
from heronreel.fault_injection.histories import UNKNOWN_END, Operation
from heronreel.fault_injection.resource_client import ACTION, ResourceEvent, ResourceRequest
from heronreel.fault_injection.schedule import Fault, FaultKind, shrink
from heronreel.fault_injection.worker import TASK


def operation(
    kind: str, arguments: Any, start: float, end: float, result: Any = None, process: str = "c"
) -> Operation:
    return Operation(process, kind, arguments, start, end, result)


def resource_history(*rows: tuple[ResourceEvent, int, int, str, float]) -> list[Operation]:
    """Return operations of the resource; a row has kind, fencing token, step, holder and time."""
    return [
        operation(kind, arguments(token, step, holder), at, UNKNOWN_END, process="resource")
        for kind, token, step, holder, at in rows
    ]


def worker_history(*rows: tuple[str, int, int, float]) -> list[Operation]:
    """Return actions of workers; a row has holder, fencing token, step and time."""
    return [
        operation(ACTION, arguments(token, step, holder), at, at + 1, True, holder)
        for holder, token, step, at in rows
    ]


def arguments(token: int, step: int, holder: str) -> Any:
    return msgspec.to_builtins(ResourceRequest(TASK, token, step, holder))


def test_the_linearizability_checker_detects_invalid_histories() -> None:
    check = linearizability.find_violation
    put = operation("put", ["x", "1"], 0, 1, True)
    assert check([put, operation("read", ["x"], 2, 3, "1")]) is None
    assert check([put, operation("read", ["x"], 2, 3, None)])  # The read returns a stale value.
    assert check([put, operation("read", ["x"], 0.5, 3, None)]) is None  # The read overlaps the put.
    unconfirmed_put = operation("put", ["x", "2"], 0, UNKNOWN_END)
    first_read = operation("read", ["x"], 1, 2, "2")
    assert check([unconfirmed_put, first_read, operation("read", ["x"], 3, 4, "2")]) is None
    # The second read returns an older state than the first.
    assert check([unconfirmed_put, first_read, operation("read", ["x"], 3, 4, None)])
    both_succeed = [operation("cas", ["x", None, str(n)], 0, 1, True, f"c{n}") for n in range(2)]
    assert check(both_succeed) and check([both_succeed[0], both_succeed[1]._replace(result=False)]) is None


def test_the_fencing_checker_detects_invalid_histories() -> None:
    check = fencing_check.find_violations
    entered, written = ResourceEvent.ENTERED, ResourceEvent.WRITTEN
    valid = resource_history((entered, 5, 0, "w", 0), (written, 5, 1, "w", 2), (written, 6, 2, "v", 4))
    assert check(valid, worker_history(("w", 5, 1, 1), ("v", 6, 2, 3))) == []
    # The second action overlaps the first.
    assert check(valid, worker_history(("w", 5, 1, 1), ("v", 6, 2, 1.5)))
    lower_token_later = resource_history((written, 6, 1, "v", 2), (written, 5, 2, "w", 3))
    assert check(lower_token_later, worker_history(("v", 6, 1, 1), ("w", 5, 2, 2)))
    repeated = resource_history((written, 5, 1, "w", 2), (written, 5, 1, "w", 3))
    assert check(repeated, worker_history(("w", 5, 1, 1)))
    assert check(resource_history((written, 5, 1, "w", 2)), [])


def test_a_failing_schedule_is_shrunk_to_the_faults_that_cause_the_failure() -> None:
    faults = [Fault(at, 1.0, FaultKind.KILL, member) for at, member in enumerate("abcabcabc")]

    async def fails(schedule: Sequence[Fault]) -> bool:
        return {faults[2], faults[7]} <= set(schedule)

    assert asyncio.run(shrink(faults, fails)) == [faults[2], faults[7]]
