"""The lease of a process and its claims: `LeaseClient` with a clock and a coordination client."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine, Iterable
from types import TracebackType
from typing import Any

from heronreel.coordination.client import Client
from heronreel.coordination.clock import boot_clock
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.model import ResponseOrError
from heronreel.leases.claim import Actions, Claim, ClaimAcquired, ClaimLost
from heronreel.leases.keys import claim_key, presence_key
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.requests import SendRequest

LEASE_ID_LIMIT = 1 << 63
MIN_TIMER_S = 0.002
MAX_TIMER_S = 1.0
MIN_RESPONSE_TIMEOUT_S = 0.01
REVOKE_TIMEOUT_S = 2.0

ClaimChange = ClaimAcquired | ClaimLost


class LeaseSession:
    """The lease of one process, which is renewed while the session's context is entered.

    `claim` requests the claim on a task.  Call `Claim.fencing_token(session.now())` before each action.
    """

    def __init__(
        self,
        addresses: Iterable[str],
        identity: str,
        terms: LeaseTerms | None = None,
        *,
        on_claim_change: Callable[[ClaimChange], None] = lambda change: None,
    ) -> None:
        """Make a session, which starts when its context is entered.

        Args:
            addresses: the addresses of the coordination service's members.
            identity: the name of this process as a holder, which operators see.
            terms: the durations of the lease.
            on_claim_change: called as soon as a claim is acquired or lost.

        Raises:
            InvalidLeaseTermsError: the terms leave too little time for a renewal and a retry.
        """
        self.terms = terms or LeaseTerms()
        self.terms.validate()
        self.client = Client(addresses, response_timeout_s=self.terms.response_timeout_s)
        self.identity = identity
        self.now = boot_clock()
        self.on_claim_change = on_claim_change
        rng = random.Random(secrets.randbits(64))
        self.lease = LeaseClient(self.terms, self.now(), lambda: rng.randrange(1, LEASE_ID_LIMIT), rng.random)
        self._background: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._changed = asyncio.Condition()
        self._closed = False

    async def __aenter__(self) -> LeaseSession:
        """Request the lease, without waiting until it is granted."""
        self._handle(self.lease.tick)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Revoke the lease, and close the session."""
        await self.close()

    async def close(self, timeout_s: float = REVOKE_TIMEOUT_S) -> None:
        """Revoke the lease and close the client.

        If the service does not respond within `timeout_s` seconds, the lease is left to expire.
        """
        self._handle(self.lease.revoke)
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(lambda: self.lease.revoked)
        except TimeoutError:
            pass
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._background:
            task.cancel()
        await self.client.close()

    def claim(self, task: str) -> Claim:
        """Request the claim on a task, and hold it until it is released."""
        return self._claim(claim_key(task), self.identity.encode())

    def announce_presence(self, name: str, value: bytes) -> Claim:
        """Announce this process as present under `name` for as long as the lease lasts.

        `value` can be read by other processes.
        """
        return self._claim(presence_key(name), value)

    def _claim(self, key: bytes, value: bytes) -> Claim:
        claim = self.lease.claim(key, value)
        self._handle(self.lease.tick)
        return claim

    async def wait_acquired(self, claim: Claim) -> int:
        """Wait until the claim is held, and return its fencing token."""
        async with self._changed:
            await self._changed.wait_for(lambda: bool(claim.fencing_token(self.now())))
        return claim.granted_token

    def refresh(self) -> None:
        """Request all claims that are not held again soon, because a change was observed."""

        def retry_claims(now: float) -> Actions:
            for claim in self.lease.claims:
                claim.retry_soon(now)
            return self.lease.tick(now)

        self._handle(retry_claims)

    def _handle(self, event: Callable[[float], Actions]) -> None:
        """Pass an event to the lease, carry out the resulting actions, and set the timer."""
        if self._closed:
            return
        actions = event(self.now())
        actions += self.lease.tick(self.now())
        for action in actions:
            if isinstance(action, SendRequest):
                self._run_in_background(self._send(action))
            else:
                self.on_claim_change(action)
        if actions or self.lease.revoking:
            self._run_in_background(self._notify_changed())
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(MIN_TIMER_S, self.lease.next_wakeup() - self.now())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(min(delay_s, MAX_TIMER_S), self._handle, self.lease.tick)

    def _run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _notify_changed(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _send(self, action: SendRequest) -> None:
        response: ResponseOrError
        try:
            timeout_s = max(MIN_RESPONSE_TIMEOUT_S, action.deadline - self.now())
            response = await self.client.call(action.request, timeout_s)
        except RequestError as error:
            response = error
        except Exception as error:  # After any other failure the outcome of the request is unknown.
            response = RequestError(StatusCode.UNKNOWN, repr(error))
        self._handle(lambda now: self.lease.on_response(now, action.request_id, response))
