"""Fleet-wide tasks in a process: `TaskProgress` with a clock, a client, the process's lease and what a step
does.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Generator, Mapping
from contextlib import suppress
from typing import Any

import msgspec
import structlog

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import Range, RangeResponse, ResponseOrError, prefix_end
from heronreel.leases.lease import CLAIM_PREFIX, PRESENCE_PREFIX, Claim, SendRequest
from heronreel.leases.rate_budget import BudgetShare, RateLimits, TokenBuckets
from heronreel.leases.session import LeaseSession
from heronreel.leases.tasks import (
    Priority,
    RunStep,
    StepConfirmed,
    Task,
    TaskProgress,
    TaskReleased,
    TaskSuspended,
    next_task,
    standby_delay,
)

ASIDE_S = 30.0  # between two looks at a task that was set aside
LOOK_S = 0.5
PAY_S = 0.1  # at most between two looks at whether the part has changed

log = structlog.get_logger()


class BudgetSpender:
    """This process's part of a class's budget, and what its steps use of it."""

    def __init__(self, rates: RateLimits, share: BudgetShare, now: Callable[[], float]) -> None:
        self.rates = rates
        self.share = share
        self.now = now
        self.acted = 0
        self.buckets = TokenBuckets(rates.part(0), now())

    async def pay(self, calls: float = 0.0, bytes_: float = 0.0, cpu: float = 0.0) -> None:
        """Pay, and wait until what was paid is this process's to use."""
        wait = self._spend(calls, bytes_, cpu)
        while wait > 0.0:
            await asyncio.sleep(min(wait, PAY_S))
            wait = self._spend(0.0, 0.0, 0.0)

    def _spend(self, calls: float, bytes_: float, cpu: float) -> float:
        now = self.now()
        acts = self.share.acts(now)
        if acts != self.acted:
            self.acted = acts
            self.buckets.change(self.rates.part(acts), now)
        return self.buckets.spend(now, calls, bytes_, cpu)


class StepContext:
    """One step that is to be done."""

    def __init__(self, step: int, number: int, spent: BudgetSpender | None = None) -> None:
        self.step = step
        self.number = number  # the grant's, for every place that is acted on
        self.spent = spent

    async def pay(self, calls: float = 0.0, bytes_: float = 0.0) -> None:
        """To be awaited before a call is made or bytes are moved: it waits for the class's budget.  What the
        step uses of the processor is paid without being asked for.
        """
        if self.spent is not None:
            await self.spent.pay(calls, bytes_)


class _CpuMeteredStep:
    """A step whose time on the processor is paid between its turns."""

    def __init__(self, step: Coroutine[Any, Any, None], spent: BudgetSpender) -> None:
        self.step = step
        self.spent = spent

    def __await__(self) -> Generator[Any, Any, None]:
        error: BaseException | None = None
        while True:
            began = time.thread_time()
            try:
                waiting = self.step.send(None) if error is None else self.step.throw(error)
            except StopIteration:
                return
            used = time.thread_time() - began
            error = None
            try:
                yield waiting
                yield from self.spent.pay(cpu=used).__await__()
            except BaseException as raised:  # also a cancellation: the step decides what it means
                error = raised


StepFunction = Callable[[StepContext], Coroutine[Any, Any, None]]


