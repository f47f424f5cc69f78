"""Each failure met, as a small test of what was done about it."""

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
from tests.balancer.strict_host import Host, fleet

READ = RequestClass("read", 500.0, 5000.0, 1.0, 0.0, Effect.IDEMPOTENT)


def host_of(backends: int, **more: object) -> Host:
    host = Host(Settings((READ,), **more))  # type: ignore[arg-type]
    host.listed(ListKind.CACHED, *fleet(backends))
    return host


def drive(
    host: Host, span: float, every: float, took: float = 60.0, stuck: tuple[int, ...] = (), **more: str
) -> None:
    """Arrivals `every` ms; each attempt is served `took` ms after it was sent, but for stuck backends."""
    until = host.now + span
    while host.now < until:
        for ident, attempt in host.in_flight():
            sent = host.requests[ident].attempts[attempt]
            if sent.backend not in stuck and host.now >= sent.at + took:
                host.end(ident, attempt, Outcome.SERVED)
        host.arrive(left=5000.0, **more)  # type: ignore[arg-type]
        host.run_to(host.now + every)


def firsts(host: Host) -> list[int]:
    return [request.attempts[0].backend for request in host.requests.values() if request.attempts]


def test_a_hung_backend_keeps_its_attempts_in_flight_booked() -> None:
    host = host_of(4)
    drive(host, 1500.0, 10.0)
    mark = len(firsts(host))
    drive(host, 1000.0, 10.0, stuck=(101,))
    counts = Counter(firsts(host)[mark:])
    assert counts[101] * 2 < counts[100]


def test_a_backend_that_fails_fast_is_ejected_and_tried_again() -> None:
    host = host_of(6, max_attempts=3)
    for _ in range(600):
        ident = host.arrive()
        while not host.requests[ident].over:
            attempt = len(host.requests[ident].attempts) - 1
            bad = host.requests[ident].attempts[attempt].backend == 103
            host.end(ident, attempt, Outcome.ERROR if bad else Outcome.SERVED, 2.0 if bad else 60.0)
        host.run_to(host.now + 10.0)
    counts = Counter(firsts(host))
    assert 1 < counts[103] < counts[100] / 4
    late = Counter(firsts(host)[-500:])
    assert late[103] > 0  # single trials go on


def test_a_fault_common_to_all_does_not_empty_the_fleet() -> None:
    host = host_of(6, max_attempts=1)
    for _ in range(200):
        ident = host.arrive()
        if host.requests[ident].attempts:
            host.end(ident, 0, Outcome.ERROR)
        host.run_to(host.now + 10.0)
    assert len(firsts(host)) == 200


def test_a_single_error_ejects_no_backend_but_errors_together_do() -> None:
    for errors, ejected in ((1, False), (2, True)):
        host = host_of(3)
        failed = 0
        while failed < errors:
            ident = host.arrive()
            bad = host.requests[ident].attempts[0].backend == 101
            host.end(ident, 0, Outcome.ERROR if bad else Outcome.SERVED, 60.0)
            failed += bad
        picks = [host.requests[host.arrive()].attempts[0].backend for _ in range(9)]
        assert (101 not in picks) is ejected


def test_timeouts_of_impatient_clients_eject_no_backend() -> None:
    host = host_of(1)
    for _ in range(20):
        ident = host.arrive(left=30.0)
        assert host.requests[ident].attempts  # it is not ejected
        host.run_to(host.now + 40.0)
    ejected = host_of(1)
    for _ in range(20):
        ident = ejected.arrive(left=600.0)
        ejected.run_to(ejected.now + 700.0)
    assert sum(bool(request.attempts) for request in ejected.requests.values()) < 20


def test_keys_that_are_ever_new_leave_no_state_behind() -> None:
    host = Host(Settings((READ,), key_affinity=True))
    host.listed(ListKind.CACHED, *fleet(3))
    for key in range(6000):
        host.end(host.arrive(key=key), 0, Outcome.SERVED, 60.0)
        host.now += 5.0
    assert len(host.balancer.turns.key_owners) <= 4096


