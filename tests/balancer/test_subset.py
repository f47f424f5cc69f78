"""Each backend is in the subsets of a bounded number of proxies of a large fleet."""

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
from tests.balancer.strict_host import Host, large


def settings(index: int | None, proxies: int, zone: str = "z0") -> Settings:
    return large(proxy_index=index, proxies=proxies, zone=zone, zones=("z0", "z1"), price_cross_zone=0.03)


def lines(count: int) -> list[BackendInfo]:
    return [BackendInfo(7919 * n + 1, zone=f"z{n % 2}") for n in range(count)]


@pytest.mark.parametrize("proxies", [14, 40, 60])
def test_every_backend_has_just_as_many_proxies(proxies: int) -> None:
    subsets = [Subset(index, proxies) for index in range(proxies)]
    for backend in range(1, 10_000, 97):
        assert sorted(subset.rank(backend) for subset in subsets) == list(range(proxies))


def test_a_subset_has_a_good_size_in_any_fleet() -> None:
    for proxies in (1, 5, PROXIES_PER_BACKEND, 40, 60, 1000):
        for backends in (1, MIN_SUBSET, 30, 150):
            proxies_of_each = Subset(0, proxies).proxies_per_backend(backends)
            assert min(proxies, PROXIES_PER_BACKEND) <= proxies_of_each <= proxies
            assert proxies_of_each * backends >= min(MIN_SUBSET, backends) * proxies


def used(indexes: list[int | None], proxies: int, seed: int) -> Counter[int]:
    """How many of the proxies sent anything to each of 60 backends, some of it rejected at first."""
    draw = random.Random(seed)
    pairs: Counter[int] = Counter()
    for index in indexes:
        host = Host(settings(index, proxies, f"z{(index or 0) % 2}"), seed=draw.randrange(2**32))
        host.listed(ListKind.CACHED, *lines(60))
        seen: set[int] = set()
        for _ in range(300):
            host.run_to(host.now + draw.expovariate(1 / 50.0))
            ident = host.arrive(hint=50.0)
            if draw.random() < 0.2:
                host.end(ident, 0, Outcome.REJECTED, 1.0)
            host.run_to(host.now + 20.0)
            seen |= {sent.backend for sent in host.requests[ident].attempts}
            host.end(ident, len(host.requests[ident].attempts) - 1, Outcome.SERVED, 20.0)
        pairs.update(seen)
    return pairs


@pytest.mark.parametrize("seed", [1, 2])
def test_a_large_fleet_opens_few_connections_to_each_backend(seed: int) -> None:
    pairs = used(list(range(40)), 40, seed)
    assert len(pairs) == 60, f"seed {seed}"  # none is left out
    assert max(pairs.values()) <= PROXIES_PER_BACKEND, f"seed {seed}"


def test_a_proxy_that_does_not_know_its_index_uses_all_backends() -> None:
    assert len(used([None], 40, 1)) >= 30 > len(used([4], 40, 1)) > 0


def test_a_reload_for_a_larger_fleet_ranks_anew() -> None:
    host = Host(settings(5, 13))
    host.listed(ListKind.CACHED, *lines(60))
    host.balancer.handle(host.now, NewSettings(settings(5, 60)))
    balancer, subset = host.balancer, Subset(5, 60)
    for ident, backend in balancer.endpoints.backends.items():
        assert backend.subset_rank == subset.rank(ident)
        assert (backend.tier == FALLBACK_TIER) == (backend.subset_rank >= subset.proxies_per_backend(30))
    assert 0 < sum(backend.tier != FALLBACK_TIER for backend in balancer.endpoints.backends.values()) < 40


def test_what_is_outside_of_the_subset_is_used_when_nothing_else_is_left() -> None:
    host, subset = Host(settings(3, 40)), Subset(3, 40)
    foreign = [info for info in lines(400) if info.zone == "z0" and subset.rank(info.backend) >= 27][:12]
    assert subset.proxies_per_backend(len(foreign)) == 27
    host.listed(ListKind.CACHED, *lines(60))
    host.listed(ListKind.FULL, *foreign)
    assert host.requests[host.arrive()].attempts[0].backend in {info.backend for info in foreign}
