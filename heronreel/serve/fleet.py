"""A proxy as one of a fleet: there by a lease, and doing its part of the fleet's tasks.

Nothing here is waited for by a request: a group that is away, or slow, costs the fleet its tasks and no
client its answer.
"""

from __future__ import annotations

import asyncio
import functools
import os
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import structlog

import heronreel
from heronreel.coordination.clock import CrashPoints, boot_clock
from heronreel.coordination.logs import log_to_stderr
from heronreel.coordinator.server import EmbeddedServer
from heronreel.leases.lease import ClaimAcquired, ClaimLost, LeaseTerms
from heronreel.leases.rate_budget import RateLimits
from heronreel.leases.session import LeaseSession
from heronreel.leases.task_runner import StepContext, StepFunction, TaskRunner
from heronreel.leases.tasks import Priority, Task
from heronreel.metering import records
from heronreel.metering.counter import Counted, Counter, close
from heronreel.metering.files import Shelf
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.request import Request, RequestHead, ResponseWriter
from heronreel.proxy.streams import RequestBodyStream
from heronreel.routes.model import RoutesFile
from heronreel.serve.probes import Probes

END_S = 2.0  # for what is left to be told to the group at an end in order

log = structlog.get_logger()


class Presence(msgspec.Struct, frozen=True):
    """What a proxy says of itself under `present/`."""

    kind: str
    zone: str
    address: str  # the first listener's
    version: str
    start: str  # drawn at each start: the same name with another one is another process
    pid: int


class CountedProxy(Dispatcher):
    """A proxy whose answers are counted by tenant."""

    def __init__(self, counter: Counter, *made: Any) -> None:
        """`made`: as any proxy is."""
        super().__init__(*made)
        self.counter = counter

    def submit(
        self,
        client: ResponseWriter,
        head: RequestHead,
        body: bytes | bytearray,
        upload: RequestBodyStream | None = None,
    ) -> Request:
        tenant = head.tenant if head.tenant in self.tenants else ""
        return super().submit(Counted(self.counter, client, tenant), head, body, upload)


class InFleet:
    """The fleet's side of a serving process."""

    def __init__(self, file: RoutesFile) -> None:
        """Raises OSError where counts are wanted and can't be kept."""
        assert file.fleet is not None
        log_to_stderr()
        self.fleet = file.fleet
        self.name, self.zone = file.process.name, file.process.zone
        self.start = secrets.token_hex(8)
        self.points = CrashPoints()
        self.counter: Counter | None = None
        if self.fleet.count_s:
            shelf = Shelf(self.fleet.folder)
            tenants = tenants_of(file)
            self.counter = Counter(shelf, self.name, self.zone, tenants, self.fleet.count_s / 2, boot_clock())
        self.holding: LeaseSession | None = None
        self.probes: Probes | None = None
        self.running: list[asyncio.Task[None]] = []

    def proxy(self, *made: Any) -> Dispatcher:
        """The proxy, made as any other; with its answers counted where counts are wanted."""
        return Dispatcher(*made) if self.counter is None else CountedProxy(self.counter, *made)

    def begin(self, address: str, probes: Probes | None = None) -> None:
        """Be there from now on; whatever fails is logged and tried again, and does not end the proxy."""
        self.probes = probes
        self.running = []
        if self.fleet.embedded:
            embedded = EmbeddedServer(self.fleet.group[0], self.fleet.embedded)
            self.running.append(asyncio.ensure_future(self._again("group", embedded.run)))
        self.running.append(asyncio.ensure_future(self._run(address, probes)))

    async def _run(self, address: str, probes: Probes | None) -> None:
        terms = LeaseTerms(self.fleet.lease_s, self.fleet.margin_s, self.fleet.answer_s)
        what = Presence("proxy", self.zone, address, heronreel.__version__, self.start, os.getpid())
        async with LeaseSession(self.fleet.group, self.name, terms, told=self._told) as self.holding:
            steps: dict[Task, StepFunction] = {}
            if self.counter is not None:
                steps[Task(records.TASK, self.fleet.count_s)] = self._close_period
                counting = asyncio.ensure_future(self._again("counts", self.counter.run, self.holding.client))
                self.running.append(counting)
            if probes is not None:
                steps[probes.task] = functools.partial(probes.step, self.holding.client, self.name)
                listening = self._again("probes", probes.listen, self.holding.client)
                self.running.append(asyncio.ensure_future(listening))
            budgets = {Priority[name.upper()]: RateLimits(*rates) for name, *rates in self.fleet.budgets}
            about = msgspec.json.encode(what)
            duties = TaskRunner(self.holding, self.name, steps, what=about, budgets=budgets)
            await self._again("tasks", duties.run)
            await asyncio.Event().wait()  # without tasks it is there all the same

    async def _again(self, what: str, call: Callable[..., Awaitable[None]], *words: object) -> None:
        while True:
            try:
                await call(*words)
                return
            except Exception as error:
                log.exception("begun again", what=what, error=repr(error))
                await asyncio.sleep(1.0)

    def _told(self, what: ClaimAcquired | ClaimLost) -> None:
        event = "claim acquired" if isinstance(what, ClaimAcquired) else "claim lost"
        why = what.why if isinstance(what, ClaimLost) else None
        log.info(event, key=what.key.decode(errors="replace"), number=what.number, why=why)

    async def _close_period(self, work: StepContext) -> None:
        assert self.holding is not None
        await close(self.holding.client, work.step, work.number, self.name, self.points)

    def reload(self, file: RoutesFile) -> None:
        """Another file is in force.  Raises OSError where its tenants can't be counted."""
        if self.counter is not None:
            self.counter.renew(tenants_of(file))
        if file.fleet != self.fleet:
            log.error("reload: fleet: changes need a restart; the old ones stay")

    async def end(self) -> None:
        """All clients have their answers: bring the last counts to the group, and give everything back."""
        if self.counter is not None and not await self.counter.finish(END_S if self.holding else 0.0):
            log.error("counts are left on the disk", folder=self.fleet.folder)
        for task in reversed(self.running):  # an embedded group last: the lease is given back to it
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        if self.probes is not None:
            await self.probes.close()


def tenants_of(file: RoutesFile) -> tuple[str, ...]:
    return tuple(tenant.name for tenant in file.tenants)
