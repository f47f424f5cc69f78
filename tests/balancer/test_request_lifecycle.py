"""Rules 1 to 3 for single requests: each effect, outcome and what may follow."""

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
from tests.balancer.strict_host import Host, fleet

PROVEN = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT}
SCOPES = list(DedupScope)
ENDINGS = [outcome for outcome in Outcome if outcome is not Outcome.SERVED]


def host_of(effect: Effect, scope: DedupScope = DedupScope.ALL, attempts: int = 3, backends: int = 8) -> Host:
    work = RequestClass("work", 500.0, 2000.0, effect=effect, dedup_scope=scope, repeat_window_ms=1500.0)
    host = Host(Settings((work,), max_attempts=attempts))
    host.listed(ListKind.CACHED, *fleet(backends))
    return host


@pytest.mark.parametrize("outcome", ENDINGS)
@pytest.mark.parametrize("effect", list(Effect))
def test_a_retry_only_where_the_effect_allows_it(effect: Effect, outcome: Outcome) -> None:
    host = host_of(effect)
    ident = host.arrive()
    host.now += 30.0
    (after,) = host.end(ident, 0, outcome)
    if effect is Effect.UNSAFE and outcome not in PROVEN:
        assert after == Fail(ident)
    else:
        assert isinstance(after, StartAttempt)
        assert after.backend != host.requests[ident].attempts[0].backend


@pytest.mark.parametrize("outcome", ENDINGS)
@pytest.mark.parametrize("scope", SCOPES)
@pytest.mark.parametrize("effect", list(Effect))
def test_out_of_attempts_it_is_rejected_only_where_a_retry_does_no_harm(
    effect: Effect, scope: DedupScope, outcome: Outcome
) -> None:
    host = host_of(effect, scope, attempts=1)
    ident = host.arrive()
    (after,) = host.end(ident, 0, outcome)
    harmless = (
        outcome in PROVEN
        or effect is Effect.IDEMPOTENT
        or (effect is Effect.KEYED and scope is DedupScope.ALL)
    )
    assert after == (Reject(ident) if harmless else Fail(ident))


@pytest.mark.parametrize("scope", [DedupScope.ZONE, DedupScope.CELL])
def test_a_retry_after_what_may_have_run_stays_in_its_group(scope: DedupScope) -> None:
    for seed in range(20):
        host = host_of(Effect.KEYED, scope)
        host.balancer.random.seed(seed)
        ident = host.arrive()
        host.end(ident, 0, Outcome.ERROR)  # the host checks the group of what follows
        assert len(host.requests[ident].attempts) == 2


def test_no_retry_once_the_window_has_closed() -> None:
    host = host_of(Effect.KEYED, DedupScope.CELL)
    ident = host.arrive()
    host.now += 1490.0
    assert host.end(ident, 0, Outcome.ERROR) == [Fail(ident)]


def test_a_timeout_at_the_deadline_is_failed_at_once() -> None:
    host = host_of(Effect.UNSAFE)
    ident = host.arrive(left=300.0)
    host.run_to(host.now + 400.0)
    assert host.log[-1] == Fail(ident) or Fail(ident) in host.log


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_a_draining_backend_gets_nothing_from_that_event_on(state: BackendState) -> None:
    host = host_of(Effect.IDEMPOTENT, backends=2)
    one, other = fleet(2)
    host.listed(ListKind.CHANGES, BackendInfo(one.backend, state))
    for _ in range(10):
        ident = host.arrive()
        assert [a.backend for a in host.requests[ident].attempts] == [other.backend]


def test_missing_from_a_full_list_is_gone_and_a_failed_call_keeps_the_list() -> None:
    host = host_of(Effect.IDEMPOTENT, backends=3)
    host.listed(ListKind.FULL, fleet(3)[1])
    host.listed(ListKind.FAILED)
    for _ in range(5):
        assert host.requests[host.arrive()].attempts[0].backend == 101


def test_without_backends_a_request_is_rejected_at_once() -> None:
    host = Host(Settings((RequestClass("work"),), max_retry_after_ms=300.0))
    host.listed(ListKind.CACHED)
    ident = host.arrive()
    rejected = host.log[-1]
    assert isinstance(rejected, Reject)
    assert rejected.request == ident
    assert 0.0 < rejected.retry_after_ms <= 300.0


def test_a_list_that_must_be_watched_is_watched_again_after_a_failure() -> None:
    host = Host(Settings((RequestClass("work"),), watch_list=True, watch_within_ms=10000.0))
    host.listed(ListKind.CACHED, *fleet(2))
    host.run_to(host.now + 3000.0)
    assert host.log.count(WatchList()) == 1
    for _ in range(6):
        (again,) = host.listed(ListKind.FAILED)
        assert isinstance(again, SetTimer)
        assert again.delay_ms < 5000.0
        host.run_to(host.now + 5000.0)
    assert host.log.count(WatchList()) == 7


def test_a_reload_that_shortens_the_time_for_calls_counts_for_the_next_call() -> None:
    host = Host(Settings((RequestClass("work"),), watch_list=True, watch_within_ms=10000.0))
    host.listed(ListKind.CACHED, *fleet(2))
    host.run_to(host.now + 3000.0)
    host.balancer.handle(host.now, NewSettings(replace(host.settings, watch_within_ms=600.0)))
    (again,) = host.listed(ListKind.FAILED)
    assert isinstance(again, SetTimer) and again.delay_ms <= 200.0


def test_nothing_follows_once_the_client_is_gone() -> None:
    host = host_of(Effect.IDEMPOTENT)
    ident = host.arrive()
    host.disconnect(ident)
    assert host.end(ident, 0, Outcome.ERROR) == []
