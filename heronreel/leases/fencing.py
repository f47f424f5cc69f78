"""Fencing at the resource where a holder acts.

A lease can't stop a process that slept between checking its clock and acting.  So each action carries the
fencing token of the grant that it rests on, and the resource keeps the highest token it has seen for each
task and rejects lower ones.  A new holder registers at every resource before it acts anywhere: from then on
the resource rejects everything of the previous holder, however late it arrives.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from heronreel.leases.errors import FencedTaskLimitError, InvalidFencingTokenError, StepOutOfOrderError
from heronreel.store import Store

MAX_TASK_NAME_BYTES = 256
MAX_TASKS = 4096  # that one resource knows
STEP_KEY_BYTES = 8


class FencingVerdict(NamedTuple):
    """Whether an action may be done, and the highest fencing token known, for the caller in either case."""

    admitted: bool
    highest_token: int


class FencingGuard:
    """The highest fencing token seen of each task.  Pure: storing the tokens is the caller's."""

    def __init__(self, highest_tokens: Iterable[tuple[bytes, int]] = ()) -> None:
        self.highest_tokens = dict(highest_tokens)

    def admit(self, task: bytes, token: int) -> FencingVerdict:
        """Check a token, and record it if it is higher; equal tokens are of the same holder.

        Raises:
            InvalidFencingTokenError: the name or the token is outside its limits.
            FencedTaskLimitError: too many tasks are known.
        """
        if not 0 < len(task) <= MAX_TASK_NAME_BYTES or token < 1:
            raise InvalidFencingTokenError(
                f"expected a name of 1 to {MAX_TASK_NAME_BYTES} bytes and a number from 1"
            )
        highest = self.highest_tokens.get(task, 0)
        if token < highest:
            return FencingVerdict(False, highest)
        if token > highest:
            if not highest and len(self.highest_tokens) >= MAX_TASKS:
                raise FencedTaskLimitError(MAX_TASKS)
            self.highest_tokens[task] = token
        return FencingVerdict(True, token)


class FencedEntry(NamedTuple):
    """An entry of a task, as stored, with the fencing token it was written under."""

    token: int
    value: bytes


class FencedWrite(NamedTuple):
    """The outcome of a write; `written` is False also for a step that had been written before."""

    verdict: FencingVerdict
    written: bool


class FencedTable:
    """A table in a store whose writes carry a fencing token.

    The token and the write are one batch, so that a crash leaves both or neither.

    A writer that does not know whether an earlier write was done repeats it: each entry is a step of its
    task, steps are counted, and a step that was written before is admitted and not written again.
    """

    FENCE_PREFIX = b"fence/"
    STEP_PREFIX = b"step/"
    ROW_PREFIX = b"row/"

    def __init__(self, store: Store) -> None:
        self.store = store
        rows = store.scan(self.FENCE_PREFIX)
        self.guard = FencingGuard((key[len(self.FENCE_PREFIX) :], _decode_int(data)) for key, data in rows)

    def register_holder(self, task: bytes, token: int) -> FencingVerdict:
        """A holder begins: from now on nothing of a previous one is admitted.

        Raises:
            InvalidFencingTokenError, FencedTaskLimitError: as `FencingGuard.admit`.
        """
        previous = self.guard.highest_tokens.get(task, 0)
        verdict = self.guard.admit(task, token)
        if verdict.admitted and token > previous:
            self._store(task, previous, [(self.FENCE_PREFIX + task, _encode(token))])
        return verdict

    def write(self, task: bytes, token: int, step: int, value: bytes) -> FencedWrite:
        """Write the entry of a step, which count from 1.

        Raises:
            StepOutOfOrderError: the step is neither the next one nor an earlier one.
            InvalidFencingTokenError, FencedTaskLimitError: as `FencingGuard.admit`.
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
            # as on the disk: the write may still be found after a crash
            self.guard.highest_tokens[task] = previous
            raise

    def step_count(self, task: bytes) -> int:
        """How many entries the task has."""
        data = self.store.get(self.STEP_PREFIX + task)
        return 0 if data is None else _decode_int(data)

    def entries(self, task: bytes) -> list[FencedEntry]:
        """The task's entries, in the order of their steps."""
        rows = self.store.scan(self.ROW_PREFIX + task + b"/")
        return [msgspec.msgpack.decode(data, type=FencedEntry) for _, data in rows]


def _encode(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


def _decode_int(data: bytes) -> int:
    return msgspec.msgpack.decode(data, type=int)
