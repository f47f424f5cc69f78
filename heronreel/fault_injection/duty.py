"""A process that does a fleet-wide task with the others: each step is one entry at a guarded place.

`python -m heronreel.fault_injection.duty NAME PLACE TTL ADDRESS...`.  `HERONREEL_END_AT=step:N` or
`stepped:N` ends it before or behind the N-th step that it does; `DUTY=TASK:CALLS` names another task, whose
class may make so many calls a second over the fleet.
"""

from __future__ import annotations

import asyncio
import os
import sys

import aiohttp

from heronreel.coordination.clock import CrashPoints
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.rate_limits import RateLimits
from heronreel.leases.session import LeaseSession
from heronreel.leases.task_runner import StepContext, TaskRunner
from heronreel.leases.tasks import Task

NAME, _, CALLS = os.environ.get("DUTY", "ledger").partition(":")
TASK = Task(NAME, period_s=0.01 if CALLS else 0.05, step_timeout_s=5.0)
BUDGETS = {TASK.priority: RateLimits(calls=float(CALLS))} if CALLS else {}


async def main(name: str, place: str, ttl: str, *addresses: str) -> None:
    points = CrashPoints()
    terms = LeaseTerms(ttl_s=int(ttl), safety_margin_s=0.15 * int(ttl), response_timeout_s=0.15 * int(ttl))
    session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))

    async def call(path: str, step: int, number: int) -> None:
        row = {"task": TASK.name, "number": number, "step": step, "by": name}
        async with session.post(f"http://{place}{path}", json=row) as response:
            told = await response.json()
        if not told.get("admitted"):
            raise PermissionError(f"refused: {told}")

    async def step(work: StepContext) -> None:
        points.reach("step")
        await work.acquire(calls=1)
        await call("/enter", work.step, work.fencing_token)
        await call("/write", work.step, work.fencing_token)
        points.reach("stepped")

    print("started", name, flush=True)
    async with session, LeaseSession(addresses, name, terms) as holding:
        await TaskRunner(holding, name, {TASK: step}, presence=b"zone=test", budgets=BUDGETS).run()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
