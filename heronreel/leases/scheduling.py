"""Decides which process runs a task, and which task a process runs next.  Pure functions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from heronreel.leases.tasks import Priority, Task

STANDBY_DELAY_S = 0.5  # A process waits this long for each process before it in a task's order.
AGEING_INTERVAL_S = 30.0  # Waiting this long raises a task by one priority class.


class DueTask(NamedTuple):
    """A task that has a step to run, and the time since when it has been waiting."""

    task: Task
    since: float


def rendezvous_order(task: str, present: Iterable[str]) -> list[str]:
    """Return the processes in the order in which they should run a task, by rendezvous hashing.

    The tasks are spread over the processes.  A process that starts or stops only moves the tasks that it gets
    or that it had.
    """
    return sorted(present, key=lambda name: (-xxhash.xxh3_64_intdigest(f"{task}\0{name}".encode()), name))


def standby_delay(task: str, name: str, present: Iterable[str]) -> float:
    """Return the seconds that process `name` waits for the processes before it in the task's order.

    Processes that are not present are not waited for.
    """
    order = rendezvous_order(task, {*present, name})
    return order.index(name) * STANDBY_DELAY_S


def next_task(due: Iterable[DueTask], now: float) -> Task | None:
    """Return the task to run next, by priority class and waiting time.

    Waiting raises the priority of a task.  A task that has waited for half of its deadline is urgent.
    """
    ranked = [(_rank(entry, now), entry.since, entry.task.name, entry.task) for entry in due]
    return min(ranked)[-1] if ranked else None


def _rank(due: DueTask, now: float) -> float:
    """Return the rank of a task; a task with a lower rank runs sooner."""
    waited_s = now - due.since
    deadline_s = due.task.deadline_s
    is_near_deadline = deadline_s and waited_s >= deadline_s / 2
    priority = Priority.URGENT if is_near_deadline else due.task.priority
    return priority - waited_s / AGEING_INTERVAL_S
