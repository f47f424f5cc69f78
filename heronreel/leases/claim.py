"""A claim: a lock that one process holds under its lease.  No I/O; the time is passed in.

A claim is a key that is created only if it does not exist, and that is attached to the lease of its holder.
The revision at which the key was created is the fencing token of the grant.  If a response is missing, the
request may or may not have been applied, so it is sent again in a form that is correct in both cases.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    Put,
    Range,
    RangeResponse,
    Request,
    ResponseOrError,
    Txn,
    TxnResponse,
)
from heronreel.leases.backoff import MIN_BACKOFF_S, JitteredBackoff
from heronreel.leases.requests import SendRequest

if TYPE_CHECKING:
    from heronreel.leases.lease import LeaseClient


class ClaimAcquired(NamedTuple):
    """The claim is held.  The holder may act for as long as `Claim.fencing_token` returns this token."""

    key: bytes
    fencing_token: int


class ClaimLost(NamedTuple):
    """The claim is no longer held.  Actions in progress under its fencing token have to stop."""

    key: bytes
    fencing_token: int
    reason: str


Action = SendRequest | ClaimAcquired | ClaimLost
Actions = list[Action]


class ClaimHolder(NamedTuple):
    """The holder of a claim, as last read."""

    value: bytes
    fencing_token: int


class ClaimRequest(NamedTuple):
    """A request of a claim that has no response yet."""

    request_id: int
    sent_at: float
    lease_id: int


class Claim:
    """A claim of this process: one key that is attached to the process's lease."""

    def __init__(self, lease: LeaseClient, key: bytes, value: bytes, jitter: Callable[[], float]) -> None:
        self.lease = lease
        self.key = key
        self.value = value
        self.granted_token = 0  # The fencing token of the grant, or 0 while the claim is not held.
        self.holder: ClaimHolder | None = None
        self.next_request_at = 0.0
        self.backoff = JitteredBackoff(jitter)
        self.in_flight: ClaimRequest | None = None
        self.wanted = True  # False once the claim is to be released.
        self.released = False  # True once the service has confirmed the release.

    def fencing_token(self, now: float) -> int:
        """Return the fencing token to act under, or 0 if the process may not act.

        Call this before each action, since the lease may have expired since the last call.
        """
        return self.granted_token if self.wanted and self.lease.valid(now) else 0

    def next_wakeup(self) -> float:
        """Return the latest time at which `tick` has to be called again."""
        if self.in_flight is not None:
            return self.in_flight.sent_at + self.lease.terms.response_timeout_s
        return self.next_request_at if self.lease.granted else float("inf")

    def tick(self, now: float) -> Actions:
        """Handle timeouts, and return the actions that are due."""
        timeout_s = self.lease.terms.response_timeout_s
        if self.in_flight is not None and now >= self.in_flight.sent_at + timeout_s:
            self.in_flight = None
            self._retry_later(now)
        if self.in_flight is not None or now < self.next_request_at or not self.lease.valid(now):
            return []
        if self.released:
            return []
        request_id = self.lease.new_request_id()
        self.in_flight = ClaimRequest(request_id, now, self.lease.lease_id)
        return [SendRequest(request_id, self._request(), now + timeout_s)]

    def _request(self) -> Request:
        if not self.wanted:
            return self._release_request()
        unchanged = Compare(self.key, CompareTarget.CREATE, CompareOperator.EQUAL, self.granted_token)
        if self.granted_token:
            # A held claim is also checked regularly, because an operator may have revoked it.
            return Txn((unchanged,), (Range(self.key),), (Range(self.key),))
        put = Put(self.key, self.value, self.lease.lease_id)
        return Txn((unchanged,), (put,), (Range(self.key),))

    def _release_request(self) -> Request:
        # The fencing token is not compared, since a request without a response may have created the key.
        own_lease = Compare(self.key, CompareTarget.LEASE, CompareOperator.EQUAL, self.lease.lease_id)
        own_value = Compare(self.key, CompareTarget.VALUE, CompareOperator.EQUAL, self.value)
        return Txn((own_lease, own_value), (DeleteRange(self.key),))

    def on_response(self, now: float, response: ResponseOrError) -> Actions:
        """Handle the response to the request in flight."""
        assert self.in_flight is not None
        lease_id = self.in_flight.lease_id
        self.in_flight = None
        if not isinstance(response, TxnResponse) or lease_id != self.lease.lease_id:
            self._retry_later(now)
            return []
        self.backoff.reset()
        if not self.wanted:
            return self._on_released()
        self.next_request_at = now + self.lease.terms.ttl_s / 3 * (0.75 + 0.5 * self.backoff.jitter())
        if response.succeeded:
            return [] if self.granted_token else self._on_granted(now, response.revision)
        (current,) = response.responses
        assert isinstance(current, RangeResponse)
        return self._on_conflict(now, current)

    def _on_conflict(self, now: float, current: RangeResponse) -> Actions:
        """Handle a failed comparison; `current` is the state of the key that the service returned."""
        if not current.records:
            if self.granted_token:
                return self.mark_lost("revoked")
            self._retry_later(now)
            return []
        record = current.records[0][1]
        self.holder = ClaimHolder(record.value, record.create_revision)
        if record.value != self.value or record.lease != self.lease.lease_id:
            return self.mark_lost("held by another process") if self.granted_token else []
        if not self.granted_token:
            return self._on_granted(now, record.create_revision)
        if self.granted_token == record.create_revision:
            return []
        return [*self.mark_lost("revoked"), *self._on_granted(now, record.create_revision)]

    def _retry_later(self, now: float) -> None:
        self.next_request_at = now + self.backoff.next_delay()

    def _on_granted(self, now: float, fencing_token: int) -> Actions:
        if not self.lease.valid(now):
            return []  # The claim is read again once the lease is renewed.
        self.granted_token = fencing_token
        self.holder = ClaimHolder(self.value, fencing_token)
        return [ClaimAcquired(self.key, fencing_token)]

    def _on_released(self) -> Actions:
        token, self.granted_token = self.granted_token, 0
        self.next_request_at = float("inf")
        self.released = True
        return [ClaimLost(self.key, token, "released")] if token else []

    def mark_lost(self, reason: str) -> Actions:
        """Stop using the grant, if there is one.  The claim is requested again at the next tick."""
        token, self.granted_token = self.granted_token, 0
        self.next_request_at = 0.0
        return [ClaimLost(self.key, token, reason)] if token else []

    def retry_soon(self, now: float) -> None:
        """Request the claim again soon, because a change of its key was observed."""
        if not self.granted_token and self.in_flight is None:
            retry_at = now + self.backoff.jitter() * MIN_BACKOFF_S
            self.next_request_at = min(self.next_request_at, retry_at)

    def release(self, now: float) -> None:
        """Release the claim but keep the lease.  No action may begin under the claim from now on."""
        self.wanted = False
        self.next_request_at = now
