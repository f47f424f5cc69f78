"""A linearizability checker for registers (Wing and Gong, 1993).

Each operation takes effect at one moment between its start and its end.  An operation without a response
may have taken effect at any moment after its start, or never.  Each key is checked separately, because a
history is linearizable if the history of each key is.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from heronreel.fault_injection.errors import SearchLimitExceededError
from heronreel.fault_injection.histories import Operation

READ = "read"  # arguments: [key]
PUT = "put"  # arguments: [key, value]
CAS = "cas"  # compare-and-set; arguments: [key, expected, new]
MAX_STATES = 2_000_000  # states in the search of one key


def find_violation(history: Iterable[Operation], initial: Any = None) -> str | None:
    """Return why the history is not linearizable, or None if it is.

    The result of a read is the value; the result of a compare-and-set is whether it succeeded; the result of
    a put is ignored.

    Args:
        history: Operations of the kinds READ, PUT and CAS.
        initial: The initial value of each key.

    Raises:
        SearchLimitExceededError: The search needed more than MAX_STATES states.
    """
    by_key: dict[str, list[Operation]] = {}
    for operation in history:
        if operation.kind == READ and not operation.completed:
            continue  # a read without a response has no effect and no result
        by_key.setdefault(operation.arguments[0], []).append(operation)
    for key, operations in by_key.items():
        if not _is_linearizable(sorted(operations, key=lambda operation: operation.start), initial):
            return f"no order of the {len(operations)} operations on {key!r} explains their results"
    return None


def _is_linearizable(operations: list[Operation], initial: Any) -> bool:
    """Search depth first for an order of the operations, which are sorted by their starts.

    A state consists of the set of operations that took effect, as a bit mask, and the register's value.
    """
    required = sum(1 << index for index, operation in enumerate(operations) if operation.completed)
    seen: set[tuple[int, Any]] = {(0, initial)}
    stack: list[tuple[int, Any]] = [(0, initial)]
    while stack:
        done, value = stack.pop()
        if done & required == required:
            return True
        for state in _next_states(operations, done, value):
            if state in seen:
                continue
            if len(seen) >= MAX_STATES:
                raise SearchLimitExceededError(f"{len(operations)} operations")
            seen.add(state)
            stack.append(state)
    return False


def _next_states(operations: list[Operation], done: int, value: Any) -> Iterable[tuple[int, Any]]:
    """Return the states after one more operation.

    The next operation must have started before any other remaining operation ended.
    """
    first_end = min(operation.end for index, operation in enumerate(operations) if not done >> index & 1)
    for index, operation in enumerate(operations):
        if done >> index & 1:
            continue
        if operation.start > first_end:
            return
        is_consistent, new_value = _apply(operation, value)
        if is_consistent:
            yield done | 1 << index, new_value


def _apply(operation: Operation, value: Any) -> tuple[bool, Any]:
    """Return whether the result is consistent with an effect on `value`, and the resulting value."""
    if operation.kind == READ:
        return operation.result == value, value
    if operation.kind == PUT:
        return True, operation.arguments[1]
    _, expected, new = operation.arguments
    new_value = new if value == expected else value
    if not operation.completed:
        return True, new_value
    return operation.result == (value == expected), new_value
