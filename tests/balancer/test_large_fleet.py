"""No bound of the decisions caps a fleet below 1,024 proxies and 1,024 backends (docs/fleet-design.md)."""

import random
from functools import lru_cache

import pytest

from heronreel.balancer import subset
from heronreel.balancer.endpoints import FALLBACK_TIER
from heronreel.balancer.interface import BackendInfo, ListKind, Outcome, RequestClass
from heronreel.balancer.subset import PROXIES_PER_BACKEND, Subset
from heronreel.balancer.turns import MAX_REMEMBERED_KEYS
from tests.balancer.strict_host import Host, large

COUNT = 1024  # of proxies, and of backends
PROXY_INDEXES = (0, 511, 1023)
PLAYED_MS = 4000.0
REQUESTS_PER_S = 200.0


def large_host(proxy_index: int | None, key_affinity: bool = True) -> Host:
    host = Host(large(proxies=COUNT, proxy_index=proxy_index, key_affinity=key_affinity), 1)
    host.listed(ListKind.CACHED, *(BackendInfo(1000 + number) for number in range(COUNT)))
    return host


def serve(host: Host, duration_ms: float) -> int:
    """Requests with ever new keys, each served some 50 ms later; returns how many were sent."""
    draw = random.Random(1)
    end, sent = host.now + duration_ms, 0
    while host.now < end:
        for ident, attempt in host.in_flight():
            if host.now >= host.requests[ident].attempts[attempt].at + 50.0:
                host.end(ident, attempt, Outcome.SERVED)
        sent += bool(host.requests[host.arrive(key=draw.getrandbits(32))].attempts)
        host.run_to(host.now + draw.expovariate(REQUESTS_PER_S / 1000.0))
    return sent


@pytest.mark.parametrize("proxy_index", PROXY_INDEXES)
def test_a_proxy_of_1024_decides_over_1024_backends(proxy_index: int) -> None:
    host = large_host(proxy_index)
    backends = host.balancer.endpoints.backends
    assert len(backends) == COUNT
    assert sum(backend.tier != FALLBACK_TIER for backend in backends.values()) >= 2
    sent = serve(host, PLAYED_MS)
    assert sent == len(host.requests) > PLAYED_MS / 1000.0 * REQUESTS_PER_S / 2.0


def test_without_an_index_every_one_of_1024_backends_gets_requests() -> None:
    host = large_host(None, key_affinity=False)  # in turn, and not as their keys' owners
    serve(host, 2.0 * COUNT / REQUESTS_PER_S * 1000.0)
    assert len(host.cold_work) == COUNT


def test_more_keys_than_are_remembered_are_all_served() -> None:
    host = large_host(0)
    host.balancer.turns.key_owners = {-number: [] for number in range(1, MAX_REMEMBERED_KEYS + 1)}
    assert serve(host, PLAYED_MS) == len(host.requests)
    assert len(host.balancer.turns.key_owners) == MAX_REMEMBERED_KEYS


def test_each_backend_is_in_the_subsets_of_as_many_of_1024_proxies(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subset, "proxy_hash", lru_cache(maxsize=None)(subset.proxy_hash))
    for backend in (1000, 1001):
        ranks = sorted(Subset(index, COUNT).rank(backend) for index in range(COUNT))
        assert ranks == list(range(COUNT))
    assert Subset(0, COUNT).proxies_per_backend(COUNT) == PROXIES_PER_BACKEND


def test_1024_classes_each_have_their_limits() -> None:
    classes = tuple(RequestClass(f"class {number}") for number in range(COUNT))
    host = Host(large(classes=classes, proxies=COUNT), 1)
    host.listed(ListKind.CACHED, BackendInfo(1000))
    for each in classes:
        assert host.requests[host.arrive(each.name)].attempts
