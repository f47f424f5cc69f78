"""The controller of an operation on many instances.

At most one controller is the leader of the fleet, and every claim, command and recorded outcome carries its
fencing token.  The group stores the operation and its outcomes, so a successor continues after the last
recorded outcome.  A former leader that was suspended in the meantime is rejected by the group and by every
agent.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterable

import aiohttp
import msgspec

from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordination.errors import RequestError
from heronreel.fleet.agent_client import AgentClient
from heronreel.fleet.budget_client import halt_fleet, read_snapshot
from heronreel.fleet.errors import FleetBusyError, OperationRejectedError
from heronreel.fleet.instance_operation import (
    NOT_STARTED_OUTCOME,
    SUCCESSFUL_OUTCOME_PREFIXES,
    OperationTimeouts,
)
from heronreel.fleet.instance_runner import FleetView, InstanceRunner
from heronreel.fleet.instance_selector import select_instances
from heronreel.fleet.leadership import FleetLeadership, describe, read_operation, sleep_before_retry
from heronreel.fleet.model import FleetOperation, OperationKind

COMMAND_TIMEOUT_S = 2.0  # limit for an agent's response to one command

# stored values of `FleetOperation.final_status`
COMPLETED_STATUS = "done"
ABANDONED_STATUS = "given up"


def _ignore_progress(instance_id: str, text: str) -> None:
    """Discard the progress message."""


class Controller:
    """Runs one operation until it has ended or the fleet is halted.

    `run`, `resume` and `abandon` raise FleetBusyError, OperationRejectedError or LeadershipLostError, and
    RequestError if the group does not respond.
    """

    def __init__(
        self,
        addresses: Iterable[str],
        operator: str,
        timeouts: OperationTimeouts | None = None,
        on_progress: Callable[[str, str], None] = _ignore_progress,
    ) -> None:
        """`on_progress` is called on each change, with an instance ID and a message for operators."""
        self.operator = operator
        self.timeouts = timeouts
        self.on_progress = on_progress
        self.leadership = FleetLeadership(addresses, operator, CrashPoints())
        self.record_lock = asyncio.Lock()
        self.operation: FleetOperation
        self.view: FleetView

    async def run(
        self, kind: OperationKind, selectors: Iterable[str], version: str, max_parallel: int, wait_s: float
    ) -> FleetOperation:
        """Acquire the leadership within `wait_s` seconds, then run a new operation."""
        async with self.leadership:
            await self.leadership.acquire(wait_s)
            previous = await read_operation(self.leadership.client)
            if previous is not None and not previous.final_status:
                raise FleetBusyError(
                    f"{describe(previous)} is in progress or halted: resume it with go-on, "
                    "or abandon it with give-up"
                )
            self.view = FleetView(await read_snapshot(self.leadership.client))
            instance_ids = self._select(kind, selectors)
            operation = FleetOperation(
                secrets.token_hex(4), kind, self.operator, instance_ids, version, max_parallel
            )
            await self._record(operation)
            return await self._run_all()

    async def resume(self, wait_s: float) -> FleetOperation:
        """Continue the unfinished operation of another controller."""
        async with self.leadership:
            operation = await self._take_over(wait_s)
            self.view = FleetView(await read_snapshot(self.leadership.client))
            # once this write has succeeded, the other controller can't record outcomes any more
            await self._record(operation)
            return await self._run_all()

    async def abandon(self, wait_s: float) -> FleetOperation:
        """Abandon the unfinished operation of another controller.

        Instances that it took out of service stay out of service until they are started or undrained.
        """
        async with self.leadership:
            operation = await self._take_over(wait_s)
            await self._record(msgspec.structs.replace(operation, final_status=ABANDONED_STATUS))
            return self.operation

    def _select(self, kind: OperationKind, selectors: Iterable[str]) -> tuple[str, ...]:
        snapshot = self.view.snapshot
        if snapshot.halt and not kind.restores_service:
            raise OperationRejectedError(f"halted by {snapshot.halt.operator}: {snapshot.halt.reason}")
        instance_ids = select_instances(snapshot.instances.values(), selectors)
        if not instance_ids:
            raise OperationRejectedError("no instance matches")
        return instance_ids

    async def _take_over(self, wait_s: float) -> FleetOperation:
        await self.leadership.acquire(wait_s)
        operation = await read_operation(self.leadership.client)
        if operation is None or operation.final_status:
            raise OperationRejectedError("no operation is in progress")
        return operation

    async def _record(self, operation: FleetOperation) -> None:
        self.operation = operation
        await self.leadership.record(operation)

    async def _run_all(self) -> FleetOperation:
        refreshing = asyncio.ensure_future(self.view.refresh(self.leadership, self.operation))
        try:
            timeout = aiohttp.ClientTimeout(total=COMMAND_TIMEOUT_S)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await self._run_pending(AgentClient(self.leadership.client, session))
        except ExceptionGroup as group:
            raise group.exceptions[0] from None
        finally:
            refreshing.cancel()
        if not self.operation.pending:
            await self._record(msgspec.structs.replace(self.operation, final_status=COMPLETED_STATUS))
        return self.operation

    async def _run_pending(self, agents: AgentClient) -> None:
        """Process the pending instances, at most `max_parallel` at a time, until the fleet is halted."""
        free_slots = asyncio.Semaphore(self.operation.max_parallel)
        async with asyncio.TaskGroup() as tasks:
            for instance_id in self.operation.pending:
                await free_slots.acquire()
                if self.view.halted:
                    break
                task = tasks.create_task(self._run_instance(instance_id, agents))
                task.add_done_callback(lambda _: free_slots.release())

    async def _run_instance(self, instance_id: str, agents: AgentClient) -> None:
        runner = InstanceRunner(
            instance_id,
            self.operation,
            self.timeouts,
            self.leadership,
            self.view,
            agents,
            self.on_progress,
        )
        outcome = await runner.run()
        self.on_progress(instance_id, outcome)
        if outcome != NOT_STARTED_OUTCOME:  # not recorded, so that the instance stays pending
            await self._record_outcome(instance_id, outcome)

    async def _record_outcome(self, instance_id: str, outcome: str) -> None:
        """Record an outcome; an unsuccessful outcome halts the fleet."""
        async with self.record_lock:
            outcomes = self.operation.outcomes | {instance_id: outcome}
            await self._record(msgspec.structs.replace(self.operation, outcomes=outcomes))
            succeeded = outcome.startswith(SUCCESSFUL_OUTCOME_PREFIXES)
            if not succeeded and not self.view.halted and not self.operation.kind.restores_service:
                self.view.halted = True
                await self._halt(f"{instance_id} is {outcome}")

    async def _halt(self, reason: str) -> None:
        while True:
            self.leadership.fencing_token()
            try:
                await halt_fleet(self.leadership.client, describe(self.operation), reason)
                return
            except RequestError:
                await sleep_before_retry()
