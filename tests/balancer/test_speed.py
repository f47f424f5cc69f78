"""Tests speeds learned by kind, and the work that a fleet of proxies sends to cold backends of a kind."""

import pytest

from heronreel.balancer.choice import Balancer
from heronreel.balancer.interface import BackendInfo, ListKind, Outcome
from heronreel.balancer.speed import KIND_WEIGHT_RESPONSES, BackendSpeed, LearnedSpeeds
from tests.balancer.strict_host import Host, large_fleet_settings

COST_MS = 60.0  # The fixed cost and a hint of 50 ms.
LATENCY_MS = {"fast": 20.0, "slow": 120.0}
BACKENDS = 24  # The number of backends in the fleet.


def list_entry(number: int, started: float = 0.0) -> BackendInfo:
    return BackendInfo(number, zone="z", kind=("fast", "slow")[number % 2], started_ms=started)


def serve(host: Host, duration_ms: float, interval_ms: float) -> dict[int, int]:
    """Send requests at an interval and return the number of attempts by backend.

    Each attempt is served after the latency of its backend's kind, which is longer on a cold backend.
    """
    sends: dict[int, int] = {}
    end = host.now + duration_ms
    due: list[tuple[float, int, float]] = []
    while host.now < end:
        ident = host.start_request(hint_ms=50.0)
        for sent in host.requests[ident].attempts:
            info = host.known[sent.backend]
            sends[sent.backend] = sends.get(sent.backend, 0) + 1
            latency_ms = LATENCY_MS[info.kind] / (
                capacity_share_at(host.now - info.started_ms) if info.started_ms else 1.0
            )
            due.append((host.now + latency_ms, ident, latency_ms))
        host.advance_to(host.now + interval_ms)
        for _, which, latency_ms in [entry for entry in due if entry[0] <= host.now]:
            host.end_attempt(which, 0, Outcome.SERVED, latency_ms)
        due = [entry for entry in due if entry[0] > host.now]
    return sends


def capacity_share_at(age_ms: float) -> float:
    """Return the share of its capacity that a cold backend of this age has."""
    return min(1.0, 0.2 + 0.8 * age_ms / 20_000.0)


def test_a_new_backend_has_the_speed_of_its_kind() -> None:
    speeds = LearnedSpeeds()
    for _ in range(200):
        speeds.learn("slow", BackendSpeed(), 3.0)
    assert speeds.factor("slow", BackendSpeed()) == pytest.approx(3.0, rel=0.02)
    assert speeds.factor("new", BackendSpeed()) == 1.0


def test_the_weight_of_a_backends_own_speed_grows_with_its_responses() -> None:
    speeds, slow_backend = LearnedSpeeds(), BackendSpeed()
    for _ in range(200):
        speeds.learn("kind", BackendSpeed(), 1.0)
    factors = []
    for _ in range(int(8 * KIND_WEIGHT_RESPONSES)):
        speeds.learn("kind", slow_backend, 4.0)
        factors.append(speeds.factor("kind", slow_backend))
        speeds.learn("kind", BackendSpeed(), 1.0)  # The other backends of its kind keep their speed.
    assert factors[0] < 1.1 and factors == sorted(factors)
    assert factors[-1] > 2.5


def test_responses_of_a_cold_backend_do_not_change_its_kind() -> None:
    """Slow start knows only the least capacity of a cold backend.

    A backend that warms up sooner would make its whole kind look faster.
    """
    host = Host(large_fleet_settings())
    host.receive_list(ListKind.CACHED, list_entry(0, host.now), list_entry(2))
    for _ in range(100):
        host.advance_to(host.now + 20.0)
        ident = host.start_request()
        backend = host.requests[ident].attempts[0].backend
        host.end_attempt(ident, 0, Outcome.SERVED, 10.0 if backend == 0 else COST_MS)
    # The response changes the factor of the backend itself.
    assert host.balancer.endpoints.backends[0].cost_factor < 0.8
    assert host.balancer.endpoints.speeds.of_kind("fast") == pytest.approx(1.0, rel=0.02)


def test_kinds_that_are_no_longer_listed_are_dropped() -> None:
    host = Host(large_fleet_settings())
    for number in range(1000):
        host.receive_list(ListKind.FULL, BackendInfo(number, kind=f"k{number}"), list_entry(10_000))
        ident = host.start_request()
        host.end_attempt(ident, 0, Outcome.SERVED, 50.0)
    assert len(host.balancer.endpoints.speeds.kinds) <= 2


