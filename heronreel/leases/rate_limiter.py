"""Limits the steps of a process to its share of a rate budget: token buckets over a `BudgetShare`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Generator
from typing import Any

from heronreel.leases.rate_budget import BudgetShare
from heronreel.leases.rate_limits import RateLimits, TokenBuckets

MAX_WAIT_S = 0.1  # The longest time between two checks whether the share has changed.


class RateLimiter:
    """The token buckets of one priority class, whose rates follow the process's share of the budget."""

    def __init__(self, limits: RateLimits, share: BudgetShare, now: Callable[[], float]) -> None:
        """`limits` are the limits of the whole fleet."""
        self.limits = limits
        self.share = share
        self.now = now
        self.units = 0  # The units for which the buckets' rates are set.
        self.buckets = TokenBuckets(limits.share(0), now())

    async def acquire(self, calls: float = 0.0, bytes_: float = 0.0, cpu: float = 0.0) -> None:
        """Take tokens, and wait until the buckets are no longer in debt."""
        wait_s = self._consume(calls, bytes_, cpu)
        while wait_s > 0.0:
            await asyncio.sleep(min(wait_s, MAX_WAIT_S))
            wait_s = self._consume(0.0, 0.0, 0.0)

    def _consume(self, calls: float, bytes_: float, cpu: float) -> float:
        now = self.now()
        units = self.share.usable_units(now)
        if units != self.units:
            self.units = units
            self.buckets.set_limits(self.limits.share(units), now)
        return self.buckets.consume(now, calls, bytes_, cpu)


class CpuMeteredStep:
    """An awaitable that runs a step, and takes tokens for its processor time whenever the step yields."""

    def __init__(self, step: Coroutine[Any, Any, None], limiter: RateLimiter) -> None:
        self.step = step
        self.limiter = limiter

    def __await__(self) -> Generator[Any, Any, None]:
        """Run the step to its end."""
        error: BaseException | None = None
        while True:
            started_at = time.thread_time()
            try:
                awaited = self.step.send(None) if error is None else self.step.throw(error)
            except StopIteration:
                return
            used_s = time.thread_time() - started_at
            error = None
            try:
                yield awaited
                yield from self.limiter.acquire(cpu=used_s).__await__()
            except BaseException as raised:  # A cancellation is passed on to the step as well.
                error = raised
