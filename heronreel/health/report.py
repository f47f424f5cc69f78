"""What a zone's prober tells, and what the proxies of the zone make of it.  Pure.

The report is one agreed key a zone.  The prober writes it when somebody goes down or comes up, and now and
then to show that it goes on; each writing is a transaction on the claim's number, so a prober that was
followed tells nothing any more.  Who hears nothing new for too long knows nothing: it takes nobody for
down, and says so.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from heronreel.coordination.model import Compare, CompareOperator, CompareTarget, Put, Range, Txn
from heronreel.health.checks import MEMBERS_MOST, Member
from heronreel.leases.keys import CLAIM_PREFIX

REPORTS = b"probe/"
DOWN_MOST = 2000  # members told as down: more do not fit a value of the group's


class Report(msgspec.Struct, frozen=True, omit_defaults=True):
    """One zone's servers as its prober found them."""

    round: int  # of probes, counted over all probers of the zone
    by: str
    number: int  # the grant under which it was written
    probed: int = 0  # members
    down: tuple[tuple[str, str], ...] = ()  # pool and name

    @property
    def members(self) -> frozenset[Member]:
        return frozenset(Member(pool, name) for pool, name in self.down)


def task_of(zone: str) -> str:
    """The name of the zone's task."""
    return f"probe-{zone}" if zone else "probe"


def key_of(zone: str) -> bytes:
    return REPORTS + zone.encode()


def decoded(data: bytes) -> Report | None:
    """None for what is no report."""
    try:
        return msgspec.json.decode(data, type=Report)
    except msgspec.DecodeError:
        return None


def telling(zone: str, report: Report) -> Txn:
    """Done only while the claim has the report's number; the answer of a refusal says who has it."""
    claim = CLAIM_PREFIX + task_of(zone).encode()
    ours = Compare(claim, CompareTarget.CREATE, CompareOperator.EQUAL, report.number)
    down = report.down[:DOWN_MOST]
    cut = msgspec.structs.replace(report, down=down, probed=min(report.probed, MEMBERS_MOST))
    return Txn((ours,), (Put(key_of(zone), msgspec.json.encode(cut)),), (Range(claim),))


class Heard:
    """What one proxy knows of its zone's servers."""

    def __init__(self, patience_s: float, now: float) -> None:
        """Nothing new for `patience_s`, on the proxy's own clock: nothing is known any more."""
        self.patience_s = patience_s
        self.report: Report | None = None
        self.heard = now - patience_s
        self.greatest = (0, 0)  # number and round of the newest report: older ones are passed over

    def told(self, report: Report | None, now: float) -> bool:
        """What the group has; False where it is not new.  A group that lost its state begins anew, with
        smaller numbers: by then what was known has ended.
        """
        if report is None:
            return False
        mark = report.number, report.round
        if mark <= self.greatest and self.known(now):
            return False
        if mark == self.greatest:
            return False  # the same as before: nobody has probed since
        self.greatest = mark
        self.report = report
        self.heard = now
        return True

    def known(self, now: float) -> bool:
        return self.report is not None and now < self.heard + self.patience_s

    def until(self) -> float:
        """When what is known ends."""
        return self.heard + self.patience_s

    def down(self, now: float) -> Collection[Member]:
        """Whom the prober found down; nobody where that is not known."""
        return self.report.members if self.report is not None and self.known(now) else frozenset()
