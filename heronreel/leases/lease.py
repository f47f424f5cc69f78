"""The lease of one process.  No I/O: events and the time are passed in, and actions are returned.

The process measures the lease's time to live on its own clock, from the moment before it sent the request,
and stops acting a safety margin before the lease expires.  Everything that the process holds depends on its
lease: its claims, and attachments such as its share of a rate budget.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.model import (
    LeaseGrant,
    LeaseKeepAlive,
    LeaseResponse,
    LeaseRevoke,
    Request,
    ResponseOrError,
)
from heronreel.leases.backoff import JitteredBackoff
from heronreel.leases.claim import Actions, Claim
from heronreel.leases.errors import InvalidLeaseTermsError
from heronreel.leases.requests import InFlightRequest, SendRequest

RENEWAL_JITTER_RATIO = 0.25  # A renewal is sent early by up to this fraction of the renewal interval.


class LeaseTerms(msgspec.Struct, frozen=True):
    """Durations of a lease, in seconds.

    An action may only begin until `safety_margin_s` before the lease expires.  Actions in progress have that
    time to finish.
    """

    ttl_s: int = 6
    safety_margin_s: float = 1.0
    response_timeout_s: float = 1.0
    stops_before_expiry: bool = True  # Set to False only by tests, which check that the margin is needed.

    def validate(self) -> None:
        """Check that a renewal and one retry fit in before the safety margin.

        Raises:
            InvalidLeaseTermsError: the time to live is too short for them.
        """
        required = 2 * self.ttl_s / 3 + self.response_timeout_s + self.safety_margin_s
        if required > self.ttl_s:
            raise InvalidLeaseTermsError(
                f"a time to live of {self.ttl_s} s is too short: a renewal at two thirds of it, a response "
                f"timeout of {self.response_timeout_s} s and a margin of {self.safety_margin_s} s need "
                f"{3 * (self.response_timeout_s + self.safety_margin_s):g} s"
            )


class LeaseAttachment(Protocol):
    """State that the process holds for as long as its lease lasts, and that sends its own requests."""

    def tick(self, now: float) -> list[SendRequest]:
        """Handle timeouts, and return the requests that are due."""

    def on_response(self, now: float, response: ResponseOrError) -> list[SendRequest]:
        """Handle the response to the attachment's request in flight."""

    def awaits(self, request_id: int) -> bool:
        """Return whether this request belongs to the attachment and is in flight."""

    def next_wakeup(self) -> float:
        """Return the latest time at which `tick` has to be called again."""


