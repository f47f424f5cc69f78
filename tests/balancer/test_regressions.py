"""Regression tests: each one reproduces a failure that occurred and checks the behaviour that prevents it."""

from collections import Counter

from heronreel.balancer.interface import (
    BackendInfo,
    Effect,
    ListKind,
    Outcome,
    Reject,
    RequestClass,
    Settings,
    Tenant,
)
from tests.balancer.strict_host import Host, backend_fleet

READ = RequestClass("read", 500.0, 5000.0, 1.0, 0.0, Effect.IDEMPOTENT)


def make_host(backends: int, **settings: object) -> Host:
    host = Host(Settings((READ,), **settings))  # type: ignore[arg-type]
    host.receive_list(ListKind.CACHED, *backend_fleet(backends))
    return host


def drive(
    host: Host,
    duration_ms: float,
    interval_ms: float,
    latency_ms: float = 60.0,
    hung: tuple[int, ...] = (),
    **arguments: str,
) -> None:
    """Send requests at an interval.  Each attempt is served after the latency, except at hung backends."""
    until = host.now + duration_ms
    while host.now < until:
        for ident, attempt in host.in_flight():
            sent = host.requests[ident].attempts[attempt]
            if sent.backend not in hung and host.now >= sent.at + latency_ms:
                host.end_attempt(ident, attempt, Outcome.SERVED)
        host.start_request(time_left_ms=5000.0, **arguments)  # type: ignore[arg-type]
        host.advance_to(host.now + interval_ms)


def first_backends(host: Host) -> list[int]:
    """Return the backend of the first attempt of each request that was sent."""
    return [request.attempts[0].backend for request in host.requests.values() if request.attempts]


def test_a_hung_backend_keeps_its_attempts_in_flight_booked() -> None:
    host = make_host(4)
    drive(host, 1500.0, 10.0)
    start = len(first_backends(host))
    drive(host, 1000.0, 10.0, hung=(101,))
    counts = Counter(first_backends(host)[start:])
    assert counts[101] * 2 < counts[100]


def test_a_backend_that_fails_fast_is_ejected_and_gets_trial_attempts() -> None:
    host = make_host(6, max_attempts=3)
    for _ in range(600):
        ident = host.start_request()
        while not host.requests[ident].has_ended:
            attempt = len(host.requests[ident].attempts) - 1
            is_faulty = host.requests[ident].attempts[attempt].backend == 103
            host.end_attempt(
                ident, attempt, Outcome.ERROR if is_faulty else Outcome.SERVED, 2.0 if is_faulty else 60.0
            )
        host.advance_to(host.now + 10.0)
    counts = Counter(first_backends(host))
    assert 1 < counts[103] < counts[100] / 4
    last_counts = Counter(first_backends(host)[-500:])
    assert last_counts[103] > 0  # An ejected backend still gets single attempts as trials.


def test_a_fault_of_all_backends_does_not_eject_all_of_them() -> None:
    host = make_host(6, max_attempts=1)
    for _ in range(200):
        ident = host.start_request()
        if host.requests[ident].attempts:
            host.end_attempt(ident, 0, Outcome.ERROR)
        host.advance_to(host.now + 10.0)
    assert len(first_backends(host)) == 200


def test_one_error_does_not_eject_a_backend_but_two_do() -> None:
    for errors, ejected in ((1, False), (2, True)):
        host = make_host(3)
        failed = 0
        while failed < errors:
            ident = host.start_request()
            is_faulty = host.requests[ident].attempts[0].backend == 101
            host.end_attempt(ident, 0, Outcome.ERROR if is_faulty else Outcome.SERVED, 60.0)
            failed += is_faulty
        picks = [host.requests[host.start_request()].attempts[0].backend for _ in range(9)]
        assert (101 not in picks) is ejected


def test_timeouts_set_by_clients_below_the_objective_do_not_eject_a_backend() -> None:
    host = make_host(1)
    for _ in range(20):
        ident = host.start_request(time_left_ms=30.0)
        assert host.requests[ident].attempts  # The backend is not ejected.
        host.advance_to(host.now + 40.0)
    ejected = make_host(1)
    for _ in range(20):
        ident = ejected.start_request(time_left_ms=600.0)
        ejected.advance_to(ejected.now + 700.0)
    assert sum(bool(request.attempts) for request in ejected.requests.values()) < 20


def test_the_table_of_key_owners_is_bounded() -> None:
    host = Host(Settings((READ,), key_affinity=True))
    host.receive_list(ListKind.CACHED, *backend_fleet(3))
    for key in range(6000):
        host.end_attempt(host.start_request(key=key), 0, Outcome.SERVED, 60.0)
        host.now += 5.0
    assert len(host.balancer.turns.key_owners) <= 4096


