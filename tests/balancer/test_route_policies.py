"""Tests route policies event by event: backoff, hedged requests, retry budgets, limits and splits."""

from __future__ import annotations

from dataclasses import replace

import pytest

from heronreel.balancer import interface as api
from heronreel.balancer.pools import Pools
from heronreel.balancer.routes import MIN_SAMPLES, LatencyHistogram, RouteLimiter

KEYED = api.RequestClass(
    "save", 500.0, 2500.0, effect=api.Effect.KEYED, dedup_scope=api.DedupScope.CELL, repeat_window_ms=5000.0
)
SAFE = api.RequestClass("read", 500.0, 2500.0, effect=api.Effect.IDEMPOTENT)
UNSAFE = api.RequestClass("pay", 500.0, 2500.0)
ANY_OUTCOME = frozenset(api.Outcome)
SETTINGS = api.Settings(
    (KEYED, SAFE, UNSAFE),
    max_attempts=4,
    hedging=True,
    connect_timeout_ms=100.0,
    max_retry_after_ms=1000.0,
)
SAVE = api.RoutePolicy("save", KEYED, 3, retry_on=ANY_OUTCOME, split=(("a", 1.0),))
READ = api.RoutePolicy(
    "read", SAFE, 3, retry_on=ANY_OUTCOME, retry_in_group=False, hedge_in_group=False, split=(("a", 1.0),)
)
PAY = api.RoutePolicy("pay", UNSAFE, 3, split=(("a", 1.0),))


class Driver:
    """Sends events to the pools and records their actions."""

    def __init__(self, *infos: api.BackendInfo, settings: api.Settings = SETTINGS, seed: int = 1) -> None:
        self.pools = Pools(settings, seed)
        self.now = 1000.0
        self.sent: dict[int, list[api.StartAttempt]] = {}
        self.finals: dict[int, api.Action] = {}
        self.timers: list[tuple[float, int]] = []
        self.idents = 0
        self.handle(api.BackendList(api.ListKind.CACHED, list(infos)))

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.pools.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.StartAttempt):
                self.sent.setdefault(action.request, []).append(action)
            elif isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, api.Reject | api.Fail):
                assert action.request not in self.finals, f"request {action.request} got two final responses"
                self.finals[action.request] = action
        return actions

    def request(self, policy: api.RoutePolicy, time_left_ms: float = 2500.0, key: int | None = None) -> int:
        self.idents += 1
        self.sent[self.idents] = []
        self.handle(
            api.Arrival(
                self.idents, policy.request_class.name, time_left_ms, policy=policy, idempotency_key=key
            )
        )
        return self.idents

    def end_attempt(
        self,
        ident: int,
        outcome: api.Outcome,
        attempt: int = -1,
        latency_ms: float = 10.0,
        finished: bool = False,
    ) -> None:
        number = attempt % len(self.sent[ident])
        backend = self.sent[ident][number].backend
        finished = finished or outcome is api.Outcome.SERVED
        self.handle(api.AttemptEnded(ident, number, backend, outcome, latency_ms, finished))

    def backends_of(self, ident: int) -> list[int]:
        return [action.backend for action in self.sent[ident]]

    def advance_to(self, now: float) -> None:
        while self.timers and min(self.timers)[0] <= now:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.handle(api.TimerFired(token))
        self.now = now

    def advance(self, duration_ms: float) -> None:
        self.advance_to(self.now + duration_ms)


def backends(count: int, pool: str = "a", cells: int = 2, first: int = 0) -> list[api.BackendInfo]:
    return [api.BackendInfo(first + n, zone=f"z{n}", cell=n % cells, pool=pool) for n in range(count)]


def test_an_attempt_gets_the_timeout_of_its_route_and_a_retry_the_rest_of_its_window() -> None:
    host = Driver(*backends(4))
    ident = host.request(replace(SAVE, attempt_timeout_ms=350.0))
    assert host.sent[ident][0].timeout_ms == 350.0 and host.sent[ident][0].within_ms == 0.0
    host.advance(350.0)
    host.end_attempt(ident, api.Outcome.TIMEOUT, latency_ms=350.0)
    assert host.sent[ident][1].within_ms == 4650.0
    first, second = host.backends_of(ident)
    assert first % 2 == second % 2  # Both are in the same cell.


