"""The books of routes: what each may still send, by rate, concurrency, retry budget and the latency seen.

One object for all pools of a proxy.  Times in ms, as passed in; same calls give same answers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from heronreel.balancer import interface as api

BURST = 10.0  # repeats that a route may save up, so that a quiet one can repeat at all
BURST_MS = 1000.0  # of a route's rate saved up at most
SAMPLES_LEAST = 20  # latencies seen before a percentile of them is known
SAMPLES_MOST = 2000.0  # then the older ones count half
STEP = math.log(1.1)  # between two buckets of latency: a percentile is right within 5 %
BUCKETS = 160  # from 0.1 ms to over 6 minutes


@dataclass(slots=True)
class Latencies:
    """A decaying histogram of served latencies."""

    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    total: float = 0.0

    def add(self, latency_ms: float) -> None:
        place = int(math.log(max(latency_ms, 0.1) / 0.1) / STEP)
        self.counts[min(place, BUCKETS - 1)] += 1.0
        self.total += 1.0
        if self.total >= SAMPLES_MOST:
            self.counts = [count / 2.0 for count in self.counts]
            self.total /= 2.0

    def percentile(self, percent: float) -> float | None:
        """The upper end of the bucket that holds it, ms; None while too few were seen to tell."""
        if self.total < SAMPLES_LEAST:
            return None
        left = self.total * percent / 100.0
        for place, count in enumerate(self.counts):
            left -= count
            if left <= 1e-9:
                return 0.1 * math.exp(STEP * (place + 1))
        return 0.1 * math.exp(STEP * BUCKETS)


@dataclass(slots=True)
class Book:
    """One route's."""

    repeats: float = BURST  # saved up
    tokens: float = -1.0  # requests saved up by the rate; below 0: not begun
    since: float = 0.0
    open: int = 0
    latencies: Latencies = field(default_factory=Latencies)


class RouteBooks:
    def __init__(self) -> None:
        self.books: dict[str, Book] = {}  # bounded by the file's routes: `keep` drops the others

    def of(self, policy: api.RoutePolicy) -> Book:
        book = self.books.get(policy.route)
        if book is None:
            book = self.books[policy.route] = Book()
        return book

    def keep(self, routes: Iterable[str]) -> None:
        """After a reload: books of routes that are gone end with their last request."""
        kept = set(routes)
        for name in [name for name, book in self.books.items() if name not in kept and not book.open]:
            del self.books[name]

    def admit(self, now: float, policy: api.RoutePolicy) -> float | None:
        """None if a request may begin, and it is counted; else how long it should stay away, ms."""
        book = self.of(policy)
        if policy.concurrency and book.open >= policy.concurrency:
            return policy.klass.aim_ms
        if policy.requests_per_s:
            rate = policy.requests_per_s / 1000.0
            most = max(1.0, rate * BURST_MS)
            saved = most if book.tokens < 0.0 else min(most, book.tokens + rate * max(0.0, now - book.since))
            book.tokens, book.since = saved, now
            if saved < 1.0:
                return (1.0 - saved) / rate
            book.tokens -= 1.0
        book.open += 1
        book.repeats = min(BURST, book.repeats + policy.retry_share)
        return None

    def over(self, policy: api.RoutePolicy) -> None:
        if book := self.books.get(policy.route):
            book.open -= 1

    def may_repeat(self, policy: api.RoutePolicy) -> bool:
        return policy.retry_share > 0.0 and self.of(policy).repeats >= 1.0

    def spend(self, policy: api.RoutePolicy) -> None:
        self.of(policy).repeats -= 1.0

    def served(self, policy: api.RoutePolicy, latency_ms: float) -> None:
        if policy.copy_percentile:
            self.of(policy).latencies.add(latency_ms)

    def copy_delay(self, policy: api.RoutePolicy) -> float | None:
        """When a second copy is due after the first went out, ms; None: none, or not known yet."""
        if policy.copy_after_ms:
            return policy.copy_after_ms
        if not policy.copy_percentile:
            return None
        return self.of(policy).latencies.percentile(policy.copy_percentile)
