"""Tests the four rules on long random event streams; the test host checks every action."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.balancer import slow_start
from heronreel.balancer.interface import (
    BackendInfo,
    BackendState,
    DedupScope,
    Effect,
    ListKind,
    Outcome,
    RequestClass,
    Settings,
    Tenant,
)
from tests.balancer.strict_host import Host, RuleViolationError, backend_fleet

CLASSES = (
    RequestClass("safe", 400.0, 1500.0, 1.0, 0.5, Effect.IDEMPOTENT),
    RequestClass("zoned", 400.0, 1500.0, 4.0, 0.5, Effect.KEYED, DedupScope.ZONE, 900.0),
    RequestClass("celled", 400.0, 2500.0, 8.0, 0.5, Effect.KEYED, DedupScope.CELL, 1500.0),
    RequestClass("shared", 400.0, 2500.0, 5.0, 0.0, Effect.KEYED, DedupScope.ALL, 1200.0),
    RequestClass("once", 900.0, 3000.0, 2.0, 0.5, Effect.UNSAFE),
)
OUTCOMES = [*[Outcome.SERVED] * 6, *Outcome]


def settings_for(rng: random.Random) -> Settings:
    return Settings(
        CLASSES,
        tenants=(Tenant("a", 0.6, 20.0), Tenant("b", 0.4, 10.0)),
        zone="z0",
        zones=("z0", "z1"),
        proxies=rng.choice((1, 3, 40)),
        watch_list=rng.random() < 0.5,
        max_attempts=rng.choice((1, 3, 6)),
        hedging=rng.random() < 0.5,
        cancel=rng.random() < 0.7,
        probing=rng.random() < 0.5,
        max_retry_after_ms=1000.0,
        key_affinity=rng.random() < 0.5,
        slow_start_from=0.15,
        slow_start_ms=8000.0,
        over_quota_weight=0.1,
        price_cross_zone=rng.choice((0.0, 0.1)),
    )


def random_fleet(rng: random.Random, now: float) -> list[BackendInfo]:
    started = [0.0, now - rng.uniform(0.0, 9000.0)]
    return [
        BackendInfo(n, zone=f"z{n % 2}", cell=n // 4, started_ms=rng.choice(started))
        for n in sorted(rng.sample(range(24), rng.randint(0, 24)))
    ]


def change_attempt(host: Host, rng: random.Random, roll: float, ident: int, attempt: int) -> None:
    """End or stall an attempt in flight, or disconnect its client."""
    if roll < 0.84:
        host.end_attempt(ident, attempt, rng.choice(OUTCOMES))
    elif roll < 0.86:
        host.stall_attempt(ident, attempt)
    elif not host.requests[ident].has_ended:
        host.disconnect_client(ident)


def play(seed: int, steps: int) -> Host:
    """Send a random stream of events to a balancer."""
    rng = random.Random(seed)
    host = Host(settings_for(rng), seed)
    host.receive_list(ListKind.CACHED, *random_fleet(rng, host.now))
    for _ in range(steps):
        roll = rng.random()
        in_flight = host.in_flight()
        if roll < 0.5:
            request_class = rng.choice(CLASSES)
            time_left_ms = request_class.deadline_ms * rng.uniform(0.3, 1.0)
            hint_ms = rng.choice((0.0, 30.0, 400.0))
            host.start_request(
                request_class.name, hint_ms, time_left_ms, rng.choice("abx"), rng.randint(0, 9)
            )
        elif roll < 0.88 and in_flight:
            change_attempt(host, rng, roll, *rng.choice(in_flight))
        elif roll < 0.90:
            host.receive_list(rng.choice((ListKind.FULL, ListKind.CHANGES)), *random_fleet(rng, host.now))
        elif roll < 0.92 and host.known:
            ident = rng.choice(sorted(host.known))
            ending = replace(
                host.known[ident], state=rng.choice((BackendState.DRAINING, BackendState.REMOVED))
            )
            host.receive_list(ListKind.CHANGES, ending)
        elif roll < 0.93:
            host.receive_list(ListKind.FAILED)
        elif roll < 0.932:
            host.advance_to(host.now + rng.choice((9000.0, 30000.0)))
        host.advance_to(host.now + rng.expovariate(0.05))
    return host


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_random_streams_keep_the_rules_and_leave_no_state_behind(seed: int) -> None:
    host = play(seed, 250)
    host.advance_to(host.now + 10000.0)
    host.receive_list(ListKind.FULL)
    for ident, attempt in host.in_flight():
        host.end_attempt(ident, attempt, Outcome.TIMEOUT)
    assert not host.balancer.requests
    assert not host.balancer.endpoints.backends
    assert not host.balancer.endpoints.booked


def test_memory_stays_bounded_over_a_long_run() -> None:
    host = play(5, 6000)
    assert sum(map(len, host.balancer.turns.queues)) < 500
    host.advance_to(host.now + 10000.0)
    assert not host.balancer.requests


def cold_host(seed: int, proxies: int = 10) -> Host:
    """Return a host with 20 warm backends and slow start over 20 s."""
    work = RequestClass("work", 500.0, 2000.0, effect=Effect.IDEMPOTENT)
    limits = Settings(
        (work,), proxies=proxies, slow_start_from=0.13, slow_start_ms=20000.0, overload_window_ms=2000.0
    )
    host = Host(limits, seed)
    host.receive_list(ListKind.CACHED, *backend_fleet(20))
    return host


def drive(host: Host, until: float, interval_ms: float) -> None:
    """Send requests at an interval and serve every attempt 60 ms after it was sent."""
    while host.now < until:
        for ident, attempt in host.in_flight():
            if host.now >= host.requests[ident].attempts[attempt].at + 60.0:
                host.end_attempt(ident, attempt, Outcome.SERVED)
        host.start_request()
        host.advance_to(host.now + interval_ms)


def cold_overload_ratio(interval_ms: float) -> float:
    """Return the highest ratio, over all windows, of the work sent to a cold backend to the allowed work.

    Ten proxies, each with its own balancer, load the fleet to 80 %.
    """
    work: list[tuple[float, float]] = []
    start = 0.0
    for seed in range(10):
        host = cold_host(seed)
        drive(host, 7000.0, interval_ms)
        start = host.now
        host.receive_list(ListKind.CHANGES, BackendInfo(999, zone="z0", cell=9, started_ms=start - 500.0))
        drive(host, start + 12000.0, interval_ms)
        work += host.sent_work.get(999, [])
    assert work  # The cold backend gets some work.
    capacity = 10 * 50.0 / interval_ms / 20 / 0.8  # The work that one warm backend can do per ms.
    worst = 0.0
    for at, _ in work:
        sent = sum(cost for when, cost in work if at <= when < at + 2000.0)
        ramp = 0.13 + 0.87 * min(1.0, (at - start + 500.0) / 20000.0)
        worst = max(worst, sent / (4.0 * ramp * capacity * 2000.0))
    return worst


@pytest.mark.parametrize("interval_ms", [5.0, 20.0])
def test_many_proxies_together_do_not_overload_a_cold_backend(interval_ms: float) -> None:
    assert cold_overload_ratio(interval_ms) <= 1.0


def test_without_slow_start_a_cold_backend_is_overloaded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "capacity_share", lambda settings, now, info: 1.0)
    assert cold_overload_ratio(5.0) > 1.0


def test_a_restarted_backend_is_a_new_backend() -> None:
    host = cold_host(1)
    drive(host, 4000.0, 10.0)
    before = host.balancer.endpoints.backends[103]
    host.receive_list(ListKind.CHANGES, BackendInfo(103, zone="z1", cell=0, started_ms=host.now - 100.0))
    assert host.balancer.endpoints.backends[103] is not before


def test_the_test_host_detects_violations_of_rules_1_to_3() -> None:
    host = cold_host(1)
    ident = host.start_request(time_left_ms=50.0)
    host.live_attempts.clear()  # The host now takes the request for one without attempts.
    with pytest.raises(RuleViolationError, match="rule 1"):
        host.advance_to(host.now + 100.0)
    host = cold_host(1)
    host.usable.clear()
    with pytest.raises(RuleViolationError, match="rule 3"):
        host.start_request()
    once = RequestClass("once", effect=Effect.IDEMPOTENT)
    host = Host(Settings((once,), max_attempts=3))
    host.receive_list(ListKind.CACHED, *backend_fleet(3))
    host.classes["once"] = RequestClass("once", effect=Effect.UNSAFE)
    ident = host.start_request()
    with pytest.raises(RuleViolationError, match="rule 2"):
        host.end_attempt(ident, 0, Outcome.ERROR)


def test_a_request_is_sent_after_any_idle_time() -> None:
    host = cold_host(3)
    for gap in (1.0, 1e3, 1e5, 4e6):
        host.advance_to(host.now + gap)
        ident = host.start_request()
        assert host.requests[ident].attempts
        host.end_attempt(ident, 0, Outcome.SERVED, 60.0)