def test_only_the_outcomes_in_retry_on_are_retried() -> None:
    host = Driver(*backends(4))
    policy = replace(READ, retry_on=frozenset((api.Outcome.ERROR,)))
    ident = host.request(policy)
    host.end_attempt(ident, api.Outcome.ERROR)
    assert len(host.sent[ident]) == 2
    host.end_attempt(ident, api.Outcome.RESET)
    assert len(host.sent[ident]) == 2 and isinstance(host.finals[ident], api.Fail)
    never_ran = host.request(policy)
    host.end_attempt(never_ran, api.Outcome.REJECTED)
    assert isinstance(host.finals[never_ran], api.Reject)


def test_an_unsafe_request_is_retried_only_if_no_attempt_may_have_run() -> None:
    host = Driver(*backends(4))
    ident = host.request(PAY)
    host.end_attempt(ident, api.Outcome.REJECTED)
    host.end_attempt(ident, api.Outcome.UNREACHABLE)
    host.end_attempt(ident, api.Outcome.RESET)
    assert len(host.sent[ident]) == 3 and isinstance(host.finals[ident], api.Fail)
    retry_on_any = host.request(replace(PAY, retry_on=ANY_OUTCOME))  # No policy may allow a retry.
    host.end_attempt(retry_on_any, api.Outcome.TIMEOUT)
    assert len(host.sent[retry_on_any]) == 1 and isinstance(host.finals[retry_on_any], api.Fail)


def test_a_backoff_doubles_and_delays_only_retries() -> None:
    host = Driver(*backends(6))
    ident = host.request(replace(READ, max_attempts=4, backoff_ms=100.0, max_backoff_ms=150.0))
    for backoff in (100.0, 150.0, 150.0):
        count = len(host.sent[ident])
        host.end_attempt(ident, api.Outcome.ERROR)
        host.advance(backoff - 1.0)
        assert len(host.sent[ident]) == count
        host.advance(2.0)
        assert len(host.sent[ident]) == count + 1
    host.end_attempt(ident, api.Outcome.ERROR)
    assert isinstance(host.finals[ident], api.Fail)  # Without attempts left, the request fails at once.


@pytest.mark.parametrize(
    ("policy", "time_left_ms"),
    [
        (replace(READ, backoff_ms=100.0), 90.0),  # The backoff ends after the deadline.
        # The backoff ends after the repeat window.
        (
            replace(SAVE, backoff_ms=4950.0, max_backoff_ms=4950.0),
            9000.0,
        ),
        (replace(READ, backoff_ms=100.0, max_attempts=1), 2500.0),  # No attempt is left.
        (replace(READ, backoff_ms=100.0, retry_budget_ratio=0.0), 2500.0),  # There is no retry budget.
        (replace(PAY, backoff_ms=100.0, retry_on=ANY_OUTCOME), 2500.0),  # The request is unsafe.
    ],
)
def test_no_backoff_starts_if_no_attempt_may_follow_it(policy: api.RoutePolicy, time_left_ms: float) -> None:
    """A request without a further attempt gets its final response at once."""
    host = Driver(*backends(4))
    ident = host.request(policy, time_left_ms)
    host.end_attempt(ident, api.Outcome.ERROR)
    assert isinstance(host.finals[ident], api.Fail)


def test_a_backoff_that_ends_late_starts_no_attempt_after_the_repeat_window() -> None:
    host = Driver(*backends(4))
    ident = host.request(replace(SAVE, backoff_ms=100.0), 60_000.0)
    host.end_attempt(ident, api.Outcome.RESET)
    host.now += 5000.0  # The event loop stalled.
    host.advance_to(host.now)
    assert len(host.sent[ident]) == 1 and isinstance(host.finals[ident], api.Fail)


def test_a_disconnect_during_a_backoff_ends_the_request() -> None:
    host = Driver(*backends(4))
    ident = host.request(replace(READ, backoff_ms=100.0))
    host.end_attempt(ident, api.Outcome.ERROR)
    host.handle(api.RequestClosed(ident))
    host.advance(500.0)
    assert len(host.sent[ident]) == 1 and not host.finals and not host.pools.requests


HEDGED = replace(SAVE, hedge_after_ms=50.0)


def test_a_hedged_request_goes_to_another_backend_of_its_group() -> None:
    host = Driver(*backends(6))
    ident = host.request(HEDGED)
    host.advance(51.0)
    first, second = host.backends_of(ident)
    assert first != second and first % 2 == second % 2
    host.advance(500.0)
    assert len(host.sent[ident]) == 2  # There is only one hedged request.


