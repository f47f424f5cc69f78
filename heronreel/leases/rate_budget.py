"""What fleet-wide tasks may use, by class and over the whole fleet.  Pure, as the cores beside it.

A class has a budget for the fleet: calls a second, bytes a second, a share of processors.  A process that
holds tasks of the class takes a part of it, by a key under its own lease, and the parts never come to more
than the whole: each is written by a transaction on the class's register, and what a lease holds is free
again only after its holder has stopped.  Within its part a process pays before it acts (`TokenBucket`), so
neither a busy task nor many of them use more.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    Put,
    Range,
    RangeResponse,
    ResponseOrError,
    Txn,
    TxnResponse,
    prefix_end,
)
from heronreel.leases.lease import JitteredBackoff, LeaseClient, SendRequest

BUDGET_PREFIX = b"budget/"
TOTAL_UNITS = 960  # parts of a budget: whole numbers, so that no rounding makes more than all of it
SHARES = 4  # processes that have a quarter each before parts get smaller
MIN_UNITS = TOTAL_UNITS // 64  # a process that finds less waits
BURST_S = 2.0  # that may be saved up
LOOK_S = 5.0  # between two looks at whether others want a part


class RateLimits(msgspec.Struct, frozen=True):
    """Of a class over the whole fleet, or of one process's part; 0: nothing is allowed, None: no limit."""

    calls: float | None = None  # a second
    bytes: float | None = None  # a second
    cpu: float | None = None  # seconds of processor time a second

    def part(self, share: int) -> RateLimits:
        """`share` of `TOTAL_UNITS`."""
        rates = (self.calls, self.bytes, self.cpu)
        return RateLimits(*(None if rate is None else rate * share / TOTAL_UNITS for rate in rates))


class TokenBucket:
    """Pays out a rate.  What is spent may be known only afterwards: debts are waited for."""

    def __init__(self, rate: float | None, now: float) -> None:
        self.rate = rate
        self.level = 0.0 if rate is None else rate * BURST_S
        self.now = now

    def _fill(self, now: float) -> None:
        if self.rate is not None:
            self.level = min(self.rate * BURST_S, self.level + (now - self.now) * self.rate)
        self.now = now

    def change(self, rate: float | None, now: float) -> None:
        """Another part of the budget: what was saved up shrinks with it, debts stay."""
        self._fill(now)
        self.rate = rate
        self.level = 0.0 if rate is None else min(self.level, rate * BURST_S)

    def spend(self, now: float, amount: float) -> float:
        """Pay; the seconds to wait before acting, infinite where the part is nothing."""
        if self.rate is None:
            return 0.0
        self._fill(now)
        self.level -= amount
        if self.level >= 0.0:
            return 0.0
        return -self.level / self.rate if self.rate > 0.0 else float("inf")


class TokenBuckets:
    """One process's part of a class's budget."""

    def __init__(self, rates: RateLimits, now: float) -> None:
        self.calls = TokenBucket(rates.calls, now)
        self.bytes = TokenBucket(rates.bytes, now)
        self.cpu = TokenBucket(rates.cpu, now)

    def change(self, rates: RateLimits, now: float) -> None:
        self.calls.change(rates.calls, now)
        self.bytes.change(rates.bytes, now)
        self.cpu.change(rates.cpu, now)

    def spend(self, now: float, calls: float = 0.0, bytes_: float = 0.0, cpu: float = 0.0) -> float:
        """Pay for all of it; the longest wait."""
        waits = (self.calls.spend(now, calls), self.bytes.spend(now, bytes_), self.cpu.spend(now, cpu))
        return max(waits)


class Part(msgspec.Struct, frozen=True):
    """A process's part as the group keeps it."""

    share: int


class _Asked(NamedTuple):
    ask: SendRequest
    share: int  # that is ours if it is done


