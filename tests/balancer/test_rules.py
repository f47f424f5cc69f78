"""Long random event streams against the four rules, with the host's own checker."""

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
from tests.balancer.strict_host import Host, RuleViolationError, fleet

CLASSES = (
    RequestClass("safe", 400.0, 1500.0, 1.0, 0.5, Effect.IDEMPOTENT),
    RequestClass("zoned", 400.0, 1500.0, 4.0, 0.5, Effect.KEYED, DedupScope.ZONE, 900.0),
    RequestClass("celled", 400.0, 2500.0, 8.0, 0.5, Effect.KEYED, DedupScope.CELL, 1500.0),
    RequestClass("shared", 400.0, 2500.0, 5.0, 0.0, Effect.KEYED, DedupScope.ALL, 1200.0),
    RequestClass("once", 900.0, 3000.0, 2.0, 0.5, Effect.UNSAFE),
)
ENDINGS = [*[Outcome.SERVED] * 6, *Outcome]


def settings_for(draw: random.Random) -> Settings:
    return Settings(
        CLASSES,
        tenants=(Tenant("a", 0.6, 20.0), Tenant("b", 0.4, 10.0)),
        zone="z0",
        zones=("z0", "z1"),
        proxies=draw.choice((1, 3, 40)),
        watch_list=draw.random() < 0.5,
        max_attempts=draw.choice((1, 3, 6)),
        hedging=draw.random() < 0.5,
        cancel=draw.random() < 0.7,
        probing=draw.random() < 0.5,
        max_retry_after_ms=1000.0,
        key_affinity=draw.random() < 0.5,
        slow_start_from=0.15,
        slow_start_ms=8000.0,
        over_quota_weight=0.1,
        price_cross_zone=draw.choice((0.0, 0.1)),
    )


