"""The limits of routes: rate, concurrency, retry budget and the latency that triggers hedged requests.

One object serves all pools of a proxy.  All times are in ms and are passed in by the caller, so the same
calls give the same results.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from heronreel.balancer import interface as api

# The number of retries that a route may save up, so that a route with little traffic can retry at all.
MAX_RETRY_BUDGET = 10.0
# A route can save up its rate of this time at most.
RATE_BURST_MS = 1000.0
# A percentile is known from this number of samples on.
MIN_SAMPLES = 20
# At this number of samples, the older ones are halved.
MAX_SAMPLES = 2000.0
# The lower end of the first bucket.
MIN_LATENCY_MS = 0.1
# The logarithmic width of a bucket; it makes a percentile accurate to 5 %.
BUCKET_STEP = math.log(1.1)
# 160 buckets reach to over 6 minutes.
BUCKET_COUNT = 160


@dataclass(slots=True)
class LatencyHistogram:
    """A decaying histogram of served latencies."""

    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    total: float = 0.0

    def add(self, latency_ms: float) -> None:
        """Add a latency."""
        bucket = int(math.log(max(latency_ms, MIN_LATENCY_MS) / MIN_LATENCY_MS) / BUCKET_STEP)
        self.counts[min(bucket, BUCKET_COUNT - 1)] += 1.0
        self.total += 1.0
        if self.total >= MAX_SAMPLES:
            self.counts = [count / 2.0 for count in self.counts]
            self.total /= 2.0

    def percentile(self, percent: float) -> float | None:
        """Return the upper end of the percentile's bucket, ms, or None while there are too few samples."""
        if self.total < MIN_SAMPLES:
            return None
        remaining = self.total * percent / 100.0
        for bucket, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 1e-9:
                return MIN_LATENCY_MS * math.exp(BUCKET_STEP * (bucket + 1))
        return MIN_LATENCY_MS * math.exp(BUCKET_STEP * BUCKET_COUNT)


@dataclass(slots=True)
class RouteState:
    """The state of one route."""

    retry_budget: float = MAX_RETRY_BUDGET
    tokens: float = -1.0  # Requests that the rate saved up; negative: no request came yet.
    refilled_at: float = 0.0
    active: int = 0  # The number of requests in progress.
    latencies: LatencyHistogram = field(default_factory=LatencyHistogram)


class RouteLimiter:
    """The limits of all routes that have had requests, by name."""

    def __init__(self) -> None:
        # `keep` removes the states of routes that no longer exist.
        self.routes: defaultdict[str, RouteState] = defaultdict(RouteState)

    def keep(self, routes: Iterable[str]) -> None:
        """Remove the states of all routes but these; called after a reload.

        The state of a removed route remains until a call after its last request.
        """
        kept = set(routes)
        for name in [name for name, state in self.routes.items() if name not in kept and not state.active]:
            del self.routes[name]

    def admit(self, now: float, policy: api.RoutePolicy) -> float | None:
        """Return None and count the request if it may start, else return its Retry-After in ms."""
        state = self.routes[policy.route]
        if policy.concurrency and state.active >= policy.concurrency:
            return policy.request_class.latency_objective_ms
        if policy.requests_per_s:
            rate = policy.requests_per_s / 1000.0
            burst = max(1.0, rate * RATE_BURST_MS)
            refill = rate * max(0.0, now - state.refilled_at)
            available = burst if state.tokens < 0.0 else min(burst, state.tokens + refill)
            state.tokens, state.refilled_at = available, now
            if available < 1.0:
                return (1.0 - available) / rate
            state.tokens -= 1.0
        state.active += 1
        state.retry_budget = min(MAX_RETRY_BUDGET, state.retry_budget + policy.retry_budget_ratio)
        return None

    def finished(self, policy: api.RoutePolicy) -> None:
        """Record the end of a request that was admitted."""
        if state := self.routes.get(policy.route):
            state.active -= 1

    def may_retry(self, policy: api.RoutePolicy) -> bool:
        """Return whether the retry budget allows an attempt after one that may have run."""
        return policy.retry_budget_ratio > 0.0 and self.routes[policy.route].retry_budget >= 1.0

    def spend_retry(self, policy: api.RoutePolicy) -> None:
        """Take one such attempt from the retry budget."""
        self.routes[policy.route].retry_budget -= 1.0

    def record_served(self, policy: api.RoutePolicy, latency_ms: float) -> None:
        """Record the latency of a served request, if hedging needs it."""
        if policy.hedge_percentile:
            self.routes[policy.route].latencies.add(latency_ms)

    def hedge_delay(self, policy: api.RoutePolicy) -> float | None:
        """Return the delay in ms from the first attempt to a hedged request.

        None means that hedging is disabled or that the percentile is not known yet.
        """
        if policy.hedge_after_ms:
            return policy.hedge_after_ms
        if not policy.hedge_percentile:
            return None
        return self.routes[policy.route].latencies.percentile(policy.hedge_percentile)
