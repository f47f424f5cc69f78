"""The body of the response to a health check."""

from __future__ import annotations

import msgspec

from heronreel.coordination.ballots import Ballot, Version
from heronreel.coordination.consensus import ConsensusMember


class HealthReport(msgspec.Struct, frozen=True, kw_only=True):
    """A member's own view of itself and of its group."""

    member: str
    leader: str  # empty if no leader is known
    role: str
    incarnation: str = msgspec.field(name="disk")
    version: Version
    incarnations: dict[str, str] = msgspec.field(name="disks")  # incarnations by member name
    # None: the present members are the desired ones.
    desired_members: list[str] | None = msgspec.field(name="wish")
    configured_members: list[str] = msgspec.field(name="listed")
    promised: Ballot


def health_report(name: str, member: ConsensusMember) -> HealthReport:
    """Return the health report of the member `name`."""
    return HealthReport(
        member=name,
        leader=member.leader or "",
        role=member.role.value,
        incarnation=member.incarnation,
        version=member.version,
        incarnations=dict(member.members),
        desired_members=None if member.desired_members is None else sorted(member.desired_members),
        configured_members=list(member.configured_members),
        promised=member.promised,
    )