def some_fleet(draw: random.Random, now: float) -> list[BackendInfo]:
    started = [0.0, now - draw.uniform(0.0, 9000.0)]
    return [
        BackendInfo(n, zone=f"z{n % 2}", cell=n // 4, started_ms=draw.choice(started))
        for n in sorted(draw.sample(range(24), draw.randint(0, 24)))
    ]


def play(seed: int, steps: int) -> Host:
    draw = random.Random(seed)
    host = Host(settings_for(draw), seed)
    host.listed(ListKind.CACHED, *some_fleet(draw, host.now))
    for _ in range(steps):
        roll = draw.random()
        out = host.in_flight()
        if roll < 0.5:
            request_class = draw.choice(CLASSES)
            left = request_class.deadline_ms * draw.uniform(0.3, 1.0)
            hint = draw.choice((0.0, 30.0, 400.0))
            host.arrive(request_class.name, hint, left, draw.choice("abx"), draw.randint(0, 9))
        elif roll < 0.85 and out:
            host.end(*draw.choice(out), draw.choice(ENDINGS))
        elif roll < 0.88 and out:
            ident = draw.choice(out)[0]
            if not host.requests[ident].over:
                host.disconnect(ident)
        elif roll < 0.90:
            host.listed(draw.choice((ListKind.FULL, ListKind.CHANGES)), *some_fleet(draw, host.now))
        elif roll < 0.92 and host.known:
            ident = draw.choice(sorted(host.known))
            ending = replace(
                host.known[ident], state=draw.choice((BackendState.DRAINING, BackendState.REMOVED))
            )
            host.listed(ListKind.CHANGES, ending)
        elif roll < 0.93:
            host.listed(ListKind.FAILED)
        elif roll < 0.932:
            host.run_to(host.now + draw.choice((9000.0, 30000.0)))
        host.run_to(host.now + draw.expovariate(0.05))
    return host


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_random_streams_keep_the_rules_and_leave_no_state_behind(seed: int) -> None:
    host = play(seed, 250)
    host.run_to(host.now + 10000.0)
    host.listed(ListKind.FULL)
    for ident, attempt in host.in_flight():
        host.end(ident, attempt, Outcome.TIMEOUT)
    assert not host.balancer.requests
    assert not host.balancer.endpoints.backends
    assert not host.balancer.endpoints.booked


def test_memory_stays_bounded_over_a_long_run() -> None:
    host = play(5, 6000)
    assert sum(map(len, host.balancer.turns.queues)) < 500
    host.run_to(host.now + 10000.0)
    assert not host.balancer.requests


def cold_host(seed: int, proxies: int = 10) -> Host:
    work = RequestClass("work", 500.0, 2000.0, effect=Effect.IDEMPOTENT)
    limits = Settings(
        (work,), proxies=proxies, slow_start_from=0.13, slow_start_ms=20000.0, overload_window_ms=2000.0
    )
    host = Host(limits, seed)
    host.listed(ListKind.CACHED, *fleet(20))
    return host


def drive(host: Host, until: float, every: float) -> None:
    """Serve every attempt 60 ms after it was sent."""
    while host.now < until:
        for ident, attempt in host.in_flight():
            if host.now >= host.requests[ident].attempts[attempt].at + 60.0:
                host.end(ident, attempt, Outcome.SERVED)
        host.arrive()
        host.run_to(host.now + every)


def cold_pressure(every: float) -> float:
    """Ten proxies, each alone, at 80 % of the fleet: the most sent over what may be in any window."""
    work: list[tuple[float, float]] = []
    start = 0.0
    for seed in range(10):
        host = cold_host(seed)
        drive(host, 7000.0, every)
        start = host.now
        host.listed(ListKind.CHANGES, BackendInfo(999, zone="z0", cell=9, started_ms=start - 500.0))
        drive(host, start + 12000.0, every)
        work += host.cold_work.get(999, [])
    assert work  # it does take its part
    capacity = 10 * 50.0 / every / 20 / 0.8  # work a ms one warm backend can do
    worst = 0.0
    for at, _ in work:
        sent = sum(cost for when, cost in work if at <= when < at + 2000.0)
        ramp = 0.13 + 0.87 * min(1.0, (at - start + 500.0) / 20000.0)
        worst = max(worst, sent / (4.0 * ramp * capacity * 2000.0))
    return worst


@pytest.mark.parametrize("every", [5.0, 20.0])
def test_many_proxies_together_do_not_push_a_cold_backend_over(every: float) -> None:
    assert cold_pressure(every) <= 1.0


def test_without_slow_start_a_cold_backend_would_be_pushed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "capacity_share", lambda settings, now, info: 1.0)
    assert cold_pressure(5.0) > 1.0


def test_a_restarted_backend_counts_as_new() -> None:
    host = cold_host(1)
    drive(host, 4000.0, 10.0)
    before = host.balancer.endpoints.backends[103]
    host.listed(ListKind.CHANGES, BackendInfo(103, zone="z1", cell=0, started_ms=host.now - 100.0))
    assert host.balancer.endpoints.backends[103] is not before


def test_the_checker_itself_detects_each_violation() -> None:
    host = cold_host(1)
    ident = host.arrive(left=50.0)
    host.live_attempts.clear()  # as if nothing had been sent
    with pytest.raises(RuleViolationError, match="rule 1"):
        host.run_to(host.now + 100.0)
    host = cold_host(1)
    host.usable.clear()
    with pytest.raises(RuleViolationError, match="rule 3"):
        host.arrive()
    once = RequestClass("once", effect=Effect.IDEMPOTENT)
    host = Host(Settings((once,), max_attempts=3))
    host.listed(ListKind.CACHED, *fleet(3))
    host.classes["once"] = RequestClass("once", effect=Effect.UNSAFE)
    ident = host.arrive()
    with pytest.raises(RuleViolationError, match="rule 2"):
        host.end(ident, 0, Outcome.ERROR)


def test_time_never_makes_turns_disappear() -> None:
    host = cold_host(3)
    for gap in (1.0, 1e3, 1e5, 4e6):
        host.run_to(host.now + gap)
        ident = host.arrive()
        assert host.requests[ident].attempts
        host.end(ident, 0, Outcome.SERVED, 60.0)