def test_load_is_shed_during_an_overload_and_not_after_it() -> None:
    host = make_host(2)
    drive(host, 3000.0, 20.0)
    assert not [a for a in host.log if isinstance(a, Reject)]
    drive(host, 3000.0, 20.0, latency_ms=900.0)  # All latencies are far above the latency objective.
    assert len([a for a in host.log if isinstance(a, Reject)]) > 20
    drive(host, 6000.0, 20.0)
    start = len(host.log)
    drive(host, 1000.0, 20.0)
    assert not [a for a in host.log[start:] if isinstance(a, Reject)]


def test_traffic_beyond_a_quota_is_shed_first() -> None:
    host = Host(Settings((READ,), tenants=(Tenant("small", 0.1, 2.0), Tenant("large", 0.9, 200.0))))
    host.receive_list(ListKind.CACHED, *backend_fleet(4))
    for tenant in ("small", "large") * 50:
        drive(host, 40.0, 20.0, tenant=tenant)
    for tenant in ("small", "large") * 80:
        drive(host, 40.0, 20.0, latency_ms=350.0, tenant=tenant)
    rejected = {a.request for a in host.log if isinstance(a, Reject)}
    rejected_by_tenant = Counter(host.requests[ident].arrival.tenant for ident in rejected)
    assert rejected_by_tenant["small"] > 3 * rejected_by_tenant["large"]


def test_a_retry_does_not_count_against_a_quota_again() -> None:
    tenants = (Tenant("one", 0.5, 20.0), Tenant("two", 0.5, 20.0))
    for is_retry in (False, True):
        host = Host(Settings((READ,), tenants=tenants, proxies=2))
        host.receive_list(ListKind.CACHED, *backend_fleet(4))
        drive(host, 3000.0, 100.0, tenant="one")
        drive(host, 3000.0, 100.0, latency_ms=350.0, tenant="one")
        for _ in range(200):
            host.start_request(tenant="one", is_retry=is_retry)
        ident = host.start_request(tenant="one")
        assert any(isinstance(a, Reject) and a.request == ident for a in host.log) is not is_retry


def test_a_busy_proxy_sheds_only_a_tenant_far_beyond_its_quota() -> None:
    tenants = (Tenant("one", 0.5, 20.0), Tenant("two", 0.5, 20.0))
    for extra_requests in (0, 3):
        host = Host(Settings((READ,), tenants=tenants, proxies=4))
        host.receive_list(ListKind.CACHED, *backend_fleet(4))
        for latency_ms in (60.0, 350.0):
            for _ in range(60):
                for tenant in ("one", "two", *["two"] * extra_requests):
                    drive(host, 50.0, 50.0, latency_ms=latency_ms, tenant=tenant)
        rejected_by_tenant = Counter(
            host.requests[a.request].arrival.tenant for a in host.log if isinstance(a, Reject)
        )
        assert not rejected_by_tenant["one"]
        assert (rejected_by_tenant["two"] > 0) is bool(extra_requests)


def test_the_own_zone_is_preferred_if_crossing_zones_has_a_price() -> None:
    host = make_host(8, zone="z0", zones=("z0", "z1"), price_cross_zone=0.05)
    drive(host, 2000.0, 20.0)
    assert {host.known[b].zone for b in first_backends(host)} == {"z0"}
    host.receive_list(
        ListKind.CHANGES, *[BackendInfo(b.backend, zone="z1") for b in backend_fleet(8) if b.zone == "z1"]
    )
    for info in backend_fleet(8):
        if info.zone == "z0":
            host.usable.pop(info.backend)
    host.receive_list(ListKind.FULL, *[b for b in backend_fleet(8) if b.zone == "z1"])
    assert host.known[host.requests[host.start_request()].attempts[0].backend].zone == "z1"


def test_a_key_has_the_same_owner_at_all_proxies_and_a_hot_key_is_spread() -> None:
    owners = []
    for seed in range(4):
        host = Host(Settings((READ,), key_affinity=True), seed)
        host.receive_list(ListKind.CACHED, *backend_fleet(12))
        drive(host, 1500.0, 20.0)
        picks = []
        for _ in range(5):
            drive(host, 100.0, 20.0)
            picks.append(host.requests[host.start_request(key=4711)].attempts[0].backend)
        owners.append(Counter(picks).most_common(1)[0][0])
    assert len(set(owners)) == 1
    hot = [host.requests[host.start_request(key=4711)].attempts[0].backend for _ in range(30)]
    assert len(set(hot)) > 6


def test_without_key_affinity_a_key_does_not_affect_the_choice() -> None:
    host = make_host(12)
    picks = [host.requests[host.start_request(key=4711)].attempts[0].backend for _ in range(12)]
    assert len(set(picks)) == 12