def test_load_is_shed_early_in_an_overload_and_no_longer() -> None:
    host = host_of(2)
    drive(host, 3000.0, 20.0)
    assert not [a for a in host.log if isinstance(a, Reject)]
    drive(host, 3000.0, 20.0, took=900.0)  # everything takes far longer than the latency objective
    assert len([a for a in host.log if isinstance(a, Reject)]) > 20
    drive(host, 6000.0, 20.0)
    mark = len(host.log)
    drive(host, 1000.0, 20.0)
    assert not [a for a in host.log[mark:] if isinstance(a, Reject)]


def test_traffic_beyond_a_quota_is_shed_first() -> None:
    host = Host(Settings((READ,), tenants=(Tenant("small", 0.1, 2.0), Tenant("large", 0.9, 200.0))))
    host.listed(ListKind.CACHED, *fleet(4))
    for tenant in ("small", "large") * 50:
        drive(host, 40.0, 20.0, tenant=tenant)
    for tenant in ("small", "large") * 80:
        drive(host, 40.0, 20.0, took=350.0, tenant=tenant)
    rejected = {a.request for a in host.log if isinstance(a, Reject)}
    by = Counter(host.requests[ident].arrival.tenant for ident in rejected)
    assert by["small"] > 3 * by["large"]


def test_a_retry_does_not_count_against_a_quota_again() -> None:
    tenants = (Tenant("one", 0.5, 20.0), Tenant("two", 0.5, 20.0))
    for retry in (False, True):
        host = Host(Settings((READ,), tenants=tenants, proxies=2))
        host.listed(ListKind.CACHED, *fleet(4))
        drive(host, 3000.0, 100.0, tenant="one")
        drive(host, 3000.0, 100.0, took=350.0, tenant="one")
        for _ in range(200):
            host.arrive(tenant="one", retry=retry)
        ident = host.arrive(tenant="one")
        assert any(isinstance(a, Reject) and a.request == ident for a in host.log) is not retry


def test_a_busy_proxy_sheds_no_tenant_but_one_far_beyond_its_quota() -> None:
    tenants = (Tenant("one", 0.5, 20.0), Tenant("two", 0.5, 20.0))
    for more in (0, 3):
        host = Host(Settings((READ,), tenants=tenants, proxies=4))
        host.listed(ListKind.CACHED, *fleet(4))
        for took in (60.0, 350.0):
            for _ in range(60):
                for tenant in ("one", "two", *["two"] * more):
                    drive(host, 50.0, 50.0, took=took, tenant=tenant)
        by = Counter(host.requests[a.request].arrival.tenant for a in host.log if isinstance(a, Reject))
        assert not by["one"]
        assert (by["two"] > 0) is bool(more)


def test_own_zone_first_where_crossing_has_a_price() -> None:
    host = host_of(8, zone="z0", zones=("z0", "z1"), price_cross_zone=0.05)
    drive(host, 2000.0, 20.0)
    assert {host.known[b].zone for b in firsts(host)} == {"z0"}
    host.listed(ListKind.CHANGES, *[BackendInfo(b.backend, zone="z1") for b in fleet(8) if b.zone == "z1"])
    for info in fleet(8):
        if info.zone == "z0":
            host.usable.pop(info.backend)
    host.listed(ListKind.FULL, *[b for b in fleet(8) if b.zone == "z1"])
    assert host.known[host.requests[host.arrive()].attempts[0].backend].zone == "z1"


def test_a_key_has_the_same_owner_at_every_proxy_but_a_hot_one_spreads() -> None:
    owners = []
    for seed in range(4):
        host = Host(Settings((READ,), key_affinity=True), seed)
        host.listed(ListKind.CACHED, *fleet(12))
        drive(host, 1500.0, 20.0)
        picks = []
        for _ in range(5):
            drive(host, 100.0, 20.0)
            picks.append(host.requests[host.arrive(key=4711)].attempts[0].backend)
        owners.append(Counter(picks).most_common(1)[0][0])
    assert len(set(owners)) == 1
    hot = [host.requests[host.arrive(key=4711)].attempts[0].backend for _ in range(30)]
    assert len(set(hot)) > 6


def test_without_key_affinity_a_key_changes_nothing() -> None:
    host = host_of(12)
    picks = [host.requests[host.arrive(key=4711)].attempts[0].backend for _ in range(12)]
    assert len(set(picks)) == 12
