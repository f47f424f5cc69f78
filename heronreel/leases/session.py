"""A lease and its claims in a process: `LeaseClient` with a clock, a client and tasks around it."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Iterable
from types import TracebackType

from heronreel.coordination.client import Client
from heronreel.coordination.clock import boot_clock
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.model import ResponseOrError
from heronreel.leases.lease import (
    CLAIM_PREFIX,
    PRESENCE_PREFIX,
    Actions,
    Claim,
    ClaimAcquired,
    ClaimLost,
    LeaseClient,
    LeaseTerms,
    SendRequest,
)


class LeaseSession:
    """One process's lease.  `claim` names a task; `Claim.acts(holding.now())` is asked before each action."""

    def __init__(
        self,
        addresses: Iterable[str],
        identity: str,
        terms: LeaseTerms | None = None,
        *,
        told: Callable[[ClaimAcquired | ClaimLost], None] = lambda what: None,
    ) -> None:
        """`identity` is shown to operators as the holder's name; `told` hears of each change, at once."""
        self.terms = terms or LeaseTerms()
        if problem := self.terms.problem():
            raise ValueError(problem)
        self.client = Client(addresses, response_timeout_s=self.terms.answer)
        self.identity = identity
        self.now = boot_clock()
        self.told = told
        drawn = random.Random(secrets.randbits(64))
        self.session = LeaseClient(self.terms, self.now(), lambda: drawn.randrange(1, 1 << 63), drawn.random)
        self.asking: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.changed = asyncio.Condition()
        self.closed = False

    async def __aenter__(self) -> LeaseSession:
        self._event(self.session.tick)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self, seconds: float = 2.0) -> None:
        """Give everything back, if the group answers within `seconds`; else the lease ends by its time."""
        self._event(self.session.end)
        try:
            async with asyncio.timeout(seconds):
                async with self.changed:
                    await self.changed.wait_for(lambda: self.session.ended)
        except TimeoutError:
            pass
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for task in self.asking:
            task.cancel()
        await self.client.close()

    def claim(self, task: str) -> Claim:
        """Want to be the one that does `task`."""
        claim = self.session.claim(CLAIM_PREFIX + task.encode(), self.identity.encode())
        self._event(self.session.tick)
        return claim

    def present(self, name: str, value: bytes) -> Claim:
        """Be there as `name` for as long as the lease lasts; `value` says what."""
        claim = self.session.claim(PRESENCE_PREFIX + name.encode(), value)
        self._event(self.session.tick)
        return claim

    async def held(self, claim: Claim) -> int:
        """Wait until the claim is held; its number."""
        async with self.changed:
            await self.changed.wait_for(lambda: bool(claim.acts(self.now())))
        return claim.number

    def look(self) -> None:
        """Ask again soon for whatever is wanted and not held: somebody saw it change."""

        def nudge(now: float) -> Actions:
            for claim in self.session.claims:
                claim.nudge(now)
            return self.session.tick(now)

        self._event(nudge)

    # -- the core's events and actions

    def _event(self, call: Callable[[float], Actions]) -> None:
        if self.closed:
            return
        actions = call(self.now())
        actions += self.session.tick(self.now())
        for action in actions:
            if isinstance(action, SendRequest):
                task = asyncio.ensure_future(self._ask(action))
                self.asking.add(task)
                task.add_done_callback(self.asking.discard)
            else:
                self.told(action)
        if actions or self.session.ending:
            waking = asyncio.ensure_future(self._wake_all())
            self.asking.add(waking)
            waking.add_done_callback(self.asking.discard)
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0.002, self.session.wake() - self.now())
        self.timer = asyncio.get_running_loop().call_later(min(delay, 1.0), self._event, self.session.tick)

    async def _wake_all(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def _ask(self, ask: SendRequest) -> None:
        answer: ResponseOrError
        try:
            answer = await self.client.call(ask.request, max(0.01, ask.until - self.now()))
        except RequestError as refused:
            answer = refused
        except Exception as error:  # whatever went wrong, nobody knows what became of it
            answer = RequestError(StatusCode.UNKNOWN, repr(error))
        self._event(lambda now: self.session.answered(now, ask.number, answer))