def test_the_first_served_response_ends_the_request_and_the_other_has_no_effect() -> None:
    for winner, loser in ((0, 1), (1, 0)):
        host = Driver(*backends(6))
        ident = host.request(HEDGED)
        host.advance(51.0)
        host.end_attempt(ident, api.Outcome.SERVED, winner)
        host.end_attempt(ident, api.Outcome.SERVED, loser)  # The host discards this response.
        assert not host.finals and not host.pools.requests and len(host.sent[ident]) == 2


def test_a_failure_does_not_end_a_request_with_another_attempt_in_flight() -> None:
    for order in ((0, 1), (1, 0)):
        host = Driver(*backends(6))
        ident = host.request(HEDGED)
        host.advance(51.0)
        host.end_attempt(ident, api.Outcome.ERROR, order[0])
        assert len(host.sent[ident]) == 2 and not host.finals
        host.end_attempt(ident, api.Outcome.RESET, order[1])
        assert len(host.sent[ident]) == 3  # The policy allows three attempts, including the hedged one.
        host.end_attempt(ident, api.Outcome.ERROR)
        assert isinstance(host.finals[ident], api.Fail)


def test_a_response_at_the_same_time_as_the_hedge_timer_ends_the_request() -> None:
    for response_first in (True, False):
        host = Driver(*backends(6))
        ident = host.request(HEDGED)
        (token,) = [token for at, token in host.timers if at == host.now + 50.0]
        host.now += 50.0
        if response_first:
            host.end_attempt(ident, api.Outcome.SERVED)
        host.handle(api.TimerFired(token))
        if not response_first:
            host.end_attempt(ident, api.Outcome.SERVED, 0)
            host.end_attempt(ident, api.Outcome.SERVED, 1)
        assert len(host.sent[ident]) == (1 if response_first else 2)
        assert not host.finals and not host.pools.requests


def test_no_hedged_request_is_sent_if_its_group_is_draining() -> None:
    infos = backends(4)  # Cells 0 and 1 have two backends each.
    host = Driver(*infos)
    ident = host.request(HEDGED)
    (first,) = host.backends_of(ident)
    draining = [
        replace(i, state=api.BackendState.DRAINING)
        for i in infos
        if i.backend != first and i.cell == first % 2
    ]
    host.handle(api.BackendList(api.ListKind.CHANGES, draining))
    host.advance(100.0)
    assert host.backends_of(ident) == [first]


def test_no_hedged_request_is_sent_after_the_first_attempt_ended_or_if_none_is_allowed() -> None:
    host = Driver(*backends(6))
    retried = host.request(HEDGED)
    host.end_attempt(retried, api.Outcome.ERROR)
    host.advance(100.0)
    assert len(host.sent[retried]) == 2  # The second attempt is the retry.
    for policy in (
        replace(HEDGED, max_attempts=1),
        replace(HEDGED, retry_budget_ratio=0.0),
        replace(PAY, hedge_after_ms=50.0),
    ):
        ident = host.request(policy)
        host.advance(100.0)
        assert len(host.sent[ident]) == 1
    host = Driver(*backends(6), settings=replace(SETTINGS, hedging=False))
    ident = host.request(HEDGED)
    host.advance(100.0)
    assert len(host.sent[ident]) == 1


def test_a_percentile_triggers_hedging_only_with_enough_samples() -> None:
    host = Driver(*backends(6))
    policy = replace(READ, hedge_percentile=90.0)
    for _ in range(MIN_SAMPLES):
        assert [at for at, _ in host.timers if at > host.now + 300.0] == []
        ident = host.request(policy)
        host.advance(5.0)
        assert len(host.sent[ident]) == 1
        host.end_attempt(ident, api.Outcome.SERVED, latency_ms=20.0)
    ident = host.request(policy)
    host.advance(25.0)  # The percentile is 20 ms, accurate to 10 %.
    assert len(host.sent[ident]) == 2


def test_percentiles_are_accurate_to_a_bucket_and_old_samples_decay() -> None:
    histogram = LatencyHistogram()
    for value in range(1, 1001):
        histogram.add(float(value))
    for percent in (50.0, 90.0, 99.0):
        found = histogram.percentile(percent)
        assert found and percent * 10.0 <= found <= percent * 11.1
    for _ in range(20_000):
        histogram.add(5.0)
    found = histogram.percentile(99.0)
    assert found and 5.0 <= found < 5.6
    assert histogram.total < 2000.0


