"""Tests the watch schedules of many proxies against one small list service, in virtual time."""

import heapq
import random

import pytest

from heronreel.balancer.interface import WatchFailure
from heronreel.balancer.watch_schedule import WatchSchedule
from tests.support.list_service import ListService

TIME_FOR_CALLS_MS = 10_000.0
TIMEOUT_MS = 3_000.0  # The service refuses a call that would wait longer.


class Service:
    """Works through calls in order.  Until `breaks_until`, each watch ends right after its first response."""

    def __init__(self, call_ms: float, breaks_until: float = 0.0, down_until: float = 0.0) -> None:
        self.call_ms, self.breaks_until, self.down_until = call_ms, breaks_until, down_until
        self.free_at = 0.0
        self.calls: list[float] = []

    def call(self, now: float) -> tuple[float, bool]:
        """Return the time of the response, and whether it contains a list."""
        self.calls.append(now)
        if now < self.down_until:
            return now + 1.0, False
        begins = max(self.free_at, now)
        if begins + self.call_ms > now + TIMEOUT_MS:
            return now + 1.0, False
        self.free_at = begins + self.call_ms
        return self.free_at, True

    def calls_per_s(self, since: float, until: float) -> float:
        """Return the mean rate of calls between two times."""
        return 1000.0 * sum(since <= at < until for at in self.calls) / (until - since)


