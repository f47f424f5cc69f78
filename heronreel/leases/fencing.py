"""Fencing at the resource on which the holder of a claim acts.

A lease can't stop a process that was suspended between checking its clock and acting.  Therefore each action
carries the fencing token of the grant under which it is done.  The resource keeps the highest token that it
has seen for each task, and rejects lower tokens.  A new holder registers at every resource before it acts on
any of them.  From then on the resource rejects every action of the previous holder, however late it arrives.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from heronreel.leases.errors import FencedTaskLimitError, InvalidFencingTokenError, StepOutOfOrderError
from heronreel.store import Store

MAX_TASK_NAME_BYTES = 256
MAX_FENCED_TASKS = 4096  # The maximum number of tasks that one resource tracks.
STEP_KEY_BYTES = 8


class FencingVerdict(NamedTuple):
    """Whether an action is admitted, and the highest fencing token that the guard has seen for its task."""

    admitted: bool
    highest_token: int


class FencingGuard:
    """Tracks the highest fencing token seen for each task.

    The guard does no I/O: its caller stores the tokens.
    """

    def __init__(self, highest_tokens: Iterable[tuple[bytes, int]] = ()) -> None:
        self.highest_tokens = dict(highest_tokens)

    def admit(self, task: bytes, token: int) -> FencingVerdict:
        """Check a token, and record it if it is higher than any before.

        A token equal to the highest one is admitted, because it belongs to the same holder.

        Raises:
            InvalidFencingTokenError: the task name or the token is outside its limits.
            FencedTaskLimitError: the task is new, and the guard already tracks the maximum number of tasks.
        """
        if not 0 < len(task) <= MAX_TASK_NAME_BYTES or token < 1:
            raise InvalidFencingTokenError(
                f"expected a task name of 1 to {MAX_TASK_NAME_BYTES} bytes and a fencing token from 1, "
                f"got {len(task)} bytes and {token}"
            )
        highest = self.highest_tokens.get(task, 0)
        if token < highest:
            return FencingVerdict(False, highest)
        if token > highest:
            if not highest and len(self.highest_tokens) >= MAX_FENCED_TASKS:
                raise FencedTaskLimitError(MAX_FENCED_TASKS)
            self.highest_tokens[task] = token
        return FencingVerdict(True, token)


class FencedEntry(NamedTuple):
    """A stored entry of a task, with the fencing token under which it was written."""

    token: int
    value: bytes


class FencedWrite(NamedTuple):
    """The outcome of a write; `written` is also False if the step had been written before."""

    verdict: FencingVerdict
    written: bool


class FencedTable:
    """A table in a store that admits writes by their fencing token.

    The token and the entry are written in one batch, so that after a crash both are stored or neither is.

    A writer that does not know whether an earlier write was applied repeats it.  Each entry belongs to a
    numbered step of its task, and a step that was written before is admitted but not written again.
    """

    FENCE_PREFIX = b"fence/"
    STEP_PREFIX = b"step/"
    ROW_PREFIX = b"row/"

    def __init__(self, store: Store) -> None:
        self.store = store
        rows = store.scan(self.FENCE_PREFIX)
        self.guard = FencingGuard((key[len(self.FENCE_PREFIX) :], _decode_int(data)) for key, data in rows)

    def register_holder(self, task: bytes, token: int) -> FencingVerdict:
        """Register a new holder of a task, so that no action of a previous holder is admitted any more.

        Raises:
            InvalidFencingTokenError, FencedTaskLimitError: for the same reasons as `FencingGuard.admit`.
        """
        previous = self.guard.highest_tokens.get(task, 0)
        verdict = self.guard.admit(task, token)
        if verdict.admitted and token > previous:
            self._store(task, previous, [(self.FENCE_PREFIX + task, _encode(token))])
        return verdict

    def write(self, task: bytes, token: int, step: int, value: bytes) -> FencedWrite:
        """Write the entry of a step; the first step of a task is 1.

        Raises:
            StepOutOfOrderError: the step is neither the next step nor an earlier one.
            InvalidFencingTokenError, FencedTaskLimitError: for the same reasons as `FencingGuard.admit`.
        """
        previous = self.guard.highest_tokens.get(task, 0)
        verdict = self.guard.admit(task, token)
        if not verdict.admitted:
            return FencedWrite(verdict, False)
        next_step = self.step_count(task) + 1
        if not 1 <= step <= next_step:
            self.guard.highest_tokens[task] = previous
            raise StepOutOfOrderError(step, next_step)
        rows: list[tuple[bytes, bytes]] = []
        if token > previous:
            rows.append((self.FENCE_PREFIX + task, _encode(token)))
        if step == next_step:
            rows.append((self.STEP_PREFIX + task, _encode(step)))
            rows.append((self._row_key(task, step), _encode(FencedEntry(token, value))))
        self._store(task, previous, rows)
        return FencedWrite(verdict, step == next_step)

    def _row_key(self, task: bytes, step: int) -> bytes:
        return self.ROW_PREFIX + task + b"/" + step.to_bytes(STEP_KEY_BYTES, "big")

    def _store(self, task: bytes, previous: int, rows: list[tuple[bytes, bytes]]) -> None:
        try:
            with self.store.batch() as batch:
                for key, data in rows:
                    batch.put(key, data)
        except BaseException:
            # The guard must match what is known to be stored.  The failed write may still be found on the
            # disk after a crash.
            self.guard.highest_tokens[task] = previous
            raise

    def step_count(self, task: bytes) -> int:
        """Return the number of entries of a task."""
        data = self.store.get(self.STEP_PREFIX + task)
        return 0 if data is None else _decode_int(data)

    def entries(self, task: bytes) -> list[FencedEntry]:
        """Return the entries of a task in the order of their steps."""
        rows = self.store.scan(self.ROW_PREFIX + task + b"/")
        return [msgspec.msgpack.decode(data, type=FencedEntry) for _, data in rows]


def _encode(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


def _decode_int(data: bytes) -> int:
    return msgspec.msgpack.decode(data, type=int)
