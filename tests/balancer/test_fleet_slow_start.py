"""Tests slow start over a whole fleet, in virtual time: the work that all proxies send to a cold backend.

A cold backend is overloaded if it gets more than N + 2 sqrt(N) + 2 requests of mean work within
`overload_window_ms` (`tests/support/cold_start_judge.py`).  Of the requests of such an overload, at most
two thirds may come from proxies that were notified of the backend's start.  The traffic is uneven, and it
includes a burst of 1.5 times the load.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from functools import lru_cache

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.balancer import maintenance, slow_start, subset
from heronreel.balancer.endpoints import Backend, Endpoints
from heronreel.balancer.interface import BackendInfo
from heronreel.balancer.requests import Attempt
from heronreel.balancer.turns import TurnQueue
from tests.support.cold_start_judge import ColdStartJudge, ColdStartRules
from tests.support.fleet_world import MEAN_WORK_MS, FleetWorld, Proxy

Case = Callable[[FleetWorld], None]

# The number of backends, by that of the proxies.
BACKENDS = {1: 8, 5: 12, 30: 20, 230: 60}
WARM_UP_MS = 3000.0
OBSERVED_MS = 5000.0
# The numbers of requests that a backend can process at once.
CONCURRENCY = (1, 2, 4, 8)
# The load during a burst, as a multiple of the normal load.
BURST_RATIO = 1.5
BURST_MS = 3500.0
# The range of the normal load, as a share of the fleet's capacity.
LOAD_RANGE = (0.5, 0.95)
# The time within which a change of the list reaches all proxies.
NOTIFICATION_MS = 300.0
# A share of the proxies may receive a change as late as this.
LATE_NOTIFICATION_MS = 4000.0
LATE_SHARE = 0.3
# The time from the end of a backend process to the start of the next one.
DOWN_MS = 800.0
NEW_BACKEND = 900


@pytest.fixture(autouse=True)
def shared_hashes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Compute each hash once for all proxies; 230 separate proxies would each compute all of them."""
    monkeypatch.setattr(subset, "proxy_hash", lru_cache(maxsize=None)(subset.proxy_hash))


def rules_of(rng: random.Random) -> ColdStartRules:
    return ColdStartRules(
        cold_from=rng.uniform(0.13, 0.3),
        cold_ms=rng.uniform(6000.0, 20000.0),
        overload_factor=float(rng.choice((2, 3, 4))),
        overload_window_ms=rng.uniform(500.0, 2000.0),
        warm_capacity=float(rng.choice(CONCURRENCY)),
        mean_work_ms=MEAN_WORK_MS,
    )


def promptly(world: FleetWorld) -> Callable[[Proxy], float]:
    """Return a delay, per proxy, within which a change of the list reaches all proxies."""
    return lambda proxy: world.random.uniform(0.0, NOTIFICATION_MS)


def late_at_some_proxies(world: FleetWorld) -> Callable[[Proxy], float]:
    """Return a delay, per proxy, with which a change of the list reaches some proxies late."""
    return lambda proxy: world.random.uniform(
        0.0, LATE_NOTIFICATION_MS if world.random.random() < LATE_SHARE else NOTIFICATION_MS
    )


def restart_backends(world: FleetWorld, backends: list[int], delay: Callable[[Proxy], float]) -> None:
    """Restart backends and notify the proxies of their start."""
    for backend in backends:
        world.stop(backend)
    world.run_for(DOWN_MS)
    world.tell([world.start(backend) for backend in backends], delay)


def a_new_one_joins(world: FleetWorld) -> None:
    world.tell([world.start(NEW_BACKEND)], promptly(world))


def one_comes_back_cold(world: FleetWorld) -> None:
    restart_backends(world, [100], promptly(world))


