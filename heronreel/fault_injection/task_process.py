"""A process that competes for a fleet-wide task whose steps are writes to the guarded resource.

`python -m heronreel.fault_injection.task_process NAME RESOURCE TTL ADDRESS...`.  `HERONREEL_END_AT=step:N`
or `stepped:N` ends it before or after the N-th step that it performs; `DUTY=TASK:CALLS` selects another task
whose priority class has a fleet-wide budget of CALLS calls per second.
"""

from __future__ import annotations

import asyncio
import os
import sys

import aiohttp

from heronreel.coordination.crash_points import CrashPoints
from heronreel.fault_injection.errors import RejectedByResourceError
from heronreel.fault_injection.lease_terms import lease_terms
from heronreel.fault_injection.resource_client import ResourceClient, ResourceRequest, ResourceResponse
from heronreel.leases.rate_limits import RateLimits
from heronreel.leases.session import LeaseSession
from heronreel.leases.task_runner import StepContext, TaskRunner
from heronreel.leases.tasks import Task

TASK_VARIABLE = "DUTY"
DEFAULT_TASK = "ledger"
PERIOD_S = 0.05
BUDGETED_PERIOD_S = 0.01  # short enough that the budget limits the rate
MAX_STEP_S = 5.0
RESOURCE_TIMEOUT_S = 1.0


class StepWriter:
    """Performs the steps of a task."""

    def __init__(self, name: str, task: Task, resource: ResourceClient) -> None:
        self.name = name
        self.task = task
        self.resource = resource
        self.crash_points = CrashPoints()

    async def step(self, work: StepContext) -> None:
        """Write one step.

        Raises:
            RejectedByResourceError: The fencing token is stale.
            ResourceUnavailableError: It is unknown whether the step was written.
        """
        self.crash_points.reach("step")
        await work.acquire(calls=1)
        request = ResourceRequest(self.task.name, work.fencing_token, work.step, self.name)
        _check(await self.resource.enter(request))
        _check(await self.resource.write(request))
        self.crash_points.reach("stepped")


def _check(response: ResourceResponse) -> None:
    if not response.admitted:
        raise RejectedByResourceError(f"rejected: {response}")


async def main(name: str, resource: str, ttl: str, *addresses: str) -> None:
    """Run the task whenever it is assigned, until the process is terminated."""
    task_name, _, calls = os.environ.get(TASK_VARIABLE, DEFAULT_TASK).partition(":")
    task = Task(task_name, period_s=BUDGETED_PERIOD_S if calls else PERIOD_S, step_timeout_s=MAX_STEP_S)
    budgets = {task.priority: RateLimits(calls=float(calls))} if calls else {}
    http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=RESOURCE_TIMEOUT_S))
    writer = StepWriter(name, task, ResourceClient(resource, http))
    print("started", name, flush=True)
    async with http, LeaseSession(addresses, name, lease_terms(int(ttl))) as session:
        await TaskRunner(session, name, {task: writer.step}, presence=b"zone=test", budgets=budgets).run()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
