"""Budgets of tasks: parts never come to more than the whole, whoever comes, goes, or is cut off."""

from __future__ import annotations

import asyncio
import random
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import LeaseGrant, LeaseRevoke
from heronreel.leases.lease import LeaseClient, LeaseTerms, SendRequest
from heronreel.leases.rate_budget import MIN_UNITS, TOTAL_UNITS, BudgetShare, RateLimits, TokenBucket
from heronreel.leases.task_runner import BudgetSpender, StepContext, _CpuMeteredStep
from heronreel.leases.tasks import Priority, Task, next_task

TERMS = LeaseTerms(ttl=6, margin=1.0, answer=1.0)


class Fleet:
    """Processes that want a part, on a state that answers as one; what is under way may be lost or late."""

    def __init__(self, seed: int, count: int, loss: float, guarded: bool = True) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.guarded = guarded
        self.state = Keyspace.from_content(EMPTY_CONTENT)
        self.now = 0.0
        self.leases = 0
        self.late: list[SendRequest] = []
        self.shares: list[BudgetShare] = []
        for number in range(count):
            session = LeaseClient(TERMS, 0.0, self.draw, self.rng.random)
            self.shares.append(BudgetShare(session, "usual", f"p{number}", self.rng.random, guarded=guarded))
            self.begin(self.shares[-1])

    def draw(self) -> int:
        self.leases += 1
        return self.leases

    def begin(self, share: BudgetShare) -> None:
        """A lease that does not end by itself: the test ends it."""
        session = share.session
        session.lease, session.granted, session.until = self.draw(), True, float("inf")
        self.state = self.state.apply(LeaseGrant(6, session.lease)).state
        share.want(self.now)

    def end(self, share: BudgetShare) -> None:
        """The holder has stopped, and later its lease ends at the group."""
        lease = share.session.lease
        share.session.granted = False
        if self.rng.random() < 0.5:  # its questions may come all the same
            self.turn()
        self.state = self.state.apply(LeaseRevoke(lease)).state
        self.begin(share)

    def apply(self, ask: SendRequest) -> object:
        try:
            done = self.state.apply(ask.request)  # type: ignore[arg-type]
            self.state = done.state
            return done.response
        except RequestError as refused:
            return refused

    def turn(self) -> None:
        self.now += self.rng.choice((0.01, 0.3, 1.0, 6.0))
        if self.late and self.rng.random() < 0.3:
            self.apply(self.late.pop(self.rng.randrange(len(self.late))))
        asked: list[tuple[BudgetShare, SendRequest]] = []
        for share in self.shares:
            asked += [(share, ask) for ask in share.tick(self.now)]
        while asked:
            share, ask = asked.pop(self.rng.randrange(len(asked)))
            if self.rng.random() < self.loss:
                self.late.append(ask)
                continue
            answer = self.apply(ask)
            if self.rng.random() < self.loss:
                answer = RequestError(StatusCode.UNKNOWN, "")
            if share.waits_for(ask.number):
                asked += [(share, more) for more in share.answered(self.now, answer)]  # type: ignore[arg-type]
            assert self.used() <= TOTAL_UNITS, [each.acts(self.now) for each in self.shares]

    def used(self) -> int:
        return sum(share.acts(self.now) for share in self.shares)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(1, 9), st.sampled_from([0.0, 0.1, 0.4]))
def test_parts_never_come_to_more_than_the_whole(seed: int, count: int, loss: float) -> None:
    fleet = Fleet(seed, count, loss)
    for _ in range(60):
        fleet.turn()
        share = fleet.rng.choice(fleet.shares)
        if fleet.rng.random() < 0.1:
            fleet.end(share)
        elif fleet.rng.random() < 0.1:
            (share.release if share.wanted else share.want)(fleet.now)
    fleet.loss = 0.0
    for share in fleet.shares:
        share.want(fleet.now)
    for _ in range(40):
        fleet.turn()
    shares = sorted(share.acts(fleet.now) for share in fleet.shares)
    assert shares[0] >= MIN_UNITS and shares[-1] <= TOTAL_UNITS // 4, shares
    assert sum(shares) >= TOTAL_UNITS * min(count, 4) // 4 * 0.6, shares


def test_without_the_register_parts_come_to_more_than_the_whole() -> None:
    for seed in range(200):
        fleet = Fleet(seed, 9, 0.2, guarded=False)
        try:
            for _ in range(60):
                fleet.turn()
        except AssertionError:
            print(seed)
            return
    raise AssertionError("nothing broke")


def test_a_bucket_pays_out_its_rate_and_waits_for_debts() -> None:
    bucket = TokenBucket(10.0, 0.0)
    assert bucket.spend(0.0, 20.0) == 0.0 and bucket.spend(0.0, 5.0) == 0.5
    assert bucket.spend(0.5, 0.0) == 0.0 and bucket.spend(100.0, 21.0) == pytest.approx(0.1)
    bucket.change(0.0, 100.0)
    assert bucket.spend(200.0, 0.0) == float("inf") and TokenBucket(None, 0.0).spend(0.0, 1e9) == 0.0


class Held:
    """A share that is as a test says."""

    def __init__(self, share: int) -> None:
        self.share = share

    def acts(self, now: float) -> int:
        return self.share


def test_a_step_pays_for_its_time_on_the_processor_and_is_held_up_without_a_part() -> None:
    async def run() -> None:
        now = [0.0]
        share = Held(TOTAL_UNITS // 2)
        spent = BudgetSpender(RateLimits(calls=20.0, cpu=0.1), share, lambda: now[0])  # type: ignore[arg-type]
        done: list[str] = []

        async def step(work: StepContext) -> None:
            began = time.thread_time()
            while time.thread_time() < began + 0.2:
                pass
            await asyncio.sleep(0)
            done.append("paid")
            try:
                await work.pay(calls=1e6)
            except asyncio.CancelledError:
                done.append("cancelled")
                raise

        task = asyncio.ensure_future(_wrapped(_CpuMeteredStep(step(StepContext(1, 1, spent)), spent)))
        for _ in range(20):
            await asyncio.sleep(0)
        assert not done  # 0.2 s are two seconds' worth of its part and more
        now[0] = 100.0
        while not done:
            await asyncio.sleep(0.01)
        assert spent.buckets.cpu.level <= 0.1 and not task.done()
        share.share = 0
        task.cancel()
        await asyncio.wait((task,))
        assert done == ["paid", "cancelled"] and task.cancelled()

    asyncio.run(run())


async def _wrapped(metered: _CpuMeteredStep) -> None:
    await metered


def test_a_task_half_on_the_way_to_its_deadline_goes_before_others_of_its_class() -> None:
    early, late = Task("early"), Task("late", urgency=Priority.IDLE, deadline_s=10.0)
    assert next_task([(early, 0.0), (late, 1.0)], 4.0) is early
    assert next_task([(early, 0.0), (late, 1.0)], 6.0) is late