def test_hedged_requests_and_retries_share_one_budget() -> None:
    host = Driver(*backends(8))
    for _ in range(200):
        ident = host.request(replace(READ, retry_budget_ratio=0.1))
        while ident not in host.finals:
            host.end_attempt(ident, api.Outcome.ERROR)
    repeats = sum(len(sent) - 1 for sent in host.sent.values())
    assert repeats <= 10 + 200 * 0.1 and repeats >= 25


def test_requests_beyond_concurrency_or_rate_are_rejected_with_retry_after() -> None:
    host = Driver(*backends(4))
    policy = replace(READ, concurrency=2)
    first, second, third = (host.request(policy) for _ in range(3))
    assert isinstance(host.finals[third], api.Reject) and not host.sent[third]
    host.end_attempt(first, api.Outcome.SERVED)
    assert host.sent[host.request(policy)]
    host.handle(api.RequestClosed(second))  # The attempt is still in flight, but the request has ended.
    assert host.sent[host.request(policy)]

    host = Driver(*backends(4))
    policy = replace(READ, requests_per_s=10.0)
    idents = [host.request(policy) for _ in range(11)]
    assert [ident in host.finals for ident in idents] == [False] * 10 + [True]
    rejection = host.finals[idents[-1]]
    assert isinstance(rejection, api.Reject) and rejection.retry_after_ms == pytest.approx(100.0)
    host.advance(101.0)
    assert host.sent[host.request(policy)]


def test_a_split_follows_its_weights_and_a_key_keeps_its_pool() -> None:
    host = Driver(*backends(4), *backends(4, "b", first=10))
    split = (("a", 3.0), ("b", 1.0))
    count = 0
    for _ in range(400):
        ident = host.request(replace(READ, split=split))
        count += host.backends_of(ident)[0] >= 10
        host.end_attempt(ident, api.Outcome.SERVED)
    assert 60 < count < 140
    keyed = replace(SAVE, split=split)
    first = {}
    for key in range(300):
        first[key] = host.backends_of(host.request(keyed, key=key))[0] >= 10
    assert 40 < sum(first.values()) < 110
    assert all((host.backends_of(host.request(keyed, key=key))[0] >= 10) == was for key, was in first.items())
    # Few keys move, and only to the pool whose weight share rose.
    moved = replace(SAVE, split=(("a", 2.0), ("b", 1.0)))
    after = {key: host.backends_of(host.request(moved, key=key))[0] >= 10 for key in first}
    assert all(after[key] for key, was in first.items() if was)
    assert 0 < sum(after.values()) - sum(first.values()) < 60


def test_a_retry_stays_in_its_pool_if_pools_share_a_cell() -> None:
    """Pool a has cells 0 and 1, pool b has cells 1 and 2; a retry stays in the cell and pool of the first."""
    b = [api.BackendInfo(10 + n, cell=1 + n % 2, pool="b") for n in range(4)]
    for seed in range(10):
        host = Driver(*backends(4), *b, seed=seed)
        ident = host.request(replace(SAVE, split=(("a", 1.0), ("b", 1.0))), key=seed)
        for _ in range(2):
            host.end_attempt(ident, api.Outcome.RESET)
        used = host.backends_of(ident)
        cells = {(info.pool, info.cell) for info in (*backends(4), *b) if info.backend in used}
        assert len(used) == 3 and len(cells) == 1


def test_a_rejected_request_spills_over_only_if_the_route_allows_it() -> None:
    split = (("a", 1.0), ("b", 1.0))
    host = Driver(*backends(1), *backends(1, "b", first=10))
    ident = host.request(replace(READ, spills_over=True, split=split))
    host.end_attempt(ident, api.Outcome.REJECTED)  # It is the only backend of its pool.
    host.end_attempt(ident, api.Outcome.REJECTED)
    assert sorted(host.backends_of(ident)) == [0, 10] and isinstance(host.finals[ident], api.Reject)
    assert not host.pools.requests
    stays = host.request(replace(READ, split=split))
    host.end_attempt(stays, api.Outcome.REJECTED)
    assert len(host.backends_of(stays)) == 1 and isinstance(host.finals[stays], api.Reject)


def test_a_request_that_may_have_run_does_not_spill_over() -> None:
    host = Driver(*backends(1), *backends(1, "b", first=10))
    shared = replace(KEYED, dedup_scope=api.DedupScope.ALL)
    never_ran = frozenset(api.NEVER_RAN)
    policy = replace(
        SAVE, request_class=shared, retry_on=never_ran, spills_over=True, reject_when_exhausted=True
    )
    ident = host.request(replace(policy, split=(("a", 1.0), ("b", 1.0))))
    host.end_attempt(ident, api.Outcome.RESET)
    assert len(host.backends_of(ident)) == 1 and isinstance(host.finals[ident], api.Reject)


