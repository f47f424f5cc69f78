"""Many proxies and one small list service, in virtual time."""

import heapq
import random

import pytest

from heronreel.balancer.interface import WatchFailure
from heronreel.balancer.watch_schedule import WatchSchedule
from tests.support.list_service import ListService

WITHIN_MS = 10_000.0
TIMEOUT_MS = 3_000.0  # a call that would wait longer is refused


class Service:
    """Works through calls in turn; `breaks`: it responds at once, and the watch ends with the response."""

    def __init__(self, call_ms: float, breaks_until: float = 0.0, down_until: float = 0.0) -> None:
        self.call_ms, self.breaks_until, self.down_until = call_ms, breaks_until, down_until
        self.free_at = 0.0
        self.calls: list[float] = []

    def call(self, now: float) -> tuple[float, bool]:
        """When it gets its response, and whether that is a list."""
        self.calls.append(now)
        if now < self.down_until:
            return now + 1.0, False
        begins = max(self.free_at, now)
        if begins + self.call_ms > now + TIMEOUT_MS:
            return now + 1.0, False
        self.free_at = begins + self.call_ms
        return self.free_at, True

    def per_s(self, since: float, until: float) -> float:
        return 1000.0 * sum(since <= at < until for at in self.calls) / (until - since)


def play(proxies: int, seed: int, service: Service, until: float) -> list[float]:
    """All start at 0; when each had a list that lasted, or infinity."""
    draw = random.Random(seed)
    schedules = [WatchSchedule(WITHIN_MS, proxies) for _ in range(proxies)]
    listed = [float("inf")] * proxies
    due = [(schedule.first_delay(draw), n, "call") for n, schedule in enumerate(schedules)]
    heapq.heapify(due)
    while due:
        now, n, what = heapq.heappop(due)
        if now >= until:
            break
        schedule, wait = schedules[n], None
        if what == "call":
            schedule.call_started(now)
            at, listed_now = service.call(now)
            heapq.heappush(due, (at, n, "listed" if listed_now else "failed"))
            continue
        if what == "listed":
            schedule.list_received(now)
            if now >= service.breaks_until:
                listed[n] = min(listed[n], now)
                continue
        wait = schedule.call_failed(now, draw, WatchFailure.ENDED)
        assert wait is not None
        heapq.heappush(due, (now + wait, n, "call"))
    return listed


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("proxies", [5, 40, 60])
def test_after_a_mass_restart_every_proxy_has_a_list_in_time(proxies: int, seed: int) -> None:
    service = Service(call_ms=5_000.0 / proxies)  # one call from every proxy in half of it
    listed = play(proxies, seed, service, 60_000.0)
    assert max(listed) < WITHIN_MS, (max(listed), "seed", seed)
    assert len(service.calls) <= 1.5 * proxies + 4, (len(service.calls), "seed", seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("fault", ["down", "breaks"])
def test_a_service_that_fails_for_long_is_called_at_a_rate_it_could_take(fault: str, seed: int) -> None:
    proxies, ends = 40, 120_000.0
    service = Service(
        call_ms=5_000.0 / proxies if fault == "down" else 5.0,  # breaking off costs little
        breaks_until=ends if fault == "breaks" else 0.0,
        down_until=ends if fault == "down" else 0.0,
    )
    listed = play(proxies, seed, service, 180_000.0)
    longest = WITHIN_MS / 3.0
    assert service.per_s(20_000.0, ends) <= 1.4 * proxies * 1000.0 / longest, f"seed {seed}"
    assert max(listed) < ends + WITHIN_MS, (max(listed), "seed", seed)
    # nor do they come as a wave once it is back
    most = max(service.per_s(at, at + 1000.0) for at in range(int(ends) - 5_000, int(ends) + 10_000, 250))
    assert most <= 2.5 * proxies * 1000.0 / longest, (most, "seed", seed)


def test_a_service_that_refuses_for_hours_ends_no_schedule() -> None:
    schedule, draw = WatchSchedule(WITHIN_MS, 1), random.Random(1)
    schedule.first_delay(draw)
    for number in range(3_000):
        now = number * 3_000.0
        schedule.call_started(now)
        wait = schedule.call_failed(now, draw, WatchFailure.ENDED)
        assert wait is not None and 0.0 < wait <= WITHIN_MS / 3.0


def test_a_watch_that_lasted_is_resumed_at_once_and_resets_the_backoff() -> None:
    schedule, draw = WatchSchedule(WITHIN_MS, 6), random.Random(1)
    for _ in range(4):
        schedule.call_started(0.0)
        long = schedule.call_failed(0.0, draw, WatchFailure.ENDED)
    schedule.call_started(0.0)
    schedule.list_received(100.0)  # and never again: nothing changed while it lasted
    ended = schedule.call_failed(5_000.0, draw, WatchFailure.ENDED)
    assert schedule.call_failed(5_000.0, draw, WatchFailure.ENDED) is None  # a timer is set
    schedule.call_started(6_000.0)
    short = schedule.call_failed(6_000.0, draw, WatchFailure.ENDED)  # no response
    assert long is not None and ended is not None and short is not None
    assert 0.0 <= ended <= 15.0 and 500.0 <= short <= 1_000.0 and long > 2_000.0


def test_after_a_late_watch_or_a_refused_call_the_next_call_is_in_time() -> None:
    """What a late one misses counts as received within 6 s of its last line, and what a refused one does
    within 6 s of the service's return: the call made just before it may be refused 3 s later.  Where it is
    full and not down, all wait as long as it needs for one call from each.
    """
    soonest = WITHIN_MS
    for seed in range(100):
        schedule, draw = WatchSchedule(WITHIN_MS, 1), random.Random(seed)
        schedule.first_delay(draw)
        schedule.call_started(0.0)
        schedule.list_received(20.0)
        for number in range(4):  # down for some 12 s, and every wait fits
            schedule.call_started(number * 4_000.0)
            wait = schedule.call_failed(number * 4_000.0 + 3_000.0, draw, WatchFailure.BUSY)
            assert wait is not None and 150.0 <= wait <= 6_000.0 - 3_000.0, seed
        schedule.call_started(16_000.0)
        schedule.list_received(16_020.0)
        schedule.call_started(20_000.0)
        schedule.list_received(20_020.0)
        wait = schedule.call_failed(22_520.0, draw, WatchFailure.LATE)
        assert wait is not None and 0.0 <= wait <= 2_000.0, seed
        soonest = min(soonest, wait)
        schedule.call_started(23_000.0)
        wait = schedule.call_failed(26_000.0, draw, WatchFailure.BUSY)  # it has too many calls
        assert wait is not None and WITHIN_MS / 10 <= wait <= WITHIN_MS, seed
    assert soonest < 100.0  # what has passed since the call is taken off
    schedule = WatchSchedule(60_000.0, 1)
    for number in range(6):  # a service that swallows all of them; however long the time for schedule is
        schedule.call_started(number * 3_100.0)
        wait = schedule.call_failed((number + 1) * 3_100.0, draw, WatchFailure.LATE)
        assert wait is not None and wait <= 2_000.0


SLOW_MS = 8_000.0  # of a service's time for a call from each of SLOW_PROXIES, as seen on `join+disco+huge`
SLOW_PROXIES = 41


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_service_that_works_through_abandoned_calls_still_catches_up(seed: int) -> None:
    """While all call as often as after a broken call, nobody ever gets a response."""
    for rejects_early, calls_each in ((True, 6), (False, 9)):  # the latter as the one seen
        service = ListService(
            SLOW_PROXIES, SLOW_MS / SLOW_PROXIES, timeout_ms=2_000.0, rejects_early=rejects_early
        )
        assert max(service.play(seed, 90_000.0)) < 90_000.0, ("seed", seed)
        assert service.calls <= calls_each * SLOW_PROXIES, (service.calls, "seed", seed)


@pytest.mark.parametrize("timeout_ms", [2_000.0, 3_000.0])
@pytest.mark.parametrize("down_ms", [2_000.0, 5_000.0, 8_000.0, 12_000.0])
@pytest.mark.parametrize(("proxies", "all_ms"), [(1, 200.0), (6, 1_200.0), (60, 2_500.0), (230, 2_500.0)])
def test_once_a_service_is_back_all_proxies_receive_the_list_in_time(
    proxies: int, all_ms: float, down_ms: float, timeout_ms: float
) -> None:
    """6 s, and the least grace on top that a deployment of ours has.  `all_ms`: of its time for one call from
    each, as it was seen on days at full size and at close range.
    """
    for seed in range(10):
        service = ListService(proxies, all_ms / proxies, timeout_ms=timeout_ms, down_until=down_ms)
        late = max(service.play(seed, 90_000.0)) - down_ms - 6_000.0
        assert late <= 250.0, (late, "seed", seed)