class LeaseClient:
    """The lease of one process: requests it, renews it, and revokes it at the end."""

    def __init__(
        self,
        terms: LeaseTerms,
        now: float,
        generate_lease_id: Callable[[], int],
        jitter: Callable[[], float] = lambda: 0.5,
    ) -> None:
        """Make the state of a lease that has not been requested yet.

        `generate_lease_id` returns an id from 1 to 2**63 - 1, and never the same one twice.
        """
        self.terms = terms
        self.generate_lease_id = generate_lease_id
        self.jitter = jitter
        self.lease_id = generate_lease_id()
        self.granted = False
        self.valid_until = now
        self.next_request_at = now
        self.backoff = JitteredBackoff(jitter)
        self.last_request_id = 0  # Shared by the lease, its claims and its attachments.
        self.in_flight: InFlightRequest | None = None
        self.claims: list[Claim] = []
        self.attachments: tuple[LeaseAttachment, ...] = ()
        self.revoking = False

    def valid(self, now: float) -> bool:
        """Return whether the process may act under the lease."""
        return self.granted and now < self.valid_until

    def claim(self, key: bytes, value: bytes) -> Claim:
        """Request a claim, and hold it until it is released."""
        claim = Claim(self, key, value, self.jitter)
        self.claims.append(claim)
        return claim

    def attach(self, attachment: LeaseAttachment) -> None:
        """Add an attachment, which receives the ticks and its responses through the lease."""
        self.attachments += (attachment,)

    def new_request_id(self) -> int:
        """Return a new id for a request of the lease, a claim or an attachment."""
        self.last_request_id += 1
        return self.last_request_id

    def next_wakeup(self) -> float:
        """Return the latest time at which `tick` has to be called again."""
        times = [self._own_wakeup()]
        times += [claim.next_wakeup() for claim in self.claims]
        times += [attachment.next_wakeup() for attachment in self.attachments]
        if self.granted and any(claim.granted_token for claim in self.claims):
            times.append(self.valid_until)
        return min(times)

    def _own_wakeup(self) -> float:
        if self.in_flight is None:
            return self.next_request_at
        return self.in_flight.sent_at + self.terms.response_timeout_s

    def tick(self, now: float) -> Actions:
        """Handle timeouts and expiry, and return the actions that are due."""
        self.claims = [claim for claim in self.claims if claim.wanted or not claim.released]
        actions = self._expire_claims(now)
        if self.in_flight is not None and now >= self.in_flight.sent_at + self.terms.response_timeout_s:
            self.in_flight = None
            self._retry_later(now)
        if self.in_flight is None and now >= self.next_request_at:
            actions.append(self._send(now))
        for claim in self.claims:
            actions += claim.tick(now)
        for attachment in self.attachments:
            actions += attachment.tick(now)
        return actions

    def _expire_claims(self, now: float) -> Actions:
        """Mark the claims as lost if the lease is no longer valid.

        This is also called before a late renewal is applied, so that an expiry is reported even if no tick
        happened between the expiry and the renewal.
        """
        if not self.granted or now < self.valid_until:
            return []
        return self._lose_claims(f"not renewed for {self.terms.ttl_s - self.terms.safety_margin_s:.1f} s")

    def _send(self, now: float) -> SendRequest:
        request_id = self.new_request_id()
        self.in_flight = InFlightRequest(request_id, now)
        return SendRequest(request_id, self._request(), now + self.terms.response_timeout_s)

    def _request(self) -> Request:
        if self.revoking:
            return LeaseRevoke(self.lease_id)
        if self.granted:
            return LeaseKeepAlive(self.lease_id)
        return LeaseGrant(self.terms.ttl_s, self.lease_id)

    def _retry_later(self, now: float) -> None:
        self.next_request_at = now + self.backoff.next_delay()

    def on_response(self, now: float, request_id: int, response: ResponseOrError) -> Actions:
        """Handle the response to a request of the lease, a claim or an attachment."""
        for claim in self.claims:
            if claim.in_flight is not None and claim.in_flight.request_id == request_id:
                return claim.on_response(now, response)
        for attachment in self.attachments:
            if attachment.awaits(request_id):
                return [*attachment.on_response(now, response)]
        if self.in_flight is None or self.in_flight.request_id != request_id:
            return []  # The request has timed out, so its response does not extend the lease.
        sent_at = self.in_flight.sent_at
        self.in_flight = None
        if self.revoking:
            return self._on_revoke_response(now, response)
        return self._on_lease_response(now, sent_at, response)

    def _on_revoke_response(self, now: float, response: ResponseOrError) -> Actions:
        if isinstance(response, LeaseResponse) or _has_code(response, StatusCode.NOT_FOUND):
            self.next_request_at = float("inf")
            self.granted = False
        else:
            self._retry_later(now)
        return []

    def _on_lease_response(self, now: float, sent_at: float, response: ResponseOrError) -> Actions:
        if isinstance(response, LeaseResponse) and response.ttl > 0:
            return self._expire_claims(now) + self._on_renewed(now, sent_at, response.ttl)
        if isinstance(response, LeaseResponse) or _has_code(response, StatusCode.NOT_FOUND):
            return self._on_not_found(now)
        if _has_code(response, StatusCode.FAILED_PRECONDITION) and not self.granted:
            # An earlier grant succeeded and its response was lost: renew the lease from now on.
            self.granted = True
            self.valid_until = now
            self.next_request_at = now
            return []
        self._retry_later(now)
        return []

    def _on_renewed(self, now: float, sent_at: float, ttl_s: int) -> Actions:
        self.granted = True
        self.backoff.reset()
        margin_s = self.terms.safety_margin_s if self.terms.stops_before_expiry else 0.0
        self.valid_until = sent_at + ttl_s - margin_s
        # Renew after at most a third of the time to live.  The jitter spreads the renewals of leases that
        # were granted at the same time.
        self.next_request_at = sent_at + ttl_s / 3 * (1.0 - RENEWAL_JITTER_RATIO * self.jitter())
        actions: Actions = []
        for claim in self.claims:
            actions += claim.tick(now)
        return actions

    def _on_not_found(self, now: float) -> Actions:
        """Lose the claims and request a new lease, because the lease has expired in the service."""
        actions = self._lose_claims("lease expired")
        self.lease_id = self.generate_lease_id()
        self.granted = False
        self._retry_later(now)
        return actions

    def _lose_claims(self, reason: str) -> Actions:
        actions: Actions = []
        for claim in self.claims:
            actions += claim.mark_lost(reason)
        return actions

    def revoke(self, now: float) -> Actions:
        """Revoke the lease and everything held under it; `revoked` becomes True once that is confirmed."""
        actions = self._lose_claims("released")
        self.claims.clear()
        self.attachments = ()
        self.revoking = True
        return [*actions, self._send(now)]

    @property
    def revoked(self) -> bool:
        """Whether the service has confirmed that the lease is revoked."""
        return self.revoking and self.in_flight is None and self.next_request_at == float("inf")


def _has_code(response: ResponseOrError, code: StatusCode) -> bool:
    return isinstance(response, RequestError) and response.code is code
