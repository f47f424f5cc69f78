"""The health of 1,024 members, all of them reported by one prober.  See docs/fleet-design.md."""

from heronreel.coordination.model import MAX_VALUE_BYTES, Put
from heronreel.health.checks import HealthCheckConfig, HealthTracker, Member, apply_panic_threshold
from heronreel.health.report import HealthReport, decode_report, publish_request

MEMBER_COUNT = 1024
MAX_NAME_LENGTH = 64
POOL = "p" * MAX_NAME_LENGTH
MEMBERS = [Member(POOL, f"{number:04}".ljust(MAX_NAME_LENGTH, "m")) for number in range(MEMBER_COUNT)]


def test_half_of_1024_members_down_does_not_exceed_the_panic_threshold() -> None:
    tracker = HealthTracker(HealthCheckConfig("/health", fall=1))
    for index, member in enumerate(MEMBERS):
        tracker.observe(member, index % 2 == 1)
    assert len(apply_panic_threshold(tracker.down, MEMBERS)) == MEMBER_COUNT // 2


def test_a_report_of_1024_members_down_fits_a_stored_value() -> None:
    report = HealthReport(1, "prober", 1, MEMBER_COUNT, tuple((pool, name) for pool, name in MEMBERS))
    put = publish_request("zone", report).success[0]
    assert isinstance(put, Put) and len(put.value) <= MAX_VALUE_BYTES
    stored = decode_report(put.value)
    assert stored is not None and stored.down_members == set(MEMBERS)