def play(proxies: int, seed: int, service: Service, until: float) -> list[float]:
    """Start all proxies at 0 and return when each one had a list whose watch lasted, or infinity."""
    rng = random.Random(seed)
    schedules = [WatchSchedule(TIME_FOR_CALLS_MS, proxies) for _ in range(proxies)]
    listed = [float("inf")] * proxies
    due = [(schedule.first_delay(rng), n, "call") for n, schedule in enumerate(schedules)]
    heapq.heapify(due)
    while due:
        now, n, event = heapq.heappop(due)
        if now >= until:
            break
        schedule, wait = schedules[n], None
        if event == "call":
            schedule.call_started(now)
            at, listed_now = service.call(now)
            heapq.heappush(due, (at, n, "listed" if listed_now else "failed"))
            continue
        if event == "listed":
            schedule.list_received(now)
            if now >= service.breaks_until:
                listed[n] = min(listed[n], now)
                continue
        wait = schedule.call_failed(now, rng, WatchFailure.ENDED)
        assert wait is not None
        heapq.heappush(due, (now + wait, n, "call"))
    return listed


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("proxies", [5, 40, 60])
def test_after_a_mass_restart_every_proxy_has_a_list_in_time(proxies: int, seed: int) -> None:
    service = Service(call_ms=5_000.0 / proxies)  # Calls from all proxies take half of the time limit.
    listed = play(proxies, seed, service, 60_000.0)
    assert max(listed) < TIME_FOR_CALLS_MS, (max(listed), "seed", seed)
    assert len(service.calls) <= 1.5 * proxies + 4, (len(service.calls), "seed", seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("fault", ["down", "breaks"])
def test_a_service_that_fails_for_long_is_called_at_a_rate_that_it_can_serve(fault: str, seed: int) -> None:
    proxies, ends = 40, 120_000.0
    service = Service(
        # A watch that breaks off costs the service little.
        call_ms=5_000.0 / proxies if fault == "down" else 5.0,
        breaks_until=ends if fault == "breaks" else 0.0,
        down_until=ends if fault == "down" else 0.0,
    )
    listed = play(proxies, seed, service, 180_000.0)
    longest = TIME_FOR_CALLS_MS / 3.0
    assert service.calls_per_s(20_000.0, ends) <= 1.4 * proxies * 1000.0 / longest, f"seed {seed}"
    assert max(listed) < ends + TIME_FOR_CALLS_MS, (max(listed), "seed", seed)
    # The calls do not come as a wave once the service is back.
    max_calls_per_s = max(
        service.calls_per_s(at, at + 1000.0) for at in range(int(ends) - 5_000, int(ends) + 10_000, 250)
    )
    assert max_calls_per_s <= 2.5 * proxies * 1000.0 / longest, (max_calls_per_s, "seed", seed)


def test_the_delay_stays_bounded_while_a_service_refuses_for_hours() -> None:
    schedule, rng = WatchSchedule(TIME_FOR_CALLS_MS, 1), random.Random(1)
    schedule.first_delay(rng)
    for number in range(3_000):
        now = number * 3_000.0
        schedule.call_started(now)
        wait = schedule.call_failed(now, rng, WatchFailure.ENDED)
        assert wait is not None and 0.0 < wait <= TIME_FOR_CALLS_MS / 3.0


def test_a_watch_that_lasted_is_resumed_at_once_and_resets_the_backoff() -> None:
    schedule, rng = WatchSchedule(TIME_FOR_CALLS_MS, 6), random.Random(1)
    for _ in range(4):
        schedule.call_started(0.0)
        long = schedule.call_failed(0.0, rng, WatchFailure.ENDED)
    schedule.call_started(0.0)
    schedule.list_received(100.0)  # There was no further list, because nothing changed.
    ended = schedule.call_failed(5_000.0, rng, WatchFailure.ENDED)
    assert schedule.call_failed(5_000.0, rng, WatchFailure.ENDED) is None  # A call is already scheduled.
    schedule.call_started(6_000.0)
    short = schedule.call_failed(6_000.0, rng, WatchFailure.ENDED)  # The call got no response.
    assert long is not None and ended is not None and short is not None
    assert 0.0 <= ended <= 15.0 and 500.0 <= short <= 1_000.0 and long > 2_000.0


def test_the_next_call_after_a_late_watch_or_a_refused_call_is_in_time() -> None:
    """Changes count as received 6 s after the last message of a late watch or the return of a service.

    A call made just before the return of the service may be refused 3 s later.  If the service is overloaded
    and not down, all proxies wait as long as it needs for one call from each.
    """
    soonest = TIME_FOR_CALLS_MS
    for seed in range(100):
        schedule, rng = WatchSchedule(TIME_FOR_CALLS_MS, 1), random.Random(seed)
        schedule.first_delay(rng)
        schedule.call_started(0.0)
        schedule.list_received(20.0)
        for number in range(4):  # The service is down for about 12 s, and every delay is within the limit.
            schedule.call_started(number * 4_000.0)
            wait = schedule.call_failed(number * 4_000.0 + 3_000.0, rng, WatchFailure.BUSY)
            assert wait is not None and 150.0 <= wait <= 6_000.0 - 3_000.0, seed
        schedule.call_started(16_000.0)
        schedule.list_received(16_020.0)
        schedule.call_started(20_000.0)
        schedule.list_received(20_020.0)
        wait = schedule.call_failed(22_520.0, rng, WatchFailure.LATE)
        assert wait is not None and 0.0 <= wait <= 2_000.0, seed
        soonest = min(soonest, wait)
        schedule.call_started(23_000.0)
        wait = schedule.call_failed(26_000.0, rng, WatchFailure.BUSY)  # The service has too many calls.
        assert wait is not None and TIME_FOR_CALLS_MS / 10 <= wait <= TIME_FOR_CALLS_MS, seed
    assert soonest < 100.0  # The time since the call is deducted from the backoff.
    schedule = WatchSchedule(60_000.0, 1)
    # The service never responds; the delay stays short even with a long time for calls.
    for number in range(6):
        schedule.call_started(number * 3_100.0)
        wait = schedule.call_failed((number + 1) * 3_100.0, rng, WatchFailure.LATE)
        assert wait is not None and wait <= 2_000.0


# The time that a slow service needs for one call from each of SLOW_PROXIES, as seen in `join+disco+huge`.
SLOW_MS = 8_000.0
SLOW_PROXIES = 41


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_service_that_works_through_abandoned_calls_still_catches_up(seed: int) -> None:
    """If all proxies called as often as after a broken call, none of them would ever get a response."""
    for rejects_early, calls_each in (
        (True, 6),
        (False, 9),
    ):  # The second service is like the one in that run.
        service = ListService(
            SLOW_PROXIES, SLOW_MS / SLOW_PROXIES, timeout_ms=2_000.0, rejects_early=rejects_early
        )
        assert max(service.play(seed, 90_000.0)) < 90_000.0, ("seed", seed)
        assert service.calls <= calls_each * SLOW_PROXIES, (service.calls, "seed", seed)


@pytest.mark.parametrize("timeout_ms", [2_000.0, 3_000.0])
@pytest.mark.parametrize("down_ms", [2_000.0, 5_000.0, 8_000.0, 12_000.0])
@pytest.mark.parametrize(
    ("proxies", "all_calls_ms"), [(1, 200.0), (6, 1_200.0), (60, 2_500.0), (230, 2_500.0)]
)
def test_all_proxies_receive_the_list_in_time_once_the_service_is_back(
    proxies: int, all_calls_ms: float, down_ms: float, timeout_ms: float
) -> None:
    """The limit is 6 s after the service's return, plus the shortest grace period of any deployment.

    `all_calls_ms` is the time that the service needs for one call from each proxy, as seen in runs at full
    size and in runs with few proxies.
    """
    for seed in range(10):
        service = ListService(proxies, all_calls_ms / proxies, timeout_ms=timeout_ms, down_until=down_ms)
        excess_ms = max(service.play(seed, 90_000.0)) - down_ms - 6_000.0
        assert excess_ms <= 250.0, (excess_ms, "seed", seed)
