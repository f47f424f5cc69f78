"""The steps of one process run one at a time and by priority, even if waiters are cancelled."""

from __future__ import annotations

import asyncio

from heronreel.leases.step_queue import StepQueue
from heronreel.leases.tasks import Priority, Task

URGENT = Task("urgent", priority=Priority.URGENT)
NORMAL = Task("normal")
IDLE = Task("idle", priority=Priority.IDLE)


async def run_step(queue: StepQueue, task: Task, order: list[str], finish: asyncio.Event) -> None:
    async with queue.turn(task):
        order.append(task.name)
        await finish.wait()


async def let_tasks_run() -> None:
    """Give the other asyncio tasks several turns of the event loop."""
    for _ in range(5):
        await asyncio.sleep(0)


def test_the_most_urgent_waiter_gets_the_next_turn() -> None:
    async def run() -> list[str]:
        queue, order, finish = StepQueue(lambda: 0.0), list[str](), asyncio.Event()
        first = asyncio.ensure_future(run_step(queue, NORMAL, order, finish))
        await let_tasks_run()
        waiting = [asyncio.ensure_future(run_step(queue, task, order, finish)) for task in (IDLE, URGENT)]
        await let_tasks_run()
        assert order == ["normal"]  # Only one step runs at a time.
        finish.set()
        await asyncio.gather(first, *waiting)
        return order

    assert asyncio.run(run()) == ["normal", "urgent", "idle"]


def test_cancelled_waiter_leaves_its_turn_to_the_next_waiter() -> None:
    async def run() -> list[str]:
        queue, order, finish = StepQueue(lambda: 0.0), list[str](), asyncio.Event()
        first = asyncio.ensure_future(run_step(queue, NORMAL, order, finish))
        await let_tasks_run()
        urgent = asyncio.ensure_future(run_step(queue, URGENT, order, finish))
        idle = asyncio.ensure_future(run_step(queue, IDLE, order, finish))
        await let_tasks_run()
        urgent.cancel()
        finish.set()
        await asyncio.wait((first, urgent, idle))
        assert urgent.cancelled()
        return order

    assert asyncio.run(run()) == ["normal", "idle"]


def test_waiter_cancelled_after_it_was_granted_the_lock_passes_it_to_the_next_waiter() -> None:
    async def run() -> list[str]:
        queue, order, finish = StepQueue(lambda: 0.0), list[str](), asyncio.Event()

        async def run_first_and_cancel_urgent() -> None:
            await run_step(queue, NORMAL, order, finish)
            urgent.cancel()  # The lock has been granted to this waiter, which has not run since.

        first = asyncio.ensure_future(run_first_and_cancel_urgent())
        await let_tasks_run()
        urgent = asyncio.ensure_future(run_step(queue, URGENT, order, finish))
        idle = asyncio.ensure_future(run_step(queue, IDLE, order, finish))
        await let_tasks_run()
        finish.set()
        await asyncio.wait((first, urgent, idle), timeout=5.0)
        assert urgent.cancelled() and idle.done()
        return order

    assert asyncio.run(run()) == ["normal", "idle"]
