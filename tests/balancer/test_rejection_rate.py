"""A fleet that rejects most attempts gets fewer retries, and as many as before once it has capacity."""

from __future__ import annotations

from heronreel.balancer.interface import ListKind, Outcome, Reject, RequestClass, Settings
from heronreel.balancer.rates import (
    HIGH_REJECTION_SHARE,
    LOW_REJECTION_SHARE,
    MAX_REJECTED_ATTEMPTS,
    RejectionRate,
)
from tests.balancer.strict_host import Host, fleet


def attempts_of(host: Host, outcome: Outcome) -> int:
    """A request whose attempts all end so, at once; it must be over then."""
    ident = host.arrive(hint=5.0)
    while any(request == ident for request, _ in host.in_flight()):
        number = len(host.requests[ident].attempts) - 1
        host.now += 1.0
        host.end(ident, number, outcome)
    assert host.requests[ident].over
    return len(host.requests[ident].attempts)


def test_attempts_fall_with_the_rejection_rate_and_recover_after_it() -> None:
    host = Host(Settings((RequestClass("read"),), max_attempts=6))
    host.listed(ListKind.FULL, *fleet(12))
    assert attempts_of(host, Outcome.REJECTED) == 6  # one request alone is no sign of a shortage
    attempts = []
    for _ in range(60):
        attempts.append(attempts_of(host, Outcome.REJECTED))
        host.run_to(host.now + 20.0)
    assert attempts[-1] == 1  # and never fewer, or free capacity would go unnoticed
    rejections = [action for action in host.log if isinstance(action, Reject)]
    assert len(rejections) == 61  # each of them at once, in the event that rejected its last attempt
    calm_after = 0
    while attempts_of(host, Outcome.REJECTED) < 6:
        for _ in range(20):
            assert attempts_of(host, Outcome.SERVED) == 1
            host.run_to(host.now + 10.0)
        calm_after += 1
    assert calm_after < 15  # 3 s


def test_one_full_backend_among_many_costs_no_request_its_retry() -> None:
    host = Host(Settings((RequestClass("read"),), max_attempts=6))
    host.listed(ListKind.FULL, *fleet(8))
    full = 100
    for _ in range(300):
        ident = host.arrive(hint=5.0)
        while any(request == ident for request, _ in host.in_flight()):
            number = len(host.requests[ident].attempts) - 1
            rejected = host.requests[ident].attempts[number].backend == full
            host.end(ident, number, Outcome.REJECTED if rejected else Outcome.SERVED, 10.0)
        assert not any(isinstance(action, Reject) for action in host.log)


def test_a_burst_shorter_than_a_period_is_no_shortage_and_a_mixed_second_allows_two() -> None:
    rate = RejectionRate()

    def period(sent: int, rejected: int) -> None:
        rate.sent += sent
        rate.rejected += rejected

    period(50, 40)
    assert rate.allows(5)  # until the period is over
    rate.roll()
    assert rate.share == 0.8 and rate.allows(0) and not rate.allows(1)
    period(60, 0)
    rate.roll()
    assert rate.share < LOW_REJECTION_SHARE and rate.allows(5)
    period(40, 30)
    rate.roll()
    assert LOW_REJECTION_SHARE <= rate.share < HIGH_REJECTION_SHARE
    assert rate.allows(MAX_REJECTED_ATTEMPTS - 1) and not rate.allows(MAX_REJECTED_ATTEMPTS)
