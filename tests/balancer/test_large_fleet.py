"""Tests that a fleet can have at least 1,024 proxies and 1,024 backends (docs/fleet-design.md)."""

import random
from functools import lru_cache

import pytest

from heronreel.balancer import subset
from heronreel.balancer.endpoints import FALLBACK_TIER
from heronreel.balancer.interface import BackendInfo, ListKind, Outcome, RequestClass
from heronreel.balancer.subset import PROXIES_PER_BACKEND, Subset
from heronreel.balancer.turns import MAX_REMEMBERED_KEYS
from tests.balancer.strict_host import Host, large_fleet_settings

COUNT = 1024  # The number of proxies, and that of backends.
PROXY_INDEXES = (0, 511, 1023)
DURATION_MS = 4000.0
REQUESTS_PER_S = 200.0


def large_host(proxy_index: int | None, key_affinity: bool = True) -> Host:
    host = Host(large_fleet_settings(proxies=COUNT, proxy_index=proxy_index, key_affinity=key_affinity), 1)
    host.receive_list(ListKind.CACHED, *(BackendInfo(1000 + number) for number in range(COUNT)))
    return host


def serve(host: Host, duration_ms: float) -> int:
    """Send requests, each with a new key and served after about 50 ms; return how many were sent."""
    rng = random.Random(1)
    end, sent = host.now + duration_ms, 0
    while host.now < end:
        for ident, attempt in host.in_flight():
            if host.now >= host.requests[ident].attempts[attempt].at + 50.0:
                host.end_attempt(ident, attempt, Outcome.SERVED)
        sent += bool(host.requests[host.start_request(key=rng.getrandbits(32))].attempts)
        host.advance_to(host.now + rng.expovariate(REQUESTS_PER_S / 1000.0))
    return sent


@pytest.mark.parametrize("proxy_index", PROXY_INDEXES)
def test_a_proxy_in_a_fleet_of_1024_proxies_and_backends_serves_requests(proxy_index: int) -> None:
    host = large_host(proxy_index)
    backends = host.balancer.endpoints.backends
    assert len(backends) == COUNT
    assert sum(backend.tier != FALLBACK_TIER for backend in backends.values()) >= 2
    sent = serve(host, DURATION_MS)
    assert sent == len(host.requests) > DURATION_MS / 1000.0 * REQUESTS_PER_S / 2.0


def test_without_an_index_every_one_of_1024_backends_gets_requests() -> None:
    host = large_host(None, key_affinity=False)  # Backends are chosen by turns, not as owners of keys.
    serve(host, 2.0 * COUNT / REQUESTS_PER_S * 1000.0)
    assert len(host.sent_work) == COUNT


def test_requests_are_served_when_the_table_of_key_owners_is_full() -> None:
    host = large_host(0)
    host.balancer.turns.key_owners = {-number: [] for number in range(1, MAX_REMEMBERED_KEYS + 1)}
    assert serve(host, DURATION_MS) == len(host.requests)
    assert len(host.balancer.turns.key_owners) == MAX_REMEMBERED_KEYS


def test_each_of_1024_proxies_has_a_different_rank_for_a_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subset, "proxy_hash", lru_cache(maxsize=None)(subset.proxy_hash))
    for backend in (1000, 1001):
        ranks = sorted(Subset(index, COUNT).rank(backend) for index in range(COUNT))
        assert ranks == list(range(COUNT))
    assert Subset(0, COUNT).proxies_per_backend(COUNT) == PROXIES_PER_BACKEND


def test_requests_of_1024_classes_are_all_sent() -> None:
    classes = tuple(RequestClass(f"class {number}") for number in range(COUNT))
    host = Host(large_fleet_settings(classes=classes, proxies=COUNT), 1)
    host.receive_list(ListKind.CACHED, BackendInfo(1000))
    for request_class in classes:
        assert host.requests[host.start_request(request_class.name)].attempts