class TaskRunner:
    """Wants its tasks, and does the steps of those it holds, one at a time in the order of their urgency."""

    def __init__(
        self,
        holding: LeaseSession,
        name: str,
        tasks: Mapping[Task, StepFunction],
        *,
        what: bytes | None = b"",
        budgets: Mapping[Priority, RateLimits] | None = None,
    ) -> None:
        """`name` is this process's in the list of who is present, and `what` says what it is; with None it
        is not in that list.  `budgets` are the fleet's, by class, the same in all its processes.
        """
        self.holding = holding
        self.name = name
        self.tasks = dict(tasks)
        self.what = what
        self.due: dict[Task, tuple[float, asyncio.Future[None]]] = {}  # steps that wait for their turn
        self.busy = False
        self.held: Counter[Priority] = Counter()  # tasks, by class
        self.spent: dict[Priority, BudgetSpender] = {}
        for urgency, rates in (budgets or {}).items():
            share = BudgetShare(holding.session, urgency.name.lower(), name, holding.session.jitter)
            holding.session.attached += (share,)
            self.spent[urgency] = BudgetSpender(rates, share, holding.now)

    async def run(self) -> None:
        """Until it is cancelled; the lease is the caller's to give back."""
        if self.what is not None:
            self.holding.present(self.name, self.what)
        async with asyncio.TaskGroup() as group:
            for task in self.tasks:
                group.create_task(self._duty(task))

    @property
    def client(self) -> Client:
        return self.holding.client

    async def present(self, zone: str = "") -> list[str]:
        """Who is there, in this zone, as far as the group tells; nobody where it does not."""
        try:
            found = await self.client.call(
                Range(PRESENCE_PREFIX, prefix_end(PRESENCE_PREFIX), keys_only=not zone)
            )
        except RequestError:
            return []
        assert isinstance(found, RangeResponse)
        return [
            key[len(PRESENCE_PREFIX) :].decode(errors="replace")
            for key, record in found.records
            if not zone or _zone_of(record.value) == zone
        ]

    async def _held_by_another(self, task: Task) -> bool:
        """One of ours is wanted again: a late question may have made it after it was given back."""
        try:
            found = await self.client.call(Range(CLAIM_PREFIX + task.name.encode()))
        except RequestError:
            return True  # nobody knows: asked again soon
        assert isinstance(found, RangeResponse)
        return any(record.lease != self.holding.session.lease for _, record in found.records)

    async def _duty(self, task: Task) -> None:
        while True:
            # whoever comes first by rendezvous gets the task; the others stand by in their order
            await asyncio.sleep(standby_delay(task.name, self.name, await self.present(task.zone)))
            if await self._held_by_another(task):
                await asyncio.sleep(LOOK_S)
                continue
            claim = self.holding.claim(task.name)
            pause = 0.0
            try:
                async with asyncio.timeout(self.holding.terms.ttl):
                    number = await self.holding.held(claim)
                self._uses(task, 1)
                try:
                    pause = await self._drive(task, claim, number)
                finally:
                    self._uses(task, -1)
            except TimeoutError:
                pause = LOOK_S  # another was faster
            finally:
                self._give_back(claim)
            await asyncio.sleep(pause)

    def _uses(self, task: Task, change: int) -> None:
        """A part of the budget is held for as long as a task of the class is."""
        self.held[task.urgency] += change
        spent = self.spent.get(task.urgency)
        if spent is not None:
            change_it = spent.share.want if self.held[task.urgency] else spent.share.release
            change_it(self.holding.now())
            self.holding.look()

    def _give_back(self, claim: Claim) -> None:
        claim.release(self.holding.now())
        self.holding.look()

    async def _drive(self, task: Task, claim: Claim, number: int) -> float:
        """Do steps for as long as the number is good; seconds to leave the task to others."""
        steps = TaskProgress(task, number, self.name, self.holding.now(), answer_s=self.holding.terms.answer)
        while claim.acts(self.holding.now()) == number:
            actions = steps.tick(self.holding.now())
            while actions:
                action = actions.pop(0)
                if isinstance(action, SendRequest):
                    answer = await self._ask(action)
                    actions += steps.answered(self.holding.now(), action.number, answer)
                elif isinstance(action, RunStep):
                    done = await self._do(task, action, claim)
                    now = self.holding.now()
                    actions += steps.done(now, action.step) if done else steps.failed(now, action.step)
                elif isinstance(action, StepConfirmed):
                    log.info("step confirmed", task=task.name, step=action.step, number=number)
                    if action.late_s:
                        log.warning("step late", task=task.name, step=action.step, late_s=action.late_s)
                    if task.turns:
                        return task.period_s
                elif isinstance(action, TaskSuspended):
                    log.error("task set aside", task=task.name, step=action.step, tries=action.tries)
                    return ASIDE_S
                elif isinstance(action, TaskReleased):
                    return LOOK_S
            await asyncio.sleep(min(max(0.002, steps.wake() - self.holding.now()), 0.2))
        return LOOK_S

    async def _ask(self, ask: SendRequest) -> ResponseOrError:
        return await self.client.call_or_error(ask.request, ask.until - self.holding.now())

    async def _do(self, task: Task, do: RunStep, claim: Claim) -> bool:
        """One step, in its turn; whether it was done.  The number is looked at again once its turn has
        come.
        """
        await self._turn(task)
        try:
            if claim.acts(self.holding.now()) != do.number:
                return False
            spent = self.spent.get(task.urgency)
            step = self.tasks[task](StepContext(do.step, do.number, spent))
            async with asyncio.timeout(task.step_s):
                await (step if spent is None else _CpuMeteredStep(step, spent))
            return True
        except Exception as error:  # whatever a step raises, it is this task's alone
            log.warning("step failed", task=task.name, step=do.step, error=repr(error))
            return False
        finally:
            self.busy = False
            self._next()

    async def _turn(self, task: Task) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.due[task] = self.holding.now(), turn
        self._next()
        try:
            await turn
        except asyncio.CancelledError:
            with suppress(KeyError):
                del self.due[task]
            if turn.done() and not turn.cancelled():
                self.busy = False
                self._next()
            raise

    def _next(self) -> None:
        if self.busy:
            return
        task = next_task(((task, since) for task, (since, _) in self.due.items()), self.holding.now())
        if task is not None:
            self.busy = True
            self.due.pop(task)[1].set_result(None)


def _zone_of(what: bytes) -> str:
    """The zone that somebody present says it is in."""
    try:
        return msgspec.json.decode(what, type=_Placed).zone
    except msgspec.DecodeError:
        return ""


class _Placed(msgspec.Struct):
    zone: str = ""
