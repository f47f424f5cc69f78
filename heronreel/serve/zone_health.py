"""Health checks shared by the proxies of a zone: one proxy probes, and all follow its reports."""

from __future__ import annotations

import asyncio
import logging

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import Range, RangeResponse, TxnResponse
from heronreel.health.checks import HealthTracker
from heronreel.health.errors import ProberReplacedError
from heronreel.health.report import (
    HealthReport,
    ReceivedReport,
    decode_report,
    probe_task_name,
    publish_request,
    report_key,
)
from heronreel.leases.task_runner import StepContext
from heronreel.leases.tasks import Task
from heronreel.serve.health_checks import HealthChecks

MIN_REPORT_INTERVAL_S = 1.0  # The shortest interval between two reports without a change.
MAX_MISSED_REPORTS = 4  # The last report expires after this number of report intervals.
PUBLISH_TIMEOUT_S = 2.0
STEP_MARGIN_S = 5.0  # The time that a round of probes may take beyond the probe interval.
WATCH_BACKOFF_S = 0.5
MIN_EXPIRY_CHECK_S = 0.05
EXPIRY_CHECK_S = 0.2  # The interval between two checks while there is no current report.

log = logging.getLogger(__name__)


def _report_interval_s(checks: HealthChecks) -> float:
    return max(MIN_REPORT_INTERVAL_S, checks.config.interval_s)


class ZoneProber:
    """The fleet-wide task of probing a zone, which runs while this process holds the task."""

    def __init__(self, checks: HealthChecks, name: str) -> None:
        """`name` identifies this process in the reports."""
        self.checks = checks
        self.name = name
        self._tracker = HealthTracker(checks.config)
        self._fencing_token = 0  # the token that was valid when the tracker was created
        self._round = 0
        self._published_at = 0.0

    @property
    def task(self) -> Task:
        """The task; each of its steps is one round of probes."""
        interval_s = self.checks.config.interval_s
        zone = self.checks.zone
        return Task(probe_task_name(zone), interval_s, step_timeout_s=interval_s + STEP_MARGIN_S, zone=zone)

    async def run_step(self, client: Client, context: StepContext) -> None:
        """Probe all members once, and publish a report if the result changed or a report is due.

        Raises:
            RequestError: the coordination service did not respond.
            ProberReplacedError: another process probes the zone now.
        """
        if self._fencing_token != context.fencing_token:
            await self._take_over(client, context.fencing_token)
        members = self.checks.members
        changed = await self.checks.prober.probe_all(members, self._tracker, lambda: context.acquire(calls=1))
        self._round += 1
        due = self.checks.clock() >= self._published_at + _report_interval_s(self.checks)
        if changed or due:
            await self._publish(client, len(members))

    async def _take_over(self, client: Client, fencing_token: int) -> None:
        """Continue from the zone's last report."""
        last = await _read_report(client, self.checks.zone)
        self._tracker = HealthTracker(self.checks.config, last.down_members if last else ())
        self._round = last.round if last else 0
        self._fencing_token = fencing_token
        self._published_at = 0.0

    async def _publish(self, client: Client, probed: int) -> None:
        down = tuple(sorted((member.pool, member.name) for member in self._tracker.down))
        report = HealthReport(self._round, self.name, self._fencing_token, probed, down)
        self._published_at = 0.0  # If the outcome stays unknown, the next step publishes again.
        response = await client.call(publish_request(self.checks.zone, report), PUBLISH_TIMEOUT_S)
        assert isinstance(response, TxnResponse)
        if not response.succeeded:
            raise ProberReplacedError
        self._published_at = self.checks.clock()


class ZoneReportFollower:
    """Follows the reports of the zone's prober."""

    def __init__(self, checks: HealthChecks) -> None:
        self.checks = checks
        self._received = ReceivedReport(MAX_MISSED_REPORTS * _report_interval_s(checks))

    async def run(self, client: Client) -> None:
        """Follow reports until cancelled."""
        expiry = asyncio.create_task(self._expire_reports())
        try:
            while True:
                try:
                    await self._watch(client)
                except RequestError as error:
                    log.warning("health check: the group does not respond: %s", error.message)
                await asyncio.sleep(WATCH_BACKOFF_S)
        finally:
            expiry.cancel()

    async def _watch(self, client: Client) -> None:
        """Read the report, then watch it; return when the watch has missed events."""
        key = report_key(self.checks.zone)
        response = await client.call(Range(key))
        assert isinstance(response, RangeResponse)
        for _, record in response.records:
            self._receive(record.value)
        async for changes in client.watch(key, start_revision=response.revision + 1):
            for event in changes.events:
                if event.record is not None:
                    self._receive(event.record.value)
            if changes.missed:
                return

    def _receive(self, data: bytes) -> None:
        now = self.checks.clock()
        if self._received.receive(decode_report(data), now):
            self.checks.update(self._received.down(now))

    async def _expire_reports(self) -> None:
        """Clear the members that are down when the last report expires."""
        while True:
            now = self.checks.clock()
            was_current = self._received.is_current(now)
            wait_s = max(MIN_EXPIRY_CHECK_S, self._received.expires_at() - now)
            await asyncio.sleep(wait_s if was_current else EXPIRY_CHECK_S)
            if was_current and not self._received.is_current(self.checks.clock()):
                message = "health check: no report for %g s; no member is known to be down"
                log.warning(message, self._received.max_age_s)
                self.checks.update(())


async def _read_report(client: Client, zone: str) -> HealthReport | None:
    response = await client.call(Range(report_key(zone)))
    assert isinstance(response, RangeResponse)
    return decode_report(response.records[0][1].value) if response.records else None