class BudgetShare:
    """One process's part of one class, from when it is wanted until it is given back.

    A process that finds too little says so by a key of its own; whoever has more than its fair part gives
    what is over back at its next look.
    """

    def __init__(
        self, session: LeaseClient, name: str, who: str, jitter: Callable[[], float], *, guarded: bool = True
    ) -> None:
        """`name` is the class's, `who` the process's; `guarded` is taken out by a test that has to fail
        then.
        """
        self.session = session
        self.prefix = BUDGET_PREFIX + name.encode() + b"/"
        # written with each part, so that two never take what is left at once
        self.register = self.prefix + b"register"
        self.part = self.prefix + b"part/" + who.encode()
        self.wish = self.prefix + b"wish/" + who.encode()
        self.share = 0
        self.lease = 0  # under which the share is ours
        self.due = 0.0
        self.pause = JitteredBackoff(jitter)
        self.asked: _Asked | None = None
        self.wanted = False
        self.guarded = guarded

    def acts(self, now: float) -> int:
        """The part that may be used at this moment, of `TOTAL_UNITS`."""
        ours = self.wanted and self.lease == self.session.lease and self.session.valid(now)
        return self.share if ours else 0

    def want(self, now: float) -> None:
        if not self.wanted:
            self.wanted = True
            self.due = now

    def release(self, now: float) -> None:
        """Nothing is used from now on."""
        self.wanted = False
        self.due = now

    def waits_for(self, number: int) -> bool:
        return self.asked is not None and self.asked.ask.number == number

    def wake(self) -> float:
        if self.asked is not None:
            return self.asked.ask.until
        return self.due if self.session.granted else float("inf")

    def tick(self, now: float) -> list[SendRequest]:
        if self.lease != self.session.lease and self.share:
            self.share = 0  # the lease that had it has ended
            self.due = now
        if self.asked is not None and now >= self.asked.ask.until:
            self._again(now)
        idle = not self.wanted and not self.share
        if self.asked is not None or now < self.due or idle or not self.session.valid(now):
            return []
        return self._ask(now, Range(self.prefix, prefix_end(self.prefix)), 0)

    def _again(self, now: float) -> None:
        self.asked = None
        self.due = now + self.pause.next()

    def _ask(self, now: float, request: Range | Txn, share: int) -> list[SendRequest]:
        self.session.number += 1
        ask = SendRequest(self.session.number, request, now + self.session.terms.answer)
        self.asked = _Asked(ask, share)
        return [ask]

    def answered(self, now: float, answer: ResponseOrError) -> list[SendRequest]:
        assert self.asked is not None
        share = self.asked.share
        self._again(now)
        if isinstance(answer, RangeResponse):
            return self._read(now, answer)
        if isinstance(answer, TxnResponse) and answer.succeeded:
            self._has(now, share)
        elif isinstance(answer, TxnResponse):
            self.due = now  # another was faster
        return []

    def _has(self, now: float, share: int) -> None:
        self.pause.reset()
        self.share, self.lease = share, self.session.lease
        self.due = now + LOOK_S * (0.5 + self.pause.jitter() / 2)

    def _read(self, now: float, found: RangeResponse) -> list[SendRequest]:
        seen = mine = others = waiting = 0
        holders = 1
        wished = False
        for key, record in found.records:
            if key == self.register:
                seen = record.mod_revision
            elif key == self.part:
                # of an earlier lease of ours it is free only when that has ended, as anybody's
                share = msgspec.json.decode(record.value, type=Part).share
                if record.lease == self.session.lease:
                    mine = share
                else:
                    others += share
            elif key == self.wish:
                wished = True
            elif key.startswith(self.prefix + b"part/"):
                others += msgspec.json.decode(record.value, type=Part).share
                holders += 1
            else:
                waiting += 1
        if not self.wanted:
            if mine or wished:
                return self._write(now, seen, 0, False)
            self._has(now, 0)
            return []
        fair = TOTAL_UNITS // max(SHARES, holders + waiting)
        share = min(mine, fair) if waiting else mine
        share = max(share, min(fair, TOTAL_UNITS - others))
        if share < MIN_UNITS:
            # those who have more than their part see the wish at their next look
            return self._write(now, seen, 0, True)
        if share == mine and not wished:
            self._has(now, mine)
            return []
        return self._write(now, seen, share, False)

    def _write(self, now: float, seen: int, share: int, wishes: bool) -> list[SendRequest]:
        lease = self.session.lease
        same = Compare(self.register, CompareTarget.MOD, CompareOperator.EQUAL, seen)
        wish = Put(self.wish, b"", lease) if wishes else DeleteRange(self.wish)
        part = Put(self.part, msgspec.json.encode(Part(share)), lease) if share else DeleteRange(self.part)
        # less than before is used at once, more only when it is known to be ours
        self.share = min(self.share, share)
        compares = (same,) if self.guarded else ()
        return self._ask(now, Txn(compares, (part, wish, Put(self.register, b""))), share)