def test_max_attempts_applies_to_all_pools_together() -> None:
    split = (("a", 1.0), ("b", 1.0), ("c", 1.0))
    infos = [info for n, pool in enumerate("abc") for info in backends(3, pool, first=10 * n)]
    host = Driver(*infos)
    ident = host.request(replace(READ, max_attempts=4, spills_over=True, split=split))
    while ident not in host.finals:
        host.end_attempt(ident, api.Outcome.REJECTED)
    assert len(host.backends_of(ident)) == 4


def test_requests_to_an_empty_or_unknown_pool_are_rejected() -> None:
    host = Driver(*backends(2))
    for split in ((("none", 1.0),), (("a", 0.0),)):
        ident = host.request(replace(READ, split=split))
        assert isinstance(host.finals[ident], api.Reject)
    host.handle(api.BackendList(api.ListKind.FULL, []))
    ident = host.request(READ)
    assert isinstance(host.finals[ident], api.Reject) and not host.pools.requests


def test_the_overload_of_one_pool_sheds_no_requests_of_another() -> None:
    host = Driver(*backends(2), *backends(2, "b", first=10))
    overloaded = replace(READ, max_attempts=1)
    for _ in range(400):  # No attempt in pool a ends.
        host.request(overloaded)
        host.advance(10.0)
    free = replace(READ, route="free", split=(("b", 1.0),), max_attempts=1)
    for _ in range(50):
        ident = host.request(free)
        assert host.sent[ident]
        host.advance(10.0)
        host.end_attempt(ident, api.Outcome.SERVED)


def test_limits_of_removed_routes_are_dropped() -> None:
    limiter = RouteLimiter()
    for number in range(50):
        assert limiter.admit(0.0, replace(READ, route=f"r{number}")) is None
    for number in range(49):
        limiter.finished(replace(READ, route=f"r{number}"))
    limiter.keep(["r0"])
    assert set(limiter.routes) == {"r0", "r49"}  # r49 still has a request in progress.


def test_timeouts_set_by_a_route_eject_a_backend() -> None:
    """A timeout below the latency objective counts against a backend if the route set it, not the client."""
    host = Driver(*backends(8), settings=replace(SETTINGS, max_attempts=1))
    policy = replace(READ, attempt_timeout_ms=100.0, max_attempts=1)
    counts = [0] * 8
    for _ in range(400):
        ident = host.request(policy)
        if not host.sent[ident]:
            continue
        (backend,) = host.backends_of(ident)
        counts[backend] += 1
        slow = backend == 1
        host.advance(30.0)
        host.end_attempt(
            ident, api.Outcome.TIMEOUT if slow else api.Outcome.SERVED, latency_ms=100.0 if slow else 30.0
        )
    assert counts[1] * 3 < counts[0]


def test_the_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        host = Driver(*backends(4), *backends(4, "b", first=10), seed=7)
        for n in range(60):
            ident = host.request(replace(READ, hedge_after_ms=15.0, split=(("a", 1.0), ("b", 2.0))))
            host.advance(20.0)
            host.end_attempt(ident, api.Outcome.SERVED if n % 3 else api.Outcome.ERROR, 0, finished=True)
        logs.append(host.sent)
    assert logs[0] == logs[1]


def test_removed_pools_are_dropped_and_can_be_added_again() -> None:
    host = Driver(*backends(2))
    for turn in range(20):
        name = f"p{turn % 3}"
        host.handle(api.BackendList(api.ListKind.CHANGES, backends(2, name, first=10)))
        policy = replace(READ, split=((name, 1.0),))
        ident = host.request(policy)
        removed = [replace(info, state=api.BackendState.REMOVED) for info in backends(2, name, first=10)]
        host.handle(api.BackendList(api.ListKind.CHANGES, removed))
        host.handle(api.NewSettings(SETTINGS))
        assert name in host.pools.balancers  # Its request is still in flight.
        host.end_attempt(ident, api.Outcome.SERVED)
        host.handle(api.NewSettings(SETTINGS))
        assert set(host.pools.balancers) == {"a"}
        host.advance(1000.0)
    assert len(host.pools.timers) == 1  # The update timer of the remaining pool.
