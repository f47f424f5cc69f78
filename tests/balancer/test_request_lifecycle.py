"""Tests rules 1 to 3 on single requests: what may follow each effect and outcome."""

from dataclasses import replace

import pytest

from heronreel.balancer.interface import (
    BackendInfo,
    BackendState,
    DedupScope,
    Effect,
    Fail,
    ListKind,
    NewSettings,
    Outcome,
    Reject,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    WatchList,
)
from tests.balancer.strict_host import Host, backend_fleet

NOT_EXECUTED = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT}
SCOPES = list(DedupScope)
UNSERVED = [outcome for outcome in Outcome if outcome is not Outcome.SERVED]


def make_host(
    effect: Effect, scope: DedupScope = DedupScope.ALL, attempts: int = 3, backends: int = 8
) -> Host:
    work = RequestClass("work", 500.0, 2000.0, effect=effect, dedup_scope=scope, repeat_window_ms=1500.0)
    host = Host(Settings((work,), max_attempts=attempts))
    host.receive_list(ListKind.CACHED, *backend_fleet(backends))
    return host


@pytest.mark.parametrize("outcome", UNSERVED)
@pytest.mark.parametrize("effect", list(Effect))
def test_a_request_is_retried_only_if_its_effect_allows_it(effect: Effect, outcome: Outcome) -> None:
    host = make_host(effect)
    ident = host.start_request()
    host.now += 30.0
    (after,) = host.end_attempt(ident, 0, outcome)
    if effect is Effect.UNSAFE and outcome not in NOT_EXECUTED:
        assert after == Fail(ident)
    else:
        assert isinstance(after, StartAttempt)
        assert after.backend != host.requests[ident].attempts[0].backend


@pytest.mark.parametrize("outcome", UNSERVED)
@pytest.mark.parametrize("scope", SCOPES)
@pytest.mark.parametrize("effect", list(Effect))
def test_without_attempts_left_a_request_is_rejected_only_if_a_retry_does_no_harm(
    effect: Effect, scope: DedupScope, outcome: Outcome
) -> None:
    host = make_host(effect, scope, attempts=1)
    ident = host.start_request()
    (after,) = host.end_attempt(ident, 0, outcome)
    harmless = (
        outcome in NOT_EXECUTED
        or effect is Effect.IDEMPOTENT
        or (effect is Effect.KEYED and scope is DedupScope.ALL)
    )
    assert after == (Reject(ident) if harmless else Fail(ident))


@pytest.mark.parametrize("scope", [DedupScope.ZONE, DedupScope.CELL])
def test_a_retry_after_an_attempt_that_may_have_run_stays_in_its_group(scope: DedupScope) -> None:
    for seed in range(20):
        host = make_host(Effect.KEYED, scope)
        host.balancer.random.seed(seed)
        ident = host.start_request()
        host.end_attempt(ident, 0, Outcome.ERROR)  # The test host checks the group of the retry.
        assert len(host.requests[ident].attempts) == 2


def test_no_retry_starts_at_the_end_of_the_repeat_window() -> None:
    host = make_host(Effect.KEYED, DedupScope.CELL)
    ident = host.start_request()
    host.now += 1490.0
    assert host.end_attempt(ident, 0, Outcome.ERROR) == [Fail(ident)]


def test_a_timeout_at_the_deadline_is_failed_at_once() -> None:
    host = make_host(Effect.UNSAFE)
    ident = host.start_request(time_left_ms=300.0)
    host.advance_to(host.now + 400.0)
    assert host.log[-1] == Fail(ident) or Fail(ident) in host.log


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_a_draining_or_removed_backend_gets_no_further_attempts(state: BackendState) -> None:
    host = make_host(Effect.IDEMPOTENT, backends=2)
    stopped, other = backend_fleet(2)
    host.receive_list(ListKind.CHANGES, BackendInfo(stopped.backend, state))
    for _ in range(10):
        ident = host.start_request()
        assert [a.backend for a in host.requests[ident].attempts] == [other.backend]


