"""Orders the steps of a process's tasks: one step runs at a time, and the next one is chosen by priority."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple

from heronreel.leases.scheduling import DueTask, next_task
from heronreel.leases.tasks import Task


class _Waiter(NamedTuple):
    """A task that waits for its turn, and the future that is resolved when it gets it."""

    since: float
    turn: asyncio.Future[None]


class StepQueue:
    """A lock that is granted to its waiters in the order of `next_task`."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._waiters: dict[Task, _Waiter] = {}
        self._locked = False

    @asynccontextmanager
    async def turn(self, task: Task) -> AsyncIterator[None]:
        """Wait for the task's turn, and hold the lock within the block."""
        await self._acquire(task)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, task: Task) -> None:
        waiter = _Waiter(self._now(), asyncio.get_running_loop().create_future())
        self._waiters[task] = waiter
        self._wake_next()
        try:
            await waiter.turn
        except asyncio.CancelledError:
            with suppress(KeyError):
                del self._waiters[task]
            if waiter.turn.done() and not waiter.turn.cancelled():
                self._release()  # The waiter was cancelled after it had been granted the lock.
            raise

    def _release(self) -> None:
        self._locked = False
        self._wake_next()

    def _wake_next(self) -> None:
        if self._locked:
            return
        due = (DueTask(task, waiter.since) for task, waiter in self._waiters.items())
        task = next_task(due, self._now())
        if task is not None:
            self._locked = True
            self._waiters.pop(task).turn.set_result(None)
