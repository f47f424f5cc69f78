"""Tests that each backend is in the subsets of a bounded number of proxies of a large fleet."""

import random
from collections import Counter

import pytest

from heronreel.balancer.endpoints import FALLBACK_TIER
from heronreel.balancer.interface import (
    BackendInfo,
    ListKind,
    NewSettings,
    Outcome,
    Settings,
)
from heronreel.balancer.subset import MIN_SUBSET, PROXIES_PER_BACKEND, Subset
from tests.balancer.strict_host import Host, large_fleet_settings


def zone_settings(index: int | None, proxies: int, zone: str = "z0") -> Settings:
    return large_fleet_settings(
        proxy_index=index, proxies=proxies, zone=zone, zones=("z0", "z1"), price_cross_zone=0.03
    )


def list_entries(count: int) -> list[BackendInfo]:
    return [BackendInfo(7919 * n + 1, zone=f"z{n % 2}") for n in range(count)]


@pytest.mark.parametrize("proxies", [14, 40, 60])
def test_each_rank_for_a_backend_belongs_to_one_proxy(proxies: int) -> None:
    subsets = [Subset(index, proxies) for index in range(proxies)]
    for backend in range(1, 10_000, 97):
        assert sorted(subset.rank(backend) for subset in subsets) == list(range(proxies))


def test_a_subset_is_large_enough_in_any_fleet() -> None:
    for proxies in (1, 5, PROXIES_PER_BACKEND, 40, 60, 1000):
        for backends in (1, MIN_SUBSET, 30, 150):
            proxies_of_each = Subset(0, proxies).proxies_per_backend(backends)
            assert min(proxies, PROXIES_PER_BACKEND) <= proxies_of_each <= proxies
            assert proxies_of_each * backends >= min(MIN_SUBSET, backends) * proxies


def proxies_by_backend(indexes: list[int | None], proxies: int, seed: int) -> Counter[int]:
    """Return how many of the proxies sent attempts to each of 60 backends.

    A fifth of the requests is rejected at the first attempt.
    """
    rng = random.Random(seed)
    proxy_counts: Counter[int] = Counter()
    for index in indexes:
        host = Host(zone_settings(index, proxies, f"z{(index or 0) % 2}"), seed=rng.randrange(2**32))
        host.receive_list(ListKind.CACHED, *list_entries(60))
        backends: set[int] = set()
        for _ in range(300):
            host.advance_to(host.now + rng.expovariate(1 / 50.0))
            ident = host.start_request(hint_ms=50.0)
            if rng.random() < 0.2:
                host.end_attempt(ident, 0, Outcome.REJECTED, 1.0)
            host.advance_to(host.now + 20.0)
            backends |= {sent.backend for sent in host.requests[ident].attempts}
            host.end_attempt(ident, len(host.requests[ident].attempts) - 1, Outcome.SERVED, 20.0)
        proxy_counts.update(backends)
    return proxy_counts


@pytest.mark.parametrize("seed", [1, 2])
def test_a_bounded_number_of_proxies_connects_to_each_backend(seed: int) -> None:
    proxy_counts = proxies_by_backend(list(range(40)), 40, seed)
    assert len(proxy_counts) == 60, f"seed {seed}"  # Every backend is used.
    assert max(proxy_counts.values()) <= PROXIES_PER_BACKEND, f"seed {seed}"


def test_a_proxy_that_does_not_know_its_index_uses_all_backends() -> None:
    assert len(proxies_by_backend([None], 40, 1)) >= 30 > len(proxies_by_backend([4], 40, 1)) > 0


def test_a_reload_with_more_proxies_recomputes_the_ranks() -> None:
    host = Host(zone_settings(5, 13))
    host.receive_list(ListKind.CACHED, *list_entries(60))
    host.balancer.handle(host.now, NewSettings(zone_settings(5, 60)))
    balancer, subset = host.balancer, Subset(5, 60)
    for ident, backend in balancer.endpoints.backends.items():
        assert backend.subset_rank == subset.rank(ident)
        assert (backend.tier == FALLBACK_TIER) == (backend.subset_rank >= subset.proxies_per_backend(30))
    assert 0 < sum(backend.tier != FALLBACK_TIER for backend in balancer.endpoints.backends.values()) < 40


def test_backends_outside_the_subset_are_used_if_no_others_are_left() -> None:
    host, subset = Host(zone_settings(3, 40)), Subset(3, 40)
    outside = [info for info in list_entries(400) if info.zone == "z0" and subset.rank(info.backend) >= 27][
        :12
    ]
    assert subset.proxies_per_backend(len(outside)) == 27
    host.receive_list(ListKind.CACHED, *list_entries(60))
    host.receive_list(ListKind.FULL, *outside)
    assert host.requests[host.start_request()].attempts[0].backend in {info.backend for info in outside}