def test_a_full_list_removes_missing_backends_and_a_failed_call_keeps_the_list() -> None:
    host = make_host(Effect.IDEMPOTENT, backends=3)
    host.receive_list(ListKind.FULL, backend_fleet(3)[1])
    host.receive_list(ListKind.FAILED)
    for _ in range(5):
        assert host.requests[host.start_request()].attempts[0].backend == 101


def test_without_backends_a_request_is_rejected_at_once() -> None:
    host = Host(Settings((RequestClass("work"),), max_retry_after_ms=300.0))
    host.receive_list(ListKind.CACHED)
    ident = host.start_request()
    rejected = host.log[-1]
    assert isinstance(rejected, Reject)
    assert rejected.request == ident
    assert 0.0 < rejected.retry_after_ms <= 300.0


def test_a_watch_is_started_again_after_a_failure() -> None:
    host = Host(Settings((RequestClass("work"),), watch_list=True, watch_within_ms=10000.0))
    host.receive_list(ListKind.CACHED, *backend_fleet(2))
    host.advance_to(host.now + 3000.0)
    assert host.log.count(WatchList()) == 1
    for _ in range(6):
        (again,) = host.receive_list(ListKind.FAILED)
        assert isinstance(again, SetTimer)
        assert again.delay_ms < 5000.0
        host.advance_to(host.now + 5000.0)
    assert host.log.count(WatchList()) == 7


def test_a_reload_that_shortens_the_time_for_calls_applies_to_the_next_call() -> None:
    host = Host(Settings((RequestClass("work"),), watch_list=True, watch_within_ms=10000.0))
    host.receive_list(ListKind.CACHED, *backend_fleet(2))
    host.advance_to(host.now + 3000.0)
    host.balancer.handle(host.now, NewSettings(replace(host.settings, watch_within_ms=600.0)))
    (again,) = host.receive_list(ListKind.FAILED)
    assert isinstance(again, SetTimer) and again.delay_ms <= 200.0


def test_no_action_follows_once_the_client_has_disconnected() -> None:
    host = make_host(Effect.IDEMPOTENT)
    ident = host.start_request()
    host.disconnect_client(ident)
    assert host.end_attempt(ident, 0, Outcome.ERROR) == []


def stalled_host(effect: Effect, hedging: bool) -> tuple[Host, int]:
    """Return a host with eight backends in two cells, and a request whose only attempt has stalled."""
    request_class = RequestClass("c", 400.0, 2500.0, 1.0, 0.5, effect, DedupScope.CELL, 5000.0)
    host = Host(Settings((request_class,), max_attempts=4, hedging=hedging))
    host.receive_list(ListKind.CACHED, *(BackendInfo(n, cell=n % 2) for n in range(8)))
    ident = host.start_request("c")
    host.advance_to(host.now + 300.0)
    host.stall_attempt(ident, 0)
    return host, ident


def test_a_stalled_attempt_is_hedged_within_its_group_and_at_most_two_are_in_flight() -> None:
    host, ident = stalled_host(Effect.KEYED, hedging=True)
    first, second = host.requests[ident].attempts
    assert first.backend != second.backend and first.backend % 2 == second.backend % 2
    host.stall_attempt(ident, 1)
    host.stall_attempt(ident, 0)
    assert len(host.requests[ident].attempts) == 2
    host.end_attempt(ident, 1, Outcome.ERROR)  # The first attempt still goes on, beside another one.
    assert [attempt.in_flight for attempt in host.requests[ident].attempts] == [True, False, True]
    host.end_attempt(ident, 0, Outcome.SERVED)
    assert ident not in host.balancer.requests


@pytest.mark.parametrize(("effect", "hedging"), [(Effect.UNSAFE, True), (Effect.KEYED, False)])
def test_a_stalled_attempt_is_waited_for_where_no_second_one_is_allowed(
    effect: Effect, hedging: bool
) -> None:
    host, ident = stalled_host(effect, hedging)
    assert len(host.requests[ident].attempts) == 1 and not host.requests[ident].has_ended
    host.end_attempt(ident, 0, Outcome.SERVED)
    assert ident not in host.balancer.requests
