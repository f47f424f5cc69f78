"""Speeds pooled by kind, and what a cold backend of a kind is sent by a whole fleet of proxies."""

import pytest

from heronreel.balancer.choice import Balancer
from heronreel.balancer.interface import BackendInfo, ListKind, Outcome
from heronreel.balancer.speed import KIND_WEIGHT_RESPONSES, BackendSpeed, LearnedSpeeds
from tests.balancer.strict_host import Host, large

COST = 60.0  # ms: the fixed part and a hint of 50
LATENCY = {"fast": 20.0, "slow": 120.0}


BACKENDS = 24  # of the whole fleet


def line(number: int, started: float = 0.0) -> BackendInfo:
    return BackendInfo(number, zone="z", kind=("fast", "slow")[number % 2], started_ms=started)


def serve(host: Host, ms: float, every: float) -> dict[int, int]:
    """Steady arrivals, each served after what its backend's kind takes, cold or warm; sends by backend."""
    sends: dict[int, int] = {}
    ends = host.now + ms
    due: list[tuple[float, int, float]] = []
    while host.now < ends:
        ident = host.arrive(hint=50.0)
        for sent in host.requests[ident].attempts:
            info = host.known[sent.backend]
            sends[sent.backend] = sends.get(sent.backend, 0) + 1
            took = LATENCY[info.kind] / (ramp_of(host.now - info.started_ms) if info.started_ms else 1.0)
            due.append((host.now + took, ident, took))
        host.run_to(host.now + every)
        for _, which, took in [entry for entry in due if entry[0] <= host.now]:
            host.end(which, 0, Outcome.SERVED, took)
        due = [entry for entry in due if entry[0] > host.now]
    return sends


def ramp_of(age_ms: float) -> float:
    return min(1.0, 0.2 + 0.8 * age_ms / 20_000.0)


def test_a_new_backend_is_as_fast_as_its_kind() -> None:
    speeds = LearnedSpeeds()
    for _ in range(200):
        speeds.learn("slow", BackendSpeed(), 3.0)
    assert speeds.factor("slow", BackendSpeed()) == pytest.approx(3.0, rel=0.02)
    assert speeds.factor("new", BackendSpeed()) == 1.0


def test_its_own_responses_replace_its_kind_by_their_number() -> None:
    speeds, odd = LearnedSpeeds(), BackendSpeed()
    for _ in range(200):
        speeds.learn("kind", BackendSpeed(), 1.0)
    seen = []
    for _ in range(int(8 * KIND_WEIGHT_RESPONSES)):
        speeds.learn("kind", odd, 4.0)
        seen.append(speeds.factor("kind", odd))
        speeds.learn("kind", BackendSpeed(), 1.0)  # the others of its kind go on as they were
    assert seen[0] < 1.1 and seen == sorted(seen)
    assert seen[-1] > 2.5


def test_a_cold_backend_is_no_guide_to_its_kind() -> None:
    """How cold it is, is the least that the rule assures: what warms sooner would make all look faster."""
    host = Host(large())
    host.listed(ListKind.CACHED, line(0, host.now), line(2))
    for _ in range(100):
        host.run_to(host.now + 20.0)
        ident = host.arrive()
        backend = host.requests[ident].attempts[0].backend
        host.end(ident, 0, Outcome.SERVED, 10.0 if backend == 0 else COST)
    assert host.balancer.endpoints.backends[0].cost_factor < 0.8  # of itself it does
    assert host.balancer.endpoints.speeds.of_kind("fast") == pytest.approx(1.0, rel=0.02)


def test_kinds_that_the_list_no_longer_names_are_forgotten() -> None:
    host = Host(large())
    for number in range(1000):
        host.listed(ListKind.FULL, BackendInfo(number, kind=f"k{number}"), line(10_000))
        ident = host.arrive()
        host.end(ident, 0, Outcome.SERVED, 50.0)
    assert len(host.balancer.endpoints.speeds.kinds) <= 2


