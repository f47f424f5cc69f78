"""Limits of routes: what each may still send, by rate, concurrency, retry budget and the latency seen.

One object for all pools of a proxy.  Times in ms, as passed in; same calls give same results.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from heronreel.balancer import interface as api

MAX_RETRY_BUDGET = 10.0  # retries that a route may save up, so that a quiet one can retry at all
RATE_BURST_MS = 1000.0  # of a route's rate saved up at most
MIN_SAMPLES, MAX_SAMPLES = 20, 2000.0  # before a percentile is known; from which older ones count half
MIN_LATENCY_MS = 0.1  # the lower end of the first bucket
BUCKET_STEP = math.log(1.1)  # between two buckets of latency: a percentile is right within 5 %
BUCKETS = 160  # to over 6 minutes


@dataclass(slots=True)
class LatencyHistogram:
    """A decaying histogram of served latencies."""

    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    total: float = 0.0

    def add(self, latency_ms: float) -> None:
        """Count a latency."""
        bucket = int(math.log(max(latency_ms, MIN_LATENCY_MS) / MIN_LATENCY_MS) / BUCKET_STEP)
        self.counts[min(bucket, BUCKETS - 1)] += 1.0
        self.total += 1.0
        if self.total >= MAX_SAMPLES:
            self.counts = [count / 2.0 for count in self.counts]
            self.total /= 2.0

    def percentile(self, percent: float) -> float | None:
        """The upper end of the bucket that holds it, ms; None while there are too few."""
        if self.total < MIN_SAMPLES:
            return None
        left = self.total * percent / 100.0
        for bucket, count in enumerate(self.counts):
            left -= count
            if left <= 1e-9:
                return MIN_LATENCY_MS * math.exp(BUCKET_STEP * (bucket + 1))
        return MIN_LATENCY_MS * math.exp(BUCKET_STEP * BUCKETS)


@dataclass(slots=True)
class RouteState:
    """One route's."""

    retry_budget: float = MAX_RETRY_BUDGET
    tokens: float = -1.0  # requests saved up by the rate; below 0: not begun
    refilled_at: float = 0.0
    active: int = 0  # requests
    latencies: LatencyHistogram = field(default_factory=LatencyHistogram)


class RouteLimiter:
    """The state of all routes with requests, by name."""

    def __init__(self) -> None:
        self.routes: defaultdict[str, RouteState] = defaultdict(
            RouteState
        )  # `keep` drops those that are gone

    def keep(self, routes: Iterable[str]) -> None:
        """After a reload: the state of a route that is gone ends with its last request."""
        kept = set(routes)
        for name in [name for name, state in self.routes.items() if name not in kept and not state.active]:
            del self.routes[name]

    def admit(self, now: float, policy: api.RoutePolicy) -> float | None:
        """None if a request may begin, and it is counted; else its Retry-After, ms."""
        state = self.routes[policy.route]
        if policy.concurrency and state.active >= policy.concurrency:
            return policy.request_class.latency_objective_ms
        if policy.requests_per_s:
            rate = policy.requests_per_s / 1000.0
            burst = max(1.0, rate * RATE_BURST_MS)
            refill = rate * max(0.0, now - state.refilled_at)
            saved = burst if state.tokens < 0.0 else min(burst, state.tokens + refill)
            state.tokens, state.refilled_at = saved, now
            if saved < 1.0:
                return (1.0 - saved) / rate
            state.tokens -= 1.0
        state.active += 1
        state.retry_budget = min(MAX_RETRY_BUDGET, state.retry_budget + policy.retry_budget_ratio)
        return None

    def finished(self, policy: api.RoutePolicy) -> None:
        """Note the end of a request that was admitted."""
        if state := self.routes.get(policy.route):
            state.active -= 1

    def may_retry(self, policy: api.RoutePolicy) -> bool:
        """Whether the budget has an attempt after one that may have run."""
        return policy.retry_budget_ratio > 0.0 and self.routes[policy.route].retry_budget >= 1.0

    def spend(self, policy: api.RoutePolicy) -> None:
        """Take such an attempt off the budget."""
        self.routes[policy.route].retry_budget -= 1.0

    def served(self, policy: api.RoutePolicy, latency_ms: float) -> None:
        """Count a served latency, if hedging needs it."""
        if policy.hedge_percentile:
            self.routes[policy.route].latencies.add(latency_ms)

    def hedge_delay(self, policy: api.RoutePolicy) -> float | None:
        """When a hedged request is due after the first attempt, ms; None: none, or not known yet."""
        if policy.hedge_after_ms:
            return policy.hedge_after_ms
        if not policy.hedge_percentile:
            return None
        return self.routes[policy.route].latencies.percentile(policy.hedge_percentile)
