"""Rate limits of fleet-wide tasks, and the token buckets that enforce them.  Pure; the time is passed in."""

from __future__ import annotations

import msgspec

# The quota units of a budget.  Shares are whole numbers of units, so that rounding never makes their sum
# exceed the budget.
TOTAL_UNITS = 960
BURST_S = 2.0  # A bucket holds at most the tokens that its rate yields in this time.


class RateLimits(msgspec.Struct, frozen=True):
    """Limits of a priority class, for the whole fleet or for one process.

    The limits are amounts per second: of calls, of bytes, and of seconds of processor time.  With 0 nothing
    is allowed, and with None there is no limit.
    """

    calls: float | None = None
    bytes: float | None = None
    cpu: float | None = None

    def share(self, units: int) -> RateLimits:
        """Return the limits of a process that has `units` of the `TOTAL_UNITS`."""
        rates = (self.calls, self.bytes, self.cpu)
        return RateLimits(*(None if rate is None else rate * units / TOTAL_UNITS for rate in rates))


class TokenBucket:
    """A token bucket that may go into debt, since the cost of an action may only be known afterwards."""

    def __init__(self, rate: float | None, now: float) -> None:
        """`rate` is in tokens per second; None means no limit."""
        self.rate = rate
        self.tokens = 0.0 if rate is None else rate * BURST_S
        self.refilled_at = now

    def _refill(self, now: float) -> None:
        if self.rate is not None:
            refilled = self.tokens + (now - self.refilled_at) * self.rate
            self.tokens = min(self.rate * BURST_S, refilled)
        self.refilled_at = now

    def set_rate(self, rate: float | None, now: float) -> None:
        """Change the rate.  Saved tokens are cut to the new maximum, and a debt stays."""
        self._refill(now)
        self.rate = rate
        self.tokens = 0.0 if rate is None else min(self.tokens, rate * BURST_S)

    def consume(self, now: float, amount: float) -> float:
        """Take tokens; returns the seconds to wait before acting, which are infinite if the rate is 0."""
        if self.rate is None:
            return 0.0
        self._refill(now)
        self.tokens -= amount
        if self.tokens >= 0.0:
            return 0.0
        return -self.tokens / self.rate if self.rate > 0.0 else float("inf")


class TokenBuckets:
    """One token bucket for each limit of a priority class in one process."""

    def __init__(self, limits: RateLimits, now: float) -> None:
        self.calls = TokenBucket(limits.calls, now)
        self.bytes = TokenBucket(limits.bytes, now)
        self.cpu = TokenBucket(limits.cpu, now)

    def set_limits(self, limits: RateLimits, now: float) -> None:
        """Change the rates of all buckets."""
        self.calls.set_rate(limits.calls, now)
        self.bytes.set_rate(limits.bytes, now)
        self.cpu.set_rate(limits.cpu, now)

    def consume(self, now: float, calls: float = 0.0, bytes_: float = 0.0, cpu: float = 0.0) -> float:
        """Take tokens from each bucket; returns the longest wait in seconds."""
        return max(
            self.calls.consume(now, calls),
            self.bytes.consume(now, bytes_),
            self.cpu.consume(now, cpu),
        )
