"""Runs fleet-wide tasks in a process: `TaskProgress` with a clock, a client and the process's lease."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import msgspec
import structlog

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import Range, RangeResponse, prefix_end
from heronreel.leases.claim import Claim
from heronreel.leases.keys import PRESENCE_PREFIX, present_names
from heronreel.leases.rate_budget import BudgetShare
from heronreel.leases.rate_limiter import CpuMeteredStep, RateLimiter
from heronreel.leases.rate_limits import RateLimits
from heronreel.leases.requests import SendRequest
from heronreel.leases.scheduling import standby_delay
from heronreel.leases.session import LeaseSession
from heronreel.leases.step_queue import StepQueue
from heronreel.leases.task_progress import (
    Actions,
    RunStep,
    StepConfirmed,
    TaskProgress,
    TaskReleased,
    TaskSuspended,
)
from heronreel.leases.tasks import Priority, Task

SUSPENDED_POLL_S = 30.0  # The time between two checks of a suspended task.
CLAIM_POLL_S = 0.5  # The time between two checks of a task that another process holds.
MIN_SLEEP_S = 0.002
MAX_SLEEP_S = 0.2

log = structlog.get_logger()


class StepContext:
    """The argument of a step function: the step, its fencing token, and access to the rate budget."""

    def __init__(self, step: int, fencing_token: int, limiter: RateLimiter | None = None) -> None:
        """Make the context of a step.

        The step function passes `fencing_token` with every action on a resource.
        """
        self.step = step
        self.fencing_token = fencing_token
        self.limiter = limiter

    async def acquire(self, calls: float = 0.0, bytes_: float = 0.0) -> None:
        """Wait for the rate budget of the task's class; await this before making calls or transferring bytes.

        The processor time of the step is accounted for separately, without calling this.
        """
        if self.limiter is not None:
            await self.limiter.acquire(calls, bytes_)


StepFunction = Callable[[StepContext], Coroutine[Any, Any, None]]


class TaskRunner:
    """Competes for the claims on tasks, and runs the steps of the held tasks one at a time, by priority."""

    def __init__(
        self,
        session: LeaseSession,
        name: str,
        tasks: Mapping[Task, StepFunction],
        *,
        presence: bytes | None = b"",
        budgets: Mapping[Priority, RateLimits] | None = None,
    ) -> None:
        """Make a runner, which `run` starts.

        Args:
            session: the lease of this process.
            name: the name under which this process is present.
            tasks: the tasks, each with its step function.
            presence: the value with which the process announces its presence, or None to not announce it.
            budgets: the rate limits of the whole fleet by priority class.  They have to be the same in all
                processes of the fleet.
        """
        self.session = session
        self.name = name
        self.tasks = dict(tasks)
        self.presence = presence
        self._queue = StepQueue(session.now)
        self._held_tasks: Counter[Priority] = Counter()
        self._limiters = {
            priority: self._limiter(priority, limits) for priority, limits in (budgets or {}).items()
        }

    def _limiter(self, priority: Priority, limits: RateLimits) -> RateLimiter:
        lease = self.session.lease
        share = BudgetShare(lease, priority.stored_name, self.name, lease.jitter)
        lease.attach(share)
        return RateLimiter(limits, share, self.session.now)

    async def run(self) -> None:
        """Run until cancelled.  The caller has to release the lease."""
        if self.presence is not None:
            self.session.announce_presence(self.name, self.presence)
        async with asyncio.TaskGroup() as group:
            for task in self.tasks:
                group.create_task(self._compete_for(task))

    @property
    def client(self) -> Client:
        """The session's client of the coordination service."""
        return self.session.client

    async def present_processes(self, zone: str = "") -> list[str]:
        """Return the names of the processes present in a zone, or in all zones if `zone` is empty.

        The list is empty if the service does not respond.
        """
        try:
            response = await self.client.call(
                Range(PRESENCE_PREFIX, prefix_end(PRESENCE_PREFIX), keys_only=not zone)
            )
        except RequestError:
            return []
        assert isinstance(response, RangeResponse)
        names = present_names(response)
        if not zone:
            return names
        zones = [_zone_of(record.value) for _, record in response.records]
        return [name for name, process_zone in zip(names, zones, strict=True) if process_zone == zone]

    async def _is_held_by_another(self, task: Task) -> bool:
        """Return whether the claim is held under another lease.

        A claim under this process's own lease doesn't count, so that it is requested again: a delayed request
        may have created it after it was released.
        """
        try:
            response = await self.client.call(Range(task.claim_key))
        except RequestError:
            return True  # The holder is unknown, and the claim is checked again soon.
        assert isinstance(response, RangeResponse)
        return any(record.lease != self.session.lease.lease_id for _, record in response.records)

    async def _compete_for(self, task: Task) -> None:
        while True:
            # The first process in rendezvous order takes the task.  The others wait longer, in that order.
            await asyncio.sleep(standby_delay(task.name, self.name, await self.present_processes(task.zone)))
            if await self._is_held_by_another(task):
                await asyncio.sleep(CLAIM_POLL_S)
                continue
            await asyncio.sleep(await self._hold_once(task))

    async def _hold_once(self, task: Task) -> float:
        """Acquire the claim and run steps until it ends.

        Returns the seconds for which this process leaves the task to others.
        """
        claim = self.session.claim(task.name)
        try:
            async with asyncio.timeout(self.session.terms.ttl_s):
                fencing_token = await self.session.wait_acquired(claim)
            self._count_held(task, 1)
            try:
                return await self._run_while_held(task, claim, fencing_token)
            finally:
                self._count_held(task, -1)
        except TimeoutError:
            return CLAIM_POLL_S  # Another process acquired the claim first.
        finally:
            claim.release(self.session.now())
            self.session.refresh()

    def _count_held(self, task: Task, change: int) -> None:
        """Count the held tasks of a class; a budget share is held while there are any."""
        self._held_tasks[task.priority] += change
        limiter = self._limiters.get(task.priority)
        if limiter is None:
            return
        if self._held_tasks[task.priority]:
            limiter.share.acquire(self.session.now())
        else:
            limiter.share.release(self.session.now())
        self.session.refresh()

    async def _run_while_held(self, task: Task, claim: Claim, fencing_token: int) -> float:
        """Run steps for as long as the fencing token is valid.

        Returns the seconds for which this process leaves the task to others.
        """
        now = self.session.now
        progress = TaskProgress(
            task, fencing_token, self.name, now(), response_timeout_s=self.session.terms.response_timeout_s
        )
        while claim.fencing_token(now()) == fencing_token:
            actions = progress.tick(now())
            while actions:
                action = actions.pop(0)
                if isinstance(action, SendRequest):
                    actions += await self._send(progress, action)
                elif isinstance(action, RunStep):
                    actions += await self._run_step(progress, action, claim)
                elif isinstance(action, StepConfirmed):
                    _log_confirmed(action, fencing_token)
                    if task.rotates:
                        return task.period_s
                elif isinstance(action, TaskSuspended):
                    log.error("task suspended", task=task.name, step=action.step, attempts=action.attempts)
                    return SUSPENDED_POLL_S
                elif isinstance(action, TaskReleased):
                    return CLAIM_POLL_S
            await asyncio.sleep(min(max(MIN_SLEEP_S, progress.next_wakeup() - now()), MAX_SLEEP_S))
        return CLAIM_POLL_S

    async def _send(self, progress: TaskProgress, action: SendRequest) -> Actions:
        timeout_s = action.deadline - self.session.now()
        response = await self.client.call_or_error(action.request, timeout_s)
        return progress.on_response(self.session.now(), action.request_id, response)

    async def _run_step(self, progress: TaskProgress, action: RunStep, claim: Claim) -> Actions:
        succeeded = await self._step_succeeds(progress.task, action, claim)
        now = self.session.now()
        if succeeded:
            return progress.step_succeeded(now, action.step)
        return progress.step_failed(now, action.step)

    async def _step_succeeds(self, task: Task, action: RunStep, claim: Claim) -> bool:
        async with self._queue.turn(task):
            # The fencing token is checked again, because waiting for the turn may have taken a long time.
            if claim.fencing_token(self.session.now()) != action.fencing_token:
                return False
            try:
                await self._call_step(task, action)
            except Exception as error:  # A failing step must not stop the other tasks.
                log.warning("step failed", task=task.name, step=action.step, error=repr(error))
                return False
            return True

    async def _call_step(self, task: Task, action: RunStep) -> None:
        limiter = self._limiters.get(task.priority)
        step = self.tasks[task](StepContext(action.step, action.fencing_token, limiter))
        async with asyncio.timeout(task.step_timeout_s):
            await (step if limiter is None else CpuMeteredStep(step, limiter))


def _log_confirmed(action: StepConfirmed, fencing_token: int) -> None:
    log.info("step confirmed", task=action.task, step=action.step, fencing_token=fencing_token)
    if action.late_s:
        log.warning("step late", task=action.task, step=action.step, late_s=action.late_s)


class _PresenceValue(msgspec.Struct):
    """The part of a presence value that is read here."""

    zone: str = ""


def _zone_of(presence: bytes) -> str:
    """Return the zone in a presence value, or "" if it has none."""
    try:
        return msgspec.json.decode(presence, type=_PresenceValue).zone
    except msgspec.DecodeError:
        return ""
