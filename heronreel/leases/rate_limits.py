"""Rate limits of fleet-wide tasks, and the token buckets that enforce them.  Pure; time is passed in."""

from __future__ import annotations

import msgspec

TOTAL_UNITS = 960  # quota units of a budget: whole numbers, so that no rounding makes more than all of it
BURST_S = 2.0  # seconds of the rate that a bucket holds at most


class RateLimits(msgspec.Struct, frozen=True):
    """Limits of a class of tasks, for the whole fleet or for one process.

    Amounts a second, of calls, of bytes, and of seconds of processor time.  0: nothing is allowed; None: no
    limit.
    """

    calls: float | None = None
    bytes: float | None = None
    cpu: float | None = None

    def share(self, units: int) -> RateLimits:
        """The limits of a process that has `units` of `TOTAL_UNITS`."""
        rates = (self.calls, self.bytes, self.cpu)
        return RateLimits(*(None if rate is None else rate * units / TOTAL_UNITS for rate in rates))


class TokenBucket:
    """A token bucket that may go into debt, since what an action uses may be known only afterwards."""

    def __init__(self, rate: float | None, now: float) -> None:
        """`rate`: tokens a second; None: no limit."""
        self.rate = rate
        self.tokens = 0.0 if rate is None else rate * BURST_S
        self.refilled_at = now

    def _refill(self, now: float) -> None:
        if self.rate is not None:
            refilled = self.tokens + (now - self.refilled_at) * self.rate
            self.tokens = min(self.rate * BURST_S, refilled)
        self.refilled_at = now

    def set_rate(self, rate: float | None, now: float) -> None:
        """Change the rate: what was saved up shrinks with it, debts stay."""
        self._refill(now)
        self.rate = rate
        self.tokens = 0.0 if rate is None else min(self.tokens, rate * BURST_S)

    def consume(self, now: float, amount: float) -> float:
        """Take tokens; the seconds to wait before acting, infinite where the rate is 0."""
        if self.rate is None:
            return 0.0
        self._refill(now)
        self.tokens -= amount
        if self.tokens >= 0.0:
            return 0.0
        return -self.tokens / self.rate if self.rate > 0.0 else float("inf")


class TokenBuckets:
    """A bucket for each of the limits of a class of tasks in one process."""

    def __init__(self, limits: RateLimits, now: float) -> None:
        self.calls = TokenBucket(limits.calls, now)
        self.bytes = TokenBucket(limits.bytes, now)
        self.cpu = TokenBucket(limits.cpu, now)

    def set_limits(self, limits: RateLimits, now: float) -> None:
        """Change the limits."""
        self.calls.set_rate(limits.calls, now)
        self.bytes.set_rate(limits.bytes, now)
        self.cpu.set_rate(limits.cpu, now)

    def consume(self, now: float, calls: float = 0.0, bytes_: float = 0.0, cpu: float = 0.0) -> float:
        """Take tokens from each bucket; the longest wait, in seconds."""
        return max(
            self.calls.consume(now, calls),
            self.bytes.consume(now, bytes_),
            self.cpu.consume(now, cpu),
        )
