"""Tests that a fleet that rejects most attempts gets fewer retries until it has capacity again."""

from __future__ import annotations

from heronreel.balancer.interface import ListKind, Outcome, Reject, RequestClass, Settings
from heronreel.balancer.rates import (
    HIGH_REJECTION_SHARE,
    LOW_REJECTION_SHARE,
    MAX_REJECTED_ATTEMPTS,
    RejectionRate,
)
from tests.balancer.strict_host import Host, backend_fleet


def count_attempts(host: Host, outcome: Outcome) -> int:
    """Return the number of attempts of a request whose attempts all have this outcome, after 1 ms each."""
    ident = host.start_request(hint_ms=5.0)
    while any(request == ident for request, _ in host.in_flight()):
        number = len(host.requests[ident].attempts) - 1
        host.now += 1.0
        host.end_attempt(ident, number, outcome)
    assert host.requests[ident].has_ended
    return len(host.requests[ident].attempts)


def test_attempts_decrease_with_the_rejection_rate_and_recover_after_it() -> None:
    host = Host(Settings((RequestClass("read"),), max_attempts=6))
    host.receive_list(ListKind.FULL, *backend_fleet(12))
    assert count_attempts(host, Outcome.REJECTED) == 6  # One request alone does not indicate a shortage.
    attempts = []
    for _ in range(60):
        attempts.append(count_attempts(host, Outcome.REJECTED))
        host.advance_to(host.now + 20.0)
    assert attempts[-1] == 1  # The first attempt is always made, to detect free capacity.
    rejections = [action for action in host.log if isinstance(action, Reject)]
    assert len(rejections) == 61  # Each one is sent in the event that rejected its last attempt.
    calm_rounds = 0
    while count_attempts(host, Outcome.REJECTED) < 6:
        for _ in range(20):
            assert count_attempts(host, Outcome.SERVED) == 1
            host.advance_to(host.now + 10.0)
        calm_rounds += 1
    assert calm_rounds < 15  # One round takes 200 ms, so this is 3 s.


def test_one_full_backend_does_not_prevent_retries() -> None:
    host = Host(Settings((RequestClass("read"),), max_attempts=6))
    host.receive_list(ListKind.FULL, *backend_fleet(8))
    full = 100
    for _ in range(300):
        ident = host.start_request(hint_ms=5.0)
        while any(request == ident for request, _ in host.in_flight()):
            number = len(host.requests[ident].attempts) - 1
            rejected = host.requests[ident].attempts[number].backend == full
            host.end_attempt(ident, number, Outcome.REJECTED if rejected else Outcome.SERVED, 10.0)
        assert not any(isinstance(action, Reject) for action in host.log)


def test_a_short_burst_does_not_limit_retries_and_a_medium_rejection_rate_allows_two_attempts() -> None:
    rate = RejectionRate()

    def period(sent: int, rejected: int) -> None:
        rate.sent += sent
        rate.rejected += rejected

    period(50, 40)
    assert rate.allows(5)  # The rate changes only at the end of the period.
    rate.roll()
    assert rate.share == 0.8 and rate.allows(0) and not rate.allows(1)
    period(60, 0)
    rate.roll()
    assert rate.share < LOW_REJECTION_SHARE and rate.allows(5)
    period(40, 30)
    rate.roll()
    assert LOW_REJECTION_SHARE <= rate.share < HIGH_REJECTION_SHARE
    assert rate.allows(MAX_REJECTED_ATTEMPTS - 1) and not rate.allows(MAX_REJECTED_ATTEMPTS)
