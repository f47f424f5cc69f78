"""A serving proxy as a member of a fleet: it holds a presence lease and runs a part of the fleet's tasks.

No client request waits for anything in this module.  If the coordination service is slow or unreachable, the
fleet's tasks are not done, but every client still gets its response.
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
from heronreel.coordination.clock import boot_clock
from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordination.logs import log_to_stderr
from heronreel.coordinator.embedded import EmbeddedServer
from heronreel.leases.claim import ClaimAcquired, ClaimLost
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.rate_limits import RateLimits
from heronreel.leases.session import LeaseSession
from heronreel.leases.task_runner import StepContext, StepFunction, TaskRunner
from heronreel.leases.tasks import Priority, Task
from heronreel.metering.ledger_files import LedgerDirectory
from heronreel.metering.meter import UsageMeter
from heronreel.metering.period_task import close_period
from heronreel.metering.records import TASK_NAME as METERING_TASK
from heronreel.metering.uploader import LedgerUploader
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.routes.model import RoutesFile
from heronreel.serve.health_checks import HealthChecks
from heronreel.serve.metered_proxy import MeteredProxy
from heronreel.serve.zone_health import ZoneProber, ZoneReportFollower

FINAL_UPLOAD_TIMEOUT_S = 2.0  # The limit for uploading the last usage counts at a graceful shutdown.
RESTART_DELAY_S = 1.0  # The delay before a failed component is restarted.
PAGES_PER_PERIOD = 2  # The pages of a usage ledger that are sealed in a metering period.

log = structlog.get_logger()


class Presence(msgspec.Struct, frozen=True):
    """The value of a proxy's presence key, which describes the process."""

    kind: str
    zone: str
    address: str  # The address of the first listener.
    version: str
    start: str  # A random id drawn at each start: the same name with another id is another process.
    pid: int


class FleetMember:
    """The fleet membership of a serving process."""

    def __init__(self, file: RoutesFile) -> None:
        """Prepare usage metering where it is configured.

        Raises:
            OSError: usage metering is configured, but its ledger can't be created.
        """
        assert file.fleet is not None
        log_to_stderr()
        self.fleet = file.fleet
        self.name = file.process.name
        self.zone = file.process.zone
        self.incarnation = secrets.token_hex(8)
        self.points = CrashPoints()
        self.uploader: LedgerUploader | None = None
        if self.fleet.count_s:
            directory = LedgerDirectory(self.fleet.folder)
            meter = UsageMeter(directory, self.name, self.zone, tenants_of(file))
            self.uploader = LedgerUploader(meter, self.fleet.count_s / PAGES_PER_PERIOD, boot_clock())
        self.session: LeaseSession | None = None
        self.checks: HealthChecks | None = None
        self._components: list[asyncio.Task[None]] = []

    def make_proxy(self, *proxy_arguments: Any) -> Dispatcher:
        """Return a proxy, which counts its responses if usage metering is configured."""
        if self.uploader is None:
            return Dispatcher(*proxy_arguments)
        return MeteredProxy(self.uploader.meter, *proxy_arguments)

    def start(self, address: str, checks: HealthChecks | None = None) -> None:
        """Start the membership with the proxy's address.

        A component that fails is logged and restarted; the proxy keeps serving.
        """
        self.checks = checks
        self._components = []
        if self.fleet.embedded:
            embedded = EmbeddedServer(self.fleet.group[0], self.fleet.embedded)
            self._run_component("group", embedded.run)
        self._components.append(asyncio.create_task(self._run(address)))

    async def stop(self) -> None:
        """Upload the last usage counts, then stop all components.

        Call this when all clients have their responses.
        """
        if self.uploader is not None:
            timeout_s = FINAL_UPLOAD_TIMEOUT_S if self.session else 0.0
            if not await self.uploader.finish(timeout_s):
                log.error("usage left on the disk", folder=self.fleet.folder)
        # An embedded group stops last, because the other components revoke the lease at it.
        for component in reversed(self._components):
            component.cancel()
            await asyncio.gather(component, return_exceptions=True)
        if self.checks is not None:
            await self.checks.close()

    def reload(self, file: RoutesFile) -> None:
        """Apply another file.

        Raises:
            OSError: the file's tenants need a new usage ledger, which can't be created.
        """
        if self.uploader is not None:
            self.uploader.change_tenants(tenants_of(file))
        if file.fleet != self.fleet:
            log.error("reload: fleet: changes need a restart; the old ones stay")

    async def _run(self, address: str) -> None:
        terms = LeaseTerms(self.fleet.lease_s, self.fleet.margin_s, self.fleet.answer_s)
        async with LeaseSession(
            self.fleet.group, self.name, terms, on_claim_change=self._on_claim_change
        ) as self.session:
            steps = {**self._metering_steps(self.session), **self._health_steps(self.session)}
            budgets = {
                Priority.from_stored_name(name): RateLimits(*rates) for name, *rates in self.fleet.budgets
            }
            presence = msgspec.json.encode(self._presence(address))
            runner = TaskRunner(self.session, self.name, steps, presence=presence, budgets=budgets)
            await self._run_again("tasks", runner.run)
            await asyncio.Event().wait()  # Keeps the presence after the task runner has ended.

    def _presence(self, address: str) -> Presence:
        return Presence("proxy", self.zone, address, heronreel.__version__, self.incarnation, os.getpid())

    def _metering_steps(self, session: LeaseSession) -> dict[Task, StepFunction]:
        if self.uploader is None:
            return {}
        self._run_component("metering", self.uploader.run, session.client)
        return {Task(METERING_TASK, self.fleet.count_s): self._close_period}

    def _health_steps(self, session: LeaseSession) -> dict[Task, StepFunction]:
        if self.checks is None:
            return {}
        self._run_component("health checks", ZoneReportFollower(self.checks).run, session.client)
        prober = ZoneProber(self.checks, self.name)
        return {prober.task: functools.partial(prober.run_step, session.client)}

    def _run_component(self, name: str, run: Callable[..., Awaitable[None]], *arguments: object) -> None:
        self._components.append(asyncio.create_task(self._run_again(name, run, *arguments)))

    async def _run_again(self, name: str, run: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Run a component until it returns; restart it after each failure."""
        while True:
            try:
                await run(*arguments)
                return
            except Exception as error:
                log.exception("component failed, restarting", component=name, error=repr(error))
                await asyncio.sleep(RESTART_DELAY_S)

    def _on_claim_change(self, change: ClaimAcquired | ClaimLost) -> None:
        event = "claim acquired" if isinstance(change, ClaimAcquired) else "claim lost"
        reason = change.reason if isinstance(change, ClaimLost) else None
        key = change.key.decode(errors="replace")
        log.info(event, key=key, fencing_token=change.fencing_token, reason=reason)

    async def _close_period(self, context: StepContext) -> None:
        assert self.session is not None
        await close_period(self.session.client, context.step, context.fencing_token, self.name, self.points)


def tenants_of(file: RoutesFile) -> tuple[str, ...]:
    """Return the names of the tenants that the file configures."""
    return tuple(tenant.name for tenant in file.tenants)