def several_at_once(world: FleetWorld) -> None:
    count = max(2, len(world.servers) // 3)
    world.tell([world.start(NEW_BACKEND + number) for number in range(count // 2)], promptly(world))
    restart_backends(world, [100 + number for number in range(count - count // 2)], promptly(world))


def a_restarted_proxy_meets_cold_ones(world: FleetWorld) -> None:
    world.tell([world.start(NEW_BACKEND + number) for number in range(2)], promptly(world))
    world.run_for(500.0)
    shares = sorted(world.proxies, key=lambda proxy: -proxy.share)
    for proxy in shares[: max(1, len(shares) // 4)]:  # Restart the proxies with the most traffic.
        world.restart_proxy(proxy.index)


def the_news_is_late_at_some(world: FleetWorld) -> None:
    restart_backends(world, [100, 101], late_at_some_proxies(world))


def one_is_handed_back_before_its_line_comes(world: FleetWorld) -> None:
    stale = BackendInfo(100)
    began = world.hold(100)
    world.stop(100)
    world.run_for(DOWN_MS)
    line = world.start(100)
    world.run_for(200.0)
    world.release(100, began, NOTIFICATION_MS)
    world.tell([stale], promptly(world))  # This list does not show the restart yet.
    world.run_for(NOTIFICATION_MS)
    world.tell([line], lambda proxy: world.random.uniform(1000.0, LATE_NOTIFICATION_MS))


def one_is_out_of_reach_for_a_while(world: FleetWorld) -> None:
    world.tell([world.start(NEW_BACKEND)], promptly(world))
    world.run_for(500.0)
    world.cut_off(NEW_BACKEND, 2500.0)


# The names of these functions are part of the random seeds.
CASES: tuple[Case, ...] = (
    a_new_one_joins,
    one_comes_back_cold,
    several_at_once,
    a_restarted_proxy_meets_cold_ones,
    the_news_is_late_at_some,
    one_is_handed_back_before_its_line_comes,
    one_is_out_of_reach_for_a_while,
)


def play(seed: int, proxies: int, case: Case, rules: ColdStartRules | None = None) -> ColdStartJudge:
    """Play one seeded world: warm up, then the case and a burst that start together."""
    rng = random.Random(f"{seed} {proxies} {case.__name__}")
    rules = rules or rules_of(rng)
    world = FleetWorld(rng.getrandbits(32), proxies, BACKENDS[proxies], rules, rng.uniform(*LOAD_RANGE))
    world.run_for(WARM_UP_MS)
    world.burst(BURST_RATIO, BURST_MS)
    case(world)
    world.run_for(OBSERVED_MS)
    print(
        f"{case.__name__} proxies={proxies} seed={seed} factor={rules.overload_factor:g} "
        f"slots={rules.warm_capacity:g} from={rules.cold_from:.2f} "
        f"overload_window_ms={rules.overload_window_ms:.0f} sends={world.judge.sends} "
        f"worst={world.judge.worst_informed_ratio:.2f} overloads={len(world.judge.overloads)}"
    )
    assert world.judge.sends  # Cold backends get some work.
    return world.judge


def assert_rule_kept(judge: ColdStartJudge) -> None:
    breaches = judge.breaches()
    assert not breaches, breaches[0]


@pytest.mark.parametrize("proxies", [1, 5])
@settings(max_examples=12, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), case=st.sampled_from(CASES))
def test_a_small_fleet_overloads_no_cold_backend(proxies: int, seed: int, case: Case) -> None:
    assert_rule_kept(play(seed, proxies, case))


@pytest.mark.parametrize("case", CASES)
def test_thirty_proxies_together_overload_no_cold_backend(case: Case) -> None:
    for seed in range(2):
        assert_rule_kept(play(seed, 30, case))


@pytest.mark.parametrize(("seed", "case"), list(enumerate(CASES)))
def test_230_proxies_together_overload_no_cold_backend(seed: int, case: Case) -> None:
    assert_rule_kept(play(seed, 230, case))


# Each of the following tests disables one safeguard, and the judge must detect that the rule is broken.

TIGHT = ColdStartRules(
    cold_from=0.13,
    cold_ms=20000.0,
    overload_factor=2.0,
    overload_window_ms=500.0,
    warm_capacity=1.0,
    mean_work_ms=MEAN_WORK_MS,
)
GUARD_SEEDS = range(3)


def count_breaking_seeds(case: Case, rules: ColdStartRules = TIGHT, proxies: int = 30) -> int:
    """Return how many of the seeds break the rule."""
    return sum(bool(play(seed, proxies, case, rules).breaches()) for seed in GUARD_SEEDS)


@pytest.mark.parametrize("case", CASES)
def test_with_all_safeguards_the_tight_rules_are_kept(case: Case) -> None:
    assert count_breaking_seeds(case) == 0


def test_without_slow_start_the_rule_is_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "capacity_share", lambda settings, now, info: 1.0)
    assert count_breaking_seeds(one_comes_back_cold) == len(GUARD_SEEDS)


def test_with_credit_above_what_the_settings_allow_the_rule_is_broken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An earlier value, which suits only an overload factor of 4.
    monkeypatch.setattr(slow_start, "CREDIT_SHARE", 2.2)
    assert count_breaking_seeds(the_news_is_late_at_some)


def test_with_almost_unlimited_credit_the_rule_is_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "CREDIT_SHARE", 50.0)
    assert count_breaking_seeds(a_new_one_joins) == len(GUARD_SEEDS)


def test_without_a_random_first_credit_the_rule_is_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    add = Endpoints._add

    def add_without_drawn_credit(self: Endpoints, now: float, info: BackendInfo, mean_cost_ms: float) -> None:
        known = self.backends.get(info.backend)
        add(self, now, info, mean_cost_ms)
        if self.backends[info.backend] is not known:
            self.backends[info.backend].credit_ms = 0.0

    monkeypatch.setattr(Endpoints, "_add", add_without_drawn_credit)
    assert count_breaking_seeds(several_at_once) == len(GUARD_SEEDS)


def test_if_a_backend_returns_warm_from_maintenance_the_rule_is_broken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Keep the start time of the list entry.
    monkeypatch.setattr(maintenance, "replace", lambda line, started_ms: line)
    assert count_breaking_seeds(one_is_handed_back_before_its_line_comes)


def test_credit_alone_protects_a_cold_backend_that_is_booked_as_a_warm_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Booking by the capacity share also reduces turns; the rule is broken only without both safeguards."""
    book = TurnQueue.book

    def book_as_warm(self: TurnQueue, now: float, backend: Backend, cost_ms: float) -> Attempt:
        with monkeypatch.context() as patch:
            patch.setattr(slow_start, "capacity_share", lambda settings, now, info: 1.0)
            return book(self, now, backend, cost_ms)

    monkeypatch.setattr(TurnQueue, "book", book_as_warm)
    wide = replace(TIGHT, warm_capacity=8.0, overload_window_ms=1000.0)
    assert count_breaking_seeds(one_is_handed_back_before_its_line_comes, wide, 5) == 0
    monkeypatch.setattr(slow_start, "CREDIT_SHARE", 2.2)
    assert count_breaking_seeds(one_is_handed_back_before_its_line_comes, wide, 5) == len(GUARD_SEEDS)


def judge_of_requests(notified: int, others: int) -> ColdStartJudge:
    """Return a judge that saw simultaneous requests of mean work, from notified proxies and from others."""
    judge = ColdStartJudge(ColdStartRules(0.2, 10_000.0, 3.0, 1000.0, warm_capacity=2.0, mean_work_ms=50.0))
    judge.started(0.0, 1)
    for number in range(notified + others):
        judge.sent(0.0, 1, number % 5, 50.0, informed=number < notified)
    return judge


def test_the_judge_applies_the_rule() -> None:
    rules = judge_of_requests(0, 0).rules
    assert rules.allowed(0.0) == pytest.approx(24.0)  # 3 times 0.2 of 40 requests per second.
    assert rules.limit(10_000.0) == pytest.approx(120.0 + 2.0 * 120.0**0.5 + 2.0)
    assert not judge_of_requests(35, 0).overloads  # 24 + 2 sqrt(24) + 2 = 35.8.
    assert judge_of_requests(36, 0).breaches()
    assert judge_of_requests(25, 11).breaches()
    excused = judge_of_requests(24, 12)  # Exactly two thirds came from notified proxies.
    assert excused.overloads and not excused.breaches()
    later = judge_of_requests(35, 0)
    later.sent(1000.0, 1, 0, 50.0, informed=True)  # The first requests are no longer in the window.
    assert not later.overloads