def test_a_cold_backend_gets_work_in_proportion_to_the_speed_of_its_kind() -> None:
    host = Host(large_fleet_settings(), seed=3)
    host.receive_list(ListKind.CACHED, *map(list_entry, range(8)))
    serve(host, 10_000.0, 10.0)
    start = host.now
    host.receive_list(ListKind.CHANGES, list_entry(8, start), list_entry(9, start))
    sends = serve(host, 8_000.0, 10.0)
    assert sends[8] > 2 * sends[9] > 0, sends


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("proxies", [5, 40])
def test_all_proxies_together_keep_rule_4_and_use_much_of_its_budget(proxies: int, seed: int) -> None:
    """Half of the fleet restarts; rule 4 counts the work from all proxies in every window of 2 s."""
    hosts = [
        Host(large_fleet_settings(proxies=proxies, proxy_index=n), seed * 1000 + n) for n in range(proxies)
    ]
    capacity = 2.0  # In cores per backend; the load is 60 % of the capacity of the fleet.
    speed = {"fast": 3.0, "slow": 0.5}
    total = capacity * sum(speed[list_entry(n).kind] for n in range(BACKENDS))
    interval_ms = COST_MS * proxies / (0.6 * total)  # The interval between the requests of one proxy, ms.
    for n, host in enumerate(hosts):
        host.now += interval_ms * n / proxies
        host.receive_list(ListKind.CACHED, *map(list_entry, range(BACKENDS)))
        serve(host, 6_000.0, interval_ms)
    start = max(host.now for host in hosts)
    for host in hosts:
        host.advance_to(start)
        host.receive_list(ListKind.CHANGES, *(list_entry(n, start) for n in range(BACKENDS // 2)))
        serve(host, 6_000.0, interval_ms)
    used = []
    for backend in range(BACKENDS // 2):
        work = [w for host in hosts for w in host.sent_work.get(backend, ()) if w[0] >= start]
        for at in range(0, 4_000, 250):
            sent_work = sum(hint for when, hint in work if at <= when - start < at + 2000.0)
            budget = 4.0 * capacity * speed[list_entry(backend).kind] * capacity_share_at(at) * 2000.0
            assert sent_work < budget, (backend, at, sent_work / budget, "seed", seed)
            used.append(sent_work / budget)
    mean_use = sum(used) / len(used)
    assert mean_use > 0.28, (mean_use, "seed", seed)


@pytest.mark.parametrize("factor", [1.5, 2.5, 4.0])
@pytest.mark.parametrize("proxies", [5, 30])
def test_the_work_sent_to_a_cold_backend_exceeds_its_budget_only_by_chance(
    proxies: int, factor: float
) -> None:
    """Beyond N requests of mean work in the window of the rule, an excess of 2 sqrt(N) + 2 is chance."""
    seed = 11
    hosts = [
        Host(large_fleet_settings(proxies=proxies, proxy_index=n, overload_factor=factor), seed + n)
        for n in range(proxies)
    ]
    capacity, speed = 2.0, {"fast": 3.0, "slow": 0.5}
    interval_ms = (
        COST_MS * proxies / (0.95 * capacity * sum(speed[list_entry(n).kind] for n in range(BACKENDS)))
    )
    for n, host in enumerate(hosts):
        host.now += interval_ms * n / proxies
        host.receive_list(ListKind.CACHED, *map(list_entry, range(BACKENDS // 3, BACKENDS)))
        serve(host, 6_000.0, interval_ms)
    start = max(host.now for host in hosts)
    for n, host in enumerate(hosts):  # The list reaches some of the proxies late.
        host.advance_to(start + 100.0 * (n % 10))
        host.receive_list(ListKind.CHANGES, *(list_entry(number, start) for number in range(BACKENDS // 3)))
        serve(host, 8_000.0, interval_ms)
    for backend in range(BACKENDS // 3):
        sends = [at - start for host in hosts for at, _ in host.sent_work.get(backend, ())]
        for at in range(0, 6_000, 250):
            requests = sum(at <= when < at + 2_000.0 for when in sends)
            budget = (
                factor
                * capacity
                * speed[list_entry(backend).kind]
                * capacity_share_at(at)
                * 2_000.0
                / COST_MS
            )
            assert requests <= budget + 2.0 * budget**0.5 + 2.0, (backend, at, requests, budget, "seed", seed)


def test_balancers_do_not_share_learned_speeds() -> None:
    first, second = (Balancer(large_fleet_settings(), seed=1) for _ in range(2))
    first.endpoints.speeds.learn("fast", BackendSpeed(), 5.0)
    assert second.endpoints.speeds.of_kind("fast") == 1.0
