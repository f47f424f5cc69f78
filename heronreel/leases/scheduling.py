"""Which process runs a task, and which task a process runs next.  Pure functions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from heronreel.leases.tasks import Priority, Task

STANDBY_DELAY_S = 0.5  # that a process waits for each one before it in a task's order
AGEING_S = 30.0  # of waiting raise a task by one class


class DueTask(NamedTuple):
    """A task with a step to run, and since when."""

    task: Task
    since: float


def rendezvous_order(task: str, present: Iterable[str]) -> list[str]:
    """The processes present in the order in which they should run a task, by rendezvous hashing.

    Tasks spread over the processes, and one that comes or goes moves no task but those that become or were
    its own.
    """
    return sorted(present, key=lambda name: (-xxhash.xxh3_64_intdigest(f"{task}\0{name}".encode()), name))


def standby_delay(task: str, name: str, present: Iterable[str]) -> float:
    """Seconds that `name` leaves to the processes before it; nobody waits for one that is not present."""
    order = rendezvous_order(task, {*present, name})
    return order.index(name) * STANDBY_DELAY_S


def next_task(due: Iterable[DueTask], now: float) -> Task | None:
    """The task to run next: by class, raised by waiting.

    A task that is halfway to its deadline is urgent.
    """
    ranked = [(_rank(each, now), each.since, each.task.name, each.task) for each in due]
    return min(ranked)[-1] if ranked else None


def _rank(due: DueTask, now: float) -> float:
    """The lower, the sooner."""
    waited_s = now - due.since
    deadline_s = due.task.deadline_s
    is_pressing = deadline_s and waited_s >= deadline_s / 2
    priority = Priority.URGENT if is_pressing else due.task.priority
    return priority - waited_s / AGEING_S
