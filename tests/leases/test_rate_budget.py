"""Budgets of fleet-wide tasks: shares never exceed the budget, whoever comes, goes, or is cut off."""

from __future__ import annotations

import asyncio
import random
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import LeaseGrant, LeaseRevoke, ResponseOrError
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.rate_budget import MIN_UNITS, BudgetShare
from heronreel.leases.rate_limiter import CpuMeteredStep, RateLimiter
from heronreel.leases.rate_limits import TOTAL_UNITS, RateLimits, TokenBucket
from heronreel.leases.requests import SendRequest
from heronreel.leases.task_runner import StepContext

TERMS = LeaseTerms(ttl_s=6, safety_margin_s=1.0, response_timeout_s=1.0)
STEP_INTERVALS_S = (0.01, 0.3, 1.0, 6.0)


class Fleet:
    """Processes that need a share, on a state that responds as one; requests may be lost or late."""

    def __init__(self, seed: int, count: int, loss: float, guarded: bool = True) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.state = Keyspace.from_content(EMPTY_CONTENT)
        self.now = 0.0
        self.last_lease_id = 0
        self.late_requests: list[SendRequest] = []
        self.shares: list[BudgetShare] = []
        for number in range(count):
            lease = LeaseClient(TERMS, 0.0, self.generate_lease_id, self.rng.random)
            self.shares.append(BudgetShare(lease, "usual", f"p{number}", self.rng.random, guarded=guarded))
            self.start(self.shares[-1])

    def generate_lease_id(self) -> int:
        self.last_lease_id += 1
        return self.last_lease_id

    def start(self, share: BudgetShare) -> None:
        """Under a lease that does not expire by itself: the test ends it."""
        lease = share.lease
        lease.lease_id, lease.granted, lease.valid_until = self.generate_lease_id(), True, float("inf")
        self.state = self.state.apply(LeaseGrant(6, lease.lease_id)).state
        share.acquire(self.now)

    def restart(self, share: BudgetShare) -> None:
        """The holder stops, later its lease expires in the service, and it starts again."""
        lease_id = share.lease.lease_id
        share.lease.granted = False
        if self.rng.random() < 0.5:  # its requests may arrive all the same
            self.step()
        self.state = self.state.apply(LeaseRevoke(lease_id)).state
        self.start(share)

    def apply(self, action: SendRequest) -> ResponseOrError:
        try:
            applied = self.state.apply(action.request)  # type: ignore[arg-type]
        except RequestError as error:
            return error
        self.state = applied.state
        return applied.response

    def step(self) -> None:
        self.now += self.rng.choice(STEP_INTERVALS_S)
        if self.late_requests and self.rng.random() < 0.3:
            self.apply(self.late_requests.pop(self.rng.randrange(len(self.late_requests))))
        in_flight: list[tuple[BudgetShare, SendRequest]] = []
        for share in self.shares:
            in_flight += [(share, action) for action in share.tick(self.now)]
        while in_flight:
            share, action = in_flight.pop(self.rng.randrange(len(in_flight)))
            in_flight += [(share, further) for further in self.exchange(share, action)]

    def exchange(self, share: BudgetShare, action: SendRequest) -> list[SendRequest]:
        """Apply a request and deliver its response, if neither is lost; the requests that follow."""
        if self.rng.random() < self.loss:
            self.late_requests.append(action)
            return []
        response = self.apply(action)
        if self.rng.random() < self.loss:
            response = RequestError(StatusCode.UNKNOWN, "")
        awaited = share.awaits(action.request_id)
        further = share.on_response(self.now, response) if awaited else []
        assert self.used_units() <= TOTAL_UNITS, [each.usable_units(self.now) for each in self.shares]
        return further

    def used_units(self) -> int:
        return sum(share.usable_units(self.now) for share in self.shares)


def play(seed: int, count: int, loss: float) -> None:
    """Processes come, go and lose requests and responses; then all of them settle on fair shares."""
    fleet = Fleet(seed, count, loss)
    for _ in range(60):
        fleet.step()
        share = fleet.rng.choice(fleet.shares)
        if fleet.rng.random() < 0.1:
            fleet.restart(share)
        elif fleet.rng.random() < 0.1:
            (share.release if share.wanted else share.acquire)(fleet.now)
    fleet.loss = 0.0
    for share in fleet.shares:
        share.acquire(fleet.now)
    for _ in range(40):
        fleet.step()
    units = sorted(share.usable_units(fleet.now) for share in fleet.shares)
    assert units[0] >= MIN_UNITS and units[-1] <= TOTAL_UNITS // 4, units
    assert sum(units) >= TOTAL_UNITS * min(count, 4) // 4 * 0.6, units


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(1, 9), st.sampled_from([0.0, 0.1, 0.4]))
def test_shares_never_exceed_the_budget(seed: int, count: int, loss: float) -> None:
    play(seed, count, loss)


@pytest.mark.parametrize("seed", [435, 1193, 1350])
def test_a_share_is_not_kept_while_a_lost_transaction_may_still_shrink_it(seed: int) -> None:
    """A process whose shrinking transaction got no response read its old share, used it again, and then the
    transaction was applied and others took what it had given back.
    """
    play(seed, 6, 0.4)


def test_without_the_register_shares_exceed_the_budget() -> None:
    for seed in range(200):
        fleet = Fleet(seed, 9, 0.2, guarded=False)
        try:
            for _ in range(60):
                fleet.step()
        except AssertionError:
            return
    raise AssertionError("no seed exceeded the budget")


def test_a_token_bucket_grants_its_rate_and_waits_for_debts() -> None:
    bucket = TokenBucket(10.0, 0.0)
    assert bucket.consume(0.0, 20.0) == 0.0 and bucket.consume(0.0, 5.0) == 0.5
    assert bucket.consume(0.5, 0.0) == 0.0 and bucket.consume(100.0, 21.0) == pytest.approx(0.1)
    bucket.set_rate(0.0, 100.0)
    assert bucket.consume(200.0, 0.0) == float("inf")
    assert TokenBucket(None, 0.0).consume(0.0, 1e9) == 0.0


class FixedShare:
    """A share of as many units as a test says."""

    def __init__(self, units: int) -> None:
        self.units = units

    def usable_units(self, now: float) -> int:
        return self.units


def use_processor(seconds: float) -> None:
    started_at = time.thread_time()
    while time.thread_time() < started_at + seconds:
        pass


def test_a_step_takes_tokens_for_its_processor_time_and_waits_without_a_share() -> None:
    async def run() -> None:
        now = [0.0]
        share = FixedShare(TOTAL_UNITS // 2)
        limits = RateLimits(calls=20.0, cpu=0.1)
        limiter = RateLimiter(limits, share, lambda: now[0])  # type: ignore[arg-type]
        events: list[str] = []

        async def step(context: StepContext) -> None:
            use_processor(0.2)
            await asyncio.sleep(0)
            events.append("resumed")
            try:
                await context.acquire(calls=1e6)
            except asyncio.CancelledError:
                events.append("cancelled")
                raise

        async def metered() -> None:
            await CpuMeteredStep(step(StepContext(1, 1, limiter)), limiter)

        task = asyncio.ensure_future(metered())
        for _ in range(20):
            await asyncio.sleep(0)
        assert not events  # 0.2 s are two seconds' worth of its share and more
        now[0] = 100.0
        while not events:
            await asyncio.sleep(0.01)
        assert limiter.buckets.cpu.tokens <= 0.1 and not task.done()
        share.units = 0
        task.cancel()
        await asyncio.wait((task,))
        assert events == ["resumed", "cancelled"] and task.cancelled()

    asyncio.run(run())
