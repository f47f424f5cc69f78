"""The health report of a zone's prober, and how long the zone's proxies believe it.  Pure.

The report is stored under one key a zone.  The prober writes it when a member goes down or comes up, and
periodically to show that it is alive; each write is a transaction that is fenced by the claim on the zone's
task, so a prober that was replaced can't write any more.  A proxy that receives no new report for too long
knows nothing: no member counts as down then.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import Compare, CompareOperator, CompareTarget, Put, Range, Txn
from heronreel.health.checks import MAX_MEMBERS, Member
from heronreel.leases.keys import CLAIM_PREFIX

REPORT_PREFIX = b"probe/"
MAX_REPORTED_DOWN = 2000  # members: more do not fit a stored value


class HealthReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """The health of one zone's members.  Fields are stored under the names given by `name=`."""

    round: int  # of probes, counted over all probers of the zone
    prober: str = msgspec.field(name="by")
    fencing_token: int = msgspec.field(name="number")  # of the prober's claim on the zone's task
    probed: int = 0  # members
    down: tuple[tuple[str, str], ...] = ()  # pool and name

    @property
    def down_members(self) -> frozenset[Member]:
        """The members that are down."""
        return frozenset(Member(pool, name) for pool, name in self.down)


def probe_task_name(zone: str) -> str:
    """The name of the fleet-wide task whose holder probes a zone."""
    return f"probe-{zone}" if zone else "probe"


def report_key(zone: str) -> bytes:
    """The key of a zone's report."""
    return REPORT_PREFIX + zone.encode()


def decode_report(data: bytes) -> HealthReport | None:
    """The report; None for what is not a report."""
    try:
        return msgspec.json.decode(data, type=HealthReport)
    except msgspec.DecodeError:
        return None


def publish_request(zone: str, report: HealthReport) -> Txn:
    """The transaction that writes a report, while its prober still holds the zone's task.

    Otherwise it fails, and its response has the current claim.
    """
    claim = CLAIM_PREFIX + probe_task_name(zone).encode()
    fence = Compare(claim, CompareTarget.CREATE, CompareOperator.EQUAL, report.fencing_token)
    bounded = msgspec.structs.replace(
        report, down=report.down[:MAX_REPORTED_DOWN], probed=min(report.probed, MAX_MEMBERS)
    )
    return Txn((fence,), (Put(report_key(zone), msgspec.json.encode(bounded)),), (Range(claim),))


class ReportVersion(NamedTuple):
    """The order of reports: by prober, then by round."""

    fencing_token: int
    round: int


class ReceivedReport:
    """What one proxy knows of its zone's members: the newest report, until it expires."""

    def __init__(self, max_age_s: float) -> None:
        """`max_age_s`: seconds without a new report after which nothing is known, on the proxy's clock."""
        self.max_age_s = max_age_s
        self.report: HealthReport | None = None
        self.received_at = -max_age_s
        self._newest = ReportVersion(0, 0)

    def receive(self, report: HealthReport | None, now: float) -> bool:
        """Take the stored report; returns False where it is not a new one.

        A coordination service that lost its state begins with smaller fencing tokens: its reports are taken
        once the newest one has expired.
        """
        if report is None:
            return False
        version = ReportVersion(report.fencing_token, report.round)
        if version == self._newest:
            return False  # nobody has probed since
        if version < self._newest and self.is_current(now):
            return False
        self._newest = version
        self.report = report
        self.received_at = now
        return True

    def is_current(self, now: float) -> bool:
        """Whether there is a report that has not expired."""
        return self.report is not None and now < self.expires_at()

    def expires_at(self) -> float:
        """When the report expires unless a new one is received."""
        return self.received_at + self.max_age_s

    def down(self, now: float) -> Collection[Member]:
        """The members that are reported down; none without a current report."""
        return self.report.down_members if self.report is not None and self.is_current(now) else frozenset()
