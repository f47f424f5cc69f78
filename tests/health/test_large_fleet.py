"""Health of 1,024 members, all of them reported by one prober (docs/fleet-design.md)."""

from heronreel.coordination.model import MAX_VALUE_BYTES, Put
from heronreel.health.checks import HealthCheckConfig, HealthTracker, Member, apply_panic_threshold
from heronreel.health.report import HealthReport, decode_report, publish_request

COUNT = 1024
LONGEST_NAME = 64
POOL = "p" * LONGEST_NAME
MEMBERS = [Member(POOL, f"{number:04}".ljust(LONGEST_NAME, "m")) for number in range(COUNT)]


def test_1024_members_are_tracked_and_half_of_them_believed_down() -> None:
    tracker = HealthTracker(HealthCheckConfig("/health", fall=1))
    for place, member in enumerate(MEMBERS):
        tracker.observe(member, place % 2 == 1)
    assert len(apply_panic_threshold(tracker.down, MEMBERS)) == COUNT // 2


def test_a_report_of_1024_members_down_fits_a_stored_value() -> None:
    report = HealthReport(1, "prober", 1, COUNT, tuple((pool, name) for pool, name in MEMBERS))
    put = publish_request("zone", report).success[0]
    assert isinstance(put, Put) and len(put.value) <= MAX_VALUE_BYTES
    stored = decode_report(put.value)
    assert stored is not None and stored.down_members == set(MEMBERS)