def test_a_cold_backend_gets_work_by_the_speed_of_its_kind() -> None:
    host = Host(large(), seed=3)
    host.listed(ListKind.CACHED, *map(line, range(8)))
    serve(host, 10_000.0, 10.0)
    start = host.now
    host.listed(ListKind.CHANGES, line(8, start), line(9, start))
    sends = serve(host, 8_000.0, 10.0)
    assert sends[8] > 2 * sends[9] > 0, sends


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("proxies", [5, 40])
def test_all_proxies_together_stay_under_the_rule_and_use_a_good_part_of_it(proxies: int, seed: int) -> None:
    """Half the fleet comes back cold: rule 4 counts the work of all proxies in every window of 2 s."""
    hosts = [Host(large(proxies=proxies, proxy_index=n), seed * 1000 + n) for n in range(proxies)]
    capacity = 2.0  # cores of the fast kind's speed, of which six tenths are used
    speed = {"fast": 3.0, "slow": 0.5}
    total = capacity * sum(speed[line(n).kind] for n in range(BACKENDS))
    every = COST * proxies / (0.6 * total)  # ms between a proxy's arrivals
    for n, host in enumerate(hosts):
        host.now += every * n / proxies
        host.listed(ListKind.CACHED, *map(line, range(BACKENDS)))
        serve(host, 6_000.0, every)
    start = max(host.now for host in hosts)
    for host in hosts:
        host.run_to(start)
        host.listed(ListKind.CHANGES, *(line(n, start) for n in range(BACKENDS // 2)))
        serve(host, 6_000.0, every)
    used = []
    for backend in range(BACKENDS // 2):
        work = [w for host in hosts for w in host.cold_work.get(backend, ()) if w[0] >= start]
        for at in range(0, 4_000, 250):
            got = sum(hint for when, hint in work if at <= when - start < at + 2000.0)
            budget = 4.0 * capacity * speed[line(backend).kind] * ramp_of(at) * 2000.0
            assert got < budget, (backend, at, got / budget, "seed", seed)
            used.append(got / budget)
    part = sum(used) / len(used)
    assert part > 0.28, (part, "seed", seed)


@pytest.mark.parametrize("factor", [1.5, 2.5, 4.0])
@pytest.mark.parametrize("proxies", [5, 30])
def test_what_all_send_to_a_cold_backend_exceeds_the_budget_by_chance_only(
    proxies: int, factor: float
) -> None:
    """The letter's figure: beyond N calls of mean work in the rule's time, 2 roots of N + 2 are chance."""
    seed = 11
    hosts = [
        Host(large(proxies=proxies, proxy_index=n, overload_factor=factor), seed + n) for n in range(proxies)
    ]
    capacity, speed = 2.0, {"fast": 3.0, "slow": 0.5}
    every = COST * proxies / (0.95 * capacity * sum(speed[line(n).kind] for n in range(BACKENDS)))
    for n, host in enumerate(hosts):
        host.now += every * n / proxies
        host.listed(ListKind.CACHED, *map(line, range(BACKENDS // 3, BACKENDS)))
        serve(host, 6_000.0, every)
    start = max(host.now for host in hosts)
    for n, host in enumerate(hosts):  # the list reaches some of them late
        host.run_to(start + 100.0 * (n % 10))
        host.listed(ListKind.CHANGES, *(line(number, start) for number in range(BACKENDS // 3)))
        serve(host, 8_000.0, every)
    for backend in range(BACKENDS // 3):
        sends = [at - start for host in hosts for at, _ in host.cold_work.get(backend, ())]
        for at in range(0, 6_000, 250):
            calls = sum(at <= when < at + 2_000.0 for when in sends)
            budget = factor * capacity * speed[line(backend).kind] * ramp_of(at) * 2_000.0 / COST
            assert calls <= budget + 2.0 * budget**0.5 + 2.0, (backend, at, calls, budget, "seed", seed)


def test_speeds_end_with_their_proxy() -> None:
    one, other = (Balancer(large(), seed=1) for _ in range(2))
    one.endpoints.speeds.learn("fast", BackendSpeed(), 5.0)
    assert other.endpoints.speeds.of_kind("fast") == 1.0
