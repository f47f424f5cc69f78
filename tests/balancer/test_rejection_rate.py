"""A fleet that turns most attempts away is tried less, and as before once it has room again."""

from __future__ import annotations

from heronreel.balancer.interface import ListKind, Outcome, Reject, RequestClass, Settings
from heronreel.balancer.rates import HIGH_REJECTION, LOW_REJECTION, MAX_ATTEMPTS, RejectionRate
from tests.balancer.strict_host import Host, fleet


def attempts_of(host: Host, outcome: Outcome) -> int:
    """A request whose attempts all end so, at once; it must be over then."""
    ident = host.arrive(hint=5.0)
    while any(request == ident for request, _ in host.out()):
        number = len(host.owed[ident].attempts) - 1
        host.now += 1.0
        host.end(ident, number, outcome)
    assert host.owed[ident].over
    return len(host.owed[ident].attempts)


def test_attempts_fall_with_the_share_turned_away_and_come_back_after_it() -> None:
    host = Host(Settings((RequestClass("read"),), max_attempts=6))
    host.listed(ListKind.FULL, *fleet(12))
    assert attempts_of(host, Outcome.REJECTED) == 6  # one request alone tells nothing of the fleet
    tries = []
    for _ in range(60):
        tries.append(attempts_of(host, Outcome.REJECTED))
        host.run_to(host.now + 20.0)
    assert tries[-1] == 1  # and never fewer, or nobody would learn of room
    refused = [action for action in host.log if isinstance(action, Reject)]
    assert len(refused) == 61  # each of them at once, in the event that turned its last attempt away
    calm_after = 0
    while attempts_of(host, Outcome.REJECTED) < 6:
        for _ in range(20):
            assert attempts_of(host, Outcome.SERVED) == 1
            host.run_to(host.now + 10.0)
        calm_after += 1
    assert calm_after < 15  # 3 s


def test_one_full_server_among_many_costs_no_request_its_second_attempt() -> None:
    host = Host(Settings((RequestClass("read"),), max_attempts=6))
    host.listed(ListKind.FULL, *fleet(8))
    full = 100
    for _ in range(300):
        ident = host.arrive(hint=5.0)
        while any(request == ident for request, _ in host.out()):
            number = len(host.owed[ident].attempts) - 1
            rejected = host.owed[ident].attempts[number].backend == full
            host.end(ident, number, Outcome.REJECTED if rejected else Outcome.SERVED, 10.0)
        assert not any(isinstance(action, Reject) for action in host.log)


def test_a_burst_shorter_than_a_period_is_no_shortage_and_a_mixed_second_allows_two() -> None:
    seen = RejectionRate()

    def period(sent: int, rejected: int) -> None:
        seen.sent += sent
        seen.rejected += rejected

    period(50, 40)
    assert seen.allows(5)  # until the period is over
    seen.roll()
    assert seen.share == 0.8 and seen.allows(0) and not seen.allows(1)
    period(60, 0)
    seen.roll()
    assert seen.share < LOW_REJECTION and seen.allows(5)
    period(40, 30)
    seen.roll()
    assert LOW_REJECTION <= seen.share < HIGH_REJECTION
    assert seen.allows(MAX_ATTEMPTS - 1) and not seen.allows(MAX_ATTEMPTS)
