"""The health report of a zone's prober, and how long the zone's proxies use it.  Pure: no I/O.

Each zone has one key in the coordination service that holds its report.  The prober writes the report when a
member goes down or comes up, and periodically to show that it is alive.  Each write is a transaction that is
fenced by the claim on the zone's task, so that a prober that has been replaced can no longer write.  A proxy
that has not received a new report for too long has no health information, and treats no member as down.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import Compare, CompareOperator, CompareTarget, Put, Range, Txn
from heronreel.health.checks import MAX_MEMBERS, Member
from heronreel.leases.keys import CLAIM_PREFIX

REPORT_PREFIX = b"probe/"
MAX_REPORTED_DOWN_MEMBERS = 2000  # A report of more members would exceed the size limit of a stored value.


class HealthReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """The health of one zone's members.  A field with `name=` is stored under that name.

    Attributes:
        round: the number of the probe round, counted over all probers that the zone has had.
        prober: the name of the process that probed.
        fencing_token: the fencing token of the prober's claim on the zone's task.
        probed: the number of members probed.
        down: the members that are down, as pairs of the pool's and the member's name.
    """

    round: int
    prober: str = msgspec.field(name="by")
    fencing_token: int = msgspec.field(name="number")
    probed: int = 0
    down: tuple[tuple[str, str], ...] = ()

    @property
    def down_members(self) -> frozenset[Member]:
        """The members that the report says are down."""
        return frozenset(Member(pool, name) for pool, name in self.down)


def probe_task_name(zone: str) -> str:
    """Return the name of the fleet-wide task whose holder probes a zone."""
    return f"probe-{zone}" if zone else "probe"


def report_key(zone: str) -> bytes:
    """Return the key under which a zone's report is stored."""
    return REPORT_PREFIX + zone.encode()


def decode_report(data: bytes) -> HealthReport | None:
    """Decode a stored report; returns None if the data is not a valid report."""
    try:
        return msgspec.json.decode(data, type=HealthReport)
    except msgspec.DecodeError:
        return None


def publish_request(zone: str, report: HealthReport) -> Txn:
    """Return the transaction that stores a report.

    The transaction succeeds only while the report's prober holds the zone's task.  If it fails, its response
    contains the current claim.
    """
    claim = CLAIM_PREFIX + probe_task_name(zone).encode()
    fence = Compare(claim, CompareTarget.CREATE, CompareOperator.EQUAL, report.fencing_token)
    bounded = msgspec.structs.replace(
        report, down=report.down[:MAX_REPORTED_DOWN_MEMBERS], probed=min(report.probed, MAX_MEMBERS)
    )
    return Txn((fence,), (Put(report_key(zone), msgspec.json.encode(bounded)),), (Range(claim),))


class ReportVersion(NamedTuple):
    """Orders reports: first by the prober's fencing token, then by round."""

    fencing_token: int
    round: int


class ReceivedReport:
    """The newest health report that a proxy has received for its zone, until it expires."""

    def __init__(self, max_age_s: float) -> None:
        """Make an empty state.

        A report expires `max_age_s` seconds after it was received, measured on the proxy's clock.
        """
        self.max_age_s = max_age_s
        self.report: HealthReport | None = None
        self.received_at = -max_age_s
        self._newest = ReportVersion(0, 0)

    def receive(self, report: HealthReport | None, now: float) -> bool:
        """Accept the stored report if it is new; returns whether it was accepted.

        A coordination service that has lost its state starts again with smaller fencing tokens.  Its reports
        look older than the newest one, and are accepted once that one has expired.
        """
        if report is None:
            return False
        version = ReportVersion(report.fencing_token, report.round)
        if version == self._newest:
            return False  # There has been no new probe round.
        if version < self._newest and self.is_current(now):
            return False
        self._newest = version
        self.report = report
        self.received_at = now
        return True

    def is_current(self, now: float) -> bool:
        """Return whether there is a report that has not expired."""
        return self.report is not None and now < self.expires_at()

    def expires_at(self) -> float:
        """Return the time at which the report expires unless a new one is received."""
        return self.received_at + self.max_age_s

    def down(self, now: float) -> Collection[Member]:
        """Return the members that are reported down; empty without a current report."""
        return self.report.down_members if self.report is not None and self.is_current(now) else frozenset()
